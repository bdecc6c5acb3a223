//! One worker as its shard's owner knows it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crosspath_border::worker::{Entry, Target};
use crosspath_job::TaskId;
use crosspath_job::spec::Resources;

use crate::incarnations;
use crate::losses;

/// A worker: one life of a VM.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) entry: Entry,
    /// Whether the worker list still has it.
    pub(crate) listed: bool,
    /// Whether a look under the own token was answered.
    pub(crate) synced: bool,
    /// When it was heard that another life has begun under the identifier.
    pub(crate) incarnation_changed: Option<Duration>,
    /// When the last look that it answered was sent.
    pub(crate) last_answered_poll: Duration,
    /// Looks or orders that failed since the last answer.
    pub(crate) failures: u32,
    /// No new work before, after refusals and failures.
    pub(crate) cooldown_until: Duration,
    /// When everything there has surely lapsed without further orders.
    pub(crate) lease_expiry: Duration,
    /// The same of what this owner has ordered.
    pub(crate) ordered_lease_expiry: Duration,
    /// Reserved by runs.
    pub(crate) reserved: Resources,
    /// Runs that are or may be there.
    pub(crate) runs: BTreeMap<(TaskId, u64), Resources>,
    /// Highest number of an end that was taken in.
    pub(crate) ends_seen: u64,
    /// Highest number of an end that was acknowledged.
    pub(crate) ends_acknowledged: u64,
    /// Score of late failures and stalls; decays.
    pub(crate) suspicion: f64,
    /// When the score was last changed.
    pub(crate) suspicion_updated: Duration,
    /// Runs there of tasks that keep apart and have not proved themselves, and whether each is to be alone.
    pub(crate) suspect_runs: BTreeMap<(TaskId, u64), bool>,
    /// Orders without an answer, until their effect is ruled out.
    pub(crate) unanswered: BTreeSet<(TaskId, u64)>,
}

/// Score above which a worker gets no new work.
pub(crate) const QUARANTINE_THRESHOLD: f64 = 2.5;
/// Time in which the score halves; a worker is tried again a few seconds after it was bad.
const SUSPICION_HALF_LIFE: Duration = Duration::from_secs(3);

impl Worker {
    pub(crate) fn new(entry: Entry) -> Self {
        Self {
            entry,
            listed: true,
            synced: false,
            incarnation_changed: None,
            last_answered_poll: Duration::ZERO,
            failures: 0,
            cooldown_until: Duration::ZERO,
            lease_expiry: Duration::ZERO,
            ordered_lease_expiry: Duration::ZERO,
            reserved: Resources::default(),
            runs: BTreeMap::new(),
            ends_seen: 0,
            ends_acknowledged: 0,
            suspicion: 0.0,
            suspicion_updated: Duration::ZERO,
            suspect_runs: BTreeMap::new(),
            unanswered: BTreeSet::new(),
        }
    }

    pub(crate) fn target(&self) -> Target {
        let Entry { address, ref id, started_ms, .. } = self.entry;
        Target { address, id: Arc::clone(id), started_ms }
    }

    /// Name of its life.
    pub(crate) fn incarnation(&self) -> Arc<str> {
        incarnations::name(&self.entry.id, self.entry.started_ms)
    }

    pub(crate) fn free(&self) -> Resources {
        self.entry.capacity.minus(&self.reserved)
    }

    /// Whether it has answered this owner, and its last look too.
    pub(crate) fn is_answering(&self) -> bool {
        self.synced && self.failures == 0
    }

    /// Whether it takes new work, room aside.
    pub(crate) fn is_usable(&self, now: Duration) -> bool {
        self.listed && self.is_answering() && !self.entry.draining && now >= self.cooldown_until
    }

    pub(crate) fn suspicion_at(&self, now: Duration) -> f64 {
        let since = now.saturating_sub(self.suspicion_updated).as_secs_f64();
        self.suspicion * 0.5_f64.powf(since / SUSPICION_HALF_LIFE.as_secs_f64())
    }

    pub(crate) fn add_suspicion(&mut self, now: Duration, amount: f64) {
        self.suspicion = (self.suspicion_at(now) + amount).max(0.0);
        self.suspicion_updated = now;
    }

    pub(crate) fn has_label(&self, label: &str) -> bool {
        self.entry.labels.iter().any(|own| **own == *label)
    }

    /// Adds a run that is or may be there.
    pub(crate) fn reserve(&mut self, task: TaskId, run: u64, resources: Resources) {
        if self.runs.insert((task, run), resources).is_none() {
            self.reserved.add(&resources);
        }
    }

    /// Notes a run of a task with so many losses.
    pub(crate) fn mark_suspect(&mut self, task: TaskId, run: u64, losses: usize) {
        if losses::needs_separation(losses) {
            self.suspect_runs.insert((task, run), losses::needs_isolation(losses));
        }
    }

    /// Whether a run there is to be alone.
    pub(crate) fn isolates(&self) -> bool {
        self.suspect_runs.values().any(|alone| *alone)
    }

    /// Removes a run that is not there any more.
    pub(crate) fn release(&mut self, task: TaskId, run: u64) {
        self.suspect_runs.remove(&(task, run));
        self.unanswered.remove(&(task, run));
        if let Some(resources) = self.runs.remove(&(task, run)) {
            self.reserved = self.reserved.minus(&resources);
        }
    }

    /// An order that extends or gives leases was sent.
    pub(crate) fn extend_lease(&mut self, expiry: Duration) {
        self.ordered_lease_expiry = self.ordered_lease_expiry.max(expiry);
        self.lease_expiry = self.lease_expiry.max(expiry);
    }

    /// Owners before may have given leases.
    pub(crate) fn inherit_lease(&mut self, expiry: Duration) {
        self.lease_expiry = self.lease_expiry.max(expiry);
    }
}
