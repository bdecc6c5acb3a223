//! Pauses between tries of a call that fails.
//!
//! All daemons meet an outage of the store at one moment. With one fixed pause their tries come together, and by
//! their number alone could keep the store refusing when it is back. So pauses double up to a bound and are
//! spread by chance, and a call that many daemons make, or that can wait, has a longer bound than one that
//! only a shard's owner makes.

use std::time::Duration;

/// Pauses after failures in a row.
#[derive(Debug, Clone, Copy)]
pub struct Backoff {
    policy: Policy,
    next: Duration,
}

/// The first pause and the longest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// After the first failure, at most.
    pub initial: Duration,
    /// After any, at most.
    pub max: Duration,
}

/// Of what the group's members alone call, and callers wait for: claims, owners' appends, records of shards.
pub const OWNER_CALLS: Policy =
    Policy { initial: Duration::from_millis(100), max: Duration::from_millis(200) };
/// Of the configuration and evacuations, which have a bound in which they must be in force.
pub const CONFIG_READS: Policy =
    Policy { initial: Duration::from_millis(150), max: Duration::from_millis(600) };
/// Of lists that another daemon knows too: who owns what, workers, the map.
pub const LIST_READS: Policy =
    Policy { initial: Duration::from_millis(150), max: Duration::from_millis(900) };

/// Share of a pause that chance may take off.
const JITTER: f64 = 0.5;

impl Backoff {
    /// No call has failed yet.
    #[must_use]
    pub fn new(policy: Policy) -> Self {
        Self { policy, next: policy.initial }
    }

    /// A call has succeeded.
    pub fn reset(&mut self) {
        self.next = self.policy.initial;
    }

    /// The pause after a call that failed; `random` is from 0 to 1.
    #[must_use]
    pub fn pause(&mut self, random: f64) -> Duration {
        let pause = self.next.mul_f64(1.0 - JITTER * random);
        self.next = (self.next * 2).min(self.policy.max);
        pause
    }
}
