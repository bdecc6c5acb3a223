//! Records of the log and their encoding.
//!
//! A daemon groups its changes into a [`Batch`], one append each. The id of a batch is its writer,
//! the writer's incarnation and a sequence number. Duplicates are ignored when records are applied,
//! so a batch whose append was not confirmed is simply appended again under the same id. The
//! encoding is JSON with a version; a daemon that reads a newer version must stop deciding, not
//! skip the record.

use std::fmt;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};

use crate::name::{DaemonName, JobName, VmName, WaveName};
use crate::resource::{Id, Spec};
use crate::snapshot::Chunk;
use crate::time::Wall;
use crate::wave;

/// Version of the encoding that this program writes, and the newest that it reads.
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

/// Incarnation of a daemon: higher for each process that takes the same name.
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

/// A daemon in one of its incarnations.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
pub struct Writer {
    /// Name of the daemon.
    pub daemon: DaemonName,
    /// Incarnation of the daemon.
    pub incarnation: Incarnation,
}

impl fmt::Display for Writer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.daemon, self.incarnation.0)
    }
}

/// Identifier of a batch.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
pub struct BatchId {
    /// Daemon that wrote the batch.
    pub writer: Writer,
    /// Its number among the writer's batches, from 1.
    pub sequence: u64,
}

/// Changes that one daemon appended together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Identifier by which duplicates are recognised.
    pub id: BatchId,
    /// The revision that the writer had applied when it decided.
    pub decided_on: Revision,
    /// When it was written, by the writer's clock.
    pub written_at: Wall,
    /// Changes, applied in this order.
    pub changes: Vec<Change>,
}

/// One change of the state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum Change {
    /// Declares a resource, or declares it anew.
    Put {
        /// Kind and name of the resource.
        id: Id,
        /// Specification as the operator declared it.
        spec: Box<Spec>,
        /// State that the resource must still be in; `None` for any.
        expected: Option<Expected>,
    },
    /// Removes a resource.
    Delete {
        /// Kind and name of the resource.
        id: Id,
        /// State that the resource must still be in; `None` for any.
        expected: Option<Expected>,
    },
    /// Moves a VM to the next phase of its maintenance.
    Step {
        /// Name of the VM.
        vm: VmName,
        /// Maintenance step to take.
        step: Step,
    },
    /// Reports a VM as failed.
    Failure {
        /// Name of the VM.
        vm: VmName,
        /// When the failure was observed, by the observer's clock.
        seen_at: Wall,
    },
    /// Reports a failed VM as recovered.
    Recovery {
        /// Name of the VM.
        vm: VmName,
    },
    /// Pauses, resumes or cancels a wave.
    Steer {
        /// Name of the wave.
        wave: WaveName,
        /// Phase that the wave is set to.
        phase: wave::Phase,
    },
    /// Places, suspends, resumes or unplaces a job.
    Job {
        /// Name of the job.
        job: JobName,
        /// Action on the job.
        action: JobAction,
    },
    /// Changes the membership of the writer or of a peer, or the owners of partitions.
    Member(Membership),
}

/// State in which a writer expects a resource to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Expected {
    /// The resource does not exist.
    Absent,
    /// The resource is at this revision.
    At(Revision),
}

/// A step of a VM's maintenance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// Serving to draining.
    Drain {
        /// Wave that the VM is drained for.
        wave: WaveName,
    },
    /// Draining back to serving, not serviced.
    Undrain,
    /// Draining to rebooting.
    Reboot,
    /// Rebooting to serving, serviced.
    Return,
}

/// An action on a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobAction {
    /// Starts the job on a VM, or moves it there.
    Place {
        /// Name of the VM.
        vm: VmName,
    },
    /// Checkpoints the job; it keeps its resources on the VM.
    Suspend,
    /// Continues the job from its checkpoint, on the same VM.
    Resume,
    /// Takes the job off its VM; it is pending again.
    Unplace,
}

/// A change of the membership or of the owners of partitions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Membership {
    /// The writer joins.
    Join,
    /// The writer names the peer that may evict it.
    Guard {
        /// Name of the peer.
        guard: DaemonName,
    },
    /// The writer, its guard, removes a peer and takes over its partitions.
    Evict {
        /// The peer, in the incarnation that is removed.
        member: Writer,
    },
    /// The writer hands partitions over, whose claims it has already sent.
    Handover {
        /// Indices of the partitions.
        partitions: Vec<u16>,
        /// New owner, in the incarnation that received the claims.
        to: Writer,
    },
    /// The writer leaves; partitions that it still owns go to its guard.
    Leave,
}

/// Content of one record of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "entry", rename_all = "snake_case")]
pub enum Entry {
    /// Changes that a daemon appended together.
    Batch(Batch),
    /// A chunk of a snapshot.
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
        /// Version of the record's encoding.
        version: u32,
    },
    /// The record is malformed.
    #[snafu(display("record is malformed"))]
    Malformed {
        /// Error of the JSON decoder.
        source: serde_json::Error,
    },
}

impl Entry {
    /// Encodes the entry for the log.
    ///
    /// # Panics
    ///
    /// Never: every entry can be serialised to JSON.
    #[must_use]
    pub fn encode(&self) -> String {
        serde_json::to_string(&Envelope { version: VERSION, entry: self })
            .expect("an entry can be serialised to JSON")
    }

    /// Decodes an entry of the log.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if the record is newer than this program or malformed.
    pub fn decode(text: &str) -> Result<Self, DecodeError> {
        let header: Header = serde_json::from_str(text).context(MalformedSnafu)?;
        ensure!(header.version <= VERSION, NewerSnafu { version: header.version });
        let envelope: Envelope<Self> = serde_json::from_str(text).context(MalformedSnafu)?;
        Ok(envelope.entry)
    }
}
