//! Workers that drain and disappear from the worker list: their entry also goes when they are only
//! cut off, and their runs continue until their leases expire.

use std::sync::Arc;
use std::time::Duration;

use crosspath_border::worker::{Entry, Error};
use crosspath_schedule::Event;

use crate::common::{Harness, Order, entry, ms, running, settings, step};

/// Runs the job's one task on a worker that then says that it drains; returns the run and the
/// time of the last poll that extended its lease.
fn run_on_draining_worker(harness: &mut Harness) -> (Order, Duration) {
    harness.submit(vec![step(1, 2)]);
    let order = harness.take_starts().remove(0);
    harness.started(&order);
    harness.send(Event::WorkerListed(Entry {
        draining: true,
        remaining_ms: 12_000,
        ..entry(&order.worker)
    }));
    let polled_at = harness.now;
    harness.polled(&order.worker, vec![running(order.task, order.run)], Vec::new());
    (order, polled_at)
}

fn fail_poll(harness: &mut Harness, worker: &Arc<str>, error: Error) {
    let (worker, sent) = (Arc::clone(worker), harness.now);
    harness.send(Event::PollFailed { worker, sent, extended: false, error });
}

/// Advances the clock to the end of the lease; no start may be ordered before.
fn assert_waits_for_lease(harness: &mut Harness, polled_at: Duration) {
    let terms = settings().terms;
    let expiry = terms.latest_expiry(polled_at, terms.extension);
    while harness.now + ms(100) < expiry {
        harness.advance(ms(100));
        assert_eq!(harness.take_starts(), Vec::new(), "after {:?}", harness.now - polled_at);
    }
    harness.advance(ms(200));
    assert_eq!(harness.take_starts().len(), 1, "the lease has expired");
}

/// Guards against a task that runs twice: a draining worker is cut off, its entry goes, and it works
/// on under its lease.
#[test]
fn a_draining_worker_that_is_cut_off_keeps_its_task_under_its_lease() {
    let mut harness = Harness::with_workers(&["a", "b"]);
    let (order, polled_at) = run_on_draining_worker(&mut harness);
    harness.advance(ms(100));
    fail_poll(&mut harness, &order.worker, Error::NoAnswer);
    harness.advance(ms(100));
    harness.send(Event::WorkerUnlisted(Arc::clone(&order.worker)));
    assert_waits_for_lease(&mut harness, polled_at);
}

/// The same if the entry goes first, and the failed poll follows.
#[test]
fn a_failed_poll_of_an_unlisted_draining_worker_does_not_end_its_lease() {
    for error in [Error::NoAnswer, Error::NotReached, Error::Refused { status: 503 }] {
        let mut harness = Harness::with_workers(&["a", "b"]);
        let (order, polled_at) = run_on_draining_worker(&mut harness);
        harness.send(Event::WorkerUnlisted(Arc::clone(&order.worker)));
        fail_poll(&mut harness, &order.worker, error);
        assert_waits_for_lease(&mut harness, polled_at);
    }
}
