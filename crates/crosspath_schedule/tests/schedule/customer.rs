//! Ownership of jobs: a customer can neither cancel nor replace the job of another.

use std::sync::Arc;

use crosspath_job::progress::State;
use crosspath_job::record::{Accepted, Record, Requester};
use crosspath_quota::Limits;
use crosspath_schedule::{Action, Event};

use crate::common::{Harness, JOB, accepted, committed_records, step};

fn job_of(customer: &str) -> Arc<Accepted> {
    Arc::new(Accepted { customer: Some(customer.into()), ..(*accepted(vec![step(1, 2)])).clone() })
}

fn requester(customer: &str) -> Requester {
    Requester { queue: "counter".into(), customer: Some(customer.into()) }
}

#[test]
fn a_customer_cannot_cancel_the_job_of_another() {
    let mut harness = Harness::with_workers(&["a"]);
    harness.send(Event::Accepted(JOB, job_of("water")));
    harness.send(Event::Cancelled(JOB, requester("power")));
    assert_eq!(harness.scheduler.state(JOB), Some(State::Queued));
    assert_eq!(harness.take_stops(), Vec::new());
    harness.send(Event::Cancelled(JOB, requester("water")));
    assert_eq!(harness.scheduler.state(JOB), Some(State::Cancelled));
}

#[test]
fn a_cancel_by_another_customer_that_precedes_the_job_is_ignored() {
    let mut harness = Harness::with_workers(&["a"]);
    harness.send(Event::Limits(Limits::new()));
    harness.send(Event::Cancelled(JOB, requester("power")));
    harness.send(Event::Accepted(JOB, job_of("water")));
    assert_eq!(harness.take_starts().len(), 1);
}

#[test]
fn a_job_identifier_stays_with_its_first_customer_after_a_takeover() {
    let mut harness = Harness::with_workers(&["a"]);
    let water_record = Record::Accepted(JOB, job_of("water"));
    harness.send(Event::Accepted(JOB, job_of("water")));
    // A daemon that could not reach the owner appends this record, which replaces the first one's
    // under the same key.
    let power_record = Record::Accepted(JOB, job_of("power"));
    harness.send(Event::Accepted(JOB, job_of("power")));
    assert_eq!(
        harness.scheduler.accepted(JOB).and_then(|job| job.customer.as_deref()),
        Some("water")
    );
    let mut records: std::collections::BTreeMap<_, _> =
        [&water_record, &power_record].map(|record| (record.key(), record.clone())).into();
    records.extend(
        committed_records(&harness.actions).into_iter().map(|record| (record.key(), record)),
    );
    let mut next = Harness::new(2);
    next.take_over(records.into_values().collect(), &["a"]);
    let customer = next.scheduler.accepted(JOB).and_then(|job| job.customer.as_deref());
    assert_eq!(customer, Some("water"));
}

#[test]
fn a_repeated_submission_by_the_same_customer_commits_nothing() {
    let mut harness = Harness::with_workers(&["a"]);
    harness.send(Event::Accepted(JOB, job_of("water")));
    harness.actions.clear();
    harness.send(Event::Accepted(JOB, job_of("water")));
    let commits = harness.actions.iter().filter(|action| matches!(action, Action::Commit { .. }));
    assert_eq!(commits.count(), 0);
}
