//! Maintenance waves: what an operator declares of one, and how far it is.

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
    /// Serve one VM of each pool alone first, and go on only when it is back.
    #[serde(default)]
    pub canary: bool,
    /// Failures during the wave, among the VMs it serviced, after which it pauses itself.
    #[serde(default = "default_pause_after_failures")]
    pub pause_after_failures: u32,
}

fn default_pause_after_failures() -> u32 {
    2
}

/// Whether a wave goes on.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "phase", rename_all = "snake_case")]
pub enum Phase {
    /// Starts the next VM when a budget allows.
    #[default]
    Running,
    /// Starts no further VM.
    Paused {
        /// Why.
        cause: Cause,
    },
    /// Starts no further VM, ever.
    Cancelled,
    /// Every target is serviced.
    Done,
}

/// Why a wave is paused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// An operator asked for it.
    Operator,
    /// Too many of the VMs it serviced have failed.
    CorrelatedFailures,
}

/// What the fold keeps of a wave beside its spec.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Whether it goes on.
    pub phase: Phase,
    /// Where it was declared first; tells it from an earlier wave of the same name.
    pub declared_at: Revision,
    /// VMs to be serviced: those of the pools when the wave was declared.
    pub targets: OrdSet<VmName>,
    /// VMs that came back from their reboot.
    pub serviced: OrdSet<VmName>,
    /// VMs of the wave that failed while it took them out, or after it serviced them.
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

    /// Ends the wave when nothing is due any more.
    pub(crate) fn complete_if_finished(&mut self) {
        let finished = self.remaining().next().is_none();
        if finished && self.phase == Phase::Running {
            self.phase = Phase::Done;
        }
    }
}
