//! Checks the guarantees given to callers, at each start of a task and at the end of a run.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crosspath_job::{JobId, TaskId};
use crosspath_platform_stand_in::caller::Job;
use crosspath_platform_stand_in::worker;

use crate::daemon::EVACUATION_LIMIT;

/// Number of worker crashes during a task after which the task must be suspected of causing them.
///
/// A task that does cause them may then be started fewer than this many times again.
const CRASH_LIMIT: u64 = 3;

/// Time after the request of an evacuation from which a start in the data centre is a violation: the
/// limit, and the lease for which a start that was sent in time may take to reach its worker.
const EVACUATION_DEADLINE: Duration = EVACUATION_LIMIT.saturating_add(Duration::from_millis(2_500));

/// State of a job as its caller knows it from the responses.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Submission {
    /// At least one submit succeeded.
    pub(crate) accepted: bool,
    /// The job may be stored although no response said so, or a duplicate submit was not refused.
    pub(crate) unconfirmed: bool,
    /// A cancellation was sent.
    pub(crate) cancel_requested: bool,
    /// A cancellation succeeded.
    pub(crate) cancel_accepted: bool,
    /// The caller sends no more submits or cancellations for the job.
    pub(crate) closed: bool,
}

#[derive(Debug, Default)]
struct State {
    jobs: BTreeMap<JobId, (Job, Submission)>,
    /// Worker and number of the current run.
    running: BTreeMap<TaskId, (String, u64)>,
    /// Tasks that have ended with success.
    completed: BTreeSet<TaskId>,
    /// Tasks whose successful end the daemons have acknowledged.
    acknowledged: BTreeSet<TaskId>,
    started_jobs: BTreeSet<JobId>,
    starts: u64,
    /// Runs started so far, on any worker.
    run_counts: BTreeMap<TaskId, u64>,
    /// Workers that crashed during the task, and starts of the task since their number reached
    /// [`CRASH_LIMIT`].
    crashes: BTreeMap<TaskId, (u64, u64)>,
    /// Data centre of each VM.
    vms: BTreeMap<String, String>,
    /// Time of the request, by evacuated data centre.
    evacuated: BTreeMap<String, Instant>,
    violations: Vec<String>,
}

/// Jobs that were submitted, what their callers know, and the runs that workers reported.
#[derive(Debug, Clone, Default)]
pub(crate) struct Audit(Arc<Mutex<State>>);

impl Audit {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers the data centre of a VM.
    pub(crate) fn add_vm(&self, vm: &str, data_centre: &str) {
        self.lock().vms.insert(vm.to_owned(), data_centre.to_owned());
    }

    /// Notes that the evacuation of a data centre is requested; false if it is evacuated already.
    pub(crate) fn begin_evacuation(&self, data_centre: &str) -> bool {
        let evacuated = &mut self.lock().evacuated;
        let begins = !evacuated.contains_key(data_centre);
        evacuated.entry(data_centre.to_owned()).or_insert_with(Instant::now);
        begins
    }

    /// Notes that the request to evacuate a data centre is about to be withdrawn.
    pub(crate) fn end_evacuation(&self, data_centre: &str) {
        self.lock().evacuated.remove(data_centre);
    }

    /// Registers a job before its first submit.
    pub(crate) fn add_job(&self, job: &Job) {
        self.lock().jobs.entry(job.id).or_insert_with(|| (job.clone(), Submission::default()));
    }

    /// Updates what the caller of a job knows.
    pub(crate) fn update_submission(&self, job: JobId, change: impl FnOnce(&mut Submission)) {
        if let Some((_, submission)) = self.lock().jobs.get_mut(&job) {
            change(submission);
        }
    }

    pub(crate) fn report_violation(&self, text: String) {
        log::warn!("event=promise_broken violation={text:?}");
        self.lock().violations.push(text);
    }

    pub(crate) fn violations(&self) -> Vec<String> {
        self.lock().violations.clone()
    }

    /// Number of runs that workers have started.
    pub(crate) fn starts(&self) -> u64 {
        self.lock().starts
    }

    pub(crate) fn jobs(&self) -> Vec<(Job, Submission)> {
        self.lock().jobs.values().cloned().collect()
    }

    /// Number of tasks of a job that are running.
    pub(crate) fn running(&self, job: JobId) -> usize {
        self.lock().running.keys().filter(|task| task.job == job).count()
    }

    /// Whether every task of a job has ended with success.
    pub(crate) fn is_completed(&self, job: &Job) -> bool {
        let state = self.lock();
        tasks(job).all(|task| state.completed.contains(&task))
    }

    /// Whether a job may be reported as failed: it crashes its workers, or [`CRASH_LIMIT`] workers
    /// crashed during one of its tasks.
    ///
    /// A task that crashes no worker can reach the limit by running beside tasks that do: with
    /// `--deadly` and seed 22009 three workers crashed during such a task, and then a fourth by
    /// chance.
    pub(crate) fn may_fail(&self, job: &Job) -> bool {
        let state = self.lock();
        let crash_count =
            |task| state.crashes.get(&task).map_or(0, |(crash_count, _)| *crash_count);
        job.work.crashes || tasks(job).any(|task| crash_count(task) >= CRASH_LIMIT)
    }

    /// Reports each job that ran although all of its submits were refused.
    pub(crate) fn check_refused(&self) {
        let mut state = self.lock();
        let refused = state.jobs.values().filter(|(_, submission)| {
            submission.closed && !submission.accepted && !submission.unconfirmed
        });
        let started: Vec<JobId> =
            refused.map(|(job, _)| job.id).filter(|id| state.started_jobs.contains(id)).collect();
        for job in started {
            state
                .violations
                .push(format!("job {job} ran although all of its submits were refused"));
        }
    }
}

/// All tasks of a job; each of its steps runs once.
pub(crate) fn tasks(job: &Job) -> impl Iterator<Item = TaskId> {
    let id = job.id;
    let steps = job.steps.clone().into_iter().enumerate();
    steps.flat_map(move |(step, count)| {
        let step = u32::try_from(step).unwrap_or(u32::MAX);
        (0..count).map(move |index| TaskId { job: id, occurrence: 0, step, index })
    })
}

impl State {
    /// Data centre of a worker, if starts there are a violation because it is evacuated.
    fn evacuated_data_centre(&self, worker: &str) -> Option<&str> {
        let (vm, _) = worker.rsplit_once('-')?;
        let data_centre = self.vms.get(vm)?;
        let requested = self.evacuated.get(data_centre)?;
        (requested.elapsed() > EVACUATION_DEADLINE).then_some(data_centre)
    }

    /// The violation that a start of a task is, if any.
    fn check_start(&self, worker: &str, task: TaskId, run: u64, text: &str) -> Option<String> {
        let Some((job, _)) = self.jobs.get(&task.job) else {
            return Some(format!(
                "{task} run {run} started on {worker}: its job was never submitted"
            ));
        };
        if job.text() != text || !tasks(job).any(|known| known == task) {
            return Some(format!(
                "{task} run {run} started on {worker}: differs from the submitted job"
            ));
        }
        if let Some(data_centre) = self.evacuated_data_centre(worker) {
            return Some(format!(
                "{task} run {run} started on {worker} in {data_centre}, which is evacuated"
            ));
        }
        if let Some((other_worker, other_run)) = self.running.get(&task) {
            return Some(format!(
                "{task} run {run} started on {worker} while run {other_run} is on {other_worker}"
            ));
        }
        let (crashes, starts_after) = self.crashes.get(&task).copied().unwrap_or_default();
        if job.work.crashes && starts_after >= CRASH_LIMIT {
            return Some(format!(
                "{task} run {run} started on {worker}: start {starts_after} since the third of {crashes} crashes"
            ));
        }
        if self.acknowledged.contains(&task) {
            return Some(format!(
                "{task} run {run} started on {worker} after its end was acknowledged"
            ));
        }
        let previous = tasks(job).filter(|other| other.step < task.step);
        let unfinished = previous.into_iter().find(|other| !self.completed.contains(other))?;
        Some(format!("{task} run {run} started on {worker} before {unfinished} has ended"))
    }
}

impl worker::Observer for Audit {
    fn run_started(&self, worker: &str, task: &str, run: u64, text: &str) -> u64 {
        let Ok(id) = task.parse::<TaskId>() else {
            self.report_violation(format!("{task} run {run}: not an identifier of a task"));
            return 0;
        };
        let mut state = self.lock();
        state.starts += 1;
        if let Some((_, starts_after)) =
            state.crashes.get_mut(&id).filter(|(crashes, _)| *crashes >= CRASH_LIMIT)
        {
            *starts_after += 1;
        }
        let violation = state.check_start(worker, id, run, text);
        state.running.insert(id, (worker.to_owned(), run));
        state.started_jobs.insert(id.job);
        let run_count = state.run_counts.entry(id).or_default();
        *run_count += 1;
        let earlier_runs = *run_count - 1;
        drop(state);
        if let Some(violation) = violation {
            self.report_violation(violation);
        }
        earlier_runs
    }

    fn run_ended(&self, worker: &str, task: &str, run: u64, outcome: &str) {
        let Ok(id) = task.parse::<TaskId>() else { return };
        let mut state = self.lock();
        if state
            .running
            .get(&id)
            .is_some_and(|(running_on, current)| running_on == worker && *current == run)
        {
            state.running.remove(&id);
        }
        if outcome == "crashed" {
            state.crashes.entry(id).or_default().0 += 1;
        }
        if outcome == "done" {
            state.completed.insert(id);
        }
    }

    fn end_acknowledged(&self, task: &str, outcome: &str) {
        let Ok(id) = task.parse::<TaskId>() else { return };
        if outcome == "done" {
            self.lock().acknowledged.insert(id);
        }
    }
}
