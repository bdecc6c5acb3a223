//! Every part of a job's form: order of steps, places, gangs, advice, times, fill work, checkpoints.

use std::sync::Arc;

use crosspath_border::advice::{Answer, StepId};
use crosspath_border::worker::{Ended, Entry, Outcome, Running, Started};
use crosspath_job::progress::State;
use crosspath_job::record::{Accepted, Advice};
use crosspath_job::spec::{Repeat, Spec, Step};
use crosspath_schedule::{Action, Event};

use crate::common::{
    Bed, JOB, Ordered, WALL_MS, accepted, anyone, ended, entry, ms, running, step, task,
};

fn done(bed: &mut Bed, number: u64, order: &Ordered) {
    bed.started(order);
    bed.held(&order.worker, Vec::new(), vec![ended(number, order.task, order.run, Outcome::Done)]);
    bed.pass(ms(50));
}

fn with_labels(bed: &mut Bed, worker: &str, labels: &[&str]) {
    let labels = labels.iter().map(|label| (*label).into()).collect();
    bed.send(Event::WorkerListed(Entry { labels, ..entry(worker) }));
}

#[test]
fn a_step_starts_when_those_before_it_have_ended() {
    let mut bed = Bed::with_workers(&["a"]);
    bed.submit(vec![step(2, 2), Step { after: vec![0], ..step(1, 2) }]);
    let first = bed.starts();
    assert!(first.iter().all(|order| order.task.step == 0));
    bed.started(&first[0]);
    bed.started(&first[1]);
    let one = ended(1, first[0].task, first[0].run, Outcome::Done);
    bed.held("a", vec![running(first[1].task, first[1].run)], vec![one]);
    assert_eq!(bed.starts(), Vec::new());
    bed.held("a", Vec::new(), vec![ended(2, first[1].task, first[1].run, Outcome::Done)]);
    bed.pass(ms(50));
    let second = bed.starts().remove(0);
    assert_eq!(second.task, task(1, 0));
    done(&mut bed, 3, &second);
    assert_eq!(bed.scheduler.state(JOB), Some(State::Completed));
}

#[test]
fn a_job_is_shown_as_completed_only_once_that_is_kept() {
    let mut bed = Bed::with_workers(&["a"]);
    bed.submit(vec![step(1, 2)]);
    let order = bed.starts().remove(0);
    bed.keeps = false;
    done(&mut bed, 1, &order);
    bed.pass(ms(100));
    assert_eq!(bed.scheduler.state(JOB), Some(State::Running));
    bed.send(Event::Committed);
    assert_eq!(bed.scheduler.state(JOB), Some(State::Completed));
}

#[test]
fn a_required_label_is_waited_for() {
    let mut bed = Bed::with_workers(&["a"]);
    bed.submit(vec![Step { requires: Some("gold".into()), ..step(1, 2) }]);
    bed.pass(ms(100));
    assert_eq!(bed.starts(), Vec::new());
    with_labels(&mut bed, "a", &["gold", "r1"]);
    bed.pass(ms(100));
    assert_eq!(bed.starts().len(), 1);
}

#[test]
fn work_goes_near_its_data() {
    let mut bed = Bed::with_workers(&["a", "b"]);
    with_labels(&mut bed, "a", &["k", "r1"]);
    with_labels(&mut bed, "b", &["k", "r2"]);
    bed.submit(vec![Step { preferred_rack: Some("r2".into()), ..step(3, 2) }]);
    assert!(bed.starts().iter().all(|order| &*order.worker == "b"));
}

#[test]
fn a_worker_holds_at_most_so_many_tasks_of_a_step() {
    let mut bed = Bed::with_workers(&["a", "b"]);
    bed.submit(vec![Step { max_per_worker: 1, ..step(3, 2) }]);
    let starts = bed.starts();
    assert_eq!(starts.len(), 2);
    assert_ne!(starts[0].worker, starts[1].worker);
}

#[test]
fn a_worker_is_never_filled_past_what_it_has() {
    let mut bed = Bed::with_workers(&["a"]);
    bed.submit(vec![step(5, 10)]);
    assert_eq!(bed.starts().len(), 3, "32 cores hold three tasks of 10");
}

#[test]
fn a_gang_starts_whole_with_one_run_number_or_not_at_all() {
    let mut bed = Bed::with_workers(&["a"]);
    bed.submit(vec![Step { gang: true, ..step(4, 10) }]);
    bed.pass(ms(100));
    assert_eq!(bed.starts(), Vec::new());
    bed.send(Event::WorkerListed(entry("b")));
    bed.held("b", Vec::new(), Vec::new());
    let starts = bed.starts();
    assert_eq!(starts.len(), 4);
    assert!(starts.iter().all(|order| order.run == starts[0].run));
}

#[test]
fn one_good_end_stands_for_its_gang() {
    let mut bed = Bed::with_workers(&["a"]);
    bed.submit(vec![Step { gang: true, ..step(3, 2) }]);
    let starts = bed.starts();
    for order in &starts {
        bed.started(order);
    }
    let ends = (1..).zip(&starts).map(|(n, order)| ended(n, order.task, order.run, Outcome::Done));
    bed.held("a", Vec::new(), ends.take(1).collect());
    bed.pass(ms(100));
    assert_eq!(bed.scheduler.state(JOB), Some(State::Completed));
}

#[test]
fn a_broken_gang_starts_anew_with_one_number_and_one_checkpoint() {
    let mut bed = Bed::with_workers(&["a"]);
    bed.submit(vec![Step { gang: true, checkpoints: true, ..step(2, 2) }]);
    let starts = bed.starts();
    for order in &starts {
        bed.started(order);
    }
    let saved = Some(Arc::from("00ff"));
    let end = |number, order: &Ordered, how, checkpoint| Ended {
        checkpoint,
        ..ended(number, order.task, order.run, how)
    };
    let ends = vec![
        end(1, &starts[0], Outcome::Failed, None),
        end(2, &starts[1], Outcome::Broken, saved.clone()),
    ];
    bed.held("a", Vec::new(), ends);
    bed.pass(ms(3_000));
    let mut checkpoints = Vec::new();
    let mut runs = Vec::new();
    for action in &bed.actions {
        if let Action::Start { checkpoint, run, .. } = action {
            checkpoints.push(checkpoint.clone());
            runs.push(*run);
        }
    }
    assert_eq!(checkpoints, [saved.clone(), saved]);
    assert_eq!(runs[0], runs[1]);
}

#[test]
fn a_stopped_run_goes_on_from_its_checkpoint() {
    let mut bed = Bed::with_workers(&["a"]);
    bed.submit(vec![Step { checkpoints: true, ..step(1, 2) }]);
    let order = bed.starts().remove(0);
    bed.started(&order);
    let stopped = Ended {
        checkpoint: Some("00ff".into()),
        ..ended(1, order.task, order.run, Outcome::Stopped)
    };
    bed.held("a", Vec::new(), vec![stopped]);
    bed.pass(ms(100));
    let carried = bed.actions.iter().find_map(|action| match action {
        Action::Start { checkpoint, .. } => checkpoint.clone(),
        _ => None,
    });
    assert_eq!(carried.as_deref(), Some("00ff"));
}

#[test]
fn a_step_with_advice_starts_only_where_a_ticket_allows_it() {
    let mut bed = Bed::with_workers(&["a", "b"]);
    let job = Accepted {
        advice: Some(Advice { valid_ms: 3_000 }),
        ..(*accepted(vec![step(2, 2)])).clone()
    };
    bed.send(Event::Accepted(JOB, Arc::new(job)));
    assert_eq!(bed.starts(), Vec::new());
    let asked = bed.actions.iter().any(|action| matches!(action, Action::RequestAdvice { .. }));
    assert!(asked);
    let answer = Answer { approved: vec![("b".into(), "ticket".into())], valid_ms: 3_000 };
    let id = StepId { job: JOB, occurrence: 0, step: 0 };
    bed.send(Event::Advised { step: id, answer: Ok(answer) });
    let tickets = bed.actions.iter().filter_map(|action| match action {
        Action::Start { worker, ticket, .. } => Some((&*worker.id, ticket.as_deref())),
        _ => None,
    });
    assert_eq!(tickets.collect::<Vec<_>>(), [("b", Some("ticket")); 2]);
}

#[test]
fn a_refused_ticket_is_asked_for_anew() {
    let mut bed = Bed::with_workers(&["a"]);
    let job = Accepted {
        advice: Some(Advice { valid_ms: 3_000 }),
        ..(*accepted(vec![step(1, 2)])).clone()
    };
    bed.send(Event::Accepted(JOB, Arc::new(job)));
    let id = StepId { job: JOB, occurrence: 0, step: 0 };
    let answer = Answer { approved: vec![("a".into(), "old".into())], valid_ms: 3_000 };
    bed.send(Event::Advised { step: id, answer: Ok(answer) });
    let order = bed.starts().remove(0);
    bed.actions.clear();
    bed.send(Event::StartAnswered {
        worker: order.worker,
        task: order.task,
        run: order.run,
        answer: Ok(Started::Ticket),
    });
    bed.pass(ms(1_000));
    assert!(bed.actions.iter().any(|action| matches!(action, Action::RequestAdvice { .. })));
    assert_eq!(bed.starts(), Vec::new());
}

fn repeated(count: u32, first_ms: u64, every_ms: u64) -> Arc<Accepted> {
    let job = accepted(vec![step(1, 2)]);
    let repeat = Some(Repeat { count, first_ms, every_ms });
    Arc::new(Accepted { spec: Spec { repeat, ..job.spec.clone() }, ..(*job).clone() })
}

#[test]
fn times_start_when_they_are_due_and_all_must_end() {
    let mut bed = Bed::with_workers(&["a"]);
    bed.send(Event::Accepted(JOB, repeated(2, WALL_MS + 1_000, 2_000)));
    assert_eq!(bed.starts(), Vec::new());
    for (number, wall_ms) in [(1, WALL_MS + 1_000), (2, WALL_MS + 3_000)] {
        bed.now += ms(2_000);
        bed.scheduler.handle(bed.now, wall_ms, Event::Tick);
        bed.decide();
        let starts = bed.starts();
        assert_eq!(starts.len(), 1, "time {number}");
        assert_eq!(u64::from(starts[0].task.occurrence) + 1, number);
        done(&mut bed, number, &starts[0]);
        let over = bed.scheduler.state(JOB) == Some(State::Completed);
        assert_eq!(over, number == 2);
    }
}

#[test]
fn fill_work_is_slowed_when_a_tail_nears_its_target_and_speeds_up_again() {
    let mut bed = Bed::with_workers(&["a"]);
    let serving = Step { long_running: true, tail_target_ms: 100, ..step(1, 2) };
    let filler = Step { long_running: true, best_effort: true, ..step(1, 2) };
    bed.submit(vec![serving, filler]);
    let starts = bed.starts();
    for order in &starts {
        bed.started(order);
    }
    let show = |bed: &mut Bed, tail: u64| {
        let rows = starts.iter().map(|order| {
            let gauge = if order.task.step == 0 { tail } else { 0 };
            Running { gauge, ..running(order.task, order.run) }
        });
        let rows = rows.collect();
        bed.held("a", rows, Vec::new());
        bed.pass(ms(100));
    };
    let paces = |bed: &Bed| -> Vec<u32> {
        let paces = bed.actions.iter().filter_map(|action| match action {
            Action::Throttle { percent, .. } => Some(*percent),
            _ => None,
        });
        paces.collect()
    };
    show(&mut bed, 95);
    let slowed = paces(&bed);
    assert!(slowed.last().is_some_and(|percent| *percent < 50), "{slowed:?}");
    for _ in 0..40 {
        show(&mut bed, 20);
    }
    assert_eq!(paces(&bed).last(), Some(&100));
    assert!(paces(&bed).iter().filter(|percent| **percent == 100).count() == 1, "stays there");
}

#[test]
fn a_cancelled_job_stops_and_starts_nothing_more() {
    let mut bed = Bed::with_workers(&["a"]);
    bed.submit(vec![step(2, 2), Step { after: vec![0], ..step(1, 2) }]);
    let starts = bed.starts();
    bed.started(&starts[0]);
    bed.send(Event::Cancelled(JOB, anyone()));
    assert_eq!(bed.stops().len(), 2);
    bed.pass(ms(5_000));
    assert_eq!(bed.starts(), Vec::new());
    assert_eq!(bed.scheduler.state(JOB), Some(State::Cancelled));
}

#[test]
fn a_cancel_that_comes_before_its_job_holds() {
    let mut bed = Bed::with_workers(&["a"]);
    bed.send(Event::Cancelled(JOB, anyone()));
    bed.submit(vec![step(1, 2)]);
    bed.pass(ms(100));
    assert_eq!(bed.starts(), Vec::new());
    assert_eq!(bed.scheduler.state(JOB), Some(State::Cancelled));
}

#[test]
fn a_draining_worker_gets_nothing_new() {
    let mut bed = Bed::with_workers(&["a"]);
    bed.send(Event::WorkerListed(Entry { draining: true, ..entry("a") }));
    bed.submit(vec![step(1, 2)]);
    bed.pass(ms(100));
    assert_eq!(bed.starts(), Vec::new());
}
