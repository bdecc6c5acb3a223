//! A job and its tasks as the shard's owner knows them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crosspath_job::progress::{Loss, Progress, State, TaskProgress};
use crosspath_job::record::Accepted;
use crosspath_job::{JobId, TaskId};

/// Percent at which a lasting task is at work.
const AVAILABLE_PERCENT: u32 = 100;

/// How far a run is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// It is being written to the log; nothing was sent.
    Planned,
    /// The start was sent.
    Starting,
    /// The worker runs it.
    Running,
    /// The start got no answer; a stop is to make it void.
    Doubtful,
    /// A stop was sent.
    Stopping,
    /// The stop was answered; the next look shows its end, or that it never was.
    Stopped,
}

/// One run of a task, that is or may be on a worker.
#[derive(Debug, Clone)]
pub struct Run {
    /// Number of the run.
    pub number: u64,
    /// The worker.
    pub worker: Arc<str>,
    /// Name of that worker's life.
    pub incarnation: Arc<str>,
    /// How far it is.
    pub phase: Phase,
    /// When the start was sent, or the run was found.
    pub start_sent: Duration,
    /// When the last order for it was answered.
    pub answered: Duration,
    /// When a stop was last sent.
    pub stop_sent: Duration,
    /// Percent as last heard.
    pub percent: u32,
    /// When a look that was answered last showed it.
    pub last_seen: Duration,
    /// When the percent last changed.
    pub progressed: Duration,
    /// Newest checkpoint.
    pub checkpoint: Option<Arc<str>>,
    /// Gauge as last heard.
    pub gauge: u64,
    /// Share of its speed that it was told to work at.
    pub speed_percent: u32,
}

impl Run {
    /// Whether it was last shown at work, if it is a lasting one.
    pub(crate) fn is_available(&self) -> bool {
        self.percent >= AVAILABLE_PERCENT
    }

    /// For how long it is known to have run: from its start to the last look that showed it.
    pub(crate) fn observed(&self) -> Duration {
        self.last_seen.saturating_sub(self.start_sent)
    }
}

/// One task.
#[derive(Debug, Clone, Default)]
pub struct Task {
    /// It ended successfully.
    pub done: bool,
    /// Numbers of the runs that failed.
    pub failed_runs: Vec<u64>,
    /// Highest number of a run that was ever seen.
    pub last_run: u64,
    /// Newest checkpoint.
    pub checkpoint: Option<Arc<str>>,
    /// Runs that are or may be; more than one only where the step allows copies.
    pub runs: Vec<Run>,
    /// Number and worker's life of runs that an owner before may have started and no answer has ruled out.
    pub unreported_runs: Vec<(u64, Arc<str>)>,
    /// Runs that were lost with their workers; cleared by a run that proves itself.
    pub lost: Vec<Loss>,
    /// Workers where it failed.
    pub failed_on: Vec<Arc<str>>,
    /// Not placed before.
    pub not_before: Duration,
    /// When it last had no run any more.
    pub waiting_since: Duration,
}

impl Task {
    /// Number and worker's life of each run that is or may be.
    fn placements(&self) -> Vec<(u64, Arc<str>)> {
        let runs = self.runs.iter().map(|run| (run.number, Arc::clone(&run.incarnation)));
        let active: Vec<_> = runs.collect();
        let unreported = self.unreported_runs.iter().filter(|run| !active.contains(run)).cloned();
        unreported.chain(active.iter().cloned()).collect()
    }
}

/// The tasks of a step at one of the job's times.
#[derive(Debug, Clone)]
pub struct StepState {
    /// The tasks.
    pub tasks: Vec<Task>,
    /// Tasks that have not ended successfully.
    pub remaining: u32,
    /// Whether its turn has come.
    pub unblocked: bool,
}

/// One of the job's times.
#[derive(Debug, Clone)]
pub struct Occurrence {
    /// Its steps.
    pub steps: Vec<StepState>,
    /// Whether its time has come.
    pub due: bool,
}

/// A job.
#[derive(Debug)]
pub struct Job {
    /// Its identifier.
    pub id: JobId,
    /// What was accepted.
    pub accepted: Arc<Accepted>,
    /// When this owner first heard of it, less the age that its record shows.
    pub accepted_at: Duration,
    /// Its times.
    pub occurrences: Vec<Occurrence>,
    /// Its state.
    pub state: State,
    /// The state that is kept in the log.
    pub durable_state: State,
    /// When it ended; while final.
    pub ended: Duration,
    /// Whether its customer is owed it, or sent it beyond its share.
    pub within_share: bool,
    /// Whether it was there when the shard was taken over.
    pub inherited: bool,
    /// Longest chain of estimates from each step to the end, in ms.
    pub critical_paths_ms: Vec<u64>,
}

impl Job {
    /// A job of which no task has begun.
    #[must_use]
    pub fn new(id: JobId, accepted: Arc<Accepted>, accepted_at: Duration) -> Self {
        let spec = &accepted.spec;
        let steps: Vec<StepState> = spec
            .steps
            .iter()
            .map(|step| {
                let tasks = vec![Task::default(); step.tasks as usize];
                StepState { tasks, remaining: step.tasks, unblocked: false }
            })
            .collect();
        let occurrences = vec![Occurrence { steps, due: false }; spec.occurrences() as usize];
        let critical_paths_ms = spec.critical_paths_ms();
        Self {
            id,
            accepted,
            accepted_at,
            occurrences,
            state: State::Queued,
            durable_state: State::Queued,
            ended: Duration::ZERO,
            within_share: true,
            inherited: false,
            critical_paths_ms,
        }
    }

    /// Takes over what the log kept.
    pub fn restore(&mut self, progress: &Progress, now: Duration) {
        self.state = progress.state;
        self.durable_state = progress.state;
        self.ended = now;
        for (key, stored) in &progress.tasks {
            let Some(task) = parse_key(key).and_then(|(occurrence, step, index)| {
                let (occurrence, step, index) =
                    (occurrence as usize, step as usize, index as usize);
                let step = self.occurrences.get_mut(occurrence)?.steps.get_mut(step)?;
                let task = step.tasks.get_mut(index)?;
                if stored.done && !task.done {
                    step.remaining -= 1;
                }
                Some(task)
            }) else {
                log::warn!("event=progress_key_unknown job={} key={key}", self.id);
                continue;
            };
            task.done = stored.done;
            task.failed_runs.clone_from(&stored.failed_runs);
            task.lost.clone_from(&stored.lost);
            let runs = stored.runs.iter().map(|(run, _)| *run);
            let runs = runs.chain(stored.lost.iter().map(|loss| loss.run));
            task.last_run =
                runs.chain(stored.failed_runs.iter().copied()).max().unwrap_or_default();
            task.checkpoint.clone_from(&stored.checkpoint);
            task.unreported_runs.clone_from(&stored.runs);
        }
    }

    /// When it should have ended, by its estimates.
    pub(crate) fn deadline(&self) -> Duration {
        let policy = &self.accepted.policy;
        let critical_path = self.critical_paths_ms.iter().max().copied().unwrap_or_default();
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "some minutes")]
        let allowed_ms = (policy.stretch * critical_path as f64) as u64 + policy.target_ms;
        self.accepted_at + Duration::from_millis(allowed_ms)
    }

    /// Forgets unseen runs on lives that `is_over` rules out.
    pub(crate) fn drop_unreported(&mut self, is_over: impl Fn(&Arc<str>) -> bool) {
        let steps = self.occurrences.iter_mut().flat_map(|occurrence| &mut occurrence.steps);
        for task in steps.flat_map(|step| &mut step.tasks) {
            task.unreported_runs.retain(|(_, incarnation)| !is_over(incarnation));
        }
    }

    /// What the log is to keep. `wall_ms` is the time of day in ms since 1970.
    #[must_use]
    pub fn progress(&self, wall_ms: u64) -> Progress {
        let mut tasks = BTreeMap::new();
        if !self.state.is_terminal() {
            for (TaskId { occurrence: nth, step, index, .. }, task) in self.tasks() {
                let stored = TaskProgress {
                    done: task.done,
                    failed_runs: task.failed_runs.clone(),
                    lost: task.lost.clone(),
                    runs: task.placements(),
                    checkpoint: task.checkpoint.clone().filter(|_| !task.done),
                };
                if stored != TaskProgress::default() {
                    tasks.insert(format!("{nth}.{step}.{index}"), stored);
                }
            }
        }
        let ended_ms = if self.state.is_terminal() { wall_ms } else { 0 };
        Progress { state: self.state, tasks, ended_ms }
    }

    /// A task.
    #[must_use]
    pub fn task(&self, id: TaskId) -> Option<&Task> {
        let occurrence = self.occurrences.get(id.occurrence as usize)?;
        occurrence.steps.get(id.step as usize)?.tasks.get(id.index as usize)
    }

    /// A task, to change.
    pub fn task_mut(&mut self, id: TaskId) -> Option<&mut Task> {
        let occurrence = self.occurrences.get_mut(id.occurrence as usize)?;
        occurrence.steps.get_mut(id.step as usize)?.tasks.get_mut(id.index as usize)
    }

    /// All tasks.
    pub fn tasks(&self) -> impl Iterator<Item = (TaskId, &Task)> {
        (0..).zip(&self.occurrences).flat_map(move |(nth, occurrence)| {
            (0..).zip(&occurrence.steps).flat_map(move |(step, tasks)| {
                let id = move |index| TaskId { job: self.id, occurrence: nth, step, index };
                (0..).zip(&tasks.tasks).map(move |(index, task)| (id(index), task))
            })
        })
    }

    /// Whether every task has ended successfully.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.occurrences
            .iter()
            .all(|occurrence| occurrence.steps.iter().all(|step| step.remaining == 0))
    }

    /// Identifiers of all tasks that have a run.
    #[must_use]
    pub fn active_runs(&self) -> Vec<(TaskId, u64, Arc<str>)> {
        let runs = self.tasks().flat_map(|(id, task)| task.runs.iter().map(move |run| (id, run)));
        runs.map(|(id, run)| (id, run.number, Arc::clone(&run.worker))).collect()
    }
}

/// Time, step and index of a task, from its key in a job's progress.
fn parse_key(key: &str) -> Option<(u32, u32, u32)> {
    let mut parts = key.split('.').map(str::parse);
    let mut next = || parts.next()?.ok();
    Some((next()?, next()?, next()?))
}
