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
use crate::worker::{BLAME_LIMIT, Worker};

/// Share of a pool's workers at most that get no new work for what they did to earlier tasks.
const MAX_BLAMED_SHARE: f64 = 0.34;
/// Tasks in a row that fit nowhere after which a round of placing ends.
const MAX_REFUSED: usize = 96;

/// Cost of a worker for each task there that may crash it: more than being full, less than a place far from the data.
const SUSPECT_WEIGHT: f64 = 5.0;

/// Order of a waiting task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Key {
    priority: u32,
    /// Lasting tasks first: each moment away costs.
    brief: bool,
    /// Latest start with which the job can end in time, in ms since the process started.
    latest_ms: u64,
    pub(crate) task: TaskId,
    /// What it reserves.
    pub(crate) room: Resources,
    /// Whether any worker with room will do.
    anywhere: bool,
    gang: bool,
    /// Whether it waits behind all that is owed: its customer sent the job beyond its share.
    beyond: bool,
    /// Whether it runs alone, for what it may have done to workers before.
    pub(crate) alone: bool,
}

impl Ord for Key {
    fn cmp(&self, other: &Self) -> Ordering {
        let rank = |key: &Self| (key.priority, key.brief, key.latest_ms, key.task);
        rank(self).cmp(&rank(other))
    }
}

impl PartialOrd for Key {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Key {
    pub(crate) fn of(job: &Job, task: TaskId) -> Self {
        let step = &job.accepted.spec.steps[task.step as usize];
        let losses = job.task(task).map_or(0, |task| task.lost.len());
        let rest = job.chains_ms[task.step as usize];
        let due_ms = u64::try_from(job.due().as_millis()).unwrap_or(u64::MAX);
        Self {
            priority: job.accepted.policy.priority,
            brief: !step.long_running,
            latest_ms: due_ms.saturating_sub(rest),
            task,
            room: step.reserved(),
            anywhere: step.requires.is_none() && step.max_per_worker == 0,
            gang: step.gang,
            beyond: !job.owed && !step.long_running,
            // Members of a gang run side by side or not at all.
            alone: !step.gang && losses::runs_alone(losses),
        }
    }

    /// Whether it is a lasting task.
    pub(crate) fn lasts(&self) -> bool {
        !self.brief
    }

    /// Whether its job cannot end in time any more; such tasks go after all that can.
    fn is_late(&self, now: Duration) -> bool {
        self.brief && Duration::from_millis(self.latest_ms) < now
    }
}

/// What became of a waiting task in a round of placing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Placing {
    /// It was placed, or waits for something else than room.
    Settled,
    /// There is room for it, and its customer has as much running as it may.
    HeldBack,
    /// No worker has room for it.
    NoRoom,
    /// It runs alone, and on all workers something else has just been started.
    NotAlone,
}

/// Requests for room that nothing could satisfy in this pass.
#[derive(Debug, Default)]
struct Misfits(Vec<Resources>);

impl Misfits {
    fn cover(&self, room: &Resources) -> bool {
        self.0.iter().any(|misfit| misfit.fits(room))
    }

    fn add(&mut self, room: Resources) {
        if !self.cover(&room) {
            self.0.retain(|misfit| !room.fits(misfit));
            self.0.push(room);
        }
    }
}

impl Scheduler {
    pub(crate) fn place(&mut self, now: Duration) {
        self.weigh_blame(now);
        self.count_used(now);
        self.keep_free(now);
        let (beyond, owed): (Vec<_>, Vec<Key>) =
            self.waiting.iter().copied().partition(|key| key.beyond);
        let (late, timely): (Vec<_>, Vec<Key>) = owed.into_iter().partition(|key| key.is_late(now));
        let mut misfits = Misfits::default();
        let mut gang_tried = None;
        let mut refused = 0;
        self.unplaced_millis = 0;
        self.unplaced_lasting = 0;
        for key in timely.into_iter().chain(late).chain(beyond) {
            if key.gang {
                let gang = (key.task.job, key.task.occurrence, key.task.step);
                if gang_tried != Some(gang) {
                    gang_tried = Some(gang);
                    self.place_gang(now, key.task);
                }
                continue;
            }
            match self.place_one(now, key, &misfits) {
                Placing::Settled => {
                    refused = 0;
                    continue;
                }
                Placing::HeldBack => continue,
                Placing::NotAlone => {
                    self.unplaced_millis += key.room.cpu_millis;
                    continue;
                }
                Placing::NoRoom => {}
            }
            if key.anywhere {
                misfits.add(key.room);
            }
            self.unplaced_millis += key.room.cpu_millis;
            self.unplaced_lasting += u32::from(!key.brief);
            refused += 1;
            if refused >= MAX_REFUSED {
                return;
            }
        }
    }

    fn place_one(&mut self, now: Duration, key: Key, misfits: &Misfits) -> Placing {
        let id = key.task;
        let Some(task) = self.jobs.get(&id.job).and_then(|job| job.task(id)) else {
            return Placing::Settled;
        };
        if task.done || !task.runs.is_empty() {
            self.waiting.remove(&key);
            return Placing::Settled;
        }
        if now < task.not_before {
            self.place_again = true;
            return Placing::Settled;
        }
        if self.may_be_unseen(id) || !self.has_advice(now, id) {
            return Placing::Settled;
        }
        if !key.alone && misfits.cover(&key.room) {
            return Placing::NoRoom;
        }
        let room = self.step_of(id).map(|step| step.resources).unwrap_or_default();
        if self.holds_back(id.job) {
            self.hold_back(now, id.job, &room);
            return Placing::HeldBack;
        }
        let Some(worker) = self.best_worker(now, id) else {
            return if key.alone { Placing::NotAlone } else { Placing::NoRoom };
        };
        if !self.is_within_limit(id.job, &room) {
            self.hold_back(now, id.job, &room);
            return Placing::HeldBack;
        }
        let Some(task) = self.jobs.get(&id.job).and_then(|job| job.task(id)) else {
            return Placing::Settled;
        };
        let run = Self::next_run(self.epoch, task);
        let checkpoint = task.checkpoint.clone();
        self.waiting.remove(&key);
        self.start(now, id, run, &worker, checkpoint);
        Placing::Settled
    }

    /// Plans a run; it is sent once its place is kept in the log.
    fn start(
        &mut self,
        now: Duration,
        id: TaskId,
        run: u64,
        worker: &Arc<str>,
        checkpoint: Option<Arc<str>>,
    ) {
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        let room = job.accepted.spec.steps[id.step as usize].reserved();
        let Some(task) = job.task_mut(id) else { return };
        let freed = task.freed;
        let losses = task.lost.len();
        let Some(known) = self.workers.get_mut(worker) else { return };
        task.last_run = run;
        task.runs.push(Run {
            number: run,
            worker: Arc::clone(worker),
            life: known.life(),
            phase: Phase::Planned,
            sent: now,
            answered: now,
            stop_sent: Duration::ZERO,
            percent: 0,
            looked: now,
            progressed: now,
            checkpoint,
            gauge: 0,
            pace: 100,
        });
        log::info!(
            "event=run_placed task={id} run={run} worker={worker} waited_ms={} free_millis={}",
            now.saturating_sub(freed).as_millis(),
            known.free().cpu_millis
        );
        known.reserve(id, run, room);
        known.suspect(id, run, losses);
        self.note_used(id);
        self.commits.plan(now, id, run);
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
        run.sent = now;
        let checkpoint = run.checkpoint.clone();
        let Some(worker) = self.workers.get_mut(&run.worker) else { return };
        worker.leased_until(terms.over(now, terms.start));
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
        let room = step.reserved();
        let task = self.jobs.get(&id.job)?.task(id)?;
        let alone = !step.gang && losses::runs_alone(task.lost.len());
        let candidates = self
            .workers
            .values()
            .filter(|worker| room.fits(&worker.free()) && self.takes(now, worker, id, step))
            .filter(|worker| {
                if alone {
                    self.is_free_for_one(worker)
                } else {
                    !self.kept_free.contains(&worker.entry.id)
                }
            });
        let scored = candidates.map(|worker| (self.cost(now, worker, task, step), worker));
        let best = scored.min_by(|(a, one), (b, other)| {
            a.total_cmp(b).then_with(|| one.entry.id.cmp(&other.entry.id))
        });
        best.map(|(_, worker)| Arc::clone(&worker.entry.id))
    }

    /// Whether a task may go to a worker, room aside.
    pub(crate) fn takes(&self, now: Duration, worker: &Worker, id: TaskId, step: &Step) -> bool {
        let label = step.requires.as_ref().is_none_or(|label| worker.has_label(label));
        let spread = step.max_per_worker == 0 || on_worker(worker, id) < step.max_per_worker;
        label
            && spread
            && worker.is_usable(now)
            && !self.is_emptied(worker)
            && !worker.isolates()
            && !self.is_blamed(now, worker)
            && self.tickets.allows(id, &worker.entry.id)
    }

    fn is_blamed(&self, now: Duration, worker: &Worker) -> bool {
        self.blame_counts && worker.blame_at(now) >= BLAME_LIMIT
    }

    /// Notes whether blame keeps work from workers: not where most are blamed. Looked over once a round of
    /// placing: once for each worker, the looks would grow with the square of the pool.
    pub(crate) fn weigh_blame(&mut self, now: Duration) {
        let blamed = self.workers.values().filter(|other| other.blame_at(now) >= BLAME_LIMIT);
        let allowed = (self.workers.len() as f64 * MAX_BLAMED_SHARE).ceil();
        self.blame_counts = blamed.count() as f64 <= allowed;
    }

    /// Lower is better. Fuller workers first, so that others stay empty and can leave the pool; but tasks that were
    /// lost with several keep apart from each other, and others from them.
    fn cost(&self, now: Duration, worker: &Worker, task: &Task, step: &Step) -> f64 {
        let failed = task.failed_on.contains(&worker.entry.id);
        let apart = losses::keeps_apart(task.lost.len());
        let far = step.preferred_rack.as_ref().is_some_and(|rack| !worker.has_label(rack));
        let crowd = self.crowd(worker, step);
        let total = worker.entry.capacity.cpu_millis.max(1) as f64;
        let free = worker.free().cpu_millis as f64 / total;
        let weight = |bad: bool, weight: f64| if bad { weight } else { 0.0 };
        weight(far, 100.0)
            + weight(failed, 50.0)
            + weight(crowd, 10.0)
            + worker.blame_at(now) * 2.0
            + if apart { 1.0 - free } else { free }
            + SUSPECT_WEIGHT * worker.suspects.len() as f64
    }

    /// Whether fill work and tasks with a tail target would come together.
    fn crowd(&self, worker: &Worker, step: &Step) -> bool {
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
        let tasks = &job.instances[id.occurrence as usize].steps[id.step as usize].tasks;
        if tasks.iter().any(|task| !task.runs.is_empty() || task.done || now < task.not_before) {
            return;
        }
        if self.may_be_unseen(id) || !self.has_advice(now, id) {
            return;
        }
        let Some(job) = self.jobs.get(&id.job) else { return };
        let tasks = &job.instances[id.occurrence as usize].steps[id.step as usize].tasks;
        let run = tasks.iter().map(|task| Self::next_run(self.epoch, task)).max().unwrap_or(1);
        let checkpoint = tasks.iter().find_map(|task| task.checkpoint.clone());
        let Some(chosen) = self.gang_workers(now, id, step) else { return };
        let whole = (0..step.tasks).fold(Resources::default(), |sum, _| sum.plus(&step.resources));
        if self.holds_back(id.job) || !self.is_within_limit(id.job, &whole) {
            return self.hold_back(now, id.job, &whole);
        }
        for (index, worker) in (0..).zip(chosen) {
            let member = TaskId { index, ..id };
            let key = Key::of(&self.jobs[&id.job], member);
            self.waiting.remove(&key);
            self.start(now, member, run, &worker, checkpoint.clone());
        }
    }

    /// A worker for each member, in one rack where the step asks for it and one has room.
    fn gang_workers(&self, now: Duration, id: TaskId, step: &Step) -> Option<Vec<Arc<str>>> {
        let usable: Vec<_> =
            self.workers.values().filter(|worker| self.takes(now, worker, id, step)).collect();
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
                if let Some(chosen) = fill(&inside, step) {
                    return Some(chosen);
                }
            }
        }
        fill(&usable, step)
    }
}

/// Tasks of the same step and time on a worker.
fn on_worker(worker: &Worker, id: TaskId) -> u32 {
    let first = TaskId { index: 0, ..id };
    let last = TaskId { index: u32::MAX, ..id };
    let runs = worker.runs.range((first, 0)..=(last, u64::MAX));
    u32::try_from(runs.count()).unwrap_or(u32::MAX)
}

/// A worker for each of a step's tasks, or none.
fn fill(workers: &[&Worker], step: &Step) -> Option<Vec<Arc<str>>> {
    let room = step.reserved();
    let mut free: Vec<_> = workers.iter().map(|worker| (worker.free(), 0_u32)).collect();
    let mut chosen = Vec::new();
    for _ in 0..step.tasks {
        let fits = |(free, members): &(Resources, u32)| {
            room.fits(free) && (step.max_per_worker == 0 || *members < step.max_per_worker)
        };
        let at = free.iter().position(fits)?;
        free[at].0 = free[at].0.minus(&room);
        free[at].1 += 1;
        chosen.push(Arc::clone(&workers[at].entry.id));
    }
    Some(chosen)
}
