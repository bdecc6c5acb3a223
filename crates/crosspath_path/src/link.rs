//! State of the link from this daemon's data centre to another one.
//!
//! The evidence is passive: the results of calls that are made anyway. An address that does not
//! answer may be down itself, so it only raises suspicion. A link counts as broken once a relay has
//! reached an address that did not answer directly. If relays reach nothing in the data centre
//! either, it is lost as a whole, and relays are not used.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Number of addresses unreached by relays that show a fault of more than one VM.
const MIN_UNREACHED_ADDRESSES: usize = 2;
/// Time without any answer from a data centre, directly or by a relay, after which it is lost.
/// Workers that are polled answer once a second.
const LOSS_DELAY: Duration = Duration::from_millis(1_200);
/// Maximum number of addresses that are remembered for a link.
const MAX_ADDRESSES: usize = 16;
/// Interval between direct attempts while the link is broken, so that its recovery is noticed
/// within a second.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between relayed attempts while the data centre is lost.
const LOST_PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum time for which a link stays broken, doubled with each recent break.
const MIN_HOLD_DOWN: Duration = Duration::from_millis(400);
/// Maximum number of doublings; a link that flaps stays broken for 6.4 s at least.
const MAX_DOUBLINGS: u32 = 4;
/// Time without a break after which one break is no longer counted as recent.
const HOLD_DOWN_DECAY: Duration = Duration::from_secs(10);

/// State of a link.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// Direct calls are answered.
    #[default]
    Up,
    /// A direct call had no answer, and none has been answered since.
    Suspect,
    /// Calls take a relay.
    Broken,
    /// Relays do not reach the data centre either.
    Lost,
}

impl State {
    /// Name in log lines and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Up => "up",
            Self::Suspect => "suspect",
            Self::Broken => "broken",
            Self::Lost => "lost",
        }
    }
}

/// Paths that a call takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Plan {
    /// The call goes to its destination.
    Direct,
    /// The call goes to its destination, and after a short delay without an answer also by a relay.
    /// Only for idempotent calls.
    Hedged,
    /// The call goes by a relay.
    Relayed,
    /// The call goes to its destination and by a relay at once. Only for idempotent calls.
    Probed,
}

/// Link to one data centre.
#[derive(Debug, Default)]
pub struct Link {
    state: State,
    /// Time of the latest answer to a direct call.
    answered_at: Duration,
    /// Time of the latest answer by a relay.
    relay_answered_at: Duration,
    /// Addresses whose direct calls had no answer, all sent after `answered_at`.
    failed: BTreeSet<SocketAddr>,
    /// Addresses that relays did not reach since any address was reached.
    unreached: BTreeSet<SocketAddr>,
    /// Time of the last break.
    broken_at: Duration,
    /// Number of recent breaks.
    breaks: u32,
    /// Time from which the next probe may be sent.
    next_probe: Duration,
}

impl Link {
    /// Current state.
    #[must_use]
    pub fn state(&self) -> State {
        self.state
    }

    /// Decides which paths a call takes that is sent at `now`.
    pub fn plan(&mut self, now: Duration, idempotent: bool) -> Plan {
        let may_probe = idempotent && now >= self.next_probe;
        match self.state {
            State::Suspect if idempotent => Plan::Hedged,
            State::Up | State::Suspect => Plan::Direct,
            State::Broken | State::Lost if may_probe => {
                let is_lost = self.state == State::Lost;
                let interval = if is_lost { LOST_PROBE_INTERVAL } else { PROBE_INTERVAL };
                self.next_probe = now + interval;
                Plan::Probed
            }
            State::Broken => Plan::Relayed,
            State::Lost => Plan::Direct,
        }
    }

    /// Records that a direct call was answered which was sent at `sent`.
    pub fn direct_answered(&mut self, now: Duration, sent: Duration) {
        self.answered_at = self.answered_at.max(now);
        // An answer to a call from before the break shows nothing about the way there.
        let shows_recovery = sent >= self.broken_at && now >= self.broken_at + self.hold_down();
        if self.state == State::Suspect || shows_recovery {
            self.state = State::Up;
            self.failed.clear();
            self.unreached.clear();
        }
    }

    /// Records that a direct call to `address` had no answer.
    pub fn direct_failed(&mut self, sent: Duration, address: SocketAddr) {
        // If another call was answered meanwhile, the fault is one of the address.
        let is_isolated = sent <= self.answered_at;
        if is_isolated || matches!(self.state, State::Broken | State::Lost) {
            return;
        }
        self.state = State::Suspect;
        remember(&mut self.failed, address);
    }

    /// Records that a relay reached `address`.
    pub fn relay_answered(&mut self, now: Duration, address: SocketAddr) {
        self.relay_answered_at = now;
        self.unreached.clear();
        match self.state {
            State::Suspect if self.failed.contains(&address) => self.break_off(now),
            State::Lost => self.break_off(now),
            State::Up | State::Suspect | State::Broken => {}
        }
    }

    /// Records that a relay, which itself answered, did not reach `address`.
    pub fn relay_failed(&mut self, now: Duration, address: SocketAddr) {
        if !matches!(self.state, State::Suspect | State::Broken) {
            return;
        }
        remember(&mut self.unreached, address);
        let is_silent = now >= self.answered_at.max(self.relay_answered_at) + LOSS_DELAY;
        if is_silent && self.unreached.len() >= MIN_UNREACHED_ADDRESSES {
            self.state = State::Lost;
            self.next_probe = now + LOST_PROBE_INTERVAL;
        }
    }

    fn break_off(&mut self, now: Duration) {
        let since_last = now.saturating_sub(self.broken_at).as_secs();
        let decayed = u32::try_from(since_last / HOLD_DOWN_DECAY.as_secs()).unwrap_or(u32::MAX);
        self.breaks = self.breaks.saturating_sub(decayed) + 1;
        self.state = State::Broken;
        self.failed.clear();
        self.broken_at = now;
        self.next_probe = now + PROBE_INTERVAL;
    }

    /// Time after the last break for which the link counts as broken, whatever is answered.
    fn hold_down(&self) -> Duration {
        let doublings = self.breaks.saturating_sub(1).min(MAX_DOUBLINGS);
        MIN_HOLD_DOWN * 2_u32.pow(doublings)
    }
}

fn remember(addresses: &mut BTreeSet<SocketAddr>, address: SocketAddr) {
    if addresses.len() < MAX_ADDRESSES {
        addresses.insert(address);
    }
}
