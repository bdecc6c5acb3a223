//! Which VM moves to which pool.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crosspath_border::vm::{Order, State, Vm};

use crate::intent::Intent;
use crate::planner::{Planner, View};
use crate::wave::reported;

/// Moves planned in one round at most; the platform takes a bounded number of orders a second.
const MAX_MOVES: usize = 12;

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
    pub(crate) fn choose_moves(&mut self, now: Duration, view: &View) {
        let mut balances = self.balances(view);
        self.tell(now, view, &balances);
        for _ in 0..MAX_MOVES {
            let neediest = balances.iter().max_by_key(|(_, balance)| balance.lacks());
            let Some((pool, balance)) = neediest else { return };
            if balance.lacks() == 0 {
                break;
            }
            let pool = Arc::clone(pool);
            let Some(vm) = self.donor(now, view, &balances, &pool) else { break };
            self.move_vm(now, &vm, &pool, &mut balances);
        }
        let Some(spare) = &view.spare else { return };
        for vm in &view.vms {
            let over = balances.get(&vm.pool).is_some_and(|balance| balance.has_over() > 0);
            if over && self.is_free(now, vm) && self.is_long_idle(now, &vm.name) {
                self.move_vm(now, vm, spare, &mut balances);
            }
        }
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
        self.intents.insert(Arc::clone(&vm.name), Intent::new(order, now));
    }

    fn balances(&self, view: &View) -> BTreeMap<Arc<str>, Balance> {
        let mut balances = BTreeMap::new();
        for pool in view.serving.iter().filter(|pool| view.pools.contains_key(*pool)) {
            let sizes = view.vms.iter().map(|vm| vm.capacity.cpu_millis);
            let largest = sizes.max().unwrap_or(1);
            let emptied = self.is_to_be_emptied(pool, view);
            let wants = self.demands.get(pool).map_or(0, |demand| demand.vms(largest, emptied));
            balances.insert(Arc::clone(pool), Balance { has: 0, wants });
        }
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
    ) -> Option<Vm> {
        let fits = |vm: &&Vm| {
            vm.pool != *needy && self.is_free(now, vm) && !self.immovable.contains(&vm.name)
        };
        let rank = |vm: &Vm| -> Option<(u32, u64)> {
            if Some(&vm.pool) == view.spare.as_ref() {
                return Some((0, 0));
            }
            if balances.get(&vm.pool)?.has_over() == 0 {
                return None;
            }
            let reported = reported(vm, view)?;
            let takes = reported.usable && reported.lasting == 0;
            takes.then_some((1, reported.used_millis))
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
