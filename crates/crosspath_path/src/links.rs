//! Links to all other data centres, and the choice of relays.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash as _, Hasher as _};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::link::{Link, Plan, State};

/// Processor time, in thousandths of a core, from which a VM is preferred as a relay.
const LARGE_MILLICORES: u32 = 200;
/// Time for which a relay that did not answer, or refused for lack of capacity, is not used.
const RELAY_COOLDOWN: Duration = Duration::from_millis(1_000);
/// Maximum number of data centres whose links are tracked. Calls to others are direct.
const MAX_LINKS: usize = 64;

/// Daemon that can pass on calls.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Relay {
    /// Address for peers.
    pub address: SocketAddr,
    /// Data centre of the daemon's VM.
    pub data_centre: Arc<str>,
    /// Processor time of the daemon's VM, in thousandths of a core.
    pub millicores: u32,
}

/// Change of a link's state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transition {
    /// Data centre at the other end.
    pub data_centre: Arc<str>,
    /// State before.
    pub from: State,
    /// State after.
    pub to: State,
}

/// Links from this daemon to the other data centres.
#[derive(Debug)]
pub struct Links {
    own: Arc<str>,
    links: BTreeMap<Arc<str>, Link>,
    relays: Vec<Relay>,
    /// Relays that are not used before the given time.
    cooldowns: BTreeMap<SocketAddr, Duration>,
}

impl Links {
    /// Creates the links of a daemon in the data centre `own`, all of them up.
    #[must_use]
    pub fn new(own: Arc<str>) -> Self {
        Self { own, links: BTreeMap::new(), relays: Vec::new(), cooldowns: BTreeMap::new() }
    }

    /// Sets the daemons that can pass on calls. This daemon itself may be among them: it is never
    /// chosen, since it is in the data centre that the call comes from.
    pub fn set_relays(&mut self, relays: Vec<Relay>) {
        self.cooldowns.retain(|address, _| relays.iter().any(|relay| relay.address == *address));
        self.relays = relays;
    }

    /// Whether the link to the data centre is tracked.
    fn is_tracked(&self, data_centre: &str) -> bool {
        *data_centre != *self.own
            && (self.links.contains_key(data_centre) || self.links.len() < MAX_LINKS)
    }

    /// State of the link to a data centre.
    #[must_use]
    pub fn state(&self, data_centre: &str) -> State {
        self.links.get(data_centre).map_or(State::Up, Link::state)
    }

    /// Number of links in each state.
    #[must_use]
    pub fn count(&self, state: State) -> usize {
        self.links.values().filter(|link| link.state() == state).count()
    }

    /// Decides which paths a call to a data centre takes. Without a relay the call is direct.
    pub fn plan(&mut self, now: Duration, data_centre: &Arc<str>, idempotent: bool) -> Plan {
        if !self.is_tracked(data_centre) || !self.has_relay(now, data_centre) {
            return Plan::Direct;
        }
        self.link(data_centre).plan(now, idempotent)
    }

    fn has_relay(&self, now: Duration, data_centre: &str) -> bool {
        self.relays.iter().any(|relay| self.is_usable(now, data_centre, relay))
    }

    /// Whether a relay can pass on calls to a data centre.
    fn is_usable(&self, now: Duration, data_centre: &str, relay: &Relay) -> bool {
        let is_cut_off = matches!(self.state(&relay.data_centre), State::Broken | State::Lost);
        let is_cooling = self.cooldowns.get(&relay.address).is_some_and(|until| now < *until);
        relay.data_centre != self.own
            && *relay.data_centre != *data_centre
            && !is_cut_off
            && !is_cooling
    }

    /// Relays for a call to `destination` in a data centre, the preferred one first: daemons in
    /// neither data centre that are not cut off from this one, those on large VMs first, in an
    /// order that differs by destination (rendezvous hashing).
    #[must_use]
    pub fn relays(
        &self,
        now: Duration,
        data_centre: &str,
        destination: Option<SocketAddr>,
    ) -> Vec<SocketAddr> {
        let rank = |relay: &&Relay| {
            let mut hasher = DefaultHasher::new();
            (destination, relay.address).hash(&mut hasher);
            (relay.millicores < LARGE_MILLICORES, hasher.finish())
        };
        let mut usable: Vec<_> =
            self.relays.iter().filter(|relay| self.is_usable(now, data_centre, relay)).collect();
        usable.sort_unstable_by_key(rank);
        usable.into_iter().map(|relay| relay.address).collect()
    }

    /// Records the result of a direct call that was sent at `sent`.
    pub fn direct_ended(
        &mut self,
        now: Duration,
        sent: Duration,
        data_centre: &Arc<str>,
        address: SocketAddr,
        answered: bool,
    ) -> Option<Transition> {
        self.change(data_centre, |link| {
            if answered {
                link.direct_answered(now, sent);
            } else {
                link.direct_failed(sent, address);
            }
        })
    }

    /// Records whether a relay, which itself answered, reached `address`.
    pub fn relayed_ended(
        &mut self,
        now: Duration,
        data_centre: &Arc<str>,
        address: SocketAddr,
        answered: bool,
    ) -> Option<Transition> {
        self.change(data_centre, |link| {
            if answered {
                link.relay_answered(now, address);
            } else {
                link.relay_failed(now, address);
            }
        })
    }

    /// Records that a relay did not answer, or refused for lack of capacity.
    pub fn relay_unavailable(&mut self, now: Duration, relay: SocketAddr) {
        if self.relays.iter().any(|known| known.address == relay) {
            self.cooldowns.insert(relay, now + RELAY_COOLDOWN);
        }
    }

    fn change(
        &mut self,
        data_centre: &Arc<str>,
        change: impl FnOnce(&mut Link),
    ) -> Option<Transition> {
        if !self.is_tracked(data_centre) {
            return None;
        }
        let link = self.link(data_centre);
        let from = link.state();
        change(link);
        let to = link.state();
        (from != to).then(|| Transition { data_centre: Arc::clone(data_centre), from, to })
    }

    fn link(&mut self, data_centre: &Arc<str>) -> &mut Link {
        self.links.entry(Arc::clone(data_centre)).or_default()
    }
}
