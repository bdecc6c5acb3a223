//! Whether the store answers this daemon.
//!
//! A store that is silent leaves each append in doubt, and the caller with an answer that forbids it
//! to try again. Once the silence is noticed, nothing more is sent that could be in doubt.

use std::time::Duration;

/// A call without an answer for so long, and no other answer meanwhile, shows a silent store: one that
/// is slow takes some 420 ms.
const SILENCE_THRESHOLD: Duration = Duration::from_millis(800);

/// Appends that the store has refused by all ways for so long, with no answer meanwhile, show a store that
/// is down: a restart of an owner or a queue of appends takes less.
const REFUSAL_THRESHOLD: Duration = Duration::from_millis(300);

/// Calls and answers of the store.
#[derive(Debug, Default, Clone, Copy)]
pub struct Reachability {
    /// Since when appends were refused by all ways.
    refused_since: Option<Duration>,
    /// When the oldest call was sent of those since the last answer.
    unanswered_since: Option<Duration>,
    /// When the store last answered.
    answered_at: Duration,
}

impl Reachability {
    /// A call was sent that the store answers at once when it is well.
    pub fn call_sent(&mut self, now: Duration) {
        self.unanswered_since.get_or_insert(now);
    }

    /// The store has answered some call.
    pub fn call_answered(&mut self, now: Duration) {
        self.unanswered_since = None;
        self.refused_since = None;
        self.answered_at = now;
    }

    /// The store has refused an append, here and through other daemons.
    pub fn append_refused(&mut self, now: Duration) {
        self.refused_since.get_or_insert(now);
    }

    /// An append was kept, by whatever way.
    pub fn append_stored(&mut self) {
        self.refused_since = None;
    }

    /// How long the store has surely been down: it refuses what is sent, by whatever way.
    #[must_use]
    pub fn down_for(&self, now: Duration) -> Option<Duration> {
        let refused = now.saturating_sub(self.refused_since?);
        (refused >= REFUSAL_THRESHOLD).then_some(refused)
    }

    /// When the store last answered.
    #[must_use]
    pub fn last_answer(&self) -> Duration {
        self.answered_at
    }

    /// Whether the store keeps silent towards this daemon.
    #[must_use]
    pub fn is_silent(&self, now: Duration) -> bool {
        self.unanswered_since.is_some_and(|since| now >= since + SILENCE_THRESHOLD)
    }
}
