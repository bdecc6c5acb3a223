//! Selection of VMs to move between pools.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crosspath_border::vm::{Order, State, Vm};
use crosspath_spread::{Occupancy, with_reserve};

use crate::allocation::{Request, allocate};
use crate::donor::{Donors, Leavers, domain};
use crate::escalation::{Escalation, Observation};
use crate::index::Index;
use crate::intent::Intent;
use crate::planner::{Planner, View};

/// Whether the VM serves no pool, as far as is known, until its state changes by itself.
fn is_out_of_service(vm: &Vm) -> bool {
    matches!(vm.state, State::Down | State::Unknown)
}

/// A pool whose deficit is below this share of its target gets no VM that another pool uses:
/// targets change all the time, and a move takes a VM out of service for some seconds. VMs for
/// long-running tasks without a worker are exempt.
const MIN_DEFICIT_SHARE: f64 = 0.1;
/// Time between two log lines on the same pool.
const LOG_INTERVAL: Duration = Duration::from_millis(1_000);

/// Current and target number of VMs of a pool.
#[derive(Debug, Clone, Default)]
struct Balance {
    /// Number of VMs, less what their workers do not give yet while they are warming up.
    size: u32,
    target: u32,
    /// Number of VMs that the pool gives to no other pool while it has no more.
    retained: u32,
    /// Size that long-running tasks without a worker need, in VMs that may be cold; 0 if each has a
    /// worker, or if further VMs do not help.
    urgent: u32,
    /// Number of VMs, also of those that are warming up.
    vms: u32,
    /// Number of VMs of the pool that take work and do not leave it.
    usable: u32,
    /// Failure domains of its VMs; empty without a spread.
    occupied: Occupancy,
    /// Sum of the percentages that the workers of the pool do not give yet.
    cold_percent: u32,
}

impl Balance {
    fn deficit(&self) -> u32 {
        self.target.saturating_sub(self.size)
    }

    /// VMs that long-running tasks without a worker lack.
    fn urgent_deficit(&self) -> u32 {
        self.urgent.saturating_sub(self.vms)
    }

    fn surplus(&self) -> u32 {
        self.size.saturating_sub(self.target.max(self.urgent))
    }

    /// Whether the pool may give a VM that it uses to one whose long-running tasks lack it. Of two
    /// such pools only the larger one gives, so that no VM moves back and forth between them.
    fn can_give_to(&self, other: &Self) -> bool {
        self.vms > self.retained && (self.vms > self.urgent || self.vms > other.vms + 1)
    }

    fn add(&mut self, vm: &Vm, spread: bool) {
        self.size += 1;
        self.vms += 1;
        if spread {
            self.occupied.add(&domain(vm));
        }
    }

    fn remove(&mut self, vm: &Vm, spread: bool) {
        self.size = self.size.saturating_sub(1);
        self.vms = self.vms.saturating_sub(1);
        if spread {
            self.occupied.remove(&domain(vm));
        }
    }
}

/// Pools whose balance meets a condition.
fn donors_where(
    balances: &BTreeMap<Arc<str>, Balance>,
    condition: impl Fn(&Balance) -> bool,
) -> BTreeSet<&Arc<str>> {
    let donors = balances.iter().filter(|(_, balance)| condition(balance));
    donors.map(|(pool, _)| pool).collect()
}

/// Takes the best VM for a pool with a deficit.
fn take_vm<'a>(
    donors: &mut Donors<'a>,
    balances: &BTreeMap<Arc<str>, Balance>,
    receiver: &Balance,
) -> Option<&'a Vm> {
    let is_urgent = receiver.urgent_deficit() > 0;
    let is_large_deficit =
        f64::from(receiver.deficit()) >= f64::from(receiver.target) * MIN_DEFICIT_SHARE;
    let oversized = donors_where(balances, |donor| donor.surplus() > 0);
    let vm = donors.take(&receiver.occupied, &oversized, is_large_deficit || is_urgent);
    if vm.is_some() || !is_urgent {
        return vm;
    }
    let able_to_give = donors_where(balances, |donor| donor.can_give_to(receiver));
    donors.take_serving(&receiver.occupied, &able_to_give)
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
        self.escalate(now, &mut balances);
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

    /// Moves VMs to pools whose long-running tasks lack them, then to the pools with the largest
    /// deficits: long-idle VMs of oversized pools, else spare VMs, else the least used VMs of
    /// oversized pools. Returns the number of planned moves.
    ///
    /// A pool may be oversized only by VMs that it cannot give away, because long-running tasks run
    /// on them. Long-running tasks without a worker therefore get VMs of any pool that has more
    /// than it must retain.
    fn fill_deficits(
        &mut self,
        now: Duration,
        index: &Index<'_>,
        max_moves: usize,
        balances: &mut BTreeMap<Arc<str>, Balance>,
    ) -> usize {
        if balances.values().all(|balance| balance.urgent_deficit() + balance.deficit() == 0) {
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
        // Pools with an urgent deficit for which no VM was found.
        let mut unserved: BTreeSet<Arc<str>> = BTreeSet::new();
        let mut planned = 0;
        while planned < max_moves {
            let neediest = balances
                .iter()
                .filter(|(pool, _)| !unserved.contains(*pool))
                .max_by_key(|(_, balance)| (balance.urgent_deficit(), balance.deficit()));
            let Some((pool, balance)) = neediest else { return planned };
            let is_urgent = balance.urgent_deficit() > 0;
            if balance.deficit() == 0 && !is_urgent {
                return planned;
            }
            let vm = take_vm(&mut donors, balances, balance);
            let pool = Arc::clone(pool);
            match vm {
                Some(vm) => {
                    self.move_vm(now, vm, &pool, index.view, balances);
                    planned += 1;
                }
                None if is_urgent => drop(unserved.insert(pool)),
                None => return planned,
            }
        }
        planned
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
            let Balance { size, target, urgent, cold_percent, .. } = balance;
            let usable = pool.vms.iter().filter(|vm| vm.usable);
            let free = usable.clone().map(|vm| vm.capacity.minus(&vm.used));
            let free = free.reduce(|sum, free| sum.plus(&free)).unwrap_or_default();
            let lacks = pool.lacks;
            log::info!(
                "event=pool pool={name} has={size} wants={target} urgent={urgent} running_millis={} waiting_millis={} blocked_millis={} usable={} free_millis={} free_mb={} waiting_mb={} cold_percent={cold_percent} unplaced_long_running={} spare={spare} lacks_cpu={} lacks_memory={} lacks_gpus={} fragmented={} ineligible={}",
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
                let reported = index.reported(vm);
                balance.add(vm, self.settings.spread);
                balance.cold_percent += reported.map_or(0, |vm| vm.cold_percent);
                let takes_work = *pool == vm.pool && reported.is_some_and(|vm| vm.usable);
                balance.usable += u32::from(takes_work);
            }
        }
        for balance in balances.values_mut() {
            balance.size = balance.size.saturating_sub(balance.cold_percent / 100);
        }
        balances
    }

    /// Updates the requests for VMs of pools with long-running tasks without a worker.
    fn escalate(&mut self, now: Duration, balances: &mut BTreeMap<Arc<str>, Balance>) {
        for (pool, balance) in balances {
            let Some(demand) = self.demands.get(pool) else { continue };
            let observation = Observation {
                unplaced: demand.unplaced_long_running,
                spread: demand.spread,
                vms: balance.vms,
                usable: balance.usable,
            };
            balance.retained = demand.retained_vms();
            let current = self.escalations.remove(pool);
            if let Some(escalation) = Escalation::update(current, now, &observation) {
                balance.urgent = escalation.vms();
                self.escalations.insert(Arc::clone(pool), escalation);
            }
        }
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
