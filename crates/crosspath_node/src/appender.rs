//! Appending what callers ask for, many at a time.
//!
//! One append a shard is under way from this daemon; what arrives meanwhile goes with the next. A
//! record whose append got no answer is appended again: it is the newest of its key either way.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crosspath_border::store::{Error, Keyed};
use crosspath_job::record::Record;
use tokio::sync::{mpsc, oneshot};

use crate::clock;
use crate::node::Node;
use crate::rpc;

/// Between tries of an append that was refused.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Records in one append at most; with a job of 4 KB far below the store's bound on a call.
const MAX_RECORDS: usize = 128;

/// For how long a record is tried.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Patience {
    /// While it surely is not kept: the caller is better off being told so.
    pub(crate) refused_at: Duration,
    /// While it may be kept: repeating it may yet tell.
    pub(crate) doubted_until: Duration,
}

/// What became of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// It is kept.
    Kept,
    /// It surely is not, and never will be.
    NotKept,
    /// That is not known.
    Unknown,
}

#[derive(Debug)]
struct Item {
    record: Keyed,
    patience: Patience,
    /// Whether an append of it got no answer.
    doubtful: bool,
    answer: oneshot::Sender<Outcome>,
}

/// One queue of records a shard.
#[derive(Debug, Default)]
pub(crate) struct Appenders(Mutex<HashMap<u32, mpsc::UnboundedSender<Item>>>);

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
    let (answer, outcome) = oneshot::channel();
    let item = Item { record, patience, doubtful: false, answer };
    sender(node, shard).send(item).ok();
    outcome.await.unwrap_or(Outcome::Unknown)
}

fn sender(node: &Arc<Node>, shard: u32) -> mpsc::UnboundedSender<Item> {
    let mut all = node.appenders.0.lock().unwrap_or_else(PoisonError::into_inner);
    let sender = all.entry(shard).or_insert_with(|| {
        let (sender, receiver) = mpsc::unbounded_channel();
        drop(tokio::spawn(run(Arc::clone(node), shard, receiver)));
        sender
    });
    sender.clone()
}

async fn run(node: Arc<Node>, shard: u32, mut receiver: mpsc::UnboundedReceiver<Item>) {
    let mut batch: Vec<Item> = Vec::new();
    loop {
        if batch.is_empty() && receiver.recv_many(&mut batch, MAX_RECORDS).await == 0 {
            return;
        }
        while batch.len() < MAX_RECORDS {
            let Ok(item) = receiver.try_recv() else { break };
            batch.push(item);
        }
        let records: Vec<Keyed> = batch.iter().map(|item| item.record.clone()).collect();
        match append_somehow(&node, shard, &records).await {
            Ok(()) => {
                for item in batch.drain(..) {
                    item.answer.send(Outcome::Kept).ok();
                }
            }
            Err(error) => {
                log::info!(
                    "event=append_failed shard={shard} records={} error=\"{error}\"",
                    batch.len()
                );
                let doubtful = !error.is_not_done();
                for item in &mut batch {
                    item.doubtful |= doubtful;
                }
                batch = give_up(batch);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Answers those whose time is over, or who are better off elsewhere.
fn give_up(batch: Vec<Item>) -> Vec<Item> {
    let now = clock::now();
    let mut kept = Vec::new();
    for item in batch {
        let Patience { refused_at, doubted_until } = item.patience;
        let until = if item.doubtful { doubted_until } else { refused_at };
        if until > now {
            kept.push(item);
        } else if item.doubtful {
            item.answer.send(Outcome::Unknown).ok();
        } else {
            item.answer.send(Outcome::NotKept).ok();
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
