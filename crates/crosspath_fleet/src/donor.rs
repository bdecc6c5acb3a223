//! Which VM is given to a pool that lacks some.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crosspath_border::vm::Vm;

use crate::index::Index;

/// How willingly a VM is given away: the least first.
type Rank = (bool, u64, Arc<str>);

/// VMs that may be given away in this round, in the order in which they are. Ranked once a round: the
/// next VM is then found by the pools, not by all VMs.
#[derive(Debug, Default)]
pub(crate) struct Donors<'a> {
    /// VMs that are off, the best last.
    off: Vec<(Rank, &'a Vm)>,
    /// VMs of serving pools without lasting tasks, the best last.
    serving: BTreeMap<Arc<str>, Vec<(Rank, &'a Vm)>>,
}

impl<'a> Donors<'a> {
    /// Ranks VMs that are free to be moved.
    pub(crate) fn new(index: &Index<'a>, free: impl Iterator<Item = &'a Vm>) -> Self {
        let mut donors = Self::default();
        for vm in free {
            // A VM that is idle while it awaits its upkeep can have it at once.
            let awaits = index.awaits_upkeep(vm);
            if index.is_off(vm) {
                donors.off.push(((awaits, 0, Arc::clone(&vm.name)), vm));
                continue;
            }
            let Some(reported) = index.reported(vm) else { continue };
            if reported.usable && reported.lasting == 0 {
                let rank = (awaits, reported.used_millis, Arc::clone(&vm.name));
                donors.serving.entry(Arc::clone(&vm.pool)).or_default().push((rank, vm));
            }
        }
        for ranked in donors.serving.values_mut().chain([&mut donors.off]) {
            ranked.sort_unstable_by_key(|(rank, _)| Reverse(rank.clone()));
        }
        donors
    }

    /// Takes a VM that is off, or else the best of the pools that have VMs `over` what they want.
    pub(crate) fn take(&mut self, over: &BTreeSet<&Arc<str>>) -> Option<&'a Vm> {
        if let Some((_, vm)) = self.off.pop() {
            return Some(vm);
        }
        let givers = self.serving.iter_mut().filter(|(pool, _)| over.contains(pool));
        let best = givers.filter(|(_, ranked)| !ranked.is_empty());
        let (_, ranked) = best.min_by(|(_, one), (_, other)| {
            one.last().map(|(rank, _)| rank).cmp(&other.last().map(|(rank, _)| rank))
        })?;
        ranked.pop().map(|(_, vm)| vm)
    }
}
