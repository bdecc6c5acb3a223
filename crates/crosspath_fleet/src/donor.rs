//! Selection of the VM to move to a pool with a deficit, or out of a pool with a surplus.
//!
//! With a spread over failure domains, idle and spare VMs are kept by domain, and a pool is given
//! one from the domain in which it has the fewest. Selecting one goes over the domains and not over
//! all VMs.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crosspath_border::vm::Vm;
use crosspath_spread::{Domain, Occupancy};

use crate::index::Index;

/// Order in which VMs are moved to other pools: the lowest rank is taken first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank<'a> {
    /// Such a VM is taken later: while it is idle, its maintenance can start at once.
    awaits_maintenance: bool,
    used_millis: u64,
    name: &'a str,
}

/// VMs in order of preference, by failure domain; in a single group without a spread.
#[derive(Debug, Default)]
struct Ranked<'a> {
    /// The best of each group last.
    groups: BTreeMap<Option<Domain>, Vec<(Rank<'a>, &'a Vm)>>,
}

/// Preference among the best VMs of all groups: the lowest is taken first.
type Preference<'a> = (bool, crosspath_spread::Rank, Rank<'a>);

impl<'a> Ranked<'a> {
    fn push(&mut self, domain: Option<Domain>, rank: Rank<'a>, vm: &'a Vm) {
        self.groups.entry(domain).or_default().push((rank, vm));
    }

    fn sort(&mut self) {
        for group in self.groups.values_mut() {
            group.sort_unstable_by_key(|(rank, _)| Reverse(*rank));
        }
    }

    /// Preference and domain of the best VM for a pool that has VMs in `occupied` domains.
    fn best(&self, occupied: &Occupancy) -> Option<(Preference<'a>, &Option<Domain>)> {
        let best_of_groups = self.groups.iter().filter_map(|(domain, group)| {
            let (rank, _) = group.last()?;
            let in_domain = domain.as_ref().map(|domain| occupied.rank(domain));
            Some(((rank.awaits_maintenance, in_domain.unwrap_or_default(), *rank), domain))
        });
        best_of_groups.min()
    }

    fn take(&mut self, occupied: &Occupancy) -> Option<&'a Vm> {
        let (_, domain) = self.best(occupied)?;
        let domain = domain.clone();
        self.groups.get_mut(&domain)?.pop().map(|(_, vm)| vm)
    }
}

/// VMs that may be moved in this round, in order of preference. They are ranked once a round, so
/// that selecting one goes over the pools and domains and not over all VMs.
#[derive(Debug, Default)]
pub(crate) struct Donors<'a> {
    /// VMs of serving pools that have been idle long enough, by pool.
    idle: BTreeMap<Arc<str>, Ranked<'a>>,
    /// VMs of the spare pool.
    spare: Ranked<'a>,
    /// Other VMs of serving pools that run no long-running tasks, by pool; in a single group each,
    /// since how much runs on them outweighs where they are.
    serving: BTreeMap<Arc<str>, Ranked<'a>>,
}

impl<'a> Donors<'a> {
    /// Ranks the `movable` VMs; `is_long_idle` selects those that would move to the spare pool if
    /// not used here. With `spread`, VMs are told apart by failure domain.
    pub(crate) fn new(
        index: &Index<'a>,
        movable: impl Iterator<Item = &'a Vm>,
        is_long_idle: impl Fn(&Vm) -> bool,
        spread: bool,
    ) -> Self {
        let mut donors = Self::default();
        for vm in movable {
            let awaits_maintenance = index.awaits_maintenance(vm);
            let rank = |used_millis| Rank { awaits_maintenance, used_millis, name: &vm.name };
            let domain = spread.then(|| domain(vm));
            if index.is_spare(vm) {
                donors.spare.push(domain, rank(0), vm);
                continue;
            }
            let Some(reported) = index.reported(vm) else { continue };
            if reported.usable && reported.long_running == 0 {
                let rank = rank(reported.used_millis);
                if reported.is_vacant() && is_long_idle(vm) {
                    donors.idle.entry(Arc::clone(&vm.pool)).or_default().push(domain, rank, vm);
                } else {
                    donors.serving.entry(Arc::clone(&vm.pool)).or_default().push(None, rank, vm);
                }
            }
        }
        for ranked in
            donors.idle.values_mut().chain(donors.serving.values_mut()).chain([&mut donors.spare])
        {
            ranked.sort();
        }
        donors
    }

    /// Takes the best VM for a pool that has VMs in `occupied` domains: a long-idle one of an
    /// `oversized` pool, else a spare one, else, if `is_large_deficit`, the least used VM of an
    /// oversized pool. Long-idle VMs come first because they move to the spare pool now, and
    /// bringing in another VM instead would take two moves where one is enough.
    pub(crate) fn take(
        &mut self,
        occupied: &Occupancy,
        oversized: &BTreeSet<&Arc<str>>,
        is_large_deficit: bool,
    ) -> Option<&'a Vm> {
        if let Some(vm) = take_best(&mut self.idle, occupied, oversized) {
            return Some(vm);
        }
        if let Some(vm) = self.spare.take(occupied) {
            return Some(vm);
        }
        if is_large_deficit { self.take_serving(occupied, oversized) } else { None }
    }

    /// Takes the least used VM of the `pools` that runs no long-running task.
    pub(crate) fn take_serving(
        &mut self,
        occupied: &Occupancy,
        pools: &BTreeSet<&Arc<str>>,
    ) -> Option<&'a Vm> {
        take_best(&mut self.serving, occupied, pools)
    }
}

/// Takes the best VM among those of the `donors`.
fn take_best<'a>(
    pools: &mut BTreeMap<Arc<str>, Ranked<'a>>,
    occupied: &Occupancy,
    donors: &BTreeSet<&Arc<str>>,
) -> Option<&'a Vm> {
    let candidates = pools.iter().filter(|(pool, _)| donors.contains(pool));
    let best = candidates.filter_map(|(pool, ranked)| Some((ranked.best(occupied)?.0, pool)));
    let pool = best.min().map(|(_, pool)| Arc::clone(pool))?;
    pools.get_mut(&pool)?.take(occupied)
}

/// Failure domain of a VM.
pub(crate) fn domain(vm: &Vm) -> Domain {
    Domain::of(&vm.data_centre, &vm.labels)
}

/// VMs of a pool that may leave it, by failure domain.
#[derive(Debug, Default)]
pub(crate) struct Leavers<'a>(BTreeMap<Domain, Vec<&'a Vm>>);

impl<'a> Leavers<'a> {
    pub(crate) fn push(&mut self, vm: &'a Vm) {
        self.0.entry(domain(vm)).or_default().push(vm);
    }

    /// Takes a VM from the domain in which the pool has the most.
    pub(crate) fn take(&mut self, occupied: &Occupancy) -> Option<&'a Vm> {
        let groups = self.0.iter_mut().filter(|(_, group)| !group.is_empty());
        let (_, group) = groups.max_by_key(|(domain, _)| occupied.rank(domain))?;
        group.pop()
    }
}
