//! One worker as its shard's owner knows it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crosspath_border::worker::{Entry, Target};
use crosspath_job::TaskId;
use crosspath_job::spec::Resources;

use crate::lives;
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
    pub(crate) reborn: Option<Duration>,
    /// When the last look that it answered was sent.
    pub(crate) answered_sent: Duration,
    /// Looks or orders that failed since the last answer.
    pub(crate) failures: u32,
    /// No new work before, after refusals and failures.
    pub(crate) rest_until: Duration,
    /// When everything there has surely lapsed without further orders.
    pub(crate) lease_over: Duration,
    /// The same of what this owner has ordered.
    pub(crate) ordered_over: Duration,
    /// Reserved by runs.
    pub(crate) used: Resources,
    /// Runs that are or may be there.
    pub(crate) runs: BTreeMap<(TaskId, u64), Resources>,
    /// Highest number of an end that was taken in.
    pub(crate) ends_seen: u64,
    /// Highest number of an end that was acknowledged.
    pub(crate) ends_acknowledged: u64,
    /// Score of late failures and stalls; decays.
    pub(crate) blame: f64,
    /// When the score was last changed.
    pub(crate) blamed: Duration,
    /// Runs there of tasks that keep apart and have not proved themselves, and whether each is to be alone.
    pub(crate) suspects: BTreeMap<(TaskId, u64), bool>,
    /// Orders without an answer, until their effect is ruled out.
    pub(crate) unanswered: BTreeSet<(TaskId, u64)>,
}

/// Score above which a worker gets no new work.
pub(crate) const BLAME_LIMIT: f64 = 2.5;
/// Time in which the score halves; a worker is tried again a few seconds after it was bad.
const BLAME_HALF_LIFE: Duration = Duration::from_secs(3);

impl Worker {
    pub(crate) fn new(entry: Entry) -> Self {
        Self {
            entry,
            listed: true,
            synced: false,
            reborn: None,
            answered_sent: Duration::ZERO,
            failures: 0,
            rest_until: Duration::ZERO,
            lease_over: Duration::ZERO,
            ordered_over: Duration::ZERO,
            used: Resources::default(),
            runs: BTreeMap::new(),
            ends_seen: 0,
            ends_acknowledged: 0,
            blame: 0.0,
            blamed: Duration::ZERO,
            suspects: BTreeMap::new(),
            unanswered: BTreeSet::new(),
        }
    }

    pub(crate) fn target(&self) -> Target {
        let Entry { address, ref id, started_ms: born_ms, .. } = self.entry;
        Target { address, id: Arc::clone(id), started_ms: born_ms }
    }

    /// Name of its life.
    pub(crate) fn life(&self) -> Arc<str> {
        lives::name(&self.entry.id, self.entry.started_ms)
    }

    pub(crate) fn free(&self) -> Resources {
        self.entry.capacity.minus(&self.used)
    }

    /// Whether it has answered this owner, and its last look too.
    pub(crate) fn answers(&self) -> bool {
        self.synced && self.failures == 0
    }

    /// Whether it takes new work, room aside.
    pub(crate) fn is_usable(&self, now: Duration) -> bool {
        self.listed && self.answers() && !self.entry.draining && now >= self.rest_until
    }

    pub(crate) fn blame_at(&self, now: Duration) -> f64 {
        let since = now.saturating_sub(self.blamed).as_secs_f64();
        self.blame * 0.5_f64.powf(since / BLAME_HALF_LIFE.as_secs_f64())
    }

    pub(crate) fn add_blame(&mut self, now: Duration, amount: f64) {
        self.blame = (self.blame_at(now) + amount).max(0.0);
        self.blamed = now;
    }

    pub(crate) fn has_label(&self, label: &str) -> bool {
        self.entry.labels.iter().any(|own| **own == *label)
    }

    /// Adds a run that is or may be there.
    pub(crate) fn reserve(&mut self, task: TaskId, run: u64, room: Resources) {
        if self.runs.insert((task, run), room).is_none() {
            self.used.add(&room);
        }
    }

    /// Notes a run of a task with so many losses.
    pub(crate) fn suspect(&mut self, task: TaskId, run: u64, losses: usize) {
        if losses::needs_separation(losses) {
            self.suspects.insert((task, run), losses::needs_isolation(losses));
        }
    }

    /// Whether a run there is to be alone.
    pub(crate) fn isolates(&self) -> bool {
        self.suspects.values().any(|alone| *alone)
    }

    /// Removes a run that is not there any more.
    pub(crate) fn release(&mut self, task: TaskId, run: u64) {
        self.suspects.remove(&(task, run));
        self.unanswered.remove(&(task, run));
        if let Some(room) = self.runs.remove(&(task, run)) {
            self.used = self.used.minus(&room);
        }
    }

    /// An order that extends or gives leases was sent.
    pub(crate) fn leased_until(&mut self, over: Duration) {
        self.ordered_over = self.ordered_over.max(over);
        self.lease_over = self.lease_over.max(over);
    }

    /// Owners before may have given leases.
    pub(crate) fn inherited_until(&mut self, over: Duration) {
        self.lease_over = self.lease_over.max(over);
    }
}
