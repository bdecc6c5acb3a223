//! The ledger: allotments of every customer's maximum to the shards.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crosspath_job::spec::Resources;

use crate::Limits;
use crate::message::{Allotment, Demand, Grant, Request};

/// Determines the headroom, the part of the remainder that is granted beyond the demand: one half,
/// divided evenly among the shards. With headroom a shard starts the first tasks of a burst without
/// a request, even while there is no ledger. In return, a shard that demands more than the
/// remainder has to wait until the other shards report again what they keep.
const HEADROOM_DIVISOR: u64 = 2;

/// Allotments of one shard, by the last request of its owner.
#[derive(Debug, Default)]
struct Account {
    epoch: u64,
    number: u64,
    /// Whether an owner of the shard has acknowledged the term of this ledger.
    acknowledged_term: bool,
    held: BTreeMap<Arc<str>, Resources>,
}

impl Account {
    /// Whether the request is later than the last one received.
    fn is_newer(&self, request: &Request) -> bool {
        (request.epoch, request.number) > (self.epoch, self.number)
    }
}

/// Record of how much of each customer's maximum is allotted to each shard.
#[derive(Debug)]
pub struct Ledger {
    term: u64,
    accounts: BTreeMap<u32, Account>,
}

impl Ledger {
    /// Creates a ledger without any accounts; `term` must be higher than that of every earlier
    /// ledger.
    #[must_use]
    pub fn new(term: u64) -> Self {
        Self { term, accounts: BTreeMap::new() }
    }

    /// Term of the ledger; increases with each new ledger.
    #[must_use]
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Records what a shard keeps and grants its demands as far as `limits` permit. `shards` are
    /// all shards that may have allotments. Returns `None` if the request is not newer than the
    /// last one received.
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
            // Runs count in full, even if no more of them may start.
            for (name, held) in &mut account.held {
                *held = held.component_max(&allotments[name].held);
            }
        }
        Some(Grant { number: request.number, term: self.term, active, allotments })
    }

    fn has_acknowledged(&self, shard: u32) -> bool {
        self.accounts.get(&shard).is_some_and(|account| account.acknowledged_term)
    }

    /// Sum of the allotments of a customer's maximum over all shards.
    #[must_use]
    pub fn held(&self, customer: &str) -> Resources {
        let held = self.accounts.values().filter_map(|account| account.held.get(customer));
        held.fold(Resources::default(), |sum, resources| sum.plus(resources))
    }

    /// Computes the new allotment of a shard. What the shard keeps is already part of `held`.
    fn allotment(
        &self,
        name: &str,
        demand: &Demand,
        limit: &Resources,
        shards: usize,
    ) -> Resources {
        let held = self.held(name);
        // Either the maximum was lowered, or the last task granted was larger than the remainder:
        // what ends is not replaced.
        if !held.fits(limit) {
            return Resources::default();
        }
        let remaining = limit.minus(&held);
        let mut more = demand.requested.component_min(&remaining);
        if !demand.minimum.fits(&more) {
            // A task larger than the remainder may start while anything remains, since a customer's
            // maximum may be smaller than one of its tasks.
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

/// Whether `held` is below `limit` in every component.
fn is_below_limit(held: &Resources, limit: &Resources) -> bool {
    held.cpu_millis < limit.cpu_millis && held.mem_mb < limit.mem_mb && held.gpus < limit.gpus
}
