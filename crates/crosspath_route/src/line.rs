//! Requests of one class that wait, fair between callers.

use std::collections::{BTreeMap, VecDeque};

use crosspath_state::name::CallerName;
use crosspath_state::time::Monotonic;

use crate::dispatch::{Ask, Ticket};

/// One queue for each caller, served in turn.
#[derive(Debug, Default)]
pub(crate) struct Line {
    queues: BTreeMap<CallerName, VecDeque<Ask>>,
    turns: VecDeque<CallerName>,
    len: usize,
}

impl Line {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Requests that would be served before another one of `caller`.
    pub(crate) fn ahead_of(&self, caller: &CallerName) -> usize {
        let own = self.queues.get(caller).map_or(0, VecDeque::len);
        self.queues.values().map(|queue| queue.len().min(own + 1)).sum::<usize>().min(self.len)
    }

    pub(crate) fn push(&mut self, ask: Ask) {
        let queue = self.queues.entry(ask.caller.clone()).or_default();
        if queue.is_empty() {
            self.turns.push_back(ask.caller.clone());
        }
        queue.push_back(ask);
        self.len += 1;
    }

    pub(crate) fn pop(&mut self) -> Option<Ask> {
        let caller = self.turns.pop_front()?;
        let queue = self.queues.get_mut(&caller)?;
        let ask = queue.pop_front()?;
        self.len -= 1;
        if queue.is_empty() {
            self.queues.remove(&caller);
        } else {
            self.turns.push_back(caller);
        }
        Some(ask)
    }

    /// Takes out those that `matches`.
    pub(crate) fn remove(&mut self, matches: impl Fn(&Ask) -> bool) -> Vec<Ticket> {
        let mut removed = Vec::new();
        for queue in self.queues.values_mut() {
            queue.retain(|ask| {
                let gone = matches(ask);
                removed.extend(gone.then_some(ask.ticket));
                !gone
            });
        }
        self.len -= removed.len();
        self.queues.retain(|_, queue| !queue.is_empty());
        self.turns.retain(|caller| self.queues.contains_key(caller));
        removed
    }

    pub(crate) fn expired(&mut self, now: Monotonic) -> Vec<Ticket> {
        self.remove(|ask| ask.deadline <= now)
    }
}
