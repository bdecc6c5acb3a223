//! Jobs: what an operator declares of one, and where it runs.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::name::{PoolName, TeamName, VmName};

/// How urgent work is.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Someone waits for the answer.
    Urgent,
    /// May wait.
    Batch,
}

impl Class {
    /// Every class, most urgent first.
    pub const ALL: [Self; 2] = [Self::Urgent, Self::Batch];

    /// The class as a metric label.
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
    /// How urgent it is.
    pub class: Class,
    /// Processors, in cores.
    pub cores: u32,
    /// Memory, in MB.
    pub memory_mb: u64,
    /// Accelerators.
    #[serde(default)]
    pub accelerators: u32,
    /// Whether it can be suspended on its VM and resumed there.
    #[serde(default)]
    pub checkpointable: bool,
}

/// Where a job is.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "phase", rename_all = "snake_case")]
pub enum Phase {
    /// Waits for a VM.
    #[default]
    Pending,
    /// Runs.
    Running {
        /// On this VM.
        vm: VmName,
    },
    /// Is checkpointed and keeps its place.
    Suspended {
        /// On this VM.
        vm: VmName,
    },
}

impl Phase {
    /// The VM whose room the job takes, running or suspended.
    #[must_use]
    pub fn vm(&self) -> Option<&VmName> {
        match self {
            Self::Running { vm } | Self::Suspended { vm } => Some(vm),
            Self::Pending => None,
        }
    }
}

/// What the fold keeps of a job beside its spec.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Status {
    /// Where it is.
    pub phase: Phase,
    /// How often it has been moved from one VM to another.
    pub moves: u32,
}
