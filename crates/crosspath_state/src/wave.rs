//! Maintenance waves: their specification and progress.

use imbl::OrdSet;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::name::{PoolName, VmName};
use crate::record::Revision;

/// A wave as an operator declares it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// Pools whose VMs are serviced.
    pub pools: Vec<PoolName>,
    /// Service one VM of each pool alone first, and continue only once it serves again.
    #[serde(default)]
    pub canary: bool,
    /// Number of failed VMs among the wave's targets at which the wave pauses itself.
    #[serde(default = "default_pause_after_failures")]
    pub pause_after_failures: u32,
}

fn default_pause_after_failures() -> u32 {
    2
}

/// Phase of a wave.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "phase", rename_all = "snake_case")]
pub enum Phase {
    /// Drains further VMs as the pools' budgets allow.
    #[default]
    Running,
    /// Drains no further VM until it is set to running again.
    Paused {
        /// Why the wave is paused.
        cause: Cause,
    },
    /// Ended by an operator; drains no further VM.
    Cancelled,
    /// Ended: no target is left to service.
    Done,
}

/// Why a wave is paused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// An operator paused the wave.
    Operator,
    /// The number of failed targets reached `pause_after_failures`.
    CorrelatedFailures,
}

/// Progress of a wave.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Current phase of the wave.
    pub phase: Phase,
    /// Offset of the record that first declared it; distinguishes it from earlier waves of the same
    /// name.
    pub declared_at: Revision,
    /// VMs to be serviced: those of the pools when the wave was declared.
    pub targets: OrdSet<VmName>,
    /// VMs that returned from their reboot.
    pub serviced: OrdSet<VmName>,
    /// Targets that failed during the wave and have not recovered.
    pub failed: OrdSet<VmName>,
}

impl Phase {
    /// Whether the wave has ended.
    #[must_use]
    pub fn is_terminal(&self) -> bool {
        matches!(self, Self::Cancelled | Self::Done)
    }
}

impl Status {
    /// Targets that are neither serviced nor failed.
    pub fn remaining(&self) -> impl Iterator<Item = &VmName> {
        let handled = |vm: &&VmName| !self.serviced.contains(*vm) && !self.failed.contains(*vm);
        self.targets.iter().filter(handled)
    }

    /// Ends a running wave if no target remains.
    pub(crate) fn complete_if_finished(&mut self) {
        let finished = self.remaining().next().is_none();
        if finished && self.phase == Phase::Running {
            self.phase = Phase::Done;
        }
    }
}
