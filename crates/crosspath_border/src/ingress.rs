//! What callers ask of a daemon.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use crosspath_job::progress::State;
use crosspath_job::{JobId, Spec};

use crate::operator::Queue;

/// What a request may use.
#[derive(Debug, Clone)]
pub struct Access {
    /// The queue that it names.
    pub queue: Arc<Queue>,
    /// The customer whose key it carries; none where the queue needs none.
    pub customer: Option<Arc<str>>,
    /// What follows the queue's path.
    pub subpath: String,
}

/// Where a request leads.
#[derive(Debug, Clone)]
pub enum Resolved {
    /// There is no configuration yet.
    NotReady,
    /// By the newest configuration that is known there is no such queue or key, but a newer one may have
    /// come: come back after so many seconds.
    MaybeStale {
        /// Seconds.
        retry_after_s: u32,
    },
    /// No queue has this host and path.
    Unknown,
    /// The queue needs a key, and the request has none that is known.
    Unauthorized,
    /// A queue.
    Access(Access),
}

/// Answer to a submitted job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Submitted {
    /// It is kept.
    Accepted,
    /// Another customer's job has the identifier; nothing was taken.
    Taken,
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
pub enum Lookup {
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
    /// Finds the queue of a request, and the customer whose `key` it carries.
    fn resolve(&self, host: &str, path: &str, key: Option<&str>) -> Resolved;

    /// Bytes of a body that are taken.
    fn body_limit(&self) -> u64;

    /// Whether the balancer should send connections here.
    fn is_ready(&self) -> bool;

    /// Takes a job; the caller waits for `within`.
    async fn submit(&self, access: &Access, job: JobId, spec: Spec, within: Duration) -> Submitted;

    /// Tells a job's state; the caller waits for `within`.
    async fn state(&self, access: &Access, job: JobId, within: Duration) -> Lookup;

    /// Cancels a job; the caller waits for `within`.
    async fn cancel(&self, access: &Access, job: JobId, within: Duration) -> Cancelled;

    /// Number of the queue's jobs of which no task has begun; none when it cannot be told now.
    async fn queued_jobs(&self, queue: &Queue) -> Option<u64>;
}
