//! Orders without an answer: how soon their tasks can start on another worker.

use std::sync::Arc;

use crosspath_border::worker::Error;
use crosspath_schedule::{Action, Event};

use crate::common::{Harness, Order, anonymous, ms, step};

fn start_unanswered(harness: &mut Harness, order: &Order) {
    harness.advance(ms(300));
    let (worker, task, run) = (Arc::clone(&order.worker), order.task, order.run);
    harness.send(Event::StartAnswered { worker, task, run, answer: Err(Error::NoAnswer) });
}

fn stop_answered(harness: &mut Harness, order: &Order) {
    let (worker, task, run) = (Arc::clone(&order.worker), order.task, order.run);
    harness.send(Event::StopAnswered { worker, task, run, answer: Ok(()) });
}

fn count_polls(harness: &Harness) -> usize {
    harness.actions.iter().filter(|action| matches!(action, Action::Poll { .. })).count()
}

#[test]
fn an_unconfirmed_start_is_resolved_by_a_poll_right_after_its_stop() {
    let mut harness = Harness::with_workers(&["a", "b"]);
    harness.submit(vec![step(1, 2)]);
    let order = harness.take_starts().remove(0);
    start_unanswered(&mut harness, &order);
    assert_eq!(harness.take_stops().len(), 1);
    assert_eq!(count_polls(&harness), 0, "the stop is not answered yet");
    stop_answered(&mut harness, &order);
    assert_eq!(count_polls(&harness), 1);
    assert_eq!(harness.take_starts(), Vec::new(), "the run may have existed until the stop");
    harness.advance(ms(1));
    harness.polled(&order.worker, Vec::new(), Vec::new());
    assert_eq!(harness.take_starts().len(), 1, "the run does not exist and can no longer start");
}

#[test]
fn a_stop_of_a_confirmed_run_requests_no_extra_poll() {
    let mut harness = Harness::with_workers(&["a"]);
    harness.submit(vec![step(1, 2)]);
    let order = harness.take_starts().remove(0);
    harness.started(&order);
    harness.send(Event::Cancelled(order.task.job, anonymous()));
    assert_eq!(harness.take_stops().len(), 1);
    stop_answered(&mut harness, &order);
    assert_eq!(count_polls(&harness), 0, "the end of the run completes the pending poll");
}
