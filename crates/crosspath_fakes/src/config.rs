//! Configuration of the fakes.

use std::net::SocketAddr;

use crosspath_state::name::VmName;
use serde::{Deserialize, Serialize};

/// Configuration of the fake platform and of all upstream VMs.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Listen address of the platform's interfaces; port 0 selects a free port.
    pub platform: SocketAddr,
    /// Upstream VMs to serve.
    pub vms: Vec<VmConfig>,
    /// Latency of an append to the log, in ms.
    #[serde(default)]
    pub log_latency_ms: u64,
    /// Number of records that the log retains; older ones expire.
    #[serde(default = "default_retention")]
    pub log_retention: usize,
    /// Duration of a reboot, in ms.
    #[serde(default = "default_reboot_ms")]
    pub reboot_ms: u64,
    /// Service time of a request in ms, by the first segment of its path; 0 for paths not listed.
    #[serde(default)]
    pub service_ms: std::collections::BTreeMap<String, u64>,
    /// Delay after which the VM list shows a change of state, in ms.
    #[serde(default)]
    pub vm_list_lag_ms: u64,
}

/// Configuration of one VM.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmConfig {
    /// Name of the VM in the platform's interfaces.
    pub name: VmName,
    /// Listen address for requests; port 0 selects a free port.
    pub address: SocketAddr,
    /// Maximum number of concurrent requests that the VM should receive. Not enforced, only
    /// compared with what is observed.
    pub slots: u32,
}

fn default_retention() -> usize {
    100_000
}

fn default_reboot_ms() -> u64 {
    300
}
