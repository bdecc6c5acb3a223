//! Failed runs: each counts once, whenever it is heard of.

use crosspath_border::worker::{Error, Outcome};
use crosspath_job::progress::State;
use crosspath_schedule::Event;

use crate::common::{Bed, JOB, Ordered, ended, ms, step};

/// Starts the job's one task, on `worker`.
fn start_on(bed: &mut Bed, worker: &str) -> Ordered {
    let order = bed.starts().remove(0);
    assert_eq!(*order.worker, *worker);
    bed.started(&order);
    order
}

#[test]
fn a_job_fails_after_its_attempts() {
    let mut bed = Bed::with_workers(&["a"]);
    bed.submit(vec![step(1, 2)]);
    for number in 1..=3 {
        bed.pass(ms(10_000));
        let order = start_on(&mut bed, "a");
        bed.held("a", Vec::new(), vec![ended(number, order.task, order.run, Outcome::Failed)]);
    }
    bed.pass(ms(10_000));
    assert_eq!(bed.starts(), Vec::new());
    assert_eq!(bed.scheduler.state(JOB), Some(State::Failed));
}

#[test]
fn a_failure_that_is_heard_of_after_later_ones_counts() {
    let mut bed = Bed::with_workers(&["a", "b"]);
    bed.submit(vec![step(1, 2)]);
    let first = start_on(&mut bed, "a");
    // Worker a falls silent for longer than its lease; the task goes on elsewhere.
    let sent = bed.now;
    bed.send(Event::PollFailed {
        worker: "a".into(),
        sent,
        extended: true,
        error: Error::NoAnswer,
    });
    bed.pass(ms(6_000));
    bed.held("b", Vec::new(), Vec::new());
    let second = start_on(&mut bed, "b");
    bed.held("b", Vec::new(), vec![ended(1, second.task, second.run, Outcome::Failed)]);
    // Now a is back and lists the end of the first run: the second of three attempts.
    bed.held("a", Vec::new(), vec![ended(1, first.task, first.run, Outcome::Failed)]);
    bed.pass(ms(10_000));
    let third = bed.starts().remove(0);
    bed.started(&third);
    let failed = vec![ended(2, third.task, third.run, Outcome::Failed)];
    bed.held(&third.worker, Vec::new(), failed);
    bed.pass(ms(10_000));
    assert_eq!(bed.starts(), Vec::new());
    assert_eq!(bed.scheduler.state(JOB), Some(State::Failed));
}
