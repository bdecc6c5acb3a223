//! Jobs: their specification and placement.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::name::{PoolName, TeamName, VmName};

/// Urgency of work.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Interactive work: a caller waits for the response.
    Urgent,
    /// Background work, which may be delayed.
    Batch,
}

impl Class {
    /// Every class, most urgent first.
    pub const ALL: [Self; 2] = [Self::Urgent, Self::Batch];

    /// Value of the class in metric labels.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Batch => "batch",
        }
    }
}

/// A job as an operator declares it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// The pool on whose VMs it runs.
    pub pool: PoolName,
    /// The team whose quota it uses.
    pub team: TeamName,
    /// Urgency of the job.
    pub class: Class,
    /// Processor cores that it takes.
    pub cores: u32,
    /// Memory that it takes, in MB.
    pub memory_mb: u64,
    /// Number of accelerators that it takes.
    #[serde(default)]
    pub accelerators: u32,
    /// Whether it can be suspended on its VM and resumed there.
    #[serde(default)]
    pub checkpointable: bool,
}

/// Phase of a job.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "phase", rename_all = "snake_case")]
pub enum Phase {
    /// Waits for placement on a VM.
    #[default]
    Pending,
    /// Runs on a VM.
    Running {
        /// Name of the VM.
        vm: VmName,
    },
    /// Is checkpointed and keeps its resources on the VM.
    Suspended {
        /// Name of the VM.
        vm: VmName,
    },
}

impl Phase {
    /// The VM whose resources the job takes, running or suspended.
    #[must_use]
    pub fn vm(&self) -> Option<&VmName> {
        match self {
            Self::Running { vm } | Self::Suspended { vm } => Some(vm),
            Self::Pending => None,
        }
    }
}

/// Status of a job.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Status {
    /// Current phase of the job.
    pub phase: Phase,
    /// Number of moves from one VM to another.
    pub moves: u32,
}
