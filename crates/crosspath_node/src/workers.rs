//! Follows the worker list: two daemons read it, the others receive updates on their own workers.
//!
//! The readers are the owners of the fleet's shard and of one more shard; they read the list from
//! the store. The owner of other shards polls one of them for changes among the workers of its
//! slices, and the other one if the first does not answer, so that updates continue while the
//! fleet's shard is taken over. A daemon that owns nothing follows no workers. If both readers have
//! been silent for longer than a takeover takes, an owner reads the list itself until one of them
//! answers again.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crosspath_border::store::Topic;

use crate::backoff::{self, Backoff};
use crate::clock;
use crate::directory::{Change, Cursor, Update, pool_slice_of};
use crate::feed::Feed;
use crate::map::PoolSlice;
use crate::node::{Node, only_partition};
use crate::rpc::{self, Reply, Request};
use crate::shard::Handle;

/// Pause between reads of the list. Dozens of workers write at the same time, and reading each
/// record as it arrives would cost a call each.
const READ_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between polls of a reader.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between polls while an owned slice has tasks that wait for a worker with enough free
/// resources. VMs are then being moved to its pool, and are used only after the next poll.
const SHORT_POLL_INTERVAL: Duration = Duration::from_millis(60);
/// Time without an answer from any reader after which an owner reads the list itself. A takeover of
/// the fleet's shard takes less.
const READER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Minimum interval between polls of the readers while the owner reads the list itself.
const READER_RETRY_INTERVAL: Duration = Duration::from_millis(1_000);

/// Source from which a daemon learns of workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// None: the daemon owns no shards.
    Nobody,
    /// The worker list in the store.
    Store,
    /// A daemon that reads the list from the store.
    Reader,
}

/// Numbers of the shards whose owners read the list.
fn reader_shards(node: &Node) -> [u32; 2] {
    let fleet = node.fleet_shard();
    [fleet, fleet - 1]
}

/// Whether this daemon owns a shard whose owner reads the list.
fn is_reader(node: &Node) -> bool {
    let owned = node.owned();
    reader_shards(node).iter().any(|shard| owned.contains_key(shard))
}

/// Selects the source at `now` for a daemon that owns `shards` shards. `is_reader` says that the
/// owner of one of them reads the list. `last_answer` is the time of the last answer from a reader,
/// or since when the daemon has needed one.
#[must_use]
pub fn source(shards: usize, is_reader: bool, last_answer: Duration, now: Duration) -> Source {
    match (shards, is_reader) {
        (0, _) => Source::Nobody,
        (_, true) => Source::Store,
        (_, false) if now > last_answer + READER_TIMEOUT => Source::Store,
        (_, false) => Source::Reader,
    }
}

/// Follows the workers of the pool slices that this daemon owns.
pub(crate) async fn follow(node: Arc<Node>) {
    let mut follower = Follower {
        feed: Feed::new(only_partition(Topic::Workers)),
        backoff: Backoff::new(backoff::LIST_READS),
        cursor: None,
        pool_slices: BTreeSet::new(),
        last_answer: clock::now(),
        polled_at: Duration::ZERO,
        preferred_reader: 0,
        previous_source: Source::Nobody,
        node,
    };
    loop {
        follower.step().await;
    }
}

/// State of the loop that follows the worker list.
#[derive(Debug)]
struct Follower {
    node: Arc<Node>,
    feed: Feed,
    backoff: Backoff,
    /// Position up to which the reader has sent updates.
    cursor: Option<Cursor>,
    /// Pool slices that the reader's updates cover.
    pool_slices: BTreeSet<PoolSlice>,
    /// Time of the last answer from a reader, or since when one is needed.
    last_answer: Duration,
    /// Time at which a reader was last polled.
    polled_at: Duration,
    /// Index in [`reader_shards`] of the shard whose owner is polled first.
    preferred_reader: usize,
    /// Source that was used in the previous step.
    previous_source: Source,
}

impl Follower {
    async fn step(&mut self) {
        let shards = self.node.owned().len();
        let is_reader = is_reader(&self.node);
        let now = clock::now();
        if self.previous_source == Source::Nobody || is_reader {
            self.last_answer = now;
        }
        let source = source(shards, is_reader, self.last_answer, now);
        if source != self.previous_source {
            log::info!("event=workers_source source={source:?} shards={shards}");
            self.previous_source = source;
            self.feed = Feed::new(only_partition(Topic::Workers));
            self.cursor = None;
        }
        match source {
            Source::Nobody => {
                self.node.directory().clear();
                let changed = self.node.ownership_changed.notified();
                drop(tokio::time::timeout(POLL_INTERVAL, changed).await);
            }
            Source::Store => {
                self.read().await;
                if !is_reader && now >= self.polled_at + READER_RETRY_INTERVAL {
                    self.poll_reader().await;
                }
            }
            Source::Reader => {
                let pause = if self.poll_reader().await {
                    self.poll_interval()
                } else {
                    SHORT_POLL_INTERVAL
                };
                let changed = self.node.ownership_changed.notified();
                drop(tokio::time::timeout(pause, changed).await);
            }
        }
    }

    fn poll_interval(&self) -> Duration {
        let lacks_workers = self.node.owned().values().any(Handle::lacks_workers);
        if lacks_workers { SHORT_POLL_INTERVAL } else { POLL_INTERVAL }
    }

    /// Reads new records of the list from the store.
    async fn read(&mut self) {
        let whole = !self.feed.has_snapshot();
        match self.feed.read(&self.node, Duration::ZERO).await {
            Ok(records) => {
                self.backoff.reset();
                let whole = whole && self.feed.has_snapshot();
                let read = |record: &_| self.node.store.decode_worker(record);
                let changes = self.node.directory().apply_records(&records, whole, read);
                forward_changes(&self.node, changes);
                tokio::time::sleep(READ_INTERVAL).await;
            }
            Err(error) => {
                let pause = self.backoff.pause(rand::random());
                log::info!("event=workers_unread error=\"{error}\" again_ms={}", pause.as_millis());
                tokio::time::sleep(pause).await;
            }
        }
    }

    /// Polls a reader for changes, and the other one if it has no answer; returns whether one had.
    async fn poll_reader(&mut self) -> bool {
        let pool_slices = self.owned_pool_slices();
        if pool_slices != self.pool_slices {
            self.cursor = None;
        }
        self.polled_at = clock::now();
        let shards = reader_shards(&self.node);
        for _ in 0..shards.len() {
            let request =
                Request::Workers { pool_slices: pool_slices.clone(), cursor: self.cursor.clone() };
            let reply = rpc::call_holder(&self.node, shards[self.preferred_reader], request).await;
            if let Some(Reply::Workers(update)) = reply {
                self.apply(update, pool_slices);
                return true;
            }
            self.preferred_reader = (self.preferred_reader + 1) % shards.len();
        }
        false
    }

    /// Applies a reader's update on the workers of `pool_slices`.
    fn apply(&mut self, update: Update, pool_slices: BTreeSet<PoolSlice>) {
        self.last_answer = clock::now();
        self.cursor = Some(update.cursor.clone());
        let changes = self.node.directory().apply_update(update, &pool_slices);
        self.pool_slices = pool_slices;
        forward_changes(&self.node, changes);
    }

    fn owned_pool_slices(&self) -> BTreeSet<PoolSlice> {
        self.node.owned().values().filter_map(Handle::pool_slice).cloned().collect()
    }
}

/// Passes changes to the owners of the pool slices in this process.
fn forward_changes(node: &Node, changes: Vec<Change>) {
    let owned = node.owned();
    let map = node.map();
    for Change { pool, vm, event } in changes {
        let pool_slice = pool_slice_of(&map, &pool, &vm);
        for handle in owned.values().filter(|handle| handle.pool_slice() == Some(&pool_slice)) {
            handle.send(event.clone());
        }
    }
}

/// Answers another daemon's poll for the workers of `pool_slices`; [`Reply::NotOwner`] if this
/// daemon does not read the list or may not act as owner.
pub(crate) fn answer(
    node: &Node,
    pool_slices: &BTreeSet<PoolSlice>,
    cursor: Option<&Cursor>,
) -> Reply {
    if !is_reader(node) || !node.may_act(clock::now()) {
        return Reply::NotOwner;
    }
    let update = node.directory().update_since(&node.member, &node.map(), pool_slices, cursor);
    update.map_or(Reply::NotOwner, Reply::Workers)
}
