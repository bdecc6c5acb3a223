//! Failed runs: each counts once towards `max_attempts`, whenever it is reported.

use crosspath_border::worker::{Error, Outcome};
use crosspath_job::progress::State;
use crosspath_schedule::Event;

use crate::common::{Harness, JOB, Order, ended, ms, step};

/// Confirms the start of the job's one task, which must be on `worker`.
fn start_on(harness: &mut Harness, worker: &str) -> Order {
    let order = harness.take_starts().remove(0);
    assert_eq!(*order.worker, *worker);
    harness.started(&order);
    order
}

#[test]
fn a_job_fails_after_max_attempts() {
    let mut harness = Harness::with_workers(&["a"]);
    harness.submit(vec![step(1, 2)]);
    for number in 1..=3 {
        harness.advance(ms(10_000));
        let order = start_on(&mut harness, "a");
        harness.polled(
            "a",
            Vec::new(),
            vec![ended(number, order.task, order.run, Outcome::Failed)],
        );
    }
    harness.advance(ms(10_000));
    assert_eq!(harness.take_starts(), Vec::new());
    assert_eq!(harness.scheduler.state(JOB), Some(State::Failed));
}

#[test]
fn a_failure_that_is_reported_after_a_later_one_counts() {
    let mut harness = Harness::with_workers(&["a", "b"]);
    harness.submit(vec![step(1, 2)]);
    let first = start_on(&mut harness, "a");
    // Worker a is silent until its leases have expired, so the task is started on b.
    let sent = harness.now;
    harness.send(Event::PollFailed {
        worker: "a".into(),
        sent,
        extended: true,
        error: Error::NoAnswer,
    });
    harness.advance(ms(6_000));
    harness.polled("b", Vec::new(), Vec::new());
    let second = start_on(&mut harness, "b");
    harness.polled("b", Vec::new(), vec![ended(1, second.task, second.run, Outcome::Failed)]);
    // Worker a answers again and reports the end of the first run: the second of three failures.
    harness.polled("a", Vec::new(), vec![ended(1, first.task, first.run, Outcome::Failed)]);
    harness.advance(ms(10_000));
    let third = harness.take_starts().remove(0);
    harness.started(&third);
    let failed = vec![ended(2, third.task, third.run, Outcome::Failed)];
    harness.polled(&third.worker, Vec::new(), failed);
    harness.advance(ms(10_000));
    assert_eq!(harness.take_starts(), Vec::new());
    assert_eq!(harness.scheduler.state(JOB), Some(State::Failed));
}
