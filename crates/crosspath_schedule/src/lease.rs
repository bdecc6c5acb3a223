//! How long what an owner ordered may go on without it.

use std::time::Duration;

/// Lengths of the leases that an owner gives, and what bounds their end.
#[derive(Debug, Clone, Copy)]
pub struct Terms {
    /// What a look extends everything on a worker to. Longer than a takeover takes (about 2 s), so
    /// that none lapses meanwhile; short enough that tasks on a lost worker start elsewhere soon.
    pub extension: Duration,
    /// What a start asks for by itself; looks extend it. A start that is carried out later than
    /// this is refused by the worker, so a start without an answer is ruled out this soon.
    pub initial: Duration,
    /// Share by which a worker's clock may run slow.
    pub clock_slack: f64,
}

impl Terms {
    /// When a lease of length `length` that was ordered at `sent` has surely ended.
    #[must_use]
    pub fn latest_expiry(&self, sent: Duration, length: Duration) -> Duration {
        sent + length.mul_f64(1.0 + self.clock_slack)
    }
}

/// A worker's clock as last heard.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    /// What it showed, in ms.
    pub reading_ms: u64,
    /// When that was heard.
    pub received: Duration,
}

impl Clock {
    /// Deadline on the worker's clock that gives about `length` from `now`.
    #[must_use]
    pub fn deadline_ms(&self, now: Duration, length: Duration) -> u64 {
        let since = now.saturating_sub(self.received);
        let ahead = u64::try_from((since + length).as_millis()).unwrap_or(u64::MAX);
        self.reading_ms.saturating_add(ahead)
    }
}
