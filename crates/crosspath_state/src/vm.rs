//! VMs: their specification and maintenance phase.

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
    /// Data centre that it is in.
    pub data_centre: DataCentre,
    /// Rack within the data centre.
    pub rack: Rack,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Processors, in cores.
    pub cores: u32,
    /// Memory of the VM, in MB.
    pub memory_mb: u64,
    /// Number of accelerators.
    #[serde(default)]
    pub accelerators: u32,
    /// Requests that it runs concurrently, over all daemons.
    pub slots: u32,
    /// Connections that it accepts, over all daemons.
    pub connections: u32,
}

/// Phase of a VM.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "phase", rename_all = "snake_case")]
pub enum Phase {
    /// Accepts work.
    #[default]
    Serving,
    /// Accepts no new work and finishes what it has.
    Draining {
        /// Wave that took the VM out of service.
        wave: WaveName,
    },
    /// Is being rebooted or moved by the platform.
    Rebooting {
        /// Wave that took the VM out of service.
        wave: WaveName,
    },
    /// Was reported as failed.
    Failed {
        /// When the failure was observed, by the observer's clock.
        seen_at: Wall,
    },
}

impl Phase {
    /// The wave that took the VM out of service, if any.
    #[must_use]
    pub fn wave(&self) -> Option<&WaveName> {
        match self {
            Self::Draining { wave } | Self::Rebooting { wave } => Some(wave),
            Self::Serving | Self::Failed { .. } => None,
        }
    }

    /// Whether new work may be placed on the VM.
    #[must_use]
    pub fn takes_work(&self) -> bool {
        matches!(self, Self::Serving)
    }
}
