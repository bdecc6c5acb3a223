//! Messages between daemons.

use std::time::Duration;

use crosspath_route::claim::{self, Nonce, Outcome, Request};
use crosspath_route::key::Key;
use crosspath_state::State;
use crosspath_state::name::{CallerName, VmName};
use crosspath_state::record::{Revision, Writer};
use serde::{Deserialize, Serialize};

/// A heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Who sends it.
    pub from: Writer,
    /// What it has applied.
    pub applied: Revision,
    /// Requests that it has in flight on VMs that take no new work; those with none are left out.
    pub in_flight: Vec<(VmName, u32)>,
    /// Whether it takes callers' requests.
    pub ready: bool,
}

/// Answer to a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// Who answers, and its own state.
    #[serde(rename = "beat")]
    pub heartbeat: Heartbeat,
    /// How long it will not evict the asker, in ms.
    pub promise_ms: Option<u64>,
}

impl HeartbeatReply {
    /// How long the answerer will not evict the asker.
    #[must_use]
    pub fn promise(&self) -> Option<Duration> {
        self.promise_ms.map(Duration::from_millis)
    }
}

/// A claim on a payment key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The key and what is sent with it.
    pub request: Request,
    /// Marks this attempt, so that it can be made again.
    pub nonce: Nonce,
    /// Time within which the request ends, in ms.
    pub left_ms: u64,
}

/// The end of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settle {
    /// As it was claimed.
    pub request: Request,
    /// How it ended.
    pub outcome: Outcome,
}

/// A question about a payment key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LookUp {
    /// The key.
    pub key: Key,
    /// Who asks; only the caller that used the key learns of it.
    pub caller: CallerName,
}

/// Claims handed to another daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transfer {
    /// To whom, in this life only.
    pub to: Writer,
    /// The claims.
    pub claims: Vec<claim::Claim>,
}

/// A copy of a daemon's state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateCopy {
    /// The state; it says which revision it is of.
    pub state: State,
    /// Its digest.
    pub digest: String,
}
