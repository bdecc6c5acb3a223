//! Look-up tables over a view, built once per planning round.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use crosspath_border::operator::Wave;
use crosspath_border::vm::Vm;
use crosspath_schedule::report;

use crate::planner::View;

/// A view with its look-up tables. Without them each look-up would scan all VMs, and a round over
/// 3,000 VMs in one slice would take seconds on an entry VM with half a core.
#[derive(Debug)]
pub(crate) struct Index<'a> {
    pub(crate) view: &'a View,
    listed: HashMap<&'a str, &'a Vm>,
    /// Reports of the pools' owners on VMs, by pool and VM name.
    reported: HashMap<(&'a str, &'a str), &'a report::Vm>,
    /// Listed VMs of each wave that have not been maintained in it.
    pending_maintenance: BTreeMap<u64, Vec<&'a Vm>>,
    awaits_maintenance: BTreeSet<&'a str>,
    /// Pools of the VMs in `awaits_maintenance`.
    pools_awaiting_maintenance: BTreeSet<&'a str>,
    /// VMs examined in this round so far, counting repeats.
    vm_visits: Cell<u64>,
}

impl<'a> Index<'a> {
    /// Indexes a view; `maintained` holds the VMs already maintained, by wave.
    pub(crate) fn new(view: &'a View, maintained: &BTreeMap<u64, BTreeSet<Arc<str>>>) -> Self {
        let mut reported = HashMap::new();
        for (pool, report) in &view.pools {
            reported.extend(report.vms.iter().map(|vm| ((&**pool, &*vm.name), vm)));
        }
        let pending_in = |wave: &Wave| -> Vec<&Vm> {
            let serviced = maintained.get(&wave.number);
            let is_pending = |vm: &&Vm| {
                wave.vms.contains(&vm.name)
                    && serviced.is_none_or(|serviced| !serviced.contains(&vm.name))
            };
            view.vms.iter().filter(is_pending).collect()
        };
        let pending_maintenance: BTreeMap<_, _> =
            view.waves.iter().map(|(wave, _)| (wave.number, pending_in(wave))).collect();
        let awaiting = || pending_maintenance.values().flatten();
        Self {
            view,
            listed: view.vms.iter().map(|vm| (&*vm.name, vm)).collect(),
            reported,
            awaits_maintenance: awaiting().map(|vm| &*vm.name).collect(),
            pools_awaiting_maintenance: awaiting().map(|vm| &*vm.pool).collect(),
            pending_maintenance,
            // Each wave examines all VMs once, and so does each of the two tables.
            vm_visits: Cell::new(((view.waves.len() + 2) * view.vms.len()) as u64),
        }
    }

    fn count_visits(&self, count: usize) {
        self.vm_visits.set(self.vm_visits.get() + count as u64);
    }

    /// VMs examined so far, counting repeats: a measure of the cost of the round.
    pub(crate) fn vm_visits(&self) -> u64 {
        self.vm_visits.get()
    }

    /// All VMs of the list; counts as one visit to each.
    pub(crate) fn vms(&self) -> &'a [Vm] {
        self.count_visits(self.view.vms.len());
        &self.view.vms
    }

    /// The VM's entry in the list; none if it is not listed.
    pub(crate) fn listed(&self, name: &str) -> Option<&'a Vm> {
        self.count_visits(1);
        self.listed.get(name).copied()
    }

    /// The report on the VM by the owner of its pool; none if that owner did not report it.
    pub(crate) fn reported(&self, vm: &Vm) -> Option<&'a report::Vm> {
        self.count_visits(1);
        self.reported.get(&(&*vm.pool, &*vm.name)).copied()
    }

    /// Listed VMs of a wave that have not been maintained in it.
    pub(crate) fn pending_maintenance(&self, wave: &Wave) -> &[&'a Vm] {
        let pending_maintenance: &[_] =
            self.pending_maintenance.get(&wave.number).map_or(&[], Vec::as_slice);
        self.count_visits(pending_maintenance.len());
        pending_maintenance
    }

    /// Whether some wave has yet to maintain the VM.
    pub(crate) fn awaits_maintenance(&self, vm: &Vm) -> bool {
        self.awaits_maintenance.contains(&*vm.name)
    }

    /// Whether some wave has yet to maintain a VM of the pool.
    pub(crate) fn has_pending_maintenance(&self, pool: &str) -> bool {
        self.pools_awaiting_maintenance.contains(pool)
    }

    /// Whether the VM is in the spare pool.
    pub(crate) fn is_spare(&self, vm: &Vm) -> bool {
        self.view.is_spare(vm)
    }

    /// Whether the owner of the VM's serving pool reports that nothing runs on it.
    pub(crate) fn is_vacant(&self, vm: &Vm) -> bool {
        self.reported(vm).is_some_and(report::Vm::is_vacant)
    }
}
