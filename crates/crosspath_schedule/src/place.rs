//! Placement: which waiting task runs on which worker.

use std::cmp::Ordering;
use std::sync::Arc;
use std::time::Duration;

use crosspath_job::TaskId;
use crosspath_job::spec::{Resources, Step};

use crate::action::Action;
use crate::as_ms;
use crate::job::{Job, Phase, Run, Task};
use crate::losses;
use crate::overload::Rank;
use crate::scheduler::Scheduler;
use crate::warm_up::cold_cost;
use crate::worker::{QUARANTINE_THRESHOLD, Worker};

/// Maximum fraction of the shard's workers that may be quarantined for what they did to earlier
/// runs: failures, refused starts and stalls. If more workers qualify, none is quarantined.
const MAX_QUARANTINED_SHARE: f64 = 0.34;
/// Number of consecutive tasks without a fitting worker after which a round of placement ends.
const MAX_CONSECUTIVE_UNPLACED: usize = 96;

/// Cost that each suspect run adds to its worker: a run on probation of a task that may crash
/// workers. It weighs more than how full the worker is, and less than being off the rack that is
/// close to the data.
const SUSPECT_WEIGHT: f64 = 5.0;

/// Queue entry of a waiting task. Entries are ordered by priority, then long-running before finite
/// tasks, then by latest start and identifier. The other fields do not affect this order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Key {
    /// Priority from the job's policy; lower values go first.
    priority: u32,
    /// Whether the task ends by itself. Long-running tasks are placed first, as they are
    /// unavailable while they wait.
    finite: bool,
    /// Latest start with which the job meets its deadline, in ms since the process started.
    latest_start_ms: u64,
    pub(crate) task: TaskId,
    /// Resources that the task reserves on its worker.
    pub(crate) resources: Resources,
    /// Whether the task may run on any worker with enough free resources.
    pub(crate) unconstrained: bool,
    gang: bool,
    /// Whether the job is over its customer's share, so that the task is placed after all tasks
    /// within their customers' shares.
    over_share: bool,
    /// Whether the task is to be isolated, because workers were lost while they ran it.
    pub(crate) isolated: bool,
}

impl Ord for Key {
    fn cmp(&self, other: &Self) -> Ordering {
        let rank = |key: &Self| (key.priority, key.finite, key.latest_start_ms, key.task);
        rank(self).cmp(&rank(other))
    }
}

impl PartialOrd for Key {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Key {
    pub(crate) fn new(job: &Job, task: TaskId) -> Self {
        let step = &job.accepted.spec.steps[task.step as usize];
        let losses = job.task(task).map_or(0, |task| task.lost.len());
        let remaining_ms = job.critical_paths_ms[task.step as usize];
        let deadline_ms = as_ms(job.deadline());
        Self {
            priority: job.accepted.policy.priority,
            finite: !step.long_running,
            latest_start_ms: deadline_ms.saturating_sub(remaining_ms),
            task,
            resources: step.reserved(),
            unconstrained: step.requires.is_none() && step.max_per_worker == 0,
            gang: step.gang,
            over_share: !job.within_share && !step.long_running,
            // The members of a gang have to run at the same time, so they cannot be isolated.
            isolated: !step.gang && losses::needs_isolation(losses),
        }
    }

    /// Whether the task is a long-running one.
    pub(crate) fn is_long_running(&self) -> bool {
        !self.finite
    }

    /// Whether the job can no longer meet its deadline. Such tasks are placed after those of jobs
    /// that can.
    fn misses_deadline(&self, now: Duration) -> bool {
        self.finite && Duration::from_millis(self.latest_start_ms) < now
    }
}

/// Result of the attempt to place a waiting task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Attempt {
    /// The task was placed, needs no run, or waits for something other than a worker or quota.
    Settled,
    /// The allotment of its customer's maximum does not cover the task.
    QuotaBlocked,
    /// No eligible worker has enough free resources.
    NoCapacity,
    /// The task is to be isolated, and no eligible worker with enough free resources is free of
    /// runs on probation.
    NoIsolation,
    /// Only cold workers have room, and a warm one may become free before the latest start.
    WaitsForWarmUp,
    /// Workers that become free are left to a task of an earlier rank.
    Held,
}

/// The task is kept waiting for a warm worker although cold ones have room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct WaitsForWarmUp;

/// Minimal resource requests for which no worker was found in this round of placement. Larger ones
/// need not be tried.
#[derive(Debug, Default)]
struct Unplaceable(Vec<Resources>);

impl Unplaceable {
    fn covers(&self, resources: &Resources) -> bool {
        self.0.iter().any(|known| known.fits(resources))
    }

    fn add(&mut self, resources: Resources) {
        if !self.covers(&resources) {
            self.0.retain(|known| !resources.fits(known));
            self.0.push(resources);
        }
    }
}

impl Scheduler {
    /// Runs one round of placement.
    pub(crate) fn place(&mut self, now: Duration) {
        self.update_quarantine(now);
        // Before the count of usage forgets which customers the last round found blocked on quota.
        self.update_plan(now);
        self.recount_usage(now);
        self.reserve_for_isolation(now);
        self.count_cold_workers(now);
        self.place_in_order(now);
        // The round shows whether there is room for all.
        self.update_plan(now);
    }

    /// Tries to place all waiting tasks. Tasks within their customers' shares that can meet their
    /// deadline go first, then late ones, then those over the share. The round ends early after
    /// [`MAX_CONSECUTIVE_UNPLACED`] tasks without a fitting worker.
    fn place_in_order(&mut self, now: Duration) {
        // Rank after which tasks are held.
        let mut held = None;
        let mut unplaceable = Unplaceable::default();
        let mut attempted_gang = None;
        let mut unplaced = 0;
        self.unplaced_millis = 0;
        self.unplaced_long_running = 0;
        self.unreached = 0;
        let order = self.placement_order(now);
        let total = order.len();
        for (position, (rank, key)) in order.into_iter().enumerate() {
            if key.gang {
                let gang = (key.task.job, key.task.occurrence, key.task.step);
                if attempted_gang != Some(gang) {
                    attempted_gang = Some(gang);
                    self.place_gang(now, key.task);
                }
                continue;
            }
            // Tasks to be isolated have workers reserved for them.
            let attempt = if !key.isolated && held.is_some_and(|held| rank > held) {
                Attempt::Held
            } else {
                self.place_task(now, key, &unplaceable)
            };
            match attempt {
                Attempt::Settled => {
                    unplaced = 0;
                    continue;
                }
                Attempt::QuotaBlocked | Attempt::WaitsForWarmUp => continue,
                Attempt::NoIsolation => {
                    self.unplaced_millis =
                        self.unplaced_millis.saturating_add(key.resources.cpu_millis);
                    self.unplaced_long_running += u32::from(!key.finite);
                    continue;
                }
                Attempt::NoCapacity if key.unconstrained => {
                    unplaceable.add(key.resources);
                    let holds = self.overload.is_active()
                        && rank.is_chosen()
                        && key.finite
                        && self.overload.fits(&key.resources);
                    held = held.or(holds.then_some(rank));
                }
                // Held tasks count as unplaced, since nearly all behind them are held as well.
                Attempt::NoCapacity | Attempt::Held => {}
            }
            self.unplaced_millis = self.unplaced_millis.saturating_add(key.resources.cpu_millis);
            self.unplaced_long_running += u32::from(!key.finite);
            unplaced += 1;
            if unplaced >= MAX_CONSECUTIVE_UNPLACED {
                self.unreached = total - position - 1;
                return;
            }
        }
    }

    /// Waiting tasks in the order in which they get workers. While there is more work than room,
    /// jobs that are expected to end in time go first, see the module `overload`.
    fn placement_order(&self, now: Duration) -> Vec<(Rank, Key)> {
        let by_key = |key: &Key| {
            if key.over_share {
                Rank::LateOverShare
            } else if key.misses_deadline(now) {
                Rank::Late
            } else {
                Rank::Chosen
            }
        };
        let mut by_rank: [Vec<(u64, Key)>; Rank::COUNT] = Default::default();
        // Tasks of a step are next to each other.
        let mut previous = None;
        for key in &self.waiting {
            let job = key.task.job;
            let turn = match previous {
                Some((known, turn)) if known == job => turn,
                _ => self.overload.turn(job),
            };
            previous = Some((job, turn));
            let (rank, latest_start_ms) = match turn {
                Some(turn) => (turn.rank, turn.latest_start_ms),
                None => (by_key(key), key.latest_start_ms),
            };
            by_rank[rank as usize].push((latest_start_ms, *key));
        }
        if self.overload.is_active() {
            // Only the order among chosen jobs decides who is in time.
            for chosen in [Rank::Chosen, Rank::ChosenOverShare] {
                by_rank[chosen as usize].sort_by_key(|(latest_start_ms, key)| {
                    (key.priority, key.finite, *latest_start_ms, key.task)
                });
            }
        }
        let ranked = Rank::ALL.into_iter().zip(by_rank);
        ranked.flat_map(|(rank, keys)| keys.into_iter().map(move |(_, key)| (rank, key))).collect()
    }

    fn place_task(&mut self, now: Duration, key: Key, unplaceable: &Unplaceable) -> Attempt {
        let id = key.task;
        let Some(task) = self.jobs.get(&id.job).and_then(|job| job.task(id)) else {
            return Attempt::Settled;
        };
        if task.done || !task.runs.is_empty() {
            self.waiting.remove(&key);
            return Attempt::Settled;
        }
        if now < task.not_before {
            return Attempt::Settled;
        }
        if self.may_have_unreported_run(id) || !self.ensure_advice(now, id) {
            return Attempt::Settled;
        }
        if !key.isolated && unplaceable.covers(&key.resources) {
            return Attempt::NoCapacity;
        }
        let resources = self.step_of(id).map(|step| step.resources).unwrap_or_default();
        if self.is_quota_blocked(id.job) {
            self.block_on_quota(now, id.job, &resources);
            return Attempt::QuotaBlocked;
        }
        let worker = match self.best_worker(now, id) {
            Ok(Some(worker)) => worker,
            Ok(None) if key.isolated => return Attempt::NoIsolation,
            Ok(None) => return Attempt::NoCapacity,
            Err(WaitsForWarmUp) => return Attempt::WaitsForWarmUp,
        };
        if !self.is_within_quota(id.job, &resources) {
            self.block_on_quota(now, id.job, &resources);
            return Attempt::QuotaBlocked;
        }
        let Some(task) = self.jobs.get(&id.job).and_then(|job| job.task(id)) else {
            return Attempt::Settled;
        };
        let run = Self::next_run_number(self.epoch, task);
        let checkpoint = task.checkpoint.clone();
        self.waiting.remove(&key);
        self.plan_run(now, id, run, &worker, checkpoint);
        Attempt::Settled
    }

    /// Plans a run on a worker. Its start is sent once its placement record is durable.
    fn plan_run(
        &mut self,
        now: Duration,
        id: TaskId,
        run: u64,
        worker: &Arc<str>,
        checkpoint: Option<Arc<str>>,
    ) {
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        let resources = job.accepted.spec.steps[id.step as usize].reserved();
        let Some(task) = job.task_mut(id) else { return };
        let waiting_since = task.waiting_since;
        let losses = task.lost.len();
        let Some(known) = self.workers.get_mut(worker) else { return };
        task.last_run = run;
        task.runs.push(Run {
            number: run,
            worker: Arc::clone(worker),
            incarnation: known.incarnation(),
            phase: Phase::Planned,
            start_sent: now,
            answered: now,
            stop_sent: Duration::ZERO,
            percent: 0,
            last_seen: now,
            progressed: now,
            checkpoint,
            gauge: 0,
            speed_percent: 100,
        });
        log::info!(
            "event=run_placed task={id} run={run} worker={worker} waited_ms={} free_millis={}",
            now.saturating_sub(waiting_since).as_millis(),
            known.free().cpu_millis
        );
        known.reserve(id, run, resources);
        known.mark_suspect(id, run, losses);
        self.charge_quota(id);
        self.commits.plan_run(now, id, run);
    }

    /// Sends the start of a planned run, whose placement record is durable.
    pub(crate) fn send_start(&mut self, now: Duration, id: TaskId, number: u64) {
        let terms = self.settings.terms;
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        let text = Arc::clone(&job.accepted.spec.text);
        let Some(task) = job.task_mut(id) else { return };
        let Some(run) = task.runs.iter_mut().find(|run| run.number == number) else { return };
        if run.phase != Phase::Planned {
            return;
        }
        run.phase = Phase::Starting;
        run.start_sent = now;
        let checkpoint = run.checkpoint.clone();
        let Some(worker) = self.workers.get_mut(&run.worker) else { return };
        worker.extend_lease(terms.latest_expiry(now, terms.initial));
        let worker = worker.target();
        let ticket = self.tickets.ticket(id, &worker.id);
        self.actions.push(Action::Start {
            worker,
            task: id,
            run: number,
            text,
            checkpoint,
            ticket,
        });
    }

    /// The eligible worker with enough free resources and the lowest cost; ties go to the lowest
    /// identifier. An error if all such workers are cold and the task is better kept waiting.
    fn best_worker(&self, now: Duration, id: TaskId) -> Result<Option<Arc<str>>, WaitsForWarmUp> {
        let Some(step) = self.step_of(id) else { return Ok(None) };
        let Some(task) = self.jobs.get(&id.job).and_then(|job| job.task(id)) else {
            return Ok(None);
        };
        let resources = step.reserved();
        let isolated = !step.gang && losses::needs_isolation(task.lost.len());
        let accepts = |worker: &Worker| {
            let has_place = if isolated {
                self.can_isolate(worker)
            } else {
                !self.reserved_for_isolation.contains(&worker.entry.id)
            };
            has_place && self.is_eligible(now, worker, id, step)
        };
        let mut candidates: Vec<_> = self
            .workers
            .values()
            .filter(|worker| resources.fits(&worker.free()) && accepts(worker))
            .collect();
        let waits = |worker: &Worker| self.should_wait_for_warm_up(now, worker, id, step);
        if candidates.iter().any(|worker| waits(worker)) {
            let may_take = |worker: &Worker| {
                !worker.warm_up.is_cold(now)
                    && resources.fits(&worker.entry.capacity)
                    && accepts(worker)
            };
            if self.workers.values().any(may_take) {
                candidates.retain(|worker| !waits(worker));
                if candidates.is_empty() {
                    return Err(WaitsForWarmUp);
                }
            }
        }
        let spread = self.settings.spread.then(|| self.spread_of(id, step, &candidates));
        let scored = candidates.into_iter().map(|worker| {
            let in_domain = spread.as_ref().map_or(0.0, |spread| spread.cost(worker));
            (self.cost(now, worker, task, step) + in_domain, worker)
        });
        let best = scored.min_by(|(a, one), (b, other)| {
            a.total_cmp(b).then_with(|| one.entry.id.cmp(&other.entry.id))
        });
        Ok(best.map(|(_, worker)| Arc::clone(&worker.entry.id)))
    }

    /// Whether a task may run on a worker, regardless of free resources.
    pub(crate) fn is_eligible(
        &self,
        now: Duration,
        worker: &Worker,
        id: TaskId,
        step: &Step,
    ) -> bool {
        let has_label = step.requires.as_ref().is_none_or(|label| worker.has_label(label));
        let below_max = step.max_per_worker == 0 || siblings_on(worker, id) < step.max_per_worker;
        has_label
            && below_max
            && self.is_in_service(now, worker)
            && !worker.isolates()
            && !self.is_quarantined(now, worker)
            && self.tickets.allows(id, &worker.entry.id)
    }

    /// Whether a worker gets no new tasks because of its suspicion score.
    pub(crate) fn is_quarantined(&self, now: Duration, worker: &Worker) -> bool {
        self.quarantine_enabled && worker.suspicion_at(now) >= QUARANTINE_THRESHOLD
    }

    /// Decides whether workers are quarantined at all: not if more than [`MAX_QUARANTINED_SHARE`]
    /// would be. This is computed once per round of placement, because its cost would grow with the
    /// square of the number of workers if it were computed for each worker.
    pub(crate) fn update_quarantine(&mut self, now: Duration) {
        let quarantined =
            self.workers.values().filter(|other| other.suspicion_at(now) >= QUARANTINE_THRESHOLD);
        let allowed = (self.workers.len() as f64 * MAX_QUARANTINED_SHARE).ceil();
        self.quarantine_enabled = quarantined.count() as f64 <= allowed;
    }

    /// Cost of placing a task on a worker; lower is better. Fuller workers are preferred, so that
    /// others stay empty and can leave the pool. Separated tasks prefer emptier workers, and all
    /// tasks avoid workers with suspects.
    fn cost(&self, now: Duration, worker: &Worker, task: &Task, step: &Step) -> f64 {
        let failed = task.failed_on.contains(&worker.entry.id);
        let separate = losses::needs_separation(task.lost.len());
        let off_rack = step.preferred_rack.as_ref().is_some_and(|rack| !worker.has_label(rack));
        let mixed = self.mixes_best_effort(worker, step);
        let total = worker.entry.capacity.cpu_millis.max(1) as f64;
        let free = worker.free().cpu_millis as f64 / total;
        let weight = |applies: bool, weight: f64| if applies { weight } else { 0.0 };
        weight(off_rack, 100.0)
            + weight(failed, 50.0)
            + weight(mixed, 10.0)
            + worker.suspicion_at(now) * 2.0
            + if separate { 1.0 - free } else { free }
            + SUSPECT_WEIGHT * worker.suspect_runs.len() as f64
            + cold_cost(now, worker, step)
    }

    /// Whether the step would put best-effort runs and runs with a tail latency target on the same
    /// worker.
    fn mixes_best_effort(&self, worker: &Worker, step: &Step) -> bool {
        if !step.best_effort && step.tail_target_ms == 0 {
            return false;
        }
        worker.runs.keys().any(|(task, _)| {
            let other = self.step_of(*task);
            other.is_some_and(|other| {
                (step.best_effort && other.tail_target_ms > 0)
                    || (step.tail_target_ms > 0 && other.best_effort)
            })
        })
    }

    /// Places all members of the gang that the task belongs to, or none of them.
    fn place_gang(&mut self, now: Duration, id: TaskId) {
        let Some(job) = self.jobs.get(&id.job) else { return };
        let accepted = Arc::clone(&job.accepted);
        let step = &accepted.spec.steps[id.step as usize];
        let tasks = &job.occurrences[id.occurrence as usize].steps[id.step as usize].tasks;
        if tasks.iter().any(|task| !task.runs.is_empty() || task.done || now < task.not_before) {
            return;
        }
        if self.may_have_unreported_run(id) || !self.ensure_advice(now, id) {
            return;
        }
        let Some(job) = self.jobs.get(&id.job) else { return };
        let tasks = &job.occurrences[id.occurrence as usize].steps[id.step as usize].tasks;
        let run =
            tasks.iter().map(|task| Self::next_run_number(self.epoch, task)).max().unwrap_or(1);
        let checkpoint = tasks.iter().find_map(|task| task.checkpoint.clone());
        let Some(chosen) = self.gang_workers(now, id, step) else { return };
        let total = (0..step.tasks).fold(Resources::default(), |sum, _| sum.plus(&step.resources));
        if self.is_quota_blocked(id.job) || !self.is_within_quota(id.job, &total) {
            return self.block_on_quota(now, id.job, &total);
        }
        for (index, worker) in (0..).zip(chosen) {
            let member = TaskId { index, ..id };
            let key = Key::new(&self.jobs[&id.job], member);
            self.waiting.remove(&key);
            self.plan_run(now, member, run, &worker, checkpoint.clone());
        }
    }

    /// Chooses a worker for each member of a gang. If the step asks for a single rack, one that
    /// can take the whole gang is preferred.
    fn gang_workers(&self, now: Duration, id: TaskId, step: &Step) -> Option<Vec<Arc<str>>> {
        let usable: Vec<_> = self
            .workers
            .values()
            .filter(|worker| self.is_eligible(now, worker, id, step))
            .collect();
        if step.same_rack {
            let mut racks: Vec<_> =
                usable.iter().flat_map(|worker| worker.entry.labels.iter().cloned()).collect();
            racks.sort();
            racks.dedup();
            for rack in racks {
                let inside: Vec<_> =
                    usable.iter().copied().filter(|worker| worker.has_label(&rack)).collect();
                // A label that all workers share does not name a rack.
                if inside.len() == usable.len() && usable.len() > 1 {
                    continue;
                }
                if let Some(chosen) = assign_gang(&inside, step) {
                    return Some(chosen);
                }
            }
        }
        assign_gang(&usable, step)
    }
}

/// Number of runs of the same step and occurrence on a worker.
pub(crate) fn siblings_on(worker: &Worker, id: TaskId) -> u32 {
    let first = TaskId { index: 0, ..id };
    let last = TaskId { index: u32::MAX, ..id };
    let runs = worker.runs.range((first, 0)..=(last, u64::MAX));
    u32::try_from(runs.count()).unwrap_or(u32::MAX)
}

/// Assigns each of a step's tasks to the first worker with enough free resources; `None` if not all
/// of them fit.
fn assign_gang(workers: &[&Worker], step: &Step) -> Option<Vec<Arc<str>>> {
    let resources = step.reserved();
    let mut free: Vec<_> = workers.iter().map(|worker| (worker.free(), 0_u32)).collect();
    let mut chosen = Vec::new();
    for _ in 0..step.tasks {
        let fits = |(free, members): &(Resources, u32)| {
            resources.fits(free) && (step.max_per_worker == 0 || *members < step.max_per_worker)
        };
        let at = free.iter().position(fits)?;
        free[at].0 = free[at].0.minus(&resources);
        free[at].1 += 1;
        chosen.push(Arc::clone(&workers[at].entry.id));
    }
    Some(chosen)
}
