//! Retry policy: what follows from a failed attempt.
//!
//! A request that is not idempotent is sent to another upstream only if it certainly was not run:
//! it was never sent, or the upstream itself reported that it refused it.

use std::time::Duration;

use crate::answer::{Final, NotRun, Unknown};

/// Maximum number of attempts of one request, the first one included.
pub const MAX_ATTEMPTS: u32 = 4;

const BUDGET_PER_REQUEST: u32 = 20;
const BUDGET_PER_RETRY: u32 = 100;
const BUDGET_MAX: u32 = 10_000;

/// How an attempt to run a request on an upstream failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No byte of the request can have reached the upstream.
    NotSent,
    /// The upstream reported that it refused the request before running it.
    Refused,
    /// The connection broke after the request may have been sent.
    Broken,
    /// No response arrived before the deadline.
    Timeout,
}

impl Failure {
    /// Whether the upstream certainly did not run the request.
    #[must_use]
    pub fn certainly_not_run(self) -> bool {
        matches!(self, Self::NotSent | Self::Refused)
    }
}

/// State of a request after a failed attempt.
#[derive(Debug, Clone, Copy)]
pub struct FailedAttempt {
    /// Failure of this attempt.
    pub failure: Failure,
    /// Whether an earlier attempt of the request may have been run.
    pub may_have_run: bool,
    /// Whether the request may safely run more than once.
    pub idempotent: bool,
    /// Number of attempts so far, this one included.
    pub attempts: u32,
    /// Time left until the deadline.
    pub remaining: Duration,
}

/// What to do after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Retry with another upstream.
    Retry,
    /// Give the caller this answer.
    Final(Final),
}

/// Decides whether to retry after a failed attempt; a retry is paid for from the budget.
pub fn decide(attempt: FailedAttempt, budget: &mut Budget) -> Decision {
    let safe = attempt.failure.certainly_not_run() || attempt.idempotent;
    let has_time = attempt.attempts < MAX_ATTEMPTS && !attempt.remaining.is_zero();
    if safe && has_time && budget.try_spend() {
        return Decision::Retry;
    }
    let may_have_run = attempt.may_have_run || !attempt.failure.certainly_not_run();
    Decision::Final(match (may_have_run, attempt.failure) {
        (false, _) => Final::not_run(NotRun::UpstreamRefused, Duration::from_secs(1)),
        (true, Failure::Timeout) => Final::unknown(Unknown::UpstreamLate),
        (true, _) => Final::unknown(Unknown::UpstreamCut),
    })
}

/// Retry budget: limits retries to a fraction of the requests, to prevent retry storms.
#[derive(Debug)]
pub struct Budget {
    balance_percent: u32,
}

impl Default for Budget {
    fn default() -> Self {
        Self { balance_percent: BUDGET_MAX }
    }
}

impl Budget {
    /// Adds the credit of a new request, a fifth of a retry, up to the maximum.
    pub fn deposit(&mut self) {
        self.balance_percent = (self.balance_percent + BUDGET_PER_REQUEST).min(BUDGET_MAX);
    }

    fn try_spend(&mut self) -> bool {
        let enough = self.balance_percent >= BUDGET_PER_RETRY;
        if enough {
            self.balance_percent -= BUDGET_PER_RETRY;
        }
        enough
    }
}
