//! Data centres that get no new work: what is started there, what goes on there, what leaves.

use std::collections::BTreeSet;
use std::sync::Arc;

use crosspath_border::worker::{Entry, Outcome};
use crosspath_job::spec::Step;
use crosspath_schedule::Event;

use crate::common::{Bed, ended, entry, ms, running, step, task};

fn evacuated(names: &[&str]) -> Event {
    Event::Evacuated(Arc::new(names.iter().map(|name| Arc::from(*name)).collect()))
}

/// Two workers of one data centre and one of another.
fn bed() -> Bed {
    let mut bed = Bed::with_workers(&["a1", "a2"]);
    bed.send(Event::WorkerListed(Entry { data_centre: "b".into(), ..entry("b1") }));
    bed.held("b1", Vec::new(), Vec::new());
    bed
}

#[test]
fn nothing_starts_in_an_evacuated_data_centre_until_it_is_taken_back() {
    let mut bed = bed();
    bed.send(evacuated(&["a"]));
    bed.submit(vec![step(3, 20)]);
    let starts = bed.starts();
    assert_eq!(starts.len(), 1, "32 cores hold one of them");
    assert_eq!(&*starts[0].worker, "b1");
    bed.pass(ms(10_000));
    assert!(bed.starts().is_empty());
    bed.send(evacuated(&[]));
    assert_eq!(bed.starts().len(), 2);
}

/// The place of a run was being kept when its data centre was evacuated.
#[test]
fn a_run_whose_place_was_chosen_before_starts_elsewhere() {
    let mut bed = bed();
    bed.send(evacuated(&["b"]));
    bed.keeps = false;
    bed.submit(vec![step(1, 20)]);
    bed.pass(ms(50));
    assert!(bed.starts().is_empty(), "its place is not kept yet");
    bed.send(evacuated(&["a"]));
    bed.keeps = true;
    bed.send(Event::Committed);
    bed.pass(ms(50));
    let starts = bed.starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(&*starts[0].worker, "b1");
}

#[test]
fn what_runs_there_ends_there_and_counts() {
    let mut bed = bed();
    bed.submit(vec![step(1, 20)]);
    let order = bed.starts().remove(0);
    bed.started(&order);
    bed.send(evacuated(&["a", "b"]));
    bed.held(&order.worker, vec![running(order.task, order.run)], Vec::new());
    bed.pass(ms(1_000));
    assert!(bed.stops().is_empty(), "it has no checkpoint to go on from");
    bed.held(&order.worker, Vec::new(), vec![ended(1, order.task, order.run, Outcome::Done)]);
    bed.pass(ms(100));
    assert!(bed.starts().is_empty());
}

/// Lasting tasks leave one by one, as many as their step may miss, and only where there is room.
#[test]
fn lasting_tasks_leave_within_their_budget() {
    let mut bed = Bed::with_workers(&["a1", "a2"]);
    bed.submit(vec![Step {
        long_running: true,
        max_per_worker: 1,
        max_unavailable: Some(1),
        ..step(2, 4)
    }]);
    for order in bed.starts() {
        bed.started(&order);
        bed.held(&order.worker, vec![running(order.task, order.run)], Vec::new());
    }
    bed.pass(ms(100));
    bed.send(evacuated(&["a"]));
    bed.pass(ms(1_000));
    assert!(bed.stops().is_empty(), "there is nowhere to go");
    for id in ["b1", "b2"] {
        bed.send(Event::WorkerListed(Entry { data_centre: "b".into(), ..entry(id) }));
        bed.held(id, Vec::new(), Vec::new());
    }
    bed.pass(ms(100));
    assert_eq!(bed.stops().len(), 1);
}

#[test]
fn the_fleet_hears_that_workers_there_take_no_work() {
    let mut bed = bed();
    bed.send(evacuated(&["a"]));
    let usable: BTreeSet<_> = bed
        .scheduler
        .report(bed.now)
        .vms
        .into_iter()
        .filter(|vm| vm.usable)
        .collect::<Vec<_>>()
        .into_iter()
        .map(|vm| vm.name)
        .collect();
    assert_eq!(usable, BTreeSet::from(["vm-b1".into()]));
}

/// An owner that has not heard for long whether something is evacuated starts nothing, and goes on with what runs.
#[test]
fn nothing_starts_while_what_is_evacuated_may_be_old() {
    let mut bed = bed();
    bed.submit(vec![step(1, 20)]);
    let order = bed.starts().remove(0);
    bed.started(&order);
    bed.send(Event::MayStart(false));
    bed.keeps = false;
    bed.held(&order.worker, Vec::new(), vec![ended(1, order.task, order.run, Outcome::Failed)]);
    bed.pass(ms(1_000));
    assert!(bed.starts().is_empty());
    assert!(bed.stops().is_empty());
    bed.keeps = true;
    bed.send(Event::Committed);
    bed.send(Event::MayStart(true));
    bed.pass(ms(1_000));
    let starts = bed.starts();
    assert_eq!(starts.iter().map(|order| order.task).collect::<Vec<_>>(), [task(0, 0)]);
}
