//! Workers on VMs that the platform lists as down. Guards against tasks of a lost data centre that
//! wait for leases of workers that have ended, against a list that is behind and ends a worker that
//! runs, and against sound jobs that fail because data centres were lost under them.

use std::collections::BTreeSet;
use std::sync::Arc;

use crosspath_border::worker::{Entry, Error, PollReply};
use crosspath_job::progress::State;
use crosspath_schedule::domains::{Down, Stamp};
use crosspath_schedule::{Event, Settings};

use crate::common::{Harness, JOB, Order, entry, ms, running, settings, step};

const WORKERS: [&str; 6] = ["x1", "x2", "x3", "y1", "y2", "y3"];

/// Workers in the data centres x and y that have been known for long.
fn harness(spread: bool) -> Harness {
    let mut harness = Harness::with_settings(Settings { spread, ..settings() });
    for id in WORKERS {
        list(&mut harness, id);
    }
    harness.advance(ms(3_500));
    harness
}

fn list(harness: &mut Harness, id: &str) {
    let entry = Entry { data_centre: id[..1].into(), ..entry(id) };
    harness.send(Event::WorkerListed(entry));
    harness.polled(id, Vec::new(), Vec::new());
}

/// A list that was requested now, in epoch 1.
fn down(harness: &Harness, vms: &[&str], lost: &[&str]) -> Down {
    let at_ms = u64::try_from(harness.now.as_millis()).expect("a time that fits in 64 bits");
    let vms = vms.iter().map(|id| Arc::from(format!("vm-{id}").as_str())).collect();
    let lost_data_centres = lost.iter().map(|name| Arc::from(*name)).collect();
    Down { stamp: Stamp { epoch: 1, at_ms }, vms, lost_data_centres }
}

fn lose_all_of_x(harness: &mut Harness) {
    let listed = down(harness, &["x1", "x2", "x3"], &["x"]);
    harness.send(Event::VmsDown(listed));
    harness.advance(ms(10));
}

/// Submits a job of one task, and returns its start, once it is seen to run.
fn run_on_some_worker(harness: &mut Harness) -> Order {
    harness.submit(vec![step(1, 2)]);
    let start = harness.take_starts().remove(0);
    harness.started(&start);
    harness.polled(&start.worker, vec![running(start.task, start.run)], Vec::new());
    harness.advance(ms(50));
    start
}

#[test]
fn tasks_of_a_lost_data_centre_start_elsewhere_at_once() {
    let mut harness = harness(true);
    let lost = run_on_some_worker(&mut harness);
    assert!(lost.worker.starts_with('x'));
    lose_all_of_x(&mut harness);
    let starts = harness.take_starts();
    assert_eq!(starts.len(), 1);
    assert!(starts[0].worker.starts_with('y') && starts[0].run > lost.run);
}

#[test]
fn without_the_setting_they_wait_for_the_leases() {
    let mut harness = harness(false);
    let lost = run_on_some_worker(&mut harness);
    lose_all_of_x(&mut harness);
    assert_eq!(harness.take_starts(), Vec::new());
    let sent = harness.now;
    let worker = Arc::clone(&lost.worker);
    harness.send(Event::PollFailed { worker, sent, extended: false, error: Error::NoAnswer });
    harness.advance(ms(5_500));
    assert_eq!(harness.take_starts().len(), 1);
}

/// The list may show the VM as it was before its worker began.
#[test]
fn a_list_that_is_behind_does_not_end_a_later_worker() {
    let mut harness = harness(true);
    for id in WORKERS {
        harness.send(Event::WorkerUnlisted(id.into()));
    }
    list(&mut harness, "x9");
    harness.submit(vec![step(1, 2)]);
    let start = harness.take_starts().remove(0);
    assert_eq!(&*start.worker, "x9");
    harness.started(&start);
    harness.advance(ms(2_900));
    let listed = down(&harness, &["x9"], &[]);
    harness.send(Event::VmsDown(listed.clone()));
    list(&mut harness, "y9");
    harness.advance(ms(2_000));
    // However late it arrives.
    harness.send(Event::VmsDown(listed));
    harness.advance(ms(100));
    assert_eq!(harness.take_starts(), Vec::new());
}

#[test]
fn a_worker_that_has_answered_since_is_not_ended() {
    let mut harness = harness(true);
    let start = run_on_some_worker(&mut harness);
    let listed = down(&harness, &["x1", "x2", "x3"], &["x"]);
    harness.advance(ms(10));
    harness.polled(&start.worker, vec![running(start.task, start.run)], Vec::new());
    harness.send(Event::VmsDown(listed));
    harness.advance(ms(100));
    assert_eq!(harness.take_starts(), Vec::new());
}

/// The poll may have waited at the worker.
#[test]
fn a_worker_is_not_ended_if_a_poll_sent_before_the_list_is_answered_after_it() {
    let mut harness = harness(true);
    let start = run_on_some_worker(&mut harness);
    let sent = harness.now;
    harness.now += ms(10);
    let listed = down(&harness, &["x1", "x2", "x3"], &["x"]);
    harness.now += ms(10);
    let running = vec![running(start.task, start.run)];
    let reply = PollReply { running, ..PollReply::default() };
    harness.send(Event::Polled { worker: Arc::clone(&start.worker), sent, extended: true, reply });
    harness.send(Event::VmsDown(listed));
    harness.advance(ms(100));
    assert_eq!(harness.take_starts(), Vec::new());
}

#[test]
fn a_list_by_the_clock_of_another_owner_is_ignored() {
    let mut harness = harness(true);
    run_on_some_worker(&mut harness);
    let mut listed = down(&harness, &["x1", "x2", "x3"], &["x"]);
    listed.stamp.epoch = 2;
    harness.send(Event::VmsDown(listed));
    harness.advance(ms(100));
    assert_eq!(harness.take_starts(), Vec::new());
}

/// Loses the worker of the job's task again and again, each time with its whole data centre or
/// alone, and returns the state of the job.
fn lose_repeatedly(whole: bool) -> Option<State> {
    let mut harness = harness(true);
    harness.submit(vec![step(1, 2)]);
    for generation in 0..6 {
        let Some(start) = harness.take_starts().pop() else { break };
        harness.started(&start);
        let data_centre = start.worker[..1].to_owned();
        let known: BTreeSet<_> = (0..generation).map(|older| format!("{older}")).collect();
        let mut ids = vec![start.worker.to_string()];
        ids.extend(WORKERS.iter().map(ToString::to_string));
        ids.extend(known.iter().map(|older| format!("{data_centre}n{older}")));
        ids.retain(|id| id.starts_with(&data_centre));
        let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
        let (vms, lost) = if whole { (&ids[..], vec![&*data_centre]) } else { (&ids[..1], vec![]) };
        let listed = down(&harness, vms, &lost);
        harness.send(Event::VmsDown(listed));
        list(&mut harness, &format!("xn{generation}"));
        list(&mut harness, &format!("yn{generation}"));
        harness.advance(ms(3_500));
    }
    harness.scheduler.state(JOB)
}

#[test]
fn losses_of_data_centres_never_fail_a_sound_job() {
    assert_eq!(lose_repeatedly(true), Some(State::Running));
    assert_eq!(lose_repeatedly(false), Some(State::Failed), "single losses still count");
}

/// A new owner knows the runs of a lost data centre only from the log.
#[test]
fn a_data_centre_lost_at_a_takeover_frees_its_tasks_before_the_leases_expire() {
    let mut previous = harness(true);
    let lost = run_on_some_worker(&mut previous);
    let mut records = crate::common::committed_records(&previous.actions);
    let accepted = crate::common::accepted(vec![step(1, 2)]);
    records.push(crosspath_job::record::Record::Accepted(JOB, accepted));
    let mut next = Harness::with_settings_in(Settings { spread: true, ..settings() }, 2);
    let entry_of = |id: &&str| Entry { data_centre: id[..1].into(), ..entry(id) };
    let entries = WORKERS.iter().map(entry_of).collect();
    next.scheduler.take_over(next.now, crate::common::WALL_MS, records, entries);
    for id in ["y1", "y2", "y3"] {
        next.polled(id, Vec::new(), Vec::new());
    }
    next.advance(ms(3_100));
    assert_eq!(next.take_starts(), Vec::new(), "the worker may run the task still");
    let mut listed = down(&next, &["x1", "x2", "x3"], &["x"]);
    listed.stamp.epoch = 2;
    next.send(Event::VmsDown(listed));
    next.advance(ms(10));
    let starts = next.take_starts();
    assert_eq!(starts.len(), 1);
    assert!(starts[0].run > lost.run);
    for record in crate::common::committed_records(&next.actions) {
        if let crosspath_job::record::Record::Progress(_, progress) = record {
            assert!(progress.tasks.values().all(|task| task.lost.is_empty()), "{progress:?}");
        }
    }
}

/// Workers of a data centre that returns are new, and get work like any others.
#[test]
fn a_data_centre_that_returns_is_used_again() {
    let mut harness = harness(true);
    lose_all_of_x(&mut harness);
    for id in ["xa", "xb"] {
        list(&mut harness, id);
    }
    harness.advance(ms(10));
    harness.submit(vec![step(5, 30)]);
    let used: BTreeSet<_> =
        harness.take_starts().iter().map(|start| start.worker.to_string()).collect();
    assert_eq!(used.len(), 5, "{used:?}");
}
