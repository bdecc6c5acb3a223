//! What a shard's owner tells the fleet's owner.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// One VM of the pool.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Its name.
    pub name: Arc<str>,
    /// Processor time that it has, in thousandths of a core.
    pub cpu_millis: u64,
    /// Processor time that is reserved.
    pub used_millis: u64,
    /// Tasks that run or may run there.
    pub tasks: u32,
    /// Lasting tasks among them.
    pub lasting: u32,
    /// Whether it takes work: listed, answering, not draining.
    pub usable: bool,
    /// Whether its worker has told this owner what runs there, and all ends that it told of are
    /// kept; `tasks` says nothing otherwise.
    pub known: bool,
}

/// A pool as its owner sees it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// Reserved by what runs, in thousandths of a core.
    pub running_millis: u64,
    /// Wanted by tasks whose turn has come and that have no place.
    pub waiting_millis: u64,
    /// Wanted by tasks for which no worker was found, in thousandths of a core.
    pub unplaced_millis: u64,
    /// Lasting tasks among those.
    pub unplaced_lasting: u32,
    /// Wanted by tasks that wait for others of their job.
    pub blocked_millis: u64,
    /// Largest single task that waits.
    pub largest_millis: u64,
    /// Priority of the most urgent brief work there is; 0 goes first.
    pub priority: u32,
    /// VMs over which some step must be spread.
    pub spread: u32,
    /// Its VMs.
    pub vms: Vec<Vm>,
}

impl Vm {
    /// Whether surely nothing runs there.
    #[must_use]
    pub fn is_vacant(&self) -> bool {
        self.known && self.tasks == 0
    }
}
