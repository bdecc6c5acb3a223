//! VMs that fail what others answer, taken out of the choice for a while.
//!
//! The evidence is failures in a row. A bounded share of a pool is taken out at one time: when many
//! fail together the cause is elsewhere, and choosing among none would make it worse. A failure
//! also weighs like a request in flight, so that failing quickly does not attract work.

use std::time::Duration;

use crosspath_state::time::Monotonic;

/// Failures in a row that take a VM out.
pub const EJECTION_THRESHOLD: u32 = 3;

/// One VM out of this many may be out at one time, at least.
pub const MAX_EJECTED_DIVISOR: usize = 3;

const REFUSAL_EJECTION: Duration = Duration::from_secs(2);
const BASE_EJECTION: Duration = Duration::from_secs(1);
const MAX_DOUBLINGS: u32 = 5;
const MAX_LOAD_PENALTY: u32 = 8;

/// What is known of one VM.
#[derive(Debug, Clone, Copy, Default)]
pub struct Health {
    consecutive_failures: u32,
    ejections: u32,
    ejected_until: Option<Monotonic>,
}

impl Health {
    /// Notes an answer.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Notes a failure; `may_eject` says whether the pool can spare the VM.
    pub fn record_failure(&mut self, may_eject: bool, now: Monotonic) {
        self.consecutive_failures += 1;
        if self.consecutive_failures < EJECTION_THRESHOLD || !may_eject || self.is_ejected(now) {
            return;
        }
        let doublings = self.ejections.min(MAX_DOUBLINGS);
        self.ejected_until = Some(now.after(BASE_EJECTION * 2_u32.pow(doublings)));
        self.ejections += 1;
    }

    /// Notes that the VM itself says it takes no requests: it is leaving, whatever the pool has left.
    pub fn record_refusal(&mut self, now: Monotonic) {
        self.ejected_until = Some(now.after(REFUSAL_EJECTION));
    }

    /// Whether the VM is out at `now`.
    #[must_use]
    pub fn is_ejected(&self, now: Monotonic) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Requests in flight that its failures count for.
    #[must_use]
    pub fn load_penalty(&self) -> u32 {
        self.consecutive_failures.min(MAX_LOAD_PENALTY)
    }
}
