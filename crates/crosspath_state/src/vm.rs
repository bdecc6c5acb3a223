//! VMs: what an operator declares of one, and where it is in its maintenance.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::name::{DataCentre, PoolName, Rack, WaveName};
use crate::time::Wall;

/// A VM as an operator declares it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// The one pool that it belongs to.
    pub pool: PoolName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its rack.
    pub rack: Rack,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Processors, in cores.
    pub cores: u32,
    /// Memory, in MB.
    pub memory_mb: u64,
    /// Accelerators.
    #[serde(default)]
    pub accelerators: u32,
    /// Requests it runs at one time, over all daemons.
    pub slots: u32,
    /// Connections it accepts, over all daemons.
    pub connections: u32,
}

/// Where a VM is in its life.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "phase", rename_all = "snake_case")]
pub enum Phase {
    /// Takes work.
    #[default]
    Serving,
    /// Takes no new work, finishes what it has.
    Draining {
        /// For this wave.
        wave: WaveName,
    },
    /// Is being rebooted or moved by the platform.
    Rebooting {
        /// For this wave.
        wave: WaveName,
    },
    /// Was seen failed.
    Failed {
        /// When, by the observer's clock.
        seen_at: Wall,
    },
}

impl Phase {
    /// The wave that took the VM out, if one did.
    #[must_use]
    pub fn wave(&self) -> Option<&WaveName> {
        match self {
            Self::Draining { wave } | Self::Rebooting { wave } => Some(wave),
            Self::Serving | Self::Failed { .. } => None,
        }
    }

    /// Whether new work may go there.
    #[must_use]
    pub fn takes_work(&self) -> bool {
        matches!(self, Self::Serving)
    }
}
