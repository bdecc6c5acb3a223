//! Leases on workers: how long runs may continue without their shard owner.

use std::time::Duration;

use crate::as_ms;

/// Lengths of the leases that a shard owner grants, and the bound on clock drift.
#[derive(Debug, Clone, Copy)]
pub struct Terms {
    /// Length to which a poll extends all leases on a worker. Longer than a takeover (about 2 s),
    /// so that no lease expires during one, and short enough for tasks of a lost worker to be
    /// restarted elsewhere soon.
    pub extension: Duration,
    /// Lease length that a start requests; polls extend it. A worker refuses to carry out a start
    /// after this time, so a start without an answer can be ruled out once it has passed.
    pub initial: Duration,
    /// Maximum fraction by which a worker's clock may run slow.
    pub clock_slack: f64,
}

impl Terms {
    /// Latest time at which a lease of `length` that was requested at `sent` expires.
    #[must_use]
    pub fn latest_expiry(&self, sent: Duration, length: Duration) -> Duration {
        sent + length.mul_f64(1.0 + self.clock_slack)
    }
}

/// Last reading of a worker's clock.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    /// Time on the worker's clock, in ms.
    pub reading_ms: u64,
    /// When the reading was received, on the local clock.
    pub received: Duration,
}

impl Clock {
    /// Deadline on the worker's clock, in ms, that lies about `length` after `now`.
    #[must_use]
    pub fn deadline_ms(&self, now: Duration, length: Duration) -> u64 {
        let since = now.saturating_sub(self.received);
        let ahead = as_ms(since + length);
        self.reading_ms.saturating_add(ahead)
    }
}
