//! Tasks that crash the workers that start them.
//!
//! What users saw: one pool's workers started anew some nine times a second, and of its jobs a third ended in
//! time. A few tasks ended the life of each worker within 10 ms of their start. A worker that crashes lists no
//! end, so nothing counted against `max_attempts`: each task went back to the queue with no memory of it, and
//! from there to the fullest worker, beside as many others as fitted. What proved it: the same tasks were
//! started each 3.3 s, by three owners one after the other, on a different worker each time, and each time
//! another life answered for the worker next.

use std::collections::BTreeMap;

use crosspath_border::worker::{Entry, Error};
use crosspath_job::progress::State;
use crosspath_job::record::Record;
use crosspath_schedule::Event;

use crate::common::{Bed, JOB, accepted, entry, kept, ms, step};
use crate::world::{Faults, World};

/// Starts of a task after which it must be over: three under which a worker was lost, and fewer than three more.
const MOST_STARTS: usize = 5;
/// For which a worker that crashed is away.
const AWAY_MS: u64 = 3_000;

/// The worker's life ends, and another life of its VM answers in its place; that one's identifier.
fn crash(bed: &mut Bed, worker: &str) -> String {
    let sent = bed.now;
    let error = Error::OtherLife;
    bed.send(Event::HoldFailed { worker: worker.into(), sent, extended: true, error });
    bed.send(Event::WorkerGone(worker.into()));
    bed.pass(ms(AWAY_MS));
    let next = format!("{worker}'");
    bed.send(Event::WorkerSeen(Entry { vm: entry(worker).vm, ..entry(&next) }));
    bed.held(&next, Vec::new(), Vec::new());
    next
}

/// Crashes the worker of each start of the job's one task until there is none; the number of starts.
fn crash_all(bed: &mut Bed) -> usize {
    let mut starts = 0;
    for _ in 0..2 * MOST_STARTS {
        let Some(order) = bed.starts().pop() else { break };
        starts += 1;
        bed.started(&order);
        crash(bed, &order.worker);
    }
    starts
}

#[test]
fn a_task_that_crashes_its_workers_is_given_up() {
    let mut bed = Bed::with_workers(&["a", "b", "c", "d"]);
    bed.submit(vec![step(1, 2)]);
    let starts = crash_all(&mut bed);
    assert!(starts <= MOST_STARTS, "{starts} starts");
    assert_eq!(bed.scheduler.state(JOB), Some(State::Failed));
}

#[test]
fn owners_one_after_the_other_give_it_up_too() {
    let mut bed = Bed::with_workers(&["a", "b", "c", "d"]);
    bed.submit(vec![step(1, 2)]);
    let job = Record::Accepted(JOB, accepted(vec![step(1, 2)]));
    let mut records = BTreeMap::from([(job.key(), job)]);
    let mut starts = 0;
    for epoch in 2..10 {
        let Some(order) = bed.starts().pop() else { break };
        starts += 1;
        bed.started(&order);
        records.extend(kept(&bed.actions).into_iter().map(|record| (record.key(), record)));
        // The owner ends as its worker does, so the next one finds another life.
        let now = bed.now + ms(AWAY_MS);
        bed = Bed::at(epoch, now);
        let lives = ["a", "b", "c", "d"].map(|vm| {
            if *vm == order.worker[..1] { format!("{vm}{epoch}") } else { vm.to_owned() }
        });
        let lives: Vec<&str> = lives.iter().map(String::as_str).collect();
        bed.take_over(records.values().cloned().collect(), &lives);
        for life in &lives {
            bed.held(life, Vec::new(), Vec::new());
        }
        bed.pass(ms(10_000));
    }
    assert!(starts <= MOST_STARTS, "{starts} starts");
    assert_eq!(bed.scheduler.state(JOB), Some(State::Failed));
}

/// Worlds in which each seventh job crashes its workers, with owners that come and go.
#[test]
fn deadly_jobs_are_given_up_and_all_others_complete() {
    let quiet = Faults { takeover: 0, crash: 0, cut: 0, lost: 0, late: 0, failing: 0 };
    let kinds = [quiet, Faults { takeover: 1, ..quiet }];
    for (first, faults) in (1..).step_by(1_000).zip(kinds) {
        for seed in first..first + 12 {
            let mut world = World::deadly(seed, faults);
            for _ in 0..1_000 {
                world.load();
                world.step();
            }
            world.settle();
            world.check_deadly();
        }
    }
}
