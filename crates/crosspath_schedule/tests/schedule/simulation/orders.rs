//! Messages of owners to workers in flight, their execution, and the replies.

use std::sync::Arc;
use std::time::Duration;

use crosspath_border::worker::{Error, Outcome, PollReply, Started, Target};
use crosspath_job::TaskId;
use crosspath_schedule::Event;
use crosspath_schedule::lease::Clock;
use rand::RngExt as _;

use super::worker::Run;
use super::{FATAL_CRASH_DELAY, LOSS_LIMIT, MAX_ATTEMPTS, POLL_INTERVAL, Simulation};
use crate::common::ms;

#[derive(Debug, Clone)]
pub(super) enum Order {
    Start {
        task: TaskId,
        run: u64,
        deadline_ms: u64,
    },
    Stop {
        task: TaskId,
        run: u64,
    },
    /// `one_off` is set for a poll besides the periodic ones; its failure is not reported.
    Poll {
        acknowledged: u64,
        deadline_ms: Option<u64>,
        one_off: bool,
    },
}

#[derive(Debug, Clone)]
pub(super) struct Message {
    pub(super) deliver_at: Duration,
    pub(super) sent: Duration,
    pub(super) owner: usize,
    pub(super) fencing_token: u64,
    pub(super) worker: Target,
    pub(super) order: Order,
    /// Whether the reply reaches the owner.
    pub(super) answered: bool,
    /// Start of the incarnation that a delayed message reaches if it still exists then; `None` if
    /// the message is not delayed.
    pub(super) late_incarnation: Option<u64>,
}

#[derive(Debug)]
pub(super) enum Reply {
    Started(Started),
    Stopped,
    Polled(PollReply),
}

impl Simulation {
    pub(super) fn send(&mut self, owner: usize, worker: &Arc<str>, order: Order) {
        let Some(poller) = self.owners[owner].pollers.get(worker) else { return };
        let worker = poller.target.clone();
        let delay = self.rng.random_range(1..8);
        let answered = !self.chance(self.faults.reply_loss);
        let late = !answered && self.chance(self.faults.late_delivery);
        let delay = if late { self.rng.random_range(500..6_000) } else { delay };
        let late_incarnation = self.workers.get(&worker.id).filter(|_| late);
        let late_incarnation = late_incarnation.map(|worker| worker.entry.started_ms);
        let fencing_token = self.owners[owner].fencing_token;
        let (deliver_at, sent) = (self.now + ms(delay), self.now);
        self.messages.push(Message {
            deliver_at,
            sent,
            owner,
            fencing_token,
            worker,
            order,
            answered,
            late_incarnation,
        });
    }

    pub(super) fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition::<Vec<_>, _>(|message| message.deliver_at <= now);
        self.messages = later;
        for message in due {
            let outcome = match self.delivery_error(&message) {
                Some(error) => Err(error),
                None => self.perform(&message),
            };
            let outcome = if message.answered { outcome } else { Err(Error::NoAnswer) };
            self.deliver_reply(&message, outcome);
        }
    }

    fn delivery_error(&self, message: &Message) -> Option<Error> {
        let Some(worker) = self.workers.get(&message.worker.id) else {
            return Some(Error::OtherLife);
        };
        let has_restarted = message
            .late_incarnation
            .is_some_and(|started_ms| started_ms != worker.entry.started_ms);
        if worker.is_partitioned || has_restarted {
            return Some(Error::NoAnswer);
        }
        let is_poll = matches!(message.order, Order::Poll { .. });
        let is_accepted = is_poll || worker.entry.started_ms == message.worker.started_ms;
        if worker.entry.address != message.worker.address {
            let is_address_reused = self.now.as_millis().is_multiple_of(2);
            return Some(if is_address_reused { Error::OtherLife } else { Error::NotReached });
        }
        (!is_accepted).then_some(Error::NotReached)
    }

    fn perform(&mut self, message: &Message) -> Result<Reply, Error> {
        let now = self.now;
        let worker = self.workers.get_mut(&message.worker.id).ok_or(Error::OtherLife)?;
        if message.fencing_token < worker.fencing_token {
            return Err(Error::Fenced);
        }
        worker.fencing_token = message.fencing_token;
        match &message.order {
            Order::Start { task, run, deadline_ms } => {
                if *deadline_ms < worker.clock_ms(now) {
                    return Ok(Reply::Started(Started::Late));
                }
                worker.lease_expiry = worker.lease_expiry.max(worker.expiry(now, *deadline_ms));
                if worker.refused_up_to.get(task).is_some_and(|refused| run <= refused) {
                    return Ok(Reply::Started(Started::Old));
                }
                if worker.runs.contains_key(task) {
                    return Ok(Reply::Started(Started::Yes));
                }
                self.start_run(&message.worker.id, *task, *run);
                Ok(Reply::Started(Started::Yes))
            }
            Order::Stop { task, run } => {
                let is_running =
                    worker.runs.get(task).is_some_and(|current| current.number <= *run);
                if is_running {
                    worker.end_run(*task, Outcome::Stopped);
                }
                let refused = worker.refused_up_to.entry(*task).or_default();
                *refused = (*refused).max(*run);
                Ok(Reply::Stopped)
            }
            Order::Poll { acknowledged, deadline_ms, .. } => {
                // Another incarnation numbers its ends anew and has another clock, so that neither
                // acknowledgements nor deadlines apply to it.
                let is_same_incarnation = message.worker.started_ms == worker.entry.started_ms;
                let acknowledged = if is_same_incarnation { *acknowledged } else { 0 };
                for ended in worker.ended.iter().filter(|ended| ended.number <= acknowledged) {
                    match ended.outcome {
                        Outcome::Done => drop(self.acked_done.insert(ended.task)),
                        Outcome::Failed => *self.acked_failed.entry(ended.task).or_default() += 1,
                        _ => {}
                    }
                }
                worker.ended.retain(|ended| ended.number > acknowledged);
                if let Some(deadline_ms) = deadline_ms.filter(|_| is_same_incarnation) {
                    worker.lease_expiry = worker.lease_expiry.max(worker.expiry(now, deadline_ms));
                }
                Ok(Reply::Polled(worker.poll_reply(now)))
            }
        }
    }

    /// Starts a run on a worker, after checks of the invariants.
    fn start_run(&mut self, id: &Arc<str>, task: TaskId, run: u64) {
        for worker in self.workers.values() {
            assert!(
                !worker.runs.contains_key(&task),
                "{task} run {run} starts on {id} while the task runs on {}",
                worker.entry.id
            );
        }
        assert!(
            !self.acked_done.contains(&task),
            "{task} run {run} starts after an acknowledged end"
        );
        let failed = self.acked_failed.get(&task).copied().unwrap_or_default();
        assert!(failed < MAX_ATTEMPTS, "{task} run {run} starts after {failed} failed runs");
        let duration = ms(self.rng.random_range(50..1_500));
        let fatal = self.is_fatal(task.job);
        let ends_at = self.now + if fatal { FATAL_CRASH_DELAY } else { duration };
        let losses = self.losses.entry(task).or_default();
        losses.starts_after_limit += u32::from(losses.incarnations >= LOSS_LIMIT);
        assert!(
            !fatal || losses.starts_after_limit < LOSS_LIMIT,
            "{task} run {run} starts on {id} after {losses:?}"
        );
        let worker = self.workers.get_mut(id).expect("a worker");
        worker.runs.insert(task, Run { number: run, ends_at });
        self.starts += 1;
    }

    fn deliver_reply(&mut self, message: &Message, outcome: Result<Reply, Error>) {
        let owner = message.owner;
        let worker = Arc::clone(&message.worker.id);
        match &message.order {
            Order::Start { task, run, .. } => {
                let answer = outcome.map(|reply| match reply {
                    Reply::Started(started) => started,
                    Reply::Stopped | Reply::Polled(_) => Started::Malformed,
                });
                let (task, run) = (*task, *run);
                self.notify(owner, Event::StartAnswered { worker, task, run, answer });
            }
            Order::Stop { task, run } => {
                let (task, run, answer) = (*task, *run, outcome.map(drop));
                self.notify(owner, Event::StopAnswered { worker, task, run, answer });
            }
            Order::Poll { one_off: true, .. } => {
                if let Ok(Reply::Polled(reply)) = outcome {
                    let (sent, extended) = (message.sent, false);
                    self.notify(owner, Event::Polled { worker, sent, extended, reply });
                }
            }
            Order::Poll { deadline_ms, .. } => {
                let (sent, extended) = (message.sent, deadline_ms.is_some());
                let Some(poller) = self.owners[owner].pollers.get_mut(&worker) else { return };
                // The poll belongs to a poller that has been replaced; its reply is discarded.
                if poller.target != message.worker {
                    return;
                }
                poller.next_poll = self.now + POLL_INTERVAL;
                poller.last_poll_failed = outcome.is_err();
                let event = match outcome {
                    Ok(Reply::Polled(reply)) => {
                        poller.clock = Clock { reading_ms: reply.clock_ms, received: self.now };
                        Event::Polled { worker, sent, extended, reply }
                    }
                    Ok(_) => return,
                    Err(error) => Event::PollFailed { worker, sent, extended, error },
                };
                self.notify(owner, event);
            }
        }
    }
}
