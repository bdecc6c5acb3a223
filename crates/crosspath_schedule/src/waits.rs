//! Log lines that tell why a long-running task has no worker.
//!
//! For each worker with enough free resources the line counts the first reason for which the worker
//! does not take the task, in the order of [`Exclusion`].

use std::time::Duration;

use crosspath_job::spec::Step;

use crate::place::{Key, siblings_on};
use crate::scheduler::Scheduler;
use crate::worker::Worker;

/// Time without a run after which a long-running task is logged. Moves and restarts take less.
const MIN_WAIT: Duration = Duration::from_secs(2);
/// Minimum interval between two logs of a shard.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of tasks per log; those that have waited longest are preferred.
const MAX_TASKS: usize = 4;

/// Reason for which a worker with enough free resources does not take a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Exclusion {
    /// It is unlisted or does not answer.
    Silent,
    Draining,
    /// It refused or did not answer an order just now.
    Paused,
    /// Its VM is needed elsewhere, or its data centre is evacuated.
    Vacating,
    Quarantined,
    /// It runs an isolated task or is reserved for one; for a task that is to be isolated, it has
    /// runs on probation.
    Isolating,
    /// It lacks the label or the advice that the step requires.
    Requirement,
    /// It runs as many tasks of the step as one worker may.
    Siblings,
    /// None applies: the next round of placement can use the worker.
    Eligible,
}

impl Exclusion {
    const COUNT: usize = Self::Eligible as usize + 1;
}

impl Scheduler {
    /// Logs the long-running tasks that have waited for a worker for [`MIN_WAIT`].
    pub(crate) fn log_waits(&mut self, now: Duration) {
        if now < self.waits_logged_at + LOG_INTERVAL {
            return;
        }
        self.waits_logged_at = now;
        let waiting = self.waiting.iter().filter(|key| key.is_long_running());
        let waits = waiting.filter_map(|key| {
            let task = self.jobs.get(&key.task.job)?.task(key.task)?;
            let waited = now.saturating_sub(task.waiting_since);
            (waited >= MIN_WAIT).then_some((waited, key))
        });
        let mut waits: Vec<_> = waits.collect();
        waits.sort_by_key(|(waited, key)| (std::cmp::Reverse(*waited), key.task));
        let total = waits.len();
        for (waited, key) in waits.into_iter().take(MAX_TASKS) {
            self.log_wait(now, waited, key, total);
        }
    }

    fn log_wait(&self, now: Duration, waited: Duration, key: &Key, total: usize) {
        let id = key.task;
        let Some(step) = self.step_of(id) else { return };
        let mut workers = [0_usize; Exclusion::COUNT];
        for worker in self.workers.values().filter(|worker| key.resources.fits(&worker.free())) {
            workers[self.exclusion(now, worker, key, step) as usize] += 1;
        }
        let count = |exclusion: Exclusion| workers[exclusion as usize];
        log::info!(
            "event=task_waits task={id} waited_ms={} tasks={total} unreached={} unreported={} quota_blocked={} cpu_millis={} mem_mb={} silent={} draining={} paused={} vacating={} quarantined={} isolating={} requirement={} siblings={} free={}",
            waited.as_millis(),
            self.unreached,
            self.may_have_unreported_run(id),
            self.is_quota_blocked(id.job),
            key.resources.cpu_millis,
            key.resources.mem_mb,
            count(Exclusion::Silent),
            count(Exclusion::Draining),
            count(Exclusion::Paused),
            count(Exclusion::Vacating),
            count(Exclusion::Quarantined),
            count(Exclusion::Isolating),
            count(Exclusion::Requirement),
            count(Exclusion::Siblings),
            count(Exclusion::Eligible)
        );
    }

    fn exclusion(&self, now: Duration, worker: &Worker, key: &Key, step: &Step) -> Exclusion {
        let id = key.task;
        let isolates = if key.isolated {
            !self.can_isolate(worker)
        } else {
            worker.isolates() || self.reserved_for_isolation.contains(&worker.entry.id)
        };
        let has_label = step.requires.as_ref().is_none_or(|label| worker.has_label(label));
        let is_full = step.max_per_worker > 0 && siblings_on(worker, id) >= step.max_per_worker;
        match () {
            () if !worker.listed || !worker.is_answering() => Exclusion::Silent,
            () if worker.entry.draining => Exclusion::Draining,
            () if now < worker.cooldown_until => Exclusion::Paused,
            () if self.must_be_vacated(worker) => Exclusion::Vacating,
            () if self.is_quarantined(now, worker) => Exclusion::Quarantined,
            () if isolates => Exclusion::Isolating,
            () if !has_label || !self.tickets.allows(id, &worker.entry.id) => {
                Exclusion::Requirement
            }
            () if is_full => Exclusion::Siblings,
            () => Exclusion::Eligible,
        }
    }
}
