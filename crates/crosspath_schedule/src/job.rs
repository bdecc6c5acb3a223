//! A job and its tasks as the shard's owner knows them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crosspath_job::progress::{Loss, Progress, State, TaskProgress};
use crosspath_job::record::Accepted;
use crosspath_job::{JobId, TaskId};

/// Percent at which a lasting task is at work.
const AT_WORK: u32 = 100;

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
    pub life: Arc<str>,
    /// How far it is.
    pub phase: Phase,
    /// When the start was sent, or the run was found.
    pub sent: Duration,
    /// When the last order for it was answered.
    pub answered: Duration,
    /// When a stop was last sent.
    pub stop_sent: Duration,
    /// Percent as last heard.
    pub percent: u32,
    /// When a look that was answered last showed it.
    pub looked: Duration,
    /// When the percent last changed.
    pub progressed: Duration,
    /// Newest checkpoint.
    pub checkpoint: Option<Arc<str>>,
    /// Gauge as last heard.
    pub gauge: u64,
    /// Share of its speed that it was told to work at.
    pub pace: u32,
}

impl Run {
    /// Whether it was last shown at work, if it is a lasting one.
    pub(crate) fn is_at_work(&self) -> bool {
        self.percent >= AT_WORK
    }

    /// For how long it is known to have run: from its start to the last look that showed it.
    pub(crate) fn known(&self) -> Duration {
        self.looked.saturating_sub(self.sent)
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
    pub unseen: Vec<(u64, Arc<str>)>,
    /// Runs that were lost with their workers; cleared by a run that proves itself.
    pub lost: Vec<Loss>,
    /// Workers where it failed.
    pub failed_on: Vec<Arc<str>>,
    /// Not placed before.
    pub not_before: Duration,
    /// When it last had no run any more.
    pub freed: Duration,
}

impl Task {
    /// Number and worker's life of each run that is or may be.
    fn placements(&self) -> Vec<(u64, Arc<str>)> {
        let runs = self.runs.iter().map(|run| (run.number, Arc::clone(&run.life)));
        let known: Vec<_> = runs.collect();
        let unseen = self.unseen.iter().filter(|unseen| !known.contains(unseen)).cloned();
        unseen.chain(known.iter().cloned()).collect()
    }
}

/// The tasks of a step at one of the job's times.
#[derive(Debug, Clone)]
pub struct StepRun {
    /// The tasks.
    pub tasks: Vec<Task>,
    /// Tasks that have not ended successfully.
    pub left: u32,
    /// Whether its turn has come.
    pub open: bool,
}

/// One of the job's times.
#[derive(Debug, Clone)]
pub struct Instance {
    /// Its steps.
    pub steps: Vec<StepRun>,
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
    pub since: Duration,
    /// Its times.
    pub instances: Vec<Instance>,
    /// Its state.
    pub state: State,
    /// The state that is kept in the log.
    pub kept: State,
    /// When it ended; while final.
    pub ended: Duration,
    /// Whether its customer is owed it, or sent it beyond its share.
    pub owed: bool,
    /// Whether it was there when the shard was taken over.
    pub inherited: bool,
    /// Longest chain of estimates from each step to the end, in ms.
    pub chains_ms: Vec<u64>,
}

impl Job {
    /// A job of which no task has begun.
    #[must_use]
    pub fn new(id: JobId, accepted: Arc<Accepted>, since: Duration) -> Self {
        let spec = &accepted.spec;
        let steps: Vec<StepRun> = spec
            .steps
            .iter()
            .map(|step| {
                let tasks = vec![Task::default(); step.tasks as usize];
                StepRun { tasks, left: step.tasks, open: false }
            })
            .collect();
        let instances = vec![Instance { steps, due: false }; spec.occurrences() as usize];
        let chains_ms = spec.critical_paths_ms();
        Self {
            id,
            accepted,
            since,
            instances,
            state: State::Queued,
            kept: State::Queued,
            ended: Duration::ZERO,
            owed: true,
            inherited: false,
            chains_ms,
        }
    }

    /// Takes over what the log kept.
    pub fn restore(&mut self, progress: &Progress, now: Duration) {
        self.state = progress.state;
        self.kept = progress.state;
        self.ended = now;
        for (key, kept) in &progress.tasks {
            let Some(task) = parse_key(key).and_then(|(time, step, index)| {
                let (time, step, index) = (time as usize, step as usize, index as usize);
                let step = self.instances.get_mut(time)?.steps.get_mut(step)?;
                let task = step.tasks.get_mut(index)?;
                if kept.done && !task.done {
                    step.left -= 1;
                }
                Some(task)
            }) else {
                log::warn!("event=progress_key_unknown job={} key={key}", self.id);
                continue;
            };
            task.done = kept.done;
            task.failed_runs.clone_from(&kept.failed_runs);
            task.lost.clone_from(&kept.lost);
            let runs = kept.runs.iter().map(|(run, _)| *run);
            let runs = runs.chain(kept.lost.iter().map(|loss| loss.run));
            task.last_run = runs.chain(kept.failed_runs.iter().copied()).max().unwrap_or_default();
            task.checkpoint.clone_from(&kept.checkpoint);
            task.unseen.clone_from(&kept.runs);
        }
    }

    /// When it should have ended, by its estimates.
    pub(crate) fn due(&self) -> Duration {
        let policy = &self.accepted.policy;
        let chain = self.chains_ms.iter().max().copied().unwrap_or_default();
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "some minutes")]
        let allowed = (policy.stretch * chain as f64) as u64 + policy.target_ms;
        self.since + Duration::from_millis(allowed)
    }

    /// Forgets unseen runs on lives that `is_over` rules out.
    pub(crate) fn rule_out(&mut self, is_over: impl Fn(&Arc<str>) -> bool) {
        let steps = self.instances.iter_mut().flat_map(|instance| &mut instance.steps);
        for task in steps.flat_map(|step| &mut step.tasks) {
            task.unseen.retain(|(_, life)| !is_over(life));
        }
    }

    /// What the log is to keep. `wall_ms` is the time of day in ms since 1970.
    #[must_use]
    pub fn progress(&self, wall_ms: u64) -> Progress {
        let mut tasks = BTreeMap::new();
        if !self.state.is_terminal() {
            for (TaskId { occurrence: time, step, index, .. }, task) in self.tasks() {
                let kept = TaskProgress {
                    done: task.done,
                    failed_runs: task.failed_runs.clone(),
                    lost: task.lost.clone(),
                    runs: task.placements(),
                    checkpoint: task.checkpoint.clone().filter(|_| !task.done),
                };
                if kept != TaskProgress::default() {
                    tasks.insert(format!("{time}.{step}.{index}"), kept);
                }
            }
        }
        let ended_ms = if self.state.is_terminal() { wall_ms } else { 0 };
        Progress { state: self.state, tasks, ended_ms }
    }

    /// A task.
    #[must_use]
    pub fn task(&self, id: TaskId) -> Option<&Task> {
        let instance = self.instances.get(id.occurrence as usize)?;
        instance.steps.get(id.step as usize)?.tasks.get(id.index as usize)
    }

    /// A task, to change.
    pub fn task_mut(&mut self, id: TaskId) -> Option<&mut Task> {
        let instance = self.instances.get_mut(id.occurrence as usize)?;
        instance.steps.get_mut(id.step as usize)?.tasks.get_mut(id.index as usize)
    }

    /// All tasks.
    pub fn tasks(&self) -> impl Iterator<Item = (TaskId, &Task)> {
        (0..).zip(&self.instances).flat_map(move |(time, instance)| {
            (0..).zip(&instance.steps).flat_map(move |(step, tasks)| {
                let id = move |index| TaskId { job: self.id, occurrence: time, step, index };
                (0..).zip(&tasks.tasks).map(move |(index, task)| (id(index), task))
            })
        })
    }

    /// Whether every task has ended successfully.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.instances.iter().all(|instance| instance.steps.iter().all(|step| step.left == 0))
    }

    /// Identifiers of all tasks that have a run.
    #[must_use]
    pub fn running(&self) -> Vec<(TaskId, u64, Arc<str>)> {
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
