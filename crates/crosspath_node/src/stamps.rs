//! Stamps in the reports of shards' owners, by the time at which they arrived.
//!
//! An owner can tell how old a list of VMs is, at most, by the last of its own stamps that had
//! arrived when the list was requested. The clocks of two daemons are never compared.

use std::collections::VecDeque;
use std::time::Duration;

use crosspath_schedule::domains::Stamp;

/// Number of stamps that are kept; reports arrive each 0.1 s, and a list takes up to seconds.
const MAX_STAMPS: usize = 64;

/// Stamps of one shard's owners, in the order in which they arrived.
#[derive(Debug, Default)]
pub struct Stamps(VecDeque<(Duration, Stamp)>);

impl Stamps {
    /// Adds the stamp of a report that arrived at `now`.
    pub fn add(&mut self, now: Duration, stamp: Stamp) {
        if self.0.len() == MAX_STAMPS {
            self.0.pop_front();
        }
        self.0.push_back((now, stamp));
    }

    /// The last stamp that had arrived when a list was requested.
    #[must_use]
    pub fn last_before(&self, requested_at: Duration) -> Option<Stamp> {
        let arrived = self.0.iter().rev().find(|(arrived, _)| *arrived <= requested_at);
        arrived.map(|(_, stamp)| *stamp)
    }
}
