//! Takeover of a shard: replay of its log, and runs that may exist although no worker has reported
//! them yet.
//!
//! The placement of a run is written to the log before the run is started, so a new owner knows on
//! which workers a task may run. A task is started at once if those workers have answered and none
//! of them has a run of it. If it may run on a worker that does not answer, it waits until every
//! lease that a previous owner may have granted there has expired. No owner starts a run without
//! that record, even while the store is unavailable.
//!
//! The wait starts at the takeover, so by itself it would not end while the shard changes owners in
//! quick succession: restarts of the entry VMs, one after another, can keep long-running tasks of
//! an unreachable rack unavailable for 18 s. Therefore an owner that leaves a shard reports to the
//! next one, if that one asks, by when everything that may run on each worker has expired.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crosspath_border::worker::Entry;
use crosspath_job::progress::{Part, Progress};
use crosspath_job::record::{Accepted, Reassignment, Record, part_key};
use crosspath_job::{JobId, TaskId};

use crate::event::Event;
use crate::incarnations;
use crate::losses::Liveness;
use crate::scheduler::{Scheduler, Settings};

/// Time for which an order may still be in flight after its owner has stopped acting.
const IN_FLIGHT_MARGIN: Duration = Duration::from_millis(500);

/// Leases as known to an owner when it leaves a shard, for the next owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Handover {
    /// Epoch of the leaving owner. The expiries are valid only for the owner of the next epoch: an
    /// owner in between may have extended the leases.
    pub epoch: u64,
    /// By worker incarnation, the time by which everything that may run on it has expired.
    pub expiries: BTreeMap<Arc<str>, Duration>,
}

/// Worker incarnations that may have runs which this owner does not know of yet.
#[derive(Debug)]
pub(crate) struct Recovery {
    /// Incarnations that the log names, that have not answered yet and are not known to have ended,
    /// with the time by which every lease that previous owners granted there has expired.
    unaccounted: BTreeMap<Arc<str>, Duration>,
    /// Time by which every lease that previous owners granted on any worker has expired.
    deadline: Duration,
    /// Whether no run can be left that this owner does not know of.
    complete: bool,
}

impl Recovery {
    pub(crate) fn new(settings: &Settings, now: Duration) -> Self {
        let acting_until = now + settings.membership_ttl + IN_FLIGHT_MARGIN;
        let deadline = settings.terms.latest_expiry(acting_until, settings.terms.extension);
        Self { unaccounted: BTreeMap::new(), deadline, complete: false }
    }

    /// Time by which every lease that previous owners granted has expired; 0 once recovery is
    /// complete.
    pub(crate) fn pending_until(&self) -> Duration {
        if self.complete { Duration::ZERO } else { self.deadline }
    }

    /// Whether no run can be left that this owner does not know of.
    pub(crate) fn is_complete(&self) -> bool {
        self.complete
    }

    /// Incarnations with a worker's identifier that are unaccounted for and started before
    /// `started_ms`. Those whose start is not known are left out.
    pub(crate) fn earlier_incarnations(&self, id: &str, started_ms: u64) -> Vec<Arc<str>> {
        let parsed = self
            .unaccounted
            .keys()
            .map(|incarnation| (incarnation, incarnations::parse(incarnation)));
        let before = parsed
            .filter(|(_, (worker, started))| *worker == id && (1..started_ms).contains(started));
        before.map(|(incarnation, _)| Arc::clone(incarnation)).collect()
    }

    /// Completes the recovery if its deadline has passed. Returns whether this call completed it.
    fn complete_at_deadline(&mut self, now: Duration) -> bool {
        let completes = !self.complete && now >= self.deadline;
        self.complete |= completes;
        completes
    }
}

impl Scheduler {
    /// Takes the shard over. `records` has the newest record of each key in the log, and `workers`
    /// the entries of the worker list.
    pub fn take_over(
        &mut self,
        now: Duration,
        wall_ms: u64,
        records: Vec<Record>,
        workers: Vec<Entry>,
    ) {
        let mut progress: Vec<(JobId, Progress)> = Vec::new();
        let mut parts: Vec<(JobId, u64, Part)> = Vec::new();
        let mut accepted: Vec<(JobId, Arc<Accepted>)> = Vec::new();
        let mut cancelled = Vec::new();
        for record in records {
            match record {
                Record::Accepted(id, acceptance) => accepted.push((id, acceptance)),
                Record::Reassigned(queue, Reassignment { config_version }) => {
                    self.queue_reassigned(queue, config_version);
                }
                Record::Progress(id, stored) => progress.push((id, stored)),
                Record::ProgressPart(id, first, part) => parts.push((id, first, part)),
                Record::Cancelled(id, by) => cancelled.push((id, by)),
                Record::Claim(_) | Record::Tombstone(_) => {}
            }
        }
        let has_progress: BTreeSet<_> =
            progress.iter().map(|(id, _)| *id).chain(parts.iter().map(|(id, ..)| *id)).collect();
        for (id, acceptance) in accepted {
            if has_progress.contains(&id) || !self.relocate_if_misplaced(id, &acceptance) {
                self.insert(now, wall_ms, id, acceptance);
            }
        }
        let in_records = progress.iter().map(|(_, stored)| &stored.tasks);
        let tasks = in_records.chain(parts.iter().map(|(_, _, part)| &part.tasks));
        let deadline = self.recovery.deadline;
        let progress_workers = tasks
            .flat_map(BTreeMap::values)
            .flat_map(|task| &task.runs)
            .map(|(_, worker)| (Arc::clone(worker), deadline))
            .collect();
        for (id, stored) in progress {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.restore(&stored, now);
            }
        }
        self.restore_parts(parts);
        for job in self.jobs.values_mut() {
            job.complete_gangs();
            job.inherited = true;
        }
        self.recovery.unaccounted = progress_workers;
        // A previous owner can have started only runs that are recorded in the log.
        self.recovery.complete = self.jobs.values().all(|job| job.state.is_terminal());
        let (jobs, expected) = (self.jobs.len(), self.recovery.unaccounted.len());
        log::info!(
            "event=taken_over jobs={jobs} workers={} expected_on={expected} epoch={}",
            workers.len(),
            self.epoch
        );
        for (id, by) in cancelled {
            self.cancel(now, id, by);
        }
        let ids: Vec<_> = self.jobs.keys().copied().collect();
        for id in ids {
            self.unblock_steps(now, wall_ms, id);
        }
        for entry in workers {
            self.handle(now, wall_ms, Event::WorkerListed(entry));
        }
    }

    /// Restores parts of jobs' progress, and deletes those that the previous owner left behind: it
    /// may have stored the end of a job and not deleted all of the job's parts.
    fn restore_parts(&mut self, mut parts: Vec<(JobId, u64, Part)>) {
        parts.sort_by_key(|(id, first, _)| (*id, *first));
        for (id, first, part) in parts {
            match self.jobs.get_mut(&id).filter(|job| !job.state.is_terminal()) {
                Some(job) => job.restore_part(first, &part.tasks),
                None => self.commits.delete(part_key(id, first)),
            }
        }
    }

    /// Accounts for an incarnation that has answered or ended: unreported runs on it do not exist,
    /// or are lost.
    pub(crate) fn account_for(
        &mut self,
        now: Duration,
        incarnation: &Arc<str>,
        liveness: Liveness,
    ) {
        if self.recovery.unaccounted.remove(incarnation).is_none() {
            return;
        }
        if liveness == Liveness::Ended {
            self.record_unreported_losses(now, incarnation);
        }
        self.placement_due = true;
        for job in self.jobs.values_mut().filter(|job| job.inherited) {
            job.drop_unreported(|other| other == incarnation);
        }
    }

    /// Accounts for an incarnation that has ended: its unreported runs count as lost, and tasks
    /// that have lost too many runs fail their jobs.
    pub(crate) fn end_unaccounted(&mut self, now: Duration, incarnation: &Arc<str>) {
        self.account_for(now, incarnation, Liveness::Ended);
        self.enforce_loss_limits_on(now, incarnation);
    }

    /// Lease expiries that this owner knows, for the next owner. A worker that this owner polls may
    /// have received a poll that extended its leases just now, even if its last answer is older.
    #[must_use]
    pub fn handover(&self, now: Duration) -> Handover {
        let unaccounted = self.recovery.unaccounted.iter();
        // This owner has sent no orders to these incarnations.
        let unaccounted =
            unaccounted.filter(|(incarnation, _)| !self.is_current_incarnation(incarnation));
        let unaccounted = unaccounted.map(|(incarnation, until)| (Arc::clone(incarnation), *until));
        let terms = self.settings.terms;
        let extended = terms.latest_expiry(now + IN_FLIGHT_MARGIN, terms.extension);
        let polled = self.workers.values();
        let polled = polled.map(|worker| (worker.incarnation(), worker.lease_expiry.max(extended)));
        Handover { epoch: self.epoch, expiries: unaccounted.chain(polled).collect() }
    }

    /// Applies the expiries of the previous owner to incarnations that have not answered yet.
    pub(crate) fn apply_handover(&mut self, leases: BTreeMap<Arc<str>, Duration>) {
        for (incarnation, expiry) in leases {
            let known = self.is_current_incarnation(&incarnation);
            let Some(until) = self.recovery.unaccounted.get_mut(&incarnation) else { continue };
            *until = expiry.min(*until);
            log::info!(
                "event=lease_handed_over worker={incarnation} over_ms={}",
                until.as_millis()
            );
            let (worker, _) = incarnations::parse(&incarnation);
            if let Some(worker) = self.workers.get_mut(worker).filter(|_| known) {
                worker.lease_expiry = worker.ordered_lease_expiry.max(*until);
            }
        }
    }

    /// Releases unreported runs on each incarnation once all leases on it have expired.
    pub(crate) fn release_expired_unaccounted(&mut self, now: Duration) {
        // The first poll of a worker may extend its leases while it is in flight.
        let lease_expired = |incarnation: &Arc<str>| {
            let (worker, _) = incarnations::parse(incarnation);
            let worker = self.workers.get(worker);
            worker.is_none_or(|worker| worker.failures > 0 && now > worker.lease_expiry)
        };
        let unaccounted = self.recovery.unaccounted.iter();
        let expired =
            unaccounted.filter(|(incarnation, until)| now >= **until && lease_expired(incarnation));
        let expired: Vec<_> = expired.map(|(incarnation, _)| Arc::clone(incarnation)).collect();
        for incarnation in expired {
            self.end_unaccounted(now, &incarnation);
        }
        if self.lacks_ended_runs() || !self.recovery.complete_at_deadline(now) {
            return;
        }
        self.placement_due = true;
        for incarnation in self.recovery.unaccounted.keys().cloned().collect::<Vec<_>>() {
            self.end_unaccounted(now, &incarnation);
        }
        for job in self.jobs.values_mut().filter(|job| job.inherited) {
            job.drop_unreported(|_| true);
        }
    }

    /// Whether some incarnation is unaccounted for because its worker, which answers, has more ended
    /// runs than it has reported yet.
    fn lacks_ended_runs(&self) -> bool {
        self.recovery.unaccounted.keys().any(|incarnation| {
            let (worker, _) = incarnations::parse(incarnation);
            let worker = self.workers.get(worker);
            self.is_current_incarnation(incarnation)
                && worker.is_some_and(|worker| worker.is_answering() && worker.has_more_ended)
        })
    }

    /// Whether a previous owner may have started a run of the task that no worker has reported yet.
    pub(crate) fn may_have_unreported_run(&self, id: TaskId) -> bool {
        let Some(job) = self.jobs.get(&id.job) else { return false };
        job.inherited
            && !self.recovery.complete
            && job.task(id).is_some_and(|task| !task.unreported_runs.is_empty())
    }
}
