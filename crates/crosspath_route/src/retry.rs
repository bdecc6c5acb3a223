//! What follows from an attempt that gave no answer.
//!
//! A request that may not be repeated goes to another upstream only when no byte of it can have
//! been run: it was never sent, or the upstream itself said that it refused it.

use std::time::Duration;

use crate::answer::{Final, NotRun, Unknown};

/// Tries of one request, the first included.
pub const MAX_ATTEMPTS: u32 = 4;

const BUDGET_PER_REQUEST: u32 = 20;
const BUDGET_PER_RETRY: u32 = 100;
const BUDGET_MAX: u32 = 10_000;

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No byte can have reached the upstream.
    NotSent,
    /// The upstream says that it refused the request before running it.
    Refused,
    /// The connection broke after the request may have been sent.
    Broken,
    /// No answer came in time.
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
    /// How the attempt failed.
    pub failure: Failure,
    /// Whether an earlier attempt of the request may have been run.
    pub may_have_run: bool,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Attempts so far.
    pub attempts: u32,
    /// Time until the deadline.
    pub remaining: Duration,
}

/// What to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Try another upstream.
    Retry,
    /// Answer at once.
    Final(Final),
}

/// Decides after a failed attempt; draws on the budget when it says to retry.
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

/// Bounds retries to a share of the requests, so that they cannot become a storm.
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
    /// Notes a new request, which pays for a fifth of a retry.
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
