//! What a shard's owner tells the fleet's owner.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::scheduler::Scheduler;
use crate::worker::Worker;

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
    #[serde(rename = "lasting")]
    pub long_running: u32,
    /// Whether it takes work: listed, answering, not draining, its data centre not evacuated.
    pub usable: bool,
    /// Whether its worker has told this owner what runs there, and all ends that it told of are
    /// kept; `tasks` says nothing otherwise.
    #[serde(rename = "known")]
    pub confirmed: bool,
}

/// A pool as its owner sees it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// Reserved by what runs, in thousandths of a core.
    pub running_millis: u64,
    /// Wanted by tasks whose turn has come and that have no place.
    pub waiting_millis: u64,
    /// Part of `running_millis` and `waiting_millis` that is of lasting tasks.
    #[serde(default, rename = "lasting_millis")]
    pub long_running_millis: u64,
    /// Wanted by tasks for which no worker was found, in thousandths of a core.
    pub unplaced_millis: u64,
    /// Lasting tasks among those.
    #[serde(rename = "unplaced_lasting")]
    pub unplaced_long_running: u32,
    /// Wanted by tasks that wait for others of their job.
    pub blocked_millis: u64,
    /// Largest single task that waits.
    pub largest_millis: u64,
    /// Priority of the most urgent brief work there is; 0 goes first.
    pub priority: u32,
    /// VMs over which some step must be spread.
    #[serde(rename = "spread")]
    pub min_vms: u32,
    /// Its VMs.
    pub vms: Vec<Vm>,
}

impl Vm {
    /// Whether surely nothing runs there.
    #[must_use]
    pub fn is_vacant(&self) -> bool {
        self.confirmed && self.tasks == 0
    }
}

impl Scheduler {
    /// The pool for the fleet's owner.
    #[must_use]
    pub fn report(&self, now: Duration) -> Pool {
        let mut pool = Pool::default();
        for worker in self.workers.values().filter(|worker| !self.is_superseded_incarnation(worker))
        {
            let is_long_running = |task| self.step_of(task).is_some_and(|step| step.long_running);
            let long_running = worker.runs.iter().filter(|((task, _), _)| is_long_running(*task));
            let long_running: Vec<u64> =
                long_running.map(|(_, reserved)| reserved.cpu_millis).collect();
            pool.long_running_millis += long_running.iter().sum::<u64>();
            pool.running_millis += worker.reserved.cpu_millis;
            pool.vms.push(Vm {
                name: worker.entry.vm.clone(),
                cpu_millis: worker.entry.capacity.cpu_millis,
                used_millis: worker.reserved.cpu_millis,
                tasks: u32::try_from(worker.runs.len()).unwrap_or(u32::MAX),
                long_running: u32::try_from(long_running.len()).unwrap_or(u32::MAX),
                usable: worker.is_usable(now) && !self.is_evacuated(worker),
                // An end that is not kept yet would be lost with the worker.
                confirmed: worker.is_answering() && worker.ends_seen == worker.ends_acknowledged,
            });
        }
        for key in &self.waiting {
            let cpu = key.resources.cpu_millis;
            pool.waiting_millis += cpu;
            pool.long_running_millis += if key.is_long_running() { cpu } else { 0 };
            pool.largest_millis = pool.largest_millis.max(cpu);
        }
        // What only a customer's maximum holds back needs no VM.
        pool.waiting_millis = pool.waiting_millis.saturating_sub(self.quotas.quota_blocked_millis);
        pool.blocked_millis = self.blocked_millis();
        pool.unplaced_millis = if self.waiting.is_empty() { 0 } else { self.unplaced_millis };
        pool.unplaced_long_running =
            if self.waiting.is_empty() { 0 } else { self.unplaced_long_running };
        pool.min_vms = self.min_vms();
        pool.priority = self.priority();
        pool
    }

    /// Whether a worker does not answer while another life of its VM does.
    fn is_superseded_incarnation(&self, worker: &Worker) -> bool {
        let same_vm = |other: &&Worker| {
            other.entry.vm == worker.entry.vm && other.entry.id != worker.entry.id
        };
        !worker.is_answering() && self.workers.values().filter(same_vm).any(Worker::is_answering)
    }

    /// Priority of the most urgent brief work.
    fn priority(&self) -> u32 {
        let running = self.jobs.values().filter(|job| !job.state.is_terminal());
        let brief =
            running.filter(|job| !job.accepted.spec.steps.iter().any(|step| step.long_running));
        brief.map(|job| job.accepted.policy.priority).min().unwrap_or(u32::MAX)
    }

    /// Workers over which some step must be spread.
    fn min_vms(&self) -> u32 {
        let running = self.jobs.values().filter(|job| !job.state.is_terminal());
        let steps = running.flat_map(|job| &job.accepted.spec.steps);
        let spread = steps.filter(|step| step.max_per_worker > 0);
        spread.map(|step| step.tasks.div_ceil(step.max_per_worker)).max().unwrap_or(0)
    }

    fn blocked_millis(&self) -> u64 {
        let mut total = 0;
        for job in self.jobs.values().filter(|job| !job.state.is_terminal()) {
            for occurrence in job.occurrences.iter().filter(|occurrence| occurrence.due) {
                for (number, step) in occurrence.steps.iter().enumerate() {
                    if !step.unblocked {
                        let reserved = job.accepted.spec.steps[number].reserved();
                        total += reserved.cpu_millis * u64::from(step.remaining);
                    }
                }
            }
        }
        total
    }
}
