//! Following the workers: two daemons read the list, the others are told of their own.
//!
//! The owners of the fleet and of one more shard read the list in the store; an owner of other shards asks one of them
//! for what has changed of the workers of its slices, and the other when that one does not answer, so that it goes
//! on hearing while the fleet is taken over. A daemon that owns nothing follows none. Where both have been silent
//! for longer than a takeover takes, an owner reads the list by itself until one answers again.

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
use crate::rpc::{self, Answer, Question};
use crate::shard::Handle;

/// Between reads of the list by its reader: some dozens of workers write at a time, and reading each record as
/// it comes would cost a call for each.
const READ_INTERVAL: Duration = Duration::from_millis(100);
/// Between questions to a reader.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// The same while an owned slice has work and no worker with room: VMs are on their way to it, and wait for this
/// once they are there.
const SHORT_POLL_INTERVAL: Duration = Duration::from_millis(60);
/// Silence of the readers after which an owner reads the list by itself: a takeover of the fleet takes less.
const READER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Between questions to readers meanwhile.
const READER_RETRY_INTERVAL: Duration = Duration::from_millis(1_000);

/// Where a daemon hears of workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// It needs none.
    Nobody,
    /// The list in the store.
    Store,
    /// A daemon that reads the list.
    Reader,
}

/// Shards whose owners read the list.
fn reader_shards(node: &Node) -> [u32; 2] {
    let fleet = node.fleet_shard();
    [fleet, fleet - 1]
}

/// Whether this daemon owns a shard whose owner reads the list.
fn is_reader(node: &Node) -> bool {
    let owned = node.owned();
    reader_shards(node).iter().any(|shard| owned.contains_key(shard))
}

/// Where to hear of workers at `now`, for a daemon that owns `shards` shards, one whose owner reads the list among
/// them or not, and heard from a reader at `last_answer`, or has needed one since then.
#[must_use]
pub fn source(shards: usize, is_reader: bool, last_answer: Duration, now: Duration) -> Source {
    match (shards, is_reader) {
        (0, _) => Source::Nobody,
        (_, true) => Source::Store,
        (_, false) if now > last_answer + READER_TIMEOUT => Source::Store,
        (_, false) => Source::Reader,
    }
}

/// Follows the workers of what this daemon owns.
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

#[derive(Debug)]
struct Follower {
    node: Arc<Node>,
    feed: Feed,
    backoff: Backoff,
    /// How far the reader has told.
    cursor: Option<Cursor>,
    /// Slices of which the reader tells.
    pool_slices: BTreeSet<PoolSlice>,
    /// When a reader last answered, or since when one is needed.
    last_answer: Duration,
    /// When one was last asked.
    polled_at: Duration,
    /// Which of the reader shards' owners last answered.
    preferred_reader: usize,
    /// Where it heard of workers in the step before.
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

    /// Reads what is new in the list.
    async fn read(&mut self) {
        let whole = !self.feed.is_started();
        match self.feed.read(&self.node, Duration::ZERO).await {
            Ok(records) => {
                self.backoff.reset();
                let whole = whole && self.feed.is_started();
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

    /// Asks a reader for what is new, and the other one when that has no answer; whether one had.
    async fn poll_reader(&mut self) -> bool {
        let pool_slices = self.owned_pool_slices();
        if pool_slices != self.pool_slices {
            self.cursor = None;
        }
        self.polled_at = clock::now();
        let shards = reader_shards(&self.node);
        for _ in 0..shards.len() {
            let question =
                Question::Workers { units: pool_slices.clone(), cursor: self.cursor.clone() };
            let answer = rpc::ask_holder(&self.node, shards[self.preferred_reader], question).await;
            if let Some(Answer::Workers(update)) = answer {
                self.apply(update, pool_slices);
                return true;
            }
            self.preferred_reader = (self.preferred_reader + 1) % shards.len();
        }
        false
    }

    /// Takes in what a reader has told of the workers of `pool_slices`.
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

/// Tells owners of slices here of changes.
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

/// What another daemon is told of the workers of `pool_slices`; nothing from a daemon that does not read the list.
pub(crate) fn answer(
    node: &Node,
    pool_slices: &BTreeSet<PoolSlice>,
    cursor: Option<&Cursor>,
) -> Answer {
    if !is_reader(node) || !node.may_act(clock::now()) {
        return Answer::NotOwner;
    }
    let update = node.directory().update_since(&node.member, &node.map(), pool_slices, cursor);
    update.map_or(Answer::NotOwner, Answer::Workers)
}
