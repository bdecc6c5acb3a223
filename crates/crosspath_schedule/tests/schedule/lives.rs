//! Lives of a worker under one identifier: what the life before ran is over, and ends are numbered anew.

use std::net::SocketAddr;
use std::sync::Arc;

use crosspath_border::worker::{Ended, Entry, Error, Outcome, PollReply, Running};
use crosspath_job::JobId;
use crosspath_job::progress::State;
use crosspath_job::record::Record;
use crosspath_schedule::{Action, Event};

use crate::common::{Bed, JOB, accepted, ended, entry, kept, ms, running, step, task};

const FIRST_MS: u64 = 1_700_000_000_000;
const SECOND_MS: u64 = FIRST_MS + 9_000;

fn born(id: &str, born_ms: u64) -> Entry {
    Entry { started_ms: born_ms, ..entry(id) }
}

/// An answer of the life that began at `born_ms`.
fn held(bed: &mut Bed, id: &str, born_ms: u64, running: Vec<Running>, ended: Vec<Ended>) {
    let sent = bed.now;
    bed.now += ms(1);
    let reply = PollReply { clock_ms: 0, started_ms: born_ms, running, ended };
    bed.send(Event::Polled { worker: id.into(), sent, extended: true, reply });
}

/// A worker's first life, with a task of a job running there.
fn bed(tasks: u32) -> Bed {
    let mut bed = Bed::new(1);
    bed.take_over(Vec::new(), &[]);
    bed.send(Event::WorkerListed(born("a", FIRST_MS)));
    held(&mut bed, "a", FIRST_MS, Vec::new(), Vec::new());
    bed.submit(vec![step(tasks, 8)]);
    for order in bed.starts() {
        bed.started(&order);
    }
    bed.pass(ms(100));
    bed
}

fn acknowledged(bed: &Bed) -> Vec<u64> {
    let number = |action: &Action| match action {
        Action::Acknowledge { number, .. } => Some(*number),
        _ => None,
    };
    bed.actions.iter().filter_map(number).collect()
}

#[test]
fn a_task_of_the_life_before_starts_again() {
    let mut bed = bed(1);
    bed.send(Event::WorkerListed(born("a", SECOND_MS)));
    assert!(bed.starts().is_empty(), "the new life has not answered yet");
    held(&mut bed, "a", SECOND_MS, Vec::new(), Vec::new());
    bed.pass(ms(100));
    assert_eq!(bed.starts().len(), 1);
}

/// The life before had told of two ends; the first end of the new one has number 1 again.
#[test]
fn ends_of_the_new_life_count_from_one_and_are_acknowledged_so() {
    let mut bed = bed(3);
    let ends = vec![
        ended(1, task(0, 0), 10_001, Outcome::Done),
        ended(2, task(0, 1), 10_001, Outcome::Done),
    ];
    held(&mut bed, "a", FIRST_MS, vec![running(task(0, 2), 10_001)], ends);
    bed.pass(ms(100));
    assert_eq!(acknowledged(&bed), [2]);
    // The look finds out first; the list is late.
    held(&mut bed, "a", SECOND_MS, Vec::new(), Vec::new());
    let watches = bed.actions.iter().filter(|action| matches!(action, Action::StartPolling { .. }));
    assert_eq!(watches.count(), 2, "a new look knows of no end");
    bed.pass(ms(100));
    let order = bed.starts().remove(0);
    bed.started(&order);
    held(
        &mut bed,
        "a",
        SECOND_MS,
        Vec::new(),
        vec![ended(1, task(0, 2), order.run, Outcome::Done)],
    );
    bed.pass(ms(100));
    assert_eq!(bed.scheduler.state(JOB), Some(State::Completed));
    assert_eq!(acknowledged(&bed), [2, 1]);
}

/// An end of the life before is being kept while the new one begins.
#[test]
fn an_end_that_is_kept_late_is_acknowledged_to_no_later_life() {
    let mut bed = bed(2);
    bed.keeps = false;
    let end = ended(1, task(0, 0), 10_001, Outcome::Done);
    held(&mut bed, "a", FIRST_MS, vec![running(task(0, 1), 10_001)], vec![end]);
    bed.pass(ms(50));
    held(&mut bed, "a", SECOND_MS, Vec::new(), Vec::new());
    bed.send(Event::Committed);
    assert!(acknowledged(&bed).is_empty());
}

/// Its wall clock was set back before it began again.
#[test]
fn a_life_that_answers_a_later_look_is_the_later_one_whenever_it_says_that_it_began() {
    let mut bed = bed(1);
    held(&mut bed, "a", FIRST_MS - 5_000, Vec::new(), Vec::new());
    held(&mut bed, "a", FIRST_MS - 5_000, Vec::new(), Vec::new());
    bed.pass(ms(100));
    assert_eq!(bed.starts().len(), 1);
}

#[test]
fn late_words_of_the_life_before_change_nothing() {
    let mut bed = bed(1);
    held(&mut bed, "a", SECOND_MS, Vec::new(), Vec::new());
    bed.pass(ms(100));
    let order = bed.starts().remove(0);
    bed.started(&order);
    let sent = ms(1);
    let there = PollReply {
        started_ms: FIRST_MS,
        running: vec![running(task(0, 0), 10_001)],
        ..PollReply::default()
    };
    bed.send(Event::Polled { worker: "a".into(), sent, extended: true, reply: there });
    bed.send(Event::WorkerListed(Entry { draining: true, ..born("a", FIRST_MS) }));
    held(&mut bed, "a", SECOND_MS, vec![running(order.task, order.run)], Vec::new());
    bed.pass(ms(100));
    assert!(bed.stops().is_empty() && bed.starts().is_empty());
}

/// A task that crashes each life of its workers, under whichever identifier.
#[test]
fn a_task_that_crashes_life_after_life_is_given_up() {
    let mut bed = bed(1);
    let mut starts = 1;
    for life in 1..10 {
        held(&mut bed, "a", FIRST_MS + life * 1_000, Vec::new(), Vec::new());
        bed.pass(ms(3_000));
        let Some(order) = bed.starts().pop() else { break };
        starts += 1;
        bed.started(&order);
        bed.pass(ms(100));
    }
    assert!(starts <= 5, "{starts} starts");
    assert_eq!(bed.scheduler.state(JOB), Some(State::Failed));
}

/// Where looks go, and the clock that they begin with.
fn watched(bed: &Bed) -> Option<(SocketAddr, u64, u64)> {
    let watch = |action: &Action| match action {
        Action::StartPolling { worker, clock_ms } => {
            Some((worker.address, worker.started_ms, *clock_ms))
        }
        _ => None,
    };
    bed.actions.iter().rev().find_map(watch)
}

#[test]
fn a_worker_that_begins_again_elsewhere_is_looked_at_there_by_its_own_clock() {
    let mut bed = bed(1);
    let address = "127.0.0.1:10".parse().expect("an address");
    bed.send(Event::WorkerListed(Entry { address, clock_ms: 70, ..born("a", SECOND_MS) }));
    assert_eq!(watched(&bed), Some((address, SECOND_MS, 70)));
}

#[test]
fn a_life_that_has_ended_hides_no_later_one_under_its_identifier() {
    let mut bed = bed(1);
    let sent = bed.now;
    let error = Error::OtherLife;
    bed.send(Event::PollFailed { worker: "a".into(), sent, extended: true, error });
    bed.actions.clear();
    bed.send(Event::WorkerListed(born("a", FIRST_MS)));
    assert_eq!(watched(&bed), None, "a late entry of the life that is over");
    bed.send(Event::WorkerListed(born("a", SECOND_MS)));
    assert!(watched(&bed).is_some(), "the life that is there");
}

#[test]
fn a_worker_that_was_to_leave_takes_work_once_it_has_begun_again() {
    let mut bed = bed(1);
    bed.send(Event::WorkerListed(Entry { draining: true, ..born("a", FIRST_MS) }));
    held(&mut bed, "a", SECOND_MS, Vec::new(), Vec::new());
    bed.pass(ms(100));
    assert_eq!(bed.starts().len(), 1);
}

#[test]
fn nothing_starts_on_a_life_that_has_not_answered() {
    let mut bed = bed(1);
    bed.send(Event::WorkerListed(born("a", SECOND_MS)));
    let other = JobId(JOB.0 + 1);
    bed.send(Event::Accepted(other, accepted(vec![step(1, 8)])));
    bed.pass(ms(100));
    assert!(bed.starts().is_empty());
    held(&mut bed, "a", SECOND_MS, Vec::new(), Vec::new());
    bed.pass(ms(100));
    assert_eq!(bed.starts().len(), 2);
}

/// The worker has begun again elsewhere; what was under way to the life before meets a stranger at the old address.
#[test]
fn orders_that_meet_a_stranger_end_no_later_life() {
    let mut bed = bed(2);
    let (kept, sent) = (task(0, 0), bed.now);
    bed.send(Event::WorkerListed(Entry { draining: true, ..born("a", FIRST_MS) }));
    held(&mut bed, "a", SECOND_MS, Vec::new(), Vec::new());
    bed.pass(ms(100));
    assert_eq!(bed.starts().len(), 2);
    let worker: Arc<str> = "a".into();
    let answer = Err(Error::OtherLife);
    bed.send(Event::StartAnswered { worker: worker.clone(), task: kept, run: 10_001, answer });
    let answer = Err(Error::OtherLife);
    bed.send(Event::StopAnswered { worker: worker.clone(), task: kept, run: 10_001, answer });
    bed.send(Event::PollFailed { worker, sent, extended: true, error: Error::OtherLife });
    bed.send(Event::WorkerListed(born("b", FIRST_MS)));
    held(&mut bed, "b", FIRST_MS, Vec::new(), Vec::new());
    bed.pass(ms(100));
    assert!(bed.starts().is_empty(), "the later life runs them");
}

#[test]
fn what_lapsed_on_the_life_before_stays_lost_when_a_later_one_answers() {
    let mut bed = bed(1);
    let (sent, error) = (bed.now, Error::NoAnswer);
    bed.send(Event::PollFailed { worker: "a".into(), sent, extended: true, error });
    bed.pass(ms(6_000));
    held(&mut bed, "a", SECOND_MS, Vec::new(), Vec::new());
    let kept = bed.scheduler.progress(JOB, 0).expect("a job");
    assert_eq!(kept.tasks["0.0.0"].lost.len(), 1);
}

#[test]
fn a_task_that_crashes_a_life_under_each_owner_is_given_up() {
    let mut records = vec![Record::Accepted(JOB, accepted(vec![step(1, 8)]))];
    let mut starts = 0;
    for epoch in 1..10 {
        let mut owner = Bed::at(epoch, ms(10_000 * epoch));
        owner.take_over(records.clone(), &[]);
        let born_ms = FIRST_MS + 10_000 * epoch;
        owner.send(Event::WorkerListed(born("a", born_ms)));
        held(&mut owner, "a", born_ms, Vec::new(), Vec::new());
        owner.pass(ms(100));
        starts += owner.starts().len();
        records.extend(kept(&owner.actions));
        records.sort_by_key(Record::key);
        // The newest record of each key comes last, and stands.
        records.reverse();
        records.dedup_by_key(|record| record.key());
    }
    assert!(starts <= 5, "{starts} starts");
}
