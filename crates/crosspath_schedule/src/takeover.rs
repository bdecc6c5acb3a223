//! Taking a shard over: what the log kept, and what may still run unseen.
//!
//! Where a run is started is written to the log before, so a new owner knows on which workers a
//! task may run. A task that has no run by the answers of those workers is started at once; one that
//! may be on a worker that does not answer waits until whatever was ordered there must have lapsed.
//! No owner starts anything without that record, also while the store is away.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crosspath_border::worker::Entry;
use crosspath_job::progress::Progress;
use crosspath_job::record::Record;
use crosspath_job::{JobId, TaskId};

use crate::event::Event;
use crate::scheduler::{Scheduler, Settings};

/// For orders of the owner before that were on their way.
const IN_FLIGHT: Duration = Duration::from_millis(500);

/// Which inherited tasks may have runs that this owner has not seen.
#[derive(Debug)]
pub(crate) struct Settlement {
    /// Workers that have not answered yet and whose life is not over.
    unaccounted: BTreeSet<Arc<str>>,
    /// When everything unseen has lapsed.
    until: Duration,
    over: bool,
}

impl Settlement {
    pub(crate) fn new(settings: &Settings, now: Duration) -> Self {
        let acting = now + settings.membership_ttl + IN_FLIGHT;
        let until = settings.terms.over(acting, settings.terms.hold);
        Self { unaccounted: BTreeSet::new(), until, over: false }
    }

    /// When everything that an owner before ordered has surely lapsed; 0 once that is so.
    pub(crate) fn open_until(&self) -> Duration {
        if self.over { Duration::ZERO } else { self.until }
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
                Record::Cancelled(id) => cancelled.push(id),
                Record::Claim(_) | Record::Dropped(_) => {}
            }
        }
        let tasks = progress.iter().flat_map(|(_, kept)| kept.tasks.values());
        let progress_workers =
            tasks.flat_map(|task| &task.runs).map(|(_, worker)| Arc::clone(worker)).collect();
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
        self.settlement.over = self.jobs.values().all(|job| job.state.is_final());
        let (jobs, open) = (self.jobs.len(), self.settlement.unaccounted.len());
        log::info!(
            "event=taken_over jobs={jobs} workers={} expected_on={open} epoch={}",
            workers.len(),
            self.epoch
        );
        for id in cancelled {
            self.cancel(now, id);
        }
        let ids: Vec<_> = self.jobs.keys().copied().collect();
        for id in ids {
            self.open_steps(now, wall_ms, id);
        }
        for entry in workers {
            self.handle(now, wall_ms, Event::WorkerSeen(entry));
        }
    }

    /// A worker has answered, or its life is over: what it does not show is not there.
    pub(crate) fn accounted(&mut self, worker: &Arc<str>) {
        if !self.settlement.unaccounted.remove(worker) {
            return;
        }
        self.place_again = true;
        for job in self.jobs.values_mut().filter(|job| job.inherited) {
            job.rule_out(|other| other == worker);
        }
    }

    /// Frees everything unseen once it has surely lapsed.
    pub(crate) fn settle(&mut self, now: Duration) {
        if !self.settlement.ends(now) {
            return;
        }
        self.place_again = true;
        for job in self.jobs.values_mut().filter(|job| job.inherited) {
            job.rule_out(|_| true);
        }
    }

    /// Whether a task may be unseen on some worker.
    pub(crate) fn may_be_unseen(&self, id: TaskId) -> bool {
        let Some(job) = self.jobs.get(&id.job) else { return false };
        job.inherited
            && !self.settlement.over
            && job.task(id).is_some_and(|task| !task.unseen.is_empty())
    }
}
