//! Retry decisions for every combination of failure and request.

use std::time::Duration;

use crosspath_route::answer::Answer;
use crosspath_route::retry::{Budget, Decision, FailedAttempt, Failure, MAX_ATTEMPTS, decide};

const FAILURES: [Failure; 4] =
    [Failure::NotSent, Failure::Refused, Failure::Broken, Failure::Timeout];

fn every_case() -> impl Iterator<Item = FailedAttempt> {
    let flags = [false, true];
    FAILURES.into_iter().flat_map(move |failure| {
        flags.into_iter().flat_map(move |may_have_run| {
            flags.into_iter().flat_map(move |idempotent| {
                [1, MAX_ATTEMPTS].into_iter().flat_map(move |attempts| {
                    [0, 100].into_iter().map(move |remaining| FailedAttempt {
                        failure,
                        may_have_run,
                        idempotent,
                        attempts,
                        remaining: Duration::from_millis(remaining),
                    })
                })
            })
        })
    })
}

#[test]
fn not_run_is_reported_only_when_no_attempt_can_have_run() {
    let mut not_run = 0;
    for attempt in every_case() {
        let decision = decide(attempt, &mut Budget::default());
        let Decision::Final(answer) = decision else { continue };
        let certain = !attempt.may_have_run && attempt.failure.certainly_not_run();
        let reported = matches!(answer.answer, Answer::NotRun(_));
        assert_eq!(reported, certain, "{attempt:?}");
        assert!(!reported || answer.retry_after.is_some(), "{attempt:?}");
        not_run += u32::from(reported);
    }
    assert!(not_run > 0);
}

#[test]
fn requests_that_may_have_run_are_retried_only_if_idempotent() {
    for attempt in every_case() {
        let decision = decide(attempt, &mut Budget::default());
        if decision == Decision::Retry {
            assert!(attempt.idempotent || attempt.failure.certainly_not_run(), "{attempt:?}");
            assert!(attempt.attempts < MAX_ATTEMPTS && !attempt.remaining.is_zero(), "{attempt:?}");
        }
    }
}

#[test]
fn retry_budget_bounds_the_retries() {
    let mut budget = Budget::default();
    let attempt = FailedAttempt {
        failure: Failure::NotSent,
        may_have_run: false,
        idempotent: true,
        attempts: 1,
        remaining: Duration::from_secs(1),
    };
    let retries = |budget: &mut Budget| {
        (0..1_000).filter(|_| decide(attempt, budget) == Decision::Retry).count()
    };
    retries(&mut budget);
    for _ in 0..500 {
        budget.deposit();
    }
    assert_eq!(retries(&mut budget), 100);
}
