//! Leases between a member and its guard, without the log.
//!
//! The guard promises in each heartbeat answer not to evict the member for a while; the member
//! counts the promise from before it asked, the guard from after it answered, each on its own
//! clock and with the drift of the rates on the safe side. So a member that is paused or cut off
//! stops before it can be evicted, and an outage of the log alone stops nobody.
//!
//! A guard that was evicted must stop promising, or the members that it guarded could never be
//! evicted by whoever inherits them. It may not know of its eviction, so it promises only for a
//! bounded time, the tenure, after its own lease was last valid, and the heir waits that long. The
//! tenure is longer than a lease: were a valid lease needed at every promise, one daemon that is
//! gone during an outage of the log, or one moment without heartbeats, would end every lease around
//! the ring, with nobody left to promise first.

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
    /// How long a guard goes on promising after its own lease was last valid.
    pub tenure: Duration,
    /// Largest drift, in parts per million.
    pub drift_ppm: u32,
}

impl Terms {
    /// How long the member counts on a promise of `span`.
    fn shortened_by_drift(self, duration: Duration) -> Duration {
        scale(duration, MILLION - u64::from(self.drift_ppm))
    }

    /// How long the guard waits after a promise of `span`.
    fn lengthened_by_drift(self, duration: Duration) -> Duration {
        scale(duration, MILLION + u64::from(self.drift_ppm))
    }
}

fn scale(duration: Duration, ppm: u64) -> Duration {
    let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
    Duration::from_millis(millis.saturating_mul(ppm) / MILLION)
}

/// The member's side: promises that this daemon got.
#[derive(Debug, Default)]
pub struct Holder {
    valid_until: BTreeMap<DaemonName, Monotonic>,
    pending_guard: Option<DaemonName>,
}

impl Holder {
    /// Notes a promise of `span` from `guard`, asked for at `asked_at`.
    pub fn record_grant(
        &mut self,
        terms: Terms,
        guard: &DaemonName,
        requested_at: Monotonic,
        duration: Duration,
    ) {
        let until = requested_at.after(terms.shortened_by_drift(duration));
        let entry = self.valid_until.entry(guard.clone()).or_insert(until);
        *entry = until.max(*entry);
    }

    /// Notes that a record that names `guard` is on its way; until it is settled, the promise of
    /// that guard is needed too.
    pub fn set_pending_guard(&mut self, guard: Option<DaemonName>) {
        self.pending_guard = guard;
    }

    /// Whether this daemon may act as the member `own` at `now`.
    #[must_use]
    pub fn is_valid(&self, state: &State, own: &Writer, now: Monotonic) -> bool {
        if !state.is_member(own) {
            return false;
        }
        let member = state.members.get(&own.daemon);
        let guard = member.and_then(|member| member.guard.as_ref());
        let mut needed = guard.into_iter().chain(self.pending_guard.as_ref());
        needed.all(|guard| self.valid_until.get(guard).is_some_and(|until| now < *until))
    }
}

/// Since when this daemon guards a member, and whether another one did before.
#[derive(Debug, Clone, Copy)]
struct Assignment {
    since: Monotonic,
    inherited: bool,
}

impl Assignment {
    /// When no promise can be left that was given before this daemon's own.
    fn earlier_leases_expired_at(self, terms: Terms) -> Monotonic {
        let previous_tenure = if self.inherited { terms.tenure } else { Duration::ZERO };
        self.since.after(terms.lengthened_by_drift(previous_tenure + terms.lease))
    }
}

/// The guard's side: promises that this daemon gave, and whom it may evict.
#[derive(Debug, Default)]
pub struct Grantor {
    last_valid: Option<Monotonic>,
    was_valid: bool,
    /// Evicts nobody before this: heartbeats may have been missed here, not there.
    no_eviction_before: Monotonic,
    granted_until: BTreeMap<Writer, Monotonic>,
    assignments: BTreeMap<Writer, Assignment>,
    evicting: BTreeSet<Writer>,
}

impl Grantor {
    /// Notes at `now` whom this daemon guards, and whether its own lease is valid.
    pub fn observe(
        &mut self,
        terms: Terms,
        state: &State,
        own: &Writer,
        valid: bool,
        now: Monotonic,
    ) {
        if valid {
            self.last_valid = Some(now);
        } else if self.was_valid {
            self.no_eviction_before = now.after(terms.lengthened_by_drift(terms.lease));
        }
        self.was_valid = valid;
        let guarded: BTreeMap<Writer, bool> = guarded(state, own).collect();
        self.assignments
            .retain(|member, assignment| guarded.get(member) == Some(&assignment.inherited));
        self.evicting.retain(|member| guarded.contains_key(member));
        for (member, inherited) in guarded {
            self.assignments.entry(member).or_insert(Assignment { since: now, inherited });
        }
        self.granted_until.retain(|member, _| state.is_member(member));
    }

    /// The promise for `member` at `now`, if this daemon can give one.
    ///
    /// `valid` says whether this daemon's own lease is valid.
    pub fn grant(
        &mut self,
        terms: Terms,
        state: &State,
        member: &Writer,
        valid: bool,
        now: Monotonic,
    ) -> Option<Duration> {
        if valid {
            self.last_valid = Some(now);
        }
        let within_tenure = self
            .last_valid
            .is_some_and(|at| now < at.after(terms.shortened_by_drift(terms.tenure)));
        let may_grant = within_tenure && state.is_member(member) && !self.evicting.contains(member);
        if !may_grant {
            return None;
        }
        self.granted_until
            .insert(member.clone(), now.after(terms.lengthened_by_drift(terms.lease)));
        Some(terms.lease)
    }

    /// Members that may be evicted at `now`; from then on they get no promise.
    pub fn evictable(&mut self, terms: Terms, now: Monotonic) -> Vec<Writer> {
        let expired = |member: &Writer, assignment: Assignment| {
            let granted_until = self.granted_until.get(member).copied().unwrap_or_default();
            now > granted_until
                .max(assignment.earlier_leases_expired_at(terms))
                .max(self.no_eviction_before)
        };
        let expired =
            self.assignments.iter().filter(|(member, assignment)| expired(member, **assignment));
        let expired: Vec<Writer> = expired.map(|(member, _)| member.clone()).collect();
        self.evicting.extend(expired.iter().cloned());
        expired
    }

    /// Notes that an eviction was certainly not recorded.
    pub fn cancel_eviction(&mut self, member: &Writer) {
        self.evicting.remove(member);
    }
}

/// Members that `own` may evict, and whether it inherited them.
fn guarded(state: &State, own: &Writer) -> impl Iterator<Item = (Writer, bool)> {
    let member = state.is_member(own);
    let members = state.members.iter().filter(move |_| member);
    let guarded = members.filter(|(_, member)| member.guard.as_ref() == Some(&own.daemon));
    guarded.map(|(name, member)| {
        let writer = Writer { daemon: name.clone(), incarnation: member.incarnation };
        (writer, member.inherited)
    })
}
