//! The runs of tasks: finding, stopping and removing them.

use std::sync::Arc;
use std::time::Duration;

use crosspath_job::TaskId;

use crate::action::Action;
use crate::job::{Phase, Run, Task};
use crate::scheduler::Scheduler;

/// Runs of one task in one epoch at most; run numbers rise with the epoch by this much, so that they
/// rise above those of owners before, whatever those have started unseen.
const RUNS_PER_EPOCH: u64 = 10_000;
/// Between two stops for a run whose stop got no answer.
const STOP_RETRY_INTERVAL: Duration = Duration::from_millis(400);

/// A stop that a worker has taken has ended its run by then: stops take up to 0.9 s. A run that is shown after
/// that was not stopped, or was started after its stop.
pub(crate) const STOP_COMPLETION: Duration = Duration::from_millis(1_500);

impl Scheduler {
    /// Whether a run may be ending by a stop of an owner before: it is shown as running until the stop is
    /// through. A worker that has answered this owner takes no further stop of one before.
    pub(crate) fn may_be_stopping_for_previous_owner(&self, now: Duration, run: &Run) -> bool {
        let adopted = run.number < self.epoch * RUNS_PER_EPOCH;
        adopted && now < run.answered + STOP_COMPLETION
    }

    /// Next number for a run of a task.
    pub(crate) fn next_run_number(epoch: u64, task: &Task) -> u64 {
        (task.last_run + 1).max(epoch * RUNS_PER_EPOCH + 1)
    }

    pub(crate) fn stop_run(&mut self, now: Duration, id: TaskId, number: u64) {
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        let Some(task) = job.task_mut(id) else { return };
        let Some(run) = task.runs.iter_mut().find(|run| run.number == number) else { return };
        if matches!(run.phase, Phase::Stopped) {
            return;
        }
        if run.phase == Phase::Planned {
            return self.drop_planned(now, id, number);
        }
        if !matches!(run.phase, Phase::Doubtful) {
            run.phase = Phase::Stopping;
        }
        run.stop_sent = now;
        let Some(worker) = self.workers.get(&run.worker) else { return };
        self.actions.push(Action::Stop { worker: worker.target(), task: id, run: number });
    }

    /// Gives up a run of which nothing was sent.
    pub(crate) fn drop_planned(&mut self, now: Duration, id: TaskId, number: u64) {
        let Some(run) = self.run(id, number) else { return };
        if run.phase == Phase::Planned {
            let worker = Arc::clone(&run.worker);
            self.drop_and_requeue(now, &worker, id, number, "not_sent");
        }
    }

    pub(crate) fn retry_stops(&mut self, now: Duration) {
        let mut again = Vec::new();
        for worker in self.workers.values().filter(|worker| worker.failures == 0) {
            again.extend(worker.unanswered.iter().copied());
        }
        for (task, run) in again {
            let found = self.run(task, run);
            let due = found.is_some_and(|found| now >= found.stop_sent + STOP_RETRY_INTERVAL);
            if due {
                self.stop_run(now, task, run);
            }
        }
    }

    pub(crate) fn run(&self, id: TaskId, number: u64) -> Option<&Run> {
        let task = self.jobs.get(&id.job)?.task(id)?;
        task.runs.iter().find(|run| run.number == number)
    }

    pub(crate) fn run_mut(&mut self, id: TaskId, number: u64) -> Option<&mut Run> {
        let task = self.task_mut(id)?;
        task.runs.iter_mut().find(|run| run.number == number)
    }

    /// Removes a run that is not there any more.
    pub(crate) fn drop_run(&mut self, worker: &str, id: TaskId, number: u64) -> Option<Run> {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.release(id, number);
            self.placement_due = true;
        }
        let task = self.task_mut(id)?;
        let at = task.runs.iter().position(|run| run.number == number)?;
        Some(task.runs.remove(at))
    }

    pub(crate) fn drop_and_requeue(
        &mut self,
        now: Duration,
        worker: &str,
        id: TaskId,
        number: u64,
        reason: &str,
    ) {
        if self.drop_run(worker, id, number).is_some() {
            log::info!("event=run_over task={id} run={number} worker={worker} why={reason}");
        }
        self.queue_task(now, id);
    }
}
