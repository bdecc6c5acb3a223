//! Lookup, stopping and removal of runs.

use std::sync::Arc;
use std::time::Duration;

use crosspath_job::TaskId;

use crate::action::Action;
use crate::job::{Phase, Run, Task};
use crate::scheduler::Scheduler;

/// Maximum number of runs of one task per epoch. Run numbers start at the epoch times this number,
/// so that they exceed those of all previous owners, including runs that this owner does not know
/// of.
const RUNS_PER_EPOCH: u64 = 10_000;
/// Minimum time before the stop of a run is repeated.
const STOP_RETRY_INTERVAL: Duration = Duration::from_millis(400);

/// Time after which a run has ended whose stop the worker acknowledged; stops take up to 0.9 s. A
/// run that is still reported then was not stopped, or was started after its stop.
pub(crate) const STOP_COMPLETION: Duration = Duration::from_millis(1_500);

impl Scheduler {
    /// Whether a run may be about to end because a previous owner stopped it: the worker reports it
    /// as running until the stop completes. Once a worker has answered this owner, it accepts no
    /// further stops from previous ones.
    pub(crate) fn may_be_stopping_for_previous_owner(&self, now: Duration, run: &Run) -> bool {
        let adopted = run.number < self.epoch * RUNS_PER_EPOCH;
        adopted && now < run.answered + STOP_COMPLETION
    }

    /// Number for the next run of a task.
    pub(crate) fn next_run_number(epoch: u64, task: &Task) -> u64 {
        (task.last_run + 1).max(epoch * RUNS_PER_EPOCH + 1)
    }

    /// Sends a stop for a run, or drops the run if its start was not sent yet. Does nothing if a
    /// stop was acknowledged.
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

    /// Abandons a planned run whose start was not sent.
    pub(crate) fn drop_planned(&mut self, now: Duration, id: TaskId, number: u64) {
        let Some(run) = self.run(id, number) else { return };
        if run.phase == Phase::Planned {
            let worker = Arc::clone(&run.worker);
            self.drop_and_requeue(now, &worker, id, number, "not_sent");
        }
    }

    /// Repeats the stop of each run with an unanswered order, on workers whose last poll did not
    /// fail.
    pub(crate) fn retry_stops(&mut self, now: Duration) {
        let mut unanswered = Vec::new();
        for worker in self.workers.values().filter(|worker| worker.failures == 0) {
            unanswered.extend(worker.unanswered.iter().copied());
        }
        for (task, run) in unanswered {
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

    /// Removes a run that does not exist any more, and releases what it reserved.
    pub(crate) fn drop_run(&mut self, worker: &str, id: TaskId, number: u64) -> Option<Run> {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.release(id, number);
            self.placement_due = true;
        }
        let task = self.task_mut(id)?;
        let at = task.runs.iter().position(|run| run.number == number)?;
        Some(task.runs.remove(at))
    }

    /// Removes a run that does not exist any more, and queues its task if it needs another run. The
    /// log line gives `reason` as `why`.
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
