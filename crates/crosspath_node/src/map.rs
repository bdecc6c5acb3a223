//! Which pool has which shards.
//!
//! A pool too large for one small entry VM is cut into slices. Every pool of a deployment has the
//! same number of slices, so that a VM, whose slice goes by its name, keeps its slice when it moves
//! from one pool to another. A job's slice goes by its identifier, but that lasting jobs of a pool
//! share one. The number of slices and the
//! shard of each slice are records, written once by whichever daemon comes first; they are never
//! derived from a list that may differ between two daemons.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::hash::Hasher as _;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use crosspath_border::store::{Error, NewRecord, Precondition, Stored, Topic};
use crosspath_job::JobId;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use snafu::Snafu;

use crate::backoff::{self, Backoff};
use crate::clock;
use crate::feed;
use crate::node::{Node, only_partition};
use crate::pages::Pages;
use crate::vm_count::{Count, Counter, Unknown};

/// VMs of a slice for each core of the entry VM that owns its shards: it carries the pools' peaks of so many.
const VMS_PER_CORE: usize = 533;
/// VMs of a slice at least.
const MIN_VMS_PER_SLICE: usize = 32;
/// Until the map has a pool's shards: a daemon serves nobody before, and hundreds read the map meanwhile.
const EXTEND_BACKOFF: backoff::Policy =
    backoff::Policy { initial: Duration::from_millis(300), max: Duration::from_millis(1_000) };
/// Share of brief jobs that a slice gets, against [`LENT_WEIGHT`].
const FULL_WEIGHT: u64 = 7;
/// The same where lasting tasks of another pool hold VMs, about three of seven.
const SHARED_WEIGHT: u64 = 4;
const SLICES_KEY: &str = "slices";
const INITIAL_POOLS_KEY: &str = "homes";
const SHARD_KEY: &str = "shard/";

/// A slice of a pool.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PoolSlice {
    /// The pool.
    pub pool: Arc<str>,
    /// Which slice, from 0.
    pub slice: u32,
}

impl fmt::Display for PoolSlice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.pool, self.slice)
    }
}

impl FromStr for PoolSlice {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let (pool, slice) = text.rsplit_once('/').ok_or(())?;
        Ok(Self { pool: pool.into(), slice: slice.parse().map_err(drop)? })
    }
}

/// The map as far as it was read.
#[derive(Debug, Clone, Default)]
pub struct Map {
    /// Slices of each pool; 0 before that is known.
    slices: u32,
    /// Pools that the map was made with: each has its lasting jobs in a slice of its own, as far as
    /// there are slices.
    initial_pools: u32,
    shards: BTreeMap<PoolSlice, u32>,
}

impl Map {
    /// Slices of each pool; none before that is known.
    #[must_use]
    pub fn slices(&self) -> Option<u32> {
        (self.slices > 0).then_some(self.slices)
    }

    /// Slice of a pool's brief job. Slices whose VMs carry other pools' lasting tasks get fewer.
    #[must_use]
    pub fn slice_of_job(&self, pool: &Arc<str>, job: JobId) -> u32 {
        let own = self.pool_index(pool);
        let weight = |slice: u32| {
            let shared = (0..self.initial_pools)
                .any(|pool_index| pool_index != own && pool_index % self.slices.max(1) == slice);
            if shared { SHARED_WEIGHT } else { FULL_WEIGHT }
        };
        let weights: Vec<u64> = (0..self.slices.max(1)).map(weight).collect();
        let mut point = job.0 % weights.iter().sum::<u64>().max(1);
        for (slice, weight) in (0..).zip(weights) {
            if point < weight {
                return slice;
            }
            point -= weight;
        }
        0
    }

    /// Slice of a VM.
    #[must_use]
    pub fn slice_of_vm(&self, vm: &str) -> u32 {
        let mut hasher = SipHasher13::new();
        hasher.write(vm.as_bytes());
        u32::try_from(hasher.finish() % u64::from(self.slices.max(1))).unwrap_or_default()
    }

    /// Shard of a slice of a pool.
    #[must_use]
    pub fn shard(&self, pool_slice: &PoolSlice) -> Option<u32> {
        self.shards.get(pool_slice).copied()
    }

    /// Place of a pool among those of the map, in order of their shards.
    fn pool_index(&self, pool: &Arc<str>) -> u32 {
        let first = self.shard(&PoolSlice { pool: Arc::clone(pool), slice: 0 }).unwrap_or_default();
        let preceding = self.shards.values().filter(|shard| **shard > first).count();
        u32::try_from(preceding).unwrap_or_default() / self.slices.max(1)
    }

    /// Slice of a pool's lasting jobs. Their tasks are spread over many VMs, which jobs of one slice
    /// can share; another slice for each pool keeps the slices alike.
    fn long_running_slice(&self, pool: &Arc<str>) -> u32 {
        self.pool_index(pool) % self.slices.max(1)
    }

    /// Shard of a pool's new job.
    #[must_use]
    pub fn shard_for_new_job(
        &self,
        pool: &Arc<str>,
        job: JobId,
        long_running: bool,
    ) -> Option<u32> {
        let slice =
            if long_running { self.long_running_slice(pool) } else { self.slice_of_job(pool, job) };
        self.shard(&PoolSlice { pool: Arc::clone(pool), slice })
    }

    /// Shards where a pool's job may be, the likeliest first; none when one is not known.
    #[must_use]
    pub fn candidate_shards(&self, pool: &Arc<str>, job: JobId) -> Option<Vec<u32>> {
        let candidates = [self.slice_of_job(pool, job), self.long_running_slice(pool)];
        let mut slices: Vec<u32> = candidates.to_vec();
        slices.dedup();
        let shard = |slice| self.shard(&PoolSlice { pool: Arc::clone(pool), slice });
        slices.into_iter().map(shard).collect()
    }

    /// Slices of a pool; none before the number is known.
    #[must_use]
    pub fn pool_slices(&self, pool: &Arc<str>) -> Vec<PoolSlice> {
        (0..self.slices).map(|slice| PoolSlice { pool: Arc::clone(pool), slice }).collect()
    }

    /// Whether all slices of a pool have a shard.
    #[must_use]
    pub fn is_complete_for(&self, pool: &Arc<str>) -> bool {
        self.slices > 0
            && self.pool_slices(pool).iter().all(|pool_slice| self.shards.contains_key(pool_slice))
    }

    /// Units by shard.
    #[must_use]
    pub fn by_shard(&self) -> BTreeMap<u32, PoolSlice> {
        self.shards.iter().map(|(pool_slice, shard)| (*shard, pool_slice.clone())).collect()
    }

    /// Takes in a record.
    pub fn apply(&mut self, record: &Stored) {
        let number = std::str::from_utf8(&record.value).ok().and_then(|text| text.parse().ok());
        let Some(number) = number else {
            log::warn!("event=map_record_unreadable key={}", record.key);
            return;
        };
        if record.key == SLICES_KEY {
            self.slices = number;
            return;
        }
        if record.key == INITIAL_POOLS_KEY {
            self.initial_pools = number;
            return;
        }
        match record.key.strip_prefix(SHARD_KEY).map(str::parse) {
            Some(Ok(pool_slice)) => drop(self.shards.insert(pool_slice, number)),
            _ => log::warn!("event=map_record_unreadable key={}", record.key),
        }
    }

    /// Records that the map lacks for `pools`, with shards below `end`; with the number of slices
    /// for `vms` VMs, owned by entry VMs of `millicores`, if that is not known.
    #[must_use]
    pub fn missing_records(
        &self,
        pools: &BTreeSet<Arc<str>>,
        vms: usize,
        millicores: u32,
        end: u32,
    ) -> Vec<NewRecord> {
        let record = |key: String, number: u32| NewRecord { key, value: number.to_string().into() };
        let mut extended = self.clone();
        let mut records = Vec::new();
        if extended.slices == 0 {
            let max_slices = end / u32::try_from(pools.len().max(1)).unwrap_or(u32::MAX);
            let vms_per_slice = (VMS_PER_CORE * millicores as usize / 1_000).max(MIN_VMS_PER_SLICE);
            let needed = u32::try_from(vms.div_ceil(vms_per_slice)).unwrap_or(u32::MAX);
            extended.slices = needed.clamp(1, max_slices.max(1));
            records.push(record(SLICES_KEY.to_owned(), extended.slices));
            let initial_pools = u32::try_from(pools.len()).unwrap_or(u32::MAX);
            records.push(record(INITIAL_POOLS_KEY.to_owned(), initial_pools));
        }
        let used: BTreeSet<u32> = self.shards.values().copied().collect();
        let free = (0..end).rev().filter(|number| !used.contains(number));
        let pool_slices = pools.iter().flat_map(|pool| extended.pool_slices(pool));
        let absent = pool_slices.filter(|pool_slice| !self.shards.contains_key(pool_slice));
        records.extend(
            absent
                .zip(free)
                .map(|(pool_slice, shard)| record(format!("{SHARD_KEY}{pool_slice}"), shard)),
        );
        records
    }
}

/// Keeps the map, and adds pools that it lacks.
pub(crate) async fn run(node: Arc<Node>) {
    let mut counter = None;
    let mut backoff = Backoff::new(EXTEND_BACKOFF);
    let mut pages = Pages::default();
    loop {
        let missing = missing_pools(&node);
        if missing.is_empty() {
            backoff.reset();
            node.changed.notified().await;
            continue;
        }
        let pause = match extend(&node, &missing, &mut counter, &mut pages).await {
            Ok(()) => continue,
            Err(ExtendError::Store { source }) => {
                log::info!("event=map_not_extended error=\"{source}\"");
                backoff.pause(rand::random())
            }
            Err(ExtendError::CountUnknown { source }) => {
                log::info!("event=map_not_extended error=\"{source}\"");
                source.retry_after
            }
            Err(ExtendError::NotResponsible) => backoff.pause(rand::random()),
            Err(error @ ExtendError::NoShardLeft { .. }) => {
                log::error!("event=map_not_extended error=\"{error}\"");
                EXTEND_BACKOFF.max
            }
        };
        tokio::time::sleep(pause).await;
    }
}

/// The map lacks pools still.
#[derive(Debug, Snafu)]
enum ExtendError {
    /// The store could not be read, or did not take the records.
    #[snafu(transparent)]
    Store { source: Error },
    /// The number of slices goes by a number of VMs that is not known.
    #[snafu(transparent)]
    CountUnknown { source: Unknown },
    /// Another daemon is to write the records.
    #[snafu(display("another daemon is to extend the map"))]
    NotResponsible,
    /// There are fewer shards than slices.
    #[snafu(display("no shard is left for {pools} pools; give the topics more partitions"))]
    NoShardLeft { pools: usize },
}

fn missing_pools(node: &Node) -> BTreeSet<Arc<str>> {
    let Some(table) = node.table() else { return BTreeSet::new() };
    let serving = table.config.pools.iter().filter(|pool| !pool.spare);
    let map = node.map();
    serving.map(|pool| Arc::clone(&pool.name)).filter(|name| !map.is_complete_for(name)).collect()
}

/// Reads the map, and appends what is missing if nobody else has in between.
async fn extend(
    node: &Node,
    pools: &BTreeSet<Arc<str>>,
    counter: &mut Option<Counter>,
    pages: &mut Pages,
) -> Result<(), ExtendError> {
    let partition = only_partition(Topic::ShardMap);
    let (records, end) = feed::newest(node, partition, pages).await?;
    let mut map = Map::default();
    records.iter().for_each(|record| map.apply(record));
    node.set_map(map.clone());
    if pools.iter().all(|pool| map.is_complete_for(pool)) {
        return Ok(());
    }
    // The size of slices goes by the VMs that will own them.
    if !node.standing().candidate {
        return Err(ExtendError::NotResponsible);
    }
    let vms = match map.slices() {
        Some(_) => 0,
        None => count_vms(node, counter).await?.vms,
    };
    let records = map.missing_records(pools, vms, node.settings.millicores, node.fleet_shard());
    if records.is_empty() {
        return Err(ExtendError::NoShardLeft { pools: pools.len() });
    }
    node.store.append(partition, &records, Precondition::EndOffset(end)).await?;
    log::info!("event=map_extended records={} vms={vms}", records.len());
    for (record, offset) in records.into_iter().zip(end..) {
        map.apply(&Stored { offset, key: record.key, value: record.value });
    }
    node.set_map(map);
    Ok(())
}

/// VMs of the deployment. Only the daemon that holds the fleet's shard counts: all start within the
/// same moments, and with a list from each the platform refuses most of them.
async fn count_vms(node: &Node, counter: &mut Option<Counter>) -> Result<Count, ExtendError> {
    if !node.owned().contains_key(&node.fleet_shard()) {
        return Err(ExtendError::NotResponsible);
    }
    let counter = counter.get_or_insert_with(|| Counter::new(clock::now(), node.fleet.is_some()));
    if let Some(fleet) = &node.fleet {
        counter.record_listing(fleet.list().await.map(|vms| vms.len()));
    }
    let workers = worker_vms(node);
    let count = counter.count(clock::now(), workers, rand::random())?;
    log::info!("event=vms_counted vms={} source={:?} workers={workers:?}", count.vms, count.source);
    Ok(count)
}

/// VMs whose workers tell of themselves, once that list was read.
fn worker_vms(node: &Node) -> Option<usize> {
    let directory = node.directory();
    let vms: BTreeSet<_> = directory.entries.values().map(|entry| &entry.vm).collect();
    directory.is_whole().then_some(vms.len())
}
