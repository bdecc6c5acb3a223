//! Jobs of a queue that a configuration has assigned to another pool. A job that was stored in both
//! pools, by a daemon with the earlier configuration or by a late append, ran twice at once.

use std::sync::Arc;

use crosspath_job::progress::State;
use crosspath_job::record::{Accepted, Reassignment, Record, Requester};
use crosspath_schedule::reassignment::Relocation;
use crosspath_schedule::{Action, Event};

use crate::common::{Harness, JOB, accepted, anonymous, committed_records, ms, running, step};

/// Version of the configuration that assigns the queue to another pool.
const VERSION: u64 = 5;

/// Job that was accepted by the configuration of this version.
fn accepted_by(config_version: u64) -> Arc<Accepted> {
    Arc::new(Accepted { config_version, ..(*accepted(vec![step(1, 2)])).clone() })
}

fn reassigned(config_version: u64) -> Event {
    Event::Reassigned("counter".into(), config_version)
}

/// Owner that has read the reassignment.
fn harness() -> Harness {
    let mut harness = Harness::with_workers(&["a"]);
    harness.send(reassigned(VERSION));
    harness
}

/// Owner that has taken over these records.
fn taken_over(records: Vec<Record>) -> Harness {
    let mut harness = Harness::new(2);
    harness.take_over(records, &["a"]);
    harness.polled("a", Vec::new(), Vec::new());
    harness.advance(ms(60));
    harness
}

fn relocations(harness: &Harness) -> usize {
    let is_relocation = |action: &&Action| matches!(action, Action::Relocate { job: JOB, .. });
    harness.actions.iter().filter(is_relocation).count()
}

fn relocated_cancellations(harness: &Harness) -> usize {
    let is_one = |action: &&Action| matches!(action, Action::RelocateCancellation { job: JOB, .. });
    harness.actions.iter().filter(is_one).count()
}

fn requester() -> Requester {
    Requester { queue: "counter".into(), customer: None }
}

fn reassignment_record() -> Record {
    Record::Reassigned("counter".into(), Reassignment { config_version: VERSION })
}

#[test]
fn a_job_accepted_by_an_earlier_configuration_is_relocated_and_not_run() {
    let mut harness = harness();
    for _ in 0..2 {
        harness.send(Event::Accepted(JOB, accepted_by(VERSION - 1)));
        harness.advance(ms(60));
    }
    assert_eq!((relocations(&harness), harness.take_starts()), (1, Vec::new()));
    assert_eq!(harness.scheduler.state(JOB), Some(State::Queued), "accepted, and in no other pool");
    assert_eq!(harness.scheduler.queued_jobs("counter"), 1);
    harness.send(Event::Relocated(JOB, Relocation::Stored));
    harness.advance(ms(60));
    assert_eq!(harness.scheduler.state(JOB), None);
    let deleted = committed_records(&harness.actions);
    let deleted: Vec<_> = deleted.iter().map(Record::key).collect();
    assert!(deleted.contains(&format!("job/{JOB}")), "{deleted:?}");
}

#[test]
fn a_job_that_the_owner_knew_before_stays() {
    let mut harness = Harness::with_workers(&["a"]);
    harness.send(Event::Accepted(JOB, accepted_by(VERSION - 1)));
    harness.send(reassigned(VERSION));
    harness.send(Event::Accepted(JOB, accepted_by(VERSION - 1)));
    harness.advance(ms(60));
    assert_eq!((relocations(&harness), harness.take_starts().len()), (0, 1));
}

#[test]
fn a_job_accepted_by_a_later_configuration_runs() {
    let mut harness = harness();
    harness.send(Event::Accepted(JOB, accepted_by(VERSION + 1)));
    harness.advance(ms(60));
    assert_eq!((relocations(&harness), harness.take_starts().len()), (0, 1));
}

#[test]
fn a_job_whose_queue_is_back_or_was_removed_runs_where_it_is() {
    let mut harness = harness();
    harness.send(Event::Accepted(JOB, accepted_by(VERSION - 1)));
    harness.send(Event::Relocated(JOB, Relocation::Stays));
    harness.advance(ms(60));
    assert_eq!(harness.take_starts().len(), 1);
    let records = committed_records(&harness.actions);
    assert!(!records.iter().any(|record| matches!(record, Record::Tombstone(_))), "{records:?}");
}

/// The queue is back, and the job is accepted here just before its earlier acceptance is deleted.
#[test]
fn a_job_that_is_accepted_again_survives_the_deletion_of_its_earlier_acceptance() {
    for passes in [false, true] {
        let mut harness = harness();
        harness.send(Event::Accepted(JOB, accepted_by(VERSION - 1)));
        harness.send(Event::Relocated(JOB, Relocation::Stored));
        if passes {
            harness.advance(ms(60));
        }
        harness.send(Event::Accepted(JOB, accepted_by(VERSION + 1)));
        harness.advance(ms(60));
        let records = committed_records(&harness.actions);
        let accepted = Record::Accepted(JOB, accepted_by(VERSION + 1));
        assert!(records.contains(&accepted), "{records:?}");
    }
}

/// The record of a reassignment by an earlier configuration may be appended late.
#[test]
fn the_newest_reassignment_stays_the_newest_record() {
    let mut harness = harness();
    harness.send(reassigned(VERSION - 2));
    harness.advance(ms(60));
    assert_eq!(harness.scheduler.reassigned_by("counter"), Some(VERSION));
    assert_eq!(committed_records(&harness.actions), [reassignment_record()]);
}

#[test]
fn a_new_owner_relocates_what_has_not_run() {
    let job = Record::Accepted(JOB, accepted_by(VERSION - 1));
    let mut next = taken_over(vec![job, reassignment_record()]);
    assert_eq!((relocations(&next), next.take_starts()), (1, Vec::new()));
}

#[test]
fn a_new_owner_keeps_what_has_run() {
    let mut previous = Harness::with_workers(&["a"]);
    previous.send(Event::Accepted(JOB, accepted_by(VERSION - 1)));
    previous.advance(ms(60));
    let order = previous.take_starts().remove(0);
    let mut records = vec![Record::Accepted(JOB, accepted_by(VERSION - 1)), reassignment_record()];
    records.extend(committed_records(&previous.actions));
    let mut next = Harness::new(2);
    next.take_over(records, &["a"]);
    next.polled("a", vec![running(order.task, order.run)], Vec::new());
    next.advance(ms(60));
    assert_eq!((relocations(&next), next.take_stops()), (0, Vec::new()));
    assert_eq!(next.scheduler.state(JOB), Some(State::Running));
}

#[test]
fn a_cancellation_of_a_relocated_job_follows_it() {
    let mut harness = harness();
    harness.send(Event::Accepted(JOB, accepted_by(VERSION - 1)));
    harness.send(Event::Cancelled(JOB, requester()));
    assert_eq!(relocated_cancellations(&harness), 1);
    assert_eq!(harness.scheduler.state(JOB), Some(State::Cancelled));
    harness.send(Event::Relocated(JOB, Relocation::Stored));
    assert_eq!(harness.scheduler.state(JOB), Some(State::Cancelled));
}

/// A daemon with the earlier configuration knows no other pool.
#[test]
fn a_cancellation_of_a_job_that_is_stored_elsewhere_is_relocated_once() {
    let mut harness = harness();
    for _ in 0..3 {
        harness.send(Event::Cancelled(JOB, requester()));
    }
    assert_eq!(relocated_cancellations(&harness), 1, "the owner there may send it back");
}

#[test]
fn cancellations_of_queues_that_stay_are_not_relocated() {
    let mut harness = Harness::with_workers(&["a"]);
    harness.send(Event::Cancelled(JOB, anonymous()));
    assert_eq!(relocated_cancellations(&harness), 0);
}
