//! Input of the scheduler: events that its caller observes.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crosspath_border::advice::{self, StepId};
use crosspath_border::worker::{Entry, Error, PollReply, Started};
use crosspath_job::record::{Accepted, Requester};
use crosspath_job::{JobId, TaskId};
use crosspath_quota::{Grant, Limits, Weights};

use crate::domains::Down;
use crate::reassignment::Relocation;

/// One observation that may change the scheduler's state.
#[derive(Debug, Clone)]
pub enum Event {
    /// The acceptance record of a job was read from the log.
    Accepted(JobId, Arc<Accepted>),
    /// The requester asked for the job to be cancelled. Ignored if the job is not the requester's.
    Cancelled(JobId, Requester),
    /// The log has a record that the queue was reassigned by a configuration of this version. To be
    /// sent in the order of the log, after the jobs whose records are before it.
    Reassigned(Arc<str>, u64),
    /// The relocation of a misplaced job has ended.
    Relocated(JobId, Relocation),
    /// The worker list has a new or changed entry.
    WorkerListed(Entry),
    /// The worker list no longer has an entry with this identifier.
    WorkerUnlisted(Arc<str>),
    /// A worker answered a poll.
    Polled {
        /// Identifier of the polled worker.
        worker: Arc<str>,
        /// Time at which the poll was sent.
        sent: Duration,
        /// Whether the poll extended the leases on the worker.
        extended: bool,
        /// Runs on the worker, and its clock.
        reply: PollReply,
    },
    /// A worker gave no usable answer to a poll.
    PollFailed {
        /// Identifier of the polled worker.
        worker: Arc<str>,
        /// Time at which the poll was sent.
        sent: Duration,
        /// Whether the poll extends the leases on the worker if it was received.
        extended: bool,
        /// Reason, which tells whether the poll may have reached the worker.
        error: Error,
    },
    /// A worker answered a start, or the start failed.
    StartAnswered {
        /// Identifier of the worker that the start was sent to.
        worker: Arc<str>,
        /// Task that the run belongs to.
        task: TaskId,
        /// Number of the run that was to be started.
        run: u64,
        /// Answer of the worker, or the reason why there is none.
        answer: Result<Started, Error>,
    },
    /// A worker answered a stop, or the stop failed.
    StopAnswered {
        /// Identifier of the worker that the stop was sent to.
        worker: Arc<str>,
        /// Task that the run belongs to.
        task: TaskId,
        /// Number of the run that was to be stopped.
        run: u64,
        /// Acknowledgement of the worker, or the reason why there is none.
        answer: Result<(), Error>,
    },
    /// The advice service answered, or the request failed.
    Advised {
        /// Step that the request was about.
        step: StepId,
        /// Approved workers with their tickets, or the reason why there are none.
        answer: Result<advice::Answer, advice::Error>,
    },
    /// The records of the last commit are durable.
    Committed,
    /// The set of VMs that are to be vacated, replacing the previous set.
    Vacate(BTreeSet<Arc<str>>),
    /// The platform's list of VMs shows VMs of the shard as down.
    VmsDown(Down),
    /// The set of data centres that get no new work, replacing the previous set.
    Evacuated(Arc<BTreeSet<Arc<str>>>),
    /// Whether the set of evacuated data centres is recent enough to start tasks by it.
    MayStart(bool),
    /// Whether this owner may send orders to workers now.
    MayAct(bool),
    /// The previous owner reports the time by which everything that may run on each worker
    /// incarnation has expired.
    LeasesHandedOver(BTreeMap<Arc<str>, Duration>),
    /// Maxima of the customers in the newest configuration.
    Limits(Limits),
    /// Weights of the customers in the newest configuration.
    Weights {
        /// Weight of each customer over all shards, in jobs per second.
        weights: Weights,
        /// Fraction of a customer's jobs that is routed to this shard.
        shard_fraction: f64,
    },
    /// The ledger answered a request for allotments, or the request failed.
    QuotaAnswered {
        /// Sequence number of the request, as in [`crosspath_quota::Request::number`].
        number: u64,
        /// Allotments that the ledger granted; `None` if it did not answer.
        grant: Option<Grant>,
    },
    /// A later owner has claimed the shard.
    Superseded,
    /// Time has passed; sent periodically.
    Tick,
}
