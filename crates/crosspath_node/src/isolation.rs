//! Decides when an owner that is cut off from everybody but the store gives its shards back.
//!
//! Such a daemon goes on joining the group, so the group leaves it its shards, in which nothing can
//! run. It leaves the group once it has reached no peer and no worker for some time, directly or by
//! a relay, and joins again once it reaches peers. If the network is down for all, every daemon
//! leaves; then nobody owns shards, and each joins again after a minimum time.

use std::time::Duration;

/// Time without an answer of any peer or worker after which peers are asked.
const QUIET: Duration = Duration::from_millis(1_000);
/// Time for which they must be silent in addition to the TTL of members. The group removes owners
/// that have ended within the TTL, and informs the others at their next joins.
const TTL_MARGIN: Duration = Duration::from_millis(400);
/// Number of other owners from which on one may take the shards over. With a single one, that one
/// may be the one that is cut off.
const MIN_OTHERS: usize = 2;
/// Minimum time out of the group, doubled with each recent departure.
const MIN_AWAY: Duration = Duration::from_secs(3);
/// Maximum number of doublings of that time.
const MAX_DOUBLINGS: u32 = 3;
/// Time in the group after which one departure is no longer counted as recent.
const AWAY_DECAY: Duration = Duration::from_secs(30);

/// What the daemon observes of the others.
#[derive(Debug, Clone, Copy)]
pub struct Observation {
    /// Time of the last answer of a peer or a worker, by any path.
    pub answered_at: Duration,
    /// Whether the last calls to all other owners had no answer.
    pub peers_silent: bool,
    /// Number of other owners.
    pub others: usize,
    /// Generation of the group, which changes with its members.
    pub generation: u64,
    /// Whether this daemon owns shards, as a member that the store confirms.
    pub owns_shards: bool,
}

/// Change that an observation calls for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Give the shards back and leave the group.
    Leave,
    /// Join the group again.
    Rejoin,
}

/// Tracks whether this daemon is isolated.
#[derive(Debug)]
pub struct Isolation {
    /// Time for which members that the store counts as alive must be silent.
    min_silence: Duration,
    /// Since when nobody has answered, and in which generation of the group.
    silent: Option<(Duration, u64)>,
    /// Since when the daemon is out of the group.
    away_since: Option<Duration>,
    rejoined_at: Duration,
    /// Number of recent departures.
    departures: u32,
}

impl Isolation {
    /// Creates the state of a daemon in a group that removes silent members after `ttl`.
    #[must_use]
    pub fn new(ttl: Duration) -> Self {
        Self {
            min_silence: ttl + TTL_MARGIN,
            silent: None,
            away_since: None,
            rejoined_at: Duration::ZERO,
            departures: 0,
        }
    }

    /// Whether the daemon stays out of the group.
    #[must_use]
    pub fn is_away(&self) -> bool {
        self.away_since.is_some()
    }

    /// Whether the other owners should be asked, to tell isolation from a lack of calls.
    #[must_use]
    pub fn needs_survey(&self, now: Duration, seen: &Observation) -> bool {
        let is_quiet = now >= seen.answered_at + QUIET;
        self.is_away() || (is_quiet && seen.owns_shards && seen.others >= MIN_OTHERS)
    }

    /// Updates the state; returns the step to take, if any. `seen.peers_silent` must come from a
    /// survey that was sent after the last answer.
    pub fn observe(&mut self, now: Duration, seen: &Observation) -> Option<Step> {
        let Some(since) = self.away_since else {
            return self.is_isolated(now, seen).then(|| self.leave(now));
        };
        let doublings = (self.departures - 1).min(MAX_DOUBLINGS);
        // Without other owners nobody has taken the shards over.
        let may_join = seen.others == 0 || !seen.peers_silent;
        if now < since + MIN_AWAY * 2_u32.pow(doublings) || !may_join {
            return None;
        }
        self.away_since = None;
        self.rejoined_at = now;
        Some(Step::Rejoin)
    }

    /// Whether nobody has answered for long enough, although the group has kept its members.
    fn is_isolated(&mut self, now: Duration, seen: &Observation) -> bool {
        let is_silent = seen.peers_silent
            && seen.owns_shards
            && seen.others >= MIN_OTHERS
            && now >= seen.answered_at + QUIET;
        if !is_silent {
            self.silent = None;
            return false;
        }
        let (since, generation) = *self.silent.get_or_insert((now, seen.generation));
        if generation != seen.generation {
            self.silent = Some((now, seen.generation));
            return false;
        }
        now >= since + self.min_silence
    }

    fn leave(&mut self, now: Duration) -> Step {
        let settled = now.saturating_sub(self.rejoined_at).as_secs() / AWAY_DECAY.as_secs();
        let settled = u32::try_from(settled).unwrap_or(u32::MAX);
        self.departures = self.departures.saturating_sub(settled) + 1;
        self.away_since = Some(now);
        self.silent = None;
        Step::Leave
    }
}
