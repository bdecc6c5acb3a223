//! Lasting tasks: moved one by one, and only while the others are at work.

use std::collections::BTreeSet;

use crosspath_border::worker::{Error, Outcome, Running};
use crosspath_job::record::Record;
use crosspath_job::spec::Step;
use crosspath_schedule::Event;

use crate::common::{Bed, JOB, Ordered, accepted, ended, kept, ms, running, step};

const WORKERS: [&str; 4] = ["a", "b", "c", "d"];

/// Three tasks of which one may be away, each on a worker of its own, at work.
fn bed() -> (Bed, Vec<Ordered>) {
    let mut bed = Bed::with_workers(&WORKERS);
    let lasting =
        Step { long_running: true, max_unavailable: Some(1), max_per_worker: 1, ..step(3, 2) };
    bed.submit(vec![lasting]);
    let starts = bed.starts();
    assert_eq!(starts.len(), 3);
    for order in &starts {
        bed.started(order);
    }
    show(&mut bed, &starts);
    (bed, starts)
}

/// Each worker shows what runs there.
fn show(bed: &mut Bed, runs: &[Ordered]) {
    for worker in WORKERS {
        let there = runs.iter().filter(|order| *order.worker == *worker);
        let rows = there.map(|order| running(order.task, order.run)).collect();
        bed.held(worker, rows, Vec::new());
    }
}

fn vacate(bed: &mut Bed, workers: &[&Ordered]) {
    let vms: BTreeSet<_> =
        workers.iter().map(|order| format!("vm-{}", order.worker).as_str().into()).collect();
    bed.send(Event::Vacate(vms));
}

#[test]
fn one_is_moved_at_a_time() {
    let (mut bed, starts) = bed();
    vacate(&mut bed, &[&starts[0], &starts[1]]);
    assert_eq!(bed.stops().len(), 1);
    bed.pass(ms(100));
    assert_eq!(bed.stops(), Vec::new(), "one is away already");
}

#[test]
fn none_is_moved_while_another_is_on_a_silent_worker() {
    let (mut bed, starts) = bed();
    let (worker, sent) = (starts[1].worker.clone(), bed.now);
    bed.send(Event::PollFailed { worker, sent, extended: true, error: Error::NoAnswer });
    vacate(&mut bed, &[&starts[0]]);
    bed.pass(ms(100));
    assert_eq!(bed.stops(), Vec::new());
}

/// The owner before has ordered a stop and lost the shard: the run is shown as at work until its stop is through.
#[test]
fn a_new_owner_moves_none_while_one_may_be_stopped_by_the_owner_before() {
    let (before, starts) = bed();
    let step =
        Step { long_running: true, max_unavailable: Some(1), max_per_worker: 1, ..step(3, 2) };
    let mut records = vec![Record::Accepted(JOB, accepted(vec![step]))];
    records.extend(kept(&before.actions));
    let mut bed = Bed::new(2);
    bed.take_over(records, &WORKERS);
    show(&mut bed, &starts);
    vacate(&mut bed, &[&starts[0], &starts[1]]);
    bed.pass(ms(900));
    assert_eq!(bed.stops(), Vec::new());
    show(&mut bed, &starts);
    bed.pass(ms(700));
    assert_eq!(bed.stops().len(), 1, "no stop was under way");
}

#[test]
fn none_is_moved_without_a_place_to_go() {
    let (mut bed, starts) = bed();
    let taken: BTreeSet<_> = starts.iter().map(|order| order.worker.to_string()).collect();
    let free = WORKERS.into_iter().find(|worker| !taken.contains(*worker)).expect("a free worker");
    let sent = bed.now;
    bed.send(Event::PollFailed {
        worker: free.into(),
        sent,
        extended: true,
        error: Error::NoAnswer,
    });
    vacate(&mut bed, &[&starts[0]]);
    bed.pass(ms(100));
    assert_eq!(bed.stops(), Vec::new());
}

#[test]
fn a_vm_is_not_vacant_before_the_ends_that_its_worker_lists_are_kept() {
    let mut bed = Bed::with_workers(&["a"]);
    bed.submit(vec![step(1, 2)]);
    let order = bed.starts().remove(0);
    bed.started(&order);
    bed.keeps = false;
    bed.held("a", Vec::new(), vec![ended(1, order.task, order.run, Outcome::Done)]);
    bed.pass(ms(100));
    assert!(!bed.scheduler.report(bed.now).vms[0].is_vacant());
    bed.send(Event::Committed);
    assert!(bed.scheduler.report(bed.now).vms[0].is_vacant());
}

#[test]
fn one_that_ended_in_any_way_is_started_again() {
    for how in [Outcome::Done, Outcome::Failed, Outcome::Stopped, Outcome::Lapsed] {
        let (mut bed, starts) = bed();
        let order = &starts[0];
        bed.held(&order.worker, Vec::new(), vec![ended(1, order.task, order.run, how)]);
        bed.pass(ms(100));
        let again = bed.starts();
        assert_eq!(again.len(), 1, "{how:?}");
        assert_eq!(again[0].task, order.task);
    }
}

/// Whether a checkpointed task of a job with an estimate of 4 s, that is due after 7 s, is stopped on a
/// VM that is to leave, `after_ms` from its start and at `percent`.
fn is_moved(after_ms: u64, percent: u32) -> bool {
    let mut bed = Bed::with_workers(&["a", "b"]);
    bed.submit(vec![Step { checkpoints: true, estimate_ms: 4_000, ..step(1, 2) }]);
    let order = bed.starts().remove(0);
    bed.started(&order);
    bed.pass(ms(after_ms));
    let row =
        Running { percent, checkpoint: Some("half".into()), ..running(order.task, order.run) };
    bed.held(&order.worker, vec![row], Vec::new());
    bed.send(Event::Vacate([format!("vm-{}", order.worker).into()].into()));
    bed.pass(ms(60));
    !bed.stops().is_empty()
}

#[test]
fn a_checkpointed_task_is_moved_where_its_job_can_afford_it() {
    assert!(is_moved(1_000, 25), "2 s to spare");
    assert!(!is_moved(2_500, 25), "half a second to spare, and a move takes longer");
    assert!(is_moved(5_000, 25), "late in any case");
}
