//! Selection of the VM to move to a pool with a deficit.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crosspath_border::vm::Vm;

use crate::index::Index;

/// Order in which VMs are moved to other pools: the lowest rank is taken first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank<'a> {
    /// Such a VM is taken later: while it is idle, its maintenance can start at once.
    awaits_maintenance: bool,
    used_millis: u64,
    name: &'a str,
}

/// VMs that may be moved in this round, in order of preference. They are ranked once a round, so
/// that selecting one goes over the pools and not over all VMs.
#[derive(Debug, Default)]
pub(crate) struct Donors<'a> {
    /// VMs of serving pools that have been idle long enough, by pool, the best last.
    idle: BTreeMap<Arc<str>, Vec<(Rank<'a>, &'a Vm)>>,
    /// VMs of the spare pool, the best last.
    spare: Vec<(Rank<'a>, &'a Vm)>,
    /// Other VMs of serving pools that run no long-running tasks, by pool, the best last.
    serving: BTreeMap<Arc<str>, Vec<(Rank<'a>, &'a Vm)>>,
}

impl<'a> Donors<'a> {
    /// Ranks the `movable` VMs; `is_long_idle` selects those that would move to the spare pool if
    /// not used here.
    pub(crate) fn new(
        index: &Index<'a>,
        movable: impl Iterator<Item = &'a Vm>,
        is_long_idle: impl Fn(&Vm) -> bool,
    ) -> Self {
        let mut donors = Self::default();
        for vm in movable {
            let awaits_maintenance = index.awaits_maintenance(vm);
            let rank = |used_millis| Rank { awaits_maintenance, used_millis, name: &vm.name };
            if index.is_spare(vm) {
                donors.spare.push((rank(0), vm));
                continue;
            }
            let Some(reported) = index.reported(vm) else { continue };
            if reported.usable && reported.long_running == 0 {
                let rank = rank(reported.used_millis);
                let idle = reported.is_vacant() && is_long_idle(vm);
                let pools = if idle { &mut donors.idle } else { &mut donors.serving };
                pools.entry(Arc::clone(&vm.pool)).or_default().push((rank, vm));
            }
        }
        for ranked in
            donors.idle.values_mut().chain(donors.serving.values_mut()).chain([&mut donors.spare])
        {
            ranked.sort_unstable_by_key(|(rank, _)| Reverse(*rank));
        }
        donors
    }

    /// Takes the best VM: a long-idle one of an `oversized` pool, else a spare one, else, if
    /// `is_large_deficit`, the least used VM of an oversized pool. Long-idle VMs come first because
    /// they move to the spare pool now, and bringing in another VM instead would take two moves
    /// where one is enough.
    pub(crate) fn take(
        &mut self,
        oversized: &BTreeSet<&Arc<str>>,
        is_large_deficit: bool,
    ) -> Option<&'a Vm> {
        if let Some(vm) = pop_best(&mut self.idle, oversized) {
            return Some(vm);
        }
        if let Some((_, vm)) = self.spare.pop() {
            return Some(vm);
        }
        if is_large_deficit { pop_best(&mut self.serving, oversized) } else { None }
    }
}

/// Takes the best VM among those of the `oversized` pools.
fn pop_best<'a>(
    pools: &mut BTreeMap<Arc<str>, Vec<(Rank<'a>, &'a Vm)>>,
    oversized: &BTreeSet<&Arc<str>>,
) -> Option<&'a Vm> {
    let oversized_pools =
        pools.iter_mut().filter(|(pool, ranked)| oversized.contains(pool) && !ranked.is_empty());
    let (_, ranked) = oversized_pools.min_by(|(_, one), (_, other)| {
        one.last().map(|(rank, _)| rank).cmp(&other.last().map(|(rank, _)| rank))
    })?;
    ranked.pop().map(|(_, vm)| vm)
}
