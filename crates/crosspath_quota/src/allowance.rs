//! What one shard holds of customers' maxima, and when it asks for more.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crosspath_job::spec::Resources;

use crate::Limits;
use crate::message::{Allotment, Demand, Grant, Request};

/// A question without an answer is asked again after this: the ledger is some ms away.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(250);
/// Between questions while some task waits for a part: what others give back comes with their questions.
const PENDING_INTERVAL: Duration = Duration::from_millis(20);
/// Between questions while none waits: gives back what ended, and tells a new ledger what is kept. As long
/// as what is given back may be missing elsewhere.
const IDLE_INTERVAL: Duration = Duration::from_millis(100);

/// What a shard has and lacks of one customer's maximum.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// What runs or may run.
    pub used: Resources,
    /// What tasks want that only the maximum holds back.
    pub pending: Resources,
    /// What the first of those wants; zero when none waits.
    pub first_pending: Resources,
}

/// What one shard holds.
#[derive(Debug)]
pub struct Allowance {
    shard: u32,
    epoch: u64,
    number: u64,
    term: u64,
    allotments: BTreeMap<Arc<str>, Allotment>,
    /// When the last question was asked, and whether it was answered.
    requested_at: Option<Duration>,
    answered: bool,
    /// Whether the last answer came of a ledger that deals.
    ledger_active: bool,
}

impl Allowance {
    /// Of a shard whose owner has claimed it in `epoch`: nothing is held yet.
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

    /// What is held of a customer's maximum.
    #[must_use]
    pub fn held(&self, customer: &str) -> Resources {
        self.allotments.get(customer).map(|allotment| allotment.held).unwrap_or_default()
    }

    /// Whether a customer with `limit` that uses `used` here may use `more`.
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

    /// The question that is due now: needs that are not met, or what has changed. Until it is answered the
    /// shard holds what the question says it keeps.
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
            // What runs beyond what is held ends, and is not replaced.
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

    /// Takes in an answer; whether it counts. One of an earlier ledger, or to an earlier question, does not.
    pub fn apply_grant(&mut self, grant: Grant) -> bool {
        if grant.term < self.term || grant.number != self.number || self.answered {
            return false;
        }
        self.term = grant.term;
        self.ledger_active = grant.active;
        self.answered = true;
        // A ledger that does not deal yet knows nothing that the shard does not.
        if grant.active {
            self.allotments = grant.allotments;
        }
        true
    }

    /// The last question had no answer; it is asked again soon.
    pub fn request_failed(&mut self, number: u64) {
        // As if it were answered, that what is kept is held.
        self.answered |= number == self.number;
    }
}

/// Keeps what is used, and of what is `held` what is wanted too.
fn demand(usage: &Usage, held: &Resources) -> Demand {
    let target = usage.used.plus(&usage.pending);
    let mut keep = target.component_min(held).component_max(&usage.used);
    // Too little for the first task helps nobody here: two shards that each keep half of what a task needs
    // would both wait for good.
    if !usage.first_pending.fits(&keep.minus(&usage.used)) {
        keep = usage.used;
    }
    let requested = target.minus(&keep);
    let minimum =
        if requested == Resources::default() { Resources::default() } else { usage.first_pending };
    Demand { keep, requested, minimum }
}

/// What counts of a part under the maximum that is in force. Nothing where that has fallen: more than it may run
/// elsewhere, which only the ledger knows.
fn effective(allotment: &Allotment, limit: &Resources) -> Resources {
    if allotment.limit.fits(limit) { allotment.held } else { Resources::default() }
}
