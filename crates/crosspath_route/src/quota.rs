//! Limit on the requests that each caller has in flight at this daemon.

use std::collections::BTreeMap;

use crosspath_state::name::CallerName;

/// Number of requests in flight by caller.
#[derive(Debug, Default)]
pub struct Quota {
    in_flight: BTreeMap<CallerName, u32>,
}

impl Quota {
    /// Counts a new request and returns true, unless the caller has `max` requests in flight
    /// already. A `max` of 0 means no limit.
    #[must_use]
    pub fn try_acquire(&mut self, caller: &CallerName, max: u32) -> bool {
        let count = self.in_flight.entry(caller.clone()).or_default();
        let free = max == 0 || *count < max;
        *count += u32::from(free);
        free
    }

    /// Counts the end of a request.
    pub fn release(&mut self, caller: &CallerName) {
        if let Some(count) = self.in_flight.get_mut(caller) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.in_flight.remove(caller);
            }
        }
    }
}
