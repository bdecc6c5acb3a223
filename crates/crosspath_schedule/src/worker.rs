//! State of a worker, as far as the shard owner knows it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crosspath_border::worker::{Entry, Target};
use crosspath_job::TaskId;
use crosspath_job::spec::Resources;
use crosspath_spread::Domain;

use crate::incarnations;
use crate::losses;
use crate::warm_up::WarmUp;

/// Worker: one incarnation of a VM.
#[derive(Debug)]
pub(crate) struct Worker {
    /// Newest entry of the worker list, with the incarnation that answers polls.
    pub(crate) entry: Entry,
    /// Failure domains of the VM, which do not change with the worker's entry.
    pub(crate) domain: Domain,
    /// Whether the worker list still has an entry of the worker.
    pub(crate) listed: bool,
    /// Whether the worker has answered a poll with this owner's fencing token.
    pub(crate) synced: bool,
    /// When this owner learnt of the current incarnation.
    pub(crate) known_since: Duration,
    /// Whether the worker has ended because its whole data centre is lost.
    pub(crate) is_domain_lost: bool,
    /// When this owner learnt that a new incarnation has started under the identifier, if it has.
    pub(crate) incarnation_changed: Option<Duration>,
    /// Send time of the last poll that was answered.
    pub(crate) last_answered_poll: Duration,
    /// Time at which the last answer to a poll arrived.
    pub(crate) last_answer: Duration,
    /// Whether the last answer to a poll may have left out some of the ended runs.
    pub(crate) has_more_ended: bool,
    /// Number of polls that failed since the last answer.
    pub(crate) failures: u32,
    /// Time before which the worker gets no new work, after refused or unanswered orders.
    pub(crate) cooldown_until: Duration,
    /// Time by which all leases on the worker have expired if no further order extends them.
    pub(crate) lease_expiry: Duration,
    /// The same for leases that this owner has granted, leaving out those of previous owners.
    pub(crate) ordered_lease_expiry: Duration,
    /// Sum of the resources that the runs reserve.
    pub(crate) reserved: Resources,
    /// Runs that exist or may exist on the worker, with the resources that each reserves.
    pub(crate) runs: BTreeMap<(TaskId, u64), Resources>,
    /// Highest sequence number of an ended run whose report was processed.
    pub(crate) ends_seen: u64,
    /// Highest sequence number of an ended run that was acknowledged to the worker.
    pub(crate) ends_acknowledged: u64,
    /// Score of recent failed runs, refused starts and stalls on the worker; decays over time.
    pub(crate) suspicion: f64,
    /// When the suspicion score last changed.
    pub(crate) suspicion_updated: Duration,
    /// Runs on probation of tasks that are to be separated, and whether each is to be isolated.
    pub(crate) suspect_runs: BTreeMap<(TaskId, u64), bool>,
    /// Warm-up after the start of the worker.
    pub(crate) warm_up: WarmUp,
    /// Runs with an order that got no answer, until its effect is ruled out.
    pub(crate) unanswered: BTreeSet<(TaskId, u64)>,
}

/// Suspicion score from which on a worker gets no new work.
pub(crate) const QUARANTINE_THRESHOLD: f64 = 2.5;
/// Time in which the suspicion score halves. A worker is used again a few seconds after its
/// failures.
const SUSPICION_HALF_LIFE: Duration = Duration::from_secs(3);

impl Worker {
    pub(crate) fn new(entry: Entry, now: Duration) -> Self {
        let domain = Domain::of(&entry.data_centre, &entry.labels);
        Self {
            entry,
            domain,
            listed: true,
            synced: false,
            known_since: now,
            is_domain_lost: false,
            incarnation_changed: None,
            last_answered_poll: Duration::ZERO,
            last_answer: Duration::ZERO,
            has_more_ended: false,
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
            warm_up: WarmUp::default(),
            unanswered: BTreeSet::new(),
        }
    }

    pub(crate) fn target(&self) -> Target {
        let Entry { address, ref id, started_ms, ref data_centre, .. } = self.entry;
        Target { address, id: Arc::clone(id), started_ms, data_centre: Arc::clone(data_centre) }
    }

    /// Name of the worker's incarnation, see [`incarnations::name`].
    pub(crate) fn incarnation(&self) -> Arc<str> {
        incarnations::name(&self.entry.id, self.entry.started_ms)
    }

    pub(crate) fn free(&self) -> Resources {
        self.entry.capacity.minus(&self.reserved)
    }

    /// Whether the worker has answered this owner, and its last poll did not fail.
    pub(crate) fn is_answering(&self) -> bool {
        self.synced && self.failures == 0
    }

    /// Whether the worker answers, and every run that has ended on it is durable in the log.
    pub(crate) fn has_durable_ends(&self) -> bool {
        self.is_answering() && !self.has_more_ended && self.ends_seen == self.ends_acknowledged
    }

    /// Whether the worker accepts new work, apart from the resources that it has left.
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

    /// Adds a run that exists or may exist on the worker, and reserves its resources.
    pub(crate) fn reserve(&mut self, task: TaskId, run: u64, resources: Resources) {
        if self.runs.insert((task, run), resources).is_none() {
            self.reserved.add(&resources);
        }
    }

    /// Marks a run as suspect if its task has lost enough runs to be separated from others.
    pub(crate) fn mark_suspect(&mut self, task: TaskId, run: u64, losses: usize) {
        if losses::needs_separation(losses) {
            self.suspect_runs.insert((task, run), losses::needs_isolation(losses));
        }
    }

    /// Whether a run on the worker is to be isolated.
    pub(crate) fn isolates(&self) -> bool {
        self.suspect_runs.values().any(|alone| *alone)
    }

    /// Removes a run that does not exist any more, and frees its resources.
    pub(crate) fn release(&mut self, task: TaskId, run: u64) {
        self.suspect_runs.remove(&(task, run));
        self.unanswered.remove(&(task, run));
        if let Some(resources) = self.runs.remove(&(task, run)) {
            self.reserved = self.reserved.minus(&resources);
        }
    }

    /// Notes that an order was sent which may extend leases on the worker up to `expiry`.
    pub(crate) fn extend_lease(&mut self, expiry: Duration) {
        self.ordered_lease_expiry = self.ordered_lease_expiry.max(expiry);
        self.lease_expiry = self.lease_expiry.max(expiry);
    }

    /// Notes that previous owners may have granted leases on the worker up to `expiry`.
    pub(crate) fn inherit_lease(&mut self, expiry: Duration) {
        self.lease_expiry = self.lease_expiry.max(expiry);
    }
}
