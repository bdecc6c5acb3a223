//! The platform's append-only log, the only durable storage of the system.
//!
//! [`Log`] is the interface; [`HttpLog`] is its production implementation, after the contract in
//! `docs/PLATFORM.md`.

mod http;

use std::time::Duration;

use async_trait::async_trait;
use crosspath_state::record::Revision;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

pub use crate::http::{Append, Appended, HttpLog};

/// Why an append returned no offset.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum AppendError {
    /// Nothing was appended.
    #[snafu(display("the log did not append the record"))]
    NotAppended,
    /// The record may have been appended, or may still be; only reading the log shows it.
    #[snafu(display("the log did not confirm whether it appended the record"))]
    Unknown,
}

/// Why a read returned no page.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum ReadError {
    /// The call failed, or the log did not respond in time.
    #[snafu(display("the log is unavailable"))]
    Unavailable,
    /// The log has already deleted the first of the requested records.
    #[snafu(display("the log retains records only from offset {first}"))]
    Expired {
        /// Offset of the oldest retained record.
        first: Revision,
    },
}

/// A record of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Offset in the log; the first record has 1.
    pub offset: Revision,
    /// Content, which the log does not interpret.
    pub data: String,
}

/// Consecutive records of the log, and the range that it retains.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Records in the order of their offsets; empty if none arrived in time.
    pub records: Vec<Record>,
    /// Offset of the oldest retained record.
    pub first: Revision,
    /// Offset of the newest record; 0 if nothing was ever appended.
    pub last: Revision,
}

/// An append-only log that numbers its records.
#[async_trait]
pub trait Log: Send + Sync + std::fmt::Debug {
    /// Appends a record and returns its offset.
    ///
    /// # Errors
    ///
    /// [`AppendError`] states whether the record may have been appended all the same.
    async fn append(&self, data: String) -> Result<Revision, AppendError>;

    /// Reads records after an offset, waiting up to `wait` for the first one.
    ///
    /// # Errors
    ///
    /// [`ReadError::Expired`] if the record after `after` is no longer retained,
    /// [`ReadError::Unavailable`] if the log cannot be read.
    async fn read(&self, after: Revision, wait: Duration) -> Result<Page, ReadError>;
}
