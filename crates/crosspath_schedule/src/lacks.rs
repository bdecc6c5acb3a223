//! What waiting tasks lack that no worker can take.
//!
//! Counted once a report. A task is compared with the largest free amount of each resource first;
//! only if it fits within these are the workers searched, once for all tasks with equal
//! requirements.

use std::collections::HashMap;
use std::time::Duration;

use crosspath_job::TaskId;
use crosspath_job::spec::{Resources, Step};

use crate::place::Key;
use crate::report::Lacks;
use crate::scheduler::Scheduler;
use crate::worker::Worker;

/// Largest number of searches in one report, so that its cost stays a few thousand comparisons with
/// hundreds of workers. Tasks beyond it that need a search are left out.
const MAX_SEARCHES: usize = 64;

/// Reason for which no worker can take a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Lack {
    Cpu,
    Memory,
    Gpus,
    Fragmented,
    Ineligible,
}

impl Lacks {
    fn count(&mut self, lack: Lack) {
        let tasks = match lack {
            Lack::Cpu => &mut self.cpu,
            Lack::Memory => &mut self.memory,
            Lack::Gpus => &mut self.gpus,
            Lack::Fragmented => &mut self.fragmented,
            Lack::Ineligible => &mut self.ineligible,
        };
        *tasks = tasks.saturating_add(1);
    }
}

impl Scheduler {
    /// Counts the waiting tasks that no worker in service can take, by what they lack. Tasks that
    /// wait for something else, such as quota or the next round of placement, are not counted.
    pub(crate) fn count_lacks(&self, now: Duration) -> Lacks {
        let workers = self.workers.values().filter(|worker| self.is_in_service(now, worker));
        let workers: Vec<_> = workers.collect();
        let zero = Resources::default();
        let most_free = workers.iter().fold(zero, |most, one| most.component_max(&one.free()));
        let mut lacks = Lacks::default();
        let mut searches: HashMap<_, Option<Lack>> = HashMap::new();
        for key in &self.waiting {
            if self.is_quota_blocked(key.task.job) {
                continue;
            }
            if let Some(lack) = exhausted(&key.resources, &most_free) {
                lacks.count(lack);
                continue;
            }
            let Some(step) = self.step_of(key.task) else { continue };
            let requirement = requirement(key);
            if searches.len() >= MAX_SEARCHES && !searches.contains_key(&requirement) {
                continue;
            }
            let lack = *searches
                .entry(requirement)
                .or_insert_with(|| self.search(now, &workers, key, step));
            if let Some(lack) = lack {
                lacks.count(lack);
            }
        }
        lacks
    }

    /// What a task lacks for which each resource is free on some worker; `None` if a worker can
    /// take it.
    fn search(&self, now: Duration, workers: &[&Worker], key: &Key, step: &Step) -> Option<Lack> {
        let fitting = workers.iter().filter(|worker| key.resources.fits(&worker.free()));
        let mut fitting = fitting.peekable();
        if fitting.peek().is_none() {
            return Some(Lack::Fragmented);
        }
        let none_eligible = fitting.all(|worker| !self.is_eligible(now, worker, key.task, step));
        none_eligible.then_some(Lack::Ineligible)
    }
}

/// First resource of which no worker has enough; `most_free` holds the largest free amount of each.
fn exhausted(needed: &Resources, most_free: &Resources) -> Option<Lack> {
    if needed.cpu_millis > most_free.cpu_millis {
        Some(Lack::Cpu)
    } else if needed.mem_mb > most_free.mem_mb {
        Some(Lack::Memory)
    } else if needed.gpus > most_free.gpus {
        Some(Lack::Gpus)
    } else {
        None
    }
}

/// Key by which tasks share a search: their resources, and the step if it restricts the workers.
fn requirement(key: &Key) -> (u64, u64, u64, Option<TaskId>, bool) {
    let Resources { cpu_millis, mem_mb, gpus } = key.resources;
    let step = (!key.unconstrained).then_some(TaskId { index: 0, ..key.task });
    (cpu_millis, mem_mb, gpus, step, key.isolated)
}
