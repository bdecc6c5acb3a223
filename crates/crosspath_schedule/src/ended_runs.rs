//! Processing of ended runs that workers report.

use std::sync::Arc;
use std::time::Duration;

use crosspath_border::worker::{Ended, Outcome};
use crosspath_job::TaskId;
use crosspath_job::progress::State;

use crate::place::Key;
use crate::scheduler::Scheduler;

/// Increase of a worker's suspicion score for a failed run. Half of it for a long-running one,
/// which may fail at any time for reasons of its own.
const SUSPICION_FAILED: f64 = 1.0;
/// Change of a worker's suspicion score for a run that ended successfully.
const SUSPICION_DONE: f64 = -0.5;

impl Scheduler {
    /// Applies the end of a run that the worker reports. Reports that were applied before are
    /// ignored.
    pub(crate) fn run_ended(&mut self, now: Duration, id: &Arc<str>, ended: &Ended) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if ended.number <= worker.ends_seen {
            return;
        }
        let expected = worker.ends_seen + 1;
        let numbering_known = worker.ends_seen > 0 || worker.incarnation_changed.is_some();
        if numbering_known && ended.number > expected {
            log::warn!("event=ends_not_heard worker={id} from={expected} to={}", ended.number - 1);
        }
        worker.ends_seen = ended.number;
        let Ended { number, task, run, outcome, .. } = *ended;
        let dropped = self.drop_run(id, task, run);
        let duration = dropped.as_ref().map(|run| now.saturating_sub(run.answered));
        log::info!(
            "event=run_ended task={task} run={run} worker={id} end={number} how={outcome:?} took_ms={}",
            duration.unwrap_or_default().as_millis()
        );
        let Some(step) = self.step_of(task) else { return };
        let long_running = step.long_running;
        if let (Outcome::Done, false, Some(run)) = (outcome, long_running, &dropped) {
            self.learn_duration(now, task, run);
        }
        self.save_checkpoint(now, ended);
        match outcome {
            Outcome::Done if !long_running => self.task_done(now, id, task),
            Outcome::Failed if !long_running => self.task_failed(now, id, task, run),
            Outcome::Failed => {
                self.adjust_suspicion(now, id, SUSPICION_FAILED * 0.5);
                self.queue_task(now, task);
            }
            _ => self.queue_task(now, task),
        }
    }

    pub(crate) fn save_checkpoint(&mut self, now: Duration, ended: &Ended) {
        if ended.checkpoint.is_none() || ended.outcome == Outcome::Done {
            return;
        }
        let Some(job) = self.jobs.get_mut(&ended.task.job) else { return };
        let Some(task) = job.task_mut(ended.task) else { return };
        if task.done || task.checkpoint == ended.checkpoint {
            return;
        }
        task.checkpoint.clone_from(&ended.checkpoint);
        self.commits.mark_dirty(now, ended.task.job);
    }

    pub(crate) fn adjust_suspicion(&mut self, now: Duration, id: &str, amount: f64) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.add_suspicion(now, amount);
        }
    }

    pub(crate) fn task_done(&mut self, now: Duration, worker: &Arc<str>, id: TaskId) {
        self.adjust_suspicion(now, worker, SUSPICION_DONE);
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        if job.state.is_terminal() {
            return;
        }
        let gang = job.accepted.spec.steps[id.step as usize].gang;
        let step = &mut job.occurrences[id.occurrence as usize].steps[id.step as usize];
        let mut others = Vec::new();
        for (index, task) in (0..).zip(&mut step.tasks) {
            // If one member of a gang ends successfully, all of its members count as done.
            if task.done || !(gang || index == id.index) {
                continue;
            }
            task.done = true;
            step.remaining -= 1;
            let other = TaskId { index, ..id };
            others.extend(task.runs.iter().map(|run| (other, run.number)));
        }
        let (step_over, job_over) = (step.remaining == 0, job.is_done());
        let keys: Vec<_> = if gang {
            self.waiting.iter().filter(|key| key.task.job == id.job).copied().collect()
        } else {
            vec![Key::new(job, id)]
        };
        for key in keys {
            let done = self.jobs[&id.job].task(key.task).is_some_and(|task| task.done);
            if done {
                self.waiting.remove(&key);
            }
        }
        for (task, run) in others {
            self.stop_run(now, task, run);
        }
        self.commits.mark_dirty(now, id.job);
        if job_over {
            self.finish(now, id.job, State::Completed);
        } else if step_over {
            // With 0 as the time of day no further occurrence becomes due here; the tick does that.
            self.unblock_steps(now, 0, id.job);
        }
    }

    pub(crate) fn task_failed(
        &mut self,
        now: Duration,
        worker: &Arc<str>,
        id: TaskId,
        number: u64,
    ) {
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        let attempts = job.accepted.policy.max_attempts.max(1);
        if job.state.is_terminal() {
            return;
        }
        let Some(task) = job.task_mut(id) else { return };
        if task.done || task.failed_runs.contains(&number) {
            return self.queue_task(now, id);
        }
        task.failed_runs.push(number);
        task.last_run = task.last_run.max(number);
        task.failed_on.push(Arc::clone(worker));
        let failures = u32::try_from(task.failed_runs.len()).unwrap_or(u32::MAX);
        let others: Vec<_> = task.runs.iter().map(|run| run.number).collect();
        self.adjust_suspicion(now, worker, SUSPICION_FAILED);
        self.commits.mark_dirty(now, id.job);
        if failures < attempts {
            return self.queue_task(now, id);
        }
        for run in others {
            self.stop_run(now, id, run);
        }
        self.finish(now, id.job, State::Failed);
    }
}
