//! Progress of jobs with many tasks. It grew beyond the store's limit on a record, the store rejected
//! every commit from then on, and no task of the shard started any more.

use std::sync::Arc;

use crosspath_border::store::NewRecord;
use crosspath_border::worker::{Ended, Outcome};
use crosspath_job::TaskId;
use crosspath_job::progress::State;
use crosspath_job::record::Record;
use crosspath_job::spec::Step;
use crosspath_schedule::{Action, Event, Settings};

use crate::common::{
    Harness, JOB, Order, WALL_MS, accepted, committed_records, ended, ms, running, settings, step,
};

/// Limit on a record, in bytes, that the progress of some 20 tasks exceeds.
const MAX_RECORD_BYTES: usize = 2_000;

fn harness(epoch: u64) -> Harness {
    let settings = Settings { max_record_bytes: MAX_RECORD_BYTES, ..settings() };
    Harness::with_settings_in(settings, epoch)
}

fn steps() -> Vec<Step> {
    vec![step(400, 0)]
}

/// Owner that has started all tasks, and the starts.
fn started() -> (Harness, Vec<Order>) {
    let mut harness = harness(1);
    harness.take_over(Vec::new(), &["a"]);
    harness.polled("a", Vec::new(), Vec::new());
    harness.submit(steps());
    harness.advance(ms(60));
    let starts = harness.take_starts();
    assert_eq!(starts.len(), 400);
    for order in &starts {
        harness.started(order);
    }
    (harness, starts)
}

fn done(number: u64, order: &Order) -> Ended {
    ended(number, order.task, order.run, Outcome::Done)
}

/// Reports the end of every second run.
fn end_half(harness: &mut Harness, starts: &[Order]) {
    let ends = (1..).zip(starts.iter().step_by(2)).map(|(number, order)| done(number, order));
    let others = starts.iter().skip(1).step_by(2);
    let others = others.map(|order| running(order.task, order.run)).collect();
    harness.polled("a", others, ends.collect());
    harness.advance(ms(60));
}

fn commits(actions: &[Action]) -> Vec<&Vec<Record>> {
    let commits = actions.iter().filter_map(|action| match action {
        Action::Commit { records } => Some(records),
        _ => None,
    });
    commits.collect()
}

/// Owner that has taken over and may start tasks on worker `b`, unless they may run on `a`.
fn take_over(records: Vec<Record>) -> Harness {
    let mut next = harness(2);
    let accepted = Record::Accepted(JOB, accepted(steps()));
    next.take_over([accepted].into_iter().chain(records).collect(), &["a", "b"]);
    next.polled("b", Vec::new(), Vec::new());
    next
}

fn done_tasks(harness: &Harness) -> usize {
    let progress = harness.scheduler.progress(JOB, WALL_MS).expect("a known job");
    progress.tasks.values().filter(|task| task.done).count()
}

#[test]
fn no_record_exceeds_the_limit() {
    let (mut harness, starts) = started();
    end_half(&mut harness, &starts);
    for record in commits(&harness.actions).into_iter().flatten() {
        let size = NewRecord::from(record).size();
        assert!(size <= MAX_RECORD_BYTES, "{size} bytes: {record:?}");
    }
}

#[test]
fn parts_are_read_as_they_were_written() {
    let (harness, _) = started();
    for record in commits(&harness.actions).into_iter().flatten() {
        let read = Record::decode(&record.key(), &record.value()).expect("a readable record");
        assert_eq!(read, *record);
    }
}

#[test]
fn the_next_owner_knows_all_that_was_committed_in_parts() {
    let (mut harness, starts) = started();
    end_half(&mut harness, &starts);
    let mut next = take_over(committed_records(&harness.actions));
    assert_eq!(done_tasks(&next), 200);
    next.advance(ms(60));
    assert_eq!(next.take_starts(), [], "the other tasks may still run");
    let (first, second) = (&starts[1], &starts[3]);
    let others = starts.iter().skip(5).step_by(2);
    let others = others.map(|order| running(order.task, order.run)).collect();
    next.polled("a", others, vec![done(201, first), done(202, second)]);
    next.advance(ms(60));
    assert_eq!(next.take_starts(), []);
    assert_eq!(done_tasks(&next), 202);
}

#[test]
fn only_the_parts_that_have_changed_are_written() {
    let (mut harness, starts) = started();
    harness.actions.clear();
    let others = starts[..399].iter().map(|order| running(order.task, order.run)).collect();
    harness.polled("a", others, vec![done(1, &starts[399])]);
    harness.advance(ms(60));
    let written: Vec<_> = commits(&harness.actions).into_iter().flatten().collect();
    let parts = written.iter().filter(|record| matches!(record, Record::ProgressPart(..)));
    assert_eq!((written.len(), parts.count()), (2, 1), "{written:?}");
}

/// The records of a commit may need several appends, and the owner may be lost between two of them.
#[test]
fn a_commit_that_is_stored_in_part_hides_nothing_that_was_durable() {
    let (mut harness, starts) = started();
    let before = committed_records(&harness.actions);
    harness.actions.clear();
    end_half(&mut harness, &starts);
    let commit = commits(&harness.actions)[0].clone();
    for stored in 0..commit.len() {
        let mut newest: std::collections::BTreeMap<_, _> =
            before.iter().map(|record| (record.key(), record.clone())).collect();
        newest.extend(commit[..stored].iter().map(|record| (record.key(), record.clone())));
        let mut next = take_over(newest.into_values().collect());
        next.advance(ms(60));
        assert_eq!(next.take_starts(), [], "after {stored} of {} records", commit.len());
    }
}

#[test]
fn tasks_that_one_record_held_before_it_was_divided_are_never_missing() {
    // Written by an owner that knew no limit.
    let mut unlimited = Harness::with_workers(&["a"]);
    unlimited.submit(steps());
    unlimited.advance(ms(60));
    let before = committed_records(&unlimited.actions);
    let starts = unlimited.take_starts();
    let mut next = take_over(before.clone());
    end_half(&mut next, &starts);
    let commit = commits(&next.actions)[0].clone();
    assert!(commit.len() > 10, "{}", commit.len());
    for stored in 0..commit.len() {
        let mut newest: std::collections::BTreeMap<_, _> =
            before.iter().map(|record| (record.key(), record.clone())).collect();
        newest.extend(commit[..stored].iter().map(|record| (record.key(), record.clone())));
        let mut third = take_over(newest.into_values().collect());
        third.advance(ms(60));
        assert_eq!(third.take_starts(), [], "after {stored} of {} records", commit.len());
    }
}

#[test]
fn the_parts_of_an_ended_job_are_deleted() {
    let (mut harness, starts) = started();
    let ends = (1..).zip(&starts).map(|(number, order)| done(number, order));
    harness.polled("a", Vec::new(), ends.collect());
    harness.advance(ms(60));
    assert_eq!(harness.scheduler.state(JOB), Some(State::Completed));
    let newest = committed_records(&harness.actions);
    let is_part = |record: &&Record| matches!(record, Record::ProgressPart(..));
    assert_eq!(newest.iter().filter(is_part).count(), 0);
    assert!(newest.iter().any(|record| matches!(record, Record::Tombstone(_))));
}

/// An owner that is lost after it has stored the end of a job leaves the job's parts behind.
#[test]
fn parts_of_an_ended_job_that_were_left_behind_are_deleted() {
    let (mut harness, starts) = started();
    let parts = committed_records(&harness.actions);
    let ends = (1..).zip(&starts).map(|(number, order)| done(number, order));
    harness.polled("a", Vec::new(), ends.collect());
    harness.advance(ms(60));
    let end = commits(&harness.actions).into_iter().flatten().find(|record| {
        matches!(record, Record::Progress(_, progress) if progress.state == State::Completed)
    });
    let end = end.expect("the end of the job").clone();
    let mut records: std::collections::BTreeMap<_, _> =
        parts.into_iter().map(|record| (record.key(), record)).collect();
    records.insert(end.key(), end);
    let left = records.len() - 1;
    let mut next = take_over(records.into_values().collect());
    next.advance(ms(60));
    let deleted = commits(&next.actions).into_iter().flatten();
    assert_eq!(deleted.filter(|record| matches!(record, Record::Tombstone(_))).count(), left);
    assert_eq!(next.scheduler.state(JOB), Some(State::Completed));
}

#[test]
fn a_checkpoint_that_exceeds_a_record_is_not_stored() {
    let (mut harness, starts) = started();
    let large: Arc<str> = "x".repeat(MAX_RECORD_BYTES).into();
    let stopped = |checkpoint: &Arc<str>, number, order: &Order| Ended {
        checkpoint: Some(Arc::clone(checkpoint)),
        ..ended(number, order.task, order.run, Outcome::Stopped)
    };
    let ends = vec![stopped(&large, 1, &starts[0]), stopped(&"00ff".into(), 2, &starts[1])];
    let others = starts[2..].iter().map(|order| running(order.task, order.run)).collect();
    harness.polled("a", others, ends);
    harness.advance(ms(60));
    let records = committed_records(&harness.actions);
    assert!(records.iter().all(|record| NewRecord::from(record).size() <= MAX_RECORD_BYTES));
    let next = take_over(records);
    let progress = next.scheduler.progress(JOB, WALL_MS).expect("a known job");
    let checkpoint = |key: &str| progress.tasks.get(key).and_then(|task| task.checkpoint.clone());
    assert_eq!((checkpoint("0.0.0"), checkpoint("0.0.1")), (None, Some("00ff".into())));
}

#[test]
fn a_checkpoint_that_exceeds_a_part_and_fits_into_a_record_is_stored() {
    let mut harness = Harness::with_workers(&["a"]);
    harness.submit(vec![step(2, 0)]);
    harness.advance(ms(60));
    let starts = harness.take_starts();
    let large: Arc<str> = "x".repeat(100_000).into();
    let stopped = Ended {
        checkpoint: Some(Arc::clone(&large)),
        ..ended(1, starts[0].task, starts[0].run, Outcome::Stopped)
    };
    harness.polled("a", vec![running(starts[1].task, starts[1].run)], vec![stopped]);
    harness.advance(ms(60));
    let mut next = Harness::new(2);
    let accepted = Record::Accepted(JOB, accepted(vec![step(2, 0)]));
    let records = committed_records(&harness.actions);
    next.take_over([accepted].into_iter().chain(records).collect(), &["a"]);
    let progress = next.scheduler.progress(JOB, WALL_MS).expect("a known job");
    assert_eq!(progress.tasks["0.0.0"].checkpoint, Some(large));
}

/// The members of a gang end together, and their progress may be in different records.
#[test]
fn a_gang_of_which_one_member_is_stored_as_done_is_not_started_again() {
    let steps = vec![Step { gang: true, ..step(60, 0) }];
    let mut harness = harness(1);
    harness.take_over(Vec::new(), &["a"]);
    harness.polled("a", Vec::new(), Vec::new());
    harness.submit(steps.clone());
    let starts = harness.take_starts();
    assert_eq!(starts.len(), 60);
    for order in &starts {
        harness.started(order);
    }
    let before = committed_records(&harness.actions);
    harness.actions.clear();
    let last = TaskId { index: 0, ..starts[0].task };
    harness.polled("a", Vec::new(), vec![ended(1, last, starts[0].run, Outcome::Done)]);
    harness.advance(ms(60));
    let completed = commits(&harness.actions)[0].clone();
    assert!(
        matches!(&completed[0], Record::Progress(_, progress) if progress.state == State::Completed)
    );
    // One member alone, as if its record had been stored and those of the others not.
    let mut next = self::harness(2);
    let accepted = Record::Accepted(JOB, accepted(steps));
    let mut records = vec![accepted];
    for mut record in before {
        if let Record::Progress(_, progress) = &mut record
            && let Some(task) = progress.tasks.get_mut("0.0.0")
        {
            task.done = true;
        }
        records.push(record);
    }
    next.take_over(records, &["a"]);
    next.polled("a", Vec::new(), Vec::new());
    next.send(Event::Tick);
    assert_eq!(next.take_starts(), []);
    assert_eq!(done_tasks(&next), 60);
}
