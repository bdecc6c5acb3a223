//! The life cycle of jobs: acceptance, unblocking of steps, cancellation and end.

use std::sync::Arc;
use std::time::Duration;

use crosspath_job::progress::State;
use crosspath_job::record::{Accepted, Record, Requester};
use crosspath_job::{JobId, TaskId};

use crate::job::Job;
use crate::place::Key;
use crate::scheduler::Scheduler;

impl Scheduler {
    /// Adds a job whose acceptance record was read from the log. A job that is already known is
    /// left as it is.
    pub(crate) fn accept(
        &mut self,
        now: Duration,
        wall_ms: u64,
        id: JobId,
        accepted: Arc<Accepted>,
    ) {
        self.admission.stored(id);
        if let Some(existing) = self.jobs.get(&id) {
            // The newest acceptance in the log now names another customer, which the next owner
            // would take over. Appending the original record again corrects that.
            if !existing.accepted.belongs_to(&accepted.requester()) {
                log::warn!(
                    "event=job_of_another_customer job={id} kept_for={:?}",
                    existing.accepted.customer
                );
                let acceptance = Record::Accepted(id, Arc::clone(&existing.accepted));
                self.commits.rewrite(acceptance);
            }
            return;
        }
        if self.relocate_if_misplaced(id, &accepted) {
            return;
        }
        self.begin_job(now, wall_ms, id, accepted);
    }

    /// Adds a job that has just been accepted, and queues its tasks.
    pub(crate) fn begin_job(
        &mut self,
        now: Duration,
        wall_ms: u64,
        id: JobId,
        accepted: Arc<Accepted>,
    ) {
        self.rewrite_if_deleted(id, &accepted);
        self.insert(now, wall_ms, id, accepted);
        self.charge_share(id);
        self.note_accepted(id);
        if let Some(by) = self.early_cancellations.remove(&id) {
            self.cancel(now, id, by);
        }
        self.unblock_steps(now, wall_ms, id);
    }

    pub(crate) fn insert(
        &mut self,
        now: Duration,
        wall_ms: u64,
        id: JobId,
        accepted: Arc<Accepted>,
    ) {
        let age = Duration::from_millis(wall_ms.saturating_sub(accepted.at_ms));
        let job = Job::new(id, accepted, now.saturating_sub(age));
        log::info!(
            "event=job_known job={id} queue={} customer={} age_ms={}",
            job.accepted.queue,
            job.accepted.customer.as_deref().unwrap_or_default(),
            age.as_millis()
        );
        self.jobs.insert(id, job);
    }

    /// Cancels a job if it belongs to the requester. The cancellation of a job whose acceptance was
    /// not read yet is remembered and applied once it is.
    pub(crate) fn cancel(&mut self, now: Duration, id: JobId, by: Requester) {
        let Some(job) = self.jobs.get(&id) else {
            if !self.cancel_elsewhere(now, id, &by) {
                self.early_cancellations.insert(id, by);
            }
            return;
        };
        if !job.accepted.belongs_to(&by) {
            log::warn!("event=cancel_of_another_customer job={id} by={:?}", by.customer);
            return;
        }
        if !job.state.is_terminal() {
            self.finish(now, id, State::Cancelled);
        }
    }

    /// Unblocks the steps of all occurrences that have become due, in all jobs.
    pub(crate) fn unblock_due_steps(&mut self, now: Duration, wall_ms: u64) {
        let pending = |job: &&Job| {
            !job.state.is_terminal() && job.occurrences.iter().any(|occurrence| !occurrence.due)
        };
        let pending: Vec<_> = self.jobs.values().filter(pending).map(|job| job.id).collect();
        for id in pending {
            self.unblock_steps(now, wall_ms, id);
        }
    }

    /// Unblocks the steps of due occurrences whose dependencies are complete, and queues their
    /// tasks.
    pub(crate) fn unblock_steps(&mut self, now: Duration, wall_ms: u64, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.state.is_terminal() {
            return;
        }
        let accepted = Arc::clone(&job.accepted);
        let spec = &accepted.spec;
        for (nth, occurrence) in (0..).zip(&mut job.occurrences) {
            occurrence.due |= spec.due_ms(nth) <= wall_ms;
            if !occurrence.due {
                continue;
            }
            for number in 0..occurrence.steps.len() {
                let dependencies = &spec.steps[number].after;
                let ready = dependencies
                    .iter()
                    .all(|dependency| occurrence.steps[*dependency as usize].remaining == 0);
                let step = &mut occurrence.steps[number];
                step.unblocked |= ready;
                if !ready || step.remaining == 0 {
                    continue;
                }
                for task in step.tasks.iter_mut().filter(|task| task.waiting_since.is_zero()) {
                    task.waiting_since = now;
                }
            }
        }
        self.queue_job(id);
    }

    /// Queues all tasks of the job that need a run.
    pub(crate) fn queue_job(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        let mut found = Vec::new();
        for (nth, occurrence) in (0..).zip(&job.occurrences) {
            for (step, state) in (0..).zip(&occurrence.steps) {
                if !state.unblocked || state.remaining == 0 {
                    continue;
                }
                for (index, task) in (0..).zip(&state.tasks) {
                    if !task.done && task.runs.is_empty() {
                        found.push(Key::new(job, TaskId { job: id, occurrence: nth, step, index }));
                    }
                }
            }
        }
        self.placement_due |= !found.is_empty();
        self.waiting.extend(found);
    }

    /// Queues a task for placement if it needs a run.
    pub(crate) fn queue_task(&mut self, now: Duration, id: TaskId) {
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        if job.state.is_terminal() {
            return;
        }
        let step = &job.occurrences[id.occurrence as usize].steps[id.step as usize];
        if !step.unblocked {
            return;
        }
        let Some(task) = job.task_mut(id) else { return };
        if task.done || !task.runs.is_empty() {
            return;
        }
        task.waiting_since = now;
        let key = Key::new(job, id);
        self.waiting.replace(key);
        self.placement_due = true;
    }

    /// Ends a job in the terminal state `state`: removes its tasks from the queue and stops its
    /// runs.
    pub(crate) fn finish(&mut self, now: Duration, id: JobId, state: State) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        log::info!(
            "event=job_ended job={id} state={state:?} after_ms={} objective_ms={}",
            now.saturating_sub(job.accepted_at).as_millis(),
            job.deadline().saturating_sub(job.accepted_at).as_millis()
        );
        job.state = state;
        job.ended = now;
        let active = job.active_runs();
        let keys: Vec<_> = self.waiting.iter().filter(|key| key.task.job == id).copied().collect();
        for key in keys {
            self.waiting.remove(&key);
        }
        for (task, run, _) in active {
            self.stop_run(now, task, run);
        }
        self.commits.mark_dirty(now, id);
    }

    /// Marks a queued job as running, because one of its tasks has started.
    pub(crate) fn mark_running(&mut self, now: Duration, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.state == State::Queued {
            job.state = State::Running;
            let after = now.saturating_sub(job.accepted_at).as_millis();
            log::info!("event=job_begun job={id} after_ms={after}");
        }
    }
}
