//! What the stand-ins play.

use std::net::SocketAddr;

use crosspath_state::name::VmName;
use serde::{Deserialize, Serialize};

/// Everything that the stand-ins play.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Address of the platform's interfaces; port 0 for any.
    pub platform: SocketAddr,
    /// The VMs.
    pub vms: Vec<VmConfig>,
    /// Time that an append takes, in ms.
    #[serde(default)]
    pub log_latency_ms: u64,
    /// Records that the log keeps.
    #[serde(default = "default_retention")]
    pub log_retention: usize,
    /// Time that a reboot takes, in ms.
    #[serde(default = "default_reboot_ms")]
    pub reboot_ms: u64,
    /// Time that a request takes, in ms, by the first part of its path.
    #[serde(default)]
    pub service_ms: std::collections::BTreeMap<String, u64>,
    /// How late the VM list is, in ms.
    #[serde(default)]
    pub vm_list_lag_ms: u64,
}

/// One VM.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmConfig {
    /// Its name.
    pub name: VmName,
    /// Where it takes requests; port 0 for any.
    pub address: SocketAddr,
    /// Requests that it should run at one time at most.
    pub slots: u32,
}

fn default_retention() -> usize {
    100_000
}

fn default_reboot_ms() -> u64 {
    300
}
