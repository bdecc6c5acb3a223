//! State of the scheduler, and dispatch of events.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crosspath_job::progress::{Progress, State};
use crosspath_job::record::{Accepted, Requester};
use crosspath_job::spec::Step;
use crosspath_job::{JobId, TaskId};

use crate::action::Action;
use crate::admission::{Admission, Rules};
use crate::commit::Commits;
use crate::event::Event;
use crate::job::{Job, Task};
use crate::lease::Terms;
use crate::limits::Quotas;
use crate::overload::Overload;
use crate::place::Key;
use crate::polls::EndedIncarnation;
use crate::reassignment::Reassignments;
use crate::shares::Shares;
use crate::takeover::Recovery;
use crate::tickets::Tickets;
use crate::warm_up::Temperature;
use crate::worker::Worker;

/// Number of waiting tasks above which there is a backlog.
const BACKLOG_TASKS: usize = 64;
/// Minimum time between two placement rounds while there is a backlog. Without it, every reported
/// end of a run would trigger a round.
const BACKLOG_PLACEMENT_INTERVAL: Duration = Duration::from_millis(4);
/// Maximum time between two placement rounds while tasks wait. No event marks the moment at which a
/// worker's pause, quarantine or warm-up ends, a run passes its probation, a ticket expires, or the
/// usage of a customer may be counted again, and other events may not come for long.
const MAX_PLACEMENT_INTERVAL: Duration = Duration::from_millis(100);

/// Settings that stay the same while a daemon owns the shard.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Number of the shard, which identifies it in requests to the ledger.
    pub shard: u32,
    /// Lengths of the leases that this owner grants.
    pub terms: Terms,
    /// Maximum size in bytes of a record in the log.
    pub max_record_bytes: usize,
    /// Time for which an ended job can still be looked up.
    pub ended_job_retention: Duration,
    /// Time without renewal of its group membership after which an owner stops acting.
    pub membership_ttl: Duration,
    /// Whether long-running tasks are spread over data centres and racks.
    pub spread: bool,
    /// Whether jobs that can still end in time are served before those that cannot.
    pub prefer_feasible: bool,
    /// Which new jobs may be refused.
    pub admission: Rules,
}

/// Scheduler of one shard, on behalf of the shard's owner.
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) settings: Settings,
    pub(crate) epoch: u64,
    pub(crate) jobs: BTreeMap<JobId, Job>,
    pub(crate) workers: BTreeMap<Arc<str>, Worker>,
    /// Incarnations that have ended, by worker identifier.
    pub(crate) ended_incarnations: BTreeMap<Arc<str>, EndedIncarnation>,
    pub(crate) waiting: BTreeSet<Key>,
    pub(crate) actions: Vec<Action>,
    pub(crate) commits: Commits,
    pub(crate) recovery: Recovery,
    pub(crate) tickets: Tickets,
    pub(crate) quotas: Quotas,
    pub(crate) shares: Shares,
    pub(crate) overload: Overload,
    pub(crate) admission: Admission,
    pub(crate) reassignments: Reassignments,
    pub(crate) vms_to_vacate: BTreeSet<Arc<str>>,
    /// Data centres that get no new work.
    pub(crate) evacuated: Arc<BTreeSet<Arc<str>>>,
    /// Whether the set of evacuated data centres is recent enough to start tasks by it.
    pub(crate) may_start: bool,
    /// Cold workers in the last placement round.
    pub(crate) temperature: Temperature,
    /// Workers that accept only isolated tasks.
    pub(crate) reserved_for_isolation: BTreeSet<Arc<str>>,
    /// Whether this owner may send orders to workers.
    pub(crate) may_act: bool,
    /// Whether something has changed that calls for a placement round.
    pub(crate) placement_due: bool,
    /// Processor time required by the tasks for which the last placement round found no worker, in
    /// thousandths of a core.
    pub(crate) unplaced_millis: u64,
    /// Number of long-running tasks among those.
    pub(crate) unplaced_long_running: u32,
    /// Number of waiting tasks that the last placement round did not come to.
    pub(crate) unreached: usize,
    /// When waits of long-running tasks were last logged.
    pub(crate) waits_logged_at: Duration,
    /// Whether workers with a high suspicion score get no new work in this round.
    pub(crate) quarantine_enabled: bool,
    /// When the last placement round took place.
    last_placement: Duration,
    /// Whether the runs on all workers are to be reviewed: stops to retry, workers to vacate,
    /// stalled runs, throttling.
    review_due: bool,
    /// Jobs that were cancelled before their acceptance record was read, and who cancelled them.
    pub(crate) early_cancellations: BTreeMap<JobId, Requester>,
    /// Whether a later owner has claimed the shard.
    pub(crate) superseded: bool,
}

impl Scheduler {
    /// Creates the scheduler of an owner that has just claimed its shard in `epoch`.
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
            overload: Overload::default(),
            admission: Admission::default(),
            reassignments: Reassignments::default(),
            vms_to_vacate: BTreeSet::new(),
            evacuated: Arc::default(),
            may_start: true,
            temperature: Temperature::default(),
            reserved_for_isolation: BTreeSet::new(),
            may_act: true,
            placement_due: false,
            unplaced_millis: 0,
            unplaced_long_running: 0,
            unreached: 0,
            waits_logged_at: Duration::ZERO,
            quarantine_enabled: false,
            last_placement: Duration::ZERO,
            review_due: false,
            early_cancellations: BTreeMap::new(),
            superseded: false,
        }
    }

    /// Whether a later owner has claimed the shard, as far as workers, the store and its log have
    /// shown.
    #[must_use]
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Whether [`Scheduler::decide`] should be called again soon even if no event arrives.
    #[must_use]
    pub fn decides_soon(&self) -> bool {
        self.commits.is_batching() || (self.placement_due && !self.waiting.is_empty())
    }

    /// Whether a task waits because no worker has the resources for it.
    #[must_use]
    pub fn lacks_workers(&self) -> bool {
        self.unplaced_millis > 0 && !self.waiting.is_empty()
    }

    /// State of a job as reported to callers; `None` if the job is unknown. A job that has
    /// completed or failed is reported as running until its state is durable.
    #[must_use]
    pub fn state(&self, job: JobId) -> Option<State> {
        if self.reassignments.misplaced(job).is_some() {
            return Some(State::Queued);
        }
        let job = self.jobs.get(&job)?;
        let not_durable = job.state.is_terminal()
            && job.state != State::Cancelled
            && job.durable_state != job.state;
        Some(if not_durable { State::Running } else { job.state })
    }

    /// Acceptance of a job; `None` if the job is unknown.
    #[must_use]
    pub fn accepted(&self, job: JobId) -> Option<&Accepted> {
        let known = self.jobs.get(&job).map(|job| &job.accepted);
        known.or_else(|| self.reassignments.misplaced(job)).map(Arc::as_ref)
    }

    /// Whether a job counted as within its customer's share when it was accepted; `None` if the job
    /// is unknown.
    #[must_use]
    pub fn is_within_share(&self, job: JobId) -> Option<bool> {
        self.jobs.get(&job).map(|job| job.within_share)
    }

    /// Whole progress of a job; `None` if the job is unknown. `wall_ms` is the time of day in ms
    /// since 1970.
    #[must_use]
    pub fn progress(&self, job: JobId, wall_ms: u64) -> Option<Progress> {
        Some(self.jobs.get(&job)?.progress(wall_ms))
    }

    /// Number of jobs in a queue of which no task has started.
    #[must_use]
    pub fn queued_jobs(&self, queue: &str) -> u64 {
        let queued = |job: &&Job| job.state == State::Queued && *job.accepted.queue == *queue;
        let misplaced = self.reassignments.misplaced_of(queue);
        (self.jobs.values().filter(queued).count() + misplaced) as u64
    }

    /// Applies an event to the state. `wall_ms` is the time of day in ms since 1970.
    pub fn handle(&mut self, now: Duration, wall_ms: u64, event: Event) {
        match event {
            Event::Accepted(id, accepted) => self.accept(now, wall_ms, id, accepted),
            Event::Cancelled(id, by) => self.cancel(now, id, by),
            Event::Reassigned(queue, version) => self.queue_reassigned(queue, version),
            Event::Relocated(id, relocation) => self.relocated(now, wall_ms, id, relocation),
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
            Event::VmsDown(down) => self.vms_down(now, &down),
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
                self.unblock_due_steps(now, wall_ms);
                self.release_expired(now);
                self.remove_ended_jobs(now);
                self.prune_ended_incarnations(now);
                self.prune_relocations(now);
                self.log_waits(now);
                self.placement_due |=
                    !self.waiting.is_empty() && now >= self.last_placement + MAX_PLACEMENT_INTERVAL;
            }
        }
    }

    /// Decides on the next actions. To be called after each batch of events, and from time to time
    /// without any.
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
