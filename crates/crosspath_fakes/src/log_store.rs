//! In-memory log with a retention limit and fault injection.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use crosspath_log::{Page, Record};
use crosspath_state::record::Revision;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::fault::LogFault;

const MAX_PAGE_RECORDS: usize = 500;
/// Delay of an answer that is to be lost; longer than any client waits.
const UNANSWERED_DELAY: Duration = Duration::from_secs(3600);

/// Log that drops the oldest records beyond its retention limit.
#[derive(Debug)]
pub(crate) struct LogStore {
    records: Mutex<VecDeque<Record>>,
    last: watch::Sender<Revision>,
    fault: Mutex<LogFault>,
    latency: Duration,
    retention: usize,
}

impl LogStore {
    pub(crate) fn new(latency: Duration, retention: usize) -> Self {
        Self {
            records: Mutex::default(),
            last: watch::Sender::default(),
            fault: Mutex::default(),
            latency,
            retention,
        }
    }

    pub(crate) fn set_fault(&self, fault: LogFault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
        // Wakes waiting readers so that they check the fault.
        self.last.send_modify(|_| ());
    }

    fn fault(&self) -> LogFault {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take_lost_answer(&self) -> bool {
        let mut fault = self.fault.lock().unwrap_or_else(PoisonError::into_inner);
        let loses = fault.lose_answers > 0;
        fault.lose_answers -= u32::from(loses);
        loses
    }

    /// Appends a record and returns its offset. `None` means that the log is down and that nothing
    /// was appended.
    pub(crate) async fn append(&self, data: String) -> Option<Revision> {
        let slow = Duration::from_millis(self.fault().slow_ms);
        tokio::time::sleep(self.latency + slow).await;
        if self.fault().down {
            return None;
        }
        let offset = self.push(data);
        if self.take_lost_answer() {
            tokio::time::sleep(UNANSWERED_DELAY).await;
        }
        Some(offset)
    }

    fn push(&self, data: String) -> Revision {
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        let offset = self.last.borrow().next();
        records.push_back(Record { offset, data });
        if records.len() > self.retention {
            records.pop_front();
        }
        self.last.send_replace(offset);
        offset
    }

    /// Reads the records after `after`, waiting at most `wait` for the first. `None` means that the
    /// log is down.
    pub(crate) async fn read(&self, after: Revision, wait: Duration) -> Option<Page> {
        let mut last = self.last.subscribe();
        let until = Instant::now() + wait;
        tokio::time::sleep(Duration::from_millis(self.fault().slow_ms)).await;
        let available = last.wait_for(|last| *last > after || self.fault().down);
        let _ = tokio::time::timeout_at(until, available).await;
        if self.fault().down {
            return None;
        }
        Some(self.page(after))
    }

    fn page(&self, after: Revision) -> Page {
        let records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        let last = *self.last.borrow();
        let first = records.front().map_or(last.next(), |record| record.offset);
        let skip = after.next().0.saturating_sub(first.0);
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        let records = records.iter().skip(skip).take(MAX_PAGE_RECORDS).cloned().collect();
        Page { records, first, last }
    }
}
