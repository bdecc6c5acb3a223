//! Access of a shard's owner to the log: its own commits, the records of callers' requests, and
//! what the previous owner knows of leases.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crosspath_border::store::{Error, NewRecord, Partition, Precondition, Stored};
use crosspath_job::record::{Reassignment, Record};
use crosspath_schedule::Event;
use tokio::sync::mpsc;

use crate::backoff::{self, Backoff};
use crate::clock;
use crate::feed::Feed;
use crate::node::{Node, shard_partition};
use crate::rpc::{Reply, Request};

/// Time for which a read of the shard waits for a new record.
const POLL_WAIT: Duration = Duration::from_millis(1_500);
/// Pause after records were read, so that those of the meantime, own commits included, are read by
/// one call. Daemons that append for callers notify the owner directly; this read only covers the
/// cases in which they cannot.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(200);

/// Event for a record of a caller's request, which any daemon may append, whatever the order of the
/// records; `None` for others.
pub(crate) fn request_event(record: Record) -> Option<Event> {
    match record {
        Record::Accepted(job, accepted) => Some(Event::Accepted(job, accepted)),
        Record::Cancelled(job, by) => Some(Event::Cancelled(job, by)),
        Record::Claim(_)
        | Record::Progress(..)
        | Record::ProgressPart(..)
        | Record::Reassigned(..)
        | Record::Tombstone(_) => None,
    }
}

/// Event for a record that was read from the log, after those before it; `None` for records of owners.
fn log_event(record: Record) -> Option<Event> {
    match record {
        Record::Reassigned(queue, Reassignment { config_version }) => {
            Some(Event::Reassigned(queue, config_version))
        }
        record => request_event(record),
    }
}

pub(crate) fn decode(records: &[Stored]) -> Vec<Record> {
    let decoded = records.iter().filter_map(|stored| {
        let record = Record::decode(&stored.key, &stored.value);
        record.inspect_err(|error| log::warn!("event=record_unreadable error=\"{error}\"")).ok()
    });
    decoded.collect()
}

/// Appends as owner, in as many appends as the store's limits ask for, and retries each until the
/// store accepts or refuses it; returns whether the shard is still owned. The appends have the
/// sequence numbers from `first_sequence` on.
pub(crate) async fn append_owned(
    node: &Node,
    partition: Partition,
    records: &[NewRecord],
    epoch: u64,
    first_sequence: u64,
) -> bool {
    for (sequence, records) in (first_sequence..).zip(node.store.limits().appends(records)) {
        let precondition = Precondition::Owner { epoch, sequence };
        if !append_once_as_owner(node, partition, records, precondition).await {
            return false;
        }
    }
    true
}

async fn append_once_as_owner(
    node: &Node,
    partition: Partition,
    records: &[NewRecord],
    precondition: Precondition,
) -> bool {
    let mut backoff = Backoff::new(backoff::OWNER_CALLS);
    loop {
        match node.store.append(partition, records, precondition).await {
            Ok(_) => {
                node.record_store_answer(clock::now());
                return true;
            }
            Err(error @ (Error::Fenced { .. } | Error::Sequence { .. })) => {
                log::info!("event=commit_refused partition={partition} error=\"{error}\"");
                return false;
            }
            Err(error) => {
                log::info!("event=commit_failed partition={partition} error=\"{error}\"");
                tokio::time::sleep(backoff.pause(rand::random())).await;
            }
        }
    }
}

/// Passes on the requests that other daemons append to the shard. Ends when a later owner claims
/// it.
pub(crate) async fn follow(
    node: Arc<Node>,
    number: u32,
    from: u64,
    epoch: u64,
    events: mpsc::UnboundedSender<Event>,
) {
    let mut feed = Feed::starting_at(shard_partition(number), from);
    let mut backoff = Backoff::new(backoff::OWNER_CALLS);
    loop {
        let records = match feed.read(&node, POLL_WAIT).await {
            Ok(records) => {
                backoff.reset();
                records
            }
            Err(error) => {
                log::info!("event=shard_unread shard={number} error=\"{error}\"");
                tokio::time::sleep(backoff.pause(rand::random())).await;
                continue;
            }
        };
        let received_any = !records.is_empty();
        for record in decode(&records) {
            if let Record::Claim(claim) = &record
                && claim.epoch > epoch
            {
                log::info!("event=shard_claimed_elsewhere shard={number} by={}", claim.owner);
                events.send(Event::Superseded).ok();
                return;
            }
            let Some(event) = log_event(record) else { continue };
            if events.send(event).is_err() {
                return;
            }
        }
        if received_any {
            tokio::time::sleep(FOLLOW_INTERVAL).await;
        }
    }
}

/// Asks the previous owner, whose process may still run, which leases it knew of as owner in
/// `epoch`.
pub(crate) async fn ask_previous_owner(
    node: Arc<Node>,
    shard: u32,
    epoch: u64,
    previous_owner: Option<SocketAddr>,
    events: mpsc::UnboundedSender<Event>,
) {
    let Some(previous_owner) = previous_owner else { return };
    match node.peers.call(previous_owner, &Request::Handover { shard, epoch }).await {
        Ok(Reply::Handover(leases)) => {
            let now = clock::now();
            let expiry = |(worker, left_ms)| (worker, now + Duration::from_millis(left_ms));
            // The owner's task may have ended; it needs no events then.
            events.send(Event::LeasesHandedOver(leases.into_iter().map(expiry).collect())).ok();
        }
        Ok(_) => log::info!("event=owner_before_left_nothing shard={shard} peer={previous_owner}"),
        Err(error) => {
            log::info!(
                "event=owner_before_silent shard={shard} peer={previous_owner} error=\"{error}\""
            );
        }
    }
}
