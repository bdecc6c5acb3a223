//! Tickets of the advice service, which tasks of some queues need to start on a worker.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crosspath_border::advice::{self, StepId};
use crosspath_job::TaskId;

use crate::action::Action;
use crate::scheduler::Scheduler;

/// Maximum number of workers in one request to the advice service.
const MAX_ADVICE_WORKERS: usize = 100;
/// Delay after which a request to the advice service is repeated if it failed or got no answer.
const ADVICE_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Remaining validity below which a ticket is not used any more, so that the start reaches the
/// worker in time.
const TICKET_MARGIN: Duration = Duration::from_millis(300);

impl Scheduler {
    /// Whether the task needs no advice or its step has valid advice. Otherwise requests advice,
    /// unless a request is under way.
    pub(crate) fn ensure_advice(&mut self, now: Duration, id: TaskId) -> bool {
        let Some(job) = self.jobs.get(&id.job) else { return false };
        if job.accepted.advice.is_none() {
            return true;
        }
        let step = StepId { job: id.job, occurrence: id.occurrence, step: id.step };
        if self.tickets.is_fresh(now, step) {
            return true;
        }
        if self.tickets.begin_request(now, step) {
            let workers = self.workers.values().filter(|worker| worker.is_usable(now));
            let workers: Vec<_> = workers
                .map(|worker| Arc::clone(&worker.entry.id))
                .take(MAX_ADVICE_WORKERS)
                .collect();
            if !workers.is_empty() {
                self.actions.push(Action::RequestAdvice { step, workers });
            }
        }
        false
    }
}

/// The newest advice for each step.
#[derive(Debug, Default)]
pub(crate) struct Tickets(BTreeMap<StepId, Advice>);

#[derive(Debug, Default)]
struct Advice {
    /// Tickets by worker; workers without one may not run the step.
    approved: BTreeMap<Arc<str>, Arc<str>>,
    /// When the tickets are no longer used, with [`TICKET_MARGIN`] subtracted.
    valid_until: Duration,
    /// When the last request was sent, or its failure became known; zero before the first.
    requested: Duration,
}

fn step_id(task: TaskId) -> StepId {
    StepId { job: task.job, occurrence: task.occurrence, step: task.step }
}

impl Tickets {
    fn is_fresh(&self, now: Duration, step: StepId) -> bool {
        self.0.get(&step).is_some_and(|advice| now < advice.valid_until)
    }

    /// Whether a request for the step may be sent now. If so, it is recorded as sent.
    fn begin_request(&mut self, now: Duration, step: StepId) -> bool {
        let advice = self.0.entry(step).or_default();
        let due = advice.requested.is_zero() || now >= advice.requested + ADVICE_RETRY_INTERVAL;
        if due {
            advice.requested = now;
        }
        due
    }

    /// Takes in the answer, or the failure, of the last request for the step.
    pub(crate) fn record_answer(
        &mut self,
        now: Duration,
        step: StepId,
        answer: Result<advice::Answer, advice::Error>,
    ) {
        let advice = self.0.entry(step).or_default();
        match answer {
            Ok(answer) => {
                let valid = Duration::from_millis(answer.valid_ms).saturating_sub(TICKET_MARGIN);
                // The validity may have begun as early as the request was sent.
                advice.valid_until = advice.requested + valid;
                advice.approved = answer.approved.into_iter().collect();
            }
            Err(error) => {
                log::info!("event=no_advice job={} step={} error=\"{error}\"", step.job, step.step);
                advice.requested = now;
            }
        }
    }

    /// Drops the advice for the step of a task, because a worker has rejected a ticket.
    pub(crate) fn invalidate(&mut self, task: TaskId) {
        self.0.remove(&step_id(task));
    }

    /// Whether the advice service lets the task run on a worker. Always true without advice.
    pub(crate) fn allows(&self, task: TaskId, worker: &Arc<str>) -> bool {
        let advice = self.0.get(&step_id(task));
        advice.is_none_or(|advice| advice.approved.contains_key(worker))
    }

    /// The ticket with which the task may start on a worker; `None` without advice.
    pub(crate) fn ticket(&self, task: TaskId, worker: &Arc<str>) -> Option<Arc<str>> {
        self.0.get(&step_id(task))?.approved.get(worker).cloned()
    }
}
