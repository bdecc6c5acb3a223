//! The service that knows which workers may run a step.

use std::sync::Arc;

use async_trait::async_trait;
use crosspath_job::JobId;
use snafu::Snafu;

/// A step of one of a job's times.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StepId {
    /// The job.
    pub job: JobId,
    /// Which of its times.
    pub occurrence: u32,
    /// Which step.
    pub step: u32,
}

/// Workers that may run a step.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// Worker and the ticket that its starts carry.
    pub approved: Vec<(Arc<str>, Arc<str>)>,
    /// How long the tickets hold, in ms.
    pub valid_ms: u64,
}

/// No advice was given.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Error {
    /// Too many calls wait.
    #[snafu(display("the advice service is busy"))]
    Busy,
    /// No answer that can be used.
    #[snafu(display("the advice service gives no answer"))]
    NoAnswer,
}

/// The advice service.
#[async_trait]
pub trait Advisor: Send + Sync + std::fmt::Debug {
    /// Asks which of `workers` (at most 100) may run `step`.
    ///
    /// # Errors
    ///
    /// [`Error`].
    async fn ask(&self, step: StepId, workers: &[Arc<str>]) -> Result<Answer, Error>;
}
