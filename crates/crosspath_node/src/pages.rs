//! Collects the newest record of each key of a partition, which the store returns in pages.
//!
//! After a failure, only the failed page is requested again. If a long list were read from the
//! start after each failure, a store that refuses some calls would never deliver it completely, and
//! the repeated reads would keep the store busy.

use crosspath_border::store::{NewestPage, Stored};

/// Pages that have been read so far.
#[derive(Debug, Default)]
pub struct Pages {
    records: Vec<Stored>,
    end: Option<u64>,
}

impl Pages {
    /// Key after which the next page starts; `None` for the first page.
    #[must_use]
    pub fn after(&self) -> Option<String> {
        self.records.last().map(|record| record.key.clone())
    }

    /// Adds a page. With the last one, returns all records and the offset from which to follow the
    /// partition, and starts over. The pages are not a consistent snapshot, so that offset is the
    /// partition's end at the time of the first page.
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
