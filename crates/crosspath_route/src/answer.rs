//! Final answers that are not the upstream's own.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Why a request was not run. It is safe to send it again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRun {
    /// No VM of the pool takes work.
    NoUpstream,
    /// Too many requests wait already.
    QueueFull,
    /// It could not be answered before its deadline.
    TooLate,
    /// The caller has too many requests in flight.
    CallerQuota,
    /// Upstreams refused it, or could not be reached.
    UpstreamRefused,
    /// The owner of the payment keys has no room for another.
    KeysFull,
    /// The payment key is dated later than now.
    KeyFromFuture,
    /// This daemon is stopping.
    Stopping,
}

/// Why it is not known whether a request was run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Unknown {
    /// The upstream did not answer in time.
    UpstreamLate,
    /// The upstream's answer was cut short.
    UpstreamCut,
    /// The request with this key is still under way.
    InProgress,
    /// The key's owner does not know what an earlier owner did with it.
    KeyBeforeOwner,
    /// The key is older than keys are kept.
    KeyExpired,
    /// Nothing was sent now; what an earlier request with this key did could not be asked.
    KeyNotAsked,
    /// The key's owner has not seen the key.
    KeyUnheard,
    /// Whoever ran the request with this key did not say how it ended.
    OutcomeLost,
}

/// A final answer that is not the upstream's own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", content = "reason", rename_all = "snake_case")]
pub enum Answer {
    /// The request was not run.
    NotRun(NotRun),
    /// Whether it was run is not known; ask with the key, do not pay again.
    Unknown(Unknown),
    /// The key was used with another request.
    KeyMismatch,
}

impl NotRun {
    /// The reason as a header value and metric label.
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
    /// The reason as a header value and metric label.
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
    /// The outcome as a header value and metric label.
    #[must_use]
    pub fn outcome(self) -> &'static str {
        match self {
            Self::NotRun(_) => "not_run",
            Self::Unknown(_) => "unknown",
            Self::KeyMismatch => "key_mismatch",
        }
    }

    /// The reason as a header value and metric label.
    #[must_use]
    pub fn reason(self) -> &'static str {
        match self {
            Self::NotRun(reason) => reason.label(),
            Self::Unknown(reason) => reason.label(),
            Self::KeyMismatch => "key_mismatch",
        }
    }
}

/// An answer and when to come back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Final {
    /// The answer.
    pub answer: Answer,
    /// When to come back, if that helps.
    pub retry_after: Option<Duration>,
}

impl Final {
    /// Not run; come back after `retry_after`.
    #[must_use]
    pub fn not_run(reason: NotRun, retry_after: Duration) -> Self {
        Self { answer: Answer::NotRun(reason), retry_after: Some(retry_after) }
    }

    /// Outcome not known.
    #[must_use]
    pub fn unknown(reason: Unknown) -> Self {
        let retry_after = match reason {
            Unknown::InProgress | Unknown::KeyNotAsked => Some(Duration::from_secs(1)),
            _ => None,
        };
        Self { answer: Answer::Unknown(reason), retry_after }
    }
}
