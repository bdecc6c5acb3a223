//! Runs that continue after their job was cancelled: once a poll lists such a run, it is stopped,
//! whichever owner started it.

use crosspath_border::worker::Error;
use crosspath_job::progress::State;
use crosspath_job::record::Record;
use crosspath_schedule::Event;

use crate::common::{
    Harness, JOB, Order, accepted, anonymous, committed_records, ms, running, step, task,
};

/// A job of one task that is cancelled before its start is answered.
fn cancelled() -> (Harness, Order) {
    let mut harness = Harness::with_workers(&["a"]);
    harness.submit(vec![step(1, 2)]);
    let start = harness.take_starts().remove(0);
    harness.send(Event::Cancelled(JOB, anonymous()));
    (harness, start)
}

fn stop_answered(harness: &mut Harness, order: &Order) {
    harness.now += ms(1);
    harness.send(Event::StopAnswered {
        worker: order.worker.clone(),
        task: order.task,
        run: order.run,
        answer: Ok(()),
    });
}

fn is_stopped(harness: &mut Harness, order: &Order) -> bool {
    harness.take_stops().contains(order)
}

#[test]
fn a_start_that_is_carried_out_after_its_stop_was_answered_is_stopped() {
    let (mut harness, start) = cancelled();
    assert!(is_stopped(&mut harness, &start));
    stop_answered(&mut harness, &start);
    harness.polled("a", Vec::new(), Vec::new());
    harness.advance(ms(3_000));
    harness.polled("a", vec![running(start.task, start.run)], Vec::new());
    assert!(is_stopped(&mut harness, &start));
    assert_eq!(harness.scheduler.state(JOB), Some(State::Cancelled));
}

#[test]
fn an_unanswered_stop_is_repeated_while_polls_list_the_run() {
    let (mut harness, start) = cancelled();
    assert!(is_stopped(&mut harness, &start));
    let (worker, task, run) = (start.worker.clone(), start.task, start.run);
    harness.send(Event::StopAnswered { worker, task, run, answer: Err(Error::NoAnswer) });
    harness.advance(ms(1_000));
    harness.polled("a", vec![running(start.task, start.run)], Vec::new());
    harness.advance(ms(1_000));
    assert!(is_stopped(&mut harness, &start));
}

/// The first owner has ended before the cancellation, so the order to stop the run must come
/// from the next owner.
#[test]
fn a_new_owner_stops_a_late_start_of_the_previous_owner() {
    let mut previous = Harness::with_workers(&["a"]);
    previous.submit(vec![step(1, 2)]);
    let start = previous.take_starts().remove(0);
    let mut records = vec![Record::Accepted(JOB, accepted(vec![step(1, 2)]))];
    records.extend(committed_records(&previous.actions));
    records.push(Record::Cancelled(JOB, anonymous()));
    let mut harness = Harness::new(2);
    harness.take_over(records, &["a"]);
    harness.polled("a", Vec::new(), Vec::new());
    harness.advance(ms(2_000));
    // The worker executes the start late.
    harness.polled("a", vec![running(start.task, start.run)], Vec::new());
    assert!(is_stopped(&mut harness, &start));
    assert_eq!(harness.take_starts(), Vec::new());
}

/// The job is cancelled after the new owner has adopted the run.
#[test]
fn a_cancel_after_a_takeover_stops_the_adopted_run() {
    let mut previous = Harness::with_workers(&["a"]);
    previous.submit(vec![step(1, 2)]);
    let start = previous.take_starts().remove(0);
    let mut records = vec![Record::Accepted(JOB, accepted(vec![step(1, 2)]))];
    records.extend(committed_records(&previous.actions));
    let mut harness = Harness::new(2);
    harness.take_over(records, &["a"]);
    harness.polled("a", vec![running(start.task, start.run)], Vec::new());
    assert_eq!(harness.take_stops(), Vec::new());
    harness.send(Event::Cancelled(JOB, anonymous()));
    assert!(is_stopped(&mut harness, &start));
}

/// A job with a run can be unknown only if its records have been deleted.
#[test]
fn a_run_of_an_unknown_job_is_stopped() {
    let mut harness = Harness::with_workers(&["a"]);
    let stray = Order { worker: "a".into(), task: task(0, 0), run: 7 };
    harness.polled("a", vec![running(stray.task, stray.run)], Vec::new());
    assert!(is_stopped(&mut harness, &stray));
}
