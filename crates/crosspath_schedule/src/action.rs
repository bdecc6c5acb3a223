//! What the scheduler wants done.

use std::sync::Arc;

use crosspath_border::advice::StepId;
use crosspath_border::worker::Target;
use crosspath_job::TaskId;
use crosspath_job::record::Record;
use crosspath_quota::Request;

/// One thing to do.
#[derive(Debug, Clone)]
pub enum Action {
    /// Start a run.
    Start {
        /// Where.
        worker: Target,
        /// The task.
        task: TaskId,
        /// Number of the run.
        run: u64,
        /// The job's text.
        text: Arc<str>,
        /// Where to go on from.
        checkpoint: Option<Arc<str>>,
        /// Ticket of the advice service.
        ticket: Option<Arc<str>>,
    },
    /// Stop a run.
    Stop {
        /// Where.
        worker: Target,
        /// The task.
        task: TaskId,
        /// Number of the run.
        run: u64,
    },
    /// Look at a worker at once, beside the looks that wait there for an end.
    Poll {
        /// Where.
        worker: Target,
    },
    /// Let a run work at a share of its speed.
    Throttle {
        /// Where.
        worker: Target,
        /// The task.
        task: TaskId,
        /// Number of the run.
        run: u64,
        /// The share.
        percent: u32,
    },
    /// Ask which workers may run a step.
    RequestAdvice {
        /// The step.
        step: StepId,
        /// The workers.
        workers: Vec<Arc<str>>,
    },
    /// Append records as the shard's owner; answered by `Event::Committed`.
    Commit {
        /// The records.
        records: Vec<Record>,
    },
    /// Ask the ledger of all shards for parts of customers' maxima; answered by `Event::QuotaAnswered`.
    RequestQuota {
        /// The question.
        request: Request,
    },
    /// Tell the worker that ends up to a number are kept.
    Acknowledge {
        /// The worker.
        worker: Arc<str>,
        /// The number.
        number: u64,
    },
    /// Begin to look at a worker, again and again.
    StartPolling {
        /// The worker.
        worker: Target,
        /// Its clock in ms, as its entry gave it.
        clock_ms: u64,
    },
    /// Look at a worker no more.
    StopPolling {
        /// The worker.
        worker: Target,
    },
}
