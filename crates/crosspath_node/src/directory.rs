//! The part of the worker list that this daemon needs.
//!
//! Two daemons read the whole list from the store and send each owner of shards the workers of its
//! slices. Workers write to the list every 1.5 s; if every daemon read it, the traffic of the store
//! would grow with the square of the fleet.
//!
//! Other programs can write entries too. An entry that cannot be decoded is ignored and removes the
//! worker that had the same key, until that worker writes its next entry. Other entries are
//! unaffected.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crosspath_border::store::{DecodeError, Stored};
use crosspath_border::worker::Entry;
use crosspath_schedule::Event;
use serde::{Deserialize, Serialize};

use crate::change_log::ChangeLog;
use crate::map::{Map, PoolSlice};

/// The part of the worker list that is known here.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
enum Coverage {
    /// No workers are followed.
    #[default]
    Nothing,
    /// All workers of these slices.
    Slices(BTreeSet<PoolSlice>),
    /// All workers of all slices.
    Whole,
}

/// Position in a reader's changes up to which another daemon has received updates.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// The reader: the daemon, in its current incarnation, that reads the list and serves updates.
    pub reader: Arc<str>,
    /// Number of the reader's latest read of the whole list; changes are not continuous across two
    /// of them.
    pub reading: u64,
    /// Number of the last change that the update covers.
    pub change: u64,
}

/// Changes among the workers of some slices, as sent by a reader.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Update {
    /// Position after this update, to be sent with the next request.
    pub cursor: Cursor,
    /// Whether `entries` are all workers of the slices, replacing what was known.
    pub whole: bool,
    /// Entries that were added or have changed since the cursor of the request.
    pub entries: Vec<Entry>,
    /// Identifiers of workers that are no longer listed, including workers of other slices.
    pub gone: Vec<Arc<str>>,
}

/// Entries of the worker list that this daemon follows, and their latest changes.
#[derive(Debug, Default)]
pub struct Directory {
    pub(crate) entries: BTreeMap<Arc<str>, Entry>,
    coverage: Coverage,
    changes: ChangeLog,
    /// Number of times that the whole list was read anew.
    full_reads: u64,
}

/// Change of one entry, to be passed to the owner of the VM's shard.
#[derive(Debug)]
pub struct Change {
    /// Pool that the worker belongs to.
    pub pool: Arc<str>,
    /// Identifier of the VM that the worker runs on.
    pub vm: Arc<str>,
    /// Event for the shard's scheduler.
    pub event: Event,
}

impl Change {
    fn unlisted(entry: Entry) -> Self {
        Self { pool: entry.pool, vm: entry.vm, event: Event::WorkerUnlisted(entry.id) }
    }
}

impl Directory {
    /// Whether all workers of all slices are known.
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

    /// Forgets all workers; none are followed until records or an update are applied.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.coverage = Coverage::Nothing;
    }

    /// Applies records read from the list and returns the changes. `whole` says that they are all
    /// of the list's records, so that workers without a record are removed.
    pub fn apply_records(
        &mut self,
        records: &[Stored],
        whole: bool,
        decode: impl Fn(&Stored) -> Result<Entry, DecodeError>,
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
            match decode(record) {
                Ok(entry) => changes.extend(self.upsert(entry)),
                Err(error) => {
                    log::warn!("event=worker_entry_unreadable error=\"{error}\"");
                    changes.extend(self.remove(&record.key));
                }
            }
        }
        changes
    }

    /// Returns the update for another daemon that follows `pool_slices` and has received updates up
    /// to `cursor`. The update holds all of their workers if the cursor is missing, from another
    /// reader or an earlier read of the list, or too old. `None` while not all workers are known
    /// here.
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
        let is_followed =
            |entry: &&Entry| pool_slices.contains(&pool_slice_of(map, &entry.pool, &entry.vm));
        let known =
            cursor.filter(|cursor| **cursor == Cursor { change: cursor.change, ..current.clone() });
        let since = known.and_then(|cursor| self.changes.since(cursor.change));
        let Some(since) = since else {
            let entries = self.entries.values().filter(is_followed).cloned().collect();
            return Some(Update { cursor: current, whole: true, entries, gone: Vec::new() });
        };
        let (mut entries, mut gone) = (Vec::new(), Vec::new());
        for id in since {
            match self.entries.get(id) {
                Some(entry) => entries.extend(Some(entry).filter(is_followed).cloned()),
                None => gone.push(Arc::clone(id)),
            }
        }
        Some(Update { cursor: current, whole: false, entries, gone })
    }

    /// Applies a reader's update on the workers of `pool_slices` and returns the changes.
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
        self.changes.record_removal(&entry.id, |id| self.entries.contains_key(id));
        Some(Change::unlisted(entry))
    }

    fn upsert(&mut self, entry: Entry) -> Option<Change> {
        let known = self.entries.insert(Arc::clone(&entry.id), entry.clone());
        if known.is_some_and(|known| known.eq_ignoring_clock(&entry)) {
            return None;
        }
        self.changes.record_update(&entry.id);
        let (pool, vm) = (Arc::clone(&entry.pool), Arc::clone(&entry.vm));
        Some(Change { pool, vm, event: Event::WorkerListed(entry) })
    }
}

/// Pool slice to which the workers of a VM in `pool` belong.
pub(crate) fn pool_slice_of(map: &Map, pool: &Arc<str>, vm: &str) -> PoolSlice {
    PoolSlice { pool: Arc::clone(pool), slice: map.slice_of_vm(vm) }
}
