//! Records of a shard.
//!
//! A shard is one partition of a compacted topic: the newest record of each key is retained. A job
//! has up to three keys, one each for its acceptance, its progress and its cancellation, and
//! further ones for parts of its progress if it has many tasks. One more key names the owner of the
//! shard, and one each the queues that have been reassigned to another pool. Any daemon may write
//! records of acceptance, cancellation and reassignment; only the shard owner writes the others.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::{ResultExt as _, Snafu};

use crate::id::JobId;
use crate::progress::{Part, Progress};
use crate::spec::Spec;

/// Scheduling policy of a queue, copied when the job is accepted.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Policy {
    /// Priority of the job's tasks; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs of one task at which the job fails.
    pub max_attempts: u32,
    /// Factor by which the critical path is multiplied to get the time in which the job should end.
    pub stretch: f64,
    /// Time in ms that is added to the stretched critical path.
    pub target_ms: u64,
}

/// Approval that a queue requires of the advice service before a step is placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Advice {
    /// Validity of a ticket, in ms.
    pub valid_ms: u64,
}

/// Value of a job's acceptance record: the specification, and what applied when it was accepted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Accepted {
    /// Name of the queue that accepted it.
    pub queue: Arc<str>,
    /// Name of the customer who owns the job; absent if the queue requires no key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customer: Option<Arc<str>>,
    /// Name of the pool that runs the job.
    pub pool: Arc<str>,
    /// Policy of the queue at the time of acceptance.
    pub policy: Policy,
    /// Present if the advice service must approve workers before a step is placed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advice: Option<Advice>,
    /// Version of the configuration by which the queue's pool was found; 0 in records of daemons that
    /// do not tell it.
    #[serde(rename = "config", default, skip_serializing_if = "is_zero")]
    pub config_version: u64,
    /// Time of acceptance in ms since 1970, by the clock of the accepting daemon.
    pub at_ms: u64,
    /// Specification as submitted.
    pub spec: Spec,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
fn is_zero(value: &u64) -> bool {
    *value == 0
}

impl Accepted {
    /// Whether `requester` may see and cancel the job. A job without a customer is open to anyone
    /// who knows its identifier.
    #[must_use]
    pub fn belongs_to(&self, requester: &Requester) -> bool {
        match (&self.customer, &requester.customer) {
            (None, _) => true,
            // The queue required a key when the job was accepted, but the requester has none.
            (Some(_), None) => self.queue == requester.queue,
            (Some(own), Some(other)) => own == other,
        }
    }

    /// Requester who submitted the job.
    #[must_use]
    pub fn requester(&self) -> Requester {
        Requester { queue: Arc::clone(&self.queue), customer: self.customer.clone() }
    }
}

/// Queue and customer on whose behalf a request about a job is made. The request takes effect only
/// on jobs that belong to this requester.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Requester {
    /// Name of the queue through which the request came.
    #[serde(default, skip_serializing_if = "str::is_empty")]
    pub queue: Arc<str>,
    /// Name of the customer; absent if the queue requires no key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customer: Option<Arc<str>>,
}

/// Reassignment of a queue from the shard's pool to another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reassignment {
    /// Version of a configuration that assigns the queue elsewhere. Jobs of the queue that were
    /// accepted by an earlier one, and that the shard's owner does not know when it reads this
    /// record, do not run in the shard.
    #[serde(rename = "config")]
    pub config_version: u64,
}

/// Ownership claim on the shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Name and incarnation of the owning daemon.
    pub owner: Arc<str>,
    /// Fencing epoch of the owner's appends.
    pub epoch: u64,
}

/// Decoded record of a shard.
#[derive(Debug, Clone, PartialEq)]
pub enum Record {
    /// Acceptance of a job, written by the daemon that accepted it.
    Accepted(JobId, Arc<Accepted>),
    /// Progress of a job, written by the shard owner.
    Progress(JobId, Progress),
    /// Progress of some tasks of a job, from the one with this position on. Written by the shard
    /// owner.
    ProgressPart(JobId, u64, Part),
    /// Request to cancel a job. It has no effect if the job does not belong to the requester.
    Cancelled(JobId, Requester),
    /// Reassignment of the queue with this name, written by a daemon before it accepts a job of the
    /// queue elsewhere.
    Reassigned(Arc<str>, Reassignment),
    /// Claim by which a daemon became the owner of the shard.
    Claim(Claim),
    /// Deletion of the record with this key.
    Tombstone(String),
}

/// Record that cannot be decoded.
#[derive(Debug, Snafu)]
pub enum RecordError {
    /// The key matches no kind of record.
    #[snafu(display("key \"{key}\" matches no kind of record"))]
    Key {
        /// Key as read from the log.
        key: String,
    },
    /// The value is not valid JSON of the kind that the key names.
    #[snafu(display("value of key \"{key}\" cannot be decoded: {source}"))]
    Value {
        /// Key of the record, which determines the expected type.
        key: String,
        /// Cause reported by the JSON decoder.
        source: serde_json::Error,
    },
}

const CLAIM_KEY: &str = "claim";
const ACCEPTED_PREFIX: &str = "job/";
const PROGRESS_PREFIX: &str = "progress/";
const PROGRESS_PART_PREFIX: &str = "progress-part/";
const CANCELLED_PREFIX: &str = "cancel/";
const REASSIGNED_PREFIX: &str = "reassigned/";

/// Key of a part of a job's progress, by the position of its first task.
#[must_use]
pub fn part_key(job: JobId, first: u64) -> String {
    format!("{PROGRESS_PART_PREFIX}{job}/{first}")
}

/// All keys of an ended job. They are deleted together when the job's retention ends.
#[must_use]
pub fn job_keys(job: JobId) -> [String; 3] {
    [ACCEPTED_PREFIX, PROGRESS_PREFIX, CANCELLED_PREFIX].map(|prefix| format!("{prefix}{job}"))
}

fn json(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("records are serialisable as JSON")
}

fn value<'de, T: Deserialize<'de>>(key: &str, bytes: &'de [u8]) -> Result<T, RecordError> {
    serde_json::from_slice(bytes).context(ValueSnafu { key })
}

impl Record {
    /// Key under which the record is stored.
    #[must_use]
    pub fn key(&self) -> String {
        match self {
            Self::Accepted(job, _) => format!("{ACCEPTED_PREFIX}{job}"),
            Self::Progress(job, _) => format!("{PROGRESS_PREFIX}{job}"),
            Self::ProgressPart(job, first, _) => part_key(*job, *first),
            Self::Cancelled(job, _) => format!("{CANCELLED_PREFIX}{job}"),
            Self::Reassigned(queue, _) => format!("{REASSIGNED_PREFIX}{queue}"),
            Self::Claim(_) => CLAIM_KEY.to_owned(),
            Self::Tombstone(key) => key.clone(),
        }
    }

    /// Encoded value of the record; empty for a tombstone.
    #[must_use]
    pub fn value(&self) -> Vec<u8> {
        match self {
            Self::Accepted(_, accepted) => json(accepted.as_ref()),
            Self::Progress(_, progress) => json(progress),
            Self::ProgressPart(_, _, part) => json(part),
            Self::Cancelled(_, by) => json(by),
            Self::Reassigned(_, reassignment) => json(reassignment),
            Self::Claim(claim) => json(claim),
            Self::Tombstone(_) => Vec::new(),
        }
    }

    /// Decodes a record from its key and value.
    ///
    /// # Errors
    ///
    /// [`RecordError`] if the key matches no kind of record or the value cannot be decoded.
    pub fn decode(key: &str, bytes: &[u8]) -> Result<Self, RecordError> {
        if bytes.is_empty() {
            return Ok(Self::Tombstone(key.to_owned()));
        }
        if key == CLAIM_KEY {
            return value(key, bytes).map(Self::Claim);
        }
        let job = |prefix| key.strip_prefix(prefix).and_then(|id| id.parse::<JobId>().ok());
        if let Some(job) = job(ACCEPTED_PREFIX) {
            return Ok(Self::Accepted(job, Arc::new(value(key, bytes)?)));
        }
        if let Some(job) = job(PROGRESS_PREFIX) {
            return value(key, bytes).map(|progress| Self::Progress(job, progress));
        }
        if let Some(queue) = key.strip_prefix(REASSIGNED_PREFIX) {
            return value(key, bytes).map(|record| Self::Reassigned(queue.into(), record));
        }
        let part = key.strip_prefix(PROGRESS_PART_PREFIX).and_then(|rest| rest.split_once('/'));
        if let Some((job, first)) = part
            && let (Ok(job), Ok(first)) = (job.parse(), first.parse())
        {
            return value(key, bytes).map(|part| Self::ProgressPart(job, first, part));
        }
        if let Some(job) = job(CANCELLED_PREFIX) {
            return value(key, bytes).map(|by| Self::Cancelled(job, by));
        }
        KeySnafu { key }.fail()
    }
}
