//! Orders of owners on their way to workers, and their answers.

use std::sync::Arc;
use std::time::Duration;

use crosspath_border::worker::{Error, Outcome, PollReply, Started, Target};
use crosspath_job::TaskId;
use crosspath_schedule::Event;
use crosspath_schedule::lease::Clock;
use rand::RngExt as _;

use super::worker::SimRun;
use super::{DEADLY_AFTER, LOOK_EVERY, MOST_ATTEMPTS, TOO_MANY_AFTER, World};
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
    /// `beside` the looks that follow one another: nothing is heard of its failure.
    Look {
        acknowledged: u64,
        deadline_ms: Option<u64>,
        beside: bool,
    },
}

#[derive(Debug, Clone)]
pub(super) struct Message {
    pub(super) at: Duration,
    pub(super) sent: Duration,
    pub(super) owner: usize,
    pub(super) token: u64,
    pub(super) worker: Target,
    pub(super) order: Order,
    pub(super) answered: bool,
    /// The life that carries it out late, if one does.
    pub(super) late_at: Option<u64>,
}

#[derive(Debug)]
pub(super) enum Reply {
    Started(Started),
    Stopped,
    Looked(PollReply),
}

impl World {
    pub(super) fn send(&mut self, owner: usize, worker: &Arc<str>, order: Order) {
        let Some(watched) = self.owners[owner].watched.get(worker) else { return };
        let worker = watched.target.clone();
        let delay = self.rng.random_range(1..8);
        let answered = !self.chance(self.faults.lost);
        let late = !answered && self.chance(self.faults.late);
        let delay = if late { self.rng.random_range(500..6_000) } else { delay };
        let late_at = self.workers.get(&worker.id).filter(|_| late);
        let late_at = late_at.map(|worker| worker.entry.started_ms);
        let token = self.owners[owner].token;
        let (at, sent) = (self.now + ms(delay), self.now);
        self.messages.push(Message { at, sent, owner, token, worker, order, answered, late_at });
    }

    pub(super) fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition::<Vec<_>, _>(|message| message.at <= now);
        self.messages = later;
        for message in due {
            let outcome = match self.unreached(&message) {
                Some(error) => Err(error),
                None => self.perform(&message),
            };
            let outcome = if message.answered { outcome } else { Err(Error::NoAnswer) };
            self.answer(&message, outcome);
        }
    }

    fn unreached(&self, message: &Message) -> Option<Error> {
        let Some(worker) = self.workers.get(&message.worker.id) else {
            return Some(Error::OtherLife);
        };
        let died = message.late_at.is_some_and(|born_ms| born_ms != worker.entry.started_ms);
        if worker.cut || died {
            return Some(Error::NoAnswer);
        }
        let is_look = matches!(message.order, Order::Look { .. });
        let is_meant = is_look || worker.entry.started_ms == message.worker.started_ms;
        if worker.entry.address != message.worker.address {
            let is_taken = self.now.as_millis().is_multiple_of(2);
            return Some(if is_taken { Error::OtherLife } else { Error::NotReached });
        }
        (!is_meant).then_some(Error::NotReached)
    }

    fn perform(&mut self, message: &Message) -> Result<Reply, Error> {
        let now = self.now;
        let worker = self.workers.get_mut(&message.worker.id).ok_or(Error::OtherLife)?;
        if message.token < worker.token {
            return Err(Error::Fenced);
        }
        worker.token = message.token;
        match &message.order {
            Order::Start { task, run, deadline_ms } => {
                if *deadline_ms < worker.clock_ms(now) {
                    return Ok(Reply::Started(Started::Late));
                }
                worker.deadline = worker.deadline.max(worker.at(now, *deadline_ms));
                if worker.void.get(task).is_some_and(|void| run <= void) {
                    return Ok(Reply::Started(Started::Old));
                }
                if worker.runs.contains_key(task) {
                    return Ok(Reply::Started(Started::Yes));
                }
                self.begin(&message.worker.id, *task, *run);
                Ok(Reply::Started(Started::Yes))
            }
            Order::Stop { task, run } => {
                let there = worker.runs.get(task).is_some_and(|there| there.number <= *run);
                if there {
                    worker.end(*task, Outcome::Stopped);
                }
                let void = worker.void.entry(*task).or_default();
                *void = (*void).max(*run);
                Ok(Reply::Stopped)
            }
            Order::Look { acknowledged, deadline_ms, .. } => {
                // No life is told of ends of another, or of a time on another's clock.
                let is_meant = message.worker.started_ms == worker.entry.started_ms;
                let acknowledged = if is_meant { *acknowledged } else { 0 };
                for ended in worker.ended.iter().filter(|ended| ended.number <= acknowledged) {
                    match ended.outcome {
                        Outcome::Done => drop(self.noted.insert(ended.task)),
                        Outcome::Failed => *self.failed.entry(ended.task).or_default() += 1,
                        _ => {}
                    }
                }
                worker.ended.retain(|ended| ended.number > acknowledged);
                if let Some(deadline_ms) = deadline_ms.filter(|_| is_meant) {
                    worker.deadline = worker.deadline.max(worker.at(now, deadline_ms));
                }
                Ok(Reply::Looked(worker.look(now)))
            }
        }
    }

    /// A worker begins a task: what must always hold is checked here.
    fn begin(&mut self, id: &Arc<str>, task: TaskId, run: u64) {
        for worker in self.workers.values() {
            assert!(
                !worker.runs.contains_key(&task),
                "{task} run {run} begins on {id} while it runs on {}",
                worker.entry.id
            );
        }
        assert!(!self.noted.contains(&task), "{task} run {run} begins after a kept end");
        let failed = self.failed.get(&task).copied().unwrap_or_default();
        assert!(failed < MOST_ATTEMPTS, "{task} run {run} begins after {failed} failed runs");
        let takes = ms(self.rng.random_range(50..1_500));
        let deadly = self.is_deadly(task.job);
        let ends = self.now + if deadly { DEADLY_AFTER } else { takes };
        let losses = self.losses.entry(task).or_default();
        losses.starts_after += u32::from(losses.lives >= TOO_MANY_AFTER);
        assert!(
            !deadly || losses.starts_after < TOO_MANY_AFTER,
            "{task} run {run} begins on {id} after {losses:?}"
        );
        let worker = self.workers.get_mut(id).expect("a worker");
        worker.runs.insert(task, SimRun { number: run, ends });
        self.starts += 1;
    }

    fn answer(&mut self, message: &Message, outcome: Result<Reply, Error>) {
        let owner = message.owner;
        let worker = Arc::clone(&message.worker.id);
        match &message.order {
            Order::Start { task, run, .. } => {
                let answer = outcome.map(|reply| match reply {
                    Reply::Started(started) => started,
                    Reply::Stopped | Reply::Looked(_) => Started::Malformed,
                });
                let (task, run) = (*task, *run);
                self.tell(owner, Event::StartAnswered { worker, task, run, answer });
            }
            Order::Stop { task, run } => {
                let (task, run, answer) = (*task, *run, outcome.map(drop));
                self.tell(owner, Event::StopAnswered { worker, task, run, answer });
            }
            Order::Look { beside: true, .. } => {
                if let Ok(Reply::Looked(reply)) = outcome {
                    let (sent, extended) = (message.sent, false);
                    self.tell(owner, Event::Polled { worker, sent, extended, reply });
                }
            }
            Order::Look { deadline_ms, .. } => {
                let (sent, extended) = (message.sent, deadline_ms.is_some());
                let Some(watched) = self.owners[owner].watched.get_mut(&worker) else { return };
                // An earlier watch has ended, and nobody hears its answers.
                if watched.target != message.worker {
                    return;
                }
                watched.next = self.now + LOOK_EVERY;
                watched.failing = outcome.is_err();
                let event = match outcome {
                    Ok(Reply::Looked(reply)) => {
                        watched.clock = Clock { reading_ms: reply.clock_ms, received: self.now };
                        Event::Polled { worker, sent, extended, reply }
                    }
                    Ok(_) => return,
                    Err(error) => Event::PollFailed { worker, sent, extended, error },
                };
                self.tell(owner, event);
            }
        }
    }
}
