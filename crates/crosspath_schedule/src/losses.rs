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

use crate::job::{Job, Phase};
use crate::lives;
use crate::place::Key;
use crate::scheduler::Scheduler;
use crate::worker::Worker;

/// Losses from which tasks keep apart from each other.
const APART_FROM: usize = 2;
/// Losses from which a task runs alone.
const ALONE_FROM: usize = 3;
/// Losses from which one that came alone fails the task's job, so that a task that crashes its workers costs three or
/// four lives.
const GUILTY_FROM: usize = 3;
/// Losses from which a task's job has failed in any case: what an owner before left unseen has no witness. One fewer
/// than the starts that callers are promised at most, three losses and two starts after them.
const GIVEN_UP_FROM: usize = 4;
/// A run that looks have shown for so long did not crash its worker by its start. Longer than brief tasks take on
/// sound workers, and than three looks.
const PROVEN: Duration = Duration::from_secs(3);
/// Share of a pool's workers at most on which tasks run alone, or that are kept free for them.
const ALONE_SHARE: f64 = 0.25;

/// What came of a worker on which runs were unseen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fate {
    /// It answers: what it does not show is not there.
    Answers,
    /// Its life is over, or all leases there are.
    Over,
}

/// What ran on a worker when it was lost.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Company {
    /// Runs beside each of its runs.
    beside: usize,
    /// Whether no other run may be why the worker was lost.
    alone: bool,
}

/// Whether tasks with so many losses keep apart from each other.
pub(crate) fn keeps_apart(losses: usize) -> bool {
    losses >= APART_FROM
}

/// Whether a task with so many losses runs alone.
pub(crate) fn runs_alone(losses: usize) -> bool {
    losses >= ALONE_FROM
}

impl Scheduler {
    /// Whether a run is known not to crash its worker by its start: it has gone on for so long, or is a lasting one
    /// that is past its start.
    fn is_proven(&self, id: TaskId, number: u64) -> bool {
        let run = self.run(id, number);
        run.is_some_and(|run| run.known() >= PROVEN || (self.lasts(id) && run.is_at_work()))
    }

    fn lasts(&self, id: TaskId) -> bool {
        self.step_of(id).is_some_and(|step| step.long_running)
    }

    /// Whether a run is surely not why its worker is lost: a lasting one that has proved itself.
    fn is_innocent(&self, id: TaskId, number: u64) -> bool {
        self.lasts(id) && self.is_proven(id, number)
    }

    /// A run that a look has shown: once it has proved itself, it need not be alone any more, and a lasting task is
    /// cleared.
    pub(crate) fn prove(&mut self, now: Duration, worker: &str, id: TaskId, number: u64) {
        if !self.is_proven(id, number) {
            return;
        }
        let lasts = self.lasts(id);
        if let Some(worker) = self.workers.get_mut(worker) {
            self.place_again |= worker.suspects.remove(&(id, number)).is_some();
        }
        let Some(task) = self.task_mut(id) else { return };
        if lasts && !task.lost.is_empty() {
            log::info!("event=task_cleared task={id} run={number} losses={}", task.lost.len());
            task.lost.clear();
            self.commits.touch(now, id.job);
        }
    }

    /// A worker's end, or the end of its leases, takes a run along.
    pub(crate) fn lose_run(
        &mut self,
        now: Duration,
        worker: &Arc<str>,
        id: TaskId,
        number: u64,
        company: Company,
    ) {
        let Some(run) = self.run(id, number) else { return };
        let never_sent = run.phase == Phase::Planned;
        let planned_end = self.workers.get(worker).is_some_and(|worker| worker.entry.draining);
        if never_sent || planned_end || self.is_innocent(id, number) {
            return;
        }
        let Company { beside, alone } = company;
        log::info!(
            "event=run_lost task={id} run={number} worker={worker} phase={:?} known_ms={} beside={beside}",
            run.phase,
            run.known().as_millis()
        );
        let worker = Arc::clone(&run.life);
        self.count_loss(now, id, Loss { run: number, worker, alone });
    }

    /// Runs of owners before that no answer has shown, and that the end of a worker's life took along.
    pub(crate) fn lose_unseen(&mut self, now: Duration, life: &Arc<str>) {
        let (worker, _) = lives::parse(life);
        let drains = self.workers.get(worker).is_some_and(|worker| worker.entry.draining);
        if drains && self.is_known_life(life) {
            return;
        }
        let mut lost = Vec::new();
        for job in self.jobs.values().filter(|job| job.inherited && !job.state.is_terminal()) {
            for (id, task) in job.tasks() {
                let unseen = task.unseen.iter().filter(|(_, other)| other == life);
                let unseen = unseen.filter(|(number, _)| self.run(id, *number).is_none());
                lost.extend(unseen.map(|(number, _)| (id, *number)));
            }
        }
        for (id, number) in lost {
            log::info!("event=run_lost task={id} run={number} worker={life} phase=Unseen");
            let worker = Arc::clone(life);
            self.count_loss(now, id, Loss { run: number, worker, alone: false });
        }
    }

    fn count_loss(&mut self, now: Duration, id: TaskId, loss: Loss) {
        let Some(task) = self.task_mut(id) else { return };
        let known = task.lost.iter().any(|known| known.run == loss.run);
        if task.done || known {
            return;
        }
        task.last_run = task.last_run.max(loss.run);
        task.lost.push(loss);
        self.commits.touch(now, id.job);
        self.requeue(id);
    }

    /// An answer shows that a start had no effect, whatever became of the worker.
    pub(crate) fn acquit(&mut self, now: Duration, id: TaskId, number: u64) {
        let Some(task) = self.task_mut(id) else { return };
        let before = task.lost.len();
        task.lost.retain(|loss| loss.run != number);
        if task.lost.len() < before {
            self.commits.touch(now, id.job);
            self.requeue(id);
        }
    }

    /// A life answers that was taken for lost.
    pub(crate) fn acquit_all_on(&mut self, now: Duration, life: &str) {
        for id in self.tasks_lost_on(life) {
            let Some(task) = self.task_mut(id) else { continue };
            task.lost.retain(|loss| *loss.worker != *life);
            self.commits.touch(now, id.job);
            self.requeue(id);
        }
    }

    /// Its key tells whether a waiting task is to run alone.
    fn requeue(&mut self, id: TaskId) {
        let Some(job) = self.jobs.get(&id.job) else { return };
        let key = Key::of(job, id);
        if self.waiting.contains(&key) {
            self.waiting.replace(key);
        }
    }

    fn tasks_lost_on(&self, life: &str) -> Vec<TaskId> {
        let running = self.jobs.values().filter(|job| !job.state.is_terminal());
        let tasks = running.flat_map(Job::tasks);
        let lost = tasks.filter(|(_, task)| task.lost.iter().any(|loss| *loss.worker == *life));
        lost.map(|(id, _)| id).collect()
    }

    /// Gives up the tasks under which too many workers were lost, this life among them.
    pub(crate) fn judge_lost_on(&mut self, now: Duration, life: &str) {
        for id in self.tasks_lost_on(life) {
            self.judge(now, id);
        }
    }

    fn judge(&mut self, now: Duration, id: TaskId) {
        let Some(job) = self.jobs.get(&id.job).filter(|job| !job.state.is_terminal()) else {
            return;
        };
        let Some(task) = job.task(id).filter(|task| !task.done) else { return };
        // A worker that is still listed may be back.
        let over = task.lost.iter().filter(|loss| !self.is_known_life(&loss.worker));
        let over: Vec<_> = over.collect();
        let losses = over.len();
        let alone = over.last().is_some_and(|loss| loss.alone);
        if losses >= GIVEN_UP_FROM || (losses >= GUILTY_FROM && alone) {
            log::warn!("event=task_given_up task={id} losses={losses} workers={:?}", task.lost);
            self.finish(now, id.job, State::Failed);
        }
    }

    /// Notes which workers take nothing but tasks that run alone: as many as such tasks wait for.
    pub(crate) fn keep_free(&mut self, now: Duration) {
        self.kept_free.clear();
        let alone = self.waiting.iter().filter(|key| key.alone).map(|key| key.task);
        let alone: Vec<_> = alone.collect();
        self.waits_alone = !alone.is_empty();
        if alone.is_empty() {
            return;
        }
        let most = (self.workers.len() as f64 * ALONE_SHARE).ceil();
        let taken = self.workers.values().filter(|worker| worker.isolates()).count();
        let mut left = most - taken as f64;
        for id in alone {
            if left < 1.0 {
                return;
            }
            let Some(worker) = self.soonest_free(now, id) else { continue };
            self.kept_free.insert(worker);
            left -= 1.0;
        }
    }

    /// The worker where the fewest runs have to end before a task can run alone there.
    fn soonest_free(&self, now: Duration, id: TaskId) -> Option<Arc<str>> {
        let step = self.step_of(id)?;
        let room = step.reserved();
        let others = self.workers.values().filter(|worker| {
            room.fits(&worker.entry.capacity) && self.takes(now, worker, id, step)
        });
        let best = others.min_by_key(|worker| (self.unproven(worker), worker.runs.len()));
        best.map(|worker| Arc::clone(&worker.entry.id))
    }

    /// What runs on a worker. Any run may be why it is lost, but for lasting ones that have proved themselves.
    pub(crate) fn company(&self, worker: &Worker) -> Company {
        let runs = worker.runs.keys();
        let to_blame = runs.filter(|(task, run)| !self.is_innocent(*task, *run));
        let alone = to_blame.count() <= 1;
        Company { beside: worker.runs.len().saturating_sub(1), alone }
    }

    /// Runs there that have not proved themselves.
    fn unproven(&self, worker: &Worker) -> usize {
        worker.runs.keys().filter(|(task, run)| !self.is_proven(*task, *run)).count()
    }

    /// Whether a task that runs alone may start on a worker now.
    pub(crate) fn is_free_for_one(&self, worker: &Worker) -> bool {
        self.unproven(worker) == 0
    }
}
