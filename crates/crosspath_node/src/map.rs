//! Assignment of pools to shards.
//!
//! A pool that is too large for one small entry VM is divided into slices. Every pool of a
//! deployment has the same number of slices, so that a VM, whose slice depends on its name, keeps
//! its slice when it moves between pools. The slice of a job depends on its identifier, except that
//! the long-running jobs of a pool share one slice. The number of slices and the shard of each
//! slice are records that are written once, by the daemon that is first; they are never derived
//! from a list that may differ between two daemons. The pools that each queue has used are recorded
//! beside them, see [`crate::assignment`].

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::hash::Hasher as _;
use std::pin::pin;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use crosspath_border::operator::Queue;
use crosspath_border::store::{Error, NewRecord, Precondition, Stored, Topic};
use crosspath_job::JobId;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use snafu::Snafu;

use crate::assignment::{Assignment, Assignments};
use crate::backoff::{self, Backoff};
use crate::clock;
use crate::feed;
use crate::node::{Node, only_partition};
use crate::pages::Pages;
use crate::vm_count::{Count, Counter, Unknown};

/// VMs of a slice per core of the entry VM that owns the slice's shards: one core carries the peaks
/// of the pools on this many VMs.
const VMS_PER_CORE: usize = 533;
/// Smallest number of VMs per slice.
const MIN_VMS_PER_SLICE: usize = 32;
/// Backoff until the map is complete: the daemon serves no requests before, and hundreds of daemons
/// may read the map at the same time.
const EXTEND_BACKOFF: backoff::Policy =
    backoff::Policy { initial: Duration::from_millis(300), max: Duration::from_millis(1_000) };
/// Relative share of a pool's finite jobs that a slice gets; see [`SHARED_WEIGHT`].
const FULL_WEIGHT: u64 = 7;
/// The share where long-running tasks of another pool occupy VMs of the slice, about three of
/// seven.
const SHARED_WEIGHT: u64 = 4;
const SLICES_KEY: &str = "slices";
const INITIAL_POOLS_KEY: &str = "homes";
const SHARD_KEY: &str = "shard/";
/// Prefix of the keys of assignments.
pub(crate) const QUEUE_KEY: &str = "queue/";

/// One slice of one pool, owned through one shard.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PoolSlice {
    /// Name of the pool that the slice belongs to.
    pub pool: Arc<str>,
    /// Index of the slice, from 0.
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

/// Shard map, as far as its records have been applied; empty at first.
#[derive(Debug, Clone, Default)]
pub struct Map {
    /// Number of slices of each pool; 0 until it is known.
    slices: u32,
    /// Number of pools when the map was created. Each of them has its long-running jobs in a slice
    /// of its own, as far as there are enough slices.
    initial_pools: u32,
    shards: BTreeMap<PoolSlice, u32>,
    assignments: Assignments,
}

impl Map {
    /// Number of slices of each pool; none until it is known.
    #[must_use]
    pub fn slices(&self) -> Option<u32> {
        (self.slices > 0).then_some(self.slices)
    }

    /// Slice of a pool's finite job. Slices whose VMs run long-running tasks of other pools get
    /// fewer jobs.
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

    /// Slice of a VM, by its name.
    #[must_use]
    pub fn slice_of_vm(&self, vm: &str) -> u32 {
        let mut hasher = SipHasher13::new();
        hasher.write(vm.as_bytes());
        u32::try_from(hasher.finish() % u64::from(self.slices.max(1))).unwrap_or_default()
    }

    /// Shard that owns the slice; none until one is assigned.
    #[must_use]
    pub fn shard(&self, pool_slice: &PoolSlice) -> Option<u32> {
        self.shards.get(pool_slice).copied()
    }

    /// Index of a pool in the order in which shards were assigned, which is by descending number.
    fn pool_index(&self, pool: &Arc<str>) -> u32 {
        let first = self.shard(&PoolSlice { pool: Arc::clone(pool), slice: 0 }).unwrap_or_default();
        let preceding = self.shards.values().filter(|shard| **shard > first).count();
        u32::try_from(preceding).unwrap_or_default() / self.slices.max(1)
    }

    /// Slice of a pool's long-running jobs. Their tasks are spread over many VMs, which jobs of one
    /// slice can share; using another slice for each pool keeps the slices balanced.
    fn long_running_slice(&self, pool: &Arc<str>) -> u32 {
        self.pool_index(pool) % self.slices.max(1)
    }

    /// Shard for a new job of the pool; none until one is assigned.
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

    /// Shards that may own a job of the pool, the more likely first: that for a finite job, then
    /// that for a long-running one. None if either is not assigned yet.
    #[must_use]
    pub fn candidate_shards(&self, pool: &Arc<str>, job: JobId) -> Option<Vec<u32>> {
        let candidates = [self.slice_of_job(pool, job), self.long_running_slice(pool)];
        let mut slices: Vec<u32> = candidates.to_vec();
        slices.dedup();
        let shard = |slice| self.shard(&PoolSlice { pool: Arc::clone(pool), slice });
        slices.into_iter().map(shard).collect()
    }

    /// All slices of a pool; empty until their number is known.
    #[must_use]
    pub fn pool_slices(&self, pool: &Arc<str>) -> Vec<PoolSlice> {
        (0..self.slices).map(|slice| PoolSlice { pool: Arc::clone(pool), slice }).collect()
    }

    /// Whether all slices of the pool have a shard.
    #[must_use]
    pub fn is_complete_for(&self, pool: &Arc<str>) -> bool {
        self.slices > 0
            && self.pool_slices(pool).iter().all(|pool_slice| self.shards.contains_key(pool_slice))
    }

    /// Recorded assignments of queues to pools.
    #[must_use]
    pub fn assignments(&self) -> &Assignments {
        &self.assignments
    }

    /// Recorded assignments, to add those that another daemon has read or this one has recorded.
    pub(crate) fn assignments_mut(&mut self) -> &mut Assignments {
        &mut self.assignments
    }

    /// Assigned slices by shard.
    #[must_use]
    pub fn by_shard(&self) -> BTreeMap<u32, PoolSlice> {
        self.shards.iter().map(|(pool_slice, shard)| (*shard, pool_slice.clone())).collect()
    }

    /// Applies a record of the shard map; an unreadable one is logged and skipped.
    pub fn apply(&mut self, record: &Stored) {
        if let Some(key) = record.key.strip_prefix(QUEUE_KEY) {
            match key.parse() {
                Ok(assignment) => self.assignments.insert(assignment),
                Err(error) => {
                    log::warn!("event=map_record_unreadable key={} error=\"{error}\"", record.key);
                }
            }
            return;
        }
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

    /// Records to append so that all slices of `pools` have a shard below `end`, as far as shards
    /// are free. If the number of slices is not known, it is derived from the number of `vms` and
    /// the `millicores` of an entry VM, and its record comes first.
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

    /// Records of the assignments of `queues` that are not recorded.
    #[must_use]
    pub fn missing_assignments(&self, queues: &[Queue]) -> Vec<NewRecord> {
        let assignments = queues.iter().map(Assignment::of);
        let missing = assignments.filter(|assignment| !self.assignments.contains(assignment));
        missing.map(|assignment| assignment.record(QUEUE_KEY)).collect()
    }
}

/// Read of the map from the store, which continues after a failure where it stopped.
#[derive(Debug, Default)]
pub(crate) struct Reader {
    pages: Pages,
    /// Version of the configuration that was in effect when the read began.
    version: Option<u64>,
}

impl Reader {
    /// Reads and applies all records; returns the end of the log when the read began.
    pub(crate) async fn read(&mut self, node: &Node) -> Result<u64, Error> {
        let current = || node.table().map_or(0, |table| table.version);
        let version = *self.version.get_or_insert_with(current);
        let partition = only_partition(Topic::ShardMap);
        let (records, end) = feed::newest(node, partition, &mut self.pages).await?;
        self.version = None;
        node.apply_map_records(&records);
        node.set_map_read(version);
        Ok(end)
    }
}

/// Keeps the map up to date: extends it by pools without shards, and reads it again when it may lack
/// records of configurations that this daemon has not applied, or only for a short time.
pub(crate) async fn run(node: Arc<Node>) {
    let mut counter = None;
    let mut backoff = Backoff::new(EXTEND_BACKOFF);
    let mut reader = Reader::default();
    loop {
        let mut changed = pin!(node.routing_changed.notified());
        changed.as_mut().enable();
        let missing = missing_pools(&node);
        if missing.is_empty() && !node.is_map_outdated() {
            backoff.reset();
            changed.await;
            continue;
        }
        let pause = match extend(&node, &missing, &mut counter, &mut reader).await {
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

/// Reason why the map was not extended.
#[derive(Debug, Snafu)]
enum ExtendError {
    /// The store could not be read or did not accept the records.
    #[snafu(transparent)]
    Store { source: Error },
    /// The number of VMs, which determines the number of slices, is not known.
    #[snafu(transparent)]
    CountUnknown { source: Unknown },
    /// Another daemon is responsible for writing the records.
    #[snafu(display("another daemon is responsible for extending the map"))]
    NotResponsible,
    /// No shard is free for the slices that lack one.
    #[snafu(display("no shard is free for {pools} pools; add partitions to the topics"))]
    NoShardLeft { pools: usize },
}

fn missing_pools(node: &Node) -> BTreeSet<Arc<str>> {
    let Some(table) = node.table() else { return BTreeSet::new() };
    let serving = table.config.pools.iter().filter(|pool| !pool.spare);
    let map = node.map();
    serving.map(|pool| Arc::clone(&pool.name)).filter(|name| !map.is_complete_for(name)).collect()
}

/// Reads the map, and appends missing records unless another daemon has appended some in between.
async fn extend(
    node: &Node,
    pools: &BTreeSet<Arc<str>>,
    counter: &mut Option<Counter>,
    reader: &mut Reader,
) -> Result<(), ExtendError> {
    let end = reader.read(node).await?;
    let map = node.map();
    if pools.iter().all(|pool| map.is_complete_for(pool)) {
        return Ok(());
    }
    // The size of a slice depends on the entry VMs that can own its shards, so only a candidate for
    // ownership decides it.
    if !node.member_status().candidate {
        return Err(ExtendError::NotResponsible);
    }
    let vms = match map.slices() {
        Some(_) => 0,
        None => count_vms(node, counter).await?.vms,
    };
    let mut records = map.missing_records(pools, vms, node.settings.millicores, node.fleet_shard());
    if records.is_empty() {
        return Err(ExtendError::NoShardLeft { pools: pools.len() });
    }
    if let Some(table) = node.table() {
        records.extend(map.missing_assignments(&table.config.queues));
    }
    let partition = only_partition(Topic::ShardMap);
    node.store.append(partition, &records, Precondition::EndOffset(end)).await?;
    log::info!("event=map_extended records={} vms={vms}", records.len());
    let stored = |(record, offset): (NewRecord, u64)| {
        let NewRecord { key, value } = record;
        Stored { offset, key, value }
    };
    node.apply_map_records(&records.into_iter().zip(end..).map(stored).collect::<Vec<_>>());
    Ok(())
}

/// Counts the VMs of the deployment. Only the daemon that owns the fleet's shard does so: all
/// daemons start at about the same time, and the platform would refuse most of their list calls.
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

/// Number of VMs with a worker entry in the store; none until all entries have been read.
fn worker_vms(node: &Node) -> Option<usize> {
    let directory = node.directory();
    let vms: BTreeSet<_> = directory.entries.values().map(|entry| &entry.vm).collect();
    directory.is_whole().then_some(vms.len())
}
