//! Decides whether this daemon is a candidate for ownership of shards.
//!
//! Every daemon serves callers, and any daemon can own shards. Where entry VMs differ in size,
//! owners should run on VMs that can carry a shard's peak load. So daemons on small VMs stay out of
//! the group of owners while enough daemons on large VMs are in it, and join when too few are left.

use std::time::Duration;

use crate::member::Member;

/// Processor time, in thousandths of a core, that carries the peak load of a shard of some 200 VMs.
const LARGE_MILLICORES: u32 = 200;
/// Number of owners on large VMs below which small VMs join. With fewer, a single loss leaves none.
const MIN_LARGE_OWNERS: usize = 2;
/// Number of owners on large VMs from which small VMs are not needed. Higher than
/// [`MIN_LARGE_OWNERS`], so that the loss and return of one VM does not move shards back and forth.
const SUFFICIENT_LARGE_OWNERS: usize = 4;
/// Time for which there must be too few large owners before a small VM joins. Longer than the group
/// takes to expire a silent member, so that the large VMs take their shards again after a restart
/// of all daemons.
const JOIN_DELAY: Duration = Duration::from_millis(1_500);
/// Time for which there must be enough large owners before a small VM withdraws.
const WITHDRAWAL_DELAY: Duration = Duration::from_secs(4);

/// Tracks whether this daemon is a candidate for ownership.
#[derive(Debug)]
pub struct Candidacy {
    is_large: bool,
    is_candidate: bool,
    /// Since when the observed owners have called for the opposite of `is_candidate`, without a
    /// break.
    change_due_since: Option<Duration>,
}

impl Candidacy {
    /// Creates the state of a daemon on a VM of `millicores` thousandths of a core. Only a large VM
    /// is a candidate from the start.
    #[must_use]
    pub fn new(millicores: u32) -> Self {
        let is_large = millicores >= LARGE_MILLICORES;
        Self { is_large, is_candidate: is_large, change_due_since: None }
    }

    /// Whether this daemon should be a member of the group of owners now.
    #[must_use]
    pub fn is_candidate(&self) -> bool {
        self.is_candidate
    }

    /// Updates the candidacy from the owners of shards known at `now`; returns whether it changed.
    pub fn observe(&mut self, now: Duration, owners: &[Member]) -> bool {
        if self.is_large {
            return false;
        }
        let large = owners.iter().filter(|owner| owner.millicores >= LARGE_MILLICORES).count();
        let (should_change, delay) = if self.is_candidate {
            (large >= SUFFICIENT_LARGE_OWNERS, WITHDRAWAL_DELAY)
        } else if large == 0 && !owners.is_empty() {
            // Only small VMs own shards, so this is a deployment of small VMs: join at once.
            (true, Duration::ZERO)
        } else {
            (large < MIN_LARGE_OWNERS, JOIN_DELAY)
        };
        if !should_change {
            self.change_due_since = None;
            return false;
        }
        let since = *self.change_due_since.get_or_insert(now);
        if now < since + delay {
            return false;
        }
        self.is_candidate = !self.is_candidate;
        self.change_due_since = None;
        log::info!(
            "event=candidacy stands={} owners={} large={large}",
            self.is_candidate,
            owners.len()
        );
        true
    }
}
