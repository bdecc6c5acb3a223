//! What callers ask of a daemon.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use crosspath_job::progress::State;
use crosspath_job::{JobId, Spec};

use crate::operator::Queue;

/// Where a request leads.
#[derive(Debug, Clone)]
pub enum Resolved {
    /// There is no configuration yet.
    Unready,
    /// No queue has this host and path.
    Unknown,
    /// A queue, and what follows its path.
    Queue(Arc<Queue>, String),
}

/// Answer to a submitted job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Submitted {
    /// It is kept.
    Accepted,
    /// It was not taken and never runs; come back after so many seconds.
    NotTaken {
        /// Seconds.
        retry_after_s: u32,
    },
    /// Whether it was taken is not known.
    Unknown,
}

/// Answer to a question for a job's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shown {
    /// Its state.
    State(State),
    /// There is no such job.
    None,
    /// It cannot be told now; come back after so many seconds.
    Unavailable {
        /// Seconds.
        retry_after_s: u32,
    },
}

/// Answer to a cancel.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cancelled {
    /// It is kept that the job is cancelled.
    Done,
    /// Nothing was done; come back after so many seconds.
    Unavailable {
        /// Seconds.
        retry_after_s: u32,
    },
    /// Whether it was done is not known.
    Unknown,
}

/// What the daemon answers.
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// Finds the queue of a request.
    fn resolve(&self, host: &str, path: &str) -> Resolved;

    /// Bytes of a body that are taken.
    fn body_limit(&self) -> u64;

    /// Whether the balancer should send connections here.
    fn is_ready(&self) -> bool;

    /// Takes a job; the caller waits for `within`.
    async fn submit(&self, queue: &Queue, job: JobId, spec: Spec, within: Duration) -> Submitted;

    /// Tells a job's state; the caller waits for `within`.
    async fn state(&self, queue: &Queue, job: JobId, within: Duration) -> Shown;

    /// Cancels a job; the caller waits for `within`.
    async fn cancel(&self, queue: &Queue, job: JobId, within: Duration) -> Cancelled;

    /// Number of the queue's jobs of which no task has begun; none when it cannot be told now.
    async fn waiting(&self, queue: &Queue) -> Option<u64>;
}
