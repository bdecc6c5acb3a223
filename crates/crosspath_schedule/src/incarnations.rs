//! Lives of a worker under one identifier.
//!
//! A worker may begin again under the identifier that it had. It then holds nothing, and counts its ends from 1. What
//! was known of the life before says nothing of it: orders reach the life that they are meant for or none, so what
//! that one ran is over.

use std::sync::Arc;
use std::time::Duration;

use crosspath_border::worker::{Entry, PollReply};

use crate::action::Action;
use crate::losses::Liveness;
use crate::scheduler::Scheduler;

/// Between a worker's identifier and when its life began, in the name of a life.
const STARTED_SEPARATOR: char = '@';

/// Name of a life: the worker's identifier, and when it began where that is told.
pub(crate) fn name(id: &Arc<str>, started_ms: u64) -> Arc<str> {
    if started_ms == 0 {
        Arc::clone(id)
    } else {
        format!("{id}{STARTED_SEPARATOR}{started_ms}").into()
    }
}

/// The worker that a life is of, and when it began; 0 where its name does not tell.
pub(crate) fn parse(name: &str) -> (&str, u64) {
    let parts = name.rsplit_once(STARTED_SEPARATOR);
    let parts = parts.and_then(|(id, started_ms)| Some((id, started_ms.parse().ok()?)));
    parts.unwrap_or((name, 0))
}

impl Scheduler {
    /// Whether a life is the one that is known of its worker.
    pub(crate) fn is_current_incarnation(&self, name: &str) -> bool {
        let (id, started_ms) = parse(name);
        self.workers.get(id).is_some_and(|worker| worker.entry.started_ms == started_ms)
    }

    /// Takes in an entry of a known worker; whether it is of the newest life that is known.
    pub(crate) fn accept_listed_incarnation(&mut self, now: Duration, entry: &Entry) -> bool {
        let Some(worker) = self.workers.get(&entry.id) else { return false };
        let known_ms = worker.entry.started_ms;
        if entry.started_ms > known_ms {
            self.replace_incarnation(now, &entry.id, entry.clone());
        }
        entry.started_ms == 0 || entry.started_ms >= known_ms
    }

    /// Takes in which life has answered a look that was sent at `sent`; whether it is the newest one that is known.
    /// Of two the one that answers the later look is the later, also where its wall clock was set back.
    pub(crate) fn accept_answering_incarnation(
        &mut self,
        now: Duration,
        id: &Arc<str>,
        sent: Duration,
        reply: &PollReply,
    ) -> bool {
        let Some(worker) = self.workers.get(id) else { return false };
        let (known, answered) = (&worker.entry, worker.last_answered_poll);
        if reply.started_ms == 0 || reply.started_ms == known.started_ms {
            return true;
        }
        let polled_later = sent > answered && !self.was_sent_to_earlier_incarnation(id, sent);
        if reply.started_ms < known.started_ms && !polled_later {
            return false;
        }
        let (started_ms, clock_ms) = (reply.started_ms, reply.clock_ms);
        let entry = known.clone();
        let entry = Entry { started_ms, clock_ms, draining: false, remaining_ms: 0, ..entry };
        self.replace_incarnation(now, id, entry);
        true
    }

    /// Whether something that was sent to a worker at `sent` was meant for a life before the one that is known.
    pub(crate) fn was_sent_to_earlier_incarnation(&self, id: &str, sent: Duration) -> bool {
        let worker = self.workers.get(id);
        worker.and_then(|worker| worker.incarnation_changed).is_some_and(|changed| sent <= changed)
    }

    /// An order met another worker, so the life that it was meant for is over. `sent` is when it was sent, if that is
    /// known still; else looks tell.
    pub(crate) fn other_incarnation_answered(
        &mut self,
        now: Duration,
        id: &Arc<str>,
        sent: Option<Duration>,
    ) {
        if sent.is_some_and(|sent| !self.was_sent_to_earlier_incarnation(id, sent)) {
            self.end_incarnation(now, id, "other_life");
        }
    }

    /// Another life is there in the place of the one that was known.
    fn replace_incarnation(&mut self, now: Duration, id: &Arc<str>, entry: Entry) {
        let Some(worker) = self.workers.get(id) else { return };
        let (previous, target) = (worker.incarnation(), worker.target());
        log::info!(
            "event=worker_reborn worker={id} born_ms={} before_ms={} runs={} acknowledged={}",
            entry.started_ms,
            worker.entry.started_ms,
            worker.runs.len(),
            worker.ends_acknowledged
        );
        self.release_runs(now, id, "earlier_life");
        self.commits.discard_ends(id);
        self.actions.push(Action::StopPolling { worker: target });
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.entry = entry;
        worker.incarnation_changed = Some(now);
        worker.ends_seen = 0;
        worker.ends_acknowledged = 0;
        worker.synced = false;
        let (worker, clock_ms) = (worker.target(), worker.entry.clock_ms);
        self.actions.push(Action::StartPolling { worker, clock_ms });
        self.enforce_loss_limits_on(now, &previous);
        self.end_earlier_incarnations(now, id);
    }

    /// Lives under a worker's identifier that owners before knew are over if they began before the one that is known.
    pub(crate) fn end_earlier_incarnations(&mut self, now: Duration, id: &str) {
        let Some(worker) = self.workers.get(id) else { return };
        let started_ms = worker.entry.started_ms;
        for incarnation in self.recovery.earlier_incarnations(id, started_ms) {
            self.account_for(now, &incarnation, Liveness::Ended);
            self.enforce_loss_limits_on(now, &incarnation);
        }
    }
}
