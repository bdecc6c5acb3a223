//! Which entries of a list have changed since another daemon was last told of it.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Entries that are gone, of which it is remembered when they went; a daemon that was told of less has
/// the whole list told again.
const MAX_REMOVALS: usize = 4_096;

/// Changes of a list, numbered as they come; of each entry the last.
#[derive(Debug, Default)]
pub(crate) struct ChangeLog {
    last: u64,
    id_by_number: BTreeMap<u64, Arc<str>>,
    number_by_id: HashMap<Arc<str>, u64>,
    removals: usize,
    /// Changes up to this one may be forgotten.
    truncated_to: u64,
}

impl ChangeLog {
    /// Number of the last change.
    pub(crate) fn last(&self) -> u64 {
        self.last
    }

    /// An entry is new or has changed.
    pub(crate) fn record_update(&mut self, id: &Arc<str>) {
        self.append(id);
    }

    /// An entry is gone; `exists` tells which are not.
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

    /// Entries that have changed after a number; none when some of that may be forgotten.
    pub(crate) fn since(&self, number: u64) -> Option<impl Iterator<Item = &Arc<str>>> {
        (number >= self.truncated_to)
            .then(|| self.id_by_number.range(number + 1..).map(|(_, id)| id))
    }
}
