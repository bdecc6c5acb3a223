//! Appends the records of callers' requests to shards, in batches.
//!
//! Records that arrive while an append to the shard is in flight form the next batch, which is sent
//! when that append ends or takes too long. A record whose append got no answer is appended again:
//! the log keeps the newest record of a key, so a duplicate does no harm.
//!
//! Batches are relayed to the shard's owner, which appends the records of all daemons together. A
//! partition executes its appends one after the other, so a slow store would complete few of them
//! if each daemon appended by itself. An owner that does not answer is bypassed.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crosspath_border::store::{Error, Limits, NewRecord};
use futures::future::{Either, join_all, select};
use futures::stream::{FuturesUnordered, StreamExt as _};
use rand::seq::SliceRandom as _;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

use crate::clock;
use crate::node::Node;
use crate::pending::{self, Deadlines, Outcome, Pending};
use crate::rpc::{self, Declined, Failure, Request};

/// Delay before a failed append is attempted again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Interval at which an owner is probed while its answer to an append is outstanding. An append
/// takes 10 ms, and some 50 ms more if the owner is busy.
const OWNER_PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Timeout of an append through the shard's owner. While the store is slow, it covers the owner's
/// append in flight and the next one.
const OWNER_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time after which the owner withdraws records that are still queued behind a slow store. With
/// appends that take 0.4 s, the append for these records would end too late for the callers.
const OWNER_QUEUE_TIMEOUT: Duration = Duration::from_millis(800);
/// Time after which the owner stops retrying records that are certainly not stored. It allows for
/// some attempts, and leaves the requesting daemon time to tell its caller when to retry.
const OWNER_REFUSE_AFTER: Duration = Duration::from_millis(250);
/// Time after which the owner reports the outcome as unknown. Shorter than [`OWNER_TIMEOUT`], so
/// that the requesting daemon still receives the answer.
const OWNER_UNKNOWN_AFTER: Duration = Duration::from_millis(1_000);
/// Maximum number of other daemons that are asked to append in one attempt. If the store refuses a
/// third of the daemons, one attempt in 27 fails and is retried; if it refuses all of them, callers
/// learn of it soon.
const MAX_RELAYS: usize = 2;
/// Time after which the next batch is sent although an append is still in flight. A fast store
/// takes 5 to 10 ms, and some 15 ms through the owner. With a slow store, a caller would otherwise
/// wait for two appends besides its own, one at its daemon and one at the owner.
const PIPELINE_DELAY: Duration = Duration::from_millis(30);
/// Maximum number of appends in flight to a shard at its owner. A partition executes them one after
/// the other, along with the owner's commits: 17 per second when the store is 57 times as slow.
const MAX_IN_FLIGHT_AS_OWNER: usize = 3;
/// Maximum number of appends in flight to a shard at the other daemons. The owner combines them
/// into fewer appends.
const MAX_IN_FLIGHT_RELAYED: usize = 8;
/// Maximum number of records in one append.
const MAX_RECORDS: usize = 128;
/// Maximum size in bytes of an append of several records. Small enough that another daemon can relay
/// it.
const MAX_APPEND_BYTES: usize = 512 * 1024;

/// Queues of records to append, one for each shard number; created on first use.
#[derive(Debug, Default)]
pub(crate) struct Appenders(Mutex<HashMap<u32, mpsc::UnboundedSender<Pending>>>);

/// Appends a record to a shard and returns its outcome. While the store is silent, there is a
/// single attempt, which `deadlines` do not bound.
pub(crate) async fn append(
    node: &Arc<Node>,
    shard: u32,
    record: NewRecord,
    deadlines: Deadlines,
) -> Outcome {
    if rpc::is_taken_locally(node, shard, &record) {
        return Outcome::Taken;
    }
    if let Some(refusal) = rpc::refuse_locally(node, shard, &record) {
        return Outcome::Refused(refusal);
    }
    // While the store is silent, appends in flight may block the queue for long, so bypass it.
    if node.is_store_silent(clock::now()) {
        let records = [record];
        let appended = append_with_fallback(node, shard, &records, false).await;
        node.record_append_result(clock::now(), appended.as_ref().err());
        return match appended {
            Ok(route) => {
                route.notify_owner(node, shard, &records);
                route.outcome(&records[0].key)
            }
            Err(error) => outcome_of(error),
        };
    }
    let (pending, waiter) = pending::pair(record, deadlines);
    sender(node, shard).send(pending).ok();
    waiter.outcome(clock::now()).await
}

fn sender(node: &Arc<Node>, shard: u32) -> mpsc::UnboundedSender<Pending> {
    let mut all = node.appenders.0.lock().unwrap_or_else(PoisonError::into_inner);
    let sender = all.entry(shard).or_insert_with(|| {
        let (sender, receiver) = mpsc::unbounded_channel();
        drop(tokio::spawn(run(Arc::clone(node), shard, receiver)));
        sender
    });
    sender.clone()
}

/// Sends queued records in as few appends as possible while the store is fast: records that arrive
/// during an append wait for it and are sent together. An append that is slow, or whose answer is
/// lost, delays the next one by [`PIPELINE_DELAY`] at most, as long as there are fewer in flight
/// than allowed.
async fn run(node: Arc<Node>, shard: u32, mut receiver: mpsc::UnboundedReceiver<Pending>) {
    let mut queued: Vec<Pending> = Vec::new();
    let mut in_flight = FuturesUnordered::new();
    // `next_at`: when the next append may be sent beside those in flight.
    // `retry_at`: until then nothing is sent, after a failure.
    let mut next_at = Instant::now();
    let mut retry_at = next_at;
    loop {
        let is_owner = node.owned().contains_key(&shard);
        let may_send =
            in_flight.len() < if is_owner { MAX_IN_FLIGHT_AS_OWNER } else { MAX_IN_FLIGHT_RELAYED };
        tokio::select! {
            failed = in_flight.select_next_some(), if !in_flight.is_empty() => {
                if failed {
                    retry_at = Instant::now() + RETRY_PAUSE;
                }
            }
            received = receiver.recv(), if queued.len() < MAX_RECORDS => {
                let Some(pending) = received else { return };
                queued.push(pending);
                while queued.len() < MAX_RECORDS && let Ok(pending) = receiver.try_recv() {
                    queued.push(pending);
                }
            }
            () = sleep_until(next_at.max(retry_at)), if !queued.is_empty() && may_send => {}
        }
        let now = Instant::now();
        let is_due = in_flight.is_empty() || (may_send && now >= next_at);
        if queued.is_empty() || !is_due || now < retry_at {
            continue;
        }
        let batch = take_batch(&mut queued, node.store.limits());
        if !batch.is_empty() {
            next_at = now + PIPELINE_DELAY;
            in_flight.push(append_batch(&node, shard, batch));
        }
    }
}

/// Takes the first records off the queue that fit into one append, without those that were
/// withdrawn.
fn take_batch(queued: &mut Vec<Pending>, limits: Limits) -> Vec<Pending> {
    let limits = Limits { append_bytes: limits.append_bytes.min(MAX_APPEND_BYTES), ..limits };
    let fitting = limits.appends(queued).first().map_or(0, |append| append.len());
    queued.drain(..fitting).filter(Pending::begin_send).collect()
}

/// Appends records until each has its outcome; returns whether the last attempt failed.
async fn append_batch(node: &Arc<Node>, shard: u32, mut batch: Vec<Pending>) -> bool {
    loop {
        let records: Vec<NewRecord> = batch.iter().map(|pending| pending.record.clone()).collect();
        let may_refuse = batch.iter().all(Pending::may_be_refused);
        let appended = append_with_fallback(node, shard, &records, may_refuse).await;
        node.record_append_result(clock::now(), appended.as_ref().err());
        match appended {
            Ok(route) => {
                route.notify_owner(node, shard, &records);
                for pending in batch.drain(..) {
                    let outcome = route.outcome(&pending.record.key);
                    pending.settle(outcome);
                }
                return false;
            }
            Err(error) => {
                log::info!(
                    "event=append_failed shard={shard} records={} error=\"{error}\"",
                    batch.len()
                );
                for pending in &mut batch {
                    pending.attempt_failed(!error.had_no_effect());
                }
                batch = settle_expired(node, batch);
                if batch.is_empty() {
                    return true;
                }
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Settles the records that are not attempted again and returns the others. While the store is
/// down, one attempt over all routes is enough: more of them only delay the caller's own retry.
fn settle_expired(node: &Node, batch: Vec<Pending>) -> Vec<Pending> {
    let now = clock::now();
    let is_down = node.store_down_for(now).is_some();
    let mut remaining = Vec::new();
    for pending in batch {
        match pending.final_outcome(now, is_down) {
            Some(outcome) => pending.settle(outcome),
            None => remaining.push(pending),
        }
    }
    remaining
}

/// Outcome of a record whose append failed with `error`.
pub(crate) fn outcome_of(error: Error) -> Outcome {
    if error.had_no_effect() { Outcome::NotKept } else { Outcome::Unknown }
}

/// Appends records relayed by another daemon, batched with this daemon's own. Returns their common
/// outcome, or [`Outcome::Unknown`] if they have different ones, and apart from it the keys of those
/// that were found to be taken.
pub(crate) async fn append_as_owner(
    node: &Arc<Node>,
    shard: u32,
    records: Vec<NewRecord>,
) -> (Outcome, Vec<String>) {
    let now = clock::now();
    let deadlines = Deadlines {
        send_by: now + OWNER_QUEUE_TIMEOUT,
        refuse_at: now + OWNER_REFUSE_AFTER,
        unknown_at: now + OWNER_UNKNOWN_AFTER,
    };
    let waiters = records.iter().map(|record| {
        let (pending, waiter) = pending::pair(record.clone(), deadlines);
        sender(node, shard).send(pending).ok();
        waiter.outcome(now)
    });
    let outcomes = join_all(waiters).await;
    let by_key = records.into_iter().map(|record| record.key).zip(outcomes);
    let (taken, others): (Vec<_>, Vec<_>) =
        by_key.partition(|(_, outcome)| *outcome == Outcome::Taken);
    let first = others.first().map_or(Outcome::Kept, |(_, outcome)| *outcome);
    let is_common = others.iter().all(|(_, outcome)| *outcome == first);
    let taken = taken.into_iter().map(|(key, _)| key).collect();
    (if is_common { first } else { Outcome::Unknown }, taken)
}

/// Appends through the shard's owner. If this daemon is the owner, none is known, or the owner
/// fails or is unresponsive, appends without it, and then nobody refuses a job. A refusal by the
/// owner does not count once another append may have stored the record.
async fn append_with_fallback(
    node: &Arc<Node>,
    shard: u32,
    records: &[NewRecord],
    may_refuse: bool,
) -> Result<Route, Error> {
    let owner = node.holder(shard).filter(|_| !node.owned().contains_key(&shard));
    let without_owner =
        async || append_without_owner(node, shard, records).await.map(Route::WithoutOwner);
    let Some(owner) = owner else { return without_owner().await };
    let via_owner = pin!(rpc::relay_append(node, owner, shard, records, may_refuse, OWNER_TIMEOUT));
    let via_owner = match select(via_owner, pin!(until_owner_unresponsive(node, owner))).await {
        Either::Left((Ok(declined), _)) => return Ok(Route::Owner(declined)),
        // The store is slow. Appends by each daemon would slow it down even more.
        Either::Left((Err(failure @ (Failure::Unsent | Failure::Unanswered)), _)) => {
            return Err(failure.into());
        }
        Either::Left((Err(failure), _)) => {
            node.holders_stale.notify_one();
            return without_owner().await.map_err(|other| combine_errors(failure.into(), other));
        }
        Either::Right(((), via_owner)) => via_owner,
    };
    // The owner may still append the records. A duplicate append does no harm.
    match select(via_owner, pin!(without_owner())).await {
        Either::Left((Ok(declined), _)) if declined.refused.is_empty() => {
            Ok(Route::Owner(declined))
        }
        Either::Left((Ok(declined), other)) => match other.await {
            Err(error) if error.had_no_effect() => Ok(Route::Owner(declined)),
            stored_or_unknown => stored_or_unknown,
        },
        Either::Right((Ok(route), _)) => Ok(route),
        Either::Left((Err(failure), other)) => {
            other.await.map_err(|other| combine_errors(failure.into(), other))
        }
        Either::Right((Err(error), other)) => match other.await {
            Ok(declined) if declined.refused.is_empty() || error.had_no_effect() => {
                Ok(Route::Owner(declined))
            }
            Ok(_) => Err(error),
            Err(failure) => Err(combine_errors(error, failure.into())),
        },
    }
}

/// Route by which records were appended.
#[derive(Debug, Clone)]
enum Route {
    /// Through the shard's owner, which knows of them, except for the records that it declined.
    Owner(Declined),
    /// By this daemon, or through another one that is not known to be the owner, except for the
    /// records that the latter declined.
    WithoutOwner(Declined),
}

impl Route {
    /// Notifies the owner of records that were appended without it, in the background, so that it
    /// need not wait until it reads them from the log.
    fn notify_owner(&self, node: &Arc<Node>, shard: u32, records: &[NewRecord]) {
        let Self::WithoutOwner(Declined { taken, .. }) = self else { return };
        for record in records.iter().filter(|record| !taken.contains(&record.key)) {
            let (node, record) = (Arc::clone(node), record.clone());
            drop(tokio::spawn(async move { rpc::notify_stored(&node, shard, &record).await }));
        }
    }
}

impl Route {
    /// Outcome of the record with the given key.
    fn outcome(&self, key: &str) -> Outcome {
        let (Self::Owner(declined) | Self::WithoutOwner(declined)) = self;
        let Declined { taken, refused } = declined;
        if taken.iter().any(|other| other == key) {
            return Outcome::Taken;
        }
        let refusal = refused.iter().find(|(other, _)| other == key);
        refusal.map_or(Outcome::Kept, |(_, refusal)| Outcome::Refused(*refusal))
    }
}

/// Returns once the owner fails to answer a probe. An owner that answers probes but not the append
/// is waiting for the store.
async fn until_owner_unresponsive(node: &Node, owner: SocketAddr) {
    loop {
        tokio::time::sleep(OWNER_PROBE_INTERVAL).await;
        if let Err(error) = node.peers.call(owner, &Request::Incarnation).await {
            log::info!("event=owner_silent peer={owner} error=\"{error}\"");
            return;
        }
    }
}

/// Combines the errors of two routes: if either append may have taken effect, returns an error that
/// says so.
fn combine_errors(one: Error, other: Error) -> Error {
    if one.had_no_effect() { other } else { one }
}

/// Appends directly, or else through up to [`MAX_RELAYS`] other daemons, chosen at random. Returns
/// the records that these declined.
async fn append_without_owner(
    node: &Arc<Node>,
    shard: u32,
    records: &[NewRecord],
) -> Result<Declined, Error> {
    let mut error = match node.append(shard, records).await {
        Ok(()) => return Ok(Declined::default()),
        Err(error) => error,
    };
    let mut peers = node.other_owners();
    let (relays, _) = peers.partial_shuffle(&mut rand::rng(), MAX_RELAYS);
    for peer in &*relays {
        match rpc::relay_append(node, *peer, shard, records, false, rpc::TIMEOUT).await {
            Ok(declined) => return Ok(declined),
            Err(failure) => error = combine_errors(error, failure.into()),
        }
    }
    Err(error)
}
