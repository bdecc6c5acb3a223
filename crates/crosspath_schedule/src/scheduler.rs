//! The scheduler's state, and where each event goes.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crosspath_job::progress::{Progress, State};
use crosspath_job::record::{Accepted, Requester};
use crosspath_job::spec::Step;
use crosspath_job::{JobId, TaskId};

use crate::action::Action;
use crate::commit::Commits;
use crate::event::Event;
use crate::job::{Job, Task};
use crate::lease::Terms;
use crate::limits::Quotas;
use crate::looks::EndedLife;
use crate::place::Key;
use crate::shares::Shares;
use crate::takeover::Settlement;
use crate::tickets::Tickets;
use crate::worker::Worker;

/// Waiting tasks that make a backlog.
const BACKLOG: usize = 64;
/// Between two rounds of placing with a backlog, where each end that is heard would set one off.
const PLACE_INTERVAL: Duration = Duration::from_millis(4);

/// What the scheduler is told once.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// The shard.
    pub shard: u32,
    /// Lengths of leases.
    pub terms: Terms,
    /// How long an ended job can be asked for.
    pub keep_ended: Duration,
    /// Silence of membership after which an owner stops acting.
    pub membership_ttl: Duration,
}

/// The scheduler of one shard.
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) settings: Settings,
    pub(crate) epoch: u64,
    pub(crate) jobs: BTreeMap<JobId, Job>,
    pub(crate) workers: BTreeMap<Arc<str>, Worker>,
    /// Lives of VMs that are over, by their identifiers.
    pub(crate) ended_lives: BTreeMap<Arc<str>, EndedLife>,
    pub(crate) waiting: BTreeSet<Key>,
    pub(crate) actions: Vec<Action>,
    pub(crate) commits: Commits,
    pub(crate) settlement: Settlement,
    pub(crate) tickets: Tickets,
    pub(crate) parts: Quotas,
    pub(crate) shares: Shares,
    pub(crate) vacate: BTreeSet<Arc<str>>,
    /// Data centres that get no new work.
    pub(crate) evacuated: Arc<BTreeSet<Arc<str>>>,
    /// Whether that is known recently enough to start anything.
    pub(crate) may_start: bool,
    /// Workers that take nothing but tasks that run alone.
    pub(crate) kept_free: BTreeSet<Arc<str>>,
    /// Whether a task that runs alone waited in the last round of placing.
    pub(crate) waits_alone: bool,
    pub(crate) may_act: bool,
    pub(crate) place_again: bool,
    /// What tasks want that the last round of placing found no worker for, in thousandths of a core.
    pub(crate) unplaced_millis: u64,
    /// Lasting tasks among those.
    pub(crate) unplaced_lasting: u32,
    /// Whether blame keeps work from workers in this round.
    pub(crate) blame_counts: bool,
    /// When tasks were last placed.
    placed: Duration,
    /// Whether all workers are to be looked over.
    look_over: bool,
    /// Jobs that were cancelled before their record was read, and by whom.
    pub(crate) cancelled_early: BTreeMap<JobId, Requester>,
    pub(crate) superseded: bool,
}

impl Scheduler {
    /// An owner of a shard that has just claimed it in `epoch`.
    #[must_use]
    pub fn new(settings: Settings, epoch: u64, now: Duration) -> Self {
        Self {
            settings,
            epoch,
            jobs: BTreeMap::new(),
            workers: BTreeMap::new(),
            ended_lives: BTreeMap::new(),
            waiting: BTreeSet::new(),
            actions: Vec::new(),
            commits: Commits::default(),
            settlement: Settlement::new(&settings, now),
            tickets: Tickets::default(),
            parts: Quotas::new(settings.shard, epoch),
            shares: Shares::default(),
            vacate: BTreeSet::new(),
            evacuated: Arc::default(),
            may_start: true,
            kept_free: BTreeSet::new(),
            waits_alone: false,
            may_act: true,
            place_again: false,
            unplaced_millis: 0,
            unplaced_lasting: 0,
            blame_counts: false,
            placed: Duration::ZERO,
            look_over: false,
            cancelled_early: BTreeMap::new(),
            superseded: false,
        }
    }

    /// Whether a worker has told of a later owner.
    #[must_use]
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Whether it is to decide again soon, without an event.
    #[must_use]
    pub fn gathers(&self) -> bool {
        self.commits.gathers() || (self.place_again && !self.waiting.is_empty())
    }

    /// Whether some task waits for a worker with room.
    #[must_use]
    pub fn lacks_workers(&self) -> bool {
        self.unplaced_millis > 0 && !self.waiting.is_empty()
    }

    /// State of a job as it is kept; none when it is not known.
    #[must_use]
    pub fn state(&self, job: JobId) -> Option<State> {
        let job = self.jobs.get(&job)?;
        let unkept = job.state.is_terminal()
            && job.state != State::Cancelled
            && job.durable_state != job.state;
        Some(if unkept { State::Running } else { job.state })
    }

    /// What was accepted as a job; none when it is not known.
    #[must_use]
    pub fn accepted(&self, job: JobId) -> Option<&Accepted> {
        self.jobs.get(&job).map(|job| job.accepted.as_ref())
    }

    /// What the log is to keep of a job; none when it is not known.
    #[must_use]
    pub fn progress(&self, job: JobId, wall_ms: u64) -> Option<Progress> {
        Some(self.jobs.get(&job)?.progress(wall_ms))
    }

    /// Number of a queue's jobs of which no task has begun.
    #[must_use]
    pub fn waiting(&self, queue: &str) -> u64 {
        let queued = |job: &&Job| job.state == State::Queued && *job.accepted.queue == *queue;
        self.jobs.values().filter(queued).count() as u64
    }

    /// Takes in what has happened. `wall_ms` is the time of day in ms since 1970.
    pub fn handle(&mut self, now: Duration, wall_ms: u64, event: Event) {
        match event {
            Event::Accepted(id, accepted) => self.accept(now, wall_ms, id, accepted),
            Event::Cancelled(id, by) => self.cancel(now, id, by),
            Event::WorkerSeen(entry) => self.worker_seen(now, entry),
            Event::WorkerGone(id) => self.worker_gone(now, &id),
            Event::Held { worker, sent, extended, held } => {
                self.held(now, &worker, sent, extended, held);
            }
            Event::HoldFailed { worker, sent, extended, error } => {
                self.hold_failed(now, &worker, sent, extended, error);
            }
            Event::StartAnswered { worker, task, run, answer } => {
                self.start_answered(now, &worker, task, run, answer);
            }
            Event::StopAnswered { worker, task, run, answer } => {
                self.stop_answered(now, &worker, task, run, answer);
            }
            Event::Advised { step, answer } => {
                self.tickets.record_answer(now, step, answer);
                self.place_again = true;
            }
            Event::Committed => self.committed(now),
            Event::Vacate(vms) => {
                self.place_again |= vms != self.vacate;
                self.look_over |= vms != self.vacate;
                self.vacate = vms;
            }
            Event::Evacuated(evacuated) => {
                self.place_again = true;
                self.look_over = true;
                self.evacuated = evacuated;
            }
            Event::MayStart(may_start) => {
                self.place_again |= may_start;
                self.may_start = may_start;
            }
            Event::MayAct(may_act) => {
                self.place_again |= may_act;
                self.may_act = may_act;
            }
            Event::HandedOver(leases) => self.hand_over(leases),
            Event::Limits(limits) => self.set_limits(limits),
            Event::Weights { weights, part } => self.set_weights(weights, part),
            Event::Dealt { number, deal } => self.quota_answered(number, deal),
            Event::Superseded => self.superseded = true,
            Event::Tick => {
                self.look_over = true;
                // Time alone proves the runs beside which it may start.
                self.place_again |= self.waits_alone;
                self.unblock_due_steps(now, wall_ms);
                self.release_lapsed(now);
                self.forget_ended(now);
                self.forget_ended_lives(now);
            }
        }
    }

    /// Decides what to do now. Called after some events, and now and then without any.
    pub fn decide(&mut self, now: Duration, wall_ms: u64) -> Vec<Action> {
        if self.may_act {
            if std::mem::take(&mut self.look_over) {
                self.stop_again(now);
                self.stop_tasks_to_vacate(now);
                self.stop_stalled(now);
                self.throttle_best_effort();
            }
            let pause = if self.waiting.len() > BACKLOG { PLACE_INTERVAL } else { Duration::ZERO };
            if self.place_again && self.may_start && now >= self.placed + pause {
                self.place_again = false;
                self.placed = now;
                self.place(now);
            }
            self.request_quota(now);
        }
        self.commit(now, wall_ms);
        std::mem::take(&mut self.actions)
    }

    pub(crate) fn task_mut(&mut self, id: TaskId) -> Option<&mut Task> {
        self.jobs.get_mut(&id.job)?.task_mut(id)
    }

    pub(crate) fn step_of(&self, task: TaskId) -> Option<&Step> {
        self.jobs.get(&task.job)?.accepted.spec.steps.get(task.step as usize)
    }
}
