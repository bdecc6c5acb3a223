//! Room of workers: whether a pool lacks it, which its owner looks out for more often then, and room that changes.

use std::sync::Arc;

use crosspath_border::worker::{Entry, Outcome};
use crosspath_job::JobId;
use crosspath_job::spec::Resources;
use crosspath_schedule::Event;

use crate::common::{Bed, JOB, accepted, anyone, ended, entry, ms, running, step, task};

#[test]
fn a_pool_lacks_workers_while_some_task_finds_no_room() {
    let mut bed = Bed::with_workers(&["a"]);
    assert!(!bed.scheduler.lacks_workers());
    bed.submit(vec![step(2, 20)]);
    assert_eq!(bed.starts().len(), 1, "32 cores hold one of them");
    assert!(bed.scheduler.lacks_workers());
    bed.send(Event::WorkerListed(entry("b")));
    bed.held("b", Vec::new(), Vec::new());
    bed.pass(ms(100));
    assert_eq!(bed.starts().len(), 1, "the other");
    assert!(!bed.scheduler.lacks_workers());
}

#[test]
fn a_worker_whose_room_shrinks_gets_no_more_than_it_then_has() {
    let mut bed = Bed::with_workers(&["a"]);
    bed.submit(vec![step(2, 8), step(2, 8)]);
    assert_eq!(bed.starts().len(), 4, "32 cores hold all of them");
    let small = Resources { cpu_millis: 16_000, ..entry("a").capacity };
    bed.send(Event::WorkerListed(Entry { capacity: small, ..entry("a") }));
    // Half of what runs is more than it has by now; nothing else is started until that has ended.
    let other = JobId(2);
    bed.send(Event::Accepted(other, accepted(vec![step(1, 8)])));
    bed.pass(ms(100));
    let there = [(0, 0), (0, 1), (1, 0), (1, 1)].map(|(step, index)| task(step, index));
    let rows = |from: usize| there[from..].iter().map(|task| running(*task, 10_001)).collect();
    for from in 0..4 {
        let ends = there[..from].iter().zip(1..);
        let ends = ends.map(|(task, number)| ended(number, *task, 10_001, Outcome::Done));
        bed.held("a", rows(from), ends.collect());
        bed.pass(ms(100));
        let starts = bed.starts();
        assert_eq!(starts.len(), usize::from(from == 3), "{from} of four have ended");
    }
    // It grows again, and is used again.
    bed.send(Event::WorkerListed(entry("a")));
    bed.send(Event::Accepted(JobId(3), accepted(vec![step(2, 8)])));
    bed.pass(ms(100));
    assert_eq!(bed.starts().len(), 2);
}

#[test]
fn what_is_being_stopped_still_takes_room() {
    let mut bed = Bed::with_workers(&["a"]);
    bed.submit(vec![step(1, 32)]);
    let order = bed.starts().remove(0);
    bed.started(&order);
    bed.send(Event::Cancelled(JOB, anyone()));
    bed.send(Event::Accepted(JobId(2), accepted(vec![step(1, 8)])));
    bed.send(Event::StopAnswered {
        worker: Arc::clone(&order.worker),
        task: order.task,
        run: order.run,
        answer: Ok(()),
    });
    bed.held("a", vec![running(order.task, order.run)], Vec::new());
    bed.pass(ms(100));
    assert_eq!(bed.starts(), Vec::new());
    let end = ended(1, order.task, order.run, Outcome::Stopped);
    bed.held("a", Vec::new(), vec![end]);
    bed.pass(ms(100));
    assert_eq!(bed.starts().len(), 1);
}
