//! Jobs belong to customers.

use std::sync::Arc;

use crosspath_job::progress::State;
use crosspath_job::record::{Accepted, Record, Requester};
use crosspath_quota::Limits;
use crosspath_schedule::{Action, Event};

use crate::common::{Bed, JOB, accepted, kept, step};

fn job_of(customer: &str) -> Arc<Accepted> {
    Arc::new(Accepted { customer: Some(customer.into()), ..(*accepted(vec![step(1, 2)])).clone() })
}

fn asker(customer: &str) -> Requester {
    Requester { queue: "counter".into(), customer: Some(customer.into()) }
}

#[test]
fn a_customer_cannot_cancel_the_job_of_another() {
    let mut bed = Bed::with_workers(&["a"]);
    bed.send(Event::Accepted(JOB, job_of("water")));
    bed.send(Event::Cancelled(JOB, asker("power")));
    assert_eq!(bed.scheduler.state(JOB), Some(State::Queued));
    assert_eq!(bed.stops(), Vec::new());
    bed.send(Event::Cancelled(JOB, asker("water")));
    assert_eq!(bed.scheduler.state(JOB), Some(State::Cancelled));
}

#[test]
fn a_cancel_of_another_that_comes_before_the_job_counts_for_nothing() {
    let mut bed = Bed::with_workers(&["a"]);
    bed.send(Event::Limits(Limits::new()));
    bed.send(Event::Cancelled(JOB, asker("power")));
    bed.send(Event::Accepted(JOB, job_of("water")));
    assert_eq!(bed.starts().len(), 1);
}

#[test]
fn an_identifier_stays_with_the_customer_that_had_it_first_also_over_a_takeover() {
    let mut bed = Bed::with_workers(&["a"]);
    let of_water = Record::Accepted(JOB, job_of("water"));
    bed.send(Event::Accepted(JOB, job_of("water")));
    // Appended by a daemon that did not reach the owner, over the first one's record.
    let of_power = Record::Accepted(JOB, job_of("power"));
    bed.send(Event::Accepted(JOB, job_of("power")));
    assert_eq!(bed.scheduler.accepted(JOB).and_then(|job| job.customer.as_deref()), Some("water"));
    let mut records: std::collections::BTreeMap<_, _> =
        [&of_water, &of_power].map(|record| (record.key(), record.clone())).into();
    records.extend(kept(&bed.actions).into_iter().map(|record| (record.key(), record)));
    let mut next = Bed::new(2);
    next.take_over(records.into_values().collect(), &["a"]);
    let owner = next.scheduler.accepted(JOB).and_then(|job| job.customer.as_deref());
    assert_eq!(owner, Some("water"));
}

#[test]
fn a_job_that_arrives_again_from_its_customer_is_one_job() {
    let mut bed = Bed::with_workers(&["a"]);
    bed.send(Event::Accepted(JOB, job_of("water")));
    bed.actions.clear();
    bed.send(Event::Accepted(JOB, job_of("water")));
    let commits = bed.actions.iter().filter(|action| matches!(action, Action::Commit { .. }));
    assert_eq!(commits.count(), 0);
}
