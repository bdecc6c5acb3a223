//! The platform's append-only log, the only thing that is kept.
//!
//! [`Log`] is the border; [`HttpLog`] is its one real implementation, over the contract of
//! `docs/PLATFORM.md`.

mod http;

use std::time::Duration;

use async_trait::async_trait;
use crosspath_state::record::Revision;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

pub use crate::http::{Append, Appended, HttpLog};

/// An append without an offset.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum AppendError {
    /// Nothing was appended.
    #[snafu(display("the log did not take the record"))]
    NotAppended,
    /// It may have been appended, or still be; only reading tells.
    #[snafu(display("the log did not say whether it took the record"))]
    Unknown,
}

/// A read without records.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum ReadError {
    /// The log gives no answer.
    #[snafu(display("the log gives no answer"))]
    Unavailable,
    /// The records asked for are no longer kept.
    #[snafu(display("the log keeps records only from {first}"))]
    Expired {
        /// The oldest that is kept.
        first: Revision,
    },
}

/// One record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Its offset, from 1.
    pub offset: Revision,
    /// Its content.
    pub data: String,
}

/// Some records in order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The records.
    pub records: Vec<Record>,
    /// Offset of the oldest record that is kept.
    pub first: Revision,
    /// Offset of the newest record; 0 when there never was one.
    pub last: Revision,
}

/// An append-only log with offsets.
#[async_trait]
pub trait Log: Send + Sync + std::fmt::Debug {
    /// Appends a record and gives its offset.
    ///
    /// # Errors
    ///
    /// [`AppendError`].
    async fn append(&self, data: String) -> Result<Revision, AppendError>;

    /// Reads records after an offset, waiting up to `wait` for the first.
    ///
    /// # Errors
    ///
    /// [`ReadError`].
    async fn read(&self, after: Revision, wait: Duration) -> Result<Page, ReadError>;
}
