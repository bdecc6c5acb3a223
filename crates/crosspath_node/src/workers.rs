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
use crate::directory::{Change, Cursor, Update, unit_of};
use crate::feed::Feed;
use crate::map::PoolSlice;
use crate::node::{Node, only_partition};
use crate::rpc::{self, Answer, Question};
use crate::shard::Handle;

/// Between reads of the list by its reader: some dozens of workers write at a time, and reading each record as
/// it comes would cost a call for each.
const READ_PAUSE: Duration = Duration::from_millis(100);
/// Between questions to a reader.
const ASK_PAUSE: Duration = Duration::from_millis(250);
/// The same while an owned slice has work and no worker with room: VMs are on their way to it, and wait for this
/// once they are there.
const SHORT_ASK_PAUSE: Duration = Duration::from_millis(60);
/// Silence of the readers after which an owner reads the list by itself: a takeover of the fleet takes less.
const READER_PATIENCE: Duration = Duration::from_millis(2_500);
/// Between questions to readers meanwhile.
const ASK_AGAIN: Duration = Duration::from_millis(1_000);

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
/// them or not, and heard from a reader at `heard`, or has needed one since then.
#[must_use]
pub fn source(shards: usize, is_reader: bool, heard: Duration, now: Duration) -> Source {
    match (shards, is_reader) {
        (0, _) => Source::Nobody,
        (_, true) => Source::Store,
        (_, false) if now > heard + READER_PATIENCE => Source::Store,
        (_, false) => Source::Reader,
    }
}

/// Follows the workers of what this daemon owns.
pub(crate) async fn follow(node: Arc<Node>) {
    let mut follower = Follower {
        feed: Feed::new(only_partition(Topic::Workers)),
        backoff: Backoff::new(backoff::LISTS),
        cursor: None,
        units: BTreeSet::new(),
        heard: clock::now(),
        asked: Duration::ZERO,
        preferred: 0,
        before: Source::Nobody,
        node,
    };
    loop {
        follower.round().await;
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
    units: BTreeSet<PoolSlice>,
    /// When a reader last answered, or since when one is needed.
    heard: Duration,
    /// When one was last asked.
    asked: Duration,
    /// Which of the reader shards' owners last answered.
    preferred: usize,
    /// Where it heard of workers in the round before.
    before: Source,
}

impl Follower {
    async fn round(&mut self) {
        let shards = self.node.owned().len();
        let is_reader = is_reader(&self.node);
        let now = clock::now();
        if self.before == Source::Nobody || is_reader {
            self.heard = now;
        }
        let source = source(shards, is_reader, self.heard, now);
        if source != self.before {
            log::info!("event=workers_source source={source:?} shards={shards}");
            self.before = source;
            self.feed = Feed::new(only_partition(Topic::Workers));
            self.cursor = None;
        }
        match source {
            Source::Nobody => {
                self.node.directory().clear();
                let dealt = self.node.ownership_changed.notified();
                drop(tokio::time::timeout(ASK_PAUSE, dealt).await);
            }
            Source::Store => {
                self.read().await;
                if !is_reader && now >= self.asked + ASK_AGAIN {
                    self.ask().await;
                }
            }
            Source::Reader => {
                let pause = if self.ask().await { self.ask_pause() } else { SHORT_ASK_PAUSE };
                let dealt = self.node.ownership_changed.notified();
                drop(tokio::time::timeout(pause, dealt).await);
            }
        }
    }

    fn ask_pause(&self) -> Duration {
        let lacks = self.node.owned().values().any(Handle::lacks_workers);
        if lacks { SHORT_ASK_PAUSE } else { ASK_PAUSE }
    }

    /// Reads what is new in the list.
    async fn read(&mut self) {
        let whole = !self.feed.is_started();
        match self.feed.read(&self.node, Duration::ZERO).await {
            Ok(records) => {
                self.backoff.reset();
                let whole = whole && self.feed.is_started();
                let read = |record: &_| self.node.store.decode_worker(record);
                let changes = self.node.directory().take(&records, whole, read);
                pass_on(&self.node, changes);
                tokio::time::sleep(READ_PAUSE).await;
            }
            Err(error) => {
                let pause = self.backoff.pause(rand::random());
                log::info!("event=workers_unread error=\"{error}\" again_ms={}", pause.as_millis());
                tokio::time::sleep(pause).await;
            }
        }
    }

    /// Asks a reader for what is new, and the other one when that has no answer; whether one had.
    async fn ask(&mut self) -> bool {
        let units = self.owned_units();
        if units != self.units {
            self.cursor = None;
        }
        self.asked = clock::now();
        let shards = reader_shards(&self.node);
        for _ in 0..shards.len() {
            let question = Question::Workers { units: units.clone(), cursor: self.cursor.clone() };
            let answer = rpc::ask_holder(&self.node, shards[self.preferred], question).await;
            if let Some(Answer::Workers(update)) = answer {
                self.told(update, units);
                return true;
            }
            self.preferred = (self.preferred + 1) % shards.len();
        }
        false
    }

    /// Takes in what a reader has told of the workers of `units`.
    fn told(&mut self, update: Update, units: BTreeSet<PoolSlice>) {
        self.heard = clock::now();
        self.cursor = Some(update.cursor.clone());
        let changes = self.node.directory().update(update, &units);
        self.units = units;
        pass_on(&self.node, changes);
    }

    fn owned_units(&self) -> BTreeSet<PoolSlice> {
        self.node.owned().values().filter_map(Handle::unit).cloned().collect()
    }
}

/// Tells owners of slices here of changes.
fn pass_on(node: &Node, changes: Vec<Change>) {
    let owned = node.owned();
    let map = node.map();
    for Change { pool, vm, event } in changes {
        let unit = unit_of(&map, &pool, &vm);
        for handle in owned.values().filter(|handle| handle.unit() == Some(&unit)) {
            handle.send(event.clone());
        }
    }
}

/// What another daemon is told of the workers of `units`; nothing from a daemon that does not read the list.
pub(crate) fn tell(node: &Node, units: &BTreeSet<PoolSlice>, cursor: Option<&Cursor>) -> Answer {
    if !is_reader(node) || !node.may_act(clock::now()) {
        return Answer::NotOwner;
    }
    let update = node.directory().tell(&node.member, &node.map(), units, cursor);
    update.map_or(Answer::NotOwner, Answer::Workers)
}
