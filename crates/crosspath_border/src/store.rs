//! The platform's log: topics of partitions, group membership, and what others keep there.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use snafu::Snafu;

use crate::operator::{Change, WaveState};
use crate::worker;

/// A topic that the daemon reads or writes. In each, the newest record of every key is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Topic {
    /// Jobs, a partition for each shard.
    Shards,
    /// Which pool has which shard.
    ShardMap,
    /// What operators write.
    Operators,
    /// What workers tell of themselves.
    Workers,
    /// What operators read of waves.
    WaveStatus,
}

/// One partition.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Partition {
    /// Its topic.
    pub topic: Topic,
    /// Its number.
    pub number: u32,
}

impl fmt::Display for Partition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}/{}", self.topic, self.number)
    }
}

/// A record to append; an empty value drops the key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NewRecord {
    /// Its key, at most 255 bytes.
    pub key: String,
    /// Its value.
    pub value: Bytes,
}

/// A record that was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stored {
    /// Its offset in the partition.
    pub offset: u64,
    /// Its key.
    pub key: String,
    /// Its value; empty when the key was dropped.
    pub value: Bytes,
}

/// Condition of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precondition {
    /// None.
    Unconditional,
    /// The partition ends at this offset.
    EndOffset(u64),
    /// No owner with a higher epoch has appended.
    Owner {
        /// Epoch of the owner.
        epoch: u64,
        /// Number of the append in this epoch; the same number again gets the first answer again.
        sequence: u64,
    },
}

/// Where records were appended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Appended {
    /// Offset of the first.
    pub offset: u64,
    /// Offset after the last.
    pub end: u64,
}

/// A call of the store that did not do what was asked.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// Nothing was done: the store refuses for now.
    #[snafu(display("the store refuses for now ({status})"))]
    Refused {
        /// The status.
        status: u16,
    },
    /// Nothing was done: it was not reached.
    #[snafu(display("the store was not reached"))]
    NotReached,
    /// No answer came; the call may have been done, or may yet be.
    #[snafu(display("the store gives no answer"))]
    NoAnswer,
    /// The answer has another form, or a status that the call does not have.
    #[snafu(display("the store's answer cannot be used: {detail}"))]
    Malformed {
        /// What is wrong.
        detail: String,
    },
    /// An owner with a higher epoch has appended.
    #[snafu(display("an owner with epoch {epoch} has appended"))]
    Fenced {
        /// The highest epoch.
        epoch: u64,
    },
    /// The append's number is not the next one.
    #[snafu(display("append number is not the next one, {expected}"))]
    Sequence {
        /// The next one.
        expected: u64,
    },
    /// The partition does not end where the append wanted it.
    #[snafu(display("the partition ends at {end}"))]
    EndMismatch {
        /// Where it ends.
        end: u64,
    },
    /// Records that were asked for are gone.
    #[snafu(display("records before {first} are gone"))]
    Truncated {
        /// The first that is kept.
        first: u64,
    },
    /// The group does not know the member in this generation.
    #[snafu(display("the group does not know this member any more"))]
    NotMember,
}

impl Error {
    /// Whether the call surely had no effect and never will.
    #[must_use]
    pub fn had_no_effect(&self) -> bool {
        !matches!(self, Self::NoAnswer | Self::Malformed { .. })
    }
}

/// Records from one read.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Page {
    /// The records, in order.
    pub records: Vec<Stored>,
    /// Offset after the last of the partition.
    pub end: u64,
}

/// Newest records by key, in order of keys.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct NewestPage {
    /// The records.
    pub records: Vec<Stored>,
    /// Whether more follow after the last key.
    pub more: bool,
    /// Where the partition ended.
    pub end: u64,
}

/// What a daemon tells of itself when it joins.
#[derive(Debug, Clone)]
pub struct Join {
    /// Text that names the daemon, unique to its life.
    pub member: Arc<str>,
    /// Silence after which the group forgets it.
    pub ttl: Duration,
    /// The generation last heard; 0 at first.
    pub generation: u64,
}

/// Membership as the group sees it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Membership {
    /// Rises with each change.
    pub generation: u64,
    /// Shards dealt to this member.
    pub shards: Vec<u32>,
}

/// Who holds a shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// The shard.
    pub shard: u32,
    /// Its member.
    pub member: Arc<str>,
}

/// The platform's log.
#[async_trait]
pub trait Store: Send + Sync + fmt::Debug {
    /// Appends records, all or none.
    ///
    /// # Errors
    ///
    /// [`Error`]; [`Error::had_no_effect`] tells whether the append may still take place.
    async fn append(
        &self,
        partition: Partition,
        records: &[NewRecord],
        precondition: Precondition,
    ) -> Result<Appended, Error>;

    /// Reads records from an offset on, waiting for the first at most `wait`.
    ///
    /// # Errors
    ///
    /// [`Error`].
    async fn read(&self, partition: Partition, from: u64, wait: Duration) -> Result<Page, Error>;

    /// Reads the newest record of each key after `after`; a page is not a snapshot.
    ///
    /// # Errors
    ///
    /// [`Error`].
    async fn newest(&self, partition: Partition, after: Option<&str>) -> Result<NewestPage, Error>;

    /// Joins the group of owners, or stays in it.
    ///
    /// # Errors
    ///
    /// [`Error`].
    async fn join(&self, join: &Join) -> Result<Membership, Error>;

    /// Leaves the group, or has a dead member leave it.
    ///
    /// # Errors
    ///
    /// [`Error`].
    async fn leave(&self, member: &str) -> Result<(), Error>;

    /// Who holds which shard.
    ///
    /// # Errors
    ///
    /// [`Error`].
    async fn holders(&self) -> Result<Vec<Holder>, Error>;

    /// Reads a record of [`Topic::Operators`].
    ///
    /// # Errors
    ///
    /// [`DecodeError`].
    fn decode_change(&self, record: &Stored) -> Result<Change, DecodeError>;

    /// Reads a record of [`Topic::Workers`].
    ///
    /// # Errors
    ///
    /// [`DecodeError`].
    fn decode_worker(&self, record: &Stored) -> Result<worker::Entry, DecodeError>;

    /// The record of [`Topic::WaveStatus`] that tells how far a wave is.
    fn encode_wave_status(&self, wave: u64, state: WaveState) -> NewRecord;

    /// Reads a record of [`Topic::WaveStatus`].
    ///
    /// # Errors
    ///
    /// [`DecodeError`].
    fn decode_wave_status(&self, record: &Stored) -> Result<(u64, WaveState), DecodeError>;
}

/// A record of others that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("record {key} at {offset} cannot be decoded: {detail}"))]
pub struct DecodeError {
    /// Its key.
    pub key: String,
    /// Its offset.
    pub offset: u64,
    /// What is wrong.
    pub detail: String,
}
