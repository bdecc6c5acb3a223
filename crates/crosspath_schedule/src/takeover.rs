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
use crate::lives;
use crate::losses::Liveness;
use crate::scheduler::{Scheduler, Settings};

/// For orders of the owner before that were on their way.
const IN_FLIGHT: Duration = Duration::from_millis(500);

/// What an owner knows of leases when it leaves a shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Legacy {
    /// Its epoch: the next owner may rely on the rest only if no other was between them.
    pub epoch: u64,
    /// When what may run on each life of a worker has surely lapsed.
    pub over: BTreeMap<Arc<str>, Duration>,
}

/// Which inherited tasks may have runs that this owner has not seen.
#[derive(Debug)]
pub(crate) struct Settlement {
    /// Lives of workers that have not answered yet and are not over, and when what owners before ordered
    /// there has surely lapsed.
    unaccounted: BTreeMap<Arc<str>, Duration>,
    /// When everything unseen has lapsed.
    until: Duration,
    over: bool,
}

impl Settlement {
    pub(crate) fn new(settings: &Settings, now: Duration) -> Self {
        let acting = now + settings.membership_ttl + IN_FLIGHT;
        let until = settings.terms.over(acting, settings.terms.hold);
        Self { unaccounted: BTreeMap::new(), until, over: false }
    }

    /// When everything that an owner before ordered has surely lapsed; 0 once that is so.
    pub(crate) fn open_until(&self) -> Duration {
        if self.over { Duration::ZERO } else { self.until }
    }

    /// Whether nothing unseen can be left.
    pub(crate) fn is_over(&self) -> bool {
        self.over
    }

    /// Lives under a worker's identifier that have not answered and began before `born_ms`.
    pub(crate) fn lives_before(&self, id: &str, born_ms: u64) -> Vec<Arc<str>> {
        let named = self.unaccounted.keys().map(|life| (life, lives::parse(life)));
        let before = named.filter(|(_, (of, began))| *of == id && (1..born_ms).contains(began));
        before.map(|(life, _)| Arc::clone(life)).collect()
    }

    /// Whether time settles everything now.
    fn ends(&mut self, now: Duration) -> bool {
        let ends = !self.over && now >= self.until;
        self.over |= ends;
        ends
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
                Record::Progress(id, kept) => progress.push((id, kept)),
                Record::Cancelled(id, by) => cancelled.push((id, by)),
                Record::Claim(_) | Record::Tombstone(_) => {}
            }
        }
        let tasks = progress.iter().flat_map(|(_, kept)| kept.tasks.values());
        let until = self.settlement.until;
        let progress_workers = tasks
            .flat_map(|task| &task.runs)
            .map(|(_, worker)| (Arc::clone(worker), until))
            .collect();
        for (id, kept) in progress {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.restore(&kept, now);
            }
        }
        for job in self.jobs.values_mut() {
            job.inherited = true;
        }
        self.settlement.unaccounted = progress_workers;
        // An owner before could only start what is in the log.
        self.settlement.over = self.jobs.values().all(|job| job.state.is_terminal());
        let (jobs, open) = (self.jobs.len(), self.settlement.unaccounted.len());
        log::info!(
            "event=taken_over jobs={jobs} workers={} expected_on={open} epoch={}",
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
            self.handle(now, wall_ms, Event::WorkerSeen(entry));
        }
    }

    /// A life of a worker has answered, or is over: what it does not show is not there.
    pub(crate) fn accounted(&mut self, now: Duration, life: &Arc<str>, fate: Liveness) {
        if self.settlement.unaccounted.remove(life).is_none() {
            return;
        }
        if fate == Liveness::Ended {
            self.record_unreported_losses(now, life);
        }
        self.place_again = true;
        for job in self.jobs.values_mut().filter(|job| job.inherited) {
            job.drop_unreported(|other| other == life);
        }
    }

    /// What was unseen on a life is over: it counts as lost, and its tasks are judged by that.
    pub(crate) fn lost_unseen(&mut self, now: Duration, life: &Arc<str>) {
        self.accounted(now, life, Liveness::Ended);
        self.enforce_loss_limits_on(now, life);
    }

    /// What this owner knows of leases, for the next one. A worker that it looked at may have heard a
    /// look that extended them until just now, also where its last answer is older.
    #[must_use]
    pub fn leave(&self, now: Duration) -> Legacy {
        let unaccounted = self.settlement.unaccounted.iter();
        // Nothing was ordered there by this owner.
        let unseen = unaccounted.filter(|(life, _)| !self.is_known_life(life));
        let unseen = unseen.map(|(life, until)| (Arc::clone(life), *until));
        let terms = self.settings.terms;
        let extended = terms.over(now + IN_FLIGHT, terms.hold);
        let looked_at = self.workers.values();
        let looked_at = looked_at.map(|worker| (worker.life(), worker.lease_over.max(extended)));
        Legacy { epoch: self.epoch, over: unseen.chain(looked_at).collect() }
    }

    /// Takes in what the owner before said of leases on workers that have not answered yet.
    pub(crate) fn hand_over(&mut self, leases: BTreeMap<Arc<str>, Duration>) {
        for (life, over) in leases {
            let known = self.is_known_life(&life);
            let Some(until) = self.settlement.unaccounted.get_mut(&life) else { continue };
            *until = over.min(*until);
            log::info!("event=lease_handed_over worker={life} over_ms={}", until.as_millis());
            let (worker, _) = lives::parse(&life);
            if let Some(worker) = self.workers.get_mut(worker).filter(|_| known) {
                worker.lease_over = worker.ordered_over.max(*until);
            }
        }
    }

    /// Frees what is unseen on each worker once it has surely lapsed there.
    pub(crate) fn settle(&mut self, now: Duration) {
        // While a first look at a worker is on its way, it may extend what runs there.
        let lapsed = |life: &Arc<str>| {
            let (worker, _) = lives::parse(life);
            let worker = self.workers.get(worker);
            worker.is_none_or(|worker| worker.failures > 0 && now > worker.lease_over)
        };
        let unaccounted = self.settlement.unaccounted.iter();
        let over = unaccounted.filter(|(life, until)| now >= **until && lapsed(life));
        let over: Vec<_> = over.map(|(life, _)| Arc::clone(life)).collect();
        for life in over {
            self.lost_unseen(now, &life);
        }
        if !self.settlement.ends(now) {
            return;
        }
        self.place_again = true;
        for life in self.settlement.unaccounted.keys().cloned().collect::<Vec<_>>() {
            self.lost_unseen(now, &life);
        }
        for job in self.jobs.values_mut().filter(|job| job.inherited) {
            job.drop_unreported(|_| true);
        }
    }

    /// Whether a task may be unseen on some worker.
    pub(crate) fn may_be_unseen(&self, id: TaskId) -> bool {
        let Some(job) = self.jobs.get(&id.job) else { return false };
        job.inherited
            && !self.settlement.over
            && job.task(id).is_some_and(|task| !task.unreported_runs.is_empty())
    }
}
