//! Whether the store is away for all daemons, or just for this one.
//!
//! Another daemon can own this one's shards only once the store has counted this one out and has
//! then answered that other. While the store answers nobody, this daemon may go on acting.

use std::time::Duration;

/// Silence of the store towards a daemon after which that daemon's word counts. Each calls it about
/// every 150 ms, and a slow store takes some 250 ms.
const MIN_SILENCE: Duration = Duration::from_millis(600);

/// What the other daemons say of the store.
#[derive(Debug, Clone)]
pub struct Survey {
    /// When they were asked.
    pub asked_at: Duration,
    /// Until when the group surely counted this daemon in.
    pub member_until: Duration,
    /// Other daemons last known.
    pub others: usize,
    /// How long ago the store answered each that replied.
    pub answered_ago: Vec<Duration>,
}

impl Survey {
    /// Whether the store surely has dealt nobody this daemon's shards: it has been silent towards
    /// a majority, this daemon included, since it would have counted this daemon out, and no daemon
    /// says the contrary.
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
