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
enum Part {
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
    part: Part,
    changes: ChangeLog,
    /// Readings of the whole list.
    readings: u64,
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
        self.part == Part::Whole
    }

    /// Whether all workers of a slice are known.
    #[must_use]
    pub fn covers(&self, unit: &PoolSlice) -> bool {
        match &self.part {
            Part::Nothing => false,
            Part::Slices(units) => units.contains(unit),
            Part::Whole => true,
        }
    }

    /// Nothing is followed from now on.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.part = Part::Nothing;
    }

    /// Takes in records of the list, `whole` if they are all there are, and tells what has changed.
    pub fn take(
        &mut self,
        records: &[Stored],
        whole: bool,
        read: impl Fn(&Stored) -> Result<Entry, DecodeError>,
    ) -> Vec<Change> {
        let there = records.iter().map(|record| record.key.as_str());
        let mut changes = if whole { self.forget_all_but(&there.collect()) } else { Vec::new() };
        if whole && self.part != Part::Whole {
            self.part = Part::Whole;
            self.readings += 1;
        }
        for record in records {
            if record.value.is_empty() {
                changes.extend(self.forget(&record.key));
                continue;
            }
            match read(record) {
                Ok(entry) => changes.extend(self.note(entry)),
                Err(error) => {
                    log::warn!("event=worker_entry_unreadable error=\"{error}\"");
                    changes.extend(self.forget(&record.key));
                }
            }
        }
        changes
    }

    /// What another daemon is told of the workers of `units`, where it was told up to `cursor`; nothing while
    /// not all workers are known here.
    #[must_use]
    pub fn tell(
        &self,
        reader: &Arc<str>,
        map: &Map,
        units: &BTreeSet<PoolSlice>,
        cursor: Option<&Cursor>,
    ) -> Option<Update> {
        if !self.is_whole() {
            return None;
        }
        let change = self.changes.last();
        let told = Cursor { reader: Arc::clone(reader), reading: self.readings, change };
        let is_of = |entry: &&Entry| units.contains(&unit_of(map, &entry.pool, &entry.vm));
        let known =
            cursor.filter(|cursor| **cursor == Cursor { change: cursor.change, ..told.clone() });
        let since = known.and_then(|cursor| self.changes.since(cursor.change));
        let Some(since) = since else {
            let entries = self.entries.values().filter(is_of).cloned().collect();
            return Some(Update { cursor: told, whole: true, entries, gone: Vec::new() });
        };
        let (mut entries, mut gone) = (Vec::new(), Vec::new());
        for id in since {
            match self.entries.get(id) {
                Some(entry) => entries.extend(Some(entry).filter(is_of).cloned()),
                None => gone.push(Arc::clone(id)),
            }
        }
        Some(Update { cursor: told, whole: false, entries, gone })
    }

    /// Takes in what was told of the workers of `units`, and tells what has changed.
    pub fn update(&mut self, update: Update, units: &BTreeSet<PoolSlice>) -> Vec<Change> {
        let mut changes = Vec::new();
        if update.whole {
            let there = update.entries.iter().map(|entry| &*entry.id).collect();
            changes.extend(self.forget_all_but(&there));
            self.part = Part::Slices(units.clone());
        }
        changes.extend(update.gone.iter().filter_map(|id| self.forget(id)));
        changes.extend(update.entries.into_iter().filter_map(|entry| self.note(entry)));
        changes
    }

    fn forget_all_but(&mut self, there: &BTreeSet<&str>) -> Vec<Change> {
        let gone = self.entries.keys().filter(|id| !there.contains(&***id));
        let gone: Vec<_> = gone.cloned().collect();
        gone.iter().filter_map(|id| self.forget(id)).collect()
    }

    fn forget(&mut self, id: &str) -> Option<Change> {
        let entry = self.entries.remove(id)?;
        self.changes.gone(&entry.id, |id| self.entries.contains_key(id));
        Some(Change::gone(entry))
    }

    fn note(&mut self, entry: Entry) -> Option<Change> {
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
pub(crate) fn unit_of(map: &Map, pool: &Arc<str>, vm: &str) -> PoolSlice {
    PoolSlice { pool: Arc::clone(pool), slice: map.slice_of_vm(vm) }
}
