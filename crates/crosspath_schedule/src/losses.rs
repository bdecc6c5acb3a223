//! Runs that were lost with their workers, and how tasks that crash workers are found.
//!
//! A task may crash every worker that starts it, and a worker that crashes reports no end of its
//! runs. So each run that is lost with its worker is counted as a loss of its task. Losses are part
//! of the task's progress record, so they survive a change of owner.
//!
//! Most lost tasks are bystanders: up to 18 run beside the one that caused the crash. What a number
//! of losses says about a task therefore depends on what ran beside it, and placement controls
//! that:
//!
//! - After one loss a task is placed like any other.
//! - After two losses it is separated: it goes to the worker with the fewest other suspects, and
//!   among those to the emptiest, so that the tasks lost with one worker spread over several.
//! - After three losses it is isolated: it starts on a worker where no other run is on probation,
//!   and nothing else starts there until its run has passed the probation, see [`PROBATION`].
//! - A third or later loss during which no other run could be the cause fails the task's job. So
//!   does the fourth loss of any kind.
//!
//! The numbers are a compromise. Reserving workers for a few tasks makes the rest of the pool wait,
//! and so does sending all of some 18 lost tasks to the emptiest workers. Without any separation
//! sound jobs would fail, and a task that is identified late costs more workers.
//!
//! A long-running task is cleared of its losses once a run of it passes the probation. Otherwise
//! the ordinary failures of its workers over a day would fail its job, which ends all tasks of
//! that job at once, whatever `max_unavailable` says. A finite task is cleared only by its
//! successful end, since it may crash its worker late in its run.
//!
//! The loss of a whole data centre is not attributed to any task: runs that end with it are not counted.
//!
//! A silent worker that is still listed may merely be cut off from the network. Its runs count as
//! lost until it answers again, but such losses alone do not fail a job.

use std::sync::Arc;
use std::time::Duration;

use crosspath_job::TaskId;
use crosspath_job::progress::{Loss, State};

use crate::incarnations;
use crate::job::{Job, Phase};
use crate::place::Key;
use crate::scheduler::Scheduler;
use crate::worker::Worker;

/// Number of losses from which tasks are separated from each other.
const SEPARATE_MIN_LOSSES: usize = 2;
/// Number of losses from which a task is isolated.
const ISOLATE_MIN_LOSSES: usize = 3;
/// Number of losses from which the job fails if no other run could be the cause of the last loss.
/// With it, a task that crashes its workers costs three or four worker incarnations.
const FAIL_ALONE_MIN_LOSSES: usize = 3;
/// Number of losses from which the job fails in any case. Needed because nobody knows what ran
/// beside an unreported run of a previous owner. Callers are promised at most five starts, three
/// that end in losses and two after those; this is one fewer.
const FAIL_MIN_LOSSES: usize = 4;
/// Probation of a run: if polls have listed it for this long, its start did not crash the worker.
/// Longer than finite tasks take on sound workers, and longer than three polls.
const PROBATION: Duration = Duration::from_secs(3);
/// Maximum fraction of the shard's workers that run an isolated task or are reserved for one.
const MAX_ISOLATING_SHARE: f64 = 0.25;

/// What became known of a worker incarnation that may have had unreported runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Liveness {
    /// It answers polls, so runs that it does not list do not exist.
    Answering,
    /// It has ended, or all leases on it have expired.
    Ended,
}

/// What ran together on a worker at the time it was lost.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Colocation {
    /// Number of other runs beside each of its runs.
    others: usize,
    /// Whether at most one of its runs may be the cause of the worker's loss.
    alone: bool,
}

/// Whether tasks with this number of losses are separated from each other.
pub(crate) fn needs_separation(losses: usize) -> bool {
    losses >= SEPARATE_MIN_LOSSES
}

/// Whether a task with this number of losses is isolated.
pub(crate) fn needs_isolation(losses: usize) -> bool {
    losses >= ISOLATE_MIN_LOSSES
}

impl Scheduler {
    /// Whether the start of a run is known not to have crashed its worker: the run has lasted for
    /// [`PROBATION`], or is a long-running one that has become available.
    fn is_past_probation(&self, id: TaskId, number: u64) -> bool {
        let run = self.run(id, number);
        run.is_some_and(|run| {
            run.observed() >= PROBATION || (self.is_long_running(id) && run.is_available())
        })
    }

    fn is_long_running(&self, id: TaskId) -> bool {
        self.step_of(id).is_some_and(|step| step.long_running)
    }

    /// Whether a run is ruled out as the cause of its worker's loss: it is a long-running one that
    /// has passed its probation.
    fn is_ruled_out_as_cause(&self, id: TaskId, number: u64) -> bool {
        self.is_long_running(id) && self.is_past_probation(id, number)
    }

    /// Ends the probation of a run that a poll has listed, if it has passed it: other tasks may
    /// start beside it again, and a long-running task is cleared of its losses.
    pub(crate) fn end_probation(&mut self, now: Duration, worker: &str, id: TaskId, number: u64) {
        if !self.is_past_probation(id, number) {
            return;
        }
        let long_running = self.is_long_running(id);
        if let Some(worker) = self.workers.get_mut(worker) {
            self.placement_due |= worker.suspect_runs.remove(&(id, number)).is_some();
        }
        let Some(task) = self.task_mut(id) else { return };
        if long_running && !task.lost.is_empty() {
            log::info!("event=task_cleared task={id} run={number} losses={}", task.lost.len());
            task.lost.clear();
            self.commits.mark_dirty(now, id.job);
        }
    }

    /// Counts a run that is lost because its worker has ended or its leases have expired.
    pub(crate) fn record_loss(
        &mut self,
        now: Duration,
        worker: &Arc<str>,
        id: TaskId,
        number: u64,
        colocation: Colocation,
    ) {
        let Some(run) = self.run(id, number) else { return };
        let never_sent = run.phase == Phase::Planned;
        if never_sent || self.is_end_unattributed(worker) || self.is_ruled_out_as_cause(id, number)
        {
            return;
        }
        let Colocation { others, alone } = colocation;
        log::info!(
            "event=run_lost task={id} run={number} worker={worker} phase={:?} known_ms={} beside={others}",
            run.phase,
            run.observed().as_millis()
        );
        let worker = Arc::clone(&run.incarnation);
        self.add_loss(now, id, Loss { run: number, worker, alone });
    }

    /// Counts unreported runs of previous owners that are lost because the worker incarnation has
    /// ended or its leases have expired.
    pub(crate) fn record_unreported_losses(&mut self, now: Duration, incarnation: &Arc<str>) {
        let (worker, _) = incarnations::parse(incarnation);
        if self.is_end_unattributed(worker) && self.is_current_incarnation(incarnation) {
            return;
        }
        let mut lost = Vec::new();
        for job in self.jobs.values().filter(|job| job.inherited && !job.state.is_terminal()) {
            for (id, task) in job.tasks() {
                let unreported =
                    task.unreported_runs.iter().filter(|(_, other)| other == incarnation);
                let unreported = unreported.filter(|(number, _)| self.run(id, *number).is_none());
                lost.extend(unreported.map(|(number, _)| (id, *number)));
            }
        }
        for (id, number) in lost {
            log::info!("event=run_lost task={id} run={number} worker={incarnation} phase=Unseen");
            let worker = Arc::clone(incarnation);
            self.add_loss(now, id, Loss { run: number, worker, alone: false });
        }
    }

    /// Whether the end of a worker is attributed to none of its runs: it drains, or it is lost with
    /// its data centre.
    fn is_end_unattributed(&self, worker: &str) -> bool {
        let known = self.workers.get(worker);
        known.is_some_and(|worker| worker.entry.draining || worker.is_domain_lost)
    }

    /// Adds a loss to a task that is not done, unless the loss of that run is already counted.
    fn add_loss(&mut self, now: Duration, id: TaskId, loss: Loss) {
        let Some(task) = self.task_mut(id) else { return };
        let known = task.lost.iter().any(|known| known.run == loss.run);
        if task.done || known {
            return;
        }
        task.last_run = task.last_run.max(loss.run);
        task.lost.push(loss);
        self.commits.mark_dirty(now, id.job);
        self.requeue(id);
    }

    /// Removes the loss of a run that a reply has shown not to be lost: its start had no effect, or
    /// the worker still lists it.
    pub(crate) fn clear_loss(&mut self, now: Duration, id: TaskId, number: u64) {
        let Some(task) = self.task_mut(id) else { return };
        let before = task.lost.len();
        task.lost.retain(|loss| loss.run != number);
        if task.lost.len() < before {
            self.commits.mark_dirty(now, id.job);
            self.requeue(id);
        }
    }

    /// Removes all losses on a worker incarnation that was presumed lost and answers again.
    pub(crate) fn clear_losses_on(&mut self, now: Duration, incarnation: &str) {
        for id in self.tasks_lost_on(incarnation) {
            let Some(task) = self.task_mut(id) else { continue };
            task.lost.retain(|loss| *loss.worker != *incarnation);
            self.commits.mark_dirty(now, id.job);
            self.requeue(id);
        }
    }

    /// Replaces the key of a waiting task, since the key says whether the task is to be isolated.
    fn requeue(&mut self, id: TaskId) {
        let Some(job) = self.jobs.get(&id.job) else { return };
        let key = Key::new(job, id);
        if self.waiting.contains(&key) {
            self.waiting.replace(key);
        }
    }

    /// Tasks of unfinished jobs that have a loss on a worker incarnation.
    fn tasks_lost_on(&self, incarnation: &str) -> Vec<TaskId> {
        let running = self.jobs.values().filter(|job| !job.state.is_terminal());
        let tasks = running.flat_map(Job::tasks);
        let lost =
            tasks.filter(|(_, task)| task.lost.iter().any(|loss| *loss.worker == *incarnation));
        lost.map(|(id, _)| id).collect()
    }

    /// Fails the jobs of tasks with too many losses, among those with a loss on this incarnation.
    pub(crate) fn enforce_loss_limits_on(&mut self, now: Duration, incarnation: &str) {
        for id in self.tasks_lost_on(incarnation) {
            self.enforce_loss_limit(now, id);
        }
    }

    /// Fails the job of a task if the task has too many losses.
    fn enforce_loss_limit(&mut self, now: Duration, id: TaskId) {
        let Some(job) = self.jobs.get(&id.job).filter(|job| !job.state.is_terminal()) else {
            return;
        };
        let Some(task) = job.task(id).filter(|task| !task.done) else { return };
        // A worker whose incarnation is still known may answer again.
        let final_losses =
            task.lost.iter().filter(|loss| !self.is_current_incarnation(&loss.worker));
        let final_losses: Vec<_> = final_losses.collect();
        let losses = final_losses.len();
        let alone = final_losses.last().is_some_and(|loss| loss.alone);
        if losses >= FAIL_MIN_LOSSES || (losses >= FAIL_ALONE_MIN_LOSSES && alone) {
            log::warn!("event=task_given_up task={id} losses={losses} workers={:?}", task.lost);
            self.finish(now, id.job, State::Failed);
        }
    }

    /// Reserves workers for waiting tasks that are to be isolated, at most one for each such task
    /// and within [`MAX_ISOLATING_SHARE`]. No other tasks are placed on reserved workers.
    pub(crate) fn reserve_for_isolation(&mut self, now: Duration) {
        self.reserved_for_isolation.clear();
        let isolated = self.waiting.iter().filter(|key| key.isolated).map(|key| key.task);
        let isolated: Vec<_> = isolated.collect();
        if isolated.is_empty() {
            return;
        }
        let max = (self.workers.len() as f64 * MAX_ISOLATING_SHARE).ceil();
        let isolating = self.workers.values().filter(|worker| worker.isolates()).count();
        let mut remaining = max - isolating as f64;
        for id in isolated {
            if remaining < 1.0 {
                return;
            }
            let Some(worker) = self.best_worker_to_isolate(now, id) else { continue };
            self.reserved_for_isolation.insert(worker);
            remaining -= 1.0;
        }
    }

    /// The worker on which the fewest runs have to end, or to pass their probation, before it can
    /// isolate the task; among equals the one with the fewest runs.
    fn best_worker_to_isolate(&self, now: Duration, id: TaskId) -> Option<Arc<str>> {
        let step = self.step_of(id)?;
        let resources = step.reserved();
        let candidates = self.workers.values().filter(|worker| {
            resources.fits(&worker.entry.capacity) && self.is_eligible(now, worker, id, step)
        });
        let best =
            candidates.min_by_key(|worker| (self.runs_on_probation(worker), worker.runs.len()));
        best.map(|worker| Arc::clone(&worker.entry.id))
    }

    /// Describes the runs on a worker. Each may be the cause of its loss, except long-running ones
    /// that have passed their probation.
    pub(crate) fn colocation(&self, worker: &Worker) -> Colocation {
        let runs = worker.runs.keys();
        let suspects = runs.filter(|(task, run)| !self.is_ruled_out_as_cause(*task, *run));
        let alone = suspects.count() <= 1;
        Colocation { others: worker.runs.len().saturating_sub(1), alone }
    }

    /// Number of runs on a worker that have not passed their probation.
    fn runs_on_probation(&self, worker: &Worker) -> usize {
        worker.runs.keys().filter(|(task, run)| !self.is_past_probation(*task, *run)).count()
    }

    /// Whether a task that is to be isolated may start on a worker now.
    pub(crate) fn can_isolate(&self, worker: &Worker) -> bool {
        self.runs_on_probation(worker) == 0
    }
}
