//! Appending what callers ask for, many at a time.
//!
//! What arrives while an append to the shard is under way goes with the next, unless that takes long. A
//! record whose append got no answer is appended again: it is the newest of its key either way.
//!
//! Records go to the shard's owner, who appends those of all daemons together: a partition takes its appends in
//! turn, and a slow store would keep few of them if each daemon appended by itself. An owner that does not answer is
//! passed by.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crosspath_border::store::{Error, NewRecord};
use crosspath_job::record::Record;
use futures::future::{Either, join_all, select};
use futures::stream::{FuturesUnordered, StreamExt as _};
use rand::seq::SliceRandom as _;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

use crate::clock;
use crate::node::Node;
use crate::pending::{self, Deadlines, Outcome, Pending};
use crate::rpc::{self, Failure, Question};

/// Between tries of an append that was refused.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// After which an owner that has not answered is asked whether it lives: an append takes 10 ms, and an
/// owner that is busy some 50 ms more.
const OWNER_PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// For an append by the shard's owner while the store is slow: one under way, and the next.
const OWNER_TIMEOUT: Duration = Duration::from_millis(1_200);
/// After which an owner takes records back that wait for a slow store: an append that takes 0.4 s is
/// under way, and the one for them would end too late for the callers.
const OWNER_QUEUE_TIMEOUT: Duration = Duration::from_millis(800);
/// After which an owner says that records surely are not kept: some tries, and in time for the asking
/// daemon to tell its caller when to come back.
const OWNER_REFUSE_AFTER: Duration = Duration::from_millis(250);
/// After which it says that it does not know; before the asking daemon stops waiting.
const OWNER_UNKNOWN_AFTER: Duration = Duration::from_millis(1_000);
/// Other daemons that are asked to append in one try. Where the store turns away a third of the daemons,
/// one in 27 tries fails and is repeated; where it turns away all, callers hear of it soon.
const MAX_RELAYS: usize = 2;
/// After which an append under way holds up the next no longer. A quick store takes 5 to 10 ms, through the
/// owner some 15; with one that is slow, a caller would wait for two such appends and its own, at its daemon and at
/// the owner.
const PIPELINE_DELAY: Duration = Duration::from_millis(30);
/// Appends to a shard under way at most, where its owner makes them: a partition of a slow store takes one after the
/// other, 17 a second where it is 57 times as slow, and those of its owner's commits too.
const MAX_IN_FLIGHT_AS_OWNER: usize = 3;
/// The same where the owner is asked for them, who makes one of many.
const MAX_IN_FLIGHT_RELAYED: usize = 8;
/// Records in one append at most; with a job of 4 KB far below the store's bound on a call.
const MAX_RECORDS: usize = 128;

/// One queue of records a shard.
#[derive(Debug, Default)]
pub(crate) struct Appenders(Mutex<HashMap<u32, mpsc::UnboundedSender<Pending>>>);

/// Appends a record to a shard.
pub(crate) async fn append(
    node: &Arc<Node>,
    shard: u32,
    record: &Record,
    deadlines: Deadlines,
) -> Outcome {
    let record = NewRecord { key: record.key(), value: record.value().into() };
    if rpc::is_taken_here(node, shard, &record) {
        return Outcome::Taken;
    }
    // What is under way may hold the queue up for long while the store is silent.
    if node.is_store_silent(clock::now()) {
        let records = [record];
        let appended = append_with_fallback(node, shard, &records).await;
        node.append_ended(clock::now(), appended.as_ref().err());
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

/// Sends what waits, as few appends as can be while the store is quick: what comes while one is under way waits
/// for it and goes together. One that is slow, or whose answer is lost, holds nothing up for long.
async fn run(node: Arc<Node>, shard: u32, mut receiver: mpsc::UnboundedReceiver<Pending>) {
    let mut queued: Vec<Pending> = Vec::new();
    let mut in_flight = FuturesUnordered::new();
    // When the next may be sent beside others, and at all.
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
        let batch: Vec<_> = queued.drain(..).filter(Pending::begin_send).collect();
        if !batch.is_empty() {
            next_at = now + PIPELINE_DELAY;
            in_flight.push(append_batch(&node, shard, batch));
        }
    }
}

/// Appends records until each has its outcome; whether the last try failed.
async fn append_batch(node: &Arc<Node>, shard: u32, mut batch: Vec<Pending>) -> bool {
    loop {
        let records: Vec<NewRecord> = batch.iter().map(|pending| pending.record.clone()).collect();
        let appended = append_with_fallback(node, shard, &records).await;
        node.append_ended(clock::now(), appended.as_ref().err());
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

/// Answers those that are not tried again; the others. While the store is down one try by all ways is
/// enough: a caller that waits through more only comes back later.
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

/// What an append that failed says of its records.
pub(crate) fn outcome_of(error: Error) -> Outcome {
    if error.had_no_effect() { Outcome::NotKept } else { Outcome::Unknown }
}

/// Appends what another daemon was asked for, with what this one was asked for; one outcome for all.
pub(crate) async fn append_as_owner(
    node: &Arc<Node>,
    shard: u32,
    records: Vec<NewRecord>,
) -> Outcome {
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
    let first = outcomes.first().copied().unwrap_or(Outcome::Kept);
    if outcomes.iter().all(|outcome| *outcome == first) { first } else { Outcome::Unknown }
}

/// Appends through the shard's owner, or else directly or through any daemon that the store serves.
async fn append_with_fallback(
    node: &Arc<Node>,
    shard: u32,
    records: &[NewRecord],
) -> Result<Route, Error> {
    let owner = node.holder(shard).filter(|_| !node.owned().contains_key(&shard));
    let without_owner =
        async || append_without_owner(node, shard, records).await.map(|()| Route::WithoutOwner);
    let Some(owner) = owner else { return without_owner().await };
    let via_owner = pin!(rpc::relay_append(node, owner, shard, records, OWNER_TIMEOUT));
    let via_owner = match select(via_owner, pin!(until_owner_unresponsive(node, owner))).await {
        Either::Left((Ok(taken), _)) => return Ok(Route::Owner { taken }),
        // Appended by each daemon, they would hold the store up even more.
        Either::Left((Err(failure @ (Failure::Unsent | Failure::Unanswered)), _)) => {
            return Err(failure.into());
        }
        Either::Left((Err(failure), _)) => {
            node.holders_doubted.notify_one();
            return without_owner().await.map_err(|other| combine_errors(failure.into(), other));
        }
        Either::Right(((), via_owner)) => via_owner,
    };
    // The owner may have it appended all the same; that twice is as good as once.
    match select(via_owner, pin!(without_owner())).await {
        Either::Left((Ok(taken), _)) => Ok(Route::Owner { taken }),
        Either::Right((Ok(route), _)) => Ok(route),
        Either::Left((Err(failure), other)) => {
            other.await.map_err(|other| combine_errors(failure.into(), other))
        }
        Either::Right((Err(error), other)) => other
            .await
            .map(|taken| Route::Owner { taken })
            .map_err(|failure| combine_errors(error, failure.into())),
    }
}

/// Who has appended a record.
#[derive(Debug, Clone)]
enum Route {
    /// The shard's owner, who knows of it; not of records with these keys, whose identifiers other
    /// customers' jobs have.
    Owner { taken: Vec<String> },
    /// This daemon, or one that the store serves.
    WithoutOwner,
}

impl Route {
    /// Has the owner hear of records sooner than by the log, if it does not know of them; nobody waits
    /// for that.
    fn notify_owner(&self, node: &Arc<Node>, shard: u32, records: &[NewRecord]) {
        if matches!(self, Self::Owner { .. }) {
            return;
        }
        for record in records {
            let (node, record) = (Arc::clone(node), record.clone());
            drop(tokio::spawn(async move { rpc::tell_kept(&node, shard, &record).await }));
        }
    }
}

impl Route {
    /// What became of the record with a key.
    fn outcome(&self, key: &str) -> Outcome {
        match self {
            Self::Owner { taken } if taken.iter().any(|other| other == key) => Outcome::Taken,
            Self::Owner { .. } | Self::WithoutOwner => Outcome::Kept,
        }
    }
}

/// Ends when an owner that was asked to append turns out to be silent; one that answers other questions
/// waits for the store.
async fn until_owner_unresponsive(node: &Node, owner: SocketAddr) {
    loop {
        tokio::time::sleep(OWNER_PROBE_INTERVAL).await;
        if let Err(error) = node.peers.ask(owner, &Question::Life).await {
            log::info!("event=owner_silent peer={owner} error=\"{error}\"");
            return;
        }
    }
}

/// What two failed ways say together: what is in doubt by one of them is in doubt.
fn combine_errors(one: Error, other: Error) -> Error {
    if one.had_no_effect() { other } else { one }
}

async fn append_without_owner(
    node: &Arc<Node>,
    shard: u32,
    records: &[NewRecord],
) -> Result<(), Error> {
    let mut error = match node.append(shard, records).await {
        Ok(()) => return Ok(()),
        Err(error) => error,
    };
    let mut peers = node.other_daemons();
    let (relays, _) = peers.partial_shuffle(&mut rand::rng(), MAX_RELAYS);
    for peer in &*relays {
        match rpc::relay_append(node, *peer, shard, records, rpc::TIMEOUT).await {
            Ok(_) => return Ok(()),
            Err(failure) => error = combine_errors(error, failure.into()),
        }
    }
    Err(error)
}
