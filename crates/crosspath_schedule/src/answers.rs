//! Processing of workers' answers to starts and stops.

use std::sync::Arc;
use std::time::Duration;

use crosspath_border::worker::{Error, Started};
use crosspath_job::TaskId;

use crate::action::Action;
use crate::job::Phase;
use crate::scheduler::Scheduler;

/// Pause in new work for a worker that did not answer an order or refused it as unhealthy; the next
/// poll shows its state.
const COOLDOWN_AFTER_NO_ANSWER: Duration = Duration::from_millis(300);
/// Pause in new work for a worker that refused a start; a few polls take place in this time.
const COOLDOWN_AFTER_NO_ROOM: Duration = Duration::from_millis(60);
/// Delay before a task is placed again after a worker could not interpret its start.
const MALFORMED_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Increase of a worker's suspicion score when it refuses a start as unhealthy.
const SUSPICION_REFUSED: f64 = 0.5;

impl Scheduler {
    pub(crate) fn start_answered(
        &mut self,
        now: Duration,
        id: &Arc<str>,
        task: TaskId,
        number: u64,
        answer: Result<Started, Error>,
    ) {
        if answer != Ok(Started::Yes) {
            log::info!(
                "event=start_refused task={task} run={number} worker={id} answer={answer:?}"
            );
        }
        // The run did not start, so it cannot be the reason why the worker was lost.
        if !matches!(answer, Ok(Started::Yes) | Err(Error::NoAnswer)) {
            self.clear_loss(now, task, number);
        }
        match answer {
            Ok(Started::Yes) => {
                if let Some(run) = self.run_mut(task, number) {
                    run.answered = now;
                    if run.phase == Phase::Starting {
                        run.phase = Phase::Running;
                        run.progressed = now;
                    }
                }
                self.mark_running(now, task.job);
            }
            Ok(Started::Fenced) | Err(Error::Fenced) => self.superseded = true,
            Ok(Started::NoRoom) => {
                self.cool_down(id, now + COOLDOWN_AFTER_NO_ROOM);
                self.drop_and_requeue(now, id, task, number, "no_room");
            }
            Ok(Started::Old | Started::Late) => {
                self.cool_down(id, now + COOLDOWN_AFTER_NO_ROOM);
                self.drop_and_requeue(now, id, task, number, "refused");
            }
            Ok(Started::Ticket) => {
                self.tickets.invalidate(task);
                self.drop_and_requeue(now, id, task, number, "ticket");
            }
            Ok(Started::Unhealthy) | Err(Error::Refused { .. }) => {
                self.adjust_suspicion(now, id, SUSPICION_REFUSED);
                self.cool_down(id, now + COOLDOWN_AFTER_NO_ANSWER);
                self.drop_and_requeue(now, id, task, number, "unhealthy");
            }
            Ok(Started::Malformed) => {
                log::warn!("event=start_malformed task={task} worker={id}");
                if let Some(task) = self.task_mut(task) {
                    task.not_before = now + MALFORMED_RETRY_DELAY;
                }
                self.drop_and_requeue(now, id, task, number, "malformed");
            }
            Err(Error::NotReached) => {
                self.cool_down(id, now + COOLDOWN_AFTER_NO_ANSWER);
                self.drop_and_requeue(now, id, task, number, "not_reached");
            }
            Err(Error::OtherLife) => {
                let sent = self.run(task, number).map(|run| run.start_sent);
                self.drop_and_requeue(now, id, task, number, "other_life");
                self.other_incarnation_answered(now, id, sent);
            }
            Err(Error::NoAnswer) => self.start_unanswered(now, id, task, number),
        }
    }

    /// A start got no answer: the run may exist, so a stop is sent to make sure that it does not.
    pub(crate) fn start_unanswered(
        &mut self,
        now: Duration,
        id: &Arc<str>,
        task: TaskId,
        number: u64,
    ) {
        self.cool_down(id, now + COOLDOWN_AFTER_NO_ANSWER);
        let Some(run) = self.run_mut(task, number) else { return };
        if run.phase == Phase::Starting {
            run.phase = Phase::Doubtful;
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.unanswered.insert((task, number));
        }
        self.stop_run(now, task, number);
    }

    pub(crate) fn cool_down(&mut self, id: &str, until: Duration) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.cooldown_until = worker.cooldown_until.max(until);
        }
    }

    pub(crate) fn stop_answered(
        &mut self,
        now: Duration,
        id: &Arc<str>,
        task: TaskId,
        number: u64,
        answer: Result<(), Error>,
    ) {
        match answer {
            Ok(()) => {
                if let Some(worker) = self.workers.get_mut(id) {
                    worker.unanswered.remove(&(task, number));
                }
                let Some(run) = self.run_mut(task, number) else { return };
                let unconfirmed = run.phase == Phase::Doubtful;
                run.phase = Phase::Stopped;
                run.answered = now;
                // A run that existed is soon reported as ended. One that never started produces no
                // such report, and the pending periodic poll may wait long for another run to end.
                if unconfirmed && let Some(worker) = self.workers.get(id) {
                    self.actions.push(Action::Poll { worker: worker.target() });
                }
            }
            Err(Error::Fenced) => self.superseded = true,
            Err(Error::OtherLife) => {
                let sent = self.run(task, number).map(|run| run.stop_sent);
                self.other_incarnation_answered(now, id, sent);
            }
            Err(error) => {
                log::info!(
                    "event=stop_failed task={task} run={number} worker={id} error=\"{error}\""
                );
                if let Some(worker) = self.workers.get_mut(id) {
                    worker.unanswered.insert((task, number));
                }
            }
        }
    }
}
