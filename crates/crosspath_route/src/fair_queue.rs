//! Queue of the waiting requests of one class, fair between callers.

use std::collections::{BTreeMap, VecDeque};

use crosspath_state::name::CallerName;
use crosspath_state::time::Monotonic;

use crate::dispatch::{Request, Ticket};

/// One first-in, first-out queue for each caller, served round-robin.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    queues: BTreeMap<CallerName, VecDeque<Request>>,
    rotation: VecDeque<CallerName>,
    len: usize,
}

impl FairQueue {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Number of requests that are served before a new one of `caller`.
    pub(crate) fn ahead_of(&self, caller: &CallerName) -> usize {
        let own = self.queues.get(caller).map_or(0, VecDeque::len);
        self.queues.values().map(|queue| queue.len().min(own + 1)).sum::<usize>().min(self.len)
    }

    pub(crate) fn push(&mut self, request: Request) {
        let queue = self.queues.entry(request.caller.clone()).or_default();
        if queue.is_empty() {
            self.rotation.push_back(request.caller.clone());
        }
        queue.push_back(request);
        self.len += 1;
    }

    pub(crate) fn pop(&mut self) -> Option<Request> {
        let caller = self.rotation.pop_front()?;
        let queue = self.queues.get_mut(&caller)?;
        let request = queue.pop_front()?;
        self.len -= 1;
        if queue.is_empty() {
            self.queues.remove(&caller);
        } else {
            self.rotation.push_back(caller);
        }
        Some(request)
    }

    /// Removes the requests that satisfy `matches` and returns their tickets.
    pub(crate) fn remove(&mut self, matches: impl Fn(&Request) -> bool) -> Vec<Ticket> {
        let mut removed = Vec::new();
        for queue in self.queues.values_mut() {
            queue.retain(|request| {
                let matched = matches(request);
                removed.extend(matched.then_some(request.ticket));
                !matched
            });
        }
        self.len -= removed.len();
        self.queues.retain(|_, queue| !queue.is_empty());
        self.rotation.retain(|caller| self.queues.contains_key(caller));
        removed
    }

    pub(crate) fn remove_expired(&mut self, now: Monotonic) -> Vec<Ticket> {
        self.remove(|request| request.deadline <= now)
    }
}
