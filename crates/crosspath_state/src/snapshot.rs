//! Snapshots: the whole state, written into the log in chunks.
//!
//! Records expire. Before they do, a daemon writes the state it has folded, cut into chunks of
//! bounded size. Every daemon compares the digest with that of its own state at the same revision;
//! a fresh daemon starts from the newest snapshot of which it has every chunk.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};

use crate::record::{Revision, Writer};
use crate::state::State;

/// Bytes of state in one chunk.
pub const CHUNK_BYTES: usize = 48 * 1024;

/// A part of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Who wrote it.
    pub writer: Writer,
    /// Revision of the state.
    pub at: Revision,
    /// Digest of the state.
    pub digest: String,
    /// Its place, from 0.
    pub index: u32,
    /// How many chunks there are.
    pub total: u32,
    /// Its part of the state's JSON form.
    pub data: String,
}

/// A snapshot that does not hold what it says.
#[derive(Debug, Snafu)]
pub enum RestoreError {
    /// The state is malformed.
    #[snafu(display("snapshot at revision {} is malformed", at.0))]
    Malformed {
        /// Its revision.
        at: Revision,
        /// What the decoder says.
        source: serde_json::Error,
    },
    /// The state has another digest.
    #[snafu(display("snapshot at revision {} has another digest than it says", at.0))]
    Digest {
        /// Its revision.
        at: Revision,
    },
}

/// Cuts a state into chunks.
///
/// # Panics
///
/// Never: the state has a JSON form.
#[must_use]
pub fn split(state: &State, writer: &Writer) -> Vec<Chunk> {
    let json = serde_json::to_string(state).expect("the state has a JSON form");
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

/// Puts chunks together as they are read.
#[derive(Debug, Default)]
pub struct Assembler {
    parts: BTreeMap<(Revision, Writer), BTreeMap<u32, Chunk>>,
}

impl Assembler {
    /// Adds a chunk; gives the state when it was the last one missing.
    ///
    /// # Errors
    ///
    /// [`RestoreError`] when the chunks are whole but do not hold what they say.
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
