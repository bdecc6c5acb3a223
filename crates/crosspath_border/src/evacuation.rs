//! Progress of an evacuation, as the owner of the fleet publishes it for operators.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Work that remains in an evacuated data centre.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Time of the observation, in ms since 1970.
    pub at_ms: u64,
    /// End of the part of the operators' log by which the evacuations were known.
    pub read_to: u64,
    /// Work that remains, by pool. Pools without VMs there are left out.
    pub pools: BTreeMap<Arc<str>, Tasks>,
    /// VMs there whose tasks are not known, as the owner of their pool does not answer, or has not
    /// heard from the worker yet.
    pub unknown_vms: u32,
    /// Whether the evacuation is in force at all daemons, so that nothing more can start there.
    pub in_force: bool,
}

/// Work of one pool that remains in an evacuated data centre.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tasks {
    /// Number of VMs there.
    pub vms: u32,
    /// Number of tasks that end by themselves.
    pub finite: u32,
    /// Number of long-running tasks, which leave one by one.
    pub long_running: u32,
    /// Time until the last finite task ends by the callers' estimates, in ms; 0 if it should have
    /// ended already, or there is no estimate.
    pub finite_ms: u64,
}

impl Progress {
    /// Whether nothing runs there and nothing can start there any more.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        let has_tasks = |tasks: &Tasks| tasks.finite > 0 || tasks.long_running > 0;
        self.in_force && self.unknown_vms == 0 && !self.pools.values().any(has_tasks)
    }
}
