//! Moving tasks off VMs that are to be vacated. Long-running tasks are moved one by one, and only
//! while the others of their step are available.

use std::collections::BTreeSet;

use crosspath_border::worker::{Error, Outcome, Running};
use crosspath_job::record::Record;
use crosspath_job::spec::Step;
use crosspath_schedule::Event;

use crate::common::{Harness, JOB, Order, accepted, committed_records, ended, ms, running, step};

const WORKERS: [&str; 4] = ["a", "b", "c", "d"];

/// Three long-running tasks of a step, each available on a worker of its own; one may be
/// unavailable.
fn harness() -> (Harness, Vec<Order>) {
    let mut harness = Harness::with_workers(&WORKERS);
    let long_running_step =
        Step { long_running: true, max_unavailable: Some(1), max_per_worker: 1, ..step(3, 2) };
    harness.submit(vec![long_running_step]);
    let starts = harness.take_starts();
    assert_eq!(starts.len(), 3);
    for order in &starts {
        harness.started(order);
    }
    poll_all(&mut harness, &starts);
    (harness, starts)
}

/// Has each worker list its runs in a poll reply.
fn poll_all(harness: &mut Harness, runs: &[Order]) {
    for worker in WORKERS {
        let on_worker = runs.iter().filter(|order| *order.worker == *worker);
        let rows = on_worker.map(|order| running(order.task, order.run)).collect();
        harness.polled(worker, rows, Vec::new());
    }
}

fn vacate(harness: &mut Harness, workers: &[&Order]) {
    let vms: BTreeSet<_> =
        workers.iter().map(|order| format!("vm-{}", order.worker).as_str().into()).collect();
    harness.send(Event::Vacate(vms));
}

#[test]
fn one_is_moved_at_a_time() {
    let (mut harness, starts) = harness();
    vacate(&mut harness, &[&starts[0], &starts[1]]);
    assert_eq!(harness.take_stops().len(), 1);
    harness.advance(ms(100));
    assert_eq!(harness.take_stops(), Vec::new(), "one is unavailable already");
}

#[test]
fn none_is_moved_while_another_is_on_a_silent_worker() {
    let (mut harness, starts) = harness();
    let (worker, sent) = (starts[1].worker.clone(), harness.now);
    harness.send(Event::PollFailed { worker, sent, extended: true, error: Error::NoAnswer });
    vacate(&mut harness, &[&starts[0]]);
    harness.advance(ms(100));
    assert_eq!(harness.take_stops(), Vec::new());
}

/// The previous owner may have ordered a stop before it lost the shard. Until the stop is
/// completed, polls list that run as available, so the new owner could stop a second one.
#[test]
fn a_new_owner_moves_none_while_the_previous_owner_may_be_stopping_one() {
    let (previous, starts) = harness();
    let step =
        Step { long_running: true, max_unavailable: Some(1), max_per_worker: 1, ..step(3, 2) };
    let mut records = vec![Record::Accepted(JOB, accepted(vec![step]))];
    records.extend(committed_records(&previous.actions));
    let mut harness = Harness::new(2);
    harness.take_over(records, &WORKERS);
    poll_all(&mut harness, &starts);
    vacate(&mut harness, &[&starts[0], &starts[1]]);
    harness.advance(ms(900));
    assert_eq!(harness.take_stops(), Vec::new());
    poll_all(&mut harness, &starts);
    harness.advance(ms(700));
    assert_eq!(harness.take_stops().len(), 1, "no stop of the previous owner was in flight");
}

#[test]
fn none_is_moved_without_another_available_worker() {
    let (mut harness, starts) = harness();
    let taken: BTreeSet<_> = starts.iter().map(|order| order.worker.to_string()).collect();
    let free = WORKERS.into_iter().find(|worker| !taken.contains(*worker)).expect("a free worker");
    let sent = harness.now;
    harness.send(Event::PollFailed {
        worker: free.into(),
        sent,
        extended: true,
        error: Error::NoAnswer,
    });
    vacate(&mut harness, &[&starts[0]]);
    harness.advance(ms(100));
    assert_eq!(harness.take_stops(), Vec::new());
}

#[test]
fn a_vm_is_not_vacant_before_the_ends_that_its_worker_lists_are_durable() {
    let mut harness = Harness::with_workers(&["a"]);
    harness.submit(vec![step(1, 2)]);
    let order = harness.take_starts().remove(0);
    harness.started(&order);
    harness.auto_commit = false;
    harness.polled("a", Vec::new(), vec![ended(1, order.task, order.run, Outcome::Done)]);
    harness.advance(ms(100));
    assert!(!harness.scheduler.report(harness.now).vms[0].is_vacant());
    harness.send(Event::Committed);
    assert!(harness.scheduler.report(harness.now).vms[0].is_vacant());
}

#[test]
fn a_long_running_task_is_restarted_whatever_its_outcome() {
    for outcome in [Outcome::Done, Outcome::Failed, Outcome::Stopped, Outcome::Lapsed] {
        let (mut harness, starts) = harness();
        let order = &starts[0];
        harness.polled(&order.worker, Vec::new(), vec![ended(1, order.task, order.run, outcome)]);
        harness.advance(ms(100));
        let restarts = harness.take_starts();
        assert_eq!(restarts.len(), 1, "{outcome:?}");
        assert_eq!(restarts[0].task, order.task);
    }
}

/// Whether a task with a checkpoint is stopped on a VM that is to be vacated, `after_ms` after its
/// start and at a progress of `percent`. Its job has an estimate of 4 s and is due after 7 s.
fn is_moved(after_ms: u64, percent: u32) -> bool {
    let mut harness = Harness::with_workers(&["a", "b"]);
    harness.submit(vec![Step { checkpoints: true, estimate_ms: 4_000, ..step(1, 2) }]);
    let order = harness.take_starts().remove(0);
    harness.started(&order);
    harness.advance(ms(after_ms));
    let row =
        Running { percent, checkpoint: Some("half".into()), ..running(order.task, order.run) };
    harness.polled(&order.worker, vec![row], Vec::new());
    harness.send(Event::Vacate([format!("vm-{}", order.worker).into()].into()));
    harness.advance(ms(60));
    !harness.take_stops().is_empty()
}

#[test]
fn a_checkpointed_task_is_moved_unless_that_misses_its_deadline() {
    assert!(is_moved(1_000, 25), "the job has 2 s to spare");
    assert!(!is_moved(2_500, 25), "the job has 0.5 s to spare, and a move takes longer");
    assert!(is_moved(5_000, 25), "the job is late in any case");
}
