//! Selection of VMs for maintenance.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crosspath_border::operator::Wave;
use crosspath_border::vm::{Order, State, Vm};

use crate::index::Index;
use crate::intent::Intent;
use crate::planner::{Planner, View};

/// Time to vacate and maintain one VM. A wave whose remaining time is less than this per batch of
/// remaining VMs no longer waits for pools to have capacity to spare.
const MAINTENANCE_DURATION: Duration = Duration::from_millis(6_000);
/// Spare VMs kept out of maintenance per VM that pools lack: a deficit means growing demand, and
/// maintenance takes as long as a peak takes to build up.
const SPARES_PER_MISSING_VM: usize = 3;
/// Time from stopping a long-running task until it runs elsewhere and the next one may be stopped:
/// a stop takes up to 0.9 s, and a start about 0.5 s.
const LONG_RUNNING_MOVE: Duration = Duration::from_millis(1_500);
/// Capacity that a pool keeps relative to its forecast while VMs are taken out for maintenance.
const CAPACITY_MARGIN: f64 = 1.1;

impl Planner {
    /// Plans maintenance, given the `total_deficit` of pools in VMs.
    pub(crate) fn plan_maintenance(
        &mut self,
        now: Duration,
        index: &Index<'_>,
        total_deficit: u32,
    ) {
        let view = index.view;
        let mut remaining_capacity = self.remaining_capacity(index);
        let ready = |vm: &&Vm| view.is_spare(vm) && self.is_free(now, vm) && !view.is_evacuated(vm);
        let spares = index.vms().iter().filter(ready).count();
        let mut spares_available =
            spares.saturating_sub(total_deficit as usize * SPARES_PER_MISSING_VM);
        for (wave, started) in &view.waves {
            let deadline = *started + Duration::from_millis(wave.deadline_ms);
            let mut slots = self.slots(now, wave, index);
            let is_behind_schedule = is_behind_schedule(now, wave, deadline, index);
            for vm in self.candidates(now, wave, index) {
                let time_to_vacate = time_to_vacate(vm, index);
                let is_ready = is_ready(vm, index);
                if !slots.has_slot(is_ready, time_to_vacate) {
                    continue;
                }
                let urgent =
                    is_behind_schedule || now + time_to_vacate + MAINTENANCE_DURATION > deadline;
                let evacuated = view.is_evacuated(vm);
                let is_spare = view.is_spare(vm) && !evacuated;
                let capacity_left = remaining_capacity.get(&vm.pool).copied().unwrap_or(0);
                let capacity_left = capacity_left.saturating_sub(vm.capacity.cpu_millis);
                // A VM of an evacuated data centre gets no work, so its maintenance costs no pool
                // any capacity.
                let is_affordable = evacuated
                    || if is_spare {
                        spares_available > 0
                    } else {
                        self.is_sufficient(vm, capacity_left)
                    };
                if !urgent && !is_affordable {
                    continue;
                }
                log::info!(
                    "event=upkeep_chosen vm={} wave={} urgent={urgent} ready={is_ready}",
                    vm.name,
                    wave.number
                );
                let order = Order::Maintain { wave: wave.number };
                self.intents.insert(Arc::clone(&vm.name), Intent::new(order, now, time_to_vacate));
                slots.take(is_ready, time_to_vacate);
                if !evacuated {
                    remaining_capacity.insert(Arc::clone(&vm.pool), capacity_left);
                }
                spares_available = spares_available.saturating_sub(usize::from(is_spare));
            }
        }
    }

    /// Number of VMs of a wave that may still be selected.
    fn slots(&self, now: Duration, wave: &Wave, index: &Index<'_>) -> Slots {
        let view = index.view;
        let chosen = |vm: &&Vm| {
            let intent = self.intents.get(&vm.name);
            intent.is_some_and(|intent| intent.is_vacating_for(wave.number))
        };
        let chosen: Vec<_> = index.vms().iter().filter(chosen).collect();
        let ready = chosen.iter().filter(|vm| is_ready(vm, index)).count();
        let orders = self.maintenance_budget(now, wave, view);
        let occupied = orders.saturating_sub(chosen.len());
        Slots { ready: orders.saturating_sub(ready), occupied, slow: occupied.div_ceil(2) }
    }

    /// Maintenance orders that the wave's concurrency limit allows now.
    pub(crate) fn maintenance_budget(&self, now: Duration, wave: &Wave, view: &View) -> usize {
        let in_maintenance_elsewhere =
            view.in_maintenance_elsewhere.get(&wave.number).copied().unwrap_or(0);
        let in_maintenance = self.count_in_maintenance(now, wave, view) + in_maintenance_elsewhere;
        (wave.max_concurrent.max(1) as usize).saturating_sub(in_maintenance)
    }

    /// VMs of a wave that can be selected now, in order of preference.
    fn candidates<'a>(&self, now: Duration, wave: &Wave, index: &Index<'a>) -> Vec<&'a Vm> {
        let mut found = index.pending_maintenance(wave).to_vec();
        found.retain(|vm| self.is_free(now, vm));
        found.sort_by_cached_key(|vm| {
            let is_quick = !is_slow_to_vacate(time_to_vacate(vm, index));
            (is_quick, disruption(vm, index), Arc::clone(&vm.name))
        });
        found
    }

    /// Number of VMs of a wave that are, or may be, in maintenance, including those ordered by a
    /// previous owner.
    #[must_use]
    pub fn count_in_maintenance(&self, now: Duration, wave: &Wave, view: &View) -> usize {
        let of_wave = view.vms.iter().filter(|vm| wave.vms.contains(&vm.name));
        let busy = of_wave.filter(|vm| {
            let intent = self.intents.get(&vm.name);
            let ordered = intent.is_some_and(|intent| intent.is_ordered_for(wave.number));
            let in_cooldown = self.cooldown_until.get(&vm.name).is_some_and(|until| now < *until);
            ordered || vm.state == State::Maintenance || in_cooldown
        });
        busy.count()
    }

    /// Processor time of the VMs that are up and not planned for, by pool, in thousandths of a
    /// core.
    fn remaining_capacity(&self, index: &Index<'_>) -> BTreeMap<Arc<str>, u64> {
        let mut remaining_capacity: BTreeMap<Arc<str>, u64> = BTreeMap::new();
        let is_staying = |vm: &&Vm| {
            vm.state == State::Up
                && !self.intents.contains_key(&vm.name)
                && !index.view.is_evacuated(vm)
        };
        for vm in index.vms().iter().filter(is_staying) {
            let remaining = remaining_capacity.entry(Arc::clone(&vm.pool)).or_default();
            *remaining = remaining.saturating_add(vm.capacity.cpu_millis);
        }
        remaining_capacity
    }

    /// Whether `cpu_millis` thousandths of a core are enough for the forecast demand of the VM's
    /// pool.
    fn is_sufficient(&self, vm: &Vm, cpu_millis: u64) -> bool {
        let vm_millis = vm.capacity.cpu_millis;
        let demand = self.demands.get(&vm.pool);
        demand
            .is_some_and(|demand| cpu_millis as f64 >= demand.forecast(vm_millis) * CAPACITY_MARGIN)
    }
}

/// Number of VMs of a wave that may still be selected. VMs that are being vacated do not delay the
/// maintenance of idle ones: the concurrency limit applies to orders when they are sent.
#[derive(Debug)]
struct Slots {
    /// VMs on which nothing runs.
    ready: usize,
    /// VMs that must be vacated first.
    occupied: usize,
    /// VMs among those that may be slow to vacate. Slow ones are started first, alongside quick
    /// ones.
    slow: usize,
}

impl Slots {
    fn has_slot(&self, is_ready: bool, time_to_vacate: Duration) -> bool {
        if is_ready {
            return self.ready > 0;
        }
        self.occupied > 0 && (self.slow > 0 || !is_slow_to_vacate(time_to_vacate))
    }

    fn take(&mut self, is_ready: bool, time_to_vacate: Duration) {
        if is_ready {
            self.ready -= 1;
            self.occupied = self.occupied.saturating_sub(1);
            return;
        }
        self.occupied -= 1;
        self.slow = self.slow.saturating_sub(usize::from(is_slow_to_vacate(time_to_vacate)));
    }
}

/// Whether a wave has no time left to wait for pools to have capacity to spare.
fn is_behind_schedule(now: Duration, wave: &Wave, deadline: Duration, index: &Index<'_>) -> bool {
    let share = (wave.max_concurrent / index.view.slice_count.max(1)).max(1);
    let batches = index.pending_maintenance(wave).len().div_ceil(share as usize);
    now + MAINTENANCE_DURATION * u32::try_from(batches).unwrap_or(u32::MAX) > deadline
}

/// Time to move the long-running tasks of a VM elsewhere, one by one.
fn time_to_vacate(vm: &Vm, index: &Index<'_>) -> Duration {
    LONG_RUNNING_MOVE * index.reported(vm).map_or(0, |vm| vm.long_running)
}

/// Whether the VM need not be vacated first: its maintenance costs the pool an idle VM for 2 s.
fn is_ready(vm: &Vm, index: &Index<'_>) -> bool {
    index.is_spare(vm) || index.is_vacant(vm)
}

/// Whether vacating takes at least as long as a whole batch of maintenance.
fn is_slow_to_vacate(time_to_vacate: Duration) -> bool {
    time_to_vacate >= MAINTENANCE_DURATION
}

/// Order of preference by disruption: spare VMs first, then by the number of long-running tasks and
/// the processor time in use; VMs without a report last.
fn disruption(vm: &Vm, index: &Index<'_>) -> (u32, u64) {
    if index.is_spare(vm) {
        return (0, 0);
    }
    index.reported(vm).map_or((u32::MAX, 0), |vm| (1 + vm.long_running, vm.used_millis))
}
