//! The records of a shard.
//!
//! A shard is one partition of a topic that keeps the newest record of each key. A job has up to
//! three keys: what was accepted, how far it is, and that it was cancelled. One more key tells who
//! owns the shard. Anyone may write what is accepted and cancelled; only the owner writes the rest.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::{ResultExt as _, Snafu};

use crate::id::JobId;
use crate::progress::Progress;
use crate::spec::Spec;

/// What a queue demands, as it was when the job was accepted.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Policy {
    /// 0 goes first.
    pub priority: u32,
    /// Failed runs of a task after which the job has failed.
    pub max_attempts: u32,
    /// Multiple of the longest chain of work within which the job should end.
    pub stretch: f64,
    /// Time on top of it, in ms.
    pub target_ms: u64,
}

/// Advice that a queue demands before a step is placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Advice {
    /// How long a ticket holds, in ms.
    pub valid_ms: u64,
}

/// An accepted job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Accepted {
    /// Name of the queue that took it.
    pub queue: Arc<str>,
    /// Name of the customer whose it is; none where the queue needs no key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customer: Option<Arc<str>>,
    /// Name of the pool that runs it.
    pub pool: Arc<str>,
    /// What the queue demanded.
    pub policy: Policy,
    /// Whether workers must be asked for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advice: Option<Advice>,
    /// When it was accepted, in ms since 1970, by the accepting daemon's clock.
    pub at_ms: u64,
    /// What is to run.
    pub spec: Spec,
}

impl Accepted {
    /// Whether the job belongs to who asks. A job without a customer belongs to whoever knows its identifier.
    #[must_use]
    pub fn belongs_to(&self, requester: &Requester) -> bool {
        match (&self.customer, &requester.customer) {
            (None, _) => true,
            // The queue needed a key when the job came.
            (Some(_), None) => self.queue == requester.queue,
            (Some(own), Some(other)) => own == other,
        }
    }

    /// Who handed the job in.
    #[must_use]
    pub fn requester(&self) -> Requester {
        Requester { queue: Arc::clone(&self.queue), customer: self.customer.clone() }
    }
}

/// Who asks for or about a job: that counts only for one that belongs to the asker.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Requester {
    /// Name of the queue where it was asked for.
    #[serde(default, skip_serializing_if = "str::is_empty")]
    pub queue: Arc<str>,
    /// Name of the customer; none where the queue needs no key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customer: Option<Arc<str>>,
}

/// Who owns the shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Name and life of the daemon.
    pub owner: Arc<str>,
    /// Epoch with which it appends.
    pub epoch: u64,
}

/// One record.
#[derive(Debug, Clone, PartialEq)]
pub enum Record {
    /// A job was accepted.
    Accepted(JobId, Arc<Accepted>),
    /// How far a job is.
    Progress(JobId, Progress),
    /// A job's cancelling was asked for.
    Cancelled(JobId, Requester),
    /// The shard was claimed.
    Claim(Claim),
    /// A key was dropped.
    Tombstone(String),
}

/// A record that cannot be read.
#[derive(Debug, Snafu)]
pub enum RecordError {
    /// The key has no known form.
    #[snafu(display("key \"{key}\" has no known form"))]
    Key {
        /// The key.
        key: String,
    },
    /// The value has another form.
    #[snafu(display("value of key \"{key}\" cannot be decoded: {source}"))]
    Value {
        /// The key.
        key: String,
        /// What the decoder says.
        source: serde_json::Error,
    },
}

const CLAIM_KEY: &str = "claim";
const ACCEPTED: &str = "job/";
const PROGRESS: &str = "progress/";
const CANCELLED: &str = "cancel/";

/// Keys of a job, all of which go when it is forgotten.
#[must_use]
pub fn job_keys(job: JobId) -> [String; 3] {
    [ACCEPTED, PROGRESS, CANCELLED].map(|prefix| format!("{prefix}{job}"))
}

fn json(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("records have a JSON form")
}

fn value<'de, T: Deserialize<'de>>(key: &str, bytes: &'de [u8]) -> Result<T, RecordError> {
    serde_json::from_slice(bytes).context(ValueSnafu { key })
}

impl Record {
    /// The record's key.
    #[must_use]
    pub fn key(&self) -> String {
        match self {
            Self::Accepted(job, _) => format!("{ACCEPTED}{job}"),
            Self::Progress(job, _) => format!("{PROGRESS}{job}"),
            Self::Cancelled(job, _) => format!("{CANCELLED}{job}"),
            Self::Claim(_) => CLAIM_KEY.to_owned(),
            Self::Tombstone(key) => key.clone(),
        }
    }

    /// The record's value; empty drops the key.
    #[must_use]
    pub fn value(&self) -> Vec<u8> {
        match self {
            Self::Accepted(_, accepted) => json(accepted.as_ref()),
            Self::Progress(_, progress) => json(progress),
            Self::Cancelled(_, by) => json(by),
            Self::Claim(claim) => json(claim),
            Self::Tombstone(_) => Vec::new(),
        }
    }

    /// Reads a record.
    ///
    /// # Errors
    ///
    /// [`RecordError`] when key or value have no known form.
    pub fn decode(key: &str, bytes: &[u8]) -> Result<Self, RecordError> {
        if bytes.is_empty() {
            return Ok(Self::Tombstone(key.to_owned()));
        }
        if key == CLAIM_KEY {
            return value(key, bytes).map(Self::Claim);
        }
        let job = |prefix| key.strip_prefix(prefix).and_then(|id| id.parse::<JobId>().ok());
        if let Some(job) = job(ACCEPTED) {
            return Ok(Self::Accepted(job, Arc::new(value(key, bytes)?)));
        }
        if let Some(job) = job(PROGRESS) {
            return value(key, bytes).map(|progress| Self::Progress(job, progress));
        }
        if let Some(job) = job(CANCELLED) {
            return value(key, bytes).map(|by| Self::Cancelled(job, by));
        }
        KeySnafu { key }.fail()
    }
}
