//! Which VM is given to a pool that lacks some.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crosspath_border::vm::Vm;

use crate::index::Index;

/// How willingly a VM is given away: the least first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank<'a> {
    /// A VM that is idle while it awaits its upkeep can have it at once.
    awaits_maintenance: bool,
    used_millis: u64,
    name: &'a str,
}

/// VMs that may be given away in this round, in the order in which they are. Ranked once a round: the
/// next VM is then found by the pools, not by all VMs.
#[derive(Debug, Default)]
pub(crate) struct Donors<'a> {
    /// VMs of serving pools that have been idle for long, the best last.
    idle: BTreeMap<Arc<str>, Vec<(Rank<'a>, &'a Vm)>>,
    /// VMs that are off, the best last.
    spare: Vec<(Rank<'a>, &'a Vm)>,
    /// Other VMs of serving pools without lasting tasks, the best last.
    serving: BTreeMap<Arc<str>, Vec<(Rank<'a>, &'a Vm)>>,
}

impl<'a> Donors<'a> {
    /// Ranks VMs that are free to be moved; `is_long_idle` tells of those that go off if they are not given away.
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

    /// Takes a VM that has long been idle of the pools that have VMs `over` what they want, else one that is
    /// off, else, where `lacks_much`, the least used of those pools. A VM that is idle for so long goes off
    /// now, and to bring another in instead would be two moves where one will do.
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

/// Takes the best VM of some pools.
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
