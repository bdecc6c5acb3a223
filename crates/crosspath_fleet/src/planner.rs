//! The planner's state, and one round of it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crosspath_border::operator::Wave;
use crosspath_border::vm::{Error, Order, State, Verdict, Vm};
use crosspath_schedule::report;

use crate::demand::Demand;
use crate::index::Index;
use crate::intent::{Intent, Stage};

/// An order without an answer is given again after this; it is the same order.
const ORDER_RETRY_INTERVAL: Duration = Duration::from_millis(1_200);
/// A VM whose order is done is back in the list within this; a move or upkeep takes about 2 s.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(5);
/// A list that was asked for so long after an order shows it.
const LIST_LAG: Duration = Duration::from_millis(800);
/// Before a VM that was refused is tried again.
const BUSY_COOLDOWN: Duration = Duration::from_millis(1_000);
/// A longer time between two rounds gives no right to more orders.
const MAX_ROUND_INTERVAL: Duration = Duration::from_millis(400);
/// For which a VM that is to become vacant may take, beside the moves of its lasting tasks; after it
/// another is chosen.
const VACATE_TIMEOUT: Duration = Duration::from_secs(8);

/// What the planner is told once.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Cost of a VM in a serving pool, a second; in one unit with `vm_move`.
    pub vm_second: f64,
    /// Cost of a move.
    pub vm_move: f64,
    /// Orders that the platform takes a second, of all slices together.
    pub orders_per_s: f64,
}

impl Settings {
    /// Idle time after which moving a VM out and back costs less than keeping it.
    pub(crate) fn idle_timeout(&self) -> Duration {
        let seconds = 2.0 * self.vm_move / self.vm_second.max(f64::MIN_POSITIVE);
        // A VM that was wanted a moment ago is likely to be wanted again.
        Duration::from_secs_f64((seconds * 0.5).clamp(0.8, 30.0))
    }
}

/// What is known at a moment.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// All VMs as listed.
    pub vms: Vec<Vm>,
    /// When the list was asked for.
    pub listed_at: Duration,
    /// Pools whose owners answered just now, with the VMs that were to become vacant in force.
    pub pools: BTreeMap<Arc<str>, report::Pool>,
    /// Pools that serve.
    pub serving: Vec<Arc<str>>,
    /// The pool whose VMs are off.
    pub spare: Option<Arc<str>>,
    /// Waves and when they were first seen.
    pub waves: Vec<(Arc<Wave>, Duration)>,
    /// Slices of the fleet that have a planner each; 0 counts as 1.
    pub slice_count: u32,
    /// VMs of each wave in other slices that are, or may be, in their upkeep.
    pub in_maintenance_elsewhere: BTreeMap<u64, usize>,
    /// Data centres that get no new work.
    pub evacuated: Arc<BTreeSet<Arc<str>>>,
}

impl View {
    /// Whether a VM is off: in the spare pool, where nothing runs.
    pub(crate) fn is_spare(&self, vm: &Vm) -> bool {
        Some(&vm.pool) == self.spare.as_ref()
    }

    /// Whether a pool serves.
    fn serves(&self, pool: &Arc<str>) -> bool {
        self.serving.contains(pool)
    }

    /// Whether a VM's data centre gets no new work.
    pub(crate) fn is_evacuated(&self, vm: &Vm) -> bool {
        self.evacuated.contains(&vm.data_centre)
    }
}

/// What is to be done.
#[derive(Debug, Clone, Default)]
pub struct Plan {
    /// Orders to give.
    pub orders: Vec<(Arc<str>, Order)>,
    /// Waves of which no VM is left.
    pub completed: Vec<u64>,
    /// VMs that the round looked at, each as often as it did.
    pub vm_visits: u64,
}

/// How an order ended.
pub type Outcome = Result<Verdict, Error>;

/// Plans for the fleet.
#[derive(Debug)]
pub struct Planner {
    pub(crate) settings: Settings,
    pub(crate) intents: BTreeMap<Arc<str>, Intent>,
    pub(crate) demands: BTreeMap<Arc<str>, Demand>,
    pub(crate) idle_since: BTreeMap<Arc<str>, Duration>,
    /// VMs that have had their upkeep, by wave.
    pub(crate) maintained: BTreeMap<u64, BTreeSet<Arc<str>>>,
    pub(crate) cooldown_until: BTreeMap<Arc<str>, Duration>,
    pub(crate) immovable: BTreeSet<Arc<str>>,
    /// When pools were last told of in the log.
    pub(crate) logged_at: Duration,
    /// When the last round was.
    last_round_at: Duration,
}

impl Planner {
    /// A planner that knows which VMs have had their upkeep, and before when which VM must not be
    /// ordered about.
    #[must_use]
    pub fn new(
        settings: Settings,
        maintained: BTreeMap<u64, BTreeSet<Arc<str>>>,
        cooldown_until: BTreeMap<Arc<str>, Duration>,
    ) -> Self {
        Self {
            settings,
            intents: BTreeMap::new(),
            demands: BTreeMap::new(),
            idle_since: BTreeMap::new(),
            maintained,
            cooldown_until,
            immovable: BTreeSet::new(),
            logged_at: Duration::ZERO,
            last_round_at: Duration::ZERO,
        }
    }

    /// VMs that are to become vacant, by pool; to be in force when the pools report.
    #[must_use]
    pub fn vms_to_vacate(&self, vms: &[Vm]) -> BTreeMap<Arc<str>, BTreeSet<Arc<str>>> {
        let mut vms_by_pool: BTreeMap<Arc<str>, BTreeSet<Arc<str>>> = BTreeMap::new();
        for vm in vms.iter().filter(|vm| self.intents.contains_key(&vm.name)) {
            vms_by_pool.entry(Arc::clone(&vm.pool)).or_default().insert(Arc::clone(&vm.name));
        }
        vms_by_pool
    }

    /// A VM need not be left alone any more after an order of an owner before.
    pub fn clear_cooldown(&mut self, vm: &Arc<str>) {
        self.cooldown_until.remove(vm);
    }

    /// One round.
    pub fn plan(&mut self, now: Duration, view: &View) -> Plan {
        let index = Index::new(view, &self.maintained);
        self.retire_intents(now, &index);
        self.sample(now, &index);
        let max_orders = self.order_budget(now, view);
        // What pools lack comes before upkeep, which can wait for as long as its wave has time.
        let total_deficit = self.plan_moves(now, &index, max_orders);
        self.plan_maintenance(now, &index, total_deficit);
        self.last_round_at = now;
        let orders = self.due_orders(now, &index);
        let completed = completed(&index);
        Plan { orders, completed, vm_visits: index.vm_visits() }
    }

    /// Orders that may be given in a round, by the time since the last one.
    fn order_budget(&self, now: Duration, view: &View) -> usize {
        let elapsed = now.saturating_sub(self.last_round_at).min(MAX_ROUND_INTERVAL);
        let rate = self.settings.orders_per_s / f64::from(view.slice_count.max(1));
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "some orders")]
        let orders = (rate * elapsed.as_secs_f64()) as usize;
        orders.max(1)
    }

    /// Takes in how an order ended; whether upkeep of a wave is to be noted as had.
    pub fn record_outcome(
        &mut self,
        now: Duration,
        vm: &Arc<str>,
        order: &Order,
        outcome: Outcome,
    ) -> Option<u64> {
        let intent = self.intents.get_mut(vm)?;
        match outcome {
            Ok(Verdict::Done) => {
                intent.stage = Stage::Done { at: now };
                let Order::Maintain { wave } = *order else { return None };
                self.maintained.entry(wave).or_default().insert(Arc::clone(vm));
                return Some(wave);
            }
            Ok(Verdict::Busy) => {
                self.intents.remove(vm);
                self.cooldown_until.insert(Arc::clone(vm), now + BUSY_COOLDOWN);
            }
            Ok(Verdict::OtherWave) => {
                self.intents.remove(vm);
                if let Order::Maintain { wave } = *order {
                    self.maintained.entry(wave).or_default().insert(Arc::clone(vm));
                    return Some(wave);
                }
            }
            Ok(Verdict::Impossible) => {
                self.intents.remove(vm);
                self.immovable.insert(Arc::clone(vm));
            }
            // Given again; until it is answered the VM stays vacant.
            Err(Error::NoAnswer) | Ok(Verdict::Fenced) => {}
            Err(Error::Refused) => intent.stage = Stage::Vacating,
        }
        None
    }

    /// Ends plans that are through, and those that take too long.
    fn retire_intents(&mut self, now: Duration, index: &Index<'_>) {
        let view = index.view;
        self.intents.retain(|name, intent| {
            let Some(vm) = index.listed(name) else { return view.vms.is_empty() };
            match intent.stage {
                Stage::Vacating => {
                    // A lasting task came before the pool's owner knew; moving it costs more.
                    let would_disrupt = intent.target_pool().is_some()
                        && index.reported(vm).is_some_and(|reported| reported.long_running > 0);
                    let targets_serving_pool =
                        intent.target_pool().is_some_and(|pool| view.serves(pool));
                    let is_futile = targets_serving_pool && view.is_evacuated(vm);
                    !would_disrupt
                        && !is_futile
                        && now < intent.planned_at + VACATE_TIMEOUT + intent.time_to_vacate
                }
                Stage::Ordered { .. } => true,
                Stage::Done { at } => {
                    let in_target_pool = intent.target_pool().is_none_or(|pool| *pool == vm.pool);
                    // The list may lag behind the order.
                    let is_back =
                        in_target_pool && vm.state == State::Up && view.listed_at > at + LIST_LAG;
                    !is_back && now < at + COMPLETION_TIMEOUT
                }
            }
        });
    }

    fn sample(&mut self, now: Duration, index: &Index<'_>) {
        for (name, pool) in &index.view.pools {
            self.demands.entry(Arc::clone(name)).or_default().sample(now, pool);
            for vm in &pool.vms {
                let listed = index.listed(&vm.name);
                let evacuated = listed.is_some_and(|listed| index.view.is_evacuated(listed));
                if vm.is_vacant() && (vm.usable || evacuated) {
                    self.idle_since.entry(Arc::clone(&vm.name)).or_insert(now);
                } else {
                    self.idle_since.remove(&vm.name);
                }
            }
        }
    }

    /// Orders for VMs that are vacant.
    fn due_orders(&mut self, now: Duration, index: &Index<'_>) -> Vec<(Arc<str>, Order)> {
        let mut orders = Vec::new();
        let view = index.view;
        let budget = |(wave, _): &(Arc<Wave>, Duration)| {
            (wave.number, self.maintenance_budget(now, wave, view))
        };
        let mut budgets: BTreeMap<_, _> = view.waves.iter().map(budget).collect();
        for (name, intent) in &mut self.intents {
            let due = match intent.stage {
                // Chosen in an earlier round, so that the pool's owner knew when it reported; a VM
                // that is off has no owner.
                Stage::Vacating => index.listed(name).is_some_and(|vm| {
                    index.is_spare(vm) || (intent.planned_at < now && index.is_vacant(vm))
                }),
                Stage::Ordered { at } => now >= at + ORDER_RETRY_INTERVAL,
                Stage::Done { .. } => false,
            };
            if due && intent.consume_budget(&mut budgets) {
                intent.stage = Stage::Ordered { at: now };
                orders.push((Arc::clone(name), intent.order.clone()));
            }
        }
        orders
    }

    /// Whether a VM is free to be planned for.
    pub(crate) fn is_free(&self, now: Duration, vm: &Vm) -> bool {
        vm.state == State::Up
            && !self.intents.contains_key(&vm.name)
            && self.cooldown_until.get(&vm.name).is_none_or(|until| now >= *until)
    }
}

/// Waves of which no VM is left.
fn completed(index: &Index<'_>) -> Vec<u64> {
    if index.view.vms.is_empty() {
        return Vec::new();
    }
    let finished =
        index.view.waves.iter().filter(|(wave, _)| index.pending_maintenance(wave).is_empty());
    finished.map(|(wave, _)| wave.number).collect()
}
