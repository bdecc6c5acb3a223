//! The worker list as far as this daemon needs it.
//!
//! Two daemons read the list, and each owner of shards is told of the workers of its slices: workers write there
//! every 1.5 s, and were it read by every daemon, what the store has to send would grow with the square of the fleet.
//!
//! Anyone may have written an entry. One that cannot be read names no worker to use, also where the same key named
//! one before; that worker's own next entry brings it back. The other entries hold.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crosspath_border::store::{DecodeError, Stored};
use crosspath_border::worker::Entry;
use crosspath_schedule::Event;
use serde::{Deserialize, Serialize};

use crate::change_log::ChangeLog;
use crate::map::{Map, PoolSlice};

/// The part of the list that is known.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
enum Coverage {
    /// Nothing.
    #[default]
    Nothing,
    /// Workers of these slices.
    Slices(BTreeSet<PoolSlice>),
    /// All workers.
    Whole,
}

/// How far a daemon has been told of another's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// The other daemon, in this life.
    pub reader: Arc<str>,
    /// Which of its readings of the whole list this is.
    pub reading: u64,
    /// Number of the last change that was told.
    pub change: u64,
}

/// What has changed of the workers of some slices.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Update {
    /// How far that tells.
    pub cursor: Cursor,
    /// Whether `entries` are all there are.
    pub whole: bool,
    /// Entries that are new or have changed.
    pub entries: Vec<Entry>,
    /// Identifiers of entries that are gone, of other slices too.
    pub gone: Vec<Arc<str>>,
}

/// The worker list as far as this daemon needs it.
#[derive(Debug, Default)]
pub struct Directory {
    pub(crate) entries: BTreeMap<Arc<str>, Entry>,
    coverage: Coverage,
    changes: ChangeLog,
    /// Readings of the whole list.
    full_reads: u64,
}

/// A change of one entry, for the owner of the VM's shard.
#[derive(Debug)]
pub struct Change {
    /// The worker's pool.
    pub pool: Arc<str>,
    /// Its VM.
    pub vm: Arc<str>,
    /// What its shard's owner hears.
    pub event: Event,
}

impl Change {
    fn gone(entry: Entry) -> Self {
        Self { pool: entry.pool, vm: entry.vm, event: Event::WorkerUnlisted(entry.id) }
    }
}

impl Directory {
    /// Whether all workers are known.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.coverage == Coverage::Whole
    }

    /// Whether all workers of a slice are known.
    #[must_use]
    pub fn covers(&self, pool_slice: &PoolSlice) -> bool {
        match &self.coverage {
            Coverage::Nothing => false,
            Coverage::Slices(pool_slices) => pool_slices.contains(pool_slice),
            Coverage::Whole => true,
        }
    }

    /// Nothing is followed from now on.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.coverage = Coverage::Nothing;
    }

    /// Takes in records of the list, `whole` if they are all there are, and tells what has changed.
    pub fn apply_records(
        &mut self,
        records: &[Stored],
        whole: bool,
        read: impl Fn(&Stored) -> Result<Entry, DecodeError>,
    ) -> Vec<Change> {
        let present = records.iter().map(|record| record.key.as_str());
        let mut changes = if whole { self.retain_only(&present.collect()) } else { Vec::new() };
        if whole && self.coverage != Coverage::Whole {
            self.coverage = Coverage::Whole;
            self.full_reads += 1;
        }
        for record in records {
            if record.value.is_empty() {
                changes.extend(self.remove(&record.key));
                continue;
            }
            match read(record) {
                Ok(entry) => changes.extend(self.upsert(entry)),
                Err(error) => {
                    log::warn!("event=worker_entry_unreadable error=\"{error}\"");
                    changes.extend(self.remove(&record.key));
                }
            }
        }
        changes
    }

    /// What another daemon is told of the workers of `pool_slices`, where it was told up to `cursor`; nothing while
    /// not all workers are known here.
    #[must_use]
    pub fn update_since(
        &self,
        reader: &Arc<str>,
        map: &Map,
        pool_slices: &BTreeSet<PoolSlice>,
        cursor: Option<&Cursor>,
    ) -> Option<Update> {
        if !self.is_whole() {
            return None;
        }
        let change = self.changes.last();
        let current = Cursor { reader: Arc::clone(reader), reading: self.full_reads, change };
        let is_of =
            |entry: &&Entry| pool_slices.contains(&pool_slice_of(map, &entry.pool, &entry.vm));
        let known =
            cursor.filter(|cursor| **cursor == Cursor { change: cursor.change, ..current.clone() });
        let since = known.and_then(|cursor| self.changes.since(cursor.change));
        let Some(since) = since else {
            let entries = self.entries.values().filter(is_of).cloned().collect();
            return Some(Update { cursor: current, whole: true, entries, gone: Vec::new() });
        };
        let (mut entries, mut gone) = (Vec::new(), Vec::new());
        for id in since {
            match self.entries.get(id) {
                Some(entry) => entries.extend(Some(entry).filter(is_of).cloned()),
                None => gone.push(Arc::clone(id)),
            }
        }
        Some(Update { cursor: current, whole: false, entries, gone })
    }

    /// Takes in what was told of the workers of `pool_slices`, and tells what has changed.
    pub fn apply_update(
        &mut self,
        update: Update,
        pool_slices: &BTreeSet<PoolSlice>,
    ) -> Vec<Change> {
        let mut changes = Vec::new();
        if update.whole {
            let present = update.entries.iter().map(|entry| &*entry.id).collect();
            changes.extend(self.retain_only(&present));
            self.coverage = Coverage::Slices(pool_slices.clone());
        }
        changes.extend(update.gone.iter().filter_map(|id| self.remove(id)));
        changes.extend(update.entries.into_iter().filter_map(|entry| self.upsert(entry)));
        changes
    }

    fn retain_only(&mut self, present: &BTreeSet<&str>) -> Vec<Change> {
        let gone = self.entries.keys().filter(|id| !present.contains(&***id));
        let gone: Vec<_> = gone.cloned().collect();
        gone.iter().filter_map(|id| self.remove(id)).collect()
    }

    fn remove(&mut self, id: &str) -> Option<Change> {
        let entry = self.entries.remove(id)?;
        self.changes.gone(&entry.id, |id| self.entries.contains_key(id));
        Some(Change::gone(entry))
    }

    fn upsert(&mut self, entry: Entry) -> Option<Change> {
        let known = self.entries.insert(Arc::clone(&entry.id), entry.clone());
        if known.is_some_and(|known| known.eq_ignoring_clock(&entry)) {
            return None;
        }
        self.changes.changed(&entry.id);
        let (pool, vm) = (Arc::clone(&entry.pool), Arc::clone(&entry.vm));
        Some(Change { pool, vm, event: Event::WorkerListed(entry) })
    }
}

/// The slice of a worker.
pub(crate) fn pool_slice_of(map: &Map, pool: &Arc<str>, vm: &str) -> PoolSlice {
    PoolSlice { pool: Arc::clone(pool), slice: map.slice_of_vm(vm) }
}
