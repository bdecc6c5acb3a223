//! The state of jobs, tasks and runs, as the owner of the shard knows it.

use std::sync::Arc;
use std::time::Duration;

use crosspath_job::progress::{Loss, Progress, State, TaskProgress, Tasks};
use crosspath_job::record::{Accepted, Policy, Record};
use crosspath_job::{JobId, TaskId};

use crate::parts::{Entry, Parts};

/// Progress from which a long-running task counts as available, in percent.
const AVAILABLE_PERCENT: u32 = 100;

/// Phase of a run. The names of the variants appear in log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The placement record is being written to the log; nothing was sent to the worker.
    Planned,
    /// The start was sent and not answered yet.
    Starting,
    /// The worker has confirmed that it runs.
    Running,
    /// The start got no answer, so the run may or may not exist. It is being stopped in case the
    /// start took effect.
    Doubtful,
    /// A stop was sent and not answered yet.
    Stopping,
    /// The stop was answered. The next poll lists the end of the run or shows that it never
    /// started.
    Stopped,
}

/// A run of a task that exists, or may exist, on a worker.
#[derive(Debug, Clone)]
pub struct Run {
    /// Number of the run, unique within its task. Later runs have higher numbers.
    pub number: u64,
    /// Identifier of the worker.
    pub worker: Arc<str>,
    /// Incarnation of the worker that the run was planned or found on, as named by
    /// `incarnations::name`.
    pub incarnation: Arc<str>,
    /// Phase, as last confirmed or ordered.
    pub phase: Phase,
    /// When the start was sent, or when this owner adopted a run that it found.
    pub start_sent: Duration,
    /// When a reply last confirmed an order for the run. Initially the time at which the run was
    /// planned or adopted.
    pub answered: Duration,
    /// When a stop was last sent; zero if none was.
    pub stop_sent: Duration,
    /// Progress in percent, as the worker last reported it.
    pub percent: u32,
    /// When a poll reply last listed the run. Initially the time at which the run was planned or
    /// adopted.
    pub last_seen: Duration,
    /// When the reported progress last changed, or when the start was confirmed if that is later.
    pub progressed: Duration,
    /// Newest reported checkpoint; until one is reported, the checkpoint that the run resumes from.
    pub checkpoint: Option<Arc<str>>,
    /// Measurement that the worker last reported: tail latency in ms for a task with a tail latency
    /// target, processor use in thousandths of a core for all others.
    pub gauge: u64,
    /// Percentage of its full speed that the run was last ordered to work at; 100 if not throttled.
    pub speed_percent: u32,
}

impl Run {
    /// Whether the run, if it is a long-running one, was last reported as fully available.
    pub(crate) fn is_available(&self) -> bool {
        self.percent >= AVAILABLE_PERCENT
    }

    /// How long the run is known to have lasted: from its start to the last poll that listed it.
    pub(crate) fn observed(&self) -> Duration {
        self.last_seen.saturating_sub(self.start_sent)
    }
}

/// The state of a task, as the owner of the shard knows it.
#[derive(Debug, Clone, Default)]
pub struct Task {
    /// Whether the task has ended successfully.
    pub done: bool,
    /// Numbers of the runs that failed, each listed once however often its end is reported.
    pub failed_runs: Vec<u64>,
    /// Highest run number known so far; the next run gets a higher one.
    pub last_run: u64,
    /// Newest checkpoint that an ended run left; the next run resumes from it.
    pub checkpoint: Option<Arc<str>>,
    /// Runs that exist or may exist; more than one only if the step allows speculative copies.
    pub runs: Vec<Run>,
    /// Number and worker incarnation of each run that a previous owner may have started and that is
    /// not ruled out yet.
    pub unreported_runs: Vec<(u64, Arc<str>)>,
    /// Runs that were lost with their workers. Cleared once a long-running run passes its
    /// probation, see the module `losses`.
    pub lost: Vec<Loss>,
    /// Identifiers of workers on which it failed; placement prefers others.
    pub failed_on: Vec<Arc<str>>,
    /// Earliest time of the next placement; zero for no delay.
    pub not_before: Duration,
    /// When it last began to wait for a worker: when its step was unblocked or its last run ended.
    /// Zero if the step was never unblocked.
    pub waiting_since: Duration,
}

impl Task {
    /// Number and worker incarnation of each run that exists or may exist.
    fn placements(&self) -> Vec<(u64, Arc<str>)> {
        let runs = self.runs.iter().map(|run| (run.number, Arc::clone(&run.incarnation)));
        let active: Vec<_> = runs.collect();
        let unreported = self.unreported_runs.iter().filter(|run| !active.contains(run)).cloned();
        unreported.chain(active.iter().cloned()).collect()
    }
}

/// The state of a step in one occurrence of its job.
#[derive(Debug, Clone)]
pub struct StepState {
    /// Tasks of the step, by index.
    pub tasks: Vec<Task>,
    /// Number of tasks that have not ended successfully yet.
    pub remaining: u32,
    /// Whether its tasks may start: the occurrence is due and the steps it depends on are complete.
    pub unblocked: bool,
}

/// One occurrence of a job.
#[derive(Debug, Clone)]
pub struct Occurrence {
    /// State of the job's steps, in the order of the spec.
    pub steps: Vec<StepState>,
    /// Whether its scheduled time has come.
    pub due: bool,
}

/// The state of a job, as the owner of the shard knows it.
#[derive(Debug)]
pub struct Job {
    /// Identifier that the caller chose.
    pub id: JobId,
    /// The acceptance record: spec, policy, queue and customer.
    pub accepted: Arc<Accepted>,
    /// When it was accepted, on the clock of this process: the time at which this owner learned of
    /// it minus the age that its record shows.
    pub accepted_at: Duration,
    /// Its occurrences, in order.
    pub occurrences: Vec<Occurrence>,
    /// Current state, which may not be in the log yet.
    pub state: State,
    /// State in the newest progress record that is in the log.
    pub durable_state: State,
    /// When it ended, or was restored at takeover; only meaningful while `state` is terminal.
    pub ended: Duration,
    /// Whether the job is within its customer's share. Jobs over the share are placed after all
    /// others, see the module `shares`.
    pub within_share: bool,
    /// Whether the job was in the log when this owner took over the shard.
    pub inherited: bool,
    /// For each step, the length in ms of the critical path from its start to the end of the job,
    /// by the estimates of the spec.
    pub critical_paths_ms: Vec<u64>,
    /// Parts of the stored progress beside the progress record.
    pub(crate) parts: Parts,
}

impl Job {
    /// Creates a queued job of which no task has started.
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
            parts: Parts::default(),
        }
    }

    /// Restores the state that the newest progress record holds. Runs in the record may still exist
    /// and become unreported runs.
    pub fn restore(&mut self, progress: &Progress, now: Duration) {
        self.state = progress.state;
        self.durable_state = progress.state;
        self.ended = now;
        self.restore_tasks(&progress.tasks);
    }

    /// Restores a part of the progress, from the task at position `first` on. To be called after
    /// [`Self::restore`], in the order of the positions.
    pub(crate) fn restore_part(&mut self, first: u64, tasks: &Tasks) {
        self.parts.insert(first);
        self.restore_tasks(tasks);
    }

    fn restore_tasks(&mut self, tasks: &Tasks) {
        for (key, stored) in tasks {
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
            task.done |= stored.done;
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

    /// Completes each gang of which a member is done: that end stands for all members, whose
    /// progress may be in another part, which was not stored.
    pub(crate) fn complete_gangs(&mut self) {
        let accepted = Arc::clone(&self.accepted);
        for occurrence in &mut self.occurrences {
            let steps = accepted.spec.steps.iter().zip(&mut occurrence.steps);
            for (_, step) in steps.filter(|(spec, _)| spec.gang) {
                if step.tasks.iter().any(|task| task.done) {
                    step.tasks.iter_mut().for_each(|task| task.done = true);
                    step.remaining = 0;
                }
            }
        }
    }

    /// When the job should have ended: its acceptance, plus the critical path stretched by the
    /// policy's factor, plus the policy's fixed target time.
    pub(crate) fn deadline(&self) -> Duration {
        let critical_path = self.critical_paths_ms.iter().max().copied().unwrap_or_default();
        self.accepted_at + allowed_time(&self.accepted.policy, critical_path)
    }

    /// Drops unreported runs on worker incarnations for which `is_over` holds.
    pub(crate) fn drop_unreported(&mut self, is_over: impl Fn(&Arc<str>) -> bool) {
        let steps = self.occurrences.iter_mut().flat_map(|occurrence| &mut occurrence.steps);
        for task in steps.flat_map(|step| &mut step.tasks) {
            task.unreported_runs.retain(|(_, incarnation)| !is_over(incarnation));
        }
    }

    /// Whole progress of the job. `wall_ms` is the Unix time in ms; a terminal job counts as ended
    /// then.
    #[must_use]
    pub fn progress(&self, wall_ms: u64) -> Progress {
        let entries = if self.state.is_terminal() { Vec::new() } else { self.progress_entries() };
        let tasks = entries.into_iter().map(|entry| (entry.key, entry.progress)).collect();
        Progress { tasks, ..self.progress_without_tasks(wall_ms) }
    }

    /// Records to store in the log, in this order, so that it has the whole progress of the job.
    pub(crate) fn progress_records(
        &mut self,
        wall_ms: u64,
        max_record_bytes: usize,
    ) -> Vec<Record> {
        let progress = self.progress_without_tasks(wall_ms);
        if self.state.is_terminal() {
            return self.parts.records_of_ended(self.id, progress);
        }
        let entries = self.progress_entries();
        self.parts.records(self.id, progress, entries, max_record_bytes)
    }

    fn progress_without_tasks(&self, wall_ms: u64) -> Progress {
        let ended_ms = if self.state.is_terminal() { wall_ms } else { 0 };
        Progress { state: self.state, tasks: Tasks::default(), ended_ms }
    }

    /// Progress of all tasks that have any, in the order of the tasks.
    fn progress_entries(&self) -> Vec<Entry> {
        let mut entries = Vec::new();
        for (position, (id, task)) in (0..).zip(self.tasks()) {
            let progress = TaskProgress {
                done: task.done,
                failed_runs: task.failed_runs.clone(),
                lost: task.lost.clone(),
                runs: task.placements(),
                checkpoint: task.checkpoint.clone().filter(|_| !task.done),
            };
            if progress != TaskProgress::default() {
                let TaskId { occurrence: nth, step, index, .. } = id;
                entries.push(Entry { position, key: format!("{nth}.{step}.{index}"), progress });
            }
        }
        entries
    }

    /// The task `id`; `None` if the job has no such task.
    #[must_use]
    pub fn task(&self, id: TaskId) -> Option<&Task> {
        let occurrence = self.occurrences.get(id.occurrence as usize)?;
        occurrence.steps.get(id.step as usize)?.tasks.get(id.index as usize)
    }

    /// Mutable access to the task `id`; `None` if the job has no such task.
    pub fn task_mut(&mut self, id: TaskId) -> Option<&mut Task> {
        let occurrence = self.occurrences.get_mut(id.occurrence as usize)?;
        occurrence.steps.get_mut(id.step as usize)?.tasks.get_mut(id.index as usize)
    }

    /// All tasks, ordered by occurrence, step and index.
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

    /// Task, number and worker of each run that exists or may exist.
    #[must_use]
    pub fn active_runs(&self) -> Vec<(TaskId, u64, Arc<str>)> {
        let runs = self.tasks().flat_map(|(id, task)| task.runs.iter().map(move |run| (id, run)));
        runs.map(|(id, run)| (id, run.number, Arc::clone(&run.worker))).collect()
    }
}

/// Time from the acceptance of a job to its deadline, from the length of its critical path in ms.
pub(crate) fn allowed_time(policy: &Policy, critical_path_ms: u64) -> Duration {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the time allowed for a job is some minutes"
    )]
    let stretched_ms = (policy.stretch * critical_path_ms as f64) as u64;
    Duration::from_millis(stretched_ms.saturating_add(policy.target_ms))
}

/// Parses the key of a task in a progress record, `TIME.STEP.INDEX`, where `TIME` is the
/// occurrence.
fn parse_key(key: &str) -> Option<(u32, u32, u32)> {
    let mut parts = key.split('.').map(str::parse);
    let mut next = || parts.next()?.ok();
    Some((next()?, next()?, next()?))
}
