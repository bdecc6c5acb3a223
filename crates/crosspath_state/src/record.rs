//! What is written to the log, and its encoding.
//!
//! A daemon groups its changes into a [`Batch`], one append each. The id of a batch is its writer,
//! the writer's incarnation and a sequence number: the fold drops a second copy, so a batch whose
//! append was not answered is simply appended again under the same id. The encoding is JSON with a
//! version; a daemon that meets a newer version must stop deciding, not skip the record.

use std::fmt;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};

use crate::name::{DaemonName, JobName, VmName, WaveName};
use crate::resource::{Id, Spec};
use crate::snapshot::Chunk;
use crate::time::Wall;
use crate::wave;

/// Newest encoding that this program reads and the one that it writes.
pub const VERSION: u32 = 1;

/// Offset of a record in the log; 0 is before the first.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    JsonSchema,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl Revision {
    /// The offset after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// One life of a daemon: higher for each process that takes the same name.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    JsonSchema,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// A daemon in one of its lives.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
pub struct Writer {
    /// Its name.
    pub daemon: DaemonName,
    /// Its life.
    pub incarnation: Incarnation,
}

impl fmt::Display for Writer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.daemon, self.incarnation.0)
    }
}

/// Id of one batch.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
pub struct BatchId {
    /// Who wrote it.
    pub writer: Writer,
    /// Its number among the writer's batches, from 1.
    pub sequence: u64,
}

/// Changes that one daemon appended together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Its id.
    pub id: BatchId,
    /// The revision that the writer had applied when it decided.
    pub decided_on: Revision,
    /// When it was written, by the writer's clock.
    pub written_at: Wall,
    /// The changes, in order.
    pub changes: Vec<Change>,
}

/// One change of the state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum Change {
    /// Declares a resource, or declares it anew.
    Put {
        /// Which.
        id: Id,
        /// As declared.
        spec: Box<Spec>,
        /// The revision it must still have; none for "whatever it is".
        expected: Option<Expected>,
    },
    /// Removes a resource.
    Delete {
        /// Which.
        id: Id,
        /// The revision it must still have; none for "whatever it is".
        expected: Option<Expected>,
    },
    /// Moves a VM on in its maintenance.
    Step {
        /// Which VM.
        vm: VmName,
        /// Where to.
        step: Step,
    },
    /// Reports a VM as failed.
    Failure {
        /// Which VM.
        vm: VmName,
        /// When it was seen, by the observer's clock.
        seen_at: Wall,
    },
    /// Reports a failed VM as back.
    Recovery {
        /// Which VM.
        vm: VmName,
    },
    /// Pauses, resumes or cancels a wave.
    Steer {
        /// Which wave.
        wave: WaveName,
        /// What it should do.
        phase: wave::Phase,
    },
    /// Moves a job on.
    Job {
        /// Which job.
        job: JobName,
        /// What happens to it.
        action: JobAction,
    },
    /// Moves the writer, or a peer, in or out of the daemons.
    Member(Membership),
}

/// What a writer knew of a resource.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Expected {
    /// That it does not exist.
    Absent,
    /// That it is at this revision.
    At(Revision),
}

/// A step of a VM's maintenance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// Serving to draining.
    Drain {
        /// For this wave.
        wave: WaveName,
    },
    /// Draining back to serving, not serviced.
    Undrain,
    /// Draining to rebooting.
    Reboot,
    /// Rebooting to serving, serviced.
    Return,
}

/// Something that happens to a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobAction {
    /// Starts on a VM, or moves there.
    Place {
        /// Which VM.
        vm: VmName,
    },
    /// Is checkpointed and keeps its place.
    Suspend,
    /// Goes on where it was checkpointed.
    Resume,
    /// Loses its place.
    Unplace,
}

/// A change among the daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Membership {
    /// The writer joins.
    Join,
    /// The writer names the peer that may evict it.
    Guard {
        /// The peer.
        guard: DaemonName,
    },
    /// The writer, its guard, removes a peer and takes over its partitions.
    Evict {
        /// The peer, in the life that is removed.
        member: Writer,
    },
    /// The writer hands partitions over, whose claims it has already sent.
    Handover {
        /// Which partitions.
        partitions: Vec<u16>,
        /// To whom, in the life that got the claims.
        to: Writer,
    },
    /// The writer leaves; partitions that it still owns go to its guard.
    Leave,
}

/// What one offset of the log holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "entry", rename_all = "snake_case")]
pub enum Entry {
    /// Changes.
    Batch(Batch),
    /// A part of a snapshot.
    Snapshot(Chunk),
}

#[derive(Serialize, Deserialize)]
struct Envelope<E> {
    version: u32,
    #[serde(flatten)]
    entry: E,
}

#[derive(Deserialize)]
struct Header {
    version: u32,
}

/// A record that this program cannot read.
#[derive(Debug, Snafu)]
pub enum DecodeError {
    /// The record has a newer version.
    #[snafu(display("record has version {version}, newer than {VERSION}; upgrade this daemon"))]
    Newer {
        /// Its version.
        version: u32,
    },
    /// The record is malformed.
    #[snafu(display("record is malformed"))]
    Malformed {
        /// What the decoder says.
        source: serde_json::Error,
    },
}

impl Entry {
    /// The entry as it stands in the log.
    ///
    /// # Panics
    ///
    /// Never: every entry has a JSON form.
    #[must_use]
    pub fn encode(&self) -> String {
        serde_json::to_string(&Envelope { version: VERSION, entry: self })
            .expect("entries have a JSON form")
    }

    /// Reads an entry as it stands in the log.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] when the record is newer than this program or malformed.
    pub fn decode(text: &str) -> Result<Self, DecodeError> {
        let header: Header = serde_json::from_str(text).context(MalformedSnafu)?;
        ensure!(header.version <= VERSION, NewerSnafu { version: header.version });
        let envelope: Envelope<Self> = serde_json::from_str(text).context(MalformedSnafu)?;
        Ok(envelope.entry)
    }
}
