//! Overload policy: which jobs can still end in time, and how long a new one would wait.
//!
//! If all tasks are served in the order of their latest starts while there is more work than room,
//! each job gets its turn about when it becomes late, and nearly all end late. Here, jobs whose
//! work does not fit before the latest starts are deferred, so that the others end in time.
//!
//! The work of a job is the sum over its tasks of the expected duration times the share of the
//! shard's resources that the task reserves; it is the time for which the job would occupy all of
//! them. Jobs are taken in the order of their latest starts. Whenever the work up to a job exceeds
//! the time until its latest start, those with the lowest worth for their work are deferred
//! (Moore and Hodgson's rule for the fewest late jobs, with worth and a pool of workers).
//!
//! A deferred job waits behind the chosen ones and is considered again with every plan, so it is
//! chosen as soon as there is room. While the last round of placement found a worker for each task,
//! there is no plan, and the order is that of [`crate::place::Key`] alone.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;

use crosspath_job::record::{Accepted, Policy};
use crosspath_job::spec::{Resources, Spec};
use crosspath_job::{JobId, TaskId};

use crate::as_ms;
use crate::durations::{Durations, MAX_QUEUES};
use crate::job::{Job, Run, Task, allowed_time};
use crate::scheduler::Scheduler;

/// Maximum age of a plan. Runs end all the time, and each end changes little.
const PLAN_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum time between two plans, also if jobs were accepted since the last one.
const MIN_PLAN_INTERVAL: Duration = Duration::from_millis(25);
/// Minimum interval between two log lines of a shard.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Part of the resources that running tasks fill while others wait: what is left on a worker is
/// often too small for the next task.
const FILL: f64 = 0.85;
/// Part of the resources that chosen jobs may take. Below [`FILL`], because a chosen job that turns
/// out longer than expected makes those behind it late, and room that stays free is given to
/// deferred jobs.
const CHOSEN_SHARE: f64 = 0.5;
/// A job counts if it ends by so many times its objective, although it is late then.
pub(crate) const LATE_FACTOR: u32 = 3;
/// Fixed part of a job's worth, relative to that of an average job; the rest grows with its work.
const FIXED_WORTH: f64 = 0.3;
/// Maximum worth of a job, relative to that of an average job.
const MAX_WORTH: f64 = 4.0;
/// Factor by which a job is preferred that has started: what was done for it would be in vain.
const STARTED_PREFERENCE: f64 = 2.0;
/// Weight of a job in the mean of its queue's work.
const MEAN_WORK_WEIGHT: f64 = 0.02;

/// Expected treatment of a job that would be accepted now.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Backlog {
    /// Whether work waits for which the shard has no room, so that one more job delays others.
    pub is_full: bool,
    /// Time until the job's first tasks would start.
    pub wait: Duration,
    /// Time until the job would end.
    pub completion: Duration,
}

/// Number of jobs with tasks to start, by how the current plan treats them. All are zero while
/// there is room for all.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Jobs that are expected to end in time.
    pub chosen: usize,
    /// Jobs that could end in time, but not together with the chosen ones.
    pub deferred: usize,
    /// Jobs that can no longer end in time.
    pub late: usize,
}

/// How a job is served while there is more work than room; lower values go first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Rank {
    /// Expected to end in time, and within its customer's share.
    Chosen,
    /// Expected to end late, but while it still counts, and within its customer's share.
    Late,
    /// Expected to end too late to count, and within its customer's share.
    Worthless,
    /// Expected to end in time, but over its customer's share.
    ChosenOverShare,
    /// Expected to end late, but while it still counts, and over its customer's share.
    LateOverShare,
    /// Expected to end too late to count, and over its customer's share.
    WorthlessOverShare,
}

impl Rank {
    pub(crate) const COUNT: usize = 6;
    /// All ranks, in the order in which they are served.
    pub(crate) const ALL: [Self; Self::COUNT] = [
        Self::Chosen,
        Self::Late,
        Self::Worthless,
        Self::ChosenOverShare,
        Self::LateOverShare,
        Self::WorthlessOverShare,
    ];

    /// Whether the job is expected to end in time.
    pub(crate) fn is_chosen(self) -> bool {
        matches!(self, Self::Chosen | Self::ChosenOverShare)
    }
}

/// Place of a job in the current plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Turn {
    pub(crate) rank: Rank,
    /// Latest start by the learnt durations, in ms since the process started.
    pub(crate) latest_start_ms: u64,
}

/// Unstarted work of a job.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    job: JobId,
    /// Class of the job; all chosen work of lower classes is served first.
    class: Class,
    /// Latest start of the job's unstarted steps, in ms since the process started.
    latest_start_ms: u64,
    /// When the job stops to count, in ms since the process started.
    worthless_ms: u64,
    /// Work that has to be served by the latest start, in ms of all resources of the shard: that of
    /// unblocked tasks which are too many to run at the same time.
    before_start_ms: f64,
    /// All unstarted work, in ms of all resources of the shard.
    work_ms: f64,
    /// Worth for each ms of unstarted work.
    density: f64,
}

/// Order in which groups of jobs are served: whether over the customer's share, then the priority.
type Class = (bool, u32);

/// Work that was chosen, by class and latest start in ms; the base of forecasts for new jobs.
type Chosen = BTreeMap<(Class, u64), f64>;

/// State of the overload policy.
#[derive(Debug, Default)]
pub(crate) struct Overload {
    pub(crate) durations: Durations,
    /// Mean work of the jobs of each queue, in ms of one core, by expected durations.
    mean_work: BTreeMap<Arc<str>, f64>,
    /// Turns of the jobs with unstarted work; empty while there is room for all.
    turns: BTreeMap<JobId, Turn>,
    chosen: Chosen,
    /// Unstarted work of all jobs that still count, in ms of all resources of the shard.
    counting_ms: f64,
    counts: Counts,
    /// Resources when the plan was made.
    room: Room,
    /// Whether a plan was made since there last was room for all. It may have no turns.
    is_planned: bool,
    /// When the plan was made.
    planned_at: Duration,
    /// Whether a job was accepted since the plan was made.
    stale: bool,
    /// When the plan was last logged.
    logged_at: Duration,
}

impl Overload {
    /// Place of a job in the plan; `None` if it was accepted since, or if there is room for all.
    pub(crate) fn turn(&self, job: JobId) -> Option<Turn> {
        self.turns.get(&job).copied()
    }

    /// Whether there is a plan with turns, which means that there is more work than room.
    pub(crate) fn is_active(&self) -> bool {
        !self.turns.is_empty()
    }

    /// Whether a request fits on some worker that had room for finite tasks when the plan was made.
    pub(crate) fn fits(&self, resources: &Resources) -> bool {
        self.room.fits(resources)
    }

    fn clear(&mut self) {
        self.turns.clear();
        self.chosen.clear();
        self.counting_ms = 0.0;
        self.counts = Counts::default();
        self.room = Room::default();
        self.is_planned = false;
    }
}

/// Resources for finite tasks.
#[derive(Debug, Clone, Default)]
struct Room {
    /// Sum over the workers.
    total: Resources,
    /// Those of single workers that no other worker exceeds.
    largest: Vec<Resources>,
}

impl Room {
    fn add(&mut self, worker: Resources) {
        self.total.add(&worker);
        if !self.fits(&worker) {
            self.largest.retain(|other| !other.fits(&worker));
            self.largest.push(worker);
        }
    }

    /// Whether a request fits on one worker, once its finite tasks have ended.
    fn fits(&self, resources: &Resources) -> bool {
        self.largest.iter().any(|worker| resources.fits(worker))
    }
}

/// Share of `room` that `resources` take, by the scarcest of them.
fn dominant_share(resources: &Resources, room: &Resources) -> f64 {
    let share = |part: u64, whole: u64| part as f64 / whole.max(1) as f64;
    share(resources.cpu_millis, room.cpu_millis)
        .max(share(resources.mem_mb, room.mem_mb))
        .max(share(resources.gpus, room.gpus))
}

/// Pseudo-random number from 0.5 to 1.5 that stays the same for a job. Worth for work alone would
/// always defer the largest jobs first, whose callers would be served worst.
fn worth_variation(job: JobId) -> f64 {
    // The multiplier of Knuth's multiplicative hash, which spreads consecutive identifiers.
    let hash = job.0.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
    0.5 + hash as f64 / f64::from(u32::MAX)
}

/// Total order of densities, for the heap.
#[derive(Debug, Clone, Copy)]
struct Density(f64, usize);

impl Ord for Density {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0).then(self.1.cmp(&other.1))
    }
}
impl PartialOrd for Density {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl PartialEq for Density {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}
impl Eq for Density {}

/// Chooses the candidates that together end in time, given that nothing else waits. Returns whether
/// each is chosen, in the order of `candidates`, which are sorted by class and latest start.
fn choose(now_ms: u64, candidates: &[Candidate]) -> Vec<bool> {
    let mut chosen = vec![false; candidates.len()];
    let mut earlier_classes_ms = 0.0;
    let mut at = 0;
    while let Some(first) = candidates.get(at) {
        let class = candidates[at..].partition_point(|other| other.class == first.class) + at;
        let mut kept = BinaryHeap::new();
        let mut total_ms = earlier_classes_ms;
        for (index, candidate) in candidates.iter().enumerate().take(class).skip(at) {
            let available_ms =
                CHOSEN_SHARE * candidate.latest_start_ms.saturating_sub(now_ms) as f64;
            if earlier_classes_ms + candidate.before_start_ms > available_ms {
                continue;
            }
            let after_start_ms = candidate.work_ms - candidate.before_start_ms;
            chosen[index] = true;
            kept.push(Reverse(Density(candidate.density, index)));
            total_ms += candidate.work_ms;
            // Without the candidate, the others end in time.
            while chosen[index] && total_ms - after_start_ms > available_ms {
                let Some(Reverse(Density(_, worst))) = kept.pop() else { break };
                chosen[worst] = false;
                total_ms -= candidates[worst].work_ms;
            }
        }
        earlier_classes_ms = total_ms;
        at = class;
    }
    chosen
}

impl Scheduler {
    /// Number of jobs by how the current plan treats them.
    #[must_use]
    pub fn overload(&self) -> Counts {
        self.overload.counts
    }

    /// Expected treatment of a job that would be accepted now.
    #[must_use]
    pub fn backlog(&self, now: Duration, job: &Accepted) -> Backlog {
        let expected = |estimate_ms| self.overload.durations.expected_ms(&job.queue, estimate_ms);
        let steps = &job.spec.steps;
        let paths = job.spec.longest_paths_ms(|number| expected(steps[number].estimate_ms));
        let chain_ms = paths.iter().max().copied().unwrap_or_default();
        let chain = Duration::from_millis(chain_ms);
        if !self.lacks_workers() {
            return Backlog { is_full: false, wait: Duration::ZERO, completion: chain };
        }
        let policy = &job.policy;
        let slack_ms = allowed_ms(policy, chain_ms).saturating_sub(chain_ms);
        // A job within its customer's share; one over the share would wait longer.
        let class = (false, policy.priority);
        let ahead = self.overload.chosen.range(..=(class, as_ms(now).saturating_add(slack_ms)));
        let ahead_ms: f64 = ahead.map(|(_, work_ms)| work_ms).sum();
        let fits = ahead_ms <= CHOSEN_SHARE * slack_ms as f64;
        // A job that does not fit waits behind all jobs that still count.
        let ahead_ms = if fits { ahead_ms } else { self.overload.counting_ms };
        let room = self.room(now).total;
        let tasks = steps.iter().map(|step| {
            let task = dominant_share(&step.reserved(), &room) * expected(step.estimate_ms) as f64;
            f64::from(step.tasks) * task
        });
        let served_in = |work_ms: f64| {
            Duration::try_from_secs_f64(work_ms / FILL / 1_000.0).unwrap_or(Duration::MAX)
        };
        let wait = served_in(ahead_ms);
        let completion = wait.saturating_add(chain.max(served_in(tasks.sum())));
        Backlog { is_full: true, wait, completion }
    }

    /// Notes a job that was accepted, for the mean of its queue's work.
    pub(crate) fn note_accepted(&mut self, id: JobId) {
        if !self.settings.prefer_feasible {
            return;
        }
        self.overload.stale = true;
        let Some(job) = self.jobs.get(&id) else { return };
        let work = core_ms(&job.accepted.spec, &self.expected_ms(&job.accepted));
        let queue = Arc::clone(&job.accepted.queue);
        let means = &mut self.overload.mean_work;
        if !means.contains_key(&queue) && means.len() >= MAX_QUEUES {
            return;
        }
        let mean = means.entry(queue).or_insert(work);
        *mean += (work - *mean) * MEAN_WORK_WEIGHT;
    }

    /// Takes in the duration of a run that ended successfully, from its start order on.
    pub(crate) fn learn_duration(&mut self, now: Duration, task: TaskId, run: &Run) {
        if !self.settings.prefer_feasible {
            return;
        }
        let Some(job) = self.jobs.get(&task.job) else { return };
        let estimate_ms = job.accepted.spec.steps[task.step as usize].estimate_ms;
        let actual = now.saturating_sub(run.start_sent);
        self.overload.durations.record(&job.accepted.queue, estimate_ms, actual);
    }

    /// Makes a new plan if the last one is too old, or drops it if there is room for all.
    pub(crate) fn update_plan(&mut self, now: Duration) {
        if !self.settings.prefer_feasible {
            return;
        }
        if !self.lacks_workers() {
            return self.overload.clear();
        }
        let interval = if self.overload.stale { MIN_PLAN_INTERVAL } else { PLAN_INTERVAL };
        if self.overload.is_planned && now < self.overload.planned_at + interval {
            // Another round considers the new job, even if nothing else happens.
            self.placement_due |= self.overload.stale;
            return;
        }
        self.overload.planned_at = now;
        self.overload.stale = false;
        let room = self.room(now);
        let jobs = self.jobs.values().filter(|job| !job.state.is_terminal());
        let mut candidates: Vec<_> = jobs.filter_map(|job| self.candidate(job, &room)).collect();
        candidates.sort_by_key(|one| (one.class, one.latest_start_ms, one.job));
        self.overload.clear();
        self.overload.room = room;
        self.overload.is_planned = true;
        // Jobs that are late already cannot displace others.
        let now_ms = as_ms(now);
        let (late, timely): (Vec<_>, Vec<_>) =
            candidates.into_iter().partition(|one| one.latest_start_ms < now_ms);
        let chosen = choose(now_ms, &timely);
        for (candidate, chosen) in timely.iter().zip(chosen) {
            self.add_turn(now_ms, candidate, chosen);
            self.overload.counts.chosen += usize::from(chosen);
            self.overload.counts.deferred += usize::from(!chosen);
        }
        for candidate in &late {
            self.add_turn(now_ms, candidate, false);
        }
        self.overload.counts.late = late.len();
        self.log_plan(now);
    }

    fn add_turn(&mut self, now_ms: u64, candidate: &Candidate, chosen: bool) {
        let (over_share, _) = candidate.class;
        let is_worthless = candidate.worthless_ms < now_ms;
        let rank = match (chosen, over_share) {
            (true, false) => Rank::Chosen,
            (true, true) => Rank::ChosenOverShare,
            (false, false) if is_worthless => Rank::Worthless,
            (false, false) => Rank::Late,
            (false, true) if is_worthless => Rank::WorthlessOverShare,
            (false, true) => Rank::LateOverShare,
        };
        let latest_start_ms = candidate.latest_start_ms;
        self.overload.turns.insert(candidate.job, Turn { rank, latest_start_ms });
        if !is_worthless {
            self.overload.counting_ms += candidate.work_ms;
        }
        if chosen {
            let key = (candidate.class, latest_start_ms);
            *self.overload.chosen.entry(key).or_default() += candidate.work_ms;
        }
    }

    fn log_plan(&mut self, now: Duration) {
        let Counts { chosen, deferred, late } = self.overload.counts;
        if deferred == 0 || now < self.overload.logged_at + LOG_INTERVAL {
            return;
        }
        self.overload.logged_at = now;
        let shard = self.settings.shard;
        log::info!("event=overload shard={shard} chosen={chosen} deferred={deferred} late={late}");
    }

    /// Resources of the usable workers, without those that long-running tasks reserve.
    fn room(&self, now: Duration) -> Room {
        let mut room = Room::default();
        for worker in self.workers.values().filter(|worker| self.is_in_service(now, worker)) {
            let mut own = worker.entry.capacity;
            for ((task, _), reserved) in &worker.runs {
                if self.step_of(*task).is_some_and(|step| step.long_running) {
                    own = own.minus(reserved);
                }
            }
            room.add(own);
        }
        room
    }

    /// Unstarted work of a job; `None` if it has none, repeats, is blocked on quota, or has a
    /// long-running step or unstarted tasks that fit on no worker.
    fn candidate(&self, job: &Job, room: &Room) -> Option<Candidate> {
        let accepted = &job.accepted;
        let spec = &accepted.spec;
        // The latest start of a repeating job counts from its acceptance, not from an occurrence.
        let takes_turns = spec.repeat.is_none() && !spec.steps.iter().any(|step| step.long_running);
        if !takes_turns || self.is_quota_blocked(job.id) {
            return None;
        }
        let expected_ms = self.expected_ms(accepted);
        let paths = spec.longest_paths_ms(|number| expected_ms[number]);
        let chain_ms = paths.iter().max().copied().unwrap_or_default();
        let allowed_ms = allowed_ms(&accepted.policy, chain_ms);
        let accepted_ms = as_ms(job.accepted_at);
        let mut found = None;
        let (mut before_start_ms, mut work_ms, mut started) = (0.0, 0.0, false);
        for occurrence in job.occurrences.iter().filter(|occurrence| occurrence.due) {
            for (number, step) in occurrence.steps.iter().enumerate() {
                if step.remaining == 0 {
                    started = true;
                    continue;
                }
                let waiting = if step.unblocked {
                    let waiting = |task: &&Task| !task.done && task.runs.is_empty();
                    step.tasks.iter().filter(waiting).count()
                } else {
                    step.tasks.len()
                };
                started |= waiting < step.tasks.len();
                if waiting == 0 {
                    continue;
                }
                let resources = spec.steps[number].reserved();
                if !room.fits(&resources) {
                    return None;
                }
                let share = dominant_share(&resources, &room.total);
                let width = waiting as f64 * share;
                let duration_ms = expected_ms[number] as f64;
                work_ms += width * duration_ms;
                if step.unblocked {
                    before_start_ms += (width - 1.0).max(0.0) * duration_ms;
                }
                let latest = accepted_ms.saturating_add(allowed_ms).saturating_sub(paths[number]);
                found = Some(found.map_or(latest, |other: u64| other.min(latest)));
            }
        }
        let worth = self.worth(&accepted.queue, core_ms(spec, &expected_ms));
        let preference = if started { STARTED_PREFERENCE } else { 1.0 };
        Some(Candidate {
            job: job.id,
            class: (!job.within_share, accepted.policy.priority),
            latest_start_ms: found?,
            worthless_ms: accepted_ms
                .saturating_add(allowed_ms.saturating_mul(u64::from(LATE_FACTOR))),
            before_start_ms,
            work_ms,
            density: worth * preference * worth_variation(job.id) / work_ms.max(f64::MIN_POSITIVE),
        })
    }

    /// Worth of a job with so much work, in ms of one core, relative to an average job of its queue.
    fn worth(&self, queue: &str, work: f64) -> f64 {
        let mean = self.overload.mean_work.get(queue).copied().unwrap_or_default();
        if mean <= 0.0 {
            return 1.0;
        }
        (FIXED_WORTH + (1.0 - FIXED_WORTH) * work / mean).min(MAX_WORTH)
    }

    /// Expected duration of the tasks of each step, in ms.
    fn expected_ms(&self, accepted: &Accepted) -> Vec<u64> {
        let durations = &self.overload.durations;
        let steps = accepted.spec.steps.iter();
        steps.map(|step| durations.expected_ms(&accepted.queue, step.estimate_ms)).collect()
    }
}

/// Work of all tasks of a job, in ms of one core, by the expected duration of each step's tasks.
fn core_ms(spec: &Spec, expected_ms: &[u64]) -> f64 {
    let work = spec.steps.iter().zip(expected_ms).map(|(step, ms)| {
        let cores = step.resources.cpu_millis as f64 / 1_000.0;
        f64::from(step.tasks) * cores * *ms as f64
    });
    work.sum()
}

/// Time allowed for a job with a chain of work, in ms.
fn allowed_ms(policy: &Policy, chain_ms: u64) -> u64 {
    as_ms(allowed_time(policy, chain_ms))
}
