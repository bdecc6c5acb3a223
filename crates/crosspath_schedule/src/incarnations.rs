//! Incarnations of a worker under one identifier.
//!
//! A worker may restart under its previous identifier. The new incarnation has no runs, and numbers
//! its reports of ended runs from 1. Nothing that was known of the previous incarnation applies to
//! it. An order reaches the incarnation that it is meant for or none, so all runs of the previous
//! incarnation have ended.

use std::sync::Arc;
use std::time::Duration;

use crosspath_border::worker::{Entry, PollReply};

use crate::action::Action;
use crate::losses::Liveness;
use crate::scheduler::Scheduler;

/// Separates the worker's identifier from the start time in the name of an incarnation.
const STARTED_SEPARATOR: char = '@';

/// Name of an incarnation: the worker's identifier, followed by the start time if it is known.
pub(crate) fn name(id: &Arc<str>, started_ms: u64) -> Arc<str> {
    if started_ms == 0 {
        Arc::clone(id)
    } else {
        format!("{id}{STARTED_SEPARATOR}{started_ms}").into()
    }
}

/// Worker identifier and start time in the name of an incarnation; the time is 0 if it is not
/// given.
pub(crate) fn parse(name: &str) -> (&str, u64) {
    let parts = name.rsplit_once(STARTED_SEPARATOR);
    let parts = parts.and_then(|(id, started_ms)| Some((id, started_ms.parse().ok()?)));
    parts.unwrap_or((name, 0))
}

impl Scheduler {
    /// Whether the named incarnation is the current one of a known worker.
    pub(crate) fn is_current_incarnation(&self, name: &str) -> bool {
        let (id, started_ms) = parse(name);
        self.workers.get(id).is_some_and(|worker| worker.entry.started_ms == started_ms)
    }

    /// Switches to the incarnation in an entry of the worker list if it is newer than the current
    /// one. Returns whether the entry then belongs to the current incarnation.
    pub(crate) fn accept_listed_incarnation(&mut self, now: Duration, entry: &Entry) -> bool {
        let Some(worker) = self.workers.get(&entry.id) else { return false };
        let known_ms = worker.entry.started_ms;
        if entry.started_ms > known_ms {
            self.replace_incarnation(now, &entry.id, entry.clone());
        }
        entry.started_ms == 0 || entry.started_ms >= known_ms
    }

    /// Switches to the incarnation that answered a poll sent at `sent` if it is newer than the
    /// current one. Returns whether the answer then comes from the current incarnation. Of two
    /// incarnations, the one that answers the later poll is the newer, even if the wall clock was
    /// set back between their starts.
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

    /// Whether a request sent at `sent` was meant for an incarnation before the current one.
    pub(crate) fn was_sent_to_earlier_incarnation(&self, id: &str, sent: Duration) -> bool {
        let worker = self.workers.get(id);
        worker.and_then(|worker| worker.incarnation_changed).is_some_and(|changed| sent <= changed)
    }

    /// Ends the incarnation that an order sent at `sent` was meant for, because another one
    /// answered. `None` means that the send time is no longer known; the next poll then shows the
    /// change.
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

    /// Replaces the current incarnation of a worker by the one in `entry`, and polls that one.
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
        worker.known_since = now;
        worker.ends_seen = 0;
        worker.ends_acknowledged = 0;
        worker.has_more_ended = false;
        worker.synced = false;
        let (worker, clock_ms) = (worker.target(), worker.entry.clock_ms);
        self.actions.push(Action::StartPolling { worker, clock_ms });
        self.enforce_loss_limits_on(now, &previous);
        self.end_earlier_incarnations(now, id);
    }

    /// Ends incarnations of a worker that only the records of previous owners name, if they started
    /// before the current one.
    pub(crate) fn end_earlier_incarnations(&mut self, now: Duration, id: &str) {
        let Some(worker) = self.workers.get(id) else { return };
        let started_ms = worker.entry.started_ms;
        for incarnation in self.recovery.earlier_incarnations(id, started_ms) {
            self.account_for(now, &incarnation, Liveness::Ended);
            self.enforce_loss_limits_on(now, &incarnation);
        }
    }
}
