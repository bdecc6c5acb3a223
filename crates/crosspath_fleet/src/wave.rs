//! Which VM has its upkeep next.

use std::sync::Arc;
use std::time::Duration;

use crosspath_border::operator::Wave;
use crosspath_border::vm::{Order, State, Vm};
use crosspath_schedule::report;

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
    /// VMs of a wave that stay and have not had their upkeep.
    pub(crate) fn left<'a>(&self, wave: &Wave, view: &'a View) -> Vec<&'a Vm> {
        let had = self.maintained.get(&wave.number);
        let is_left =
            |vm: &&Vm| wave.vms.contains(&vm.name) && had.is_none_or(|had| !had.contains(&vm.name));
        view.vms.iter().filter(is_left).collect()
    }

    /// Plans upkeep, while pools lack `lacking` VMs.
    pub(crate) fn choose_upkeep(&mut self, now: Duration, view: &View, lacking: u32) {
        let off = view.vms.iter().filter(|vm| view.is_off(vm) && self.is_free(now, vm)).count();
        let mut off_to_spare = off.saturating_sub(lacking as usize * OFF_PER_LACKING);
        for (wave, started) in &view.waves {
            let end = *started + Duration::from_millis(wave.deadline_ms);
            let mut slots = self.slots(now, wave, view);
            let hurries = self.hurries(now, wave, end, view);
            for vm in self.candidates(now, wave, view) {
                let emptying = time_to_empty(vm, view);
                let is_ready = is_ready(vm, view);
                if !slots.has_one(is_ready, emptying) {
                    continue;
                }
                let urgent = hurries || now + emptying + ROUND > end;
                let is_off = view.is_off(vm);
                let spared = if is_off { off_to_spare > 0 } else { self.can_spare(vm, view) };
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
                off_to_spare = off_to_spare.saturating_sub(usize::from(is_off));
            }
        }
    }

    /// VMs of a wave that may yet be chosen.
    fn slots(&self, now: Duration, wave: &Wave, view: &View) -> Slots {
        let chosen = |vm: &&Vm| {
            let intent = self.intents.get(&vm.name);
            intent.is_some_and(|intent| intent.is_emptying_for(wave.number))
        };
        let chosen: Vec<_> = view.vms.iter().filter(chosen).collect();
        let ready = chosen.iter().filter(|vm| is_ready(vm, view)).count();
        let orders = self.upkeep_orders_left(now, wave, view);
        let empty = orders.saturating_sub(chosen.len());
        Slots { ready: orders.saturating_sub(ready), empty, long: empty.div_ceil(2) }
    }

    /// Upkeep orders that the wave's maximum allows now.
    pub(crate) fn upkeep_orders_left(&self, now: Duration, wave: &Wave, view: &View) -> usize {
        let elsewhere = view.elsewhere.get(&wave.number).copied().unwrap_or(0);
        let under_way = self.under_way(now, wave, view) + elsewhere;
        (wave.maximum.max(1) as usize).saturating_sub(under_way)
    }

    /// Whether a wave has no time left to wait for quiet pools.
    fn hurries(&self, now: Duration, wave: &Wave, end: Duration, view: &View) -> bool {
        let share = (wave.maximum / view.slices.max(1)).max(1);
        let rounds = self.left(wave, view).len().div_ceil(share as usize);
        now + ROUND * u32::try_from(rounds).unwrap_or(u32::MAX) > end
    }

    /// VMs of a wave that can be taken out now, in the order in which they are wanted out.
    fn candidates<'a>(&self, now: Duration, wave: &Wave, view: &'a View) -> Vec<&'a Vm> {
        let mut found = self.left(wave, view);
        found.retain(|vm| self.is_free(now, vm));
        found.sort_by_key(|vm| {
            let quick = !is_long(time_to_empty(vm, view));
            (quick, burden(vm, view), Arc::clone(&vm.name))
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
            ordered || vm.state == State::Upkeep || rests
        });
        busy.count()
    }

    /// Whether the VM's pool keeps enough without it.
    pub(crate) fn can_spare(&self, vm: &Vm, view: &View) -> bool {
        let Some(demand) = self.demands.get(&vm.pool) else { return false };
        let staying = view.vms.iter().filter(|other| {
            other.pool == vm.pool
                && other.name != vm.name
                && other.state == State::Up
                && !self.intents.contains_key(&other.name)
        });
        let capacity: u64 = staying.map(|other| other.capacity.cpu_millis).sum();
        capacity as f64 >= demand.forecast() * KEEP
    }

    pub(crate) fn completed(&self, view: &View) -> Vec<u64> {
        if view.vms.is_empty() {
            return Vec::new();
        }
        let over = view.waves.iter().filter(|(wave, _)| self.left(wave, view).is_empty());
        over.map(|(wave, _)| wave.number).collect()
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

/// The pool's owner's word on a VM.
pub(crate) fn reported<'a>(vm: &Vm, view: &'a View) -> Option<&'a report::Vm> {
    view.pools.get(&vm.pool)?.vms.iter().find(|reported| reported.name == vm.name)
}

/// How long it takes to move the lasting tasks of a VM elsewhere, one by one.
fn time_to_empty(vm: &Vm, view: &View) -> Duration {
    LASTING_MOVE * reported(vm, view).map_or(0, |vm| vm.lasting)
}

/// Whether a VM needs no emptying: its upkeep costs its pool 2 s of an idle VM.
fn is_ready(vm: &Vm, view: &View) -> bool {
    view.is_off(vm) || reported(vm, view).is_some_and(report::Vm::is_vacant)
}

/// Whether emptying a VM takes as long as a whole round of upkeep.
fn is_long(emptying: Duration) -> bool {
    emptying >= ROUND
}

/// Order in which VMs are taken out: idle ones first, those with lasting tasks last.
fn burden(vm: &Vm, view: &View) -> (u32, u64) {
    if view.is_off(vm) {
        return (0, 0);
    }
    reported(vm, view).map_or((u32::MAX, 0), |vm| (1 + vm.lasting, vm.used_millis))
}
