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
const MOVE_BELOW: u32 = 70;
/// What moving a task costs its job: a stop of up to 0.9 s, a wait for room, another start.
const MOVE_COST: Duration = Duration::from_millis(1_500);

impl Scheduler {
    pub(crate) fn vacate_tasks(&mut self, now: Duration) {
        let leaving = |worker: &&Worker| {
            worker.failures == 0 && (worker.entry.draining || self.is_emptied(worker))
        };
        let leaving = self.workers.values().filter(leaving);
        let runs: Vec<_> = leaving.flat_map(|worker| worker.runs.keys().copied()).collect();
        self.weigh_blame(now);
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
    pub(crate) fn is_emptied(&self, worker: &Worker) -> bool {
        self.vacate.contains(&worker.entry.vm) || self.is_evacuated(worker)
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
            return self.others_away(now, job, id) < limit && self.has_room_elsewhere(now, id);
        }
        let movable = step.checkpoints && run.percent < MOVE_BELOW && run.checkpoint.is_some();
        movable && !is_made_late_by_move(now, job, id, run.percent)
    }

    /// Other tasks of the step that are not at work, as far as is known.
    fn others_away(&self, now: Duration, job: &Job, id: TaskId) -> u32 {
        let step = &job.instances[id.occurrence as usize].steps[id.step as usize];
        let at_work = |run: &Run| {
            let worker = self.workers.get(&run.worker);
            let sound = worker.is_some_and(Worker::answers);
            let works = run.phase == Phase::Running && run.is_at_work();
            sound && works && !self.may_be_stopped_by_another(now, run)
        };
        let others = (0..).zip(&step.tasks).filter(|(index, _)| *index != id.index);
        let away = others.filter(|(_, task)| !task.runs.iter().any(at_work));
        u32::try_from(away.count()).unwrap_or(u32::MAX)
    }

    fn has_room_elsewhere(&self, now: Duration, id: TaskId) -> bool {
        let Some(step) = self.step_of(id) else { return false };
        let room = step.reserved();
        self.workers
            .values()
            .any(|worker| self.takes(now, worker, id, step) && room.fits(&worker.free()))
    }
}

/// Whether a job ends in time by its estimates if its task goes on where it is, and does not if the
/// task is moved.
fn is_made_late_by_move(now: Duration, job: &Job, id: TaskId, percent: u32) -> bool {
    let estimate = job.accepted.spec.steps[id.step as usize].estimate_ms;
    let done = estimate * u64::from(percent.min(100)) / 100;
    let left = job.chains_ms[id.step as usize].saturating_sub(done);
    let end = now + Duration::from_millis(left);
    let due = job.due();
    end <= due && end + MOVE_COST > due
}
