//! Taking a shard over: what the log kept, and what may still run unseen.
//!
//! Where a run is started is written to the log before, so a new owner knows on which workers a
//! task may run. A task that has no run by the answers of those workers is started at once; one that
//! may be on a worker that does not answer waits until whatever was ordered there must have lapsed.
//! No owner starts anything without that record, also while the store is away.
//!
//! That wait is counted from the takeover, so with an owner after the other none ever ends: lasting
//! tasks of a dark rack were away for 18 s while entry VMs were restarted in turn. So an owner that
//! leaves a shard tells the next one, if that one asks, by when what may run on each worker has surely
//! lapsed.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crosspath_border::worker::Entry;
use crosspath_job::progress::Progress;
use crosspath_job::record::Record;
use crosspath_job::{JobId, TaskId};

use crate::event::Event;
use crate::incarnations;
use crate::losses::Liveness;
use crate::scheduler::{Scheduler, Settings};

/// For orders of the owner before that were on their way.
const IN_FLIGHT_MARGIN: Duration = Duration::from_millis(500);

/// What an owner knows of leases when it leaves a shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Handover {
    /// Its epoch: the next owner may rely on the rest only if no other was between them.
    pub epoch: u64,
    /// When what may run on each life of a worker has surely lapsed.
    pub expiries: BTreeMap<Arc<str>, Duration>,
}

/// Which inherited tasks may have runs that this owner has not seen.
#[derive(Debug)]
pub(crate) struct Recovery {
    /// Lives of workers that have not answered yet and are not over, and when what owners before ordered
    /// there has surely lapsed.
    unaccounted: BTreeMap<Arc<str>, Duration>,
    /// When everything unseen has lapsed.
    deadline: Duration,
    complete: bool,
}

impl Recovery {
    pub(crate) fn new(settings: &Settings, now: Duration) -> Self {
        let acting_until = now + settings.membership_ttl + IN_FLIGHT_MARGIN;
        let deadline = settings.terms.latest_expiry(acting_until, settings.terms.extension);
        Self { unaccounted: BTreeMap::new(), deadline, complete: false }
    }

    /// When everything that an owner before ordered has surely lapsed; 0 once that is so.
    pub(crate) fn pending_until(&self) -> Duration {
        if self.complete { Duration::ZERO } else { self.deadline }
    }

    /// Whether nothing unseen can be left.
    pub(crate) fn is_complete(&self) -> bool {
        self.complete
    }

    /// Lives under a worker's identifier that have not answered and began before `started_ms`.
    pub(crate) fn earlier_incarnations(&self, id: &str, started_ms: u64) -> Vec<Arc<str>> {
        let named = self
            .unaccounted
            .keys()
            .map(|incarnation| (incarnation, incarnations::parse(incarnation)));
        let before =
            named.filter(|(_, (of, started))| *of == id && (1..started_ms).contains(started));
        before.map(|(incarnation, _)| Arc::clone(incarnation)).collect()
    }

    /// Whether time settles everything now.
    fn complete_at_deadline(&mut self, now: Duration) -> bool {
        let completes = !self.complete && now >= self.deadline;
        self.complete |= completes;
        completes
    }
}

impl Scheduler {
    /// Takes over what the log kept, newest record of each key, and the workers as listed.
    pub fn take_over(
        &mut self,
        now: Duration,
        wall_ms: u64,
        records: Vec<Record>,
        workers: Vec<Entry>,
    ) {
        let mut progress: Vec<(JobId, Progress)> = Vec::new();
        let mut cancelled = Vec::new();
        for record in records {
            match record {
                Record::Accepted(id, accepted) => self.insert(now, wall_ms, id, accepted),
                Record::Progress(id, stored) => progress.push((id, stored)),
                Record::Cancelled(id, by) => cancelled.push((id, by)),
                Record::Claim(_) | Record::Tombstone(_) => {}
            }
        }
        let tasks = progress.iter().flat_map(|(_, stored)| stored.tasks.values());
        let deadline = self.recovery.deadline;
        let progress_workers = tasks
            .flat_map(|task| &task.runs)
            .map(|(_, worker)| (Arc::clone(worker), deadline))
            .collect();
        for (id, stored) in progress {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.restore(&stored, now);
            }
        }
        for job in self.jobs.values_mut() {
            job.inherited = true;
        }
        self.recovery.unaccounted = progress_workers;
        // An owner before could only start what is in the log.
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

    /// A life of a worker has answered, or is over: what it does not show is not there.
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

    /// What was unseen on a life is over: it counts as lost, and its tasks are judged by that.
    pub(crate) fn end_unaccounted(&mut self, now: Duration, incarnation: &Arc<str>) {
        self.account_for(now, incarnation, Liveness::Ended);
        self.enforce_loss_limits_on(now, incarnation);
    }

    /// What this owner knows of leases, for the next one. A worker that it looked at may have heard a
    /// look that extended them until just now, also where its last answer is older.
    #[must_use]
    pub fn handover(&self, now: Duration) -> Handover {
        let unaccounted = self.recovery.unaccounted.iter();
        // Nothing was ordered there by this owner.
        let unaccounted =
            unaccounted.filter(|(incarnation, _)| !self.is_current_incarnation(incarnation));
        let unaccounted = unaccounted.map(|(incarnation, until)| (Arc::clone(incarnation), *until));
        let terms = self.settings.terms;
        let extended = terms.latest_expiry(now + IN_FLIGHT_MARGIN, terms.extension);
        let polled = self.workers.values();
        let polled = polled.map(|worker| (worker.incarnation(), worker.lease_expiry.max(extended)));
        Handover { epoch: self.epoch, expiries: unaccounted.chain(polled).collect() }
    }

    /// Takes in what the owner before said of leases on workers that have not answered yet.
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

    /// Frees what is unseen on each worker once it has surely lapsed there.
    pub(crate) fn release_expired_unaccounted(&mut self, now: Duration) {
        // While a first look at a worker is on its way, it may extend what runs there.
        let lapsed = |incarnation: &Arc<str>| {
            let (worker, _) = incarnations::parse(incarnation);
            let worker = self.workers.get(worker);
            worker.is_none_or(|worker| worker.failures > 0 && now > worker.lease_expiry)
        };
        let unaccounted = self.recovery.unaccounted.iter();
        let expired =
            unaccounted.filter(|(incarnation, until)| now >= **until && lapsed(incarnation));
        let expired: Vec<_> = expired.map(|(incarnation, _)| Arc::clone(incarnation)).collect();
        for incarnation in expired {
            self.end_unaccounted(now, &incarnation);
        }
        if !self.recovery.complete_at_deadline(now) {
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

    /// Whether a task may be unseen on some worker.
    pub(crate) fn may_have_unreported_run(&self, id: TaskId) -> bool {
        let Some(job) = self.jobs.get(&id.job) else { return false };
        job.inherited
            && !self.recovery.complete
            && job.task(id).is_some_and(|task| !task.unreported_runs.is_empty())
    }
}
