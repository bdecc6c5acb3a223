//! The newest record of each key of a partition, read page by page.
//!
//! A page that fails is asked for again, and no other: a long list that began anew after each failure would
//! never be read to its end from a store that refuses some of its calls, and its pages would keep the store busy.

use crosspath_border::store::{NewestPage, Stored};

/// The pages that were read so far.
#[derive(Debug, Default)]
pub struct Pages {
    records: Vec<Stored>,
    end: Option<u64>,
}

impl Pages {
    /// Key after which the next page begins; none before the first.
    #[must_use]
    pub fn after(&self) -> Option<String> {
        self.records.last().map(|record| record.key.clone())
    }

    /// Takes in a page. After the last one: all records, and the offset from which to follow. Pages are not one
    /// snapshot, so that is where the partition ended at the first of them.
    pub fn add(&mut self, page: NewestPage) -> Option<(Vec<Stored>, u64)> {
        let end = *self.end.get_or_insert(page.end);
        let has_more = page.more && !page.records.is_empty();
        self.records.extend(page.records);
        if has_more {
            return None;
        }
        Some((std::mem::take(self).records, end))
    }
}
