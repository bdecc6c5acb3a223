//! Requests of callers to a daemon, and its answers.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use crosspath_job::progress::State;
use crosspath_job::{JobId, Spec};

use crate::operator::Queue;

/// Queue and customer that a request is authorised for.
#[derive(Debug, Clone)]
pub struct Access {
    /// Queue that the host and path of the request select.
    pub queue: Arc<Queue>,
    /// Customer whose key the request carries; `None` if the queue requires no key.
    pub customer: Option<Arc<str>>,
    /// Part of the path after the queue's prefix.
    pub subpath: String,
}

/// Result of routing and authorising a request.
#[derive(Debug, Clone)]
pub enum Resolved {
    /// No configuration has been received yet.
    NotReady,
    /// The newest known configuration has no such queue or key, but a newer one may exist.
    MaybeStale {
        /// Delay in seconds after which the caller should retry.
        retry_after_s: u32,
    },
    /// No queue has this host and path.
    Unknown,
    /// The queue requires a key, and the request carries none or an unknown one.
    Unauthorized,
    /// The request is authorised.
    Access(Access),
}

/// Answer to the submission of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Submitted {
    /// The job is stored durably.
    Accepted,
    /// The identifier is used by a job of another customer. Nothing was stored.
    Taken,
    /// The job is larger than the store accepts. Nothing was stored.
    TooLarge {
        /// Size of the job with all that is stored about it, in bytes.
        bytes: usize,
        /// Maximum of that size.
        max: usize,
    },
    /// The job was not stored and will never run. The caller may retry.
    NotTaken {
        /// Delay in seconds after which the caller should retry.
        retry_after_s: u32,
    },
    /// Whether the job was stored is unknown.
    Unknown,
}

/// Answer to a query of a job's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lookup {
    /// Current state of the job.
    State(State),
    /// No job with this identifier exists for the requester.
    None,
    /// The state cannot be determined at the moment.
    Unavailable {
        /// Delay in seconds after which the caller should retry.
        retry_after_s: u32,
    },
}

/// Answer to the cancellation of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cancelled {
    /// The cancellation is stored durably.
    Done,
    /// The cancellation was not stored. The caller may retry.
    Unavailable {
        /// Delay in seconds after which the caller should retry.
        retry_after_s: u32,
    },
    /// Whether the cancellation was stored is unknown.
    Unknown,
}

/// Handles the callers' requests.
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// Selects the queue for `host` and `path`, and the customer that `key` identifies.
    fn resolve(&self, host: &str, path: &str, key: Option<&str>) -> Resolved;

    /// Maximum size of a request body in bytes.
    fn body_limit(&self) -> u64;

    /// Whether the load balancer should send connections to this daemon.
    fn is_ready(&self) -> bool;

    /// Submits a job. The caller waits for at most `within`.
    async fn submit(&self, access: &Access, job: JobId, spec: Spec, within: Duration) -> Submitted;

    /// Returns the state of a job. The caller waits for at most `within`.
    async fn state(&self, access: &Access, job: JobId, within: Duration) -> Lookup;

    /// Cancels a job. The caller waits for at most `within`.
    async fn cancel(&self, access: &Access, job: JobId, within: Duration) -> Cancelled;

    /// Number of jobs in the queue of which no task has started; `None` if it cannot be determined
    /// at the moment.
    async fn queued_jobs(&self, queue: &Queue) -> Option<u64>;
}
