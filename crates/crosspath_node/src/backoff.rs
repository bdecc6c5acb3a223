//! Exponential backoff with jitter for calls that fail.
//!
//! An outage of the store hits all daemons at the same moment. With a fixed pause their retries
//! would coincide, and their number alone could make the store go on refusing calls when it is
//! back. So pauses double up to a maximum and are shortened at random. Calls that many daemons make,
//! or that can wait, have a higher maximum than calls that only a shard's owner makes.

use std::time::Duration;

/// Pauses after consecutive failures of one call.
#[derive(Debug, Clone, Copy)]
pub struct Backoff {
    policy: Policy,
    next: Duration,
}

/// Range of the pauses, before jitter is taken off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// Pause after the first failure.
    pub initial: Duration,
    /// Upper bound of all pauses.
    pub max: Duration,
}

/// Calls that only members of the group make and that callers wait for: claims, owners' appends,
/// and reads of shards.
pub const OWNER_CALLS: Policy =
    Policy { initial: Duration::from_millis(100), max: Duration::from_millis(200) };
/// Reads of the configuration and of evacuations, which must be in force within a bounded time.
pub const CONFIG_READS: Policy =
    Policy { initial: Duration::from_millis(150), max: Duration::from_millis(600) };
/// Reads of lists that other daemons know too: the holders of shards, workers, and the map.
pub const LIST_READS: Policy =
    Policy { initial: Duration::from_millis(150), max: Duration::from_millis(900) };

/// Largest fraction of a pause that jitter takes off.
const JITTER: f64 = 0.5;

impl Backoff {
    /// Creates a backoff whose next pause is the initial one.
    #[must_use]
    pub fn new(policy: Policy) -> Self {
        Self { policy, next: policy.initial }
    }

    /// Starts again from the initial pause, after a call that succeeded.
    pub fn reset(&mut self) {
        self.next = self.policy.initial;
    }

    /// Returns the pause after a failed call. `random`, from 0 to 1, determines the jitter.
    #[must_use]
    pub fn pause(&mut self, random: f64) -> Duration {
        let pause = self.next.mul_f64(1.0 - JITTER * random);
        self.next = (self.next * 2).min(self.policy.max);
        pause
    }
}
