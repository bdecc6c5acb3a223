//! Appending what callers ask for, many at a time.
//!
//! One append a shard is under way from this daemon; what arrives meanwhile goes with the next. A
//! record whose append got no answer is appended again: it is the newest of its key either way.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crosspath_border::store::{Error, Keyed};
use crosspath_job::record::Record;
use tokio::sync::mpsc;

use crate::clock;
use crate::node::Node;
use crate::pending::{self, Outcome, Patience, Pending};
use crate::rpc;

/// Between tries of an append that was refused.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
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
    patience: Patience,
) -> Outcome {
    let record = Keyed { key: record.key(), value: record.value().into() };
    // What is under way may hold the queue up for long while the store is silent.
    if node.is_store_silent(clock::now()) {
        let appended = append_somehow(node, shard, &[record]).await;
        return appended.map_or_else(outcome_of, |()| Outcome::Kept);
    }
    let (pending, waiter) = pending::pair(record, patience);
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

async fn run(node: Arc<Node>, shard: u32, mut receiver: mpsc::UnboundedReceiver<Pending>) {
    let mut batch: Vec<Pending> = Vec::new();
    loop {
        if batch.is_empty() {
            let Some(first) = receiver.recv().await else { return };
            batch.extend(Some(first).filter(Pending::take));
        }
        while batch.len() < MAX_RECORDS {
            let Ok(next) = receiver.try_recv() else { break };
            batch.extend(Some(next).filter(Pending::take));
        }
        if batch.is_empty() {
            continue;
        }
        let records: Vec<Keyed> = batch.iter().map(|pending| pending.record.clone()).collect();
        match append_somehow(&node, shard, &records).await {
            Ok(()) => {
                for pending in batch.drain(..) {
                    pending.settle(Outcome::Kept);
                }
            }
            Err(error) => {
                log::info!(
                    "event=append_failed shard={shard} records={} error=\"{error}\"",
                    batch.len()
                );
                for pending in &mut batch {
                    pending.failed(!error.is_not_done());
                }
                batch = give_up(batch);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Answers those that are not tried again; the others.
fn give_up(batch: Vec<Pending>) -> Vec<Pending> {
    let now = clock::now();
    let mut kept = Vec::new();
    for pending in batch {
        match pending.verdict(now) {
            Some(outcome) => pending.settle(outcome),
            None => kept.push(pending),
        }
    }
    kept
}

/// What an append that failed says of its records.
fn outcome_of(error: Error) -> Outcome {
    if error.is_not_done() { Outcome::NotKept } else { Outcome::Unknown }
}

/// Appends directly, or through a daemon that the store serves.
async fn append_somehow(node: &Arc<Node>, shard: u32, records: &[Keyed]) -> Result<(), Error> {
    let mut error = match node.append(shard, records).await {
        Ok(()) => return Ok(()),
        Err(error) => error,
    };
    for peer in node.other_daemons() {
        match rpc::relay_append(node, peer, shard, records).await {
            Ok(()) => return Ok(()),
            // What is in doubt once stays so.
            Err(other) if error.is_not_done() => error = other,
            Err(_) => {}
        }
    }
    Err(error)
}
