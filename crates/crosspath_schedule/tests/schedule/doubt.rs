//! Orders without an answer: how soon a task goes on elsewhere.

use std::sync::Arc;

use crosspath_border::worker::Error;
use crosspath_schedule::{Action, Event};

use crate::common::{Bed, Ordered, anyone, ms, step};

fn unanswered(bed: &mut Bed, order: &Ordered) {
    bed.pass(ms(300));
    let (worker, task, run) = (Arc::clone(&order.worker), order.task, order.run);
    bed.send(Event::StartAnswered { worker, task, run, answer: Err(Error::NoAnswer) });
}

fn stop_answered(bed: &mut Bed, order: &Ordered) {
    let (worker, task, run) = (Arc::clone(&order.worker), order.task, order.run);
    bed.send(Event::StopAnswered { worker, task, run, answer: Ok(()) });
}

fn looks(bed: &Bed) -> usize {
    bed.actions.iter().filter(|action| matches!(action, Action::Poll { .. })).count()
}

#[test]
fn a_start_in_doubt_is_settled_by_a_look_right_after_its_stop() {
    let mut bed = Bed::with_workers(&["a", "b"]);
    bed.submit(vec![step(1, 2)]);
    let order = bed.starts().remove(0);
    unanswered(&mut bed, &order);
    assert_eq!(bed.stops().len(), 1);
    assert_eq!(looks(&bed), 0, "the stop is not answered yet");
    stop_answered(&mut bed, &order);
    assert_eq!(looks(&bed), 1);
    assert_eq!(bed.starts(), Vec::new(), "the run may have been there when it was stopped");
    bed.pass(ms(1));
    bed.held(&order.worker, Vec::new(), Vec::new());
    assert_eq!(bed.starts().len(), 1, "nothing is there, and never will be");
}

#[test]
fn a_stop_that_was_wanted_asks_for_no_further_look() {
    let mut bed = Bed::with_workers(&["a"]);
    bed.submit(vec![step(1, 2)]);
    let order = bed.starts().remove(0);
    bed.started(&order);
    bed.send(Event::Cancelled(order.task.job, anyone()));
    assert_eq!(bed.stops().len(), 1);
    stop_answered(&mut bed, &order);
    assert_eq!(looks(&bed), 0, "the worker lists the end, which ends the look that waits");
}
