//! Which VM moves to which pool.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crosspath_border::vm::{Order, State, Vm};

use crate::intent::Intent;
use crate::planner::{Planner, View};
use crate::share::{Wish, divide};
use crate::wave::reported;

/// A pool that lacks less than this share of what it wants gets no VM that another pool uses: what
/// is wanted changes all the time, and a move costs some seconds of a VM.
const TOLERANCE: f64 = 0.1;
/// Between two lines on each pool.
const TELL_INTERVAL: Duration = Duration::from_millis(1_000);

/// VMs that a pool has and wants.
#[derive(Debug, Clone, Copy, Default)]
struct Balance {
    has: u32,
    wants: u32,
}

impl Balance {
    fn lacks(self) -> u32 {
        self.wants.saturating_sub(self.has)
    }

    fn has_over(self) -> u32 {
        self.has.saturating_sub(self.wants)
    }
}

impl Planner {
    /// Plans at most `most` moves to pools that lack VMs, and those of idle VMs to the spare pool.
    /// VMs that pools lack after that.
    pub(crate) fn choose_moves(&mut self, now: Duration, view: &View, most: usize) -> u32 {
        let mut balances = self.balances(view);
        self.tell(now, view, &balances);
        for _ in 0..most {
            let neediest = balances.iter().max_by_key(|(_, balance)| balance.lacks());
            let Some((pool, balance)) = neediest else { break };
            if balance.lacks() == 0 {
                break;
            }
            let lacks_much = f64::from(balance.lacks()) >= f64::from(balance.wants) * TOLERANCE;
            let pool = Arc::clone(pool);
            let Some(vm) = self.donor(now, view, &balances, &pool, lacks_much) else { break };
            self.move_vm(now, &vm, &pool, &mut balances);
        }
        let lacking = balances.values().copied().map(Balance::lacks).sum();
        let Some(spare) = &view.spare else { return lacking };
        for vm in &view.vms {
            let over = balances.get(&vm.pool).is_some_and(|balance| balance.has_over() > 0);
            if over && self.is_free(now, vm) && self.is_long_idle(now, &vm.name) {
                self.move_vm(now, vm, spare, &mut balances);
            }
        }
        lacking
    }

    /// One line a pool, now and then.
    fn tell(&mut self, now: Duration, view: &View, balances: &BTreeMap<Arc<str>, Balance>) {
        if now < self.told + TELL_INTERVAL {
            return;
        }
        self.told = now;
        for (name, pool) in &view.pools {
            let Balance { has, wants } = balances.get(name).copied().unwrap_or_default();
            log::info!(
                "event=pool pool={name} has={has} wants={wants} running_millis={} waiting_millis={} blocked_millis={}",
                pool.running_millis,
                pool.waiting_millis,
                pool.blocked_millis
            );
        }
    }

    fn move_vm(
        &mut self,
        now: Duration,
        vm: &Vm,
        pool: &Arc<str>,
        balances: &mut BTreeMap<Arc<str>, Balance>,
    ) {
        log::info!("event=move_chosen vm={} from={} to={pool}", vm.name, vm.pool);
        if let Some(balance) = balances.get_mut(&vm.pool) {
            balance.has = balance.has.saturating_sub(1);
        }
        if let Some(balance) = balances.get_mut(pool) {
            balance.has += 1;
        }
        let order = Order::Move { pool: Arc::clone(pool) };
        self.intents.insert(Arc::clone(&vm.name), Intent::new(order, now, Duration::ZERO));
    }

    fn balances(&self, view: &View) -> BTreeMap<Arc<str>, Balance> {
        let mut balances = self.wanted(view);
        for vm in &view.vms {
            let bound = self.intents.get(&vm.name);
            let pool = bound.and_then(Intent::moves_to).unwrap_or(&vm.pool);
            let unusable = reported(vm, view).is_some_and(|reported| !reported.usable);
            let out = bound.is_some_and(|intent| intent.upkeep_of().is_some());
            if vm.state == State::Down || (unusable && bound.is_none()) || out {
                continue;
            }
            if let Some(balance) = balances.get_mut(pool) {
                balance.has += 1;
            }
        }
        balances
    }

    /// What each pool whose owner answers is to have.
    fn wanted(&self, view: &View) -> BTreeMap<Arc<str>, Balance> {
        let largest = view.vms.iter().map(|vm| vm.capacity.cpu_millis).max().unwrap_or(1);
        let wish = |pool: &Arc<str>| {
            let demand = self.demands.get(pool)?;
            let emptied = self.is_to_be_emptied(pool, view);
            let wants = demand.vms(largest, emptied);
            Some(Wish { base: demand.base(), wants, priority: demand.priority })
        };
        let answering = view.serving.iter().filter(|pool| view.pools.contains_key(*pool));
        let wishes: BTreeMap<_, _> =
            answering.filter_map(|pool| Some((Arc::clone(pool), wish(pool)?))).collect();
        let there = view.vms.iter().filter(|vm| self.may_serve(vm, &wishes, view));
        let total = u32::try_from(there.count()).unwrap_or(u32::MAX);
        let given = divide(&wishes, total).into_iter();
        given.map(|(pool, wants)| (pool, Balance { has: 0, wants })).collect()
    }

    /// Whether a VM can be given to one of the pools now.
    fn may_serve(&self, vm: &Vm, wishes: &BTreeMap<Arc<str>, Wish>, view: &View) -> bool {
        let known = wishes.contains_key(&vm.pool) || view.is_off(vm);
        let intent = self.intents.get(&vm.name);
        let out = intent.is_some_and(|intent| intent.upkeep_of().is_some());
        known && vm.state != State::Down && !out
    }

    /// Whether a wave still has VMs of the pool to empty.
    fn is_to_be_emptied(&self, pool: &Arc<str>, view: &View) -> bool {
        let left = view.waves.iter().flat_map(|(wave, _)| self.left(wave, view));
        left.into_iter().any(|vm| vm.pool == *pool)
    }

    /// A VM for a pool that lacks some: off, or idle where more are than wanted, or nearly so.
    fn donor(
        &self,
        now: Duration,
        view: &View,
        balances: &BTreeMap<Arc<str>, Balance>,
        needy: &Arc<str>,
        lacks_much: bool,
    ) -> Option<Vm> {
        let fits = |vm: &&Vm| {
            vm.pool != *needy && self.is_free(now, vm) && !self.immovable.contains(&vm.name)
        };
        let awaits_upkeep: BTreeSet<_> = view
            .waves
            .iter()
            .flat_map(|(wave, _)| self.left(wave, view))
            .map(|vm| &vm.name)
            .collect();
        // A VM that is idle while it awaits its upkeep can have it at once.
        let rank = |vm: &Vm| -> Option<(u32, bool, u64)> {
            let awaits = awaits_upkeep.contains(&vm.name);
            if view.is_off(vm) {
                return Some((0, awaits, 0));
            }
            if !lacks_much || balances.get(&vm.pool)?.has_over() == 0 {
                return None;
            }
            let reported = reported(vm, view)?;
            let takes = reported.usable && reported.lasting == 0;
            takes.then_some((1, awaits, reported.used_millis))
        };
        let ranked = view.vms.iter().filter(fits).filter_map(|vm| Some((rank(vm)?, vm)));
        let best = ranked.min_by_key(|(rank, vm)| (*rank, Arc::clone(&vm.name)));
        best.map(|(_, vm)| vm.clone())
    }

    fn is_long_idle(&self, now: Duration, vm: &Arc<str>) -> bool {
        let since = self.idle_since.get(vm);
        since.is_some_and(|since| now > *since + self.settings.idle_pays())
    }
}
