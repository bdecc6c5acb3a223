//! How far a job is, as its record keeps it.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// State of a job as callers see it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// No task has begun.
    #[default]
    Queued,
    /// Some task has begun.
    Running,
    /// Every task has ended successfully.
    Completed,
    /// A task has failed too often.
    Failed,
    /// It was cancelled.
    Cancelled,
}

impl State {
    /// Whether it never changes again.
    #[must_use]
    pub fn is_terminal(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// A run that was lost with its worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loss {
    /// Number of the run.
    #[serde(rename = "r")]
    pub run: u64,
    /// The worker's life.
    #[serde(rename = "w")]
    pub worker: Arc<str>,
    /// Whether no other run there may be why the worker was lost.
    #[serde(rename = "a", default, skip_serializing_if = "std::ops::Not::not")]
    pub alone: bool,
}

/// What is kept of one task that has not simply not begun.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TaskProgress {
    /// It ended successfully.
    #[serde(rename = "d", skip_serializing_if = "std::ops::Not::not")]
    pub done: bool,
    /// Numbers of the runs that failed. An end may be listed again to a new owner, and late: each
    /// number counts once.
    #[serde(rename = "f", skip_serializing_if = "Vec::is_empty")]
    pub failed_runs: Vec<u64>,
    /// Runs that were lost with their workers, in order.
    #[serde(rename = "l", skip_serializing_if = "Vec::is_empty")]
    pub lost: Vec<Loss>,
    /// Number and worker's life of each run that is or may be; written before a run is started, so that
    /// a new owner knows where to look for it.
    #[serde(rename = "w", skip_serializing_if = "Vec::is_empty")]
    pub runs: Vec<(u64, Arc<str>)>,
    /// Newest checkpoint of a run that ended.
    #[serde(rename = "c", skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<Arc<str>>,
}

/// How far a job is.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Its state.
    #[serde(rename = "s")]
    pub state: State,
    /// Tasks by "TIME.STEP.INDEX"; those without an entry have not ended yet.
    #[serde(rename = "t", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub tasks: BTreeMap<String, TaskProgress>,
    /// When it ended, in ms since 1970; 0 before.
    #[serde(rename = "e", default, skip_serializing_if = "is_zero_u64")]
    pub ended_ms: u64,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
fn is_zero_u64(value: &u64) -> bool {
    *value == 0
}
