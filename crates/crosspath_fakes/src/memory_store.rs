//! In-memory store of the platform: keyed partitions, fenced appends, and a group that assigns
//! shards to its members.
//!
//! Answers to appends can be lost by fault injection. Shards are spread evenly over the members.
//! Membership does not expire, and shards move to other members immediately; the daemon's behaviour
//! between these steps is tested elsewhere.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use crosspath_border::operator::{Change, WaveState};
use crosspath_border::store::{
    Appended, DecodeError, Error, Holder, Join, Limits, Membership, NewRecord, NewestPage, Page,
    Partition, Precondition, Store, Stored,
};
use crosspath_border::worker;

/// Number of most recent appends of an owner that can be retried and then get the same result.
const MAX_CACHED_RESULTS: usize = 5;

/// Maximum number of records in a page of the newest ones. Small, so that tests with few records read
/// several pages.
const MAX_PAGE_RECORDS: usize = 3;

#[derive(Debug, Default)]
struct Log {
    records: Vec<Stored>,
    epoch: u64,
    /// Sequence numbers and results of the most recent appends of the current epoch.
    results: VecDeque<(u64, Appended)>,
}

impl Log {
    fn end(&self) -> u64 {
        self.records.len() as u64
    }

    fn check(&self, precondition: Precondition) -> Result<Option<Appended>, Error> {
        match precondition {
            Precondition::Unconditional => Ok(None),
            Precondition::EndOffset(at) if at == self.end() => Ok(None),
            Precondition::EndOffset(_) => Err(Error::EndMismatch { end: self.end() }),
            Precondition::Owner { epoch, .. } if epoch < self.epoch => {
                Err(Error::Fenced { epoch: self.epoch })
            }
            Precondition::Owner { epoch, .. } if epoch > self.epoch => Ok(None),
            Precondition::Owner { sequence, .. } => {
                let cached = self.results.iter().find(|(number, _)| *number == sequence);
                let last = self.results.back().map_or(0, |(number, _)| *number);
                match cached {
                    Some((_, result)) => Ok(Some(*result)),
                    None if sequence == last + 1 => Ok(None),
                    None => Err(Error::Sequence { expected: last + 1 }),
                }
            }
        }
    }

    fn append(
        &mut self,
        records: &[NewRecord],
        precondition: Precondition,
    ) -> Result<Appended, Error> {
        if let Some(result) = self.check(precondition)? {
            return Ok(result);
        }
        let offset = self.end();
        for (record, offset) in records.iter().zip(offset..) {
            let NewRecord { key, value } = record.clone();
            self.records.push(Stored { offset, key, value });
        }
        let appended = Appended { offset, end: self.end() };
        if let Precondition::Owner { epoch, sequence } = precondition {
            if epoch > self.epoch {
                self.epoch = epoch;
                self.results.clear();
            }
            self.results.push_back((sequence, appended));
            if self.results.len() > MAX_CACHED_RESULTS {
                self.results.pop_front();
            }
        }
        Ok(appended)
    }
}

#[derive(Debug, Default)]
struct State {
    logs: HashMap<Partition, Log>,
    members: Vec<Arc<str>>,
    generation: u64,
    lose_answers: u32,
}

/// In-memory [`Store`].
#[derive(Debug, Default)]
pub struct MemoryStore {
    shards: u32,
    limits: Limits,
    state: Mutex<State>,
}

impl MemoryStore {
    /// Creates an empty store whose group assigns `shards` shards.
    #[must_use]
    pub fn new(shards: u32) -> Self {
        Self { shards, limits: Limits::default(), state: Mutex::default() }
    }

    /// The same store with these limits.
    #[must_use]
    pub fn with_limits(self, limits: Limits) -> Self {
        Self { limits, ..self }
    }

    fn check_size(&self, records: &[NewRecord]) -> Result<(), Error> {
        let is_too_large = |record: &NewRecord| record.size() > self.limits.record_bytes;
        if records.iter().any(is_too_large) || self.limits.appends(records).len() > 1 {
            return Err(Error::Malformed { detail: "the append is too large".to_owned() });
        }
        Ok(())
    }

    /// Makes the next `count` appends take effect and return [`Error::NoAnswer`].
    pub fn lose_answers(&self, count: u32) {
        self.state().lose_answers = count;
    }

    /// All records of a partition, including superseded ones.
    #[must_use]
    pub fn records(&self, partition: Partition) -> Vec<Stored> {
        self.state().logs.get(&partition).map(|log| log.records.clone()).unwrap_or_default()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn unsupported(record: &Stored) -> DecodeError {
    let detail = "the in-memory store holds no records of operators or workers".to_owned();
    DecodeError { key: record.key.clone(), offset: record.offset, detail }
}

#[async_trait]
impl Store for MemoryStore {
    fn limits(&self) -> Limits {
        self.limits
    }

    async fn append(
        &self,
        partition: Partition,
        records: &[NewRecord],
        precondition: Precondition,
    ) -> Result<Appended, Error> {
        self.check_size(records)?;
        let mut state = self.state();
        let appended = state.logs.entry(partition).or_default().append(records, precondition)?;
        if state.lose_answers > 0 {
            state.lose_answers -= 1;
            return Err(Error::NoAnswer);
        }
        Ok(appended)
    }

    async fn read(&self, partition: Partition, from: u64, _: Duration) -> Result<Page, Error> {
        let mut state = self.state();
        let log = state.logs.entry(partition).or_default();
        let skipped = usize::try_from(from).unwrap_or(usize::MAX);
        Ok(Page { records: log.records.iter().skip(skipped).cloned().collect(), end: log.end() })
    }

    async fn newest(&self, partition: Partition, after: Option<&str>) -> Result<NewestPage, Error> {
        let mut state = self.state();
        let log = state.logs.entry(partition).or_default();
        let mut newest = BTreeMap::new();
        for record in &log.records {
            newest.insert(record.key.clone(), record.clone());
        }
        let records = newest.into_values();
        let mut records = records.filter(|record| {
            !record.value.is_empty() && after.is_none_or(|after| record.key.as_str() > after)
        });
        let page = records.by_ref().take(MAX_PAGE_RECORDS).collect();
        Ok(NewestPage { records: page, more: records.next().is_some(), end: log.end() })
    }

    async fn join(&self, join: &Join) -> Result<Membership, Error> {
        let mut state = self.state();
        if !state.members.contains(&join.member) {
            state.members.push(Arc::clone(&join.member));
            state.generation += 1;
        }
        let at = state.members.iter().position(|member| *member == join.member).unwrap_or_default();
        let shards = (0..self.shards).filter(|number| *number as usize % state.members.len() == at);
        Ok(Membership { generation: state.generation, shards: shards.collect() })
    }

    async fn leave(&self, member: &str) -> Result<(), Error> {
        let mut state = self.state();
        state.members.retain(|other| **other != *member);
        state.generation += 1;
        Ok(())
    }

    async fn holders(&self) -> Result<Vec<Holder>, Error> {
        let state = self.state();
        let holder = |shard: u32| {
            let member = state.members.get(shard as usize % state.members.len().max(1))?;
            Some(Holder { shard, member: Arc::clone(member) })
        };
        Ok((0..self.shards).filter_map(holder).collect())
    }

    fn decode_change(&self, record: &Stored) -> Result<Change, DecodeError> {
        Err(unsupported(record))
    }

    fn decode_worker(&self, record: &Stored) -> Result<worker::Entry, DecodeError> {
        Err(unsupported(record))
    }

    fn encode_wave_status(&self, wave: u64, state: WaveState) -> NewRecord {
        NewRecord { key: wave.to_string(), value: format!("{state:?}").into() }
    }

    fn decode_wave_status(&self, record: &Stored) -> Result<(u64, WaveState), DecodeError> {
        Err(unsupported(record))
    }
}
