//! Search for a job in all shards where it may be: those of its queue's pool, and those of the pools that
//! the queue had before.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crosspath_border::operator::Queue;
use crosspath_border::store::NewRecord;
use crosspath_job::JobId;
use crosspath_job::progress::State;
use crosspath_job::record::{Reassignment, Record, Requester};

use crate::appender;
use crate::assignment;
use crate::clock;
use crate::node::Node;
use crate::pending::{Deadlines, Outcome};
use crate::rpc::{self, Assigned, Reply, Request};

/// Interval between queries for a job while the shard's holder is unknown, is taking over, or does
/// not answer.
const OWNER_RETRY_INTERVAL: Duration = Duration::from_millis(60);

/// Result of the search for a job's shard.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Location {
    /// The owner of this shard has the job, in this state.
    InShard(u32, State),
    /// All owners answered, and none has the job.
    NotFound,
    /// Not found, but some owner did not answer.
    Unknown,
}

/// Shards where a job may be.
#[derive(Debug, Default)]
pub(crate) struct Candidates {
    /// Known ones, the more likely first.
    pub(crate) shards: Vec<Candidate>,
    /// Whether there may be others, which are not known yet.
    pub(crate) incomplete: bool,
}

/// Shard where a job may be.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate {
    pub(crate) shard: u32,
    /// Whether the shard is of the queue's current pool.
    pub(crate) is_current: bool,
}

/// Search for a job of a queue.
#[derive(Debug)]
pub(crate) struct Search<'a> {
    pub(crate) node: &'a Arc<Node>,
    pub(crate) queue: &'a Queue,
    pub(crate) requester: Requester,
    pub(crate) job: JobId,
    /// Version of the configuration that assigns the queue to its pool.
    pub(crate) version: u64,
    /// If the job is to be stored unless it is found: the version since which the queue has its
    /// pool. The owners of earlier pools then have to know of the reassignment.
    pub(crate) store_since: Option<u64>,
    /// Shard that is left out, because the job is relocated from there.
    pub(crate) except: Option<u32>,
}

/// Pools in which jobs of the queue may be, as far as they are known.
pub(crate) fn pools_of(node: &Node, queue: &Queue) -> BTreeSet<Arc<str>> {
    match node.table() {
        Some(table) => table.pools_of(queue, node.map().assignments()),
        None => [Arc::clone(&queue.pool)].into(),
    }
}

impl Search<'_> {
    /// Whether the job counts as unknown in a shard from which it is to be relocated. Two owners that
    /// relocate one job must not both rely on the other: it is about to be stored in the queue's
    /// pool, whoever does it first, or if there is none, it stays in the lowest shard.
    fn ignores_misplaced(&self, shard: u32) -> bool {
        self.except.is_some_and(|own| self.store_since.is_some() || shard > own)
    }

    /// Finds the shards where the job may be, in its queue's current pool and in earlier ones.
    pub(crate) async fn candidates(&self, deadline: Duration) -> Candidates {
        let incomplete = !assignment::wait_until_known(self.node, deadline).await;
        let mut candidates = Candidates { shards: Vec::new(), incomplete };
        let map = self.node.map();
        let queue = self.queue;
        let mut pools = pools_of(self.node, queue);
        pools.remove(&queue.pool);
        for pool in [&queue.pool].into_iter().chain(&pools) {
            match map.candidate_shards(pool, self.job) {
                Some(shards) => {
                    let is_current = *pool == queue.pool;
                    let shards = shards.into_iter();
                    candidates.shards.extend(shards.map(|shard| Candidate { shard, is_current }));
                }
                // No job is stored in a pool before it has shards.
                None => {
                    candidates.incomplete |= *pool == queue.pool || self.node.is_map_outdated();
                }
            }
        }
        candidates
    }

    /// Queries the owners of all shards where the job may be.
    pub(crate) async fn locate(&self, deadline: Duration) -> Location {
        let candidates = self.candidates(deadline).await;
        let mut incomplete = candidates.incomplete;
        let shards = candidates.shards.into_iter();
        for candidate in shards.filter(|candidate| self.except != Some(candidate.shard)) {
            match self.query_state(candidate, deadline).await {
                Some(Some(state)) => return Location::InShard(candidate.shard, state),
                Some(None) => {}
                None => incomplete = true,
            }
        }
        if incomplete { Location::Unknown } else { Location::NotFound }
    }

    /// State of the job by the owner of a shard, whose inner value is `None` if the job is not there;
    /// `None` if no owner has told it by the deadline.
    async fn query_state(
        &self,
        Candidate { shard, is_current }: Candidate,
        deadline: Duration,
    ) -> Option<Option<State>> {
        let assigned = if is_current {
            Some(Assigned::Here(self.version))
        } else {
            self.store_since.map(Assigned::ElsewhereSince)
        };
        let mut is_recorded = false;
        loop {
            let (job, requester) = (self.job, self.requester.clone());
            let ignores_misplaced = self.ignores_misplaced(shard);
            let request = Request::State { shard, job, requester, assigned, ignores_misplaced };
            match rpc::call_holder(self.node, shard, request).await {
                Some(Reply::State(state)) => return Some(state),
                Some(Reply::NotReassigned) if !is_recorded => {
                    is_recorded = self.record_reassignment(shard, deadline).await;
                }
                _ => {}
            }
            if clock::now() + OWNER_RETRY_INTERVAL > deadline {
                return None;
            }
            tokio::time::sleep(OWNER_RETRY_INTERVAL).await;
        }
    }

    /// Appends to a shard of an earlier pool that the queue was reassigned; returns whether the
    /// record is stored. The shard's owner reads it within a moment.
    async fn record_reassignment(&self, shard: u32, deadline: Duration) -> bool {
        let reassignment = Reassignment { config_version: self.version };
        let record = Record::Reassigned(Arc::clone(&self.queue.name), reassignment);
        let record = NewRecord::from(&record);
        let deadlines = Deadlines::until(deadline);
        let outcome = appender::append(self.node, shard, record, deadlines).await;
        log::info!(
            "event=reassignment_recorded queue={} shard={shard} config_version={} outcome={outcome:?}",
            self.queue.name,
            self.version
        );
        outcome == Outcome::Kept
    }
}
