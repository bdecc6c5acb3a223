//! The advice service, which decides which workers may run a step.

use std::sync::Arc;

use async_trait::async_trait;
use crosspath_job::JobId;
use snafu::Snafu;

/// Identifier of a step in one occurrence of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StepId {
    /// Job that the step belongs to.
    pub job: JobId,
    /// Occurrence of the job, counted from 0.
    pub occurrence: u32,
    /// Position of the step within the job, counted from 0.
    pub step: u32,
}

/// Answer of the advice service.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// Approved workers, each with the ticket that must accompany starts on it.
    pub approved: Vec<(Arc<str>, Arc<str>)>,
    /// Validity of the tickets, in ms.
    pub valid_ms: u64,
}

/// Reason why the advice service gave no usable answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Error {
    /// Too many requests are waiting at the service.
    #[snafu(display("advice service is busy"))]
    Busy,
    /// No answer came, or it could not be decoded.
    #[snafu(display("advice service gave no usable answer"))]
    NoAnswer,
}

/// Client of the advice service.
#[async_trait]
pub trait Advisor: Send + Sync + std::fmt::Debug {
    /// Asks which of `workers` (at most 100) may run `step`.
    ///
    /// # Errors
    ///
    /// [`Error`] if the service is busy or gives no usable answer.
    async fn ask(&self, step: StepId, workers: &[Arc<str>]) -> Result<Answer, Error>;
}
