//! The shard's side of a quota: what it has been allotted, and when it requests more.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crosspath_job::spec::Resources;

use crate::Limits;
use crate::message::{Allotment, Demand, Grant, Request};

/// Delay after which an unanswered request is repeated. The ledger is a few ms away.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval between requests while a task waits for an allotment. What other shards release reaches
/// the ledger with their requests.
const PENDING_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between requests while no task waits. They release what ended runs used, and report to
/// a new ledger what the shard keeps. Other shards may lack released resources for this long.
const IDLE_INTERVAL: Duration = Duration::from_millis(100);

/// A shard's use of one customer's maximum, and its unmet demand.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Resources of all runs that exist or may exist.
    pub used: Resources,
    /// Resources required by tasks that only the maximum prevents from starting.
    pub pending: Resources,
    /// Resources required by the first of those tasks; zero if none waits.
    pub first_pending: Resources,
}

/// Allotments of one shard.
#[derive(Debug)]
pub struct Allowance {
    shard: u32,
    epoch: u64,
    number: u64,
    term: u64,
    allotments: BTreeMap<Arc<str>, Allotment>,
    /// Time of the last request, `None` before the first. `answered` tells whether it was answered.
    requested_at: Option<Duration>,
    answered: bool,
    /// Whether the last grant came from an active ledger.
    ledger_active: bool,
}

impl Allowance {
    /// Creates the allowance of a shard that its owner has claimed in `epoch`. It has no allotments
    /// yet.
    #[must_use]
    pub fn new(shard: u32, epoch: u64) -> Self {
        Self {
            shard,
            epoch,
            number: 0,
            term: 0,
            allotments: BTreeMap::new(),
            requested_at: None,
            answered: true,
            ledger_active: false,
        }
    }

    /// Resources allotted from a customer's maximum.
    #[must_use]
    pub fn held(&self, customer: &str) -> Resources {
        self.allotments.get(customer).map(|allotment| allotment.held).unwrap_or_default()
    }

    /// Whether a customer with the maximum `limit` that uses `used` in this shard may use `more` on
    /// top.
    #[must_use]
    pub fn allows(
        &self,
        customer: &str,
        limit: &Resources,
        used: &Resources,
        more: &Resources,
    ) -> bool {
        let Some(allotment) = self.allotments.get(customer) else { return false };
        used.plus(more).fits(&effective(allotment, limit))
    }

    /// Returns the request that is due: one that reports pending tasks, or what has changed. Until
    /// it is answered, the allotments are reduced to what the request says the shard keeps.
    pub fn request(
        &mut self,
        now: Duration,
        limits: &Limits,
        usages: &BTreeMap<Arc<str>, Usage>,
    ) -> Option<Request> {
        if !self.is_due(now, usages) {
            return None;
        }
        let mut demands = BTreeMap::new();
        let mut allotments = BTreeMap::new();
        for (name, usage) in usages {
            let limit = limits.get(name).copied().unwrap_or(Resources::UNLIMITED);
            let held = self
                .allotments
                .get(name)
                .map(|allotment| effective(allotment, &limit))
                .unwrap_or_default();
            let demand = demand(usage, &held);
            // Runs beyond the allotment are not stopped; they are not replaced when they end.
            allotments.insert(
                Arc::clone(name),
                Allotment { held: demand.keep.component_min(&held), limit },
            );
            demands.insert(Arc::clone(name), demand);
        }
        self.allotments = allotments;
        self.number += 1;
        self.requested_at = Some(now);
        self.answered = false;
        Some(Request {
            shard: self.shard,
            epoch: self.epoch,
            number: self.number,
            term: self.term,
            demands,
        })
    }

    fn is_due(&self, now: Duration, usages: &BTreeMap<Arc<str>, Usage>) -> bool {
        let Some(requested_at) = self.requested_at else { return true };
        if !self.answered {
            return now >= requested_at + REQUEST_TIMEOUT;
        }
        let has_pending = usages.values().any(|usage| usage.pending != Resources::default());
        let interval =
            if has_pending || !self.ledger_active { PENDING_INTERVAL } else { IDLE_INTERVAL };
        now >= requested_at + interval
    }

    /// Applies a grant; returns whether it was accepted. A grant of an earlier ledger or for an
    /// earlier request is ignored.
    pub fn apply_grant(&mut self, grant: Grant) -> bool {
        if grant.term < self.term || grant.number != self.number || self.answered {
            return false;
        }
        self.term = grant.term;
        self.ledger_active = grant.active;
        self.answered = true;
        // A recovering ledger knows nothing that the shard does not know itself.
        if grant.active {
            self.allotments = grant.allotments;
        }
        true
    }

    /// Notes that request `number` failed. It is repeated after the usual interval.
    pub fn request_failed(&mut self, number: u64) {
        // Treat the request as answered: the allotments stay at what it said the shard keeps.
        self.answered |= number == self.number;
    }
}

/// Computes the demand: keeps what is used, and as much of `held` as pending tasks require.
fn demand(usage: &Usage, held: &Resources) -> Demand {
    let target = usage.used.plus(&usage.pending);
    let mut keep = target.component_min(held).component_max(&usage.used);
    // Too little for the first pending task is of no use here, so it is released: two shards that
    // each kept half of what a task requires would block each other forever.
    if !usage.first_pending.fits(&keep.minus(&usage.used)) {
        keep = usage.used;
    }
    let requested = target.minus(&keep);
    let minimum =
        if requested == Resources::default() { Resources::default() } else { usage.first_pending };
    Demand { keep, requested, minimum }
}

/// Part of an allotment that is valid under the maximum now in force. Zero if the maximum was
/// lowered: other shards may already use more than it, which only the ledger knows.
fn effective(allotment: &Allotment, limit: &Resources) -> Resources {
    if allotment.limit.fits(limit) { allotment.held } else { Resources::default() }
}
