//! Admission: which new jobs the owner of a shard refuses before they are stored.
//!
//! All submissions pass through the owner, which alone knows how much waits and how much each
//! customer has sent. A refused job is not stored and never runs; its caller is told when to come
//! back.

use std::time::Duration;

use crosspath_job::record::Accepted;
use serde::{Deserialize, Serialize};

use crate::scheduler::Scheduler;

/// Decision on a job that a caller submits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The job is to be stored.
    Admit,
    /// The job is refused.
    Refuse(Refusal),
}

/// Refusal of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why the job is refused.
    pub reason: Reason,
    /// Delay in ms after which the caller should retry.
    pub retry_after_ms: u64,
}

/// Why a job is refused. The names of the variants appear in log lines and metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The customer has sent more than its share while the shard has no room for more.
    OverShare,
    /// The job would end too late to be of use.
    Overload,
}

/// Which jobs may be refused.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Rules {
    /// Refuses jobs beyond their customers' shares while the shard is full.
    pub by_customer: bool,
    /// Refuses jobs that would end too late to be of use.
    pub reject_hopeless: bool,
}

impl Scheduler {
    /// Decides on a job that is about to be stored. `wall_ms` is the time of day in ms since 1970.
    /// A job that is admitted is expected to be stored; its acceptance follows as an event.
    pub fn admit(&mut self, now: Duration, wall_ms: u64, job: &Accepted) -> Verdict {
        let _ = (now, wall_ms, job);
        Verdict::Admit
    }
}
