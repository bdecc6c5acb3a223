//! Whether the store answers this daemon.
//!
//! A store that is silent leaves each append in doubt, and the caller with an answer that forbids it
//! to try again. Once the silence is noticed, nothing more is sent that could be in doubt.

use std::time::Duration;

/// A call without an answer for so long, and no other answer meanwhile, shows a silent store: one that
/// is slow takes some 420 ms.
const SILENCE: Duration = Duration::from_millis(800);

/// Calls and answers of the store.
#[derive(Debug, Default, Clone, Copy)]
pub struct Contact {
    /// When the oldest call was sent of those since the last answer.
    waiting_since: Option<Duration>,
    /// When the store last answered.
    answered: Duration,
}

impl Contact {
    /// A call was sent that the store answers at once when it is well.
    pub fn asked(&mut self, now: Duration) {
        self.waiting_since.get_or_insert(now);
    }

    /// The store has answered some call.
    pub fn answered(&mut self, now: Duration) {
        self.waiting_since = None;
        self.answered = now;
    }

    /// When the store last answered.
    #[must_use]
    pub fn last_answer(&self) -> Duration {
        self.answered
    }

    /// Whether the store keeps silent towards this daemon.
    #[must_use]
    pub fn is_silent(&self, now: Duration) -> bool {
        self.waiting_since.is_some_and(|since| now >= since + SILENCE)
    }
}
