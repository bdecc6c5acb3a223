//! Numbered changes of a list, from which incremental updates for other daemons are made.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Maximum number of removals that are remembered. A daemon whose last update is older receives the
/// whole list again.
const MAX_REMOVALS: usize = 4_096;

/// Changes of a list, numbered in their order. Only the last change of each entry is kept.
#[derive(Debug, Default)]
pub(crate) struct ChangeLog {
    last: u64,
    id_by_number: BTreeMap<u64, Arc<str>>,
    number_by_id: HashMap<Arc<str>, u64>,
    removals: usize,
    /// Number up to which changes may have been discarded.
    truncated_to: u64,
}

impl ChangeLog {
    /// Number of the last change; 0 before the first.
    pub(crate) fn last(&self) -> u64 {
        self.last
    }

    /// Records that an entry was added or modified.
    pub(crate) fn record_update(&mut self, id: &Arc<str>) {
        self.append(id);
    }

    /// Records that an entry was removed; `exists` says which entries are still in the list.
    pub(crate) fn record_removal(&mut self, id: &Arc<str>, exists: impl Fn(&str) -> bool) {
        self.append(id);
        self.removals += 1;
        if self.removals > MAX_REMOVALS {
            self.id_by_number.retain(|_, id| exists(id));
            self.number_by_id.retain(|id, _| exists(id));
            self.removals = 0;
            self.truncated_to = self.last;
        }
    }

    fn append(&mut self, id: &Arc<str>) {
        self.last += 1;
        if let Some(previous) = self.number_by_id.insert(Arc::clone(id), self.last) {
            self.id_by_number.remove(&previous);
        }
        self.id_by_number.insert(self.last, Arc::clone(id));
    }

    /// Identifiers of the entries that changed after change `number`; `None` if some of these
    /// changes may have been discarded.
    pub(crate) fn since(&self, number: u64) -> Option<impl Iterator<Item = &Arc<str>>> {
        (number >= self.truncated_to)
            .then(|| self.id_by_number.range(number + 1..).map(|(_, id)| id))
    }
}
