//! What the scheduler hears.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crosspath_border::advice::{self, StepId};
use crosspath_border::worker::{Entry, Error, PollReply, Started};
use crosspath_job::record::{Accepted, Requester};
use crosspath_job::{JobId, TaskId};
use crosspath_quota::{Grant, Limits, Weights};

/// One thing that has happened.
#[derive(Debug, Clone)]
pub enum Event {
    /// A job was accepted.
    Accepted(JobId, Arc<Accepted>),
    /// A job's cancelling was asked for.
    Cancelled(JobId, Requester),
    /// The worker list has a new or changed entry.
    WorkerListed(Entry),
    /// The worker list lost an entry.
    WorkerUnlisted(Arc<str>),
    /// A look at a worker was answered.
    Polled {
        /// The worker.
        worker: Arc<str>,
        /// When the look was sent.
        sent: Duration,
        /// Whether it extended leases.
        extended: bool,
        /// The answer.
        reply: PollReply,
    },
    /// A look at a worker failed.
    PollFailed {
        /// The worker.
        worker: Arc<str>,
        /// When it was sent.
        sent: Duration,
        /// Whether it would have extended leases.
        extended: bool,
        /// How it failed.
        error: Error,
    },
    /// A start was answered, or not.
    StartAnswered {
        /// The worker.
        worker: Arc<str>,
        /// The task.
        task: TaskId,
        /// Number of the run.
        run: u64,
        /// The answer.
        answer: Result<Started, Error>,
    },
    /// A stop was answered, or not.
    StopAnswered {
        /// The worker.
        worker: Arc<str>,
        /// The task.
        task: TaskId,
        /// Number of the run.
        run: u64,
        /// The answer.
        answer: Result<(), Error>,
    },
    /// The advice service answered, or not.
    Advised {
        /// The step.
        step: StepId,
        /// The answer.
        answer: Result<advice::Answer, advice::Error>,
    },
    /// The records of the last commit are kept.
    Committed,
    /// VMs that are to become vacant.
    Vacate(BTreeSet<Arc<str>>),
    /// Data centres that are to get no new work.
    Evacuated(Arc<BTreeSet<Arc<str>>>),
    /// Whether it is known recently enough which data centres are evacuated.
    MayStart(bool),
    /// Whether orders may be given now.
    MayAct(bool),
    /// The owner before says when what may run on workers has surely lapsed.
    LeasesHandedOver(BTreeMap<Arc<str>, Duration>),
    /// Customers' maxima, by the newest configuration.
    Limits(Limits),
    /// Jobs a second that customers are owed by the newest configuration, and the part of them that comes here.
    Weights {
        /// By customer, over all shards.
        weights: Weights,
        /// Part of a customer's jobs that this shard gets.
        shard_fraction: f64,
    },
    /// The ledger of all shards has answered the question with a number, or not.
    QuotaAnswered {
        /// Number of the question.
        number: u64,
        /// The answer.
        grant: Option<Grant>,
    },
    /// A later owner has claimed the shard.
    Superseded,
    /// Time has passed.
    Tick,
}
