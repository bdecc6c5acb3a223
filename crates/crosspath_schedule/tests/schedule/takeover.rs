//! Takeover of a shard: runs that workers report are adopted, and tasks that may run on silent
//! workers wait until the leases there have expired.

use crosspath_border::worker::{Entry, Error, Outcome};
use crosspath_job::record::Record;
use crosspath_schedule::Event;

use crate::common::{
    Harness, JOB, Order, WALL_MS, accepted, committed_records, ended, entry, ms, running, step,
    task,
};

/// Start of the job's one task by a previous owner, on one of `workers`, and the records that this
/// owner committed.
fn start_under_previous_owner(workers: &[&str]) -> (Order, Vec<Record>) {
    let mut previous = Harness::with_workers(workers);
    previous.submit(vec![step(1, 2)]);
    let mut records = vec![Record::Accepted(JOB, accepted(vec![step(1, 2)]))];
    records.extend(committed_records(&previous.actions));
    (previous.take_starts().remove(0), records)
}

/// New owner, after one that has not started anything.
fn new_owner(workers: &[&str]) -> Harness {
    let mut harness = Harness::new(2);
    let record = Record::Accepted(JOB, accepted(vec![step(1, 2)]));
    harness.take_over(vec![record], workers);
    harness
}

fn poll_unanswered(harness: &mut Harness, worker: &str) {
    let (worker, sent, error) = (worker.into(), harness.now, Error::NoAnswer);
    harness.send(Event::PollFailed { worker, sent, extended: false, error });
}

#[test]
fn an_adopted_run_is_not_started_again() {
    let (order, records) = start_under_previous_owner(&["a", "b"]);
    let mut harness = Harness::new(2);
    harness.take_over(records, &["a", "b"]);
    for worker in ["a", "b"] {
        let is_here = *worker == *order.worker;
        let rows = is_here.then(|| running(order.task, order.run));
        harness.polled(worker, rows.into_iter().collect(), Vec::new());
    }
    harness.advance(ms(20_000));
    assert_eq!(harness.take_starts(), Vec::new());
    assert_eq!(harness.take_stops(), Vec::new());
}

#[test]
fn a_task_without_a_placement_record_starts_as_soon_as_a_worker_answers() {
    let mut harness = new_owner(&["a", "b"]);
    harness.polled("a", Vec::new(), Vec::new());
    assert_eq!(harness.take_starts().len(), 1);
}

#[test]
fn a_task_that_its_worker_does_not_report_starts_once_that_worker_has_answered() {
    let (order, records) = start_under_previous_owner(&["a", "b"]);
    let other = if *order.worker == *"a" { "b" } else { "a" };
    let mut harness = Harness::new(2);
    harness.take_over(records, &["a", "b"]);
    harness.polled(other, Vec::new(), Vec::new());
    assert_eq!(harness.take_starts(), Vec::new());
    let worker = order.worker.to_string();
    harness.polled(&worker, Vec::new(), Vec::new());
    let starts = harness.take_starts();
    assert_eq!(starts.len(), 1);
    assert!(starts[0].run > order.run, "run numbers increase from owner to owner");
}

/// Time until a task starts while worker `answering` answers polls and worker `silent` does not.
fn time_to_start(harness: &mut Harness, answering: &str, silent: &str) -> std::time::Duration {
    let started_at = harness.now;
    harness.polled(answering, Vec::new(), Vec::new());
    poll_unanswered(harness, silent);
    loop {
        if !harness.take_starts().is_empty() {
            return harness.now - started_at;
        }
        assert!(harness.now < started_at + ms(30_000), "nothing starts");
        harness.advance(ms(100));
        harness.polled(answering, Vec::new(), Vec::new());
    }
}

#[test]
fn a_silent_worker_delays_its_tasks_until_its_leases_have_expired() {
    let (order, records) = start_under_previous_owner(&["a", "b"]);
    let other = if *order.worker == *"a" { "b" } else { "a" };
    let mut harness = Harness::new(2);
    harness.take_over(records, &["a", "b"]);
    let worker = order.worker.to_string();
    let waited = time_to_start(&mut harness, other, &worker);
    assert!(waited > ms(1_200) + ms(5_000), "{waited:?}");
    assert!(waited < ms(8_000), "{waited:?}");
}

#[test]
fn a_placement_record_survives_an_owner_that_did_not_see_the_run() {
    let (order, mut records) = start_under_previous_owner(&["a", "b"]);
    let other = if *order.worker == *"a" { "b" } else { "a" };
    let mut second = Harness::new(2);
    second.take_over(records.clone(), &["a", "b"]);
    second.polled(other, Vec::new(), Vec::new());
    let progress = second.scheduler.progress(JOB, WALL_MS).expect("a known job");
    records.push(Record::Progress(JOB, progress));
    let mut third = Harness::new(3);
    third.take_over(records, &["a", "b"]);
    third.polled(other, Vec::new(), Vec::new());
    assert_eq!(
        third.take_starts(),
        Vec::new(),
        "the run of the first owner may exist on {}",
        order.worker
    );
}

#[test]
fn a_silent_worker_that_is_unlisted_still_delays_its_tasks() {
    an_unlisted_worker_delays_its_tasks(false);
}

/// Guards against a task that runs twice: a worker that drains is cut off, and the owner that takes
/// over never reaches it.
#[test]
fn a_silent_draining_worker_that_is_unlisted_still_delays_its_tasks() {
    an_unlisted_worker_delays_its_tasks(true);
}

fn an_unlisted_worker_delays_its_tasks(draining: bool) {
    let (order, records) = start_under_previous_owner(&["a", "b"]);
    let other = if *order.worker == *"a" { "b" } else { "a" };
    let mut harness = Harness::new(2);
    harness.take_over(records, &["a", "b"]);
    let started_at = harness.now;
    if draining {
        harness.send(Event::WorkerListed(Entry { draining, ..entry(&order.worker) }));
    }
    poll_unanswered(&mut harness, &order.worker);
    harness.send(Event::WorkerUnlisted(order.worker.clone()));
    while harness.now < started_at + ms(6_000) {
        harness.advance(ms(100));
        harness.polled(other, Vec::new(), Vec::new());
        assert_eq!(harness.take_starts(), Vec::new(), "after {:?}", harness.now - started_at);
    }
    harness.advance(ms(2_000));
    assert_eq!(harness.take_starts().len(), 1);
}

#[test]
fn a_task_without_a_placement_record_does_not_wait_for_silent_workers() {
    let mut harness = Harness::new(2);
    let record = Record::Accepted(JOB, accepted(vec![step(1, 2)]));
    harness.take_over(vec![record], &["a", "b"]);
    assert_eq!(harness.take_starts(), Vec::new(), "no worker has answered yet");
    harness.polled("b", Vec::new(), Vec::new());
    harness.advance(ms(100));
    assert_eq!(harness.take_starts().len(), 1);
}

#[test]
fn nothing_is_started_before_its_placement_is_durable() {
    let mut harness = Harness::with_workers(&["a"]);
    harness.auto_commit = false;
    harness.submit(vec![step(2, 2)]);
    harness.advance(ms(100));
    assert_eq!(harness.take_starts(), Vec::new());
    harness.send(Event::Committed);
    assert_eq!(harness.take_starts().len(), 2);
}

#[test]
fn during_a_store_outage_nothing_is_started_without_a_record() {
    let mut harness = Harness::with_workers(&["a"]);
    harness.auto_commit = false;
    harness.submit(vec![step(2, 2)]);
    // Far longer than the membership TTL. The owner may continue to act because the store is
    // unavailable to all daemons, so that no other can take over.
    for _ in 0..60 {
        harness.advance(ms(100));
        harness.send(Event::MayAct(true));
        assert_eq!(harness.take_starts(), Vec::new());
    }
    // The record in flight becomes durable once the store is available again.
    harness.send(Event::Committed);
    assert_eq!(harness.take_starts().len(), 2);
    harness.send(Event::Committed);
    assert_eq!(harness.take_starts(), Vec::new(), "nothing is started twice");
}

#[test]
fn an_end_that_the_previous_owner_stored_but_did_not_acknowledge_counts_once() {
    let mut first = Harness::with_workers(&["a"]);
    first.submit(vec![step(1, 2)]);
    let order = first.take_starts().remove(0);
    first.started(&order);
    first.polled("a", Vec::new(), vec![ended(1, order.task, order.run, Outcome::Failed)]);
    first.advance(ms(50));
    let mut records = vec![Record::Accepted(JOB, accepted(vec![step(1, 2)]))];
    records.extend(committed_records(&first.actions));
    let mut harness = Harness::new(2);
    harness.take_over(records, &["a"]);
    // The worker reports the first failure again, then one more. With `max_attempts` of 3 a third
    // attempt is due.
    harness.polled("a", Vec::new(), vec![ended(1, order.task, order.run, Outcome::Failed)]);
    let order = harness.take_starts().remove(0);
    harness.started(&order);
    harness.polled("a", Vec::new(), vec![ended(2, order.task, order.run, Outcome::Failed)]);
    harness.advance(ms(5_000));
    assert_eq!(harness.take_starts().len(), 1, "the third attempt is due");
}

#[test]
fn of_two_incarnations_of_a_vm_the_one_that_ran_the_task_must_answer() {
    let mut harness = Harness::new(2);
    let (order, records) = start_under_previous_owner(&["a-new"]);
    // The worker list still has an earlier incarnation, as its last entry.
    let old = Entry { vm: "vm".into(), ..entry("z-old") };
    let new = Entry { vm: "vm".into(), ..entry("a-new") };
    harness.scheduler.take_over(harness.now, WALL_MS, records, vec![new, old]);
    harness.decide();
    harness.advance(ms(100));
    assert_eq!(
        harness.take_starts(),
        Vec::new(),
        "the later incarnation has not reported its runs"
    );
    harness.polled("a-new", vec![running(order.task, order.run)], Vec::new());
    harness.advance(ms(100));
    assert_eq!(harness.take_starts(), Vec::new());
    assert_eq!(order.task, task(0, 0));
}

#[test]
fn a_late_entry_of_an_earlier_incarnation_does_not_end_the_one_that_answers() {
    let mut harness = Harness::new(1);
    let new = Entry { vm: "vm".into(), ..entry("new") };
    let late = Entry { vm: "vm".into(), ..entry("old") };
    harness.scheduler.take_over(harness.now, WALL_MS, Vec::new(), vec![new]);
    harness.decide();
    harness.polled("new", Vec::new(), Vec::new());
    harness.submit(vec![step(1, 2)]);
    let order = harness.take_starts().remove(0);
    harness.started(&order);
    harness.send(Event::WorkerListed(entry("other")));
    harness.polled("other", Vec::new(), Vec::new());
    harness.send(Event::WorkerListed(late));
    harness.advance(ms(100));
    assert_eq!(harness.take_starts(), Vec::new(), "the task still runs on the later incarnation");
    // The earlier incarnation does not answer, and the later one does.
    poll_unanswered(&mut harness, "old");
    harness.polled("new", vec![running(order.task, order.run)], Vec::new());
    harness.advance(ms(1_000));
    assert_eq!(harness.take_starts(), Vec::new());
}

#[test]
fn of_two_listed_incarnations_the_one_that_answers_is_current() {
    let mut harness = Harness::new(2);
    let (order, records) = start_under_previous_owner(&["new"]);
    let new = Entry { vm: "vm".into(), ..entry("new") };
    let late = Entry { vm: "vm".into(), ..entry("old") };
    harness.scheduler.take_over(harness.now, WALL_MS, records, vec![new, late, entry("other")]);
    harness.decide();
    harness.polled("other", Vec::new(), Vec::new());
    harness.advance(ms(100));
    assert_eq!(harness.take_starts(), Vec::new(), "the incarnation in the record may run the task");
    harness.polled("new", vec![running(order.task, order.run)], Vec::new());
    harness.advance(ms(100));
    assert_eq!(harness.take_starts(), Vec::new());
}

#[test]
fn an_incarnation_that_answers_ends_the_earlier_ones() {
    let mut harness = Harness::new(1);
    let old = Entry { vm: "vm".into(), ..entry("old") };
    let new = Entry { vm: "vm".into(), ..entry("new") };
    harness.scheduler.take_over(harness.now, WALL_MS, Vec::new(), vec![old]);
    harness.decide();
    harness.polled("old", Vec::new(), Vec::new());
    harness.submit(vec![step(1, 2)]);
    let order = harness.take_starts().remove(0);
    harness.started(&order);
    harness.send(Event::WorkerListed(new));
    harness.polled("new", Vec::new(), Vec::new());
    harness.advance(ms(50));
    assert_eq!(
        harness.take_starts().len(),
        1,
        "the run of the earlier incarnation has ended with it"
    );
}

/// Time for which the job's one task waits under the last of several owners. Each of them takes
/// over after the next of `pauses`, in ms, and receives the handover of the previous one if
/// `with_handover` is set. The worker that the task was started on is silent throughout, and not
/// listed by these owners.
fn wait_under_last_owner(pauses: &[u64], with_handover: bool) -> std::time::Duration {
    let (order, records) = start_under_previous_owner(&["a", "b"]);
    let other = if *order.worker == *"a" { "b" } else { "a" };
    let mut owner = Harness::new(2);
    owner.take_over(records.clone(), &["a", "b"]);
    owner.polled(other, Vec::new(), Vec::new());
    poll_unanswered(&mut owner, &order.worker);
    for (epoch, pause) in (3..).zip(pauses) {
        owner.advance(ms(*pause));
        let handover = owner.scheduler.handover(owner.now);
        assert_eq!(handover.epoch + 1, epoch);
        let mut next = Harness::claimed_at(epoch, owner.now);
        next.take_over(records.clone(), &[other]);
        if with_handover {
            next.send(Event::LeasesHandedOver(handover.expiries));
        }
        next.polled(other, Vec::new(), Vec::new());
        owner = next;
    }
    let started_at = owner.now;
    while owner.take_starts().is_empty() {
        assert!(owner.now < started_at + ms(30_000), "nothing starts");
        owner.advance(ms(100));
        owner.polled(other, Vec::new(), Vec::new());
    }
    owner.now - started_at
}

#[test]
fn a_handover_shortens_the_wait_by_what_the_previous_owner_has_waited() {
    let without_handover = wait_under_last_owner(&[1_000, 4_000], false);
    assert!(without_handover > ms(6_400), "{without_handover:?}");
    let with_handover = wait_under_last_owner(&[1_000, 4_000], true);
    assert!(
        with_handover < without_handover - ms(4_000),
        "{with_handover:?} instead of {without_handover:?}"
    );
    assert!(with_handover > ms(1_000), "the leases have not expired before: {with_handover:?}");
}

#[test]
fn with_successive_owners_and_handovers_the_wait_still_ends() {
    let with_handover = wait_under_last_owner(&[1_000, 2_000, 1_000, 1_500], true);
    assert!(with_handover <= ms(1_600), "{with_handover:?}");
    let without_handover = wait_under_last_owner(&[1_000, 2_000, 1_000, 1_500], false);
    assert!(without_handover > ms(6_400), "{without_handover:?}");
}

#[test]
fn a_polled_worker_may_have_extended_its_leases_until_the_handover() {
    let mut first = Harness::with_workers(&["a"]);
    first.advance(ms(3_000));
    let expiries = first.scheduler.handover(first.now).expiries;
    assert!(expiries["a"] >= first.now + ms(5_000), "{expiries:?}");
}

#[test]
fn a_poll_in_flight_delays_tasks_whose_leases_were_handed_over_as_expired() {
    let (order, records) = start_under_previous_owner(&["a", "b"]);
    let other = if *order.worker == *"a" { "b" } else { "a" };
    let mut harness = Harness::new(2);
    harness.take_over(records, &["a", "b"]);
    let expiries = [(order.worker.clone(), harness.now)].into();
    harness.send(Event::LeasesHandedOver(expiries));
    harness.polled(other, Vec::new(), Vec::new());
    harness.advance(ms(500));
    assert_eq!(
        harness.take_starts(),
        Vec::new(),
        "the first poll may extend the leases of runs there"
    );
    // That poll gets no answer, but the worker may have received it.
    let (worker, sent) = (order.worker.clone(), harness.now);
    let error = Error::NoAnswer;
    harness.send(Event::PollFailed { worker, sent, extended: true, error });
    harness.advance(ms(3_000));
    assert_eq!(harness.take_starts(), Vec::new(), "the worker may have received the poll");
}
