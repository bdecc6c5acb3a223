//! Tasks that crash the workers that start them.
//!
//! Guards against a few tasks that keep the workers of a pool restarting: some 9 restarts a second,
//! with only a third of the pool's jobs on time. Such a task crashes its worker within 10 ms of its
//! start. A crashed worker reports no end, so nothing counts towards `max_attempts`. Unless losses
//! are counted, and stored for the next owner, the task returns to the queue as if it had never
//! run, is placed on the fullest worker beside as many others as fit, and is started again every
//! 3.3 s, each time on another worker and under one owner after another.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crosspath_border::worker::{Entry, Error, Outcome, Running};
use crosspath_job::progress::{Loss, Progress, State, TaskProgress};
use crosspath_job::record::{Accepted, Record};
use crosspath_job::spec::Step;
use crosspath_job::{JobId, TaskId};
use crosspath_schedule::{Event, Settings};

use crate::common::{
    Harness, JOB, Order, WALL_MS, accepted, committed_records, ended, entry, ms, running, settings,
    step,
};
use crate::simulation::{Faults, Simulation};

/// Maximum number of starts of a task that crashes its workers: three that end in losses, and two
/// more.
const MAX_STARTS: usize = 5;
/// Time until a crashed worker is replaced.
const DOWNTIME_MS: u64 = 3_000;

/// Ends a worker and starts another one, with another identifier, on its VM; returns that
/// identifier.
fn crash(harness: &mut Harness, worker: &str) -> String {
    let sent = harness.now;
    let error = Error::OtherLife;
    harness.send(Event::PollFailed { worker: worker.into(), sent, extended: true, error });
    harness.send(Event::WorkerUnlisted(worker.into()));
    harness.advance(ms(DOWNTIME_MS));
    let next = format!("{worker}'");
    harness.send(Event::WorkerListed(Entry { vm: entry(worker).vm, ..entry(&next) }));
    harness.polled(&next, Vec::new(), Vec::new());
    harness.advance(ms(100));
    next
}

/// Crashes the worker at each start of the job's one task until no start follows; returns the
/// number of starts.
fn crash_each_start(harness: &mut Harness) -> usize {
    let mut starts = 0;
    for _ in 0..2 * MAX_STARTS {
        let Some(order) = harness.take_starts().pop() else { break };
        starts += 1;
        harness.started(&order);
        crash(harness, &order.worker);
    }
    starts
}

#[test]
fn a_task_that_crashes_its_workers_fails_its_job() {
    let mut harness = Harness::with_workers(&["a", "b", "c", "d"]);
    harness.submit(vec![step(1, 2)]);
    let starts = crash_each_start(&mut harness);
    assert!(starts <= MAX_STARTS, "{starts} starts");
    assert_eq!(harness.scheduler.state(JOB), Some(State::Failed));
}

#[test]
fn losses_under_successive_owners_fail_the_job() {
    let mut harness = Harness::with_workers(&["a", "b", "c", "d"]);
    harness.submit(vec![step(1, 2)]);
    let job = Record::Accepted(JOB, accepted(vec![step(1, 2)]));
    let mut records = BTreeMap::from([(job.key(), job)]);
    let mut worker_ids = ["a", "b", "c", "d"].map(str::to_owned);
    let mut starts = 0;
    for epoch in 2..10 {
        let Some(order) = harness.take_starts().pop() else { break };
        starts += 1;
        harness.started(&order);
        records.extend(
            committed_records(&harness.actions).into_iter().map(|record| (record.key(), record)),
        );
        // The owner ends together with the worker, so the next owner finds the worker replaced.
        harness = Harness::claimed_at(epoch, harness.now + ms(DOWNTIME_MS));
        for worker_id in worker_ids.iter_mut().filter(|worker_id| ***worker_id == *order.worker) {
            *worker_id = format!("{worker_id}'");
        }
        let ids: Vec<&str> = worker_ids.iter().map(String::as_str).collect();
        harness.take_over(records.values().cloned().collect(), &ids);
        for id in &ids {
            harness.polled(id, Vec::new(), Vec::new());
        }
        harness.advance(ms(10_000));
    }
    harness.advance(ms(100));
    assert!(starts <= MAX_STARTS, "{starts} starts");
    assert_eq!(harness.scheduler.state(JOB), Some(State::Failed));
}

/// Simulates workers that every seventh job crashes, without and with changes of owner.
fn simulate_fatal_jobs(reuses_ids: bool) {
    let no_faults = Faults::default();
    let fault_sets = [no_faults, Faults { takeover: 1, ..no_faults }];
    for (first, faults) in (1..).step_by(1_000).zip(fault_sets) {
        for seed in first..first + 12 {
            let mut simulation = Simulation::with_fatal_jobs(seed, faults, reuses_ids);
            for _ in 0..1_000 {
                simulation.maybe_submit();
                simulation.step();
            }
            simulation.settle();
            simulation.check_fatal_jobs();
        }
    }
}

#[test]
fn fatal_jobs_fail_and_all_others_complete() {
    simulate_fatal_jobs(false);
}

#[test]
fn fatal_jobs_fail_if_workers_restart_under_their_identifiers() {
    simulate_fatal_jobs(true);
}

#[test]
fn a_job_that_failed_by_losses_stays_failed_under_the_next_owner() {
    // The first owner records all three losses, and so the failure of the job, before it ends.
    let mut harness = Harness::with_workers(&["a", "b", "c", "d"]);
    harness.submit(vec![step(1, 2)]);
    let mut last = None;
    for _ in 0..3 {
        let order = harness.take_starts().remove(0);
        harness.started(&order);
        if last.replace(order.clone()).is_none() || !order.worker.ends_with("''") {
            crash(&mut harness, &order.worker);
        }
    }
    let last = last.expect("a start");
    let mut records = committed_records(&harness.actions);
    records.push(Record::Accepted(JOB, accepted(vec![step(1, 2)])));
    let mut next = Harness::claimed_at(2, harness.now + ms(DOWNTIME_MS));
    let ids = ["a", "b", "c", "d"].map(str::to_owned);
    let ids: Vec<&str> = ids.iter().map(String::as_str).filter(|id| **id != *last.worker).collect();
    next.take_over(records, &ids);
    next.advance(ms(10_000));
    next.advance(ms(100));
    assert_eq!(next.take_starts(), Vec::new());
    assert_eq!(next.scheduler.state(JOB), Some(State::Failed));
}

#[test]
fn losses_of_speculative_copies_count_for_one_task() {
    let copies = Step { speculative: true, ..step(1, 2) };
    let mut harness = Harness::with_workers(&["a", "b", "c", "d"]);
    harness.submit(vec![copies]);
    let first = harness.take_starts().remove(0);
    harness.started(&first);
    // A poll lists a copy that a previous owner has started on another worker.
    let copy = TaskId { ..first.task };
    harness.polled("b", vec![running(copy, 7)], Vec::new());
    crash(&mut harness, &first.worker);
    crash(&mut harness, "b");
    let third = harness.take_starts().remove(0);
    harness.started(&third);
    crash(&mut harness, &third.worker);
    harness.advance(ms(100));
    assert_eq!(harness.take_starts(), Vec::new());
    assert_eq!(harness.scheduler.state(JOB), Some(State::Failed));
}

#[test]
fn tasks_lost_together_twice_are_separated() {
    let mut harness = Harness::with_workers(&["a", "b", "c", "d"]);
    harness.submit(vec![step(4, 2)]);
    let mut workers = Vec::new();
    for _ in 0..3 {
        let starts = harness.take_starts();
        assert_eq!(starts.len(), 4);
        for order in &starts {
            harness.started(order);
        }
        let used: BTreeSet<_> = starts.iter().map(|order| Arc::clone(&order.worker)).collect();
        workers.push(used.len());
        crash(&mut harness, &starts[0].worker);
    }
    // After no or one loss the tasks are packed on one worker, to keep others free. After two they
    // are spread over the three workers that are listed then; the crashed one is not replaced yet.
    assert_eq!(workers, [1, 1, 3]);
}

/// Owner that takes over a job of one task with `losses` losses, each while other runs were on the
/// worker.
fn harness_with_losses(losses: u64, workers: &[&str]) -> Harness {
    let mut harness = Harness::new(1);
    harness.take_over(records_with_losses(losses, 0), workers);
    harness
}

/// The records of such a job, which was accepted `age_ms` ago.
fn records_with_losses(losses: u64, age_ms: u64) -> Vec<Record> {
    let lost = (1..=losses).map(|run| {
        let worker = format!("gone-{run}").into();
        Loss { run, worker, alone: false }
    });
    let task = TaskProgress { lost: lost.collect(), ..TaskProgress::default() };
    let tasks = BTreeMap::from([("0.0.0".to_owned(), task)]);
    let progress = Progress { state: State::Running, tasks, ended_ms: 0 };
    let at_ms = WALL_MS - age_ms;
    let suspect = Accepted { at_ms, ..(*accepted(vec![step(1, 2)])).clone() };
    vec![Record::Accepted(JOB, Arc::new(suspect)), Record::Progress(JOB, progress)]
}

#[test]
fn after_three_losses_a_task_is_isolated() {
    let mut harness = harness_with_losses(3, &["a"]);
    harness.polled("a", Vec::new(), Vec::new());
    harness.advance(ms(100));
    let suspect = harness.take_starts().remove(0);
    harness.started(&suspect);
    // Many tasks wait, and none of them starts beside the isolated one.
    harness.send(Event::Accepted(JobId(2), accepted(vec![step(60, 2)])));
    harness.advance(ms(100));
    assert_eq!(harness.take_starts(), Vec::new());
    let end = ended(1, suspect.task, suspect.run, Outcome::Done);
    harness.polled(&suspect.worker, Vec::new(), vec![end]);
    harness.advance(ms(100));
    assert_eq!(harness.take_starts().len(), 16);
    assert_eq!(harness.scheduler.state(JOB), Some(State::Completed));
}

#[test]
fn after_two_losses_a_task_is_not_isolated() {
    let mut harness = harness_with_losses(2, &["a"]);
    let others = TaskId { job: JobId(2), ..crate::common::task(0, 0) };
    harness.send(Event::Accepted(JobId(2), accepted(vec![step(4, 2)])));
    let rows = (0..4).map(|index| running(TaskId { index, ..others }, 7));
    harness.polled("a", rows.collect(), Vec::new());
    harness.advance(ms(100));
    assert_eq!(harness.take_starts().len(), 1);
}

#[test]
fn a_third_loss_beside_another_run_does_not_fail_the_job() {
    let mut harness = harness_with_losses(2, &["a", "b"]);
    harness.polled("a", Vec::new(), Vec::new());
    harness.advance(ms(100));
    let suspect = harness.take_starts().remove(0);
    harness.started(&suspect);
    // A run of another job has just been started on the same worker.
    let other = TaskId { job: JobId(2), ..crate::common::task(0, 0) };
    harness.send(Event::Accepted(JobId(2), accepted(vec![step(4, 2)])));
    harness.polled("a", vec![running(suspect.task, suspect.run), running(other, 7)], Vec::new());
    harness.polled("b", Vec::new(), Vec::new());
    crash(&mut harness, "a");
    assert_eq!(harness.scheduler.state(JOB), Some(State::Running));
    // The fourth start is isolated, so its loss fails the job.
    harness.advance(ms(10_000));
    let starts = harness.take_starts();
    let fourth = starts.iter().find(|order| order.task.job == JOB).expect("a start");
    let neighbours = starts.iter().filter(|order| order.worker == fourth.worker);
    assert_eq!(neighbours.count(), 1, "{starts:?}");
    for order in &starts {
        harness.started(order);
    }
    crash(&mut harness, &fourth.worker);
    assert_eq!(harness.scheduler.state(JOB), Some(State::Failed));
}

#[test]
fn a_full_worker_is_reserved_for_an_isolated_task() {
    check_reservation(harness_with_losses(3, &["a"]));
}

/// The jobs that can end in time wait for the reserved worker, and must not hold up the late task
/// that it is reserved for.
#[test]
fn a_late_task_that_is_isolated_is_not_held_up_by_jobs_that_can_end_in_time() {
    let settings = Settings { prefer_feasible: true, ..settings() };
    let mut harness = Harness::with_settings_in(settings, 1);
    harness.take_over(records_with_losses(3, 3_000), &["a"]);
    check_reservation(harness);
}

fn check_reservation(mut harness: Harness) {
    // Sixteen tasks run on the worker already, and as many wait.
    let others = TaskId { job: JobId(2), ..crate::common::task(0, 0) };
    harness.send(Event::Accepted(JobId(2), accepted(vec![step(32, 2)])));
    let rows = (0..16).map(|index| running(TaskId { index, ..others }, 7));
    let rows: Vec<_> = rows.collect();
    harness.polled("a", rows.clone(), Vec::new());
    assert_eq!(harness.take_starts(), Vec::new());
    // Half of them end, and none of the waiting ones takes their place.
    let ends = (1..).zip(&rows[..8]).map(|(number, row)| ended(number, row.task, 7, Outcome::Done));
    harness.polled("a", rows[8..].to_vec(), ends.collect());
    harness.advance(ms(100));
    assert_eq!(harness.take_starts(), Vec::new());
    let ends = (9..).zip(&rows[8..]).map(|(number, row)| ended(number, row.task, 7, Outcome::Done));
    harness.polled("a", Vec::new(), ends.collect());
    harness.advance(ms(100));
    let starts = harness.take_starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].task.job, JOB);
}

#[test]
fn a_finite_task_that_crashes_its_workers_late_fails_its_job() {
    let mut harness = Harness::with_workers(&["a", "b", "c", "d"]);
    harness.submit(vec![step(1, 2)]);
    let mut starts = 0;
    while let Some(order) = harness.take_starts().pop() {
        starts += 1;
        assert!(starts <= MAX_STARTS);
        harness.started(&order);
        for percent in 1..=5 {
            harness.advance(ms(1_000));
            let row = Running { percent, ..running(order.task, order.run) };
            harness.polled(&order.worker, vec![row], Vec::new());
        }
        crash(&mut harness, &order.worker);
    }
    assert_eq!(harness.scheduler.state(JOB), Some(State::Failed));
}

#[test]
fn a_third_loss_of_two_old_runs_together_does_not_fail_the_job() {
    let mut harness = harness_with_losses(2, &["a", "b"]);
    let other = TaskId { job: JobId(2), ..crate::common::task(0, 0) };
    harness.send(Event::Accepted(JobId(2), accepted(vec![step(1, 2)])));
    let suspect = crate::common::task(0, 0);
    for percent in 1..=5 {
        let row = |task| Running { percent, ..running(task, 7) };
        harness.polled("a", vec![row(suspect), row(other)], Vec::new());
        harness.advance(ms(1_000));
    }
    crash(&mut harness, "a");
    // This is the third loss, and either task may have caused it.
    assert_eq!(harness.scheduler.state(JOB), Some(State::Running));
}

#[test]
fn a_long_running_task_that_is_available_between_losses_never_fails_its_job() {
    let long_running_step = Step { long_running: true, ..step(1, 2) };
    let mut harness = Harness::with_workers(&["a", "b", "c", "d"]);
    harness.submit(vec![long_running_step]);
    for _ in 0..6 {
        let order = harness.take_starts().remove(0);
        harness.started(&order);
        for _ in 0..4 {
            harness.advance(ms(1_000));
            harness.polled(&order.worker, vec![running(order.task, order.run)], Vec::new());
        }
        crash(&mut harness, &order.worker);
    }
    assert_eq!(harness.take_starts().len(), 1);
    assert_eq!(harness.scheduler.state(JOB), Some(State::Running));
}

#[test]
fn a_long_running_task_that_was_available_at_each_loss_never_fails_its_job() {
    let mut harness = Harness::with_workers(&["a"]);
    harness.submit(vec![Step { long_running: true, ..step(1, 2) }]);
    for _ in 0..6 {
        let order = harness.take_starts().remove(0);
        harness.started(&order);
        harness.advance(ms(900));
        harness.polled(&order.worker, vec![running(order.task, order.run)], Vec::new());
        crash(&mut harness, &order.worker);
    }
    assert_eq!(harness.scheduler.state(JOB), Some(State::Running));
}

#[test]
fn a_long_running_task_that_crashes_its_workers_before_it_is_available_fails_its_job() {
    let mut harness = Harness::with_workers(&["a", "b", "c", "d"]);
    harness.submit(vec![Step { long_running: true, ..step(1, 2) }]);
    assert!(crash_each_start(&mut harness) <= MAX_STARTS);
    assert_eq!(harness.scheduler.state(JOB), Some(State::Failed));
}

#[test]
fn a_partitioned_worker_that_answers_again_causes_no_loss() {
    let mut harness = Harness::with_workers(&["a", "b", "c", "d"]);
    harness.submit(vec![step(1, 2)]);
    for _ in 0..4 {
        let order = harness.take_starts().remove(0);
        harness.started(&order);
        let sent = harness.now;
        let error = Error::NoAnswer;
        let worker = Arc::clone(&order.worker);
        harness.send(Event::PollFailed { worker, sent, extended: true, error });
        harness.advance(ms(6_000));
        harness.polled(&order.worker, Vec::new(), Vec::new());
    }
    let progress = harness.scheduler.progress(JOB, 0).expect("a job");
    assert!(progress.tasks["0.0.0"].lost.is_empty(), "{progress:?}");
    assert_eq!(harness.take_starts().len(), 1);
}

#[test]
fn a_start_answered_by_another_incarnation_is_not_a_loss() {
    let mut harness = Harness::with_workers(&["a", "b"]);
    harness.submit(vec![step(1, 2)]);
    let order = harness.take_starts().remove(0);
    // The poll finds the other incarnation first; the answer to the start then says that nothing
    // was started.
    crash(&mut harness, &order.worker);
    let Order { worker, task, run } = order;
    harness.send(Event::StartAnswered { worker, task, run, answer: Err(Error::OtherLife) });
    let progress = harness.scheduler.progress(JOB, 0).expect("a job");
    assert!(progress.tasks["0.0.0"].lost.is_empty(), "{progress:?}");
}

#[test]
fn a_draining_worker_that_ends_causes_no_loss() {
    let mut harness = Harness::with_workers(&["a", "b"]);
    harness.submit(vec![step(1, 2)]);
    let order = harness.take_starts().remove(0);
    harness.started(&order);
    harness.send(Event::WorkerListed(Entry { draining: true, ..entry(&order.worker) }));
    crash(&mut harness, &order.worker);
    let progress = harness.scheduler.progress(JOB, 0).expect("a job");
    assert!(progress.tasks["0.0.0"].lost.is_empty(), "{progress:?}");
}

/// Each worker runs a task of the step, so that none can isolate the other one.
#[test]
fn an_isolated_long_running_task_that_no_worker_can_take_is_reported() {
    let mut harness = Harness::new(2);
    let step = Step { long_running: true, max_per_worker: 1, ..step(2, 2) };
    let progress = records_with_losses(3, 1_000).into_iter().find_map(|record| match record {
        Record::Progress(_, progress) => Some(progress),
        _ => None,
    });
    let progress = Record::Progress(JOB, progress.expect("progress"));
    harness.take_over(vec![Record::Accepted(JOB, accepted(vec![step])), progress], &["a"]);
    let sibling = running(crate::common::task(0, 1), 7);
    for _ in 0..120 {
        harness.polled("a", vec![sibling.clone()], Vec::new());
        harness.advance(ms(100));
    }
    assert_eq!(harness.take_starts(), Vec::new());
    assert_eq!(harness.scheduler.report(harness.now).unplaced_long_running, 1);
}
