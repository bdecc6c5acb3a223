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
use crosspath_schedule::reassignment::Relocation;
use tokio::sync::mpsc;

use crate::backoff::{self, Backoff};
use crate::gateway::{Gateway, SameShard};
use crate::node::Node;

/// Time for one attempt, in place of a caller's timeout.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which a job that is stored in another shard counts as relocated. The owner there has
/// read it by then, so that it is never found nowhere.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Stores a misplaced job of the shard in its queue's pool.
pub(crate) async fn relocate(
    node: Arc<Node>,
    shard: u32,
    job: JobId,
    accepted: Arc<Accepted>,
    events: mpsc::UnboundedSender<Event>,
) {
    let gateway = Gateway::new(Arc::clone(&node));
    let mut backoff = Backoff::new(backoff::OWNER_CALLS);
    while node.owned().contains_key(&shard) {
        if let Some(relocation) = attempt(&gateway, shard, job, &accepted).await {
            tokio::time::sleep(SETTLE_TIME).await;
            // The owner's task may have ended; it needs no events then.
            events.send(Event::Relocated(job, relocation)).ok();
            return;
        }
        tokio::time::sleep(backoff.pause(rand::random())).await;
    }
}

async fn attempt(
    gateway: &Gateway,
    shard: u32,
    job: JobId,
    accepted: &Accepted,
) -> Option<Relocation> {
    if gateway.is_queue_removed(&accepted.queue) {
        let found = gateway.is_stored_elsewhere(job, accepted, ATTEMPT_TIMEOUT, shard).await?;
        return Some(if found { Relocation::Stored } else { Relocation::Stays });
    }
    let answer = gateway.store(job, accepted.clone(), ATTEMPT_TIMEOUT, Some(shard)).await;
    log::info!("event=relocation job={job} shard={shard} answer={answer:?}");
    match answer {
        Err(SameShard) => Some(Relocation::Stays),
        // An identifier that is taken belongs to another customer's job, which was there first.
        Ok(Submitted::Accepted | Submitted::Taken) => Some(Relocation::Stored),
        Ok(_) => None,
    }
}

/// Stores a cancellation from the shard in the pool of the job's queue.
pub(crate) async fn relocate_cancellation(node: Arc<Node>, shard: u32, job: JobId, by: Requester) {
    let gateway = Gateway::new(Arc::clone(&node));
    let mut backoff = Backoff::new(backoff::OWNER_CALLS);
    while node.owned().contains_key(&shard) {
        let is_stored = gateway.store_cancellation(job, &by, ATTEMPT_TIMEOUT, shard).await;
        log::info!("event=cancellation_relocated job={job} shard={shard} stored={is_stored}");
        if is_stored {
            return;
        }
        tokio::time::sleep(backoff.pause(rand::random())).await;
    }
}
