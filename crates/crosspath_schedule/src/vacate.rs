//! Emptying workers that drain, whose VM is wanted elsewhere, or whose data centre is evacuated.
//!
//! Brief tasks end by themselves, or go on elsewhere from their checkpoint where their job can afford
//! it. Lasting ones are stopped one by one, each only while the others of its step are at work, and
//! start again elsewhere.

use std::time::Duration;

use crosspath_job::TaskId;

use crate::job::{Job, Phase, Run};
use crate::scheduler::Scheduler;
use crate::worker::Worker;

/// Tasks with a checkpoint go on elsewhere below this percent of their work; above, they end soon.
const MOVE_BELOW_PERCENT: u32 = 70;
/// What moving a task costs its job: a stop of up to 0.9 s, a wait for room, another start.
const MOVE_COST: Duration = Duration::from_millis(1_500);

impl Scheduler {
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

    /// Whether a worker's data centre gets no new work.
    pub(crate) fn is_evacuated(&self, worker: &Worker) -> bool {
        self.evacuated.contains(&worker.entry.data_centre)
    }

    /// Whether a worker is to become vacant: its VM is wanted elsewhere, or its data centre is evacuated.
    pub(crate) fn must_be_vacated(&self, worker: &Worker) -> bool {
        self.vms_to_vacate.contains(&worker.entry.vm) || self.is_evacuated(worker)
    }

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

    /// Other tasks of the step that are not at work, as far as is known.
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

    fn fits_elsewhere(&self, now: Duration, id: TaskId) -> bool {
        let Some(step) = self.step_of(id) else { return false };
        let resources = step.reserved();
        self.workers
            .values()
            .any(|worker| self.is_eligible(now, worker, id, step) && resources.fits(&worker.free()))
    }
}

/// Whether a job ends in time by its estimates if its task goes on where it is, and does not if the
/// task is moved.
fn misses_deadline_if_moved(now: Duration, job: &Job, id: TaskId, percent: u32) -> bool {
    let estimate_ms = job.accepted.spec.steps[id.step as usize].estimate_ms;
    let done_ms = estimate_ms * u64::from(percent.min(100)) / 100;
    let remaining_ms = job.critical_paths_ms[id.step as usize].saturating_sub(done_ms);
    let end = now + Duration::from_millis(remaining_ms);
    let deadline = job.deadline();
    end <= deadline && end + MOVE_COST > deadline
}
