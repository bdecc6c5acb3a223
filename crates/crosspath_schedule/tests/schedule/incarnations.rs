//! Incarnations of a worker under one identifier: all runs of the previous incarnation have ended,
//! and the new one numbers its reports of ended runs from 1.

use std::net::SocketAddr;
use std::sync::Arc;

use crosspath_border::worker::{Ended, Entry, Error, Outcome, PollReply, Running};
use crosspath_job::JobId;
use crosspath_job::progress::State;
use crosspath_job::record::Record;
use crosspath_schedule::{Action, Event};

use crate::common::{
    Harness, JOB, accepted, committed_records, ended, entry, ms, running, step, task,
};

const FIRST_START_MS: u64 = 1_700_000_000_000;
const SECOND_START_MS: u64 = FIRST_START_MS + 9_000;

fn entry_started(id: &str, started_ms: u64) -> Entry {
    Entry { started_ms, ..entry(id) }
}

/// Sends the poll reply of the incarnation that started at `started_ms`.
fn polled(
    harness: &mut Harness,
    id: &str,
    started_ms: u64,
    running: Vec<Running>,
    ended: Vec<Ended>,
) {
    let sent = harness.now;
    harness.now += ms(1);
    let reply = PollReply { started_ms, running, ended, ..PollReply::default() };
    harness.send(Event::Polled { worker: id.into(), sent, extended: true, reply });
}

/// First incarnation of worker a, with a job of `tasks` tasks running there.
fn harness(tasks: u32) -> Harness {
    let mut harness = Harness::new(1);
    harness.take_over(Vec::new(), &[]);
    harness.send(Event::WorkerListed(entry_started("a", FIRST_START_MS)));
    polled(&mut harness, "a", FIRST_START_MS, Vec::new(), Vec::new());
    harness.submit(vec![step(tasks, 8)]);
    for order in harness.take_starts() {
        harness.started(&order);
    }
    harness.advance(ms(100));
    harness
}

fn acknowledged(harness: &Harness) -> Vec<u64> {
    let number = |action: &Action| match action {
        Action::Acknowledge { number, .. } => Some(*number),
        _ => None,
    };
    harness.actions.iter().filter_map(number).collect()
}

#[test]
fn a_task_of_the_previous_incarnation_starts_again() {
    let mut harness = harness(1);
    harness.send(Event::WorkerListed(entry_started("a", SECOND_START_MS)));
    assert!(harness.take_starts().is_empty(), "the new incarnation has not answered yet");
    polled(&mut harness, "a", SECOND_START_MS, Vec::new(), Vec::new());
    harness.advance(ms(100));
    assert_eq!(harness.take_starts().len(), 1);
}

/// If numbers of ended runs were compared over incarnations, the first end of the new one, number
/// 1, would count as acknowledged, since the previous incarnation has reported two.
#[test]
fn ends_of_a_new_incarnation_are_numbered_and_acknowledged_from_one() {
    let mut harness = harness(3);
    let ends = vec![
        ended(1, task(0, 0), 10_001, Outcome::Done),
        ended(2, task(0, 1), 10_001, Outcome::Done),
    ];
    polled(&mut harness, "a", FIRST_START_MS, vec![running(task(0, 2), 10_001)], ends);
    harness.advance(ms(100));
    assert_eq!(acknowledged(&harness), [2]);
    // The poll reply shows the new incarnation before the worker list does.
    polled(&mut harness, "a", SECOND_START_MS, Vec::new(), Vec::new());
    let polling_starts =
        harness.actions.iter().filter(|action| matches!(action, Action::StartPolling { .. }));
    assert_eq!(polling_starts.count(), 2, "polling starts anew, with no end acknowledged");
    harness.advance(ms(100));
    let order = harness.take_starts().remove(0);
    harness.started(&order);
    polled(
        &mut harness,
        "a",
        SECOND_START_MS,
        Vec::new(),
        vec![ended(1, task(0, 2), order.run, Outcome::Done)],
    );
    harness.advance(ms(100));
    assert_eq!(harness.scheduler.state(JOB), Some(State::Completed));
    assert_eq!(acknowledged(&harness), [2, 1]);
}

/// The commit of an end of the previous incarnation is in flight while the new one starts.
#[test]
fn an_end_that_becomes_durable_late_is_not_acknowledged_to_a_later_incarnation() {
    let mut harness = harness(2);
    harness.auto_commit = false;
    let end = ended(1, task(0, 0), 10_001, Outcome::Done);
    polled(&mut harness, "a", FIRST_START_MS, vec![running(task(0, 1), 10_001)], vec![end]);
    harness.advance(ms(50));
    polled(&mut harness, "a", SECOND_START_MS, Vec::new(), Vec::new());
    harness.send(Event::Committed);
    assert!(acknowledged(&harness).is_empty());
}

/// The worker's wall clock is set back before its restart.
#[test]
fn the_incarnation_that_answers_a_later_poll_is_the_later_one_whatever_its_start_time() {
    let mut harness = harness(1);
    polled(&mut harness, "a", FIRST_START_MS - 5_000, Vec::new(), Vec::new());
    polled(&mut harness, "a", FIRST_START_MS - 5_000, Vec::new(), Vec::new());
    harness.advance(ms(100));
    assert_eq!(harness.take_starts().len(), 1);
}

#[test]
fn late_messages_of_the_previous_incarnation_change_nothing() {
    let mut harness = harness(1);
    polled(&mut harness, "a", SECOND_START_MS, Vec::new(), Vec::new());
    harness.advance(ms(100));
    let order = harness.take_starts().remove(0);
    harness.started(&order);
    let sent = ms(1);
    let reply = PollReply {
        started_ms: FIRST_START_MS,
        running: vec![running(task(0, 0), 10_001)],
        ..PollReply::default()
    };
    harness.send(Event::Polled { worker: "a".into(), sent, extended: true, reply });
    harness
        .send(Event::WorkerListed(Entry { draining: true, ..entry_started("a", FIRST_START_MS) }));
    polled(&mut harness, "a", SECOND_START_MS, vec![running(order.task, order.run)], Vec::new());
    harness.advance(ms(100));
    assert!(harness.take_stops().is_empty() && harness.take_starts().is_empty());
}

/// All incarnations have the same identifier, so losses must be counted by incarnation.
#[test]
fn a_task_that_crashes_incarnation_after_incarnation_fails_its_job() {
    let mut harness = harness(1);
    let mut starts = 1;
    for incarnation in 1..10 {
        polled(&mut harness, "a", FIRST_START_MS + incarnation * 1_000, Vec::new(), Vec::new());
        harness.advance(ms(3_000));
        let Some(order) = harness.take_starts().pop() else { break };
        starts += 1;
        harness.started(&order);
        harness.advance(ms(100));
    }
    assert!(starts <= 5, "{starts} starts");
    assert_eq!(harness.scheduler.state(JOB), Some(State::Failed));
}

/// Address and start of the incarnation that was last chosen for polling, and the worker's clock in
/// ms at that time.
fn last_start_polling(harness: &Harness) -> Option<(SocketAddr, u64, u64)> {
    let start_polling = |action: &Action| match action {
        Action::StartPolling { worker, clock_ms } => {
            Some((worker.address, worker.started_ms, *clock_ms))
        }
        _ => None,
    };
    harness.actions.iter().rev().find_map(start_polling)
}

#[test]
fn a_worker_that_restarts_at_another_address_is_polled_there_with_its_own_clock() {
    let mut harness = harness(1);
    let address = "127.0.0.1:10".parse().expect("an address");
    harness.send(Event::WorkerListed(Entry {
        address,
        clock_ms: 70,
        ..entry_started("a", SECOND_START_MS)
    }));
    assert_eq!(last_start_polling(&harness), Some((address, SECOND_START_MS, 70)));
}

#[test]
fn an_ended_incarnation_does_not_hide_a_later_one_with_the_same_identifier() {
    let mut harness = harness(1);
    let sent = harness.now;
    let error = Error::OtherLife;
    harness.send(Event::PollFailed { worker: "a".into(), sent, extended: true, error });
    harness.actions.clear();
    harness.send(Event::WorkerListed(entry_started("a", FIRST_START_MS)));
    assert_eq!(last_start_polling(&harness), None, "a late entry of the ended incarnation");
    harness.send(Event::WorkerListed(entry_started("a", SECOND_START_MS)));
    assert!(last_start_polling(&harness).is_some(), "an entry of the current incarnation");
}

#[test]
fn a_draining_worker_takes_work_after_a_restart() {
    let mut harness = harness(1);
    harness
        .send(Event::WorkerListed(Entry { draining: true, ..entry_started("a", FIRST_START_MS) }));
    polled(&mut harness, "a", SECOND_START_MS, Vec::new(), Vec::new());
    harness.advance(ms(100));
    assert_eq!(harness.take_starts().len(), 1);
}

#[test]
fn nothing_starts_on_an_incarnation_that_has_not_answered() {
    let mut harness = harness(1);
    harness.send(Event::WorkerListed(entry_started("a", SECOND_START_MS)));
    let other = JobId(JOB.0 + 1);
    harness.send(Event::Accepted(other, accepted(vec![step(1, 8)])));
    harness.advance(ms(100));
    assert!(harness.take_starts().is_empty());
    polled(&mut harness, "a", SECOND_START_MS, Vec::new(), Vec::new());
    harness.advance(ms(100));
    assert_eq!(harness.take_starts().len(), 2);
}

/// The worker has restarted at another address. Orders in flight to the previous incarnation reach
/// another process at the old address, which answers `OtherLife`.
#[test]
fn orders_answered_by_another_process_do_not_end_a_later_incarnation() {
    let mut harness = harness(2);
    let (first_task, sent) = (task(0, 0), harness.now);
    harness
        .send(Event::WorkerListed(Entry { draining: true, ..entry_started("a", FIRST_START_MS) }));
    polled(&mut harness, "a", SECOND_START_MS, Vec::new(), Vec::new());
    harness.advance(ms(100));
    assert_eq!(harness.take_starts().len(), 2);
    let worker: Arc<str> = "a".into();
    let answer = Err(Error::OtherLife);
    harness.send(Event::StartAnswered {
        worker: worker.clone(),
        task: first_task,
        run: 10_001,
        answer,
    });
    let answer = Err(Error::OtherLife);
    harness.send(Event::StopAnswered {
        worker: worker.clone(),
        task: first_task,
        run: 10_001,
        answer,
    });
    harness.send(Event::PollFailed { worker, sent, extended: true, error: Error::OtherLife });
    harness.send(Event::WorkerListed(entry_started("b", FIRST_START_MS)));
    polled(&mut harness, "b", FIRST_START_MS, Vec::new(), Vec::new());
    harness.advance(ms(100));
    assert!(harness.take_starts().is_empty(), "the later incarnation runs both tasks");
}

#[test]
fn a_run_whose_lease_expired_stays_lost_when_a_later_incarnation_answers() {
    let mut harness = harness(1);
    let (sent, error) = (harness.now, Error::NoAnswer);
    harness.send(Event::PollFailed { worker: "a".into(), sent, extended: true, error });
    harness.advance(ms(6_000));
    polled(&mut harness, "a", SECOND_START_MS, Vec::new(), Vec::new());
    let progress = harness.scheduler.progress(JOB, 0).expect("a job");
    assert_eq!(progress.tasks["0.0.0"].lost.len(), 1);
}

#[test]
fn a_task_that_crashes_an_incarnation_under_each_owner_is_not_started_endlessly() {
    let mut records = vec![Record::Accepted(JOB, accepted(vec![step(1, 8)]))];
    let mut starts = 0;
    for epoch in 1..10 {
        let mut owner = Harness::claimed_at(epoch, ms(10_000 * epoch));
        owner.take_over(records.clone(), &[]);
        let started_ms = FIRST_START_MS + 10_000 * epoch;
        owner.send(Event::WorkerListed(entry_started("a", started_ms)));
        polled(&mut owner, "a", started_ms, Vec::new(), Vec::new());
        owner.advance(ms(100));
        starts += owner.take_starts().len();
        records.extend(committed_records(&owner.actions));
        records.sort_by_key(Record::key);
        // The newest record of each key is the last one; only that one is retained.
        records.reverse();
        records.dedup_by_key(|record| record.key());
    }
    assert!(starts <= 5, "{starts} starts");
}
