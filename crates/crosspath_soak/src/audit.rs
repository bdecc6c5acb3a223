//! The promises, checked at each start and at the end of a run.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crosspath_job::{JobId, TaskId};
use crosspath_platform_stand_in::caller::Job;
use crosspath_platform_stand_in::worker;

/// Crashes of workers under a task after which it may be started fewer than as many times again.
const CRASHES_ALLOWED: u64 = 3;

/// What callers were told of a job.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Told {
    /// It was accepted at least once.
    pub(crate) accepted: bool,
    /// Some try got no clear answer.
    pub(crate) doubtful: bool,
    /// Its cancelling was asked for.
    pub(crate) cancel_tried: bool,
    /// Its cancelling was accepted.
    pub(crate) cancelled: bool,
    /// Nobody will try again.
    pub(crate) settled: bool,
}

#[derive(Debug, Default)]
struct State {
    jobs: BTreeMap<JobId, (Job, Told)>,
    running: BTreeMap<TaskId, (String, u64)>,
    done: BTreeSet<TaskId>,
    noted: BTreeSet<TaskId>,
    started: BTreeSet<JobId>,
    starts: u64,
    runs: BTreeMap<TaskId, u64>,
    /// Lives of workers that ended under a task, and its starts since the third.
    crashes: BTreeMap<TaskId, (u64, u64)>,
    violations: Vec<String>,
}

/// What was promised of each job, and what was seen.
#[derive(Debug, Clone, Default)]
pub(crate) struct Audit(Arc<Mutex<State>>);

impl Audit {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A job is about to be submitted.
    pub(crate) fn submitting(&self, job: &Job) {
        self.lock().jobs.entry(job.id).or_insert_with(|| (job.clone(), Told::default()));
    }

    /// Notes what callers were told.
    pub(crate) fn told(&self, job: JobId, change: impl FnOnce(&mut Told)) {
        if let Some((_, told)) = self.lock().jobs.get_mut(&job) {
            change(told);
        }
    }

    pub(crate) fn violation(&self, text: String) {
        log::warn!("event=promise_broken {text}");
        self.lock().violations.push(text);
    }

    pub(crate) fn violations(&self) -> Vec<String> {
        self.lock().violations.clone()
    }

    /// Starts seen.
    pub(crate) fn starts(&self) -> u64 {
        self.lock().starts
    }

    pub(crate) fn jobs(&self) -> Vec<(Job, Told)> {
        self.lock().jobs.values().cloned().collect()
    }

    /// Tasks of a job that run now.
    pub(crate) fn running(&self, job: JobId) -> usize {
        self.lock().running.keys().filter(|task| task.job == job).count()
    }

    /// Whether every task of a job has ended well.
    pub(crate) fn is_done(&self, job: &Job) -> bool {
        let state = self.lock();
        tasks(job).all(|task| state.done.contains(&task))
    }

    /// Whether a job may be shown as failed: it crashes its workers, or as many lives ended under one of its tasks
    /// as tell a task that does from its neighbours. A sound task may have bad neighbours and bad luck: seed 22009 of
    /// the runs with jobs that crash workers took three lives under one beside such jobs, and a fourth by chance.
    pub(crate) fn may_be_given_up(&self, job: &Job) -> bool {
        let state = self.lock();
        let lives = |task| state.crashes.get(&task).map_or(0, |(lives, _)| *lives);
        job.work.crashes || tasks(job).any(|task| lives(task) >= CRASHES_ALLOWED)
    }

    /// Jobs of which every try was refused may not have run.
    pub(crate) fn check_refused(&self) {
        let mut state = self.lock();
        let refused = state
            .jobs
            .values()
            .filter(|(_, told)| told.settled && !told.accepted && !told.doubtful);
        let ran: Vec<JobId> =
            refused.map(|(job, _)| job.id).filter(|id| state.started.contains(id)).collect();
        for job in ran {
            state.violations.push(format!("job {job} was refused at each try, and ran"));
        }
    }
}

/// All tasks of a job, whose steps are done once.
pub(crate) fn tasks(job: &Job) -> impl Iterator<Item = TaskId> {
    let id = job.id;
    let steps = job.steps.clone().into_iter().enumerate();
    steps.flat_map(move |(step, count)| {
        let step = u32::try_from(step).unwrap_or(u32::MAX);
        (0..count).map(move |index| TaskId { job: id, occurrence: 0, step, index })
    })
}

impl State {
    fn check_start(&self, worker: &str, task: TaskId, run: u64, text: &str) -> Option<String> {
        let Some((job, _)) = self.jobs.get(&task.job) else {
            return Some(format!("{task} run {run} started on {worker}: nobody submitted its job"));
        };
        if job.text() != text || !tasks(job).any(|known| known == task) {
            return Some(format!("{task} run {run} started on {worker}: not as submitted"));
        }
        if let Some((other, there)) = self.running.get(&task) {
            return Some(format!(
                "{task} run {run} started on {worker} while run {there} is on {other}"
            ));
        }
        let (crashes, after) = self.crashes.get(&task).copied().unwrap_or_default();
        if job.work.crashes && after >= CRASHES_ALLOWED {
            return Some(format!(
                "{task} run {run} started on {worker}: start {after} after three of {crashes} crashes"
            ));
        }
        if self.noted.contains(&task) {
            return Some(format!("{task} run {run} started on {worker} after its end was noted"));
        }
        let before = tasks(job).filter(|other| other.step < task.step);
        let open = before.into_iter().find(|other| !self.done.contains(other))?;
        Some(format!("{task} run {run} started on {worker} before {open} has ended"))
    }
}

impl worker::Observer for Audit {
    fn run_started(&self, worker: &str, task: &str, run: u64, text: &str) -> u64 {
        let Ok(id) = task.parse::<TaskId>() else {
            self.violation(format!("{task} run {run}: no name of a task"));
            return 0;
        };
        let mut state = self.lock();
        state.starts += 1;
        if let Some((_, after)) = state.crashes.get_mut(&id).filter(|(n, _)| *n >= CRASHES_ALLOWED)
        {
            *after += 1;
        }
        let broken = state.check_start(worker, id, run, text);
        state.running.insert(id, (worker.to_owned(), run));
        state.started.insert(id.job);
        let runs = state.runs.entry(id).or_default();
        *runs += 1;
        let before = *runs - 1;
        drop(state);
        if let Some(broken) = broken {
            self.violation(broken);
        }
        before
    }

    fn run_ended(&self, worker: &str, task: &str, run: u64, how: &str) {
        let Ok(id) = task.parse::<TaskId>() else { return };
        let mut state = self.lock();
        if state.running.get(&id).is_some_and(|(at, there)| at == worker && *there == run) {
            state.running.remove(&id);
        }
        if how == "crashed" {
            state.crashes.entry(id).or_default().0 += 1;
        }
        if how == "done" {
            state.done.insert(id);
        }
    }

    fn end_acknowledged(&self, task: &str, how: &str) {
        let Ok(id) = task.parse::<TaskId>() else { return };
        if how == "done" {
            self.lock().noted.insert(id);
        }
    }
}
