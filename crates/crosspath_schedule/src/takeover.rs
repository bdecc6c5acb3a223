//! Taking a shard over: what the log kept, and what may still run unseen.
//!
//! An owner before may have started tasks that are in no record. They are found by looking at all
//! workers. A task of an inherited job that no worker shows is started only once every worker has
//! answered under the new token, or whatever an owner before could have started has lapsed.

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

/// Whether all that an owner before started is accounted for.
#[derive(Debug)]
pub(crate) struct Settlement {
    /// Workers that have not answered yet; none before the worker list was read.
    pending: Option<BTreeSet<Arc<str>>>,
    /// When everything unseen has lapsed.
    until: Duration,
    settled: bool,
}

impl Settlement {
    pub(crate) fn new(settings: &Settings, now: Duration) -> Self {
        let acting = now + settings.membership_ttl + IN_FLIGHT;
        let until = settings.terms.over(acting, settings.terms.hold);
        Self { pending: None, until, settled: false }
    }

    pub(crate) fn is_settled(&self) -> bool {
        self.settled
    }

    /// A worker has answered, or its life is over; whether that settles it.
    pub(crate) fn accounted(&mut self, worker: &Arc<str>) -> bool {
        let Some(pending) = &mut self.pending else { return false };
        pending.remove(worker);
        let settles = !self.settled && pending.is_empty();
        self.settled |= settles;
        settles
    }

    /// Whether time settles it now.
    pub(crate) fn ends(&mut self, now: Duration) -> bool {
        let settles = !self.settled && now >= self.until;
        self.settled |= settles;
        settles
    }
}

impl Scheduler {
    /// Takes over what the log kept, newest record of each key; and the workers, if the list is
    /// known to be whole.
    pub fn take_over(
        &mut self,
        now: Duration,
        wall_ms: u64,
        records: Vec<Record>,
        workers: Option<Vec<Entry>>,
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
        for (id, kept) in progress {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.restore(&kept, now);
            }
        }
        for job in self.jobs.values_mut() {
            job.inherited = true;
        }
        for id in cancelled {
            self.cancel(now, id);
        }
        let ids: Vec<_> = self.jobs.keys().copied().collect();
        for id in &ids {
            self.open_steps(now, wall_ms, *id);
        }
        let listed = workers.is_some();
        for entry in workers.into_iter().flatten() {
            self.handle(now, wall_ms, Event::WorkerSeen(entry));
        }
        let pending: BTreeSet<_> = self.workers.keys().cloned().collect();
        let nothing = !self.jobs.values().any(|job| !job.state.is_final());
        self.settlement.settled |= nothing || (listed && pending.is_empty());
        self.settlement.pending = listed.then_some(pending);
        log::info!("event=taken_over jobs={} listed={listed} epoch={}", ids.len(), self.epoch);
    }

    /// Whether a task may be unseen on some worker.
    pub(crate) fn may_be_unseen(&self, task: TaskId) -> bool {
        !self.settlement.is_settled() && self.jobs.get(&task.job).is_some_and(|job| job.inherited)
    }
}
