//! Runs that were lost with their workers.
//!
//! A task may crash each worker that starts it, and a worker that crashes lists no end. So a run that a worker's
//! end took along counts for its task, in the task's record: what is known of it outlives its owner.
//!
//! Most tasks that were lost are bystanders: up to 18 run beside the guilty one. What a count means therefore
//! depends on what ran beside the task, and that is arranged:
//!
//! - after one loss a task is placed like any other;
//! - after two it goes where the fewest others under suspicion are, and to the emptiest of those, so that the tasks
//!   lost with one worker part ways;
//! - after three it runs alone: nothing else there has just been started, and nothing else is started there until
//!   the run has proved itself, see [`PROVEN`];
//! - a loss when it was alone, the third or a later one, tells that the task is guilty: its job has failed. So it has
//!   after the fourth of any kind.
//!
//! Each of these numbers weighs those against each other. Workers kept free for a few tasks make the rest of a pool
//! wait, and so does sending all of some 18 tasks to the emptiest workers; not keeping apart at all fails sound jobs,
//! and a task that is told late costs more lives.
//!
//! A lasting run that has proved itself clears its task, so that lasting tasks are not failed by what their workers
//! suffer in a day: giving a lasting job up ends all its tasks at once, whatever may be away. Brief tasks are cleared by their end only: one may crash its worker late in its work. A silent
//! worker that is still listed may only be cut off: what was there counts as lost until it answers again, and alone
//! fails no job.

use std::sync::Arc;
use std::time::Duration;

use crosspath_job::TaskId;
use crosspath_job::progress::{Loss, State};

use crate::incarnations;
use crate::job::{Job, Phase};
use crate::place::Key;
use crate::scheduler::Scheduler;
use crate::worker::Worker;

/// Losses from which tasks keep apart from each other.
const SEPARATE_MIN_LOSSES: usize = 2;
/// Losses from which a task runs alone.
const ISOLATE_MIN_LOSSES: usize = 3;
/// Losses from which one that came alone fails the task's job, so that a task that crashes its workers costs three or
/// four lives.
const FAIL_ALONE_MIN_LOSSES: usize = 3;
/// Losses from which a task's job has failed in any case: what an owner before left unseen has no witness. One fewer
/// than the starts that callers are promised at most, three losses and two starts after them.
const FAIL_MIN_LOSSES: usize = 4;
/// A run that looks have shown for so long did not crash its worker by its start. Longer than brief tasks take on
/// sound workers, and than three looks.
const PROBATION: Duration = Duration::from_secs(3);
/// Share of a pool's workers at most on which tasks run alone, or that are kept free for them.
const MAX_ISOLATING_SHARE: f64 = 0.25;

/// What came of a worker on which runs were unseen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Liveness {
    /// It answers: what it does not show is not there.
    Answering,
    /// Its life is over, or all leases there are.
    Ended,
}

/// What ran on a worker when it was lost.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Colocation {
    /// Runs beside each of its runs.
    others: usize,
    /// Whether no other run may be why the worker was lost.
    alone: bool,
}

/// Whether tasks with so many losses keep apart from each other.
pub(crate) fn needs_separation(losses: usize) -> bool {
    losses >= SEPARATE_MIN_LOSSES
}

/// Whether a task with so many losses runs alone.
pub(crate) fn needs_isolation(losses: usize) -> bool {
    losses >= ISOLATE_MIN_LOSSES
}

impl Scheduler {
    /// Whether a run is known not to crash its worker by its start: it has gone on for so long, or is a lasting one
    /// that is past its start.
    fn is_past_probation(&self, id: TaskId, number: u64) -> bool {
        let run = self.run(id, number);
        run.is_some_and(|run| {
            run.observed() >= PROBATION || (self.is_long_running(id) && run.is_available())
        })
    }

    fn is_long_running(&self, id: TaskId) -> bool {
        self.step_of(id).is_some_and(|step| step.long_running)
    }

    /// Whether a run is surely not why its worker is lost: a lasting one that has proved itself.
    fn is_above_suspicion(&self, id: TaskId, number: u64) -> bool {
        self.is_long_running(id) && self.is_past_probation(id, number)
    }

    /// A run that a look has shown: once it has proved itself, it need not be alone any more, and a lasting task is
    /// cleared.
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

    /// A worker's end, or the end of its leases, takes a run along.
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
        let draining = self.workers.get(worker).is_some_and(|worker| worker.entry.draining);
        if never_sent || draining || self.is_above_suspicion(id, number) {
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

    /// Runs of owners before that no answer has shown, and that the end of a worker's life took along.
    pub(crate) fn record_unreported_losses(&mut self, now: Duration, incarnation: &Arc<str>) {
        let (worker, _) = incarnations::parse(incarnation);
        let draining = self.workers.get(worker).is_some_and(|worker| worker.entry.draining);
        if draining && self.is_current_incarnation(incarnation) {
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

    /// An answer shows that a start had no effect, whatever became of the worker.
    pub(crate) fn clear_loss(&mut self, now: Duration, id: TaskId, number: u64) {
        let Some(task) = self.task_mut(id) else { return };
        let before = task.lost.len();
        task.lost.retain(|loss| loss.run != number);
        if task.lost.len() < before {
            self.commits.mark_dirty(now, id.job);
            self.requeue(id);
        }
    }

    /// A life answers that was taken for lost.
    pub(crate) fn clear_losses_on(&mut self, now: Duration, incarnation: &str) {
        for id in self.tasks_lost_on(incarnation) {
            let Some(task) = self.task_mut(id) else { continue };
            task.lost.retain(|loss| *loss.worker != *incarnation);
            self.commits.mark_dirty(now, id.job);
            self.requeue(id);
        }
    }

    /// Its key tells whether a waiting task is to run alone.
    fn requeue(&mut self, id: TaskId) {
        let Some(job) = self.jobs.get(&id.job) else { return };
        let key = Key::new(job, id);
        if self.waiting.contains(&key) {
            self.waiting.replace(key);
        }
    }

    fn tasks_lost_on(&self, incarnation: &str) -> Vec<TaskId> {
        let running = self.jobs.values().filter(|job| !job.state.is_terminal());
        let tasks = running.flat_map(Job::tasks);
        let lost =
            tasks.filter(|(_, task)| task.lost.iter().any(|loss| *loss.worker == *incarnation));
        lost.map(|(id, _)| id).collect()
    }

    /// Gives up the tasks under which too many workers were lost, this life among them.
    pub(crate) fn enforce_loss_limits_on(&mut self, now: Duration, incarnation: &str) {
        for id in self.tasks_lost_on(incarnation) {
            self.enforce_loss_limit(now, id);
        }
    }

    fn enforce_loss_limit(&mut self, now: Duration, id: TaskId) {
        let Some(job) = self.jobs.get(&id.job).filter(|job| !job.state.is_terminal()) else {
            return;
        };
        let Some(task) = job.task(id).filter(|task| !task.done) else { return };
        // A worker that is still listed may be back.
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

    /// Notes which workers take nothing but tasks that run alone: as many as such tasks wait for.
    pub(crate) fn reserve_for_isolation(&mut self, now: Duration) {
        self.reserved_for_isolation.clear();
        let isolated = self.waiting.iter().filter(|key| key.isolated).map(|key| key.task);
        let isolated: Vec<_> = isolated.collect();
        self.isolation_pending = !isolated.is_empty();
        if isolated.is_empty() {
            return;
        }
        let max = (self.workers.len() as f64 * MAX_ISOLATING_SHARE).ceil();
        let isolating = self.workers.values().filter(|worker| worker.isolates()).count();
        let mut left = max - isolating as f64;
        for id in isolated {
            if left < 1.0 {
                return;
            }
            let Some(worker) = self.best_worker_to_isolate(now, id) else { continue };
            self.reserved_for_isolation.insert(worker);
            left -= 1.0;
        }
    }

    /// The worker where the fewest runs have to end before a task can run alone there.
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

    /// What runs on a worker. Any run may be why it is lost, but for lasting ones that have proved themselves.
    pub(crate) fn colocation(&self, worker: &Worker) -> Colocation {
        let runs = worker.runs.keys();
        let suspects = runs.filter(|(task, run)| !self.is_above_suspicion(*task, *run));
        let alone = suspects.count() <= 1;
        Colocation { others: worker.runs.len().saturating_sub(1), alone }
    }

    /// Runs there that have not proved themselves.
    fn runs_on_probation(&self, worker: &Worker) -> usize {
        worker.runs.keys().filter(|(task, run)| !self.is_past_probation(*task, *run)).count()
    }

    /// Whether a task that runs alone may start on a worker now.
    pub(crate) fn can_isolate(&self, worker: &Worker) -> bool {
        self.runs_on_probation(worker) == 0
    }
}
