//! Queues that a configuration has assigned to another pool, and jobs of theirs that are stored here
//! all the same.
//!
//! A daemon that has not applied the configuration yet, or whose append is late, stores a job here
//! that another daemon may have stored in the new pool. So a daemon that is about to store the first
//! job elsewhere appends a record of the reassignment to this shard, and waits until its owner has
//! read it. Jobs that the owner knows by then stay here, and the owner tells whoever asks. A job
//! that it learns of later is misplaced: it does not run here, but is relocated to the queue's pool,
//! whose shard keeps one job for each identifier.
//!
//! A new owner does not know what the previous one knew when it read the record. A job that has
//! progress has run here, so it stays; any other one is relocated.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crosspath_job::JobId;
use crosspath_job::progress::State;
use crosspath_job::record::{Accepted, Reassignment, Record, Requester, job_keys};

use crate::action::Action;
use crate::scheduler::Scheduler;

/// Time for which relocations are remembered. Longer than a record takes from its append until the
/// owner reads it, also while the store is down.
const RELOCATION_RETENTION: Duration = Duration::from_secs(60);

/// Result of the relocation of a misplaced job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Relocation {
    /// The job is stored in a pool of its queue.
    Stored,
    /// No other shard has the job, and the queue has this shard's pool again or was removed.
    Stays,
}

/// Reassigned queues, and misplaced jobs.
#[derive(Debug, Default)]
pub(crate) struct Reassignments {
    /// By queue, the newest version of a configuration that is known to assign it elsewhere.
    versions: BTreeMap<Arc<str>, u64>,
    /// Jobs that are being relocated.
    misplaced: BTreeMap<JobId, Arc<Accepted>>,
    /// Relocated jobs whose records were deleted here, and when.
    deleted: BTreeMap<JobId, Duration>,
    /// Jobs whose cancellation was relocated, and when. Each is relocated once, or two owners that do
    /// not know the job would send it to each other for ever.
    cancelled: BTreeMap<JobId, Duration>,
}

impl Reassignments {
    /// Version of the reassignment by which a job that becomes known now is misplaced; `None` if it is
    /// not.
    fn misplacing(&self, accepted: &Accepted) -> Option<u64> {
        let version = self.versions.get(&accepted.queue).copied();
        version.filter(|version| accepted.config_version < *version)
    }

    pub(crate) fn misplaced(&self, job: JobId) -> Option<&Arc<Accepted>> {
        self.misplaced.get(&job)
    }

    /// Number of a queue's jobs that are being relocated.
    pub(crate) fn misplaced_of(&self, queue: &str) -> usize {
        self.misplaced.values().filter(|accepted| *accepted.queue == *queue).count()
    }
}

impl Scheduler {
    /// Newest version of a configuration that is known to assign the queue to another pool; `None`
    /// if the queue was not reassigned.
    #[must_use]
    pub fn reassigned_by(&self, queue: &str) -> Option<u64> {
        self.reassignments.versions.get(queue).copied()
    }

    /// Whether the job is being relocated.
    #[must_use]
    pub fn is_misplaced(&self, job: JobId) -> bool {
        self.reassignments.misplaced(job).is_some()
    }

    /// Applies the record of a reassignment.
    pub(crate) fn queue_reassigned(&mut self, queue: Arc<str>, config_version: u64) {
        let version = self.reassignments.versions.entry(Arc::clone(&queue)).or_default();
        if config_version < *version {
            // The newest record in the log, which the next owner reads, is to have the newest
            // version.
            let newest = Reassignment { config_version: *version };
            self.commits.rewrite(Record::Reassigned(queue, newest));
            return;
        }
        log::info!("event=queue_left queue={queue} config_version={config_version}");
        *version = config_version;
    }

    /// Relocates a job that has just become known, if it is misplaced; returns whether it is.
    pub(crate) fn relocate_if_misplaced(&mut self, id: JobId, accepted: &Arc<Accepted>) -> bool {
        let Some(config_version) = self.reassignments.misplacing(accepted) else {
            self.reassignments.misplaced.remove(&id);
            return false;
        };
        let accepted = Arc::clone(accepted);
        if self.reassignments.misplaced.insert(id, Arc::clone(&accepted)).is_none() {
            log::info!("event=job_misplaced job={id} queue={}", accepted.queue);
            self.actions.push(Action::Relocate { job: id, accepted, config_version });
        }
        true
    }

    /// Ends the relocation of a job. The records of one that is stored elsewhere are deleted here.
    pub(crate) fn relocated(
        &mut self,
        now: Duration,
        wall_ms: u64,
        id: JobId,
        relocation: Relocation,
    ) {
        // A job that was cancelled, or accepted here again by a later configuration, stays.
        let Some(accepted) = self.reassignments.misplaced.remove(&id) else { return };
        log::info!("event=job_relocated job={id} relocation={relocation:?}");
        match relocation {
            Relocation::Stored => {
                job_keys(id).into_iter().for_each(|key| self.commits.delete(key));
                self.reassignments.deleted.insert(id, now);
            }
            Relocation::Stays => self.begin_job(now, wall_ms, id, accepted),
        }
    }

    /// Writes the acceptance of a job again if this owner has deleted an earlier one: in the log, the
    /// deletion may come after the record from which the job is known now.
    pub(crate) fn rewrite_if_deleted(&mut self, id: JobId, accepted: &Arc<Accepted>) {
        if self.reassignments.deleted.remove(&id).is_some() {
            self.commits.rewrite(Record::Accepted(id, Arc::clone(accepted)));
        }
    }

    /// Forgets what was done so long ago that no record from before can arrive any more.
    pub(crate) fn prune_relocations(&mut self, now: Duration) {
        let is_recent = |at: &Duration| now < *at + RELOCATION_RETENTION;
        self.reassignments.deleted.retain(|_, at| is_recent(at));
        self.reassignments.cancelled.retain(|_, at| is_recent(at));
    }

    /// Applies the cancellation of a job that is none of this shard. The job may be stored in the
    /// pool to which its queue was reassigned, now or later. Returns whether it was a misplaced one,
    /// which is cancelled here too.
    pub(crate) fn cancel_elsewhere(&mut self, now: Duration, id: JobId, by: &Requester) -> bool {
        let Some(config_version) = self.reassigned_by(&by.queue) else { return false };
        if self.reassignments.cancelled.insert(id, now).is_none() {
            let by = by.clone();
            self.actions.push(Action::RelocateCancellation { job: id, by, config_version });
        }
        let misplaced = self.reassignments.misplaced(id).filter(|job| job.belongs_to(by));
        let Some(accepted) = misplaced.cloned() else { return false };
        self.reassignments.misplaced.remove(&id);
        self.insert(now, accepted.at_ms, id, accepted);
        self.finish(now, id, State::Cancelled);
        true
    }
}
