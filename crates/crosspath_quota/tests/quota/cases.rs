//! Single rules of allotting a maximum to shards.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crosspath_job::spec::Resources;
use crosspath_quota::{Allowance, Grant, Ledger, Limits, Request, Usage};

fn cores(cores: u64) -> Resources {
    Resources { cpu_millis: cores * 1_000, mem_mb: 0, gpus: 0 }
}

fn limits(maximum: u64) -> Limits {
    let resources = Resources { cpu_millis: maximum * 1_000, ..Resources::UNLIMITED };
    [("water".into(), resources)].into()
}

fn usage(used: u64, pending: u64, first_pending: u64) -> BTreeMap<Arc<str>, Usage> {
    let usage =
        Usage { used: cores(used), pending: cores(pending), first_pending: cores(first_pending) };
    [("water".into(), usage)].into()
}

/// Shards with one owner each, and a ledger.
struct Harness {
    now: Duration,
    limits: Limits,
    ledger: Ledger,
    shards: BTreeSet<u32>,
    allowances: BTreeMap<u32, Allowance>,
}

impl Harness {
    fn new(maximum: u64, shards: u32) -> Self {
        let allowances = (0..shards).map(|shard| (shard, Allowance::new(shard, 1)));
        Self {
            now: Duration::from_secs(1),
            limits: limits(maximum),
            ledger: Ledger::new(1),
            shards: (0..shards).collect(),
            allowances: allowances.collect(),
        }
    }

    /// Creates a ledger whose term all shards have acknowledged.
    fn with_recovered_ledger(maximum: u64, shards: u32) -> Self {
        let mut harness = Self::new(maximum, shards);
        for _ in 0..2 {
            for shard in 0..shards {
                harness.sync(shard, &BTreeMap::new());
            }
        }
        harness
    }

    fn request(&mut self, shard: u32, usages: &BTreeMap<Arc<str>, Usage>) -> Request {
        self.now += Duration::from_secs(1);
        let allowance = self.allowances.get_mut(&shard).expect("a shard");
        allowance.request(self.now, &self.limits, usages).expect("a due request")
    }

    fn grant(&mut self, request: &Request) -> Option<Grant> {
        self.ledger.grant(request, &self.limits, &self.shards)
    }

    fn sync(&mut self, shard: u32, usages: &BTreeMap<Arc<str>, Usage>) {
        let request = self.request(shard, usages);
        let grant = self.grant(&request).expect("a grant");
        let allowance = self.allowances.get_mut(&shard).expect("a shard");
        assert!(allowance.apply_grant(grant));
    }

    /// Whether a shard that uses `used` cores may use `more` on top.
    fn allows(&self, shard: u32, used: u64, more: u64) -> bool {
        let limit = self.limits["water"];
        self.allowances[&shard].allows("water", &limit, &cores(used), &cores(more))
    }
}

#[test]
fn requested_resources_are_granted_up_to_the_maximum() {
    let mut harness = Harness::with_recovered_ledger(100, 2);
    harness.sync(0, &usage(0, 60, 10));
    assert!(harness.allows(0, 0, 60));
    harness.sync(1, &usage(0, 60, 10));
    assert!(harness.allows(1, 0, 20) && !harness.allows(1, 0, 60));
    // The first shard releases what it does not use.
    harness.sync(0, &usage(10, 0, 0));
    harness.sync(1, &usage(20, 60, 10));
    assert!(harness.allows(1, 20, 40));
}

#[test]
fn a_task_larger_than_the_remainder_starts_while_some_remains() {
    let mut harness = Harness::with_recovered_ledger(10, 2);
    harness.sync(0, &usage(0, 40, 40));
    assert!(harness.allows(0, 0, 40));
    harness.sync(1, &usage(0, 40, 40));
    assert!(!harness.allows(1, 0, 1), "nothing remains");
}

#[test]
fn a_pending_request_limits_the_shard_to_what_it_keeps() {
    let mut harness = Harness::with_recovered_ledger(100, 2);
    harness.sync(0, &usage(0, 80, 10));
    let request = harness.request(0, &usage(10, 0, 0));
    assert!(!harness.allows(0, 10, 1));
    harness.grant(&request);
    harness.sync(1, &usage(0, 80, 10));
    assert!(harness.allows(1, 0, 60));
}

#[test]
fn stale_requests_and_grants_are_ignored() {
    let mut harness = Harness::with_recovered_ledger(100, 2);
    let old = harness.request(0, &usage(0, 80, 10));
    let late = harness.grant(&old).expect("a grant");
    harness.sync(0, &usage(0, 0, 0));
    assert_eq!(harness.grant(&old), None);
    assert!(!harness.allowances.get_mut(&0).expect("a shard").apply_grant(late));
    assert!(!harness.allows(0, 0, 80));
}

#[test]
fn a_new_ledger_grants_only_after_every_shard_has_acknowledged_its_term() {
    let mut harness = Harness::with_recovered_ledger(100, 2);
    harness.sync(0, &usage(0, 90, 10));
    harness.ledger = Ledger::new(2);
    for _ in 0..3 {
        harness.sync(1, &usage(0, 50, 10));
        assert!(!harness.allows(1, 0, 1), "the allotment of shard 0 is unknown");
    }
    // In the meantime the other shard continues within its allotment.
    assert!(harness.allows(0, 0, 90));
    harness.sync(0, &usage(80, 10, 10));
    assert!(harness.allows(0, 80, 10));
    harness.sync(0, &usage(80, 10, 10));
    harness.sync(1, &usage(0, 50, 10));
    assert!(harness.allows(1, 0, 1) && !harness.allows(1, 0, 11));
}

#[test]
fn a_shard_rejects_grants_of_an_earlier_term() {
    let mut harness = Harness::with_recovered_ledger(100, 1);
    let mut earlier = std::mem::replace(&mut harness.ledger, Ledger::new(2));
    harness.sync(0, &usage(0, 0, 0));
    let request = harness.request(0, &usage(0, 90, 10));
    let grant = earlier.grant(&request, &harness.limits, &harness.shards).expect("a grant");
    assert!(!harness.allowances.get_mut(&0).expect("a shard").apply_grant(grant));
}

#[test]
fn the_previous_owners_allotment_counts_until_the_new_owner_reports() {
    let mut harness = Harness::with_recovered_ledger(100, 2);
    harness.sync(0, &usage(0, 90, 10));
    harness.allowances.insert(0, Allowance::new(0, 2));
    harness.sync(1, &usage(0, 50, 10));
    assert!(!harness.allows(1, 0, 50));
    harness.sync(0, &usage(30, 0, 0));
    harness.sync(1, &usage(0, 50, 10));
    assert!(harness.allows(1, 0, 50));
    // Requests of the previous owner are ignored.
    let mut previous = Allowance::new(0, 1);
    let request =
        previous.request(harness.now, &harness.limits, &usage(90, 0, 0)).expect("a due request");
    assert_eq!(harness.grant(&request), None);
}

#[test]
fn a_lowered_maximum_applies_without_the_ledger() {
    let mut harness = Harness::with_recovered_ledger(100, 2);
    harness.sync(0, &usage(0, 80, 10));
    assert!(harness.allows(0, 40, 40));
    harness.limits = limits(50);
    assert!(!harness.allows(0, 30, 1), "more than 50 may run elsewhere");
    harness.sync(1, &usage(25, 10, 1));
    harness.sync(0, &usage(30, 10, 1));
    assert!(!harness.allows(0, 30, 1), "55 cores are in use");
    harness.sync(1, &usage(10, 0, 0));
    harness.sync(0, &usage(30, 10, 1));
    assert!(harness.allows(0, 30, 7) && !harness.allows(0, 30, 8));
}

#[test]
fn headroom_is_granted_without_a_request() {
    let mut harness = Harness::with_recovered_ledger(100, 2);
    harness.sync(0, &usage(10, 0, 0));
    assert!(harness.allows(0, 10, 20));
}
