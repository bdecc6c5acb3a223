//! What follows from a failed attempt: every combination.

use std::time::Duration;

use crosspath_route::answer::Answer;
use crosspath_route::verdict::{Budget, Failure, Known, MAX_ATTEMPTS, Verdict, decide};

const FAILURES: [Failure; 4] = [Failure::NotSent, Failure::Refused, Failure::Broken, Failure::Late];

fn every_case() -> impl Iterator<Item = Known> {
    let flags = [false, true];
    FAILURES.into_iter().flat_map(move |failure| {
        flags.into_iter().flat_map(move |maybe_run| {
            flags.into_iter().flat_map(move |repeatable| {
                [1, MAX_ATTEMPTS].into_iter().flat_map(move |attempts| {
                    [0, 100].into_iter().map(move |left| Known {
                        failure,
                        maybe_run,
                        repeatable,
                        attempts,
                        left: Duration::from_millis(left),
                    })
                })
            })
        })
    })
}

#[test]
fn not_run_is_said_only_when_no_attempt_can_have_run() {
    let mut not_run = 0;
    for known in every_case() {
        let verdict = decide(known, &mut Budget::default());
        let Verdict::Final(answer) = verdict else { continue };
        let certain = !known.maybe_run && known.failure.certainly_not_run();
        let said = matches!(answer.answer, Answer::NotRun(_));
        assert_eq!(said, certain, "{known:?}");
        assert!(!said || answer.retry_after.is_some(), "{known:?}");
        not_run += u32::from(said);
    }
    assert!(not_run > 0);
}

#[test]
fn what_may_have_run_is_sent_again_only_if_it_is_repeatable() {
    for known in every_case() {
        let verdict = decide(known, &mut Budget::default());
        if verdict == Verdict::Retry {
            assert!(known.repeatable || known.failure.certainly_not_run(), "{known:?}");
            assert!(known.attempts < MAX_ATTEMPTS && !known.left.is_zero(), "{known:?}");
        }
    }
}

#[test]
fn retries_are_bounded_by_requests() {
    let mut budget = Budget::default();
    let known = Known {
        failure: Failure::NotSent,
        maybe_run: false,
        repeatable: true,
        attempts: 1,
        left: Duration::from_secs(1),
    };
    let retries = |budget: &mut Budget| {
        (0..1_000).filter(|_| decide(known, budget) == Verdict::Retry).count()
    };
    retries(&mut budget);
    for _ in 0..500 {
        budget.deposit();
    }
    assert_eq!(retries(&mut budget), 100);
}
