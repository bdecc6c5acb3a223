//! Which VM has its upkeep next.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crosspath_border::operator::Wave;
use crosspath_border::vm::{Order, State, Vm};

use crate::index::Index;
use crate::intent::Intent;
use crate::planner::{Planner, View};

/// Time of one VM's upkeep with emptying it; a wave that has no more than this for each round of
/// VMs left does not wait for quiet pools.
const ROUND: Duration = Duration::from_millis(6_000);
/// VMs that stay ready in the spare pool for each that pools lack: a pool that lacks some is growing,
/// and upkeep takes as long as it takes a peak to come.
const OFF_PER_LACKING: usize = 3;
/// From the stop of a lasting task to its being at work elsewhere, when the next may be stopped: a
/// stop takes up to 0.9 s, and a start some 0.5 s.
const LASTING_MOVE: Duration = Duration::from_millis(1_500);
/// Capacity that a pool keeps for each unit of its forecast while VMs are taken out.
const KEEP: f64 = 1.1;

impl Planner {
    /// Plans upkeep, while pools lack `lacking` VMs.
    pub(crate) fn choose_upkeep(&mut self, now: Duration, index: &Index<'_>, lacking: u32) {
        let view = index.view;
        let mut staying = self.staying(index);
        let ready = |vm: &&Vm| view.is_off(vm) && self.is_free(now, vm) && !view.is_evacuated(vm);
        let off = index.vms().iter().filter(ready).count();
        let mut off_to_spare = off.saturating_sub(lacking as usize * OFF_PER_LACKING);
        for (wave, started) in &view.waves {
            let end = *started + Duration::from_millis(wave.deadline_ms);
            let mut slots = self.slots(now, wave, index);
            let hurries = hurries(now, wave, end, index);
            for vm in self.candidates(now, wave, index) {
                let emptying = time_to_empty(vm, index);
                let is_ready = is_ready(vm, index);
                if !slots.has_one(is_ready, emptying) {
                    continue;
                }
                let urgent = hurries || now + emptying + ROUND > end;
                let evacuated = view.is_evacuated(vm);
                let is_off = view.is_off(vm) && !evacuated;
                let kept = staying.get(&vm.pool).copied().unwrap_or(0);
                let kept = kept.saturating_sub(vm.capacity.cpu_millis);
                // Where no work comes, upkeep takes nothing from anyone.
                let spared =
                    evacuated || if is_off { off_to_spare > 0 } else { self.suffices(vm, kept) };
                if !urgent && !spared {
                    continue;
                }
                log::info!(
                    "event=upkeep_chosen vm={} wave={} urgent={urgent} ready={is_ready}",
                    vm.name,
                    wave.number
                );
                let order = Order::Maintain { wave: wave.number };
                self.intents.insert(Arc::clone(&vm.name), Intent::new(order, now, emptying));
                slots.take(is_ready, emptying);
                if !evacuated {
                    staying.insert(Arc::clone(&vm.pool), kept);
                }
                off_to_spare = off_to_spare.saturating_sub(usize::from(is_off));
            }
        }
    }

    /// VMs of a wave that may yet be chosen.
    fn slots(&self, now: Duration, wave: &Wave, index: &Index<'_>) -> Slots {
        let view = index.view;
        let chosen = |vm: &&Vm| {
            let intent = self.intents.get(&vm.name);
            intent.is_some_and(|intent| intent.is_emptying_for(wave.number))
        };
        let chosen: Vec<_> = index.vms().iter().filter(chosen).collect();
        let ready = chosen.iter().filter(|vm| is_ready(vm, index)).count();
        let orders = self.upkeep_orders_left(now, wave, view);
        let empty = orders.saturating_sub(chosen.len());
        Slots { ready: orders.saturating_sub(ready), empty, long: empty.div_ceil(2) }
    }

    /// Upkeep orders that the wave's maximum allows now.
    pub(crate) fn upkeep_orders_left(&self, now: Duration, wave: &Wave, view: &View) -> usize {
        let elsewhere = view.elsewhere.get(&wave.number).copied().unwrap_or(0);
        let under_way = self.under_way(now, wave, view) + elsewhere;
        (wave.max_concurrent.max(1) as usize).saturating_sub(under_way)
    }

    /// VMs of a wave that can be taken out now, in the order in which they are wanted out.
    fn candidates<'a>(&self, now: Duration, wave: &Wave, index: &Index<'a>) -> Vec<&'a Vm> {
        let mut found = index.left(wave).to_vec();
        found.retain(|vm| self.is_free(now, vm));
        found.sort_by_cached_key(|vm| {
            let quick = !is_long(time_to_empty(vm, index));
            (quick, burden(vm, index), Arc::clone(&vm.name))
        });
        found
    }

    /// VMs of a wave that are, or may be, in their upkeep, also by orders of an owner before.
    #[must_use]
    pub fn under_way(&self, now: Duration, wave: &Wave, view: &View) -> usize {
        let of_wave = view.vms.iter().filter(|vm| wave.vms.contains(&vm.name));
        let busy = of_wave.filter(|vm| {
            let intent = self.intents.get(&vm.name);
            let ordered = intent.is_some_and(|intent| intent.is_ordered_for(wave.number));
            let rests = self.not_before.get(&vm.name).is_some_and(|until| now < *until);
            ordered || vm.state == State::Maintenance || rests
        });
        busy.count()
    }

    /// Processor time of each pool's VMs that are up and stay, in thousandths of a core.
    fn staying(&self, index: &Index<'_>) -> BTreeMap<Arc<str>, u64> {
        let mut staying: BTreeMap<Arc<str>, u64> = BTreeMap::new();
        let stays = |vm: &&Vm| {
            vm.state == State::Up
                && !self.intents.contains_key(&vm.name)
                && !index.view.is_evacuated(vm)
        };
        for vm in index.vms().iter().filter(stays) {
            *staying.entry(Arc::clone(&vm.pool)).or_default() += vm.capacity.cpu_millis;
        }
        staying
    }

    /// Whether the pool of a VM has enough with `cpu_millis` thousandths of a core.
    fn suffices(&self, vm: &Vm, cpu_millis: u64) -> bool {
        let vm_millis = vm.capacity.cpu_millis;
        let demand = self.demands.get(&vm.pool);
        demand.is_some_and(|demand| cpu_millis as f64 >= demand.forecast(vm_millis) * KEEP)
    }
}

/// VMs of a wave that may yet be chosen. Those that are being emptied do not keep idle ones from their
/// upkeep: orders are counted when they are given.
#[derive(Debug)]
struct Slots {
    /// VMs on which nothing runs.
    ready: usize,
    /// VMs that must be emptied first.
    empty: usize,
    /// Those among them that take long: what takes long is begun with first, beside what is quick.
    long: usize,
}

impl Slots {
    fn has_one(&self, is_ready: bool, emptying: Duration) -> bool {
        if is_ready {
            return self.ready > 0;
        }
        self.empty > 0 && (self.long > 0 || !is_long(emptying))
    }

    fn take(&mut self, is_ready: bool, emptying: Duration) {
        if is_ready {
            self.ready -= 1;
            self.empty = self.empty.saturating_sub(1);
            return;
        }
        self.empty -= 1;
        self.long = self.long.saturating_sub(usize::from(is_long(emptying)));
    }
}

/// Whether a wave has no time left to wait for quiet pools.
fn hurries(now: Duration, wave: &Wave, end: Duration, index: &Index<'_>) -> bool {
    let share = (wave.max_concurrent / index.view.slices.max(1)).max(1);
    let rounds = index.left(wave).len().div_ceil(share as usize);
    now + ROUND * u32::try_from(rounds).unwrap_or(u32::MAX) > end
}

/// How long it takes to move the lasting tasks of a VM elsewhere, one by one.
fn time_to_empty(vm: &Vm, index: &Index<'_>) -> Duration {
    LASTING_MOVE * index.reported(vm).map_or(0, |vm| vm.lasting)
}

/// Whether a VM needs no emptying: its upkeep costs its pool 2 s of an idle VM.
fn is_ready(vm: &Vm, index: &Index<'_>) -> bool {
    index.is_off(vm) || index.is_vacant(vm)
}

/// Whether emptying a VM takes as long as a whole round of upkeep.
fn is_long(emptying: Duration) -> bool {
    emptying >= ROUND
}

/// Order in which VMs are taken out: idle ones first, those with lasting tasks last.
fn burden(vm: &Vm, index: &Index<'_>) -> (u32, u64) {
    if index.is_off(vm) {
        return (0, 0);
    }
    index.reported(vm).map_or((u32::MAX, 0), |vm| (1 + vm.lasting, vm.used_millis))
}
