//! Vacating workers that drain, whose VM is needed elsewhere, or whose data centre is evacuated.
//!
//! Finite tasks run to their end, or are stopped and resume elsewhere from a checkpoint if their
//! job can afford it. Long-running tasks are stopped one by one and start again elsewhere. Each is
//! stopped only while fewer than `max_unavailable` (by default 1) other tasks of its step are
//! unavailable and another worker can take it.

use std::time::Duration;

use crosspath_job::TaskId;

use crate::job::{Job, Phase, Run};
use crate::scheduler::Scheduler;
use crate::worker::Worker;

/// Progress in percent below which a task with a checkpoint is moved; above it, the task ends soon.
const MOVE_BELOW_PERCENT: u32 = 70;
/// Time that a job loses when a task is moved: a stop of up to 0.9 s, a wait for a worker and
/// another start.
const MOVE_COST: Duration = Duration::from_millis(1_500);

impl Scheduler {
    /// Stops the runs that may be moved now from workers that drain or are to be vacated.
    pub(crate) fn stop_tasks_to_vacate(&mut self, now: Duration) {
        let leaving = |worker: &&Worker| {
            worker.failures == 0 && (worker.entry.draining || self.must_be_vacated(worker))
        };
        let leaving = self.workers.values().filter(leaving);
        let runs: Vec<_> = leaving.flat_map(|worker| worker.runs.keys().copied()).collect();
        self.update_quarantine(now);
        for (task, run) in runs {
            if self.should_stop(now, task, run) {
                log::info!("event=run_moved task={task} run={run}");
                self.stop_run(now, task, run);
            }
        }
    }

    /// Whether a worker's data centre is being evacuated, so that it gets no new tasks.
    pub(crate) fn is_evacuated(&self, worker: &Worker) -> bool {
        self.evacuated.contains(&worker.entry.data_centre)
    }

    /// Whether a worker is to be vacated: its VM is needed elsewhere, or its data centre is being
    /// evacuated.
    pub(crate) fn must_be_vacated(&self, worker: &Worker) -> bool {
        self.vms_to_vacate.contains(&worker.entry.vm) || self.is_evacuated(worker)
    }

    /// Whether a worker takes new work, apart from what single tasks require.
    pub(crate) fn is_in_service(&self, now: Duration, worker: &Worker) -> bool {
        worker.is_usable(now) && !self.must_be_vacated(worker)
    }

    /// Whether a run on a worker that is to be vacated should be stopped now.
    fn should_stop(&self, now: Duration, id: TaskId, number: u64) -> bool {
        let Some(step) = self.step_of(id) else { return false };
        let Some(run) = self.run(id, number) else { return false };
        let Some(job) = self.jobs.get(&id.job) else { return false };
        if run.phase != Phase::Running || job.state.is_terminal() {
            return false;
        }
        if step.long_running {
            let limit = step.max_unavailable.unwrap_or(1);
            return self.unavailable_siblings(now, job, id) < limit && self.fits_elsewhere(now, id);
        }
        let movable =
            step.checkpoints && run.percent < MOVE_BELOW_PERCENT && run.checkpoint.is_some();
        movable && !misses_deadline_if_moved(now, job, id, run.percent)
    }

    /// Number of other tasks of the step that are not known to be available.
    fn unavailable_siblings(&self, now: Duration, job: &Job, id: TaskId) -> u32 {
        let step = &job.occurrences[id.occurrence as usize].steps[id.step as usize];
        let available = |run: &Run| {
            let worker = self.workers.get(&run.worker);
            let answers = worker.is_some_and(Worker::is_answering);
            let running = run.phase == Phase::Running && run.is_available();
            answers && running && !self.may_be_stopping_for_previous_owner(now, run)
        };
        let others = (0..).zip(&step.tasks).filter(|(index, _)| *index != id.index);
        let unavailable = others.filter(|(_, task)| !task.runs.iter().any(available));
        u32::try_from(unavailable.count()).unwrap_or(u32::MAX)
    }

    /// Whether some eligible worker has enough free resources for the task.
    fn fits_elsewhere(&self, now: Duration, id: TaskId) -> bool {
        let Some(step) = self.step_of(id) else { return false };
        let resources = step.reserved();
        self.workers
            .values()
            .any(|worker| self.is_eligible(now, worker, id, step) && resources.fits(&worker.free()))
    }
}

/// Whether, by its estimates, a job meets its deadline if the task stays where it is and misses it
/// if the task is moved.
fn misses_deadline_if_moved(now: Duration, job: &Job, id: TaskId, percent: u32) -> bool {
    let estimate_ms = job.accepted.spec.steps[id.step as usize].estimate_ms;
    let done_ms = estimate_ms * u64::from(percent.min(100)) / 100;
    let remaining_ms = job.critical_paths_ms[id.step as usize].saturating_sub(done_ms);
    let end = now + Duration::from_millis(remaining_ms);
    let deadline = job.deadline();
    end <= deadline && end + MOVE_COST > deadline
}
