//! Evacuated data centres: no task starts there, finite tasks without checkpoints run to their end,
//! and long-running ones move elsewhere.

use std::collections::BTreeSet;
use std::sync::Arc;

use crosspath_border::worker::{Entry, Outcome};
use crosspath_job::spec::Step;
use crosspath_schedule::Event;

use crate::common::{Harness, ended, entry, ms, running, step, task};

fn evacuated(names: &[&str]) -> Event {
    Event::Evacuated(Arc::new(names.iter().map(|name| Arc::from(*name)).collect()))
}

/// Two workers in data centre a and one in data centre b.
fn harness() -> Harness {
    let mut harness = Harness::with_workers(&["a1", "a2"]);
    harness.send(Event::WorkerListed(Entry { data_centre: "b".into(), ..entry("b1") }));
    harness.polled("b1", Vec::new(), Vec::new());
    harness
}

#[test]
fn nothing_starts_in_an_evacuated_data_centre_until_the_request_is_withdrawn() {
    let mut harness = harness();
    harness.send(evacuated(&["a"]));
    harness.submit(vec![step(3, 20)]);
    let starts = harness.take_starts();
    assert_eq!(starts.len(), 1, "32 cores fit one of the tasks");
    assert_eq!(&*starts[0].worker, "b1");
    harness.advance(ms(10_000));
    assert!(harness.take_starts().is_empty());
    harness.send(evacuated(&[]));
    assert_eq!(harness.take_starts().len(), 2);
}

/// The data centre of a planned run is evacuated while the commit of its placement is in flight.
#[test]
fn a_run_that_was_placed_before_the_evacuation_starts_elsewhere() {
    let mut harness = harness();
    harness.send(evacuated(&["b"]));
    harness.auto_commit = false;
    harness.submit(vec![step(1, 20)]);
    harness.advance(ms(50));
    assert!(harness.take_starts().is_empty(), "its placement is not durable yet");
    harness.send(evacuated(&["a"]));
    harness.auto_commit = true;
    harness.send(Event::Committed);
    harness.advance(ms(50));
    let starts = harness.take_starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(&*starts[0].worker, "b1");
}

#[test]
fn a_run_without_checkpoints_completes_in_an_evacuated_data_centre() {
    let mut harness = harness();
    harness.submit(vec![step(1, 20)]);
    let order = harness.take_starts().remove(0);
    harness.started(&order);
    harness.send(evacuated(&["a", "b"]));
    harness.polled(&order.worker, vec![running(order.task, order.run)], Vec::new());
    harness.advance(ms(1_000));
    assert!(harness.take_stops().is_empty(), "it has no checkpoint to resume from");
    harness.polled(&order.worker, Vec::new(), vec![ended(1, order.task, order.run, Outcome::Done)]);
    harness.advance(ms(100));
    assert!(harness.take_starts().is_empty());
}

/// Long-running tasks are stopped only while fewer than `max_unavailable` tasks of their step are
/// unavailable and another worker can take them.
#[test]
fn long_running_tasks_leave_within_max_unavailable() {
    let mut harness = Harness::with_workers(&["a1", "a2"]);
    harness.submit(vec![Step {
        long_running: true,
        max_per_worker: 1,
        max_unavailable: Some(1),
        ..step(2, 4)
    }]);
    for order in harness.take_starts() {
        harness.started(&order);
        harness.polled(&order.worker, vec![running(order.task, order.run)], Vec::new());
    }
    harness.advance(ms(100));
    harness.send(evacuated(&["a"]));
    harness.advance(ms(1_000));
    assert!(
        harness.take_stops().is_empty(),
        "no worker outside the data centre can take the tasks"
    );
    for id in ["b1", "b2"] {
        harness.send(Event::WorkerListed(Entry { data_centre: "b".into(), ..entry(id) }));
        harness.polled(id, Vec::new(), Vec::new());
    }
    harness.advance(ms(100));
    assert_eq!(harness.take_stops().len(), 1);
}

#[test]
fn the_report_shows_evacuated_vms_as_not_usable() {
    let mut harness = harness();
    harness.send(evacuated(&["a"]));
    let usable: BTreeSet<_> = harness
        .scheduler
        .report(harness.now)
        .vms
        .into_iter()
        .filter(|vm| vm.usable)
        .collect::<Vec<_>>()
        .into_iter()
        .map(|vm| vm.name)
        .collect();
    assert_eq!(usable, BTreeSet::from(["vm-b1".into()]));
}

/// An owner whose set of evacuated data centres may be outdated starts nothing, and leaves the runs
/// that exist alone.
#[test]
fn nothing_starts_while_evacuation_requests_may_be_outdated() {
    let mut harness = harness();
    harness.submit(vec![step(1, 20)]);
    let order = harness.take_starts().remove(0);
    harness.started(&order);
    harness.send(Event::MayStart(false));
    harness.auto_commit = false;
    harness.polled(
        &order.worker,
        Vec::new(),
        vec![ended(1, order.task, order.run, Outcome::Failed)],
    );
    harness.advance(ms(1_000));
    assert!(harness.take_starts().is_empty());
    assert!(harness.take_stops().is_empty());
    harness.auto_commit = true;
    harness.send(Event::Committed);
    harness.send(Event::MayStart(true));
    harness.advance(ms(1_000));
    let starts = harness.take_starts();
    assert_eq!(starts.iter().map(|order| order.task).collect::<Vec<_>>(), [task(0, 0)]);
}

#[test]
fn the_report_tells_when_finite_tasks_should_have_left() {
    let mut harness = Harness::with_workers(&["a1"]);
    let finite = Step { estimate_ms: 3_000, ..step(1, 4) };
    let long_running = Step { estimate_ms: 90_000, long_running: true, ..step(1, 4) };
    harness.submit(vec![Step { estimate_ms: 1_000, ..step(1, 4) }, finite, long_running]);
    assert_eq!(harness.take_starts().len(), 3);
    let finite_ms = |harness: &Harness, after| {
        harness.scheduler.report(harness.now + ms(after)).vms[0].finite_ms
    };
    assert_eq!(finite_ms(&harness, 0), 0, "told only of evacuated data centres");
    harness.send(evacuated(&["a"]));
    assert_eq!([0, 1_000, 5_000].map(|after| finite_ms(&harness, after)), [3_000, 2_000, 0]);
}
