//! Messages between daemons.

use std::time::Duration;

use crosspath_route::claim::{self, Nonce, Outcome, Request};
use crosspath_route::key::Key;
use crosspath_state::State;
use crosspath_state::name::{CallerName, VmName};
use crosspath_state::record::{Revision, Writer};
use serde::{Deserialize, Serialize};

/// Heartbeat with the sender's status.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Sender, with its incarnation.
    pub from: Writer,
    /// Last revision of the log that the sender has applied.
    pub applied: Revision,
    /// Numbers of the sender's requests in flight on VMs that accept no new work; VMs without such
    /// requests are left out.
    pub in_flight: Vec<(VmName, u32)>,
    /// Whether the sender accepts callers' requests.
    pub ready: bool,
}

/// Reply to a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// Heartbeat of the daemon that replies.
    #[serde(rename = "beat")]
    pub heartbeat: Heartbeat,
    /// Time for which the replying daemon will not evict the requester, in ms; none if it grants
    /// none.
    #[serde(rename = "promise_ms")]
    pub grant_ms: Option<u64>,
}

impl HeartbeatReply {
    /// Time for which the replying daemon will not evict the requester.
    #[must_use]
    pub fn grant(&self) -> Option<Duration> {
        self.grant_ms.map(Duration::from_millis)
    }
}

/// Claim on a payment key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Key, caller and digest of the payment.
    pub request: Request,
    /// Identifier of the attempt, so that it can be repeated.
    pub nonce: Nonce,
    /// Time within which the request ends, in ms.
    pub left_ms: u64,
}

/// Report of a claimed request's outcome.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settle {
    /// Request as it was claimed.
    pub request: Request,
    /// Outcome of the request.
    pub outcome: Outcome,
}

/// Query for the claim on a payment key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LookUp {
    /// Payment key to look up.
    pub key: Key,
    /// Caller that asks; only the caller that used the key gets an answer.
    pub caller: CallerName,
}

/// Handover of claims to another daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transfer {
    /// Recipient, which accepts the claims only in this incarnation.
    pub to: Writer,
    /// Claims that are handed over.
    pub claims: Vec<claim::Claim>,
}

/// Copy of a daemon's state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateCopy {
    /// State, which contains its revision.
    pub state: State,
    /// Digest of the state.
    pub digest: String,
}
