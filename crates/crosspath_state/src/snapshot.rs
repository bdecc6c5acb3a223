//! Snapshots: the whole state, written to the log in chunks.
//!
//! Records expire. Before they do, a daemon writes its state to the log, split into chunks of
//! bounded size. Every daemon compares the digest with that of its own state at the same revision;
//! a new daemon starts from the newest snapshot of which it has every chunk.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};

use crate::record::{Revision, Writer};
use crate::state::State;

/// Largest part of the state's JSON form in one chunk, in bytes.
pub const CHUNK_BYTES: usize = 48 * 1024;

/// A chunk of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Daemon that wrote the snapshot.
    pub writer: Writer,
    /// Revision of the state in the snapshot.
    pub at: Revision,
    /// Digest of the whole state, as [`State::digest`] returns it.
    pub digest: String,
    /// Index of the chunk, from 0.
    pub index: u32,
    /// Number of chunks of the snapshot.
    pub total: u32,
    /// Part of the state's JSON form that this chunk carries.
    pub data: String,
}

/// A complete snapshot from which no state can be restored.
#[derive(Debug, Snafu)]
pub enum RestoreError {
    /// The state cannot be decoded.
    #[snafu(display("snapshot at revision {} is malformed", at.0))]
    Malformed {
        /// Revision of the snapshot.
        at: Revision,
        /// Error of the JSON decoder.
        source: serde_json::Error,
    },
    /// The digest of the restored state differs from the one in the chunks.
    #[snafu(display("snapshot at revision {} does not match its digest", at.0))]
    Digest {
        /// Revision of the snapshot.
        at: Revision,
    },
}

/// Splits a state into chunks.
///
/// # Panics
///
/// Never: the state can always be serialised to JSON.
#[must_use]
pub fn split(state: &State, writer: &Writer) -> Vec<Chunk> {
    let json = serde_json::to_string(state).expect("the state can be serialised to JSON");
    let parts = split_json(&json);
    let total = u32::try_from(parts.len()).unwrap_or(u32::MAX);
    let digest = state.digest();
    let chunk = |(index, data): (u32, &str)| Chunk {
        writer: writer.clone(),
        at: state.applied,
        digest: digest.clone(),
        index,
        total,
        data: data.to_owned(),
    };
    (0..total).zip(parts).map(chunk).collect()
}

fn split_json(mut json: &str) -> Vec<&str> {
    let mut parts = Vec::new();
    while !json.is_empty() {
        let (part, rest) = json.split_at(json.floor_char_boundary(CHUNK_BYTES));
        parts.push(part);
        json = rest;
    }
    parts
}

/// Assembles snapshots from chunks as they are read from the log.
#[derive(Debug, Default)]
pub struct Assembler {
    parts: BTreeMap<(Revision, Writer), BTreeMap<u32, Chunk>>,
}

impl Assembler {
    /// Adds a chunk; returns the state if it was the last chunk missing.
    ///
    /// # Errors
    ///
    /// [`RestoreError`] if all chunks are present but cannot be decoded or do not match the digest.
    pub fn add(&mut self, chunk: Chunk) -> Result<Option<State>, RestoreError> {
        let key = (chunk.at, chunk.writer.clone());
        let total = chunk.total;
        let parts = self.parts.entry(key.clone()).or_default();
        parts.insert(chunk.index, chunk);
        if parts.len() < total as usize {
            return Ok(None);
        }
        let parts = self.parts.remove(&key).unwrap_or_default();
        self.parts.retain(|(at, _), _| *at > key.0);
        restore(key.0, &parts).map(Some)
    }
}

fn restore(at: Revision, parts: &BTreeMap<u32, Chunk>) -> Result<State, RestoreError> {
    let json: String = parts.values().map(|chunk| chunk.data.as_str()).collect();
    let state: State = serde_json::from_str(&json).context(MalformedSnafu { at })?;
    let digest = parts.values().next().map(|chunk| chunk.digest.as_str());
    ensure!(digest == Some(state.digest().as_str()), DigestSnafu { at });
    Ok(state)
}
