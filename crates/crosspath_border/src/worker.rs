//! Workers: where they are, and how tasks run on them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use crosspath_job::TaskId;
use crosspath_job::spec::Resources;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// What a worker tells of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Identifier of this life of its VM.
    pub id: Arc<str>,
    /// Its pool.
    pub pool: Arc<str>,
    /// The VM.
    pub vm: Arc<str>,
    /// Data centre of the VM.
    pub data_centre: Arc<str>,
    /// Where it is called.
    pub address: SocketAddr,
    /// Whether it will end soon and takes no further work.
    pub draining: bool,
    /// Least time left while draining, in ms.
    pub remaining_ms: u64,
    /// What it has.
    pub capacity: Resources,
    /// Kind, rack, and others.
    pub labels: Vec<Arc<str>>,
    /// Its own clock, in ms.
    pub clock_ms: u64,
    /// When this life of it began, in ms since 1970; a later life may have the same identifier. 0 where that is
    /// not told.
    #[serde(rename = "born_ms")]
    pub started_ms: u64,
}

impl Entry {
    /// Whether it tells the same as `other`, but for when it was written.
    #[must_use]
    pub fn eq_ignoring_clock(&self, other: &Self) -> bool {
        Self { clock_ms: other.clock_ms, ..self.clone() } == *other
    }
}

/// A worker to call: address and the life that is meant.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Target {
    /// Where.
    pub address: SocketAddr,
    /// Its identifier.
    pub id: Arc<str>,
    /// Which life, as [`Entry::started_ms`].
    pub started_ms: u64,
}

/// An order to start a task.
#[derive(Debug, Clone)]
pub struct Start {
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// The job's text.
    pub text: Arc<str>,
    /// Until when on the worker's clock everything there may run, in ms.
    pub deadline_ms: u64,
    /// Fencing token of the shard's owner.
    pub token: u64,
    /// Where to go on from.
    pub checkpoint: Option<Arc<str>>,
    /// Ticket of the advice service.
    pub ticket: Option<Arc<str>>,
}

/// How a start was answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Started {
    /// It runs.
    Yes,
    /// An owner with a higher token gave orders before.
    Fenced,
    /// The run, or a later one, was stopped or ended there.
    Old,
    /// The deadline has passed.
    Late,
    /// It does not fit.
    NoRoom,
    /// The ticket does not hold.
    Ticket,
    /// The worker is unhealthy and has done nothing.
    Unhealthy,
    /// The order is malformed to the worker.
    Malformed,
}

/// One running task as the worker lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Running {
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// Newest checkpoint.
    pub checkpoint: Option<Arc<str>>,
    /// Percent of the work done; of lasting tasks 100 is at work.
    pub percent: u32,
    /// Over the last half second: of tasks with a tail target their tail in ms, of others the
    /// thousandths of a core in use.
    pub gauge: u64,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Successfully.
    Done,
    /// It failed.
    Failed,
    /// It was stopped.
    Stopped,
    /// Its lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// It waited in vain for its gang.
    Alone,
}

/// One end as the worker lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ended {
    /// Number of the end in this life of the worker, from 1.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// How.
    pub outcome: Outcome,
    /// Newest checkpoint.
    pub checkpoint: Option<Arc<str>>,
}

/// An order to look, and to extend leases.
#[derive(Debug, Clone, Copy)]
pub struct Poll {
    /// Fencing token of the shard's owner.
    pub token: u64,
    /// Ends up to this number of the life that is meant are kept and may be forgotten. No other life is told so.
    pub acknowledged: u64,
    /// Until when on the worker's clock everything there may run; none only looks.
    pub deadline_ms: Option<u64>,
    /// How long the worker waits for an end before it answers.
    pub wait: Duration,
}

/// A worker's answer to [`Poll`].
#[derive(Debug, Clone, Default)]
pub struct PollReply {
    /// The worker's clock, in ms.
    pub clock_ms: u64,
    /// When the life that answers began, as [`Entry::started_ms`].
    pub started_ms: u64,
    /// What runs.
    pub running: Vec<Running>,
    /// Ends that are not acknowledged.
    pub ended: Vec<Ended>,
}

/// An answer and the worker's clock when it was given.
#[derive(Debug, Clone, Copy)]
pub struct Timestamped<T> {
    /// The answer.
    pub value: T,
    /// The worker's clock, in ms; none when the answer has none.
    pub clock_ms: Option<u64>,
}

/// A call to a worker that did not do what was asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Error {
    /// It was not reached; nothing was done.
    #[snafu(display("worker was not reached"))]
    NotReached,
    /// No answer came; the order may be carried out, even later.
    #[snafu(display("worker gives no answer"))]
    NoAnswer,
    /// Another life is at the address.
    #[snafu(display("another worker is at the address"))]
    OtherLife,
    /// An owner with a higher token gave orders before.
    #[snafu(display("an owner with a higher token gave orders before"))]
    Fenced,
    /// An unhealthy worker has done nothing.
    #[snafu(display("worker refuses for now ({status})"))]
    Refused {
        /// The status.
        status: u16,
    },
}

/// Runs tasks on workers.
#[async_trait]
pub trait Runner: Send + Sync + std::fmt::Debug {
    /// Starts a task.
    ///
    /// # Errors
    ///
    /// [`Error`].
    async fn start(&self, target: &Target, start: &Start) -> Result<Timestamped<Started>, Error>;

    /// Stops a run; a run that is not there yet never will be.
    ///
    /// # Errors
    ///
    /// [`Error`].
    async fn stop(
        &self,
        target: &Target,
        task: TaskId,
        run: u64,
        token: u64,
    ) -> Result<Timestamped<()>, Error>;

    /// Looks at what runs and has ended, and extends leases.
    ///
    /// # Errors
    ///
    /// [`Error`].
    async fn poll(&self, target: &Target, poll: &Poll) -> Result<PollReply, Error>;

    /// Lets a run work at a share of its speed, in percent.
    ///
    /// # Errors
    ///
    /// [`Error`].
    async fn throttle(
        &self,
        target: &Target,
        task: TaskId,
        run: u64,
        percent: u32,
        token: u64,
    ) -> Result<Timestamped<()>, Error>;

    /// Forgets the connections to a worker that is gone.
    fn forget(&self, target: &Target);
}
