//! Replies of workers that leave out some of the ended runs. A run whose end was left out counted as
//! lost, and its task was run again although it had ended successfully.

use std::sync::Arc;

use crosspath_border::worker::{Ended, Outcome, PollReply, Running};
use crosspath_job::progress::State;
use crosspath_job::record::Record;
use crosspath_schedule::{Action, Event};

use crate::common::{Harness, JOB, Order, accepted, committed_records, ended, ms, running, step};

/// Reply with these runs, and with some of the ended ones.
fn polled_in_part(harness: &mut Harness, running: Vec<Running>, ended: Vec<Ended>) {
    let sent = harness.now;
    harness.now += ms(1);
    let reply = PollReply { running, ended, has_more_ended: true, ..PollReply::default() };
    harness.send(Event::Polled { worker: "a".into(), sent, extended: true, reply });
}

fn ends(orders: &[Order]) -> Vec<Ended> {
    let numbered = (1..).zip(orders);
    numbered.map(|(number, order)| ended(number, order.task, order.run, Outcome::Done)).collect()
}

/// Owner whose worker runs three tasks.
fn with_three_runs() -> (Harness, Vec<Order>) {
    let mut harness = Harness::with_workers(&["a"]);
    harness.submit(vec![step(3, 2)]);
    let starts = harness.take_starts();
    for order in &starts {
        harness.started(order);
    }
    harness.advance(ms(60));
    (harness, starts)
}

#[test]
fn a_run_whose_end_does_not_fit_into_the_reply_is_not_started_again() {
    let (mut harness, starts) = with_three_runs();
    let ends = ends(&starts);
    polled_in_part(&mut harness, Vec::new(), ends[..2].to_vec());
    harness.advance(ms(60));
    assert_eq!(harness.take_starts(), []);
    harness.polled("a", Vec::new(), ends[2..].to_vec());
    harness.advance(ms(60));
    assert_eq!(harness.take_starts(), []);
    assert_eq!(harness.scheduler.state(JOB), Some(State::Completed));
}

#[test]
fn a_stopped_run_whose_end_does_not_fit_into_the_reply_keeps_its_place() {
    let (mut harness, starts) = with_three_runs();
    let ends = ends(&starts);
    let last = &starts[2];
    harness.send(Event::Vacate([Arc::from("vm-a")].into()));
    harness.send(Event::StopAnswered {
        worker: Arc::clone(&last.worker),
        task: last.task,
        run: last.run,
        answer: Ok(()),
    });
    harness.now += ms(1);
    polled_in_part(&mut harness, Vec::new(), ends[..2].to_vec());
    harness.advance(ms(60));
    let report = harness.scheduler.report(harness.now);
    assert_eq!((report.vms[0].tasks, report.vms[0].is_vacant()), (1, false));
}

/// Records of an owner that has started three tasks, and its starts.
fn started_by_previous_owner() -> (Vec<Record>, Vec<Order>) {
    let (previous, starts) = with_three_runs();
    let mut records = vec![Record::Accepted(JOB, accepted(vec![step(3, 2)]))];
    records.extend(committed_records(&previous.actions));
    (records, starts)
}

/// The store may be down for longer than all leases of the previous owner, and the worker reports
/// further ends only once the first ones are acknowledged.
#[test]
fn a_new_owner_waits_for_the_ends_that_did_not_fit_into_the_reply() {
    let (records, starts) = started_by_previous_owner();
    let ends = ends(&starts);
    let mut harness = Harness::new(2);
    harness.take_over(records, &["a"]);
    for _ in 0..30 {
        polled_in_part(&mut harness, Vec::new(), ends[..2].to_vec());
        harness.advance(ms(1_000));
    }
    assert_eq!(harness.take_starts(), []);
    assert!(!harness.scheduler.report(harness.now).vms[0].is_vacant());
    harness.polled("a", Vec::new(), ends[2..].to_vec());
    harness.advance(ms(60));
    assert_eq!(harness.take_starts(), []);
    assert_eq!(harness.scheduler.state(JOB), Some(State::Completed));
}

#[test]
fn a_new_owner_starts_what_the_worker_lacks_once_it_has_listed_all_ends() {
    let (records, starts) = started_by_previous_owner();
    let ends = ends(&starts);
    let mut harness = Harness::new(2);
    harness.take_over(records, &["a"]);
    polled_in_part(&mut harness, Vec::new(), ends[..1].to_vec());
    harness.advance(ms(60));
    harness.polled("a", vec![running(starts[1].task, starts[1].run)], Vec::new());
    harness.advance(ms(60));
    let restarted: Vec<_> = harness.take_starts().into_iter().map(|order| order.task).collect();
    assert_eq!(restarted, [starts[2].task]);
    let acknowledged = |action: &Action| matches!(action, Action::Acknowledge { number: 1, .. });
    assert!(harness.actions.iter().any(acknowledged));
}
