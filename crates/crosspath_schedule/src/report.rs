//! Report of a shard owner to the owner of the fleet.

use std::sync::Arc;
use std::time::Duration;

use crosspath_job::spec::Resources;
use serde::{Deserialize, Serialize};

use crate::domains::Stamp;
use crate::scheduler::Scheduler;
use crate::worker::Worker;

/// VM of the shard, with the load of its worker.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the VM that the worker runs on.
    pub name: Arc<str>,
    /// Processor capacity, in thousandths of a core.
    pub cpu_millis: u64,
    /// Processor time reserved by runs, in thousandths of a core.
    pub used_millis: u64,
    /// Number of runs that exist or may exist on the VM.
    pub tasks: u32,
    /// Number of those runs that belong to long-running tasks.
    #[serde(rename = "lasting")]
    pub long_running: u32,
    /// Whether the VM accepts new work: its worker is listed, answers, is neither draining nor in
    /// cooldown, and its data centre is not evacuated.
    pub usable: bool,
    /// Whether the worker has reported its runs to this owner, and all ended runs that it reported
    /// are durable; `tasks` is meaningless otherwise.
    #[serde(rename = "known")]
    pub confirmed: bool,
    /// Total resources of the worker; zero in reports of daemons that do not tell them.
    #[serde(default)]
    pub capacity: Resources,
    /// Resources reserved by runs; zero in reports of daemons that do not tell them.
    #[serde(default)]
    pub used: Resources,
    /// Percentage of the capacity that the worker does not give yet, as it is warming up; 0 if it is
    /// warm, and in reports of daemons that do not tell it.
    #[serde(default)]
    pub cold_percent: u32,
    /// Time until the last finite run ends by the callers' estimates, in ms; told only for VMs of
    /// evacuated data centres.
    #[serde(default)]
    pub finite_ms: u64,
}

/// What waiting tasks lack that no worker of the shard can take now: number of tasks by the first
/// reason that applies. The workers are those that answer and are not to be vacated; members of a
/// gang count as if each were placed alone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Lacks {
    /// No worker has enough processor time left.
    pub cpu: u32,
    /// Some worker has the processor time, but none has the memory.
    pub memory: u32,
    /// Some worker has the processor time and some has the memory, but none has the accelerators.
    pub gpus: u32,
    /// Each resource is left on some worker, but all of them on none.
    pub fragmented: u32,
    /// Workers with enough resources left may not run the task: because of its label, its maximum
    /// of tasks per worker, or a worker that is quarantined or isolated.
    pub ineligible: u32,
}

/// Load and VMs of a shard, which holds one slice of a pool, as far as the shard owner knows them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// Processor time reserved by runs, in thousandths of a core.
    pub running_millis: u64,
    /// Processor time required by unblocked tasks that have no run, in thousandths of a core. Tasks
    /// that were blocked on quota in the last placement round are left out.
    pub waiting_millis: u64,
    /// Part of `running_millis` and `waiting_millis` that belongs to long-running tasks.
    #[serde(default, rename = "lasting_millis")]
    pub long_running_millis: u64,
    /// Processor time required by the tasks for which the last placement round found no worker, in
    /// thousandths of a core.
    pub unplaced_millis: u64,
    /// Number of long-running tasks among those.
    #[serde(rename = "unplaced_lasting")]
    pub unplaced_long_running: u32,
    /// Processor time required by tasks that wait for other steps of their job, in thousandths of a
    /// core.
    pub blocked_millis: u64,
    /// Largest processor time that a single waiting task requires, in thousandths of a core.
    pub largest_millis: u64,
    /// Priority of the most urgent job without long-running steps; 0 is the highest, `u32::MAX`
    /// means that there is none.
    pub priority: u32,
    /// Number of VMs that the steps with a limit of tasks per worker need at least: the maximum
    /// over these steps; 0 if there are none.
    #[serde(rename = "spread")]
    pub min_vms: u32,
    /// VMs of the shard's workers, except those workers that another one on the same VM has
    /// replaced.
    pub vms: Vec<Vm>,
    /// Resources required by unblocked tasks that have no run; zero in reports of daemons that do
    /// not tell them.
    #[serde(default)]
    pub waiting: Resources,
    /// What the tasks lack that no worker can take; zero in reports of daemons that do not tell it.
    #[serde(default)]
    pub lacks: Lacks,
    /// Reading of the owner's clock; `None` in reports of daemons that do not tell it.
    #[serde(default)]
    pub stamp: Option<Stamp>,
}

impl Vm {
    /// Whether it is certain that the VM has no runs.
    #[must_use]
    pub fn is_vacant(&self) -> bool {
        self.confirmed && self.tasks == 0
    }
}

impl Scheduler {
    /// Current load of the shard, for the owner of the fleet.
    #[must_use]
    pub fn report(&self, now: Duration) -> Pool {
        let mut pool = Pool { stamp: Some(self.stamp(now)), ..Pool::default() };
        for worker in self.workers.values().filter(|worker| !self.is_replaced_incarnation(worker)) {
            let is_long_running = |task| self.step_of(task).is_some_and(|step| step.long_running);
            let long_running = worker.runs.iter().filter(|((task, _), _)| is_long_running(*task));
            let long_running: Vec<u64> =
                long_running.map(|(_, reserved)| reserved.cpu_millis).collect();
            let long_running_millis = long_running.iter().copied().fold(0, u64::saturating_add);
            pool.long_running_millis = pool.long_running_millis.saturating_add(long_running_millis);
            pool.running_millis = pool.running_millis.saturating_add(worker.reserved.cpu_millis);
            pool.vms.push(Vm {
                name: worker.entry.vm.clone(),
                cpu_millis: worker.entry.capacity.cpu_millis,
                used_millis: worker.reserved.cpu_millis,
                tasks: u32::try_from(worker.runs.len()).unwrap_or(u32::MAX),
                long_running: u32::try_from(long_running.len()).unwrap_or(u32::MAX),
                usable: worker.is_usable(now) && !self.is_evacuated(worker),
                // An ended run that is not durable yet would be lost with the worker.
                confirmed: worker.has_durable_ends(),
                capacity: worker.entry.capacity,
                used: worker.reserved,
                cold_percent: worker.cold_percent(now),
                finite_ms: if self.is_evacuated(worker) { self.finite_ms(now, worker) } else { 0 },
            });
        }
        for key in &self.waiting {
            let cpu = key.resources.cpu_millis;
            pool.waiting_millis = pool.waiting_millis.saturating_add(cpu);
            pool.waiting.add(&key.resources);
            if key.is_long_running() {
                pool.long_running_millis = pool.long_running_millis.saturating_add(cpu);
            }
            pool.largest_millis = pool.largest_millis.max(cpu);
        }
        // Tasks that are blocked only by a customer's maximum need no VM.
        pool.waiting_millis = pool.waiting_millis.saturating_sub(self.quotas.quota_blocked_millis);
        pool.blocked_millis = self.blocked_millis();
        pool.unplaced_millis = if self.waiting.is_empty() { 0 } else { self.unplaced_millis };
        pool.unplaced_long_running =
            if self.waiting.is_empty() { 0 } else { self.unplaced_long_running };
        pool.lacks = self.count_lacks(now);
        pool.min_vms = self.min_vms();
        pool.priority = self.priority();
        pool
    }

    /// Time until the last finite run on a worker ends by the callers' estimates, in ms.
    fn finite_ms(&self, now: Duration, worker: &Worker) -> u64 {
        let left = worker.runs.keys().filter_map(|(task, run)| {
            let step = self.step_of(*task).filter(|step| !step.long_running)?;
            let end = self.run(*task, *run)?.start_sent + Duration::from_millis(step.estimate_ms);
            u64::try_from(end.saturating_sub(now).as_millis()).ok()
        });
        left.max().unwrap_or_default()
    }

    /// Whether a worker does not answer while another worker on the same VM does.
    fn is_replaced_incarnation(&self, worker: &Worker) -> bool {
        let same_vm = |other: &&Worker| {
            other.entry.vm == worker.entry.vm && other.entry.id != worker.entry.id
        };
        !worker.is_answering() && self.workers.values().filter(same_vm).any(Worker::is_answering)
    }

    /// Priority of the most urgent job without long-running steps; `u32::MAX` if there is none.
    fn priority(&self) -> u32 {
        let running = self.jobs.values().filter(|job| !job.state.is_terminal());
        let finite =
            running.filter(|job| !job.accepted.spec.steps.iter().any(|step| step.long_running));
        finite.map(|job| job.accepted.policy.priority).min().unwrap_or(u32::MAX)
    }

    /// Largest number of workers over which a step must be spread; 0 if no step must.
    fn min_vms(&self) -> u32 {
        let running = self.jobs.values().filter(|job| !job.state.is_terminal());
        let steps = running.flat_map(|job| &job.accepted.spec.steps);
        let spread = steps.filter(|step| step.max_per_worker > 0);
        spread.map(|step| step.tasks.div_ceil(step.max_per_worker)).max().unwrap_or(0)
    }

    fn blocked_millis(&self) -> u64 {
        let mut total = 0_u64;
        for job in self.jobs.values().filter(|job| !job.state.is_terminal()) {
            for occurrence in job.occurrences.iter().filter(|occurrence| occurrence.due) {
                for (number, step) in occurrence.steps.iter().enumerate() {
                    if !step.unblocked {
                        let reserved = job.accepted.spec.steps[number].reserved();
                        let blocked = reserved.cpu_millis.saturating_mul(u64::from(step.remaining));
                        total = total.saturating_add(blocked);
                    }
                }
            }
        }
        total
    }
}
