//! Parts of a job's specification: order of steps, placement constraints, gangs, advice,
//! repetition, best-effort steps and checkpoints; also cancellation and draining workers.

use std::sync::Arc;

use crosspath_border::advice::{Answer, StepId};
use crosspath_border::worker::{Ended, Entry, Outcome, Running, Started};
use crosspath_job::progress::State;
use crosspath_job::record::{Accepted, Advice};
use crosspath_job::spec::{Repeat, Spec, Step};
use crosspath_schedule::{Action, Event};

use crate::common::{
    Harness, JOB, Order, WALL_MS, accepted, anonymous, ended, entry, ms, running, step, task,
};

fn complete(harness: &mut Harness, number: u64, order: &Order) {
    harness.started(order);
    harness.polled(
        &order.worker,
        Vec::new(),
        vec![ended(number, order.task, order.run, Outcome::Done)],
    );
    harness.advance(ms(50));
}

fn set_labels(harness: &mut Harness, worker: &str, labels: &[&str]) {
    let labels = labels.iter().map(|label| (*label).into()).collect();
    harness.send(Event::WorkerListed(Entry { labels, ..entry(worker) }));
}

#[test]
fn a_step_starts_when_those_before_it_have_ended() {
    let mut harness = Harness::with_workers(&["a"]);
    harness.submit(vec![step(2, 2), Step { after: vec![0], ..step(1, 2) }]);
    let first = harness.take_starts();
    assert!(first.iter().all(|order| order.task.step == 0));
    harness.started(&first[0]);
    harness.started(&first[1]);
    let first_end = ended(1, first[0].task, first[0].run, Outcome::Done);
    harness.polled("a", vec![running(first[1].task, first[1].run)], vec![first_end]);
    assert_eq!(harness.take_starts(), Vec::new());
    harness.polled("a", Vec::new(), vec![ended(2, first[1].task, first[1].run, Outcome::Done)]);
    harness.advance(ms(50));
    let second = harness.take_starts().remove(0);
    assert_eq!(second.task, task(1, 0));
    complete(&mut harness, 3, &second);
    assert_eq!(harness.scheduler.state(JOB), Some(State::Completed));
}

#[test]
fn a_job_is_completed_only_once_the_record_is_durable() {
    let mut harness = Harness::with_workers(&["a"]);
    harness.submit(vec![step(1, 2)]);
    let order = harness.take_starts().remove(0);
    harness.auto_commit = false;
    complete(&mut harness, 1, &order);
    harness.advance(ms(100));
    assert_eq!(harness.scheduler.state(JOB), Some(State::Running));
    harness.send(Event::Committed);
    assert_eq!(harness.scheduler.state(JOB), Some(State::Completed));
}

#[test]
fn a_task_waits_for_a_worker_with_its_required_label() {
    let mut harness = Harness::with_workers(&["a"]);
    harness.submit(vec![Step { requires: Some("gold".into()), ..step(1, 2) }]);
    harness.advance(ms(100));
    assert_eq!(harness.take_starts(), Vec::new());
    set_labels(&mut harness, "a", &["gold", "r1"]);
    harness.advance(ms(100));
    assert_eq!(harness.take_starts().len(), 1);
}

#[test]
fn tasks_start_in_their_preferred_rack() {
    let mut harness = Harness::with_workers(&["a", "b"]);
    set_labels(&mut harness, "a", &["k", "r1"]);
    set_labels(&mut harness, "b", &["k", "r2"]);
    harness.submit(vec![Step { preferred_rack: Some("r2".into()), ..step(3, 2) }]);
    assert!(harness.take_starts().iter().all(|order| &*order.worker == "b"));
}

#[test]
fn a_worker_gets_at_most_max_per_worker_tasks_of_a_step() {
    let mut harness = Harness::with_workers(&["a", "b"]);
    harness.submit(vec![Step { max_per_worker: 1, ..step(3, 2) }]);
    let starts = harness.take_starts();
    assert_eq!(starts.len(), 2);
    assert_ne!(starts[0].worker, starts[1].worker);
}

#[test]
fn a_worker_is_never_filled_beyond_its_capacity() {
    let mut harness = Harness::with_workers(&["a"]);
    harness.submit(vec![step(5, 10)]);
    assert_eq!(harness.take_starts().len(), 3, "32 cores fit three tasks of 10");
}

#[test]
fn a_gang_starts_whole_with_one_run_number_or_not_at_all() {
    let mut harness = Harness::with_workers(&["a"]);
    harness.submit(vec![Step { gang: true, ..step(4, 10) }]);
    harness.advance(ms(100));
    assert_eq!(harness.take_starts(), Vec::new());
    harness.send(Event::WorkerListed(entry("b")));
    harness.polled("b", Vec::new(), Vec::new());
    let starts = harness.take_starts();
    assert_eq!(starts.len(), 4);
    assert!(starts.iter().all(|order| order.run == starts[0].run));
}

#[test]
fn one_successful_end_completes_its_gang() {
    let mut harness = Harness::with_workers(&["a"]);
    harness.submit(vec![Step { gang: true, ..step(3, 2) }]);
    let starts = harness.take_starts();
    for order in &starts {
        harness.started(order);
    }
    let ends = (1..).zip(&starts).map(|(n, order)| ended(n, order.task, order.run, Outcome::Done));
    harness.polled("a", Vec::new(), ends.take(1).collect());
    harness.advance(ms(100));
    assert_eq!(harness.scheduler.state(JOB), Some(State::Completed));
}

#[test]
fn a_broken_gang_restarts_with_one_run_number_and_one_checkpoint() {
    let mut harness = Harness::with_workers(&["a"]);
    harness.submit(vec![Step { gang: true, checkpoints: true, ..step(2, 2) }]);
    let starts = harness.take_starts();
    for order in &starts {
        harness.started(order);
    }
    let checkpoint_data = Some(Arc::from("00ff"));
    let end = |number, order: &Order, outcome, checkpoint| Ended {
        checkpoint,
        ..ended(number, order.task, order.run, outcome)
    };
    let ends = vec![
        end(1, &starts[0], Outcome::Failed, None),
        end(2, &starts[1], Outcome::Broken, checkpoint_data.clone()),
    ];
    harness.polled("a", Vec::new(), ends);
    harness.advance(ms(3_000));
    let mut checkpoints = Vec::new();
    let mut runs = Vec::new();
    for action in &harness.actions {
        if let Action::Start { checkpoint, run, .. } = action {
            checkpoints.push(checkpoint.clone());
            runs.push(*run);
        }
    }
    assert_eq!(checkpoints, [checkpoint_data.clone(), checkpoint_data]);
    assert_eq!(runs[0], runs[1]);
}

#[test]
fn a_stopped_run_resumes_from_its_checkpoint() {
    let mut harness = Harness::with_workers(&["a"]);
    harness.submit(vec![Step { checkpoints: true, ..step(1, 2) }]);
    let order = harness.take_starts().remove(0);
    harness.started(&order);
    let stopped = Ended {
        checkpoint: Some("00ff".into()),
        ..ended(1, order.task, order.run, Outcome::Stopped)
    };
    harness.polled("a", Vec::new(), vec![stopped]);
    harness.advance(ms(100));
    let restored = harness.actions.iter().find_map(|action| match action {
        Action::Start { checkpoint, .. } => checkpoint.clone(),
        _ => None,
    });
    assert_eq!(restored.as_deref(), Some("00ff"));
}

#[test]
fn a_step_with_advice_starts_only_where_a_ticket_allows_it() {
    let mut harness = Harness::with_workers(&["a", "b"]);
    let job = Accepted {
        advice: Some(Advice { valid_ms: 3_000 }),
        ..(*accepted(vec![step(2, 2)])).clone()
    };
    harness.send(Event::Accepted(JOB, Arc::new(job)));
    assert_eq!(harness.take_starts(), Vec::new());
    let requested =
        harness.actions.iter().any(|action| matches!(action, Action::RequestAdvice { .. }));
    assert!(requested);
    let answer = Answer { approved: vec![("b".into(), "ticket".into())], valid_ms: 3_000 };
    let id = StepId { job: JOB, occurrence: 0, step: 0 };
    harness.send(Event::Advised { step: id, answer: Ok(answer) });
    let tickets = harness.actions.iter().filter_map(|action| match action {
        Action::Start { worker, ticket, .. } => Some((&*worker.id, ticket.as_deref())),
        _ => None,
    });
    assert_eq!(tickets.collect::<Vec<_>>(), [("b", Some("ticket")); 2]);
}

#[test]
fn a_refused_ticket_is_requested_again() {
    let mut harness = Harness::with_workers(&["a"]);
    let job = Accepted {
        advice: Some(Advice { valid_ms: 3_000 }),
        ..(*accepted(vec![step(1, 2)])).clone()
    };
    harness.send(Event::Accepted(JOB, Arc::new(job)));
    let id = StepId { job: JOB, occurrence: 0, step: 0 };
    let answer = Answer { approved: vec![("a".into(), "old".into())], valid_ms: 3_000 };
    harness.send(Event::Advised { step: id, answer: Ok(answer) });
    let order = harness.take_starts().remove(0);
    harness.actions.clear();
    harness.send(Event::StartAnswered {
        worker: order.worker,
        task: order.task,
        run: order.run,
        answer: Ok(Started::Ticket),
    });
    harness.advance(ms(1_000));
    assert!(harness.actions.iter().any(|action| matches!(action, Action::RequestAdvice { .. })));
    assert_eq!(harness.take_starts(), Vec::new());
}

fn repeated(count: u32, first_ms: u64, every_ms: u64) -> Arc<Accepted> {
    let job = accepted(vec![step(1, 2)]);
    let repeat = Some(Repeat { count, first_ms, every_ms });
    Arc::new(Accepted { spec: Spec { repeat, ..job.spec.clone() }, ..(*job).clone() })
}

#[test]
fn occurrences_start_when_due_and_all_must_end() {
    let mut harness = Harness::with_workers(&["a"]);
    harness.send(Event::Accepted(JOB, repeated(2, WALL_MS + 1_000, 2_000)));
    assert_eq!(harness.take_starts(), Vec::new());
    for (number, wall_ms) in [(1, WALL_MS + 1_000), (2, WALL_MS + 3_000)] {
        harness.now += ms(2_000);
        harness.scheduler.handle(harness.now, wall_ms, Event::Tick);
        harness.decide();
        let starts = harness.take_starts();
        assert_eq!(starts.len(), 1, "occurrence {number}");
        assert_eq!(u64::from(starts[0].task.occurrence) + 1, number);
        complete(&mut harness, number, &starts[0]);
        let is_completed = harness.scheduler.state(JOB) == Some(State::Completed);
        assert_eq!(is_completed, number == 2);
    }
}

#[test]
fn best_effort_tasks_are_throttled_when_tail_latency_nears_its_target_and_speed_up_again() {
    let mut harness = Harness::with_workers(&["a"]);
    let serving = Step { long_running: true, tail_target_ms: 100, ..step(1, 2) };
    let background = Step { long_running: true, best_effort: true, ..step(1, 2) };
    harness.submit(vec![serving, background]);
    let starts = harness.take_starts();
    for order in &starts {
        harness.started(order);
    }
    let poll = |harness: &mut Harness, tail: u64| {
        let rows = starts.iter().map(|order| {
            let gauge = if order.task.step == 0 { tail } else { 0 };
            Running { gauge, ..running(order.task, order.run) }
        });
        let rows = rows.collect();
        harness.polled("a", rows, Vec::new());
        harness.advance(ms(100));
    };
    let speeds = |harness: &Harness| -> Vec<u32> {
        let speeds = harness.actions.iter().filter_map(|action| match action {
            Action::Throttle { percent, .. } => Some(*percent),
            _ => None,
        });
        speeds.collect()
    };
    poll(&mut harness, 95);
    let throttled = speeds(&harness);
    assert!(throttled.last().is_some_and(|percent| *percent < 50), "{throttled:?}");
    for _ in 0..40 {
        poll(&mut harness, 20);
    }
    assert_eq!(speeds(&harness).last(), Some(&100));
    assert!(
        speeds(&harness).iter().filter(|percent| **percent == 100).count() == 1,
        "full speed is ordered once"
    );
}

#[test]
fn a_cancelled_job_stops_and_starts_nothing_more() {
    let mut harness = Harness::with_workers(&["a"]);
    harness.submit(vec![step(2, 2), Step { after: vec![0], ..step(1, 2) }]);
    let starts = harness.take_starts();
    harness.started(&starts[0]);
    harness.send(Event::Cancelled(JOB, anonymous()));
    assert_eq!(harness.take_stops().len(), 2);
    harness.advance(ms(5_000));
    assert_eq!(harness.take_starts(), Vec::new());
    assert_eq!(harness.scheduler.state(JOB), Some(State::Cancelled));
}

#[test]
fn a_cancel_that_precedes_its_job_applies() {
    let mut harness = Harness::with_workers(&["a"]);
    harness.send(Event::Cancelled(JOB, anonymous()));
    harness.submit(vec![step(1, 2)]);
    harness.advance(ms(100));
    assert_eq!(harness.take_starts(), Vec::new());
    assert_eq!(harness.scheduler.state(JOB), Some(State::Cancelled));
}

#[test]
fn a_draining_worker_gets_no_new_task() {
    let mut harness = Harness::with_workers(&["a"]);
    harness.send(Event::WorkerListed(Entry { draining: true, ..entry("a") }));
    harness.submit(vec![step(1, 2)]);
    harness.advance(ms(100));
    assert_eq!(harness.take_starts(), Vec::new());
}
