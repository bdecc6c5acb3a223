//! Conditions of placement that change with time alone. In a shard in which nothing else happens, no
//! event follows their change: a task that waited for one was never placed.

use std::sync::Arc;
use std::time::Duration;

use crosspath_border::advice::{Answer, StepId};
use crosspath_border::worker::{Error, Running, Started};
use crosspath_job::JobId;
use crosspath_job::record::{Accepted, Advice};
use crosspath_job::spec::Step;
use crosspath_schedule::{Action, Event};

use crate::common::{Harness, JOB, Order, accepted, ms, running, step};

/// Interval between the owner's ticks.
const TICK: Duration = Duration::from_millis(50);

/// Lets time pass without any event but ticks.
fn pass(harness: &mut Harness, time: Duration) {
    let end = harness.now + time;
    while harness.now < end {
        harness.advance(TICK);
    }
}

fn answer(harness: &mut Harness, order: &Order, answer: Result<Started, Error>) {
    harness.send(Event::StartAnswered {
        worker: Arc::clone(&order.worker),
        task: order.task,
        run: order.run,
        answer,
    });
}

fn refuse(harness: &mut Harness, order: &Order) {
    answer(harness, order, Err(Error::Refused { status: 503 }));
}

#[test]
fn a_task_is_placed_once_the_pause_of_the_worker_that_refused_it_is_over() {
    let refusals = [
        Err(Error::Refused { status: 503 }),
        Err(Error::NotReached),
        Ok(Started::Unhealthy),
        Ok(Started::NoRoom),
        Ok(Started::Late),
    ];
    for refusal in refusals {
        let mut harness = Harness::with_workers(&["a"]);
        harness.submit(vec![step(1, 2)]);
        let order = harness.take_starts().remove(0);
        answer(&mut harness, &order, refusal);
        assert_eq!(harness.take_starts(), [], "{refusal:?}: the worker is paused");
        pass(&mut harness, ms(500));
        assert_eq!(harness.take_starts().len(), 1, "{refusal:?}");
    }
}

#[test]
fn a_task_is_placed_once_the_quarantine_of_its_only_worker_is_over() {
    let mut harness = Harness::with_workers(&["a", "b"]);
    harness.submit(vec![Step { long_running: true, max_per_worker: 1, ..step(2, 2) }]);
    let mut starts = harness.take_starts();
    harness.started(&starts.remove(0));
    let mut starts_refused = 0;
    while let Some(order) = starts.pop() {
        refuse(&mut harness, &order);
        starts_refused += 1;
        assert!(starts_refused < 20, "the worker is never quarantined");
        pass(&mut harness, ms(450));
        starts = harness.take_starts();
    }
    pass(&mut harness, ms(10_000));
    assert_eq!(harness.take_starts().len(), 1, "a quarantine lasts for some seconds");
}

#[test]
fn a_gang_whose_start_was_malformed_is_placed_again() {
    let mut harness = Harness::with_workers(&["a"]);
    harness.submit(vec![Step { gang: true, ..step(2, 2) }]);
    for order in harness.take_starts() {
        answer(&mut harness, &order, Ok(Started::Malformed));
    }
    pass(&mut harness, ms(2_000));
    assert_eq!(harness.take_starts().len(), 2);
}

#[test]
fn advice_that_approves_no_free_worker_is_renewed_when_it_expires() {
    let mut harness = Harness::with_workers(&["a"]);
    let job = accepted(vec![step(1, 2)]);
    let advice = Some(Advice { valid_ms: 3_000 });
    harness.send(Event::Accepted(JOB, Arc::new(Accepted { advice, ..(*job).clone() })));
    let step = StepId { job: JOB, occurrence: 0, step: 0 };
    harness.send(Event::Advised {
        step,
        answer: Ok(Answer { approved: Vec::new(), valid_ms: 3_000 }),
    });
    harness.actions.clear();
    pass(&mut harness, ms(3_000));
    let is_request = |action: &&Action| matches!(action, Action::RequestAdvice { .. });
    assert_eq!(harness.actions.iter().filter(is_request).count(), 1);
}

#[test]
fn a_task_is_placed_after_a_pause_during_which_polls_show_only_progress() {
    let mut harness = Harness::with_workers(&["a"]);
    harness.submit(vec![step(1, 2)]);
    let order = harness.take_starts().remove(0);
    harness.started(&order);
    harness.send(Event::Accepted(JobId(7), accepted(vec![step(1, 2)])));
    harness.advance(TICK);
    let second = harness.take_starts().remove(0);
    refuse(&mut harness, &second);
    for percent in 1..4 {
        let row = Running { percent, ..running(order.task, order.run) };
        harness.polled("a", vec![row], Vec::new());
        pass(&mut harness, ms(200));
    }
    assert_eq!(harness.take_starts().len(), 1);
}
