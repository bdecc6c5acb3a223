//! The worker list as last read.
//!
//! Anyone may have written an entry. One that cannot be read names no worker to use, also where the same key named
//! one before; that worker's own next entry brings it back. The other entries hold.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crosspath_border::store::{DecodeError, Stored};
use crosspath_border::worker::Entry;
use crosspath_schedule::Event;

/// The worker list as last read.
#[derive(Debug, Default)]
pub struct Directory {
    pub(crate) entries: BTreeMap<Arc<str>, Entry>,
    /// Whether it was read to its end at least once.
    pub(crate) loaded: bool,
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
        Self { pool: entry.pool, vm: entry.vm, event: Event::WorkerGone(entry.id) }
    }
}

impl Directory {
    /// Takes in records of the list, `whole` if they are all there are, and tells what has changed.
    pub fn take(
        &mut self,
        records: &[Stored],
        whole: bool,
        read: impl Fn(&Stored) -> Result<Entry, DecodeError>,
    ) -> Vec<Change> {
        let mut changes = if whole { self.forget_all_but(records) } else { Vec::new() };
        self.loaded |= whole;
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

    fn forget_all_but(&mut self, records: &[Stored]) -> Vec<Change> {
        let there: BTreeSet<&str> = records.iter().map(|record| record.key.as_str()).collect();
        let gone = self.entries.keys().filter(|id| !there.contains(&***id));
        let gone: Vec<_> = gone.cloned().collect();
        gone.iter().filter_map(|id| self.forget(id)).collect()
    }

    fn forget(&mut self, id: &str) -> Option<Change> {
        self.entries.remove(id).map(Change::gone)
    }

    fn note(&mut self, entry: Entry) -> Option<Change> {
        let known = self.entries.insert(Arc::clone(&entry.id), entry.clone());
        if known.is_some_and(|known| known.says_same(&entry)) {
            return None;
        }
        let (pool, vm) = (Arc::clone(&entry.pool), Arc::clone(&entry.vm));
        Some(Change { pool, vm, event: Event::WorkerSeen(entry) })
    }
}
