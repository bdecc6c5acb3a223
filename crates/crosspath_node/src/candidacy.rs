//! Which daemons stand for ownership of shards.
//!
//! Every daemon serves callers, and any daemon can own. Where entry VMs are of unlike sizes, owners are
//! wanted on those that can carry a shard's peak, so daemons on small VMs stay out of the group while
//! enough large ones are in it, and step in when too few are left.

use std::time::Duration;

use crate::member::Member;

/// Processor time of a VM, in thousandths of a core, that carries the peaks of a shard of some 200 VMs.
const LARGE_MILLICORES: u32 = 200;
/// Owners on large VMs below which small ones step in: with fewer, one loss leaves none.
const MIN_LARGE_OWNERS: usize = 2;
/// Owners on large VMs from which small ones are not needed; above [`MIN_LARGE_OWNERS`], so that the loss and
/// return of one VM does not move shards back and forth.
const SUFFICIENT_LARGE_OWNERS: usize = 4;
/// For which too few owners must be seen before a small one steps in: longer than the group takes
/// to forget a silent member, so that a restart of all is left to the large ones.
const STEP_IN_DELAY: Duration = Duration::from_millis(1_500);
/// For which enough owners must be seen before a small one steps back.
const STEP_BACK_DELAY: Duration = Duration::from_secs(4);

/// Whether this daemon stands for ownership.
#[derive(Debug)]
pub struct Candidacy {
    is_large: bool,
    is_candidate: bool,
    /// Since when what is seen has spoken against the present state.
    change_due_since: Option<Duration>,
}

impl Candidacy {
    /// A daemon on a VM of `millicores` thousandths of a core, that has seen nobody yet.
    #[must_use]
    pub fn new(millicores: u32) -> Self {
        let is_large = millicores >= LARGE_MILLICORES;
        Self { is_large, is_candidate: is_large, change_due_since: None }
    }

    /// Whether it stands now.
    #[must_use]
    pub fn is_candidate(&self) -> bool {
        self.is_candidate
    }

    /// Takes in who owns shards at `now`; whether it has changed its mind.
    pub fn observe(&mut self, now: Duration, owners: &[Member]) -> bool {
        if self.is_large {
            return false;
        }
        let large = owners.iter().filter(|owner| owner.millicores >= LARGE_MILLICORES).count();
        let (should_change, delay) = if self.is_candidate {
            (large >= SUFFICIENT_LARGE_OWNERS, STEP_BACK_DELAY)
        } else if large == 0 && !owners.is_empty() {
            // Small ones own already: this is a deployment of small VMs.
            (true, Duration::ZERO)
        } else {
            (large < MIN_LARGE_OWNERS, STEP_IN_DELAY)
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
