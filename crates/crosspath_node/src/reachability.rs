//! Tracks whether the store answers this daemon.
//!
//! An append to a silent store has an unknown outcome, which does not allow the caller to try
//! again. So once the silence is noticed, no further appends are sent whose outcome could be
//! unknown.

use std::time::Duration;

/// Time without any answer, while a call is outstanding, after which the store counts as silent. A
/// slow store takes some 420 ms to answer.
const SILENCE_THRESHOLD: Duration = Duration::from_millis(800);

/// Time over which appends were refused on all routes, without any answer in between, after which
/// the store counts as down. The restart of an owner or a queue of appends takes less.
const REFUSAL_THRESHOLD: Duration = Duration::from_millis(300);

/// History of calls to the store and its answers, as far as it shows whether the store is
/// reachable.
#[derive(Debug, Default, Clone, Copy)]
pub struct Reachability {
    /// Time of the first append refused on all routes since the last answer or stored append.
    refused_since: Option<Duration>,
    /// Time at which the first call since the last answer was sent.
    unanswered_since: Option<Duration>,
    /// Time of the store's last answer.
    answered_at: Duration,
}

impl Reachability {
    /// Records that a call was sent which a healthy store answers at once.
    pub fn call_sent(&mut self, now: Duration) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Records that the store answered a call.
    pub fn call_answered(&mut self, now: Duration) {
        self.unanswered_since = None;
        self.refused_since = None;
        self.answered_at = now;
    }

    /// Records that the store refused an append, both directly and through other daemons.
    pub fn append_refused(&mut self, now: Duration) {
        self.refused_since.get_or_insert(now);
    }

    /// Records that an append was stored, on any route.
    pub fn append_stored(&mut self) {
        self.refused_since = None;
    }

    /// For how long the store has been down, refusing appends on all routes; `None` while it is not
    /// known to be down.
    #[must_use]
    pub fn down_for(&self, now: Duration) -> Option<Duration> {
        let refused = now.saturating_sub(self.refused_since?);
        (refused >= REFUSAL_THRESHOLD).then_some(refused)
    }

    /// Time of the store's last answer; zero if it has never answered.
    #[must_use]
    pub fn last_answer(&self) -> Duration {
        self.answered_at
    }

    /// Whether the store has left calls of this daemon unanswered for too long.
    #[must_use]
    pub fn is_silent(&self, now: Duration) -> bool {
        self.unanswered_since.is_some_and(|since| now >= since + SILENCE_THRESHOLD)
    }
}
