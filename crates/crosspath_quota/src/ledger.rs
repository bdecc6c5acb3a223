//! Who holds how much of each customer's maximum.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crosspath_job::spec::Resources;

use crate::Limits;
use crate::message::{Allotment, Demand, Grant, Request};

/// Share of what is left that is dealt out unasked, to all shards together. A shard with some at hand starts
/// the first tasks of a rise without asking, also while there is no ledger; a shard that wants more than is
/// left waits until the others say again what they keep.
const HEADROOM_DIVISOR: u64 = 2;

/// What one shard holds, by its owner's last question.
#[derive(Debug, Default)]
struct Account {
    epoch: u64,
    number: u64,
    /// Whether some owner of the shard has taken this ledger's term.
    acknowledged_term: bool,
    held: BTreeMap<Arc<str>, Resources>,
}

impl Account {
    /// Whether a question is later than the last one.
    fn is_newer(&self, request: &Request) -> bool {
        (request.epoch, request.number) > (self.epoch, self.number)
    }
}

/// Who holds how much of each customer's maximum.
#[derive(Debug)]
pub struct Ledger {
    term: u64,
    accounts: BTreeMap<u32, Account>,
}

impl Ledger {
    /// A ledger that has heard of no shard; `term` is higher than that of any before.
    #[must_use]
    pub fn new(term: u64) -> Self {
        Self { term, accounts: BTreeMap::new() }
    }

    /// Its term.
    #[must_use]
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Takes in what a shard keeps, and deals it what it wants as far as `limits` leave it. `shards` are
    /// all that may hold something. None for a question that is older than one before.
    pub fn grant(
        &mut self,
        request: &Request,
        limits: &Limits,
        shards: &BTreeSet<u32>,
    ) -> Option<Grant> {
        let account = self.accounts.entry(request.shard).or_default();
        if !account.is_newer(request) {
            return None;
        }
        account.epoch = request.epoch;
        account.number = request.number;
        account.held =
            request.demands.iter().map(|(name, demand)| (Arc::clone(name), demand.keep)).collect();
        let has_term = request.term == self.term;
        account.acknowledged_term |= has_term;
        let active = has_term && shards.iter().all(|shard| self.has_acknowledged(*shard));
        let mut allotments = BTreeMap::new();
        for (name, demand) in &request.demands {
            let limit = limits.get(name).copied().unwrap_or(Resources::UNLIMITED);
            let held = if active {
                self.allotment(name, demand, &limit, shards.len())
            } else {
                demand.keep
            };
            allotments.insert(Arc::clone(name), Allotment { held, limit });
        }
        if let Some(account) = self.accounts.get_mut(&request.shard) {
            // What runs counts, also where no more may start.
            for (name, held) in &mut account.held {
                *held = held.component_max(&allotments[name].held);
            }
        }
        Some(Grant { number: request.number, term: self.term, active, allotments })
    }

    fn has_acknowledged(&self, shard: u32) -> bool {
        self.accounts.get(&shard).is_some_and(|account| account.acknowledged_term)
    }

    /// What is held of a customer's maximum, over all shards.
    #[must_use]
    pub fn held(&self, customer: &str) -> Resources {
        let held = self.accounts.values().filter_map(|account| account.held.get(customer));
        held.fold(Resources::default(), |sum, resources| sum.plus(resources))
    }

    /// What a shard holds from now on. What it keeps is in the books already.
    fn allotment(
        &self,
        name: &str,
        demand: &Demand,
        limit: &Resources,
        shards: usize,
    ) -> Resources {
        let held = self.held(name);
        // The maximum has fallen, or its last task was larger than what was left: what ends is not replaced.
        if !held.fits(limit) {
            return Resources::default();
        }
        let remaining = limit.minus(&held);
        let mut more = demand.requested.component_min(&remaining);
        if !demand.minimum.fits(&more) {
            // A task that does not fit into what is left may start while anything is left: a customer's
            // maximum may be smaller than its task.
            more = if is_below_limit(&held, limit) { demand.minimum } else { Resources::default() };
        }
        let headroom = remaining.minus(&more);
        let divisor =
            HEADROOM_DIVISOR.saturating_mul(u64::try_from(shards.max(1)).unwrap_or(u64::MAX));
        let headroom = Resources {
            cpu_millis: headroom.cpu_millis / divisor,
            mem_mb: headroom.mem_mb / divisor,
            gpus: headroom.gpus / divisor,
        };
        demand.keep.plus(&more).plus(&headroom)
    }
}

/// Whether something is left of everything.
fn is_below_limit(held: &Resources, limit: &Resources) -> bool {
    held.cpu_millis < limit.cpu_millis && held.mem_mb < limit.mem_mb && held.gpus < limit.gpus
}
