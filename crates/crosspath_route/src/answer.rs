//! Local answers: final answers that the daemon gives itself instead of an upstream's response.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Reason why a request was certainly not run. The caller can safely send it again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRun {
    /// No VM of the pool accepts requests.
    NoUpstream,
    /// The pool's queue is full.
    QueueFull,
    /// The request would have missed its deadline.
    TooLate,
    /// The caller has too many requests in flight.
    CallerQuota,
    /// Every upstream that was tried refused the request or could not be reached.
    UpstreamRefused,
    /// The owner of the key's partition holds its maximum number of payment keys.
    KeysFull,
    /// The time in the payment key is later than the owner's clock by more than the clock skew.
    KeyFromFuture,
    /// The daemon is shutting down.
    Stopping,
}

/// Reason why it is unknown whether a request was run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Unknown {
    /// The upstream did not respond before the deadline.
    UpstreamLate,
    /// The connection broke before the upstream's response was complete.
    UpstreamCut,
    /// A request with this key is still running.
    InProgress,
    /// The key may date from before the owner's takeover, and a previous owner may have granted it.
    KeyBeforeOwner,
    /// The key is older than the retention of keys.
    KeyExpired,
    /// The key's owner could not be asked whether an earlier request used the key. This request was
    /// not sent.
    KeyNotAsked,
    /// The key's owner has no record of the key.
    KeyUnheard,
    /// The daemon that ran the request with this key did not report its outcome in time.
    OutcomeLost,
}

/// A final answer that the daemon gives itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", content = "reason", rename_all = "snake_case")]
pub enum Answer {
    /// The request was certainly not run.
    NotRun(NotRun),
    /// Whether the request was run is unknown. The caller asks with the key instead of paying
    /// again.
    Unknown(Unknown),
    /// The key was used before with another request.
    KeyMismatch,
}

impl NotRun {
    /// Name of the reason in headers and metric labels.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::NoUpstream => "no_upstream",
            Self::QueueFull => "queue_full",
            Self::TooLate => "too_late",
            Self::CallerQuota => "caller_quota",
            Self::UpstreamRefused => "upstream_refused",
            Self::KeysFull => "keys_full",
            Self::KeyFromFuture => "key_from_future",
            Self::Stopping => "stopping",
        }
    }
}

impl Unknown {
    /// Name of the reason in headers and metric labels.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::UpstreamLate => "upstream_late",
            Self::UpstreamCut => "upstream_cut",
            Self::InProgress => "in_progress",
            Self::KeyBeforeOwner => "key_before_owner",
            Self::KeyExpired => "key_expired",
            Self::KeyNotAsked => "key_not_asked",
            Self::KeyUnheard => "key_unheard",
            Self::OutcomeLost => "outcome_lost",
        }
    }
}

impl Answer {
    /// Name of the outcome in headers and metric labels.
    #[must_use]
    pub fn outcome(self) -> &'static str {
        match self {
            Self::NotRun(_) => "not_run",
            Self::Unknown(_) => "unknown",
            Self::KeyMismatch => "key_mismatch",
        }
    }

    /// Name of the reason in headers and metric labels.
    #[must_use]
    pub fn reason(self) -> &'static str {
        match self {
            Self::NotRun(reason) => reason.label(),
            Self::Unknown(reason) => reason.label(),
            Self::KeyMismatch => "key_mismatch",
        }
    }
}

/// Local answer with an optional retry delay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Final {
    /// Outcome and reason, as the caller sees them.
    pub answer: Answer,
    /// Delay before the caller tries again; none when another try would not help.
    pub retry_after: Option<Duration>,
}

impl Final {
    /// Answer for a request that was not run and may be retried after `retry_after`.
    #[must_use]
    pub fn not_run(reason: NotRun, retry_after: Duration) -> Self {
        Self { answer: Answer::NotRun(reason), retry_after: Some(retry_after) }
    }

    /// Answer for a request with an unknown outcome. A retry delay of 1 s is given for those
    /// reasons that pass with time.
    #[must_use]
    pub fn unknown(reason: Unknown) -> Self {
        let retry_after = match reason {
            Unknown::InProgress | Unknown::KeyNotAsked => Some(Duration::from_secs(1)),
            _ => None,
        };
        Self { answer: Answer::Unknown(reason), retry_after }
    }
}
