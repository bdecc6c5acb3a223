//! VMs that fail what others answer, taken out of the choice for a while.
//!
//! The evidence is failures in a row. A bounded share of a pool is taken out at one time: when many
//! fail together the cause is elsewhere, and choosing among none would make it worse. A failure
//! also weighs like a request in flight, so that failing quickly does not attract work.

use std::time::Duration;

use crosspath_state::time::Monotonic;

/// Failures in a row that take a VM out.
pub const FAILURES: u32 = 3;

/// One VM out of this many may be out at one time, at least.
pub const MAX_OUT_DIVISOR: usize = 3;

const REFUSED_OUT: Duration = Duration::from_secs(2);
const FIRST_OUT: Duration = Duration::from_secs(1);
const MAX_DOUBLINGS: u32 = 5;
const MAX_WEIGHT: u32 = 8;

/// What is known of one VM.
#[derive(Debug, Clone, Copy, Default)]
pub struct Health {
    in_a_row: u32,
    times_out: u32,
    out_until: Option<Monotonic>,
}

impl Health {
    /// Notes an answer.
    pub fn succeeded(&mut self) {
        *self = Self::default();
    }

    /// Notes a failure; `may_go_out` says whether the pool can spare the VM.
    pub fn failed(&mut self, may_go_out: bool, now: Monotonic) {
        self.in_a_row += 1;
        if self.in_a_row < FAILURES || !may_go_out || self.is_out(now) {
            return;
        }
        let doublings = self.times_out.min(MAX_DOUBLINGS);
        self.out_until = Some(now.after(FIRST_OUT * 2_u32.pow(doublings)));
        self.times_out += 1;
    }

    /// Notes that the VM itself says it takes no requests: it is leaving, whatever the pool has left.
    pub fn refused(&mut self, now: Monotonic) {
        self.out_until = Some(now.after(REFUSED_OUT));
    }

    /// Whether the VM is out at `now`.
    #[must_use]
    pub fn is_out(&self, now: Monotonic) -> bool {
        self.out_until.is_some_and(|until| now < until)
    }

    /// Requests in flight that its failures count for.
    #[must_use]
    pub fn weight(&self) -> u32 {
        self.in_a_row.min(MAX_WEIGHT)
    }
}
