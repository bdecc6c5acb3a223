//! A simulated fleet that carries out the planner's orders, round by round.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crosspath_border::operator::Wave;
use crosspath_border::vm::{Error, Order, State, Verdict, Vm};
use crosspath_fleet::{Planner, Settings, View};
use crosspath_job::spec::Resources;
use crosspath_schedule::report;

pub(crate) const VM_MILLIS: u64 = 32_000;
/// Time for which an order takes a VM out of service.
pub(crate) const ORDER_DURATION: Duration = Duration::from_millis(2_000);
pub(crate) const ROUND: Duration = Duration::from_millis(200);

pub(crate) fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub(crate) fn settings() -> Settings {
    Settings {
        vm_second: 0.078,
        vm_move: 0.088,
        orders_per_s: 64.0,
        spread: false,
        tolerated_data_centres: 0,
    }
}

pub(crate) fn vm(name: &str, pool: &str) -> Vm {
    Vm {
        name: name.into(),
        pool: pool.into(),
        data_centre: "a".into(),
        state: State::Up,
        labels: Vec::new(),
        capacity: Resources { cpu_millis: VM_MILLIS, mem_mb: 1, gpus: 0 },
        worker: None,
    }
}

/// A simulated fleet and its planner.
#[derive(Debug)]
pub(crate) struct Harness {
    pub(crate) planner: Planner,
    pub(crate) view: View,
    pub(crate) now: Duration,
    /// Number of tasks on each VM, of 1 core each.
    pub(crate) tasks: BTreeMap<Arc<str>, u32>,
    /// Number of long-running tasks on each VM, included in `tasks`.
    pub(crate) long_running: BTreeMap<Arc<str>, u32>,
    /// Demand of each pool beyond its running tasks, in thousandths of a core.
    pub(crate) waiting: BTreeMap<Arc<str>, u64>,
    /// Part of that demand that is long-running.
    pub(crate) long_running_millis: BTreeMap<Arc<str>, u64>,
    /// Number of long-running tasks without a worker, by pool.
    pub(crate) unplaced_long_running: BTreeMap<Arc<str>, u32>,
    /// Number of VMs over which each pool has to spread a step.
    pub(crate) min_vms: BTreeMap<Arc<str>, u32>,
    down_until: BTreeMap<Arc<str>, Duration>,
    pub(crate) orders: Vec<(Duration, Arc<str>, Order)>,
    /// Percentage of its capacity that each cold VM does not give yet.
    pub(crate) cold_percent: BTreeMap<Arc<str>, u32>,
    /// Whether orders are carried out but their answers are lost.
    pub(crate) drop_answers: bool,
    /// VMs examined in the last round, counting repeats.
    pub(crate) vm_visits: u64,
}

impl Harness {
    pub(crate) fn new(vms: Vec<Vm>) -> Self {
        let serving: BTreeSet<_> =
            vms.iter().map(|vm| Arc::clone(&vm.pool)).filter(|pool| &**pool != "spare").collect();
        let view = View {
            vms,
            serving: serving.into_iter().collect(),
            spare: Some("spare".into()),
            ..View::default()
        };
        Self {
            planner: Planner::new(settings(), BTreeMap::new(), BTreeMap::new()),
            view,
            now: ms(1_000),
            tasks: BTreeMap::new(),
            long_running: BTreeMap::new(),
            waiting: BTreeMap::new(),
            long_running_millis: BTreeMap::new(),
            unplaced_long_running: BTreeMap::new(),
            min_vms: BTreeMap::new(),
            down_until: BTreeMap::new(),
            orders: Vec::new(),
            cold_percent: BTreeMap::new(),
            drop_answers: false,
            vm_visits: 0,
        }
    }

    /// Replaces the planner by one with another order rate.
    pub(crate) fn set_orders_per_s(&mut self, orders_per_s: f64) {
        let settings = Settings { orders_per_s, ..settings() };
        self.planner = Planner::new(settings, BTreeMap::new(), BTreeMap::new());
    }

    /// Replaces the planner by one that spreads the VMs of pools over failure domains.
    pub(crate) fn set_spread(&mut self) {
        self.set_reserve(0);
    }

    /// The same, with VMs kept for the loss of some data centres.
    pub(crate) fn set_reserve(&mut self, tolerated_data_centres: u32) {
        let settings = Settings { spread: true, tolerated_data_centres, ..settings() };
        self.planner = Planner::new(settings, BTreeMap::new(), BTreeMap::new());
    }

    /// Number of move orders to a pool so far.
    pub(crate) fn moves_ordered_to(&self, pool: &str) -> usize {
        let to = |order: &Order| matches!(order, Order::Move { pool: to } if &**to == pool);
        self.orders.iter().filter(|(_, _, order)| to(order)).count()
    }

    pub(crate) fn add_wave(&mut self, vms: &[&str], max_concurrent: u32) {
        let vms = vms.iter().map(|vm| (*vm).into()).collect();
        let wave = Wave { number: 1, vms, deadline_ms: 27_000, max_concurrent };
        self.view.waves = vec![(Arc::new(wave), self.now)];
    }

    fn report(&self, pool: &Arc<str>) -> report::Pool {
        let pool_vms = self.view.vms.iter().filter(|vm| vm.pool == *pool && vm.state == State::Up);
        let vms = pool_vms.map(|vm| {
            let tasks = self.tasks.get(&vm.name).copied().unwrap_or(0);
            let used_millis = u64::from(tasks) * 1_000;
            report::Vm {
                name: Arc::clone(&vm.name),
                cpu_millis: VM_MILLIS,
                used_millis,
                tasks,
                long_running: self.long_running.get(&vm.name).copied().unwrap_or(0),
                usable: true,
                confirmed: true,
                cold_percent: self.cold_percent.get(&vm.name).copied().unwrap_or(0),
                ..report::Vm::default()
            }
        });
        let vms: Vec<_> = vms.collect();
        report::Pool {
            running_millis: vms.iter().map(|vm| vm.used_millis).sum(),
            waiting_millis: self.waiting.get(pool).copied().unwrap_or(0),
            long_running_millis: self.long_running_millis.get(pool).copied().unwrap_or(0),
            unplaced_long_running: self.unplaced_long_running.get(pool).copied().unwrap_or(0),
            min_vms: self.min_vms.get(pool).copied().unwrap_or(0),
            vms,
            ..report::Pool::default()
        }
    }

    /// Ends the finite tasks on VMs that are to be vacated.
    pub(crate) fn vacate(&mut self) {
        for vm in self.planner.vms_to_vacate(&self.view.vms).into_values().flatten() {
            let long_running = self.long_running.get(&vm).copied().unwrap_or(0);
            self.tasks.insert(vm, long_running);
        }
    }

    /// Number of VMs in maintenance.
    pub(crate) fn in_maintenance(&self) -> usize {
        let under_way = self.orders.iter().filter(|(at, _, order)| {
            matches!(order, Order::Maintain { .. }) && self.now < *at + ORDER_DURATION
        });
        under_way.count()
    }

    /// Runs one round and carries out its orders. Returns the waves that are completed.
    pub(crate) fn round(&mut self) -> Vec<u64> {
        self.now += ROUND;
        for vm in &mut self.view.vms {
            let is_down = self.down_until.get(&vm.name).is_some_and(|until| self.now < *until);
            vm.state = if is_down { State::Maintenance } else { State::Up };
        }
        self.view.listed_at = self.now;
        let pools: Vec<_> = self.view.serving.clone();
        self.view.pools = pools.iter().map(|pool| (Arc::clone(pool), self.report(pool))).collect();
        let plan = self.planner.plan(self.now, &self.view);
        self.vm_visits = plan.vm_visits;
        for (name, order) in plan.orders {
            assert_eq!(self.tasks.get(&name).copied().unwrap_or(0), 0, "{name} is not vacant");
            let vm = self.view.vms.iter_mut().find(|vm| vm.name == name).expect("a listed VM");
            if let Order::Move { pool } = &order {
                vm.pool = Arc::clone(pool);
            }
            self.down_until.insert(Arc::clone(&name), self.now + ORDER_DURATION);
            let outcome = if self.drop_answers { Err(Error::NoAnswer) } else { Ok(Verdict::Done) };
            self.planner.record_outcome(self.now, &name, &order, outcome);
            self.orders.push((self.now, name, order));
        }
        plan.completed
    }

    pub(crate) fn pool_size(&self, pool: &str) -> usize {
        self.view.vms.iter().filter(|vm| &*vm.pool == pool).count()
    }
}
