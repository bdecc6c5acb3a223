//! Runs that make no progress on a worker that answers.

use crosspath_border::worker::{Outcome, Running};

use crate::common::{Harness, Order, ended, ms, running, step};

fn poll(harness: &mut Harness, order: &Order, percent: u32) {
    harness.advance(ms(400));
    let row = Running { percent, ..running(order.task, order.run) };
    harness.polled(&order.worker, vec![row], Vec::new());
    harness.advance(ms(60));
}

#[test]
fn a_stalled_run_is_stopped_and_restarts_on_another_worker() {
    let mut harness = Harness::with_workers(&["a", "b"]);
    harness.submit(vec![step(2, 2)]);
    let starts = harness.take_starts();
    harness.started(&starts[0]);
    harness.started(&starts[1]);
    for _ in 0..6 {
        harness.advance(ms(400));
        let rows =
            starts.iter().map(|order| Running { percent: 7, ..running(order.task, order.run) });
        let rows = rows.collect();
        harness.polled("a", rows, Vec::new());
        harness.advance(ms(60));
    }
    let stops = harness.take_stops();
    assert_eq!(stops.len(), 2);
    let ends =
        (1..).zip(&stops).map(|(n, order)| ended(n, order.task, order.run, Outcome::Stopped));
    harness.polled("a", Vec::new(), ends.collect());
    harness.advance(ms(100));
    let restarts = harness.take_starts();
    assert!(restarts.iter().all(|order| &*order.worker == "b"), "{restarts:?}");
}

#[test]
fn a_slow_run_is_not_stopped() {
    let mut harness = Harness::with_workers(&["a"]);
    harness.submit(vec![step(1, 2)]);
    let order = harness.take_starts().remove(0);
    harness.started(&order);
    for percent in 1..40 {
        poll(&mut harness, &order, percent);
    }
    assert_eq!(harness.take_stops(), Vec::new());
}

#[test]
fn a_run_that_is_not_polled_does_not_count_as_stalled() {
    let mut harness = Harness::with_workers(&["a"]);
    harness.submit(vec![step(1, 2)]);
    let order = harness.take_starts().remove(0);
    harness.started(&order);
    poll(&mut harness, &order, 5);
    harness.advance(ms(4_000));
    assert_eq!(harness.take_stops(), Vec::new());
}
