//! Selection of VMs to move between pools.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crosspath_border::vm::{Order, State, Vm};
use crosspath_spread::{Occupancy, with_reserve};

use crate::allocation::{Request, allocate};
use crate::donor::{Donors, Leavers, domain};
use crate::index::Index;
use crate::intent::Intent;
use crate::planner::{Planner, View};

/// Whether the VM serves no pool, as far as is known, until its state changes by itself.
fn is_out_of_service(vm: &Vm) -> bool {
    matches!(vm.state, State::Down | State::Unknown)
}

/// A pool whose deficit is below this share of its target gets no VM that another pool uses:
/// targets change all the time, and a move takes a VM out of service for some seconds.
const MIN_DEFICIT_SHARE: f64 = 0.1;
/// Time between two log lines on the same pool.
const LOG_INTERVAL: Duration = Duration::from_millis(1_000);

/// Current and target number of VMs of a pool.
#[derive(Debug, Clone, Default)]
struct Balance {
    /// Number of VMs, less what their workers do not give yet while they are warming up.
    size: u32,
    target: u32,
    /// Failure domains of its VMs; empty without a spread.
    occupied: Occupancy,
    /// Sum of the percentages that the workers of the pool do not give yet.
    cold_percent: u32,
}

impl Balance {
    fn deficit(&self) -> u32 {
        self.target.saturating_sub(self.size)
    }

    fn surplus(&self) -> u32 {
        self.size.saturating_sub(self.target)
    }

    fn add(&mut self, vm: &Vm, spread: bool) {
        self.size += 1;
        if spread {
            self.occupied.add(&domain(vm));
        }
    }

    fn remove(&mut self, vm: &Vm, spread: bool) {
        self.size = self.size.saturating_sub(1);
        if spread {
            self.occupied.remove(&domain(vm));
        }
    }
}

impl Planner {
    /// Plans at most `max_moves` moves: to pools with a deficit, and of idle VMs to the spare pool.
    /// Returns the total deficit that remains.
    ///
    /// Moves of idle VMs also keep to the platform's order rate: a refused order costs a call and a
    /// record, and delays the orders that pools with a deficit wait for.
    pub(crate) fn plan_moves(&mut self, now: Duration, index: &Index<'_>, max_moves: usize) -> u32 {
        let view = index.view;
        let mut balances = self.balances(index);
        self.log_pools(now, view, &balances);
        let mut remaining = max_moves - self.fill_deficits(now, index, max_moves, &mut balances);
        let total_deficit = balances.values().map(Balance::deficit).sum();
        let Some(spare) = &view.spare else { return total_deficit };
        let mut leavers: BTreeMap<&Arc<str>, Leavers<'_>> = BTreeMap::new();
        for vm in index.vms() {
            if remaining == 0 {
                break;
            }
            let oversized = balances.get(&vm.pool).is_some_and(|balance| balance.surplus() > 0);
            // A VM of an evacuated data centre gets no work and counts towards no pool, so no pool
            // loses capacity.
            let uncounted = view.is_evacuated(vm) && !view.is_spare(vm);
            let unneeded = oversized || uncounted;
            if unneeded && self.is_free(now, vm) && self.is_long_idle(now, &vm.name) {
                if self.settings.spread && !uncounted {
                    leavers.entry(&vm.pool).or_default().push(vm);
                    continue;
                }
                self.move_vm(now, vm, spare, view, &mut balances);
                remaining -= 1;
            }
        }
        for (pool, mut leavers) in leavers {
            while remaining > 0 {
                let Some(balance) = balances.get(pool) else { break };
                if balance.surplus() == 0 {
                    break;
                }
                let Some(vm) = leavers.take(&balance.occupied) else { break };
                self.move_vm(now, vm, spare, view, &mut balances);
                remaining -= 1;
            }
        }
        total_deficit
    }

    /// Moves VMs to the pools with the largest deficits: long-idle VMs of oversized pools, else
    /// spare VMs, else the least used VMs of oversized pools. Returns the number of planned moves.
    fn fill_deficits(
        &mut self,
        now: Duration,
        index: &Index<'_>,
        max_moves: usize,
        balances: &mut BTreeMap<Arc<str>, Balance>,
    ) -> usize {
        if balances.values().all(|balance| balance.deficit() == 0) {
            return 0;
        }
        let is_movable = |vm: &&Vm| {
            self.is_free(now, vm)
                && !self.immovable.contains(&vm.name)
                && !index.view.is_evacuated(vm)
        };
        let is_long_idle = |vm: &Vm| self.is_long_idle(now, &vm.name);
        let movable = index.vms().iter().filter(is_movable);
        let mut donors = Donors::new(index, movable, is_long_idle, self.settings.spread);
        for planned in 0..max_moves {
            let largest_deficit = balances.iter().max_by_key(|(_, balance)| balance.deficit());
            let Some((pool, balance)) = largest_deficit else { return planned };
            if balance.deficit() == 0 {
                return planned;
            }
            let is_large_deficit =
                f64::from(balance.deficit()) >= f64::from(balance.target) * MIN_DEFICIT_SHARE;
            let oversized_pools = balances.iter().filter(|(_, balance)| balance.surplus() > 0);
            let oversized = oversized_pools.map(|(donor, _)| donor).collect();
            let pool = Arc::clone(pool);
            let Some(vm) = donors.take(&balance.occupied, &oversized, is_large_deficit) else {
                return planned;
            };
            self.move_vm(now, vm, &pool, index.view, balances);
        }
        max_moves
    }

    /// Logs one line per pool every [`LOG_INTERVAL`].
    fn log_pools(&mut self, now: Duration, view: &View, balances: &BTreeMap<Arc<str>, Balance>) {
        if now < self.logged_at + LOG_INTERVAL {
            return;
        }
        self.logged_at = now;
        let spare = view.vms.iter().filter(|vm| view.is_spare(vm)).count();
        for (name, pool) in &view.pools {
            let balance = balances.get(name).cloned().unwrap_or_default();
            let Balance { size, target, cold_percent, .. } = balance;
            let usable = pool.vms.iter().filter(|vm| vm.usable);
            let free = usable.clone().map(|vm| vm.capacity.minus(&vm.used));
            let free = free.reduce(|sum, free| sum.plus(&free)).unwrap_or_default();
            let lacks = pool.lacks;
            log::info!(
                "event=pool pool={name} has={size} wants={target} running_millis={} waiting_millis={} blocked_millis={} usable={} free_millis={} free_mb={} waiting_mb={} cold_percent={cold_percent} unplaced_long_running={} spare={spare} lacks_cpu={} lacks_memory={} lacks_gpus={} fragmented={} ineligible={}",
                pool.running_millis,
                pool.waiting_millis,
                pool.blocked_millis,
                usable.count(),
                free.cpu_millis,
                free.mem_mb,
                pool.waiting.mem_mb,
                pool.unplaced_long_running,
                lacks.cpu,
                lacks.memory,
                lacks.gpus,
                lacks.fragmented,
                lacks.ineligible
            );
        }
    }

    fn move_vm(
        &mut self,
        now: Duration,
        vm: &Vm,
        pool: &Arc<str>,
        view: &View,
        balances: &mut BTreeMap<Arc<str>, Balance>,
    ) {
        log::info!("event=move_chosen vm={} from={} to={pool}", vm.name, vm.pool);
        let counted = !view.is_evacuated(vm);
        if let Some(balance) = balances.get_mut(&vm.pool).filter(|_| counted) {
            balance.remove(vm, self.settings.spread);
        }
        if let Some(balance) = balances.get_mut(pool) {
            balance.add(vm, self.settings.spread);
        }
        let order = Order::Move { pool: Arc::clone(pool) };
        self.intents.insert(Arc::clone(&vm.name), Intent::new(order, now, Duration::ZERO));
    }

    fn balances(&self, index: &Index<'_>) -> BTreeMap<Arc<str>, Balance> {
        let mut balances = self.target_sizes(index);
        for vm in index.vms() {
            let intent = self.intents.get(&vm.name);
            let pool = intent.and_then(Intent::target_pool).unwrap_or(&vm.pool);
            let unusable = index.reported(vm).is_some_and(|reported| !reported.usable);
            let in_maintenance = intent.is_some_and(|intent| intent.maintenance_wave().is_some());
            let evacuated = index.view.is_evacuated(vm);
            if is_out_of_service(vm)
                || (unusable && intent.is_none())
                || in_maintenance
                || evacuated
            {
                continue;
            }
            if let Some(balance) = balances.get_mut(pool) {
                balance.add(vm, self.settings.spread);
                balance.cold_percent += index.reported(vm).map_or(0, |vm| vm.cold_percent);
            }
        }
        for balance in balances.values_mut() {
            balance.size = balance.size.saturating_sub(balance.cold_percent / 100);
        }
        balances
    }

    /// Target size of each serving pool whose owner has reported; the current sizes are 0.
    fn target_sizes(&self, index: &Index<'_>) -> BTreeMap<Arc<str>, Balance> {
        let view = index.view;
        let largest = index.vms().iter().map(|vm| vm.capacity.cpu_millis).max().unwrap_or(1);
        let (data_centres, tolerated) = self.tolerated_data_centres(index);
        let request = |pool: &Arc<str>| {
            let demand = self.demands.get(pool)?;
            let awaits_maintenance = index.has_pending_maintenance(pool);
            let needed = demand.target_vms(largest, awaits_maintenance);
            let target = with_reserve(needed, data_centres, tolerated);
            Some(Request { minimum: demand.minimum(), target, priority: demand.priority })
        };
        let answering = view.serving.iter().filter(|pool| view.pools.contains_key(*pool));
        let requests: BTreeMap<_, _> =
            answering.filter_map(|pool| Some((Arc::clone(pool), request(pool)?))).collect();
        let assignable = index.vms().iter().filter(|vm| self.is_assignable(vm, &requests, view));
        let total = u32::try_from(assignable.count()).unwrap_or(u32::MAX);
        let allocated = allocate(&requests, total).into_iter();
        allocated.map(|(pool, target)| (pool, Balance { target, ..Balance::default() })).collect()
    }

    /// Number of data centres that pools can use, and of those whose loss they keep VMs for: fewer
    /// once some are lost or evacuated, since that is what the reserve was for.
    fn tolerated_data_centres(&self, index: &Index<'_>) -> (u32, u32) {
        if self.settings.tolerated_data_centres == 0 {
            return (0, 0);
        }
        let vms = index.vms().iter();
        let all: BTreeSet<_> = vms.clone().map(|vm| &vm.data_centre).collect();
        let usable = vms.filter(|vm| !is_out_of_service(vm) && !index.view.is_evacuated(vm));
        let usable: BTreeSet<_> = usable.map(|vm| &vm.data_centre).collect();
        let count = |set: &BTreeSet<_>| u32::try_from(set.len()).unwrap_or(u32::MAX);
        let missing = count(&all) - count(&usable);
        (count(&usable), self.settings.tolerated_data_centres.saturating_sub(missing))
    }

    /// Whether the VM counts towards the total that is allocated: it is in a pool with a request or
    /// in the spare pool, not down, not planned for maintenance, and not in an evacuated data
    /// centre.
    fn is_assignable(&self, vm: &Vm, requests: &BTreeMap<Arc<str>, Request>, view: &View) -> bool {
        let in_known_pool = requests.contains_key(&vm.pool) || view.is_spare(vm);
        let intent = self.intents.get(&vm.name);
        let in_maintenance = intent.is_some_and(|intent| intent.maintenance_wave().is_some());
        in_known_pool && !is_out_of_service(vm) && !in_maintenance && !view.is_evacuated(vm)
    }

    fn is_long_idle(&self, now: Duration, vm: &Arc<str>) -> bool {
        let since = self.idle_since.get(vm);
        since.is_some_and(|since| now > *since + self.settings.idle_timeout())
    }
}
