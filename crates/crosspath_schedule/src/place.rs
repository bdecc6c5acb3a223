//! Which waiting task goes where.

use std::cmp::Ordering;
use std::sync::Arc;
use std::time::Duration;

use crosspath_job::TaskId;
use crosspath_job::spec::{Resources, Step};

use crate::action::Action;
use crate::job::{Job, Phase, Run, Task};
use crate::losses;
use crate::scheduler::Scheduler;
use crate::worker::{QUARANTINE_THRESHOLD, Worker};

/// Share of a pool's workers at most that get no new work for what they did to earlier tasks.
const MAX_QUARANTINED_SHARE: f64 = 0.34;
/// Tasks in a row that fit nowhere after which a round of placing ends.
const MAX_CONSECUTIVE_UNPLACED: usize = 96;

/// Cost of a worker for each task there that may crash it: more than being full, less than a place far from the data.
const SUSPECT_WEIGHT: f64 = 5.0;

/// Order of a waiting task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Key {
    priority: u32,
    /// Lasting tasks first: each moment away costs.
    finite: bool,
    /// Latest start with which the job can end in time, in ms since the process started.
    latest_start_ms: u64,
    pub(crate) task: TaskId,
    /// What it reserves.
    pub(crate) resources: Resources,
    /// Whether any worker with room will do.
    unconstrained: bool,
    gang: bool,
    /// Whether it waits behind all that is owed: its customer sent the job beyond its share.
    over_share: bool,
    /// Whether it runs alone, for what it may have done to workers before.
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
        let deadline_ms = u64::try_from(job.deadline().as_millis()).unwrap_or(u64::MAX);
        Self {
            priority: job.accepted.policy.priority,
            finite: !step.long_running,
            latest_start_ms: deadline_ms.saturating_sub(remaining_ms),
            task,
            resources: step.reserved(),
            unconstrained: step.requires.is_none() && step.max_per_worker == 0,
            gang: step.gang,
            over_share: !job.within_share && !step.long_running,
            // Members of a gang run side by side or not at all.
            isolated: !step.gang && losses::needs_isolation(losses),
        }
    }

    /// Whether it is a lasting task.
    pub(crate) fn is_long_running(&self) -> bool {
        !self.finite
    }

    /// Whether its job cannot end in time any more; such tasks go after all that can.
    fn misses_deadline(&self, now: Duration) -> bool {
        self.finite && Duration::from_millis(self.latest_start_ms) < now
    }
}

/// What became of a waiting task in a round of placing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Attempt {
    /// It was placed, or waits for something else than room.
    Settled,
    /// There is room for it, and its customer has as much running as it may.
    QuotaBlocked,
    /// No worker has room for it.
    NoCapacity,
    /// It runs alone, and on all workers something else has just been started.
    NoIsolation,
}

/// Requests for room that nothing could satisfy in this pass.
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
    pub(crate) fn place(&mut self, now: Duration) {
        self.update_quarantine(now);
        self.recount_usage(now);
        self.reserve_for_isolation(now);
        let (over_share, within_share): (Vec<_>, Vec<Key>) =
            self.waiting.iter().copied().partition(|key| key.over_share);
        let (late, timely): (Vec<_>, Vec<Key>) =
            within_share.into_iter().partition(|key| key.misses_deadline(now));
        let mut unplaceable = Unplaceable::default();
        let mut attempted_gang = None;
        let mut unplaced = 0;
        self.unplaced_millis = 0;
        self.unplaced_long_running = 0;
        for key in timely.into_iter().chain(late).chain(over_share) {
            if key.gang {
                let gang = (key.task.job, key.task.occurrence, key.task.step);
                if attempted_gang != Some(gang) {
                    attempted_gang = Some(gang);
                    self.place_gang(now, key.task);
                }
                continue;
            }
            match self.place_task(now, key, &unplaceable) {
                Attempt::Settled => {
                    unplaced = 0;
                    continue;
                }
                Attempt::QuotaBlocked => continue,
                Attempt::NoIsolation => {
                    self.unplaced_millis += key.resources.cpu_millis;
                    continue;
                }
                Attempt::NoCapacity => {}
            }
            if key.unconstrained {
                unplaceable.add(key.resources);
            }
            self.unplaced_millis += key.resources.cpu_millis;
            self.unplaced_long_running += u32::from(!key.finite);
            unplaced += 1;
            if unplaced >= MAX_CONSECUTIVE_UNPLACED {
                return;
            }
        }
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
            self.placement_due = true;
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
        let Some(worker) = self.best_worker(now, id) else {
            return if key.isolated { Attempt::NoIsolation } else { Attempt::NoCapacity };
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

    /// Plans a run; it is sent once its place is kept in the log.
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

    /// Sends the start of a planned run, its place being kept.
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

    fn best_worker(&self, now: Duration, id: TaskId) -> Option<Arc<str>> {
        let step = self.step_of(id)?;
        let resources = step.reserved();
        let task = self.jobs.get(&id.job)?.task(id)?;
        let isolated = !step.gang && losses::needs_isolation(task.lost.len());
        let candidates = self
            .workers
            .values()
            .filter(|worker| {
                resources.fits(&worker.free()) && self.is_eligible(now, worker, id, step)
            })
            .filter(|worker| {
                if isolated {
                    self.can_isolate(worker)
                } else {
                    !self.reserved_for_isolation.contains(&worker.entry.id)
                }
            });
        let scored = candidates.map(|worker| (self.cost(now, worker, task, step), worker));
        let best = scored.min_by(|(a, one), (b, other)| {
            a.total_cmp(b).then_with(|| one.entry.id.cmp(&other.entry.id))
        });
        best.map(|(_, worker)| Arc::clone(&worker.entry.id))
    }

    /// Whether a task may go to a worker, room aside.
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
            && worker.is_usable(now)
            && !self.must_be_vacated(worker)
            && !worker.isolates()
            && !self.is_quarantined(now, worker)
            && self.tickets.allows(id, &worker.entry.id)
    }

    fn is_quarantined(&self, now: Duration, worker: &Worker) -> bool {
        self.quarantine_enabled && worker.suspicion_at(now) >= QUARANTINE_THRESHOLD
    }

    /// Notes whether blame keeps work from workers: not where most are blamed. Looked over once a round of
    /// placing: once for each worker, the looks would grow with the square of the pool.
    pub(crate) fn update_quarantine(&mut self, now: Duration) {
        let quarantined =
            self.workers.values().filter(|other| other.suspicion_at(now) >= QUARANTINE_THRESHOLD);
        let allowed = (self.workers.len() as f64 * MAX_QUARANTINED_SHARE).ceil();
        self.quarantine_enabled = quarantined.count() as f64 <= allowed;
    }

    /// Lower is better. Fuller workers first, so that others stay empty and can leave the pool; but tasks that were
    /// lost with several keep apart from each other, and others from them.
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
    }

    /// Whether fill work and tasks with a tail target would come together.
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

    /// A worker for each member, in one rack where the step asks for it and one has room.
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
                // A label that all share is no rack.
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

/// Tasks of the same step and time on a worker.
fn siblings_on(worker: &Worker, id: TaskId) -> u32 {
    let first = TaskId { index: 0, ..id };
    let last = TaskId { index: u32::MAX, ..id };
    let runs = worker.runs.range((first, 0)..=(last, u64::MAX));
    u32::try_from(runs.count()).unwrap_or(u32::MAX)
}

/// A worker for each of a step's tasks, or none.
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
