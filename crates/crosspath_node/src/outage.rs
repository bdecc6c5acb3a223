//! Detects whether the store is unavailable to all daemons or only to this one.
//!
//! Another daemon can become owner of this daemon's shards only after the store has expired this
//! daemon's membership and has then answered that other daemon. While the store answers no daemon,
//! this one may go on acting as owner.

use std::time::Duration;

/// Minimum time without an answer after which a daemon counts as cut off from the store. Each
/// daemon calls the store about every 150 ms, and a slow store takes some 250 ms to answer.
const MIN_SILENCE: Duration = Duration::from_millis(600);

/// Replies of the other daemons on when the store last answered them.
#[derive(Debug, Clone)]
pub struct Survey {
    /// Time at which the other daemons were asked.
    pub asked_at: Duration,
    /// Time until which this daemon was certainly a member of the group.
    pub member_until: Duration,
    /// Number of other daemons that were last known.
    pub others: usize,
    /// Time since the store's last answer to each daemon that replied.
    pub answered_ago: Vec<Duration>,
}

impl Survey {
    /// Whether the store has certainly not assigned this daemon's shards to another one: a majority
    /// of the daemons, this one included, has had no answer since this daemon's membership may have
    /// expired, and no reply contradicts that.
    #[must_use]
    pub fn shows_outage(&self) -> bool {
        let silent = |ago: &Duration| {
            *ago >= MIN_SILENCE && self.asked_at.saturating_sub(*ago) <= self.member_until
        };
        let respondents = 1 + self.answered_ago.len();
        self.asked_at >= self.member_until
            && respondents * 2 > self.others + 1
            && self.answered_ago.iter().all(silent)
    }
}
