//! Leases between a member and its guard, which work without the log.
//!
//! With each heartbeat reply the guard grants a lease: it will not evict the member for a given
//! time. The member counts that time from before its request, the guard from when it grants the
//! lease, each on its own clock and with the clocks' drift on the safe side. A member that is
//! paused or cut off therefore stops before it can be evicted, and an outage of the log alone
//! stops no member.
//!
//! A guard that was evicted must stop granting leases, otherwise its successor could never evict
//! the members that it guarded. It may not know of its eviction, so it grants leases only for a
//! bounded time after its own lease was last valid, the tenure, and the successor waits that long.
//! The tenure is longer than a lease. If every grant required a valid lease, then a single daemon
//! that is gone during an outage of the log, or a moment without heartbeats, would end every lease
//! around the ring, and no daemon could grant the first new one.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::name::DaemonName;
use crate::record::Writer;
use crate::state::State;
use crate::time::Monotonic;

const MILLION: u64 = 1_000_000;

/// Durations of leases and the largest drift between the rates of two clocks.
#[derive(Debug, Clone, Copy)]
pub struct Terms {
    /// Length of a lease.
    pub lease: Duration,
    /// How long a guard goes on granting leases after its own lease was last valid.
    pub tenure: Duration,
    /// Largest drift between two clocks, in parts per million.
    pub drift_ppm: u32,
}

impl Terms {
    /// How long the member relies on a lease of `duration`.
    fn shortened_by_drift(self, duration: Duration) -> Duration {
        scale(duration, MILLION - u64::from(self.drift_ppm))
    }

    /// How long the guard must wait for a lease of `duration` to expire at the member.
    fn lengthened_by_drift(self, duration: Duration) -> Duration {
        scale(duration, MILLION + u64::from(self.drift_ppm))
    }
}

fn scale(duration: Duration, ppm: u64) -> Duration {
    let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
    Duration::from_millis(millis.saturating_mul(ppm) / MILLION)
}

/// The member's side: leases that other daemons granted to this one.
#[derive(Debug, Default)]
pub struct Holder {
    valid_until: BTreeMap<DaemonName, Monotonic>,
    pending_guard: Option<DaemonName>,
}

impl Holder {
    /// Records a lease of `duration` from `guard` that was requested at `requested_at`.
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

    /// Sets the guard that a record being appended names. Until the fate of that record is known,
    /// a lease from that guard is required too.
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

/// Since when this daemon guards a member, and whether it inherited it from an evicted guard or
/// from one that left.
#[derive(Debug, Clone, Copy)]
struct Assignment {
    since: Monotonic,
    inherited: bool,
}

impl Assignment {
    /// When every lease that a previous guard may have granted has expired.
    fn earlier_leases_expired_at(self, terms: Terms) -> Monotonic {
        let previous_tenure = if self.inherited { terms.tenure } else { Duration::ZERO };
        self.since.after(terms.lengthened_by_drift(previous_tenure + terms.lease))
    }
}

/// The guard's side: leases that this daemon granted, and the members it may evict.
#[derive(Debug, Default)]
pub struct Grantor {
    last_valid: Option<Monotonic>,
    was_valid: bool,
    /// No eviction before this time: after this daemon's own lease became invalid, missing
    /// heartbeats may be its own fault and not the member's.
    no_eviction_before: Monotonic,
    granted_until: BTreeMap<Writer, Monotonic>,
    assignments: BTreeMap<Writer, Assignment>,
    evicting: BTreeSet<Writer>,
}

impl Grantor {
    /// Updates at `now` which members this daemon guards, and whether its own lease is valid.
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

    /// Grants `member` a lease at `now` and returns its length, if this daemon may grant one.
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

    /// Members that may be evicted at `now`; from then on they are granted no lease.
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

    /// Allows leases for `member` again after its eviction has certainly not been recorded.
    pub fn cancel_eviction(&mut self, member: &Writer) {
        self.evicting.remove(member);
    }
}

/// Members that `own` guards, and whether it inherited each of them.
fn guarded(state: &State, own: &Writer) -> impl Iterator<Item = (Writer, bool)> {
    let member = state.is_member(own);
    let members = state.members.iter().filter(move |_| member);
    let guarded = members.filter(|(_, member)| member.guard.as_ref() == Some(&own.daemon));
    guarded.map(|(name, member)| {
        let writer = Writer { daemon: name.clone(), incarnation: member.incarnation };
        (writer, member.inherited)
    })
}
