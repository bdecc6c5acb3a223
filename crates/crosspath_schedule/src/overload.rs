//! Overload policy: which jobs can still end in time, and how long a new one would wait.

use std::time::Duration;

use crosspath_job::record::Accepted;

use crate::scheduler::Scheduler;

/// Expected treatment of a job that would be accepted now.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Backlog {
    /// Whether work waits for which the shard has no room, so that one more job delays others.
    pub is_full: bool,
    /// Time until the job's first tasks would start.
    pub wait: Duration,
    /// Time until the job would end.
    pub completion: Duration,
}

impl Scheduler {
    /// Expected treatment of a job that would be accepted now.
    #[must_use]
    pub fn backlog(&self, now: Duration, job: &Accepted) -> Backlog {
        let _ = (now, job);
        Backlog::default()
    }
}
