//! Makes calls to peers and workers in other data centres directly or by one relay, as the state of
//! the link requires.
//!
//! An idempotent call can take both paths, and the first answer counts. Any other call takes one path,
//! and a second one only if it surely did not leave on the first.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crosspath_path::link::{Plan, State};
use crosspath_path::{Links, Relay, Transition};
use futures::future::{Either, select};
use tokio::sync::Notify;

use crate::clock;
use crate::member::Member;
pub use crate::metrics::PathMetrics;

/// Delay without an answer after which an idempotent call over a suspect link also takes a relay.
const HEDGING_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of relays that are tried for one call.
const MAX_RELAYS: usize = 2;
/// Minimum remaining time of a call for which a relay is tried. Two hops take some ms.
const MIN_RELAY_TIMEOUT: Duration = Duration::from_millis(40);
/// Time for which the direct attempt of a probe may come after the relayed one. It has one hop
/// less, so it is usually first.
const PROBE_GRACE: Duration = Duration::from_millis(30);

/// Reason why a call has no answer from its destination.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Miss {
    /// The call surely did not leave, on any path.
    NotReached,
    /// The call may have taken effect or may still do so.
    NoAnswer,
}

impl Miss {
    fn and(self, other: Self) -> Self {
        if self == Self::NotReached { other } else { self }
    }
}

/// Result of an attempt by a relay.
#[derive(Debug)]
pub enum Relayed<A> {
    /// The destination answered.
    Answered(A),
    /// The relay answered that it did not reach the destination, or got no answer from it.
    Unreached(Miss),
    /// The relay did not answer.
    RelaySilent(Miss),
    /// The relay refused the call, which had no effect.
    Refused,
}

impl<A> Relayed<A> {
    /// Name in log lines.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Unreached(_) => "unreached",
            Self::RelaySilent(_) => "relay_silent",
            Self::Refused => "refused",
        }
    }
}

/// Destination in another data centre.
#[derive(Debug, Clone)]
pub struct Destination {
    address: SocketAddr,
    data_centre: Arc<str>,
}

#[derive(Debug)]
struct Known {
    links: Links,
    /// Data centres of the peers, by their addresses.
    data_centres: HashMap<SocketAddr, Arc<str>>,
}

/// Paths from this daemon to other data centres.
#[derive(Debug)]
pub struct Paths {
    is_enabled: bool,
    own: Arc<str>,
    known: Mutex<Known>,
    /// Notified when the state of a link changes.
    changed: Notify,
    metrics: PathMetrics,
}

impl Paths {
    /// Creates the paths of a daemon in the data centre `own`. If not enabled, all calls are direct.
    #[must_use]
    pub fn new(is_enabled: bool, own: Arc<str>, metrics: PathMetrics) -> Self {
        let links = Links::new(Arc::clone(&own));
        let known = Mutex::new(Known { links, data_centres: HashMap::new() });
        Self { is_enabled, own, known, changed: Notify::new(), metrics }
    }

    fn known(&self) -> MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether calls may take relays, and whether this daemon serves as one.
    #[must_use]
    pub fn is_enabled(&self) -> bool {
        self.is_enabled
    }

    /// Sets the members of the group. Those that tell their data centre can relay calls.
    pub fn set_members<'a>(&self, members: impl Iterator<Item = &'a Member>) {
        let relay = |member: &Member| {
            let data_centre = Arc::clone(member.data_centre.as_ref()?);
            Some(Relay { address: member.address, data_centre, millicores: member.millicores })
        };
        let mut relays: Vec<_> = members.filter_map(relay).collect();
        relays.sort_unstable();
        relays.dedup();
        let mut known = self.known();
        known.data_centres =
            relays.iter().map(|relay| (relay.address, Arc::clone(&relay.data_centre))).collect();
        known.links.set_relays(relays);
    }

    /// Destination for calls to a peer; `None` if calls to it are always direct.
    #[must_use]
    pub fn peer(&self, address: SocketAddr) -> Option<Destination> {
        let data_centre = self.known().data_centres.get(&address).cloned()?;
        self.destination(address, &data_centre)
    }

    /// Destination in a data centre; `None` if calls to it are always direct.
    #[must_use]
    pub fn destination(&self, address: SocketAddr, data_centre: &Arc<str>) -> Option<Destination> {
        let is_remote = self.is_enabled && *data_centre != self.own;
        is_remote.then(|| Destination { address, data_centre: Arc::clone(data_centre) })
    }

    /// Makes an idempotent call, which may arrive several times. All attempts together take at most
    /// `timeout`, if `direct` does. `direct` is passed whether it probes the link, and then should
    /// be answered at once. `relayed` is passed the relay and its remaining time.
    ///
    /// # Errors
    ///
    /// [`Miss`] if no path has an answer.
    pub async fn call_idempotent<A, D, R>(
        &self,
        to: &Destination,
        timeout: Duration,
        direct: impl FnOnce(bool) -> D,
        relayed: impl Fn(SocketAddr, Duration) -> R,
    ) -> Result<A, Miss>
    where
        D: Future<Output = Result<A, Miss>>,
        R: Future<Output = Relayed<A>>,
    {
        let sent = clock::now();
        let deadline = sent + timeout;
        let plan = self.known().links.plan(sent, &to.data_centre, true);
        let by_relay = || self.by_relay(to, deadline, true, &relayed);
        if plan == Plan::Relayed {
            return by_relay().await;
        }
        let is_probe = plan == Plan::Probed;
        let direct = pin!(self.observe(to, sent, direct(is_probe)));
        if is_probe {
            return probe(direct, pin!(by_relay())).await;
        }
        let delay = (plan == Plan::Hedged).then_some(HEDGING_DELAY);
        let relay_due = pin!(self.until_relay_due(&to.data_centre, delay));
        match select(direct, relay_due).await {
            Either::Left((Ok(answer), _)) => Ok(answer),
            Either::Left((Err(miss), _)) if self.is_impaired(&to.data_centre) => {
                by_relay().await.map_err(|other| miss.and(other))
            }
            Either::Left((Err(miss), _)) => Err(miss),
            Either::Right(((), direct)) => first_answer(direct, pin!(by_relay())).await,
        }
    }

    /// Makes a call that must not be repeated: by a relay if the link is broken, or else directly.
    /// `relayed` is passed the relay and its remaining time.
    ///
    /// # Errors
    ///
    /// [`Miss`] if the path has no answer.
    pub async fn call_once<A, R>(
        &self,
        to: &Destination,
        timeout: Duration,
        direct: impl Future<Output = Result<A, Miss>>,
        relayed: impl Fn(SocketAddr, Duration) -> R,
    ) -> Result<A, Miss>
    where
        R: Future<Output = Relayed<A>>,
    {
        let sent = clock::now();
        let deadline = sent + timeout;
        let plan = self.known().links.plan(sent, &to.data_centre, false);
        if plan == Plan::Relayed {
            return self.by_relay(to, deadline, false, &relayed).await;
        }
        match self.observe(to, sent, direct).await {
            Err(Miss::NotReached) if self.is_impaired(&to.data_centre) => {
                self.by_relay(to, deadline, false, &relayed).await
            }
            result => result,
        }
    }

    /// Tries relays one after the other until one has an answer. A call that is not idempotent is
    /// passed to another relay only if it surely did not leave.
    async fn by_relay<A, R>(
        &self,
        to: &Destination,
        deadline: Duration,
        is_idempotent: bool,
        relayed: &impl Fn(SocketAddr, Duration) -> R,
    ) -> Result<A, Miss>
    where
        R: Future<Output = Relayed<A>>,
    {
        let relays = self.known().links.relays(clock::now(), &to.data_centre, Some(to.address));
        let mut miss = Miss::NotReached;
        // One relay may be cut off from the destination too.
        let mut unreached = false;
        for (index, relay) in relays.iter().take(MAX_RELAYS).enumerate() {
            let sent = clock::now();
            let left = deadline.saturating_sub(sent);
            if left < MIN_RELAY_TIMEOUT {
                break;
            }
            // Leaves time for another relay.
            let has_next = index + 1 < relays.len().min(MAX_RELAYS);
            let timeout = if is_idempotent && has_next { left * 2 / 3 } else { left };
            let result = relayed(*relay, timeout).await;
            self.observe_relay(to, *relay, sent, &result);
            match result {
                Relayed::Answered(answer) => return Ok(answer),
                Relayed::Unreached(other) => {
                    unreached = true;
                    miss = miss.and(other);
                }
                Relayed::RelaySilent(other) => miss = miss.and(other),
                Relayed::Refused => {}
            }
            if miss == Miss::NoAnswer && !is_idempotent {
                break;
            }
        }
        if unreached {
            self.observe_delivery(to, false);
        }
        Err(miss)
    }

    /// Records whether relays that answered reached the destination.
    fn observe_delivery(&self, to: &Destination, reached: bool) {
        let now = clock::now();
        let change = self.known().links.relayed_ended(now, &to.data_centre, to.address, reached);
        self.announce(change);
    }

    /// Records the result of a direct call.
    async fn observe<A>(
        &self,
        to: &Destination,
        sent: Duration,
        call: impl Future<Output = Result<A, Miss>>,
    ) -> Result<A, Miss> {
        let result = call.await;
        let (now, answered) = (clock::now(), result.is_ok());
        let change =
            self.known().links.direct_ended(now, sent, &to.data_centre, to.address, answered);
        self.announce(change);
        result
    }

    fn observe_relay<A>(
        &self,
        to: &Destination,
        relay: SocketAddr,
        sent: Duration,
        result: &Relayed<A>,
    ) {
        let now = clock::now();
        let outcome = result.name();
        self.metrics.count_relayed(outcome);
        log::debug!("event=call_relayed to={} relay={relay} outcome={outcome}", to.address);
        if matches!(result, Relayed::Answered(_)) {
            self.observe_delivery(to, true);
        }
        let mut known = self.known();
        if matches!(result, Relayed::RelaySilent(_) | Relayed::Refused) {
            known.links.relay_unavailable(now, relay);
        }
        let own_data_centre = known.data_centres.get(&relay).cloned();
        let change = own_data_centre.and_then(|own_data_centre| {
            let answered = !matches!(result, Relayed::RelaySilent(_));
            known.links.direct_ended(now, sent, &own_data_centre, relay, answered)
        });
        drop(known);
        self.announce(change);
    }

    fn announce(&self, change: Option<Transition>) {
        let Some(Transition { data_centre, from, to }) = change else { return };
        match (from, to) {
            (_, State::Broken) => {
                log::info!("event=link_broken data_centre={data_centre} before={}", from.name());
            }
            (_, State::Lost) => log::info!("event=link_lost data_centre={data_centre}"),
            (State::Broken | State::Lost, State::Up) => {
                log::info!("event=link_restored data_centre={data_centre} before={}", from.name());
            }
            _ => {}
        }
        let known = self.known();
        for state in [State::Up, State::Suspect, State::Broken, State::Lost] {
            self.metrics.set_links(state, known.links.count(state));
        }
        drop(known);
        self.changed.notify_waiters();
    }

    /// Whether the link is suspect or broken, so that a relay may help.
    fn is_impaired(&self, data_centre: &str) -> bool {
        matches!(self.known().links.state(data_centre), State::Suspect | State::Broken)
    }

    /// Returns once the link is broken, or after `delay` if there is one.
    async fn until_relay_due(&self, data_centre: &str, delay: Option<Duration>) {
        let broken = async {
            loop {
                let changed = self.changed.notified();
                if self.known().links.state(data_centre) == State::Broken {
                    return;
                }
                changed.await;
            }
        };
        match delay {
            Some(delay) => drop(tokio::time::timeout(delay, broken).await),
            None => broken.await,
        }
    }
}

/// First answer of two attempts.
async fn first_answer<A>(
    one: impl Future<Output = Result<A, Miss>> + Unpin,
    other: impl Future<Output = Result<A, Miss>> + Unpin,
) -> Result<A, Miss> {
    match select(one, other).await {
        Either::Left((Ok(answer), _)) | Either::Right((Ok(answer), _)) => Ok(answer),
        Either::Left((Err(miss), other)) => other.await.map_err(|next| miss.and(next)),
        Either::Right((Err(miss), one)) => one.await.map_err(|next| miss.and(next)),
    }
}

/// First answer of a direct and a relayed attempt. The direct one gets some time more to show that
/// the link has recovered.
async fn probe<A>(
    direct: impl Future<Output = Result<A, Miss>> + Unpin,
    by_relay: impl Future<Output = Result<A, Miss>> + Unpin,
) -> Result<A, Miss> {
    match select(direct, by_relay).await {
        Either::Left((Ok(answer), _)) => Ok(answer),
        Either::Left((Err(miss), by_relay)) => by_relay.await.map_err(|other| miss.and(other)),
        Either::Right((Ok(answer), direct)) => {
            drop(tokio::time::timeout(PROBE_GRACE, direct).await);
            Ok(answer)
        }
        Either::Right((Err(miss), direct)) => direct.await.map_err(|other| miss.and(other)),
    }
}
