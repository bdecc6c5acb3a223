//! Progress of a job, as stored in its progress record.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// State of a job as reported to callers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The job is accepted, and no task has started yet.
    #[default]
    Queued,
    /// At least one task has started.
    Running,
    /// Every task has ended successfully.
    Completed,
    /// A task has failed as often as the policy permits, or was lost with too many workers.
    Failed,
    /// The job was cancelled on request, before it completed or failed.
    Cancelled,
}

impl State {
    /// Whether the state is terminal: it never changes again.
    #[must_use]
    pub fn is_terminal(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// A run that was lost together with its worker.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Loss {
    /// Number of the lost run, unique within its task.
    #[serde(rename = "r")]
    pub run: u64,
    /// Incarnation of the worker on which the run was lost.
    #[serde(rename = "w")]
    pub worker: Arc<str>,
    /// Whether no other run on the worker can be the cause of the worker's loss.
    #[serde(rename = "a", default, skip_serializing_if = "std::ops::Not::not")]
    pub alone: bool,
}

/// Stored progress of one task. The default value is not stored: it stands for a task that is not
/// done and has no runs, failures, losses or checkpoint.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct TaskProgress {
    /// Whether the task ended successfully.
    #[serde(rename = "d", skip_serializing_if = "std::ops::Not::not")]
    pub done: bool,
    /// Numbers of the runs that failed. Each number counts once: a worker may report the same
    /// failure again, late or to a new shard owner.
    #[serde(rename = "f", skip_serializing_if = "Vec::is_empty")]
    pub failed_runs: Vec<u64>,
    /// Runs that were lost with their workers, oldest first.
    #[serde(rename = "l", skip_serializing_if = "Vec::is_empty")]
    pub lost: Vec<Loss>,
    /// Number and worker incarnation of each run that exists or may exist. Written before a run is
    /// started, so that a new shard owner knows where to look for it.
    #[serde(rename = "w", skip_serializing_if = "Vec::is_empty")]
    pub runs: Vec<(u64, Arc<str>)>,
    /// Newest checkpoint of a run that has ended.
    #[serde(rename = "c", skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<Arc<str>>,
}

/// Progress by task, keyed `TIME.STEP.INDEX`, where `TIME` is the occurrence.
pub type Tasks = BTreeMap<String, TaskProgress>;

/// Progress of consecutive tasks of a job, where one record is too small for all of them. Each part
/// is a record of its own, which only the shard owner writes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Progress of the tasks. It replaces what an earlier part, or the job's progress record, has
    /// for the same tasks.
    #[serde(rename = "t")]
    pub tasks: Tasks,
}

/// Value of a job's progress record, which only the shard owner writes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Current state of the job.
    #[serde(rename = "s")]
    pub state: State,
    /// Progress of the tasks that no [`Part`] holds. Empty once the state is terminal; until then, a
    /// task without an entry has not ended successfully.
    #[serde(rename = "t", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub tasks: Tasks,
    /// When the job ended, in ms since 1970; 0 while it has not ended.
    #[serde(rename = "e", default, skip_serializing_if = "is_zero_u64")]
    pub ended_ms: u64,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
fn is_zero_u64(value: &u64) -> bool {
    *value == 0
}
