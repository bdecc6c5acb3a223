//! Relocation of misplaced jobs, and of cancellations, to the pool that their queue has now; see
//! `crosspath_schedule::reassignment`.
//!
//! It goes on until it has succeeded, or until this daemon does not own the shard any more: the next
//! owner then finds the record in the shard's log.

use std::sync::Arc;
use std::time::Duration;

use crosspath_border::ingress::Submitted;
use crosspath_job::JobId;
use crosspath_job::record::{Accepted, Requester};
use crosspath_schedule::Event;
use crosspath_schedule::reassignment::Relocation as Outcome;
use tokio::sync::mpsc;

use crate::backoff::{self, Backoff};
use crate::gateway::{Gateway, SameShard};
use crate::node::Node;

/// Time for one attempt, in place of a caller's timeout.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which a job that is stored in another shard counts as relocated. The owner there has
/// read it by then, so that it is never found nowhere.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Relocation of a job, or of its cancellation, from a shard that this daemon owns.
#[derive(Debug)]
pub(crate) struct Relocation {
    node: Arc<Node>,
    gateway: Gateway,
    shard: u32,
    job: JobId,
    /// Version of a configuration that assigns the job's queue elsewhere.
    config_version: u64,
}

impl Relocation {
    pub(crate) fn new(node: Arc<Node>, shard: u32, job: JobId, config_version: u64) -> Self {
        let gateway = Gateway::new(Arc::clone(&node));
        Self { node, gateway, shard, job, config_version }
    }

    /// Stores a misplaced job in its queue's pool.
    pub(crate) async fn relocate(
        self,
        accepted: Arc<Accepted>,
        events: mpsc::UnboundedSender<Event>,
    ) {
        let mut backoff = Backoff::new(backoff::OWNER_CALLS);
        while self.is_wanted() {
            if let Some(outcome) = self.attempt(&accepted).await {
                if outcome == Outcome::Stored {
                    tokio::time::sleep(SETTLE_TIME).await;
                }
                // The owner's task may have ended; it needs no events then.
                events.send(Event::Relocated(self.job, outcome)).ok();
                return;
            }
            tokio::time::sleep(backoff.pause(rand::random())).await;
        }
    }

    /// Stores the cancellation of the job in all other shards where the job may be.
    pub(crate) async fn relocate_cancellation(self, by: Requester) {
        let Self { shard, job, .. } = self;
        let mut backoff = Backoff::new(backoff::OWNER_CALLS);
        while self.is_wanted() {
            let is_stored = self.knows_reassignment()
                && self.gateway.store_cancellation(job, &by, ATTEMPT_TIMEOUT, shard).await;
            log::info!("event=cancellation_relocated job={job} shard={shard} stored={is_stored}");
            if is_stored {
                return;
            }
            tokio::time::sleep(backoff.pause(rand::random())).await;
        }
    }

    fn is_wanted(&self) -> bool {
        self.node.owned().contains_key(&self.shard)
    }

    /// Whether this daemon has applied a configuration that tells the queue's new pool. An earlier one
    /// names that of this shard.
    fn knows_reassignment(&self) -> bool {
        self.node.table().is_some_and(|table| table.version >= self.config_version)
    }

    /// One attempt to relocate a job; `None` if it is to be repeated.
    async fn attempt(&self, accepted: &Accepted) -> Option<Outcome> {
        let Self { gateway, shard, job, .. } = self;
        if !self.knows_reassignment() {
            return None;
        }
        if gateway.is_queue_removed(&accepted.queue) {
            let found =
                gateway.is_stored_elsewhere(*job, accepted, ATTEMPT_TIMEOUT, *shard).await?;
            return Some(if found { Outcome::Stored } else { Outcome::Stays });
        }
        let answer = gateway.store(*job, accepted.clone(), ATTEMPT_TIMEOUT, Some(*shard)).await;
        log::info!("event=relocation job={job} shard={shard} answer={answer:?}");
        match answer {
            Err(SameShard) => Some(Outcome::Stays),
            // An identifier that is taken belongs to another customer's job, which was there first.
            Ok(Submitted::Accepted | Submitted::Taken) => Some(Outcome::Stored),
            Ok(_) => None,
        }
    }
}
