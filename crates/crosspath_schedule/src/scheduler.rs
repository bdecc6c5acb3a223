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
use crate::place::Key;
use crate::polls::EndedIncarnation;
use crate::shares::Shares;
use crate::takeover::Recovery;
use crate::tickets::Tickets;
use crate::worker::Worker;

/// Waiting tasks that make a backlog.
const BACKLOG_TASKS: usize = 64;
/// Between two rounds of placing with a backlog, where each end that is heard would set one off.
const BACKLOG_PLACEMENT_INTERVAL: Duration = Duration::from_millis(4);

/// What the scheduler is told once.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// The shard.
    pub shard: u32,
    /// Lengths of leases.
    pub terms: Terms,
    /// How long an ended job can be asked for.
    pub ended_job_retention: Duration,
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
    pub(crate) ended_incarnations: BTreeMap<Arc<str>, EndedIncarnation>,
    pub(crate) waiting: BTreeSet<Key>,
    pub(crate) actions: Vec<Action>,
    pub(crate) commits: Commits,
    pub(crate) recovery: Recovery,
    pub(crate) tickets: Tickets,
    pub(crate) quotas: Quotas,
    pub(crate) shares: Shares,
    pub(crate) vms_to_vacate: BTreeSet<Arc<str>>,
    /// Data centres that get no new work.
    pub(crate) evacuated: Arc<BTreeSet<Arc<str>>>,
    /// Whether that is known recently enough to start anything.
    pub(crate) may_start: bool,
    /// Workers that take nothing but tasks that run alone.
    pub(crate) reserved_for_isolation: BTreeSet<Arc<str>>,
    /// Whether a task that runs alone waited in the last round of placing.
    pub(crate) isolation_pending: bool,
    pub(crate) may_act: bool,
    pub(crate) placement_due: bool,
    /// What tasks want that the last round of placing found no worker for, in thousandths of a core.
    pub(crate) unplaced_millis: u64,
    /// Lasting tasks among those.
    pub(crate) unplaced_long_running: u32,
    /// Whether blame keeps work from workers in this round.
    pub(crate) quarantine_enabled: bool,
    /// When tasks were last placed.
    last_placement: Duration,
    /// Whether all workers are to be looked over.
    review_due: bool,
    /// Jobs that were cancelled before their record was read, and by whom.
    pub(crate) early_cancellations: BTreeMap<JobId, Requester>,
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
            ended_incarnations: BTreeMap::new(),
            waiting: BTreeSet::new(),
            actions: Vec::new(),
            commits: Commits::default(),
            recovery: Recovery::new(&settings, now),
            tickets: Tickets::default(),
            quotas: Quotas::new(settings.shard, epoch),
            shares: Shares::default(),
            vms_to_vacate: BTreeSet::new(),
            evacuated: Arc::default(),
            may_start: true,
            reserved_for_isolation: BTreeSet::new(),
            isolation_pending: false,
            may_act: true,
            placement_due: false,
            unplaced_millis: 0,
            unplaced_long_running: 0,
            quarantine_enabled: false,
            last_placement: Duration::ZERO,
            review_due: false,
            early_cancellations: BTreeMap::new(),
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
    pub fn decides_soon(&self) -> bool {
        self.commits.is_batching() || (self.placement_due && !self.waiting.is_empty())
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
        let not_durable = job.state.is_terminal()
            && job.state != State::Cancelled
            && job.durable_state != job.state;
        Some(if not_durable { State::Running } else { job.state })
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
    pub fn queued_jobs(&self, queue: &str) -> u64 {
        let queued = |job: &&Job| job.state == State::Queued && *job.accepted.queue == *queue;
        self.jobs.values().filter(queued).count() as u64
    }

    /// Takes in what has happened. `wall_ms` is the time of day in ms since 1970.
    pub fn handle(&mut self, now: Duration, wall_ms: u64, event: Event) {
        match event {
            Event::Accepted(id, accepted) => self.accept(now, wall_ms, id, accepted),
            Event::Cancelled(id, by) => self.cancel(now, id, by),
            Event::WorkerListed(entry) => self.worker_listed(now, entry),
            Event::WorkerUnlisted(id) => self.worker_unlisted(now, &id),
            Event::Polled { worker, sent, extended, reply } => {
                self.poll_answered(now, &worker, sent, extended, reply);
            }
            Event::PollFailed { worker, sent, extended, error } => {
                self.poll_failed(now, &worker, sent, extended, error);
            }
            Event::StartAnswered { worker, task, run, answer } => {
                self.start_answered(now, &worker, task, run, answer);
            }
            Event::StopAnswered { worker, task, run, answer } => {
                self.stop_answered(now, &worker, task, run, answer);
            }
            Event::Advised { step, answer } => {
                self.tickets.record_answer(now, step, answer);
                self.placement_due = true;
            }
            Event::Committed => self.committed(now),
            Event::Vacate(vms) => {
                self.placement_due |= vms != self.vms_to_vacate;
                self.review_due |= vms != self.vms_to_vacate;
                self.vms_to_vacate = vms;
            }
            Event::Evacuated(evacuated) => {
                self.placement_due = true;
                self.review_due = true;
                self.evacuated = evacuated;
            }
            Event::MayStart(may_start) => {
                self.placement_due |= may_start;
                self.may_start = may_start;
            }
            Event::MayAct(may_act) => {
                self.placement_due |= may_act;
                self.may_act = may_act;
            }
            Event::LeasesHandedOver(leases) => self.apply_handover(leases),
            Event::Limits(limits) => self.set_limits(limits),
            Event::Weights { weights, shard_fraction } => self.set_weights(weights, shard_fraction),
            Event::QuotaAnswered { number, grant } => self.quota_answered(number, grant),
            Event::Superseded => self.superseded = true,
            Event::Tick => {
                self.review_due = true;
                // Time alone proves the runs beside which it may start.
                self.placement_due |= self.isolation_pending;
                self.unblock_due_steps(now, wall_ms);
                self.release_expired(now);
                self.remove_ended_jobs(now);
                self.prune_ended_incarnations(now);
            }
        }
    }

    /// Decides what to do now. Called after some events, and now and then without any.
    pub fn decide(&mut self, now: Duration, wall_ms: u64) -> Vec<Action> {
        if self.may_act {
            if std::mem::take(&mut self.review_due) {
                self.retry_stops(now);
                self.stop_tasks_to_vacate(now);
                self.stop_stalled(now);
                self.throttle_best_effort();
            }
            let pause = if self.waiting.len() > BACKLOG_TASKS {
                BACKLOG_PLACEMENT_INTERVAL
            } else {
                Duration::ZERO
            };
            if self.placement_due && self.may_start && now >= self.last_placement + pause {
                self.placement_due = false;
                self.last_placement = now;
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
