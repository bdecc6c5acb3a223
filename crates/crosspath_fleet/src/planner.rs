//! State of the planner and the planning round.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crosspath_border::operator::Wave;
use crosspath_border::vm::{Error, Order, State, Verdict, Vm};
use crosspath_schedule::report;

use crate::demand::Demand;
use crate::escalation::Escalation;
use crate::index::Index;
use crate::intent::{Intent, Stage};

/// Time after which an unanswered order is sent again; the repeated order is identical.
const ORDER_RETRY_INTERVAL: Duration = Duration::from_millis(1_200);
/// Time after which a VM whose order was done is planned for again even if the list does not show
/// the result. A move or maintenance takes about 2 s.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(5);
/// A list requested this long after an order shows its result.
const LIST_LAG: Duration = Duration::from_millis(800);
/// Time before a VM is ordered again after the platform answered that it is busy.
const BUSY_COOLDOWN: Duration = Duration::from_millis(1_000);
/// Longest time since the last round that counts towards the order budget.
const MAX_ROUND_INTERVAL: Duration = Duration::from_millis(400);
/// Time that vacating a VM may take beyond the moves of its long-running tasks; then the plan is
/// dropped and another VM is selected.
const VACATE_TIMEOUT: Duration = Duration::from_secs(8);

/// Parameters of a planner.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Cost of a VM in a serving pool per second, in the unit of `vm_move`.
    pub vm_second: f64,
    /// Cost of moving a VM from one pool to another, in the unit of `vm_second`.
    pub vm_move: f64,
    /// Orders per second that the platform accepts from all slices together.
    pub orders_per_s: f64,
    /// Whether the VMs of a pool are spread over data centres and racks.
    pub spread: bool,
    /// Number of data centres whose loss pools keep enough VMs for; 0 keeps none for it.
    pub tolerated_data_centres: u32,
}

impl Settings {
    /// Idle time after which a VM moves to the spare pool: half the time in which keeping it costs
    /// as much as moving it out and back, within 0.8 s and 30 s.
    pub(crate) fn idle_timeout(&self) -> Duration {
        let seconds = 2.0 * self.vm_move / self.vm_second.max(f64::MIN_POSITIVE);
        // A VM that was needed a moment ago is likely to be needed again.
        Duration::from_secs_f64((seconds * 0.5).clamp(0.8, 30.0))
    }
}

/// Input of a planning round.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// VMs of the slice, from the platform's list.
    pub vms: Vec<Vm>,
    /// Time at which the list was requested.
    pub listed_at: Duration,
    /// Reports of the pools whose owners answered in this round, made while
    /// [`Planner::vms_to_vacate`] was in force.
    pub pools: BTreeMap<Arc<str>, report::Pool>,
    /// Names of the pools that run tasks, which the spare pool does not.
    pub serving: Vec<Arc<str>>,
    /// Name of the spare pool, whose VMs run nothing; none if there is no such pool.
    pub spare: Option<Arc<str>>,
    /// Waves that are not completed, each with the time at which it was first seen.
    pub waves: Vec<(Arc<Wave>, Duration)>,
    /// Number of slices, each with a planner of its own; 0 counts as 1.
    pub slice_count: u32,
    /// VMs in other slices that are, or may be, in maintenance, by wave.
    pub in_maintenance_elsewhere: BTreeMap<u64, usize>,
    /// Data centres that get no new work.
    pub evacuated: Arc<BTreeSet<Arc<str>>>,
}

impl View {
    /// Whether a VM is in the spare pool, where nothing runs.
    pub(crate) fn is_spare(&self, vm: &Vm) -> bool {
        Some(&vm.pool) == self.spare.as_ref()
    }

    /// Whether the pool runs tasks.
    fn serves(&self, pool: &Arc<str>) -> bool {
        self.serving.contains(pool)
    }

    /// Whether the VM's data centre gets no new work.
    pub(crate) fn is_evacuated(&self, vm: &Vm) -> bool {
        self.evacuated.contains(&vm.data_centre)
    }
}

/// Result of a planning round.
#[derive(Debug, Clone, Default)]
pub struct Plan {
    /// Orders to send now, each with the name of its VM. Includes repeats of unanswered orders.
    pub orders: Vec<(Arc<str>, Order)>,
    /// Waves of which no VM is left to maintain.
    pub completed: Vec<u64>,
    /// VMs examined in the round, counting repeats.
    pub vm_visits: u64,
}

/// Answer of the platform to an order.
pub type Outcome = Result<Verdict, Error>;

/// Plans moves and maintenance for one slice of the fleet.
#[derive(Debug)]
pub struct Planner {
    pub(crate) settings: Settings,
    pub(crate) intents: BTreeMap<Arc<str>, Intent>,
    pub(crate) demands: BTreeMap<Arc<str>, Demand>,
    pub(crate) escalations: BTreeMap<Arc<str>, Escalation>,
    /// Time since which each vacant VM has been reported as vacant.
    pub(crate) idle_since: BTreeMap<Arc<str>, Duration>,
    /// VMs that have been maintained, by wave.
    pub(crate) maintained: BTreeMap<u64, BTreeSet<Arc<str>>>,
    /// VMs that must not be ordered before some time.
    pub(crate) cooldown_until: BTreeMap<Arc<str>, Duration>,
    /// VMs with an order that the platform rejected as impossible; they are no longer selected to
    /// fill deficits.
    pub(crate) immovable: BTreeSet<Arc<str>>,
    /// Time of the last log lines on the pools.
    pub(crate) logged_at: Duration,
    /// Time of the last planning round.
    last_round_at: Duration,
}

impl Planner {
    /// Creates a planner from the history of previous owners: the VMs maintained in each wave, and
    /// the time until which each VM must not be ordered.
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
            escalations: BTreeMap::new(),
            idle_since: BTreeMap::new(),
            maintained,
            cooldown_until,
            immovable: BTreeSet::new(),
            logged_at: Duration::ZERO,
            last_round_at: Duration::ZERO,
        }
    }

    /// VMs to be vacated, by pool. The pools' owners must apply this before they report for the
    /// next round.
    #[must_use]
    pub fn vms_to_vacate(&self, vms: &[Vm]) -> BTreeMap<Arc<str>, BTreeSet<Arc<str>>> {
        let mut vms_by_pool: BTreeMap<Arc<str>, BTreeSet<Arc<str>>> = BTreeMap::new();
        for vm in vms.iter().filter(|vm| self.intents.contains_key(&vm.name)) {
            vms_by_pool.entry(Arc::clone(&vm.pool)).or_default().insert(Arc::clone(&vm.name));
        }
        vms_by_pool
    }

    /// Ends the cooldown of a VM that a previous owner's order started.
    pub fn clear_cooldown(&mut self, vm: &Arc<str>) {
        self.cooldown_until.remove(vm);
    }

    /// Runs one planning round.
    pub fn plan(&mut self, now: Duration, view: &View) -> Plan {
        let index = Index::new(view, &self.maintained);
        self.retire_intents(now, &index);
        self.sample(now, &index);
        let max_orders = self.order_budget(now, view);
        // Deficits are served before maintenance, which can wait until its wave runs out of time.
        let total_deficit = self.plan_moves(now, &index, max_orders);
        self.plan_maintenance(now, &index, total_deficit);
        self.last_round_at = now;
        let orders = self.due_orders(now, &index);
        let completed = completed(&index);
        Plan { orders, completed, vm_visits: index.vm_visits() }
    }

    /// Number of orders that may be sent in this round, by the time since the last one; at least 1.
    fn order_budget(&self, now: Duration, view: &View) -> usize {
        let elapsed = now.saturating_sub(self.last_round_at).min(MAX_ROUND_INTERVAL);
        let rate = self.settings.orders_per_s / f64::from(view.slice_count.max(1));
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the number of orders is small and not negative"
        )]
        let orders = (rate * elapsed.as_secs_f64()) as usize;
        orders.max(1)
    }

    /// Records the answer to an order. Returns the wave for which the VM's maintenance is to be
    /// recorded as done, if any.
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
            // The order is sent again; the VM stays vacant until it is answered.
            Err(Error::NoAnswer) | Ok(Verdict::Fenced) => {}
            Err(Error::Refused) => intent.stage = Stage::Vacating,
        }
        None
    }

    /// Removes orders that are completed, timed out, or no longer useful.
    fn retire_intents(&mut self, now: Duration, index: &Index<'_>) {
        let view = index.view;
        self.intents.retain(|name, intent| {
            let Some(vm) = index.listed(name) else { return view.vms.is_empty() };
            match intent.stage {
                Stage::Vacating => {
                    // A long-running task was placed before the pool's owner learned of the plan;
                    // moving the task would cost more than choosing another VM.
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
                    let is_completed =
                        in_target_pool && vm.state == State::Up && view.listed_at > at + LIST_LAG;
                    !is_completed && now < at + COMPLETION_TIMEOUT
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

    /// Orders that are to be sent now: those of vacant VMs, and unanswered ones to be retried.
    fn due_orders(&mut self, now: Duration, index: &Index<'_>) -> Vec<(Arc<str>, Order)> {
        let mut orders = Vec::new();
        let view = index.view;
        let budget = |(wave, _): &(Arc<Wave>, Duration)| {
            (wave.number, self.maintenance_budget(now, wave, view))
        };
        let mut budgets: BTreeMap<_, _> = view.waves.iter().map(budget).collect();
        for (name, intent) in &mut self.intents {
            let due = match intent.stage {
                // Requires that the VM was selected in an earlier round, so that its pool's owner
                // knew of it when it reported. A spare VM has no pool owner.
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

    /// Whether an order may be planned for the VM: it is up, has no planned order, and is not in a
    /// cooldown.
    pub(crate) fn is_free(&self, now: Duration, vm: &Vm) -> bool {
        vm.state == State::Up
            && !self.intents.contains_key(&vm.name)
            && self.cooldown_until.get(&vm.name).is_none_or(|until| now >= *until)
    }
}

/// Waves of which no VM is left to maintain; none while the list is empty.
fn completed(index: &Index<'_>) -> Vec<u64> {
    if index.view.vms.is_empty() {
        return Vec::new();
    }
    let finished =
        index.view.waves.iter().filter(|(wave, _)| index.pending_maintenance(wave).is_empty());
    finished.map(|(wave, _)| wave.number).collect()
}
