//! The platform's log store: partitioned topics, group membership, and the records that other
//! components write there.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use crosspath_job::record::Record;
use snafu::Snafu;

use crate::operator::{Change, WaveState};
use crate::worker;

/// Topic that the daemon reads or writes. Topics are compacted: the newest record of each key is
/// retained.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Topic {
    /// Records of jobs; one partition per shard.
    Shards,
    /// Assignment of shards to slices of pools.
    ShardMap,
    /// Records written by operators.
    Operators,
    /// The worker list: one entry per worker, written by the worker itself.
    Workers,
    /// Wave states that operators read.
    WaveStatus,
    /// Progress of evacuations, by data centre.
    Evacuations,
}

/// Partition of a topic. Offsets are counted per partition.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Partition {
    /// Topic that the partition belongs to.
    pub topic: Topic,
    /// Number of the partition within the topic; for [`Topic::Shards`], the number of the shard.
    pub number: u32,
}

impl fmt::Display for Partition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}/{}", self.topic, self.number)
    }
}

/// Record to append. An empty value deletes the key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NewRecord {
    /// Key of at most 255 bytes.
    pub key: String,
    /// Value to store; empty deletes the key.
    pub value: Bytes,
}

impl NewRecord {
    /// Size in bytes that counts against the limit on records: the key with its length, and the
    /// value.
    #[must_use]
    pub fn size(&self) -> usize {
        1 + self.key.len() + self.value.len()
    }
}

impl AsRef<Self> for NewRecord {
    fn as_ref(&self) -> &Self {
        self
    }
}

impl From<&Record> for NewRecord {
    fn from(record: &Record) -> Self {
        Self { key: record.key(), value: record.value().into() }
    }
}

/// Largest appends that the store accepts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a record in bytes, see [`NewRecord::size`].
    pub record_bytes: usize,
    /// Maximum size of all records of an append in bytes, the length of each included.
    pub append_bytes: usize,
}

impl Default for Limits {
    /// Limits of all known deployments.
    fn default() -> Self {
        Self { record_bytes: 256 * 1024, append_bytes: 2 * 1024 * 1024 }
    }
}

impl Limits {
    /// Size in bytes of a record's length in an append.
    const LENGTH_BYTES: usize = 4;

    /// Divides records, in their order, into as few appends as the limit on their size allows. A
    /// record that is larger than that is left alone in one, which the store will reject.
    #[must_use]
    pub fn appends<T: AsRef<NewRecord>>(self, records: &[T]) -> Vec<&[T]> {
        let mut appends = Vec::new();
        let mut first = 0;
        let mut bytes = 0;
        for (at, record) in records.iter().enumerate() {
            let size = Self::LENGTH_BYTES + record.as_ref().size();
            if at > first && bytes + size > self.append_bytes {
                appends.push(&records[first..at]);
                (first, bytes) = (at, 0);
            }
            bytes += size;
        }
        if first < records.len() {
            appends.push(&records[first..]);
        }
        appends
    }
}

/// Record read from a partition.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stored {
    /// Offset of the record in its partition.
    pub offset: u64,
    /// Key of the record; a later record with the same key replaces this one.
    pub key: String,
    /// Value of the record; empty if the key was deleted.
    pub value: Bytes,
}

/// Precondition of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precondition {
    /// The append always takes place.
    Unconditional,
    /// The partition must end at this offset.
    EndOffset(u64),
    /// No owner with a higher epoch may have appended.
    Owner {
        /// Epoch of the appending owner.
        epoch: u64,
        /// Sequence number of the append within the epoch. A repeated number returns the result of
        /// the first append.
        sequence: u64,
    },
}

/// Position of appended records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Appended {
    /// Offset of the first record.
    pub offset: u64,
    /// Offset after the last record.
    pub end: u64,
}

/// Failed call to the store.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The store rejected the call for the moment; it had no effect.
    #[snafu(display("store rejected the call with status {status}"))]
    Refused {
        /// HTTP status of the answer.
        status: u16,
    },
    /// The store could not be reached; the call had no effect.
    #[snafu(display("store could not be reached"))]
    NotReached,
    /// No answer came. The call may have taken effect or may still do so.
    #[snafu(display("store did not answer"))]
    NoAnswer,
    /// The answer cannot be decoded, or has a status that is not defined for the call.
    #[snafu(display("store gave an invalid answer: {detail}"))]
    Malformed {
        /// What is wrong with the answer.
        detail: String,
    },
    /// An owner with a higher epoch has appended.
    #[snafu(display("fenced off by an owner with epoch {epoch}"))]
    Fenced {
        /// Highest epoch that has appended.
        epoch: u64,
    },
    /// The sequence number of the append is not the next one.
    #[snafu(display("append sequence number out of order; expected {expected}"))]
    Sequence {
        /// Sequence number that the store expects next from this owner.
        expected: u64,
    },
    /// The partition does not end at the offset that the append required.
    #[snafu(display("append precondition failed: partition ends at offset {end}"))]
    EndMismatch {
        /// Offset at which the partition ends.
        end: u64,
    },
    /// The requested records are no longer retained.
    #[snafu(display("records before offset {first} are no longer retained"))]
    Truncated {
        /// Offset of the first record that is retained.
        first: u64,
    },
    /// The group does not know the member in this generation.
    #[snafu(display("no longer a member of the group in this generation"))]
    NotMember,
}

impl Error {
    /// Whether the call certainly had no effect and will have none later.
    #[must_use]
    pub fn had_no_effect(&self) -> bool {
        !matches!(self, Self::NoAnswer | Self::Malformed { .. })
    }
}

/// Records returned by one read.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Page {
    /// Records in order of their offsets; empty if none arrived within the wait.
    pub records: Vec<Stored>,
    /// Offset after the last record of the partition.
    pub end: u64,
}

/// Newest record of each key, in order of the keys.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct NewestPage {
    /// Records in order of their keys.
    pub records: Vec<Stored>,
    /// Whether there are further records after the last key of this page.
    pub more: bool,
    /// Offset at which the partition ended when the page was read.
    pub end: u64,
}

/// Request to join the group, or to remain in it.
#[derive(Debug, Clone)]
pub struct Join {
    /// Name of the member; unique to the daemon's current incarnation.
    pub member: Arc<str>,
    /// Time without a request after which the group removes the member.
    pub ttl: Duration,
    /// Generation last received; 0 at first.
    pub generation: u64,
}

/// Group membership as seen by one member.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Membership {
    /// Generation of the group; increases with each change.
    pub generation: u64,
    /// Shards assigned to this member.
    pub shards: Vec<u32>,
}

/// Assignment of a shard to a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// Number of the assigned shard.
    pub shard: u32,
    /// Name under which the member joined, as [`Join::member`].
    pub member: Arc<str>,
}

/// Client of the platform's log store.
#[async_trait]
pub trait Store: Send + Sync + fmt::Debug {
    /// Largest appends that the store accepts.
    fn limits(&self) -> Limits;

    /// Appends all records atomically.
    ///
    /// # Errors
    ///
    /// [`Error`] if the append failed or its result is unknown; [`Error::had_no_effect`] tells
    /// whether it may still take place.
    async fn append(
        &self,
        partition: Partition,
        records: &[NewRecord],
        precondition: Precondition,
    ) -> Result<Appended, Error>;

    /// Reads records starting at offset `from`; waits at most `wait` for the first one.
    ///
    /// # Errors
    ///
    /// [`Error`] if the store gives no usable answer, or the records are no longer retained.
    async fn read(&self, partition: Partition, from: u64, wait: Duration) -> Result<Page, Error>;

    /// Reads the newest record of each key after `after`. Successive pages are not a consistent
    /// snapshot.
    ///
    /// # Errors
    ///
    /// [`Error`] if the store gives no usable answer.
    async fn newest(&self, partition: Partition, after: Option<&str>) -> Result<NewestPage, Error>;

    /// Joins the group of shard owners, or renews the membership.
    ///
    /// # Errors
    ///
    /// [`Error`] if the store gives no usable answer, or no longer knows the member.
    async fn join(&self, join: &Join) -> Result<Membership, Error>;

    /// Removes a member from the group: this daemon, or one that has died.
    ///
    /// # Errors
    ///
    /// [`Error`] if the store gives no usable answer.
    async fn leave(&self, member: &str) -> Result<(), Error>;

    /// Lists the assignment of shards to members.
    ///
    /// # Errors
    ///
    /// [`Error`] if the store gives no usable answer.
    async fn holders(&self) -> Result<Vec<Holder>, Error>;

    /// Decodes a record of [`Topic::Operators`].
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if the record is of a known kind and its key or value is invalid.
    fn decode_change(&self, record: &Stored) -> Result<Change, DecodeError>;

    /// Decodes a record of [`Topic::Workers`].
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if the value is invalid.
    fn decode_worker(&self, record: &Stored) -> Result<worker::Entry, DecodeError>;

    /// Encodes the state of a wave as a record of [`Topic::WaveStatus`].
    fn encode_wave_status(&self, wave: u64, state: WaveState) -> NewRecord;

    /// Decodes a record of [`Topic::WaveStatus`].
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if the key or the value is invalid.
    fn decode_wave_status(&self, record: &Stored) -> Result<(u64, WaveState), DecodeError>;
}

/// Record of another component that cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("record {key} at offset {offset} cannot be decoded: {detail}"))]
pub struct DecodeError {
    /// Key of the invalid record.
    pub key: String,
    /// Offset of the record in its partition.
    pub offset: u64,
    /// What is wrong with the record.
    pub detail: String,
}
