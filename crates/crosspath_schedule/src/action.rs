//! Output of the scheduler: the I/O that its caller is to perform.

use std::sync::Arc;

use crosspath_border::advice::StepId;
use crosspath_border::worker::Target;
use crosspath_job::record::{Accepted, Record, Requester};
use crosspath_job::{JobId, TaskId};
use crosspath_quota::Request;

/// One operation for the caller of the scheduler to perform.
#[derive(Debug, Clone)]
pub enum Action {
    /// Start a run of a task; answered by `Event::StartAnswered`.
    Start {
        /// Worker to send the start to.
        worker: Target,
        /// Task that the run belongs to.
        task: TaskId,
        /// Number of the run; later runs of a task have higher numbers.
        run: u64,
        /// Text of the job, passed to the task unchanged.
        text: Arc<str>,
        /// Checkpoint to resume from; `None` starts from the beginning.
        checkpoint: Option<Arc<str>>,
        /// Ticket of the advice service; `None` if the queue requires none.
        ticket: Option<Arc<str>>,
    },
    /// Stop a run; answered by `Event::StopAnswered`.
    Stop {
        /// Worker that has or may have the run.
        worker: Target,
        /// Task that the run belongs to.
        task: TaskId,
        /// Number of the run to stop.
        run: u64,
    },
    /// Poll a worker at once, in addition to the periodic polls, which wait on the worker for a run
    /// to end.
    Poll {
        /// Worker that is to answer the poll.
        worker: Target,
    },
    /// Limit the speed of a run.
    Throttle {
        /// Worker that has the run.
        worker: Target,
        /// Task that the run belongs to.
        task: TaskId,
        /// Number of the run to throttle.
        run: u64,
        /// Permitted speed in percent of full speed.
        percent: u32,
    },
    /// Ask the advice service which workers may run a step; answered by `Event::Advised`.
    RequestAdvice {
        /// Step for which workers are to be approved.
        step: StepId,
        /// Identifiers of the candidate workers.
        workers: Vec<Arc<str>>,
    },
    /// Append records as the owner of the shard; answered by `Event::Committed`.
    Commit {
        /// Records to append, in this order.
        records: Vec<Record>,
    },
    /// Store a job in the pool that its queue has now; answered by `Event::Relocated`.
    Relocate {
        /// Identifier of the job.
        job: JobId,
        /// Its acceptance, as it was stored in this shard.
        accepted: Arc<Accepted>,
        /// Version of a configuration that assigns the queue elsewhere; no earlier one tells where.
        config_version: u64,
    },
    /// Store the cancellation of a job in all pools where the job may be.
    RelocateCancellation {
        /// Identifier of the job.
        job: JobId,
        /// Requester of the cancellation.
        by: Requester,
        /// Version of a configuration that assigns the queue elsewhere.
        config_version: u64,
    },
    /// Request allotments of customers' maxima from the ledger; answered by `Event::QuotaAnswered`.
    RequestQuota {
        /// Request to send, with its number.
        request: Request,
    },
    /// Acknowledge ended runs to their worker, which may then delete its reports of them.
    Acknowledge {
        /// Identifier of the worker.
        worker: Arc<str>,
        /// Sequence number up to which the worker's reports are acknowledged.
        number: u64,
    },
    /// Start periodic polls of a worker; they are answered by `Event::Polled` or
    /// `Event::PollFailed`.
    StartPolling {
        /// Address and incarnation to poll.
        worker: Target,
        /// The worker's clock in ms, as stated in its entry of the worker list or in the poll reply
        /// that showed its incarnation.
        clock_ms: u64,
    },
    /// Stop the periodic polls of a worker.
    StopPolling {
        /// Address and incarnation whose polls are to stop.
        worker: Target,
    },
}
