//! Outlier detection: temporary ejection of failing VMs from load balancing.
//!
//! A VM is ejected after consecutive failures. Only a bounded fraction of a pool is ejected at one
//! time: when many VMs fail together the cause is elsewhere, and ejecting all of them would make it
//! worse. A failure also counts as a request in flight, so that a VM that fails quickly does not
//! attract requests.

use std::time::Duration;

use crosspath_state::time::Monotonic;

/// Number of consecutive failures after which a VM is ejected.
pub const EJECTION_THRESHOLD: u32 = 3;

/// A VM is ejected for failures only while at most one VM in this many is ejected, itself included.
pub const MAX_EJECTED_DIVISOR: usize = 3;

const REFUSAL_EJECTION: Duration = Duration::from_secs(2);
const BASE_EJECTION: Duration = Duration::from_secs(1);
const MAX_DOUBLINGS: u32 = 5;
const MAX_LOAD_PENALTY: u32 = 8;

/// Health of one VM, from the results of this daemon's requests.
#[derive(Debug, Clone, Copy, Default)]
pub struct Health {
    consecutive_failures: u32,
    ejections: u32,
    ejected_until: Option<Monotonic>,
}

impl Health {
    /// Records a response; it clears the failures and ends an ejection.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records a failure. `may_eject` is false when too many VMs of the pool are ejected already.
    /// Each further ejection lasts twice as long, up to a limit.
    pub fn record_failure(&mut self, may_eject: bool, now: Monotonic) {
        self.consecutive_failures += 1;
        if self.consecutive_failures < EJECTION_THRESHOLD || !may_eject || self.is_ejected(now) {
            return;
        }
        let doublings = self.ejections.min(MAX_DOUBLINGS);
        self.ejected_until = Some(now.after(BASE_EJECTION * 2_u32.pow(doublings)));
        self.ejections += 1;
    }

    /// Records that the VM itself reported that it accepts no requests. It is leaving, so it is
    /// ejected however few VMs the pool has left.
    pub fn record_refusal(&mut self, now: Monotonic) {
        self.ejected_until = Some(now.after(REFUSAL_EJECTION));
    }

    /// Whether the VM is ejected at `now`.
    #[must_use]
    pub fn is_ejected(&self, now: Monotonic) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Number of requests in flight as which the VM's consecutive failures count.
    #[must_use]
    pub fn load_penalty(&self) -> u32 {
        self.consecutive_failures.min(MAX_LOAD_PENALTY)
    }
}
