//! Leases between a member and its guard, without the log.
//!
//! The guard promises in each heartbeat answer not to evict the member for a while; the member
//! counts the promise from before it asked, the guard from after it answered, each on its own
//! clock and with the drift of the rates on the safe side. So a member that is paused or cut off
//! stops before it can be evicted, and an outage of the log alone stops nobody.
//!
//! A guard promises only while its own lease is valid. When a guard is evicted, its own guard
//! inherits the members that it guarded, and waits until every promise that the evicted one can
//! have given has lapsed: [`Terms::inherited`].

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::name::DaemonName;
use crate::record::Writer;
use crate::state::State;
use crate::time::Monotonic;

const MILLION: u64 = 1_000_000;

/// Length of a promise and the largest drift between two clocks' rates.
#[derive(Debug, Clone, Copy)]
pub struct Terms {
    /// Length of a promise.
    pub lease: Duration,
    /// Largest drift, in parts per million.
    pub drift_ppm: u32,
}

impl Terms {
    /// How long the member counts on a promise of `span`.
    fn held(self, span: Duration) -> Duration {
        scale(span, MILLION - u64::from(self.drift_ppm))
    }

    /// How long the guard waits after a promise of `span`.
    fn waited(self, span: Duration) -> Duration {
        scale(span, MILLION + u64::from(self.drift_ppm))
    }

    /// How long a new guard waits: the promise of its predecessor, who may itself have given it
    /// at the end of the lease that it held.
    fn inherited(self) -> Duration {
        self.waited(self.lease * 2)
    }
}

fn scale(span: Duration, ppm: u64) -> Duration {
    let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
    Duration::from_millis(millis.saturating_mul(ppm) / MILLION)
}

/// The member's side: promises that this daemon got.
#[derive(Debug, Default)]
pub struct Holder {
    until: BTreeMap<DaemonName, Monotonic>,
    naming: Option<DaemonName>,
}

impl Holder {
    /// Notes a promise of `span` from `guard`, asked for at `asked_at`.
    pub fn promised(
        &mut self,
        terms: Terms,
        guard: &DaemonName,
        asked_at: Monotonic,
        span: Duration,
    ) {
        let until = asked_at.after(terms.held(span));
        let entry = self.until.entry(guard.clone()).or_insert(until);
        *entry = until.max(*entry);
    }

    /// Notes that a record that names `guard` is on its way; until it is settled, the promise of
    /// that guard is needed too.
    pub fn naming(&mut self, guard: Option<DaemonName>) {
        self.naming = guard;
    }

    /// Whether this daemon may act as the member `own` at `now`.
    #[must_use]
    pub fn is_valid(&self, state: &State, own: &Writer, now: Monotonic) -> bool {
        if !state.is_member(own) {
            return false;
        }
        let member = state.members.get(&own.daemon);
        let guard = member.and_then(|member| member.guard.as_ref());
        let mut needed = guard.into_iter().chain(self.naming.as_ref());
        needed.all(|guard| self.until.get(guard).is_some_and(|until| now < *until))
    }
}

/// The guard's side: promises that this daemon gave, and whom it may evict.
#[derive(Debug, Default)]
pub struct Guardian {
    given: BTreeMap<Writer, Monotonic>,
    duties: BTreeMap<Writer, Monotonic>,
    evicting: BTreeSet<Writer>,
}

impl Guardian {
    /// Notes at `now` whom this daemon guards.
    pub fn observe(&mut self, state: &State, own: &Writer, now: Monotonic) {
        let guarded: BTreeSet<Writer> = guarded(state, own).collect();
        self.duties.retain(|member, _| guarded.contains(member));
        self.evicting.retain(|member| guarded.contains(member));
        for member in guarded {
            self.duties.entry(member).or_insert(now);
        }
        self.given.retain(|member, _| state.is_member(member));
    }

    /// The promise for `member` at `now`, if this daemon can give one.
    ///
    /// `valid` says whether this daemon's own lease is valid.
    pub fn promise(
        &mut self,
        terms: Terms,
        state: &State,
        member: &Writer,
        valid: bool,
        now: Monotonic,
    ) -> Option<Duration> {
        let able = valid && state.is_member(member) && !self.evicting.contains(member);
        if !able {
            return None;
        }
        self.given.insert(member.clone(), now.after(terms.waited(terms.lease)));
        Some(terms.lease)
    }

    /// Members that may be evicted at `now`; from then on they get no promise.
    pub fn evictable(&mut self, terms: Terms, now: Monotonic) -> Vec<Writer> {
        let lapsed = |member: &Writer, since: Monotonic| {
            let given = self.given.get(member).copied().unwrap_or_default();
            now > given.max(since.after(terms.inherited()))
        };
        let lapsed = self.duties.iter().filter(|(member, since)| lapsed(member, **since));
        let lapsed: Vec<Writer> = lapsed.map(|(member, _)| member.clone()).collect();
        self.evicting.extend(lapsed.iter().cloned());
        lapsed
    }

    /// Notes that an eviction was certainly not recorded.
    pub fn spare(&mut self, member: &Writer) {
        self.evicting.remove(member);
    }
}

fn guarded(state: &State, own: &Writer) -> impl Iterator<Item = Writer> {
    let member = state.is_member(own);
    let members = state.members.iter().filter(move |_| member);
    let guarded = members.filter(|(_, member)| member.guard.as_ref() == Some(&own.daemon));
    guarded.map(|(name, member)| Writer { daemon: name.clone(), incarnation: member.incarnation })
}
