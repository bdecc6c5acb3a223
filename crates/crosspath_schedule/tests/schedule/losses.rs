//! Tasks that crash the workers that start them.
//!
//! What users saw: one pool's workers started anew some nine times a second, and of its jobs a third ended in
//! time. A few tasks ended the life of each worker within 10 ms of their start. A worker that crashes lists no
//! end, so nothing counted against `max_attempts`: each task went back to the queue with no memory of it, and
//! from there to the fullest worker, beside as many others as fitted. What proved it: the same tasks were
//! started each 3.3 s, by three owners one after the other, on a different worker each time, and each time
//! another life answered for the worker next.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crosspath_border::worker::{Entry, Error, Outcome, Running};
use crosspath_job::progress::{Loss, Progress, State, TaskProgress};
use crosspath_job::record::Record;
use crosspath_job::spec::Step;
use crosspath_job::{JobId, TaskId};
use crosspath_schedule::Event;

use crate::common::{Bed, JOB, Ordered, accepted, ended, entry, kept, ms, running, step};
use crate::world::{Faults, World};

/// Starts of a task after which it must be over: three under which a worker was lost, and fewer than three more.
const MOST_STARTS: usize = 5;
/// For which a worker that crashed is away.
const AWAY_MS: u64 = 3_000;

/// The worker's life ends, and another life of its VM answers in its place; that one's identifier.
fn crash(bed: &mut Bed, worker: &str) -> String {
    let sent = bed.now;
    let error = Error::OtherLife;
    bed.send(Event::PollFailed { worker: worker.into(), sent, extended: true, error });
    bed.send(Event::WorkerUnlisted(worker.into()));
    bed.pass(ms(AWAY_MS));
    let next = format!("{worker}'");
    bed.send(Event::WorkerListed(Entry { vm: entry(worker).vm, ..entry(&next) }));
    bed.held(&next, Vec::new(), Vec::new());
    bed.pass(ms(100));
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
    let mut lives = ["a", "b", "c", "d"].map(str::to_owned);
    let mut starts = 0;
    for epoch in 2..10 {
        let Some(order) = bed.starts().pop() else { break };
        starts += 1;
        bed.started(&order);
        records.extend(kept(&bed.actions).into_iter().map(|record| (record.key(), record)));
        // The owner ends as its worker does, so the next one finds another life.
        bed = Bed::at(epoch, bed.now + ms(AWAY_MS));
        for life in lives.iter_mut().filter(|life| ***life == *order.worker) {
            *life = format!("{life}'");
        }
        let ids: Vec<&str> = lives.iter().map(String::as_str).collect();
        bed.take_over(records.values().cloned().collect(), &ids);
        for id in &ids {
            bed.held(id, Vec::new(), Vec::new());
        }
        bed.pass(ms(10_000));
    }
    bed.pass(ms(100));
    assert!(starts <= MOST_STARTS, "{starts} starts");
    assert_eq!(bed.scheduler.state(JOB), Some(State::Failed));
}

/// Worlds in which each seventh job crashes its workers, with owners that come and go.
fn play_deadly_worlds(keeps_ids: bool) {
    let quiet = Faults::default();
    let kinds = [quiet, Faults { takeover: 1, ..quiet }];
    for (first, faults) in (1..).step_by(1_000).zip(kinds) {
        for seed in first..first + 12 {
            let mut world = World::deadly(seed, faults, keeps_ids);
            for _ in 0..1_000 {
                world.load();
                world.step();
            }
            world.settle();
            world.check_deadly();
        }
    }
}

#[test]
fn deadly_jobs_are_given_up_and_all_others_complete() {
    play_deadly_worlds(false);
}

#[test]
fn deadly_jobs_are_given_up_whose_workers_begin_again_under_their_identifiers() {
    play_deadly_worlds(true);
}

#[test]
fn a_new_life_of_its_owner_gives_it_up_too() {
    // The owner ends after two losses that it has kept; its next life is the third one's witness.
    let mut bed = Bed::with_workers(&["a", "b", "c", "d"]);
    bed.submit(vec![step(1, 2)]);
    let mut last = None;
    for _ in 0..3 {
        let order = bed.starts().remove(0);
        bed.started(&order);
        if last.replace(order.clone()).is_none() || !order.worker.ends_with("''") {
            crash(&mut bed, &order.worker);
        }
    }
    let last = last.expect("a start");
    let mut records = kept(&bed.actions);
    records.push(Record::Accepted(JOB, accepted(vec![step(1, 2)])));
    let mut next = Bed::at(2, bed.now + ms(AWAY_MS));
    let ids = ["a", "b", "c", "d"].map(str::to_owned);
    let ids: Vec<&str> = ids.iter().map(String::as_str).filter(|id| **id != *last.worker).collect();
    next.take_over(records, &ids);
    next.pass(ms(10_000));
    next.pass(ms(100));
    assert_eq!(next.starts(), Vec::new());
    assert_eq!(next.scheduler.state(JOB), Some(State::Failed));
}

#[test]
fn copies_that_are_lost_count_for_one_task() {
    let copies = Step { speculative: true, ..step(1, 2) };
    let mut bed = Bed::with_workers(&["a", "b", "c", "d"]);
    bed.submit(vec![copies]);
    let first = bed.starts().remove(0);
    bed.started(&first);
    // A copy of an owner before is found on another worker.
    let copy = TaskId { ..first.task };
    bed.held("b", vec![running(copy, 7)], Vec::new());
    crash(&mut bed, &first.worker);
    crash(&mut bed, "b");
    let third = bed.starts().remove(0);
    bed.started(&third);
    crash(&mut bed, &third.worker);
    bed.pass(ms(100));
    assert_eq!(bed.starts(), Vec::new());
    assert_eq!(bed.scheduler.state(JOB), Some(State::Failed));
}

#[test]
fn tasks_that_were_lost_together_twice_part_ways() {
    let mut bed = Bed::with_workers(&["a", "b", "c", "d"]);
    bed.submit(vec![step(4, 2)]);
    let mut workers = Vec::new();
    for _ in 0..3 {
        let starts = bed.starts();
        assert_eq!(starts.len(), 4);
        for order in &starts {
            bed.started(order);
        }
        let used: BTreeSet<_> = starts.iter().map(|order| Arc::clone(&order.worker)).collect();
        workers.push(used.len());
        crash(&mut bed, &starts[0].worker);
    }
    // The first two times beside as many as fit, to keep workers free; then on all that are left.
    assert_eq!(workers, [1, 1, 3]);
}

/// An owner that takes over a job whose one task was lost so many times, in company.
fn bed_with_losses(losses: u64, workers: &[&str]) -> Bed {
    let lost = (1..=losses).map(|run| {
        let worker = format!("gone-{run}").into();
        Loss { run, worker, alone: false }
    });
    let task = TaskProgress { lost: lost.collect(), ..TaskProgress::default() };
    let tasks = BTreeMap::from([("0.0.0".to_owned(), task)]);
    let progress = Progress { state: State::Running, tasks, ended_ms: 0 };
    let suspect = Record::Accepted(JOB, accepted(vec![step(1, 2)]));
    let mut bed = Bed::new(1);
    bed.take_over(vec![suspect, Record::Progress(JOB, progress)], workers);
    bed
}

#[test]
fn after_three_losses_a_task_runs_alone_and_nothing_joins_it() {
    let mut bed = bed_with_losses(3, &["a"]);
    bed.held("a", Vec::new(), Vec::new());
    bed.pass(ms(100));
    let suspect = bed.starts().remove(0);
    bed.started(&suspect);
    // More than the worker has room for, and nothing is started there.
    bed.send(Event::Accepted(JobId(2), accepted(vec![step(60, 2)])));
    bed.pass(ms(100));
    assert_eq!(bed.starts(), Vec::new());
    let end = ended(1, suspect.task, suspect.run, Outcome::Done);
    bed.held(&suspect.worker, Vec::new(), vec![end]);
    bed.pass(ms(100));
    assert_eq!(bed.starts().len(), 16);
    assert_eq!(bed.scheduler.state(JOB), Some(State::Completed));
}

#[test]
fn after_fewer_losses_a_task_waits_for_no_worker_of_its_own() {
    let mut bed = bed_with_losses(2, &["a"]);
    let others = TaskId { job: JobId(2), ..crate::common::task(0, 0) };
    bed.send(Event::Accepted(JobId(2), accepted(vec![step(4, 2)])));
    let there = (0..4).map(|index| running(TaskId { index, ..others }, 7));
    bed.held("a", there.collect(), Vec::new());
    bed.pass(ms(100));
    assert_eq!(bed.starts().len(), 1);
}

#[test]
fn a_third_loss_in_company_gives_nothing_up() {
    let mut bed = bed_with_losses(2, &["a", "b"]);
    bed.held("a", Vec::new(), Vec::new());
    bed.pass(ms(100));
    let suspect = bed.starts().remove(0);
    bed.started(&suspect);
    // Something else has just been started there too.
    let other = TaskId { job: JobId(2), ..crate::common::task(0, 0) };
    bed.send(Event::Accepted(JobId(2), accepted(vec![step(4, 2)])));
    bed.held("a", vec![running(suspect.task, suspect.run), running(other, 7)], Vec::new());
    bed.held("b", Vec::new(), Vec::new());
    crash(&mut bed, "a");
    assert_eq!(bed.scheduler.state(JOB), Some(State::Running));
    // The fourth is alone, and tells.
    bed.pass(ms(10_000));
    let starts = bed.starts();
    let fourth = starts.iter().find(|order| order.task.job == JOB).expect("a start");
    let neighbours = starts.iter().filter(|order| order.worker == fourth.worker);
    assert_eq!(neighbours.count(), 1, "{starts:?}");
    for order in &starts {
        bed.started(order);
    }
    crash(&mut bed, &fourth.worker);
    assert_eq!(bed.scheduler.state(JOB), Some(State::Failed));
}

#[test]
fn a_full_worker_becomes_free_for_a_task_that_runs_alone() {
    let mut bed = bed_with_losses(3, &["a"]);
    // Sixteen tasks run there already; as many again wait.
    let others = TaskId { job: JobId(2), ..crate::common::task(0, 0) };
    bed.send(Event::Accepted(JobId(2), accepted(vec![step(32, 2)])));
    let there = (0..16).map(|index| running(TaskId { index, ..others }, 7));
    let there: Vec<_> = there.collect();
    bed.held("a", there.clone(), Vec::new());
    assert_eq!(bed.starts(), Vec::new());
    // Half of them end: nothing takes their places.
    let ends =
        (1..).zip(&there[..8]).map(|(number, row)| ended(number, row.task, 7, Outcome::Done));
    bed.held("a", there[8..].to_vec(), ends.collect());
    bed.pass(ms(100));
    assert_eq!(bed.starts(), Vec::new());
    let ends =
        (9..).zip(&there[8..]).map(|(number, row)| ended(number, row.task, 7, Outcome::Done));
    bed.held("a", Vec::new(), ends.collect());
    bed.pass(ms(100));
    let starts = bed.starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].task.job, JOB);
}

#[test]
fn a_brief_task_that_crashes_its_workers_late_is_given_up_too() {
    let mut bed = Bed::with_workers(&["a", "b", "c", "d"]);
    bed.submit(vec![step(1, 2)]);
    let mut starts = 0;
    while let Some(order) = bed.starts().pop() {
        starts += 1;
        assert!(starts <= MOST_STARTS);
        bed.started(&order);
        for percent in 1..=5 {
            bed.pass(ms(1_000));
            let row = Running { percent, ..running(order.task, order.run) };
            bed.held(&order.worker, vec![row], Vec::new());
        }
        crash(&mut bed, &order.worker);
    }
    assert_eq!(bed.scheduler.state(JOB), Some(State::Failed));
}

#[test]
fn two_long_brief_tasks_that_are_lost_together_are_not_alone() {
    let mut bed = bed_with_losses(2, &["a", "b"]);
    let other = TaskId { job: JobId(2), ..crate::common::task(0, 0) };
    bed.send(Event::Accepted(JobId(2), accepted(vec![step(1, 2)])));
    let suspect = crate::common::task(0, 0);
    for percent in 1..=5 {
        let row = |task| Running { percent, ..running(task, 7) };
        bed.held("a", vec![row(suspect), row(other)], Vec::new());
        bed.pass(ms(1_000));
    }
    crash(&mut bed, "a");
    // The third loss, in company: either may be to blame.
    assert_eq!(bed.scheduler.state(JOB), Some(State::Running));
}

#[test]
fn a_lasting_task_that_works_between_losses_is_never_given_up() {
    let lasting = Step { long_running: true, ..step(1, 2) };
    let mut bed = Bed::with_workers(&["a", "b", "c", "d"]);
    bed.submit(vec![lasting]);
    for _ in 0..6 {
        let order = bed.starts().remove(0);
        bed.started(&order);
        for _ in 0..4 {
            bed.pass(ms(1_000));
            bed.held(&order.worker, vec![running(order.task, order.run)], Vec::new());
        }
        crash(&mut bed, &order.worker);
    }
    assert_eq!(bed.starts().len(), 1);
    assert_eq!(bed.scheduler.state(JOB), Some(State::Running));
}

#[test]
fn a_lasting_task_that_was_at_work_under_each_loss_is_never_given_up() {
    let mut bed = Bed::with_workers(&["a"]);
    bed.submit(vec![Step { long_running: true, ..step(1, 2) }]);
    for _ in 0..6 {
        let order = bed.starts().remove(0);
        bed.started(&order);
        bed.pass(ms(900));
        bed.held(&order.worker, vec![running(order.task, order.run)], Vec::new());
        crash(&mut bed, &order.worker);
    }
    assert_eq!(bed.scheduler.state(JOB), Some(State::Running));
}

#[test]
fn a_lasting_task_that_crashes_its_workers_before_it_is_at_work_is_given_up() {
    let mut bed = Bed::with_workers(&["a", "b", "c", "d"]);
    bed.submit(vec![Step { long_running: true, ..step(1, 2) }]);
    assert!(crash_all(&mut bed) <= MOST_STARTS);
    assert_eq!(bed.scheduler.state(JOB), Some(State::Failed));
}

#[test]
fn a_worker_that_was_cut_off_and_answers_again_crashed_under_nothing() {
    let mut bed = Bed::with_workers(&["a", "b", "c", "d"]);
    bed.submit(vec![step(1, 2)]);
    for _ in 0..4 {
        let order = bed.starts().remove(0);
        bed.started(&order);
        let sent = bed.now;
        let error = Error::NoAnswer;
        let worker = Arc::clone(&order.worker);
        bed.send(Event::PollFailed { worker, sent, extended: true, error });
        bed.pass(ms(6_000));
        bed.held(&order.worker, Vec::new(), Vec::new());
    }
    let kept = bed.scheduler.progress(JOB, 0).expect("a job");
    assert!(kept.tasks["0.0.0"].lost.is_empty(), "{kept:?}");
    assert_eq!(bed.starts().len(), 1);
}

#[test]
fn a_start_that_met_another_life_was_not_lost() {
    let mut bed = Bed::with_workers(&["a", "b"]);
    bed.submit(vec![step(1, 2)]);
    let order = bed.starts().remove(0);
    // The look hears of the other life first, the start's answer says that nothing began.
    crash(&mut bed, &order.worker);
    let Ordered { worker, task, run } = order;
    bed.send(Event::StartAnswered { worker, task, run, answer: Err(Error::OtherLife) });
    let kept = bed.scheduler.progress(JOB, 0).expect("a job");
    assert!(kept.tasks["0.0.0"].lost.is_empty(), "{kept:?}");
}

#[test]
fn a_worker_that_ends_as_it_said_crashed_under_nothing() {
    let mut bed = Bed::with_workers(&["a", "b"]);
    bed.submit(vec![step(1, 2)]);
    let order = bed.starts().remove(0);
    bed.started(&order);
    bed.send(Event::WorkerListed(Entry { draining: true, ..entry(&order.worker) }));
    crash(&mut bed, &order.worker);
    let kept = bed.scheduler.progress(JOB, 0).expect("a job");
    assert!(kept.tasks["0.0.0"].lost.is_empty(), "{kept:?}");
}
