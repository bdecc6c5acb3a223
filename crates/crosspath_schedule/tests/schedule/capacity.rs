//! Capacity of workers: whether a pool lacks workers, which makes its owner read the worker list
//! more often, and capacity that changes.

use std::sync::Arc;

use crosspath_border::worker::{Entry, Outcome};
use crosspath_job::JobId;
use crosspath_job::spec::Resources;
use crosspath_schedule::Event;

use crate::common::{Harness, JOB, accepted, anonymous, ended, entry, ms, running, step, task};

#[test]
fn a_pool_lacks_workers_while_a_task_fits_on_none() {
    let mut harness = Harness::with_workers(&["a"]);
    assert!(!harness.scheduler.lacks_workers());
    harness.submit(vec![step(2, 20)]);
    assert_eq!(harness.take_starts().len(), 1, "32 cores fit one of the tasks");
    assert!(harness.scheduler.lacks_workers());
    harness.send(Event::WorkerListed(entry("b")));
    harness.polled("b", Vec::new(), Vec::new());
    harness.advance(ms(100));
    assert_eq!(harness.take_starts().len(), 1, "the other task");
    assert!(!harness.scheduler.lacks_workers());
}

#[test]
fn a_worker_whose_capacity_shrinks_gets_no_more_than_it_then_has() {
    let mut harness = Harness::with_workers(&["a"]);
    harness.submit(vec![step(2, 8), step(2, 8)]);
    assert_eq!(harness.take_starts().len(), 4, "32 cores fit all of the tasks");
    let small = Resources { cpu_millis: 16_000, ..entry("a").capacity };
    harness.send(Event::WorkerListed(Entry { capacity: small, ..entry("a") }));
    // The runs now use twice the capacity. Nothing else may start until enough of them have ended
    // to leave 8 cores free.
    let other = JobId(2);
    harness.send(Event::Accepted(other, accepted(vec![step(1, 8)])));
    harness.advance(ms(100));
    let tasks = [(0, 0), (0, 1), (1, 0), (1, 1)].map(|(step, index)| task(step, index));
    let rows = |from: usize| tasks[from..].iter().map(|task| running(*task, 10_001)).collect();
    for from in 0..4 {
        let ends = tasks[..from].iter().zip(1..);
        let ends = ends.map(|(task, number)| ended(number, *task, 10_001, Outcome::Done));
        harness.polled("a", rows(from), ends.collect());
        harness.advance(ms(100));
        let starts = harness.take_starts();
        assert_eq!(starts.len(), usize::from(from == 3), "{from} of four runs have ended");
    }
    // The capacity grows back and is used again.
    harness.send(Event::WorkerListed(entry("a")));
    harness.send(Event::Accepted(JobId(3), accepted(vec![step(2, 8)])));
    harness.advance(ms(100));
    assert_eq!(harness.take_starts().len(), 2);
}

#[test]
fn a_run_that_is_being_stopped_still_uses_capacity() {
    let mut harness = Harness::with_workers(&["a"]);
    harness.submit(vec![step(1, 32)]);
    let order = harness.take_starts().remove(0);
    harness.started(&order);
    harness.send(Event::Cancelled(JOB, anonymous()));
    harness.send(Event::Accepted(JobId(2), accepted(vec![step(1, 8)])));
    harness.send(Event::StopAnswered {
        worker: Arc::clone(&order.worker),
        task: order.task,
        run: order.run,
        answer: Ok(()),
    });
    harness.polled("a", vec![running(order.task, order.run)], Vec::new());
    harness.advance(ms(100));
    assert_eq!(harness.take_starts(), Vec::new());
    let end = ended(1, order.task, order.run, Outcome::Stopped);
    harness.polled("a", Vec::new(), vec![end]);
    harness.advance(ms(100));
    assert_eq!(harness.take_starts().len(), 1);
}
