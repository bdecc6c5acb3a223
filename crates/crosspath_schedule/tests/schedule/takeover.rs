//! Taking over: what runs is adopted, what may run unseen is waited for.

use crosspath_border::worker::{Entry, Error, Outcome};
use crosspath_job::record::Record;
use crosspath_schedule::Event;

use crate::common::{
    Bed, JOB, Ordered, WALL_MS, accepted, ended, entry, kept, ms, running, step, task,
};

/// An owner before that has started the job's one task on one of `workers`, and what it kept.
fn owner_before(workers: &[&str]) -> (Ordered, Vec<Record>) {
    let mut before = Bed::with_workers(workers);
    before.submit(vec![step(1, 2)]);
    let mut records = vec![Record::Accepted(JOB, accepted(vec![step(1, 2)]))];
    records.extend(kept(&before.actions));
    (before.starts().remove(0), records)
}

/// A new owner, after one that had not started anything.
fn inherited(workers: &[&str]) -> Bed {
    let mut bed = Bed::new(2);
    let record = Record::Accepted(JOB, accepted(vec![step(1, 2)]));
    bed.take_over(vec![record], workers);
    bed
}

fn silent(bed: &mut Bed, worker: &str) {
    let (worker, sent, error) = (worker.into(), bed.now, Error::NoAnswer);
    bed.send(Event::PollFailed { worker, sent, extended: false, error });
}

#[test]
fn an_adopted_run_is_not_started_again() {
    let (order, records) = owner_before(&["a", "b"]);
    let mut bed = Bed::new(2);
    bed.take_over(records, &["a", "b"]);
    for worker in ["a", "b"] {
        let there = *worker == *order.worker;
        let rows = there.then(|| running(order.task, order.run));
        bed.held(worker, rows.into_iter().collect(), Vec::new());
    }
    bed.pass(ms(20_000));
    assert_eq!(bed.starts(), Vec::new());
    assert_eq!(bed.stops(), Vec::new());
}

#[test]
fn a_task_without_a_place_in_the_log_starts_as_soon_as_some_worker_answers() {
    let mut bed = inherited(&["a", "b"]);
    bed.held("a", Vec::new(), Vec::new());
    assert_eq!(bed.starts().len(), 1);
}

#[test]
fn a_task_that_its_worker_does_not_show_starts_elsewhere_once_that_has_answered() {
    let (order, records) = owner_before(&["a", "b"]);
    let other = if *order.worker == *"a" { "b" } else { "a" };
    let mut bed = Bed::new(2);
    bed.take_over(records, &["a", "b"]);
    bed.held(other, Vec::new(), Vec::new());
    assert_eq!(bed.starts(), Vec::new());
    let worker = order.worker.to_string();
    bed.held(&worker, Vec::new(), Vec::new());
    let starts = bed.starts();
    assert_eq!(starts.len(), 1);
    assert!(starts[0].run > order.run, "run numbers rise over owners");
}

/// Passes time with `answering` answering and `quiet` not, until something starts.
fn time_to_start(bed: &mut Bed, answering: &str, quiet: &str) -> std::time::Duration {
    let began = bed.now;
    bed.held(answering, Vec::new(), Vec::new());
    silent(bed, quiet);
    loop {
        if !bed.starts().is_empty() {
            return bed.now - began;
        }
        assert!(bed.now < began + ms(30_000), "nothing starts");
        bed.pass(ms(100));
        bed.held(answering, Vec::new(), Vec::new());
    }
}

#[test]
fn a_silent_worker_holds_its_tasks_up_until_its_leases_must_have_ended() {
    let (order, records) = owner_before(&["a", "b"]);
    let other = if *order.worker == *"a" { "b" } else { "a" };
    let mut bed = Bed::new(2);
    bed.take_over(records, &["a", "b"]);
    let worker = order.worker.to_string();
    let waited = time_to_start(&mut bed, other, &worker);
    assert!(waited > ms(1_200) + ms(5_000), "{waited:?}");
    assert!(waited < ms(8_000), "{waited:?}");
}

#[test]
fn a_place_outlives_an_owner_that_did_not_see_the_run() {
    let (order, mut records) = owner_before(&["a", "b"]);
    let other = if *order.worker == *"a" { "b" } else { "a" };
    let mut second = Bed::new(2);
    second.take_over(records.clone(), &["a", "b"]);
    second.held(other, Vec::new(), Vec::new());
    let keep = second.scheduler.progress(JOB, WALL_MS).expect("a known job");
    records.push(Record::Progress(JOB, keep));
    let mut third = Bed::new(3);
    third.take_over(records, &["a", "b"]);
    third.held(other, Vec::new(), Vec::new());
    assert_eq!(third.starts(), Vec::new(), "the first owner's run may be on {}", order.worker);
}

#[test]
fn a_silent_worker_that_leaves_the_list_is_waited_for_all_the_same() {
    let (order, records) = owner_before(&["a", "b"]);
    let other = if *order.worker == *"a" { "b" } else { "a" };
    let mut bed = Bed::new(2);
    bed.take_over(records, &["a", "b"]);
    let began = bed.now;
    silent(&mut bed, &order.worker);
    bed.send(Event::WorkerUnlisted(order.worker.clone()));
    while bed.now < began + ms(6_000) {
        bed.pass(ms(100));
        bed.held(other, Vec::new(), Vec::new());
        assert_eq!(bed.starts(), Vec::new(), "after {:?}", bed.now - began);
    }
    bed.pass(ms(2_000));
    assert_eq!(bed.starts().len(), 1);
}

#[test]
fn a_task_that_no_record_places_does_not_wait_for_silent_workers() {
    let mut bed = Bed::new(2);
    let record = Record::Accepted(JOB, accepted(vec![step(1, 2)]));
    bed.take_over(vec![record], &["a", "b"]);
    assert_eq!(bed.starts(), Vec::new(), "no worker has answered yet");
    bed.held("b", Vec::new(), Vec::new());
    bed.pass(ms(100));
    assert_eq!(bed.starts().len(), 1);
}

#[test]
fn nothing_is_started_before_its_place_is_kept() {
    let mut bed = Bed::with_workers(&["a"]);
    bed.keeps = false;
    bed.submit(vec![step(2, 2)]);
    bed.pass(ms(100));
    assert_eq!(bed.starts(), Vec::new());
    bed.send(Event::Committed);
    assert_eq!(bed.starts().len(), 2);
}

#[test]
fn while_the_store_is_away_nothing_is_started_without_a_record() {
    let mut bed = Bed::with_workers(&["a"]);
    bed.keeps = false;
    bed.submit(vec![step(2, 2)]);
    // Far longer than membership lasts; the owner may act on since the store is away for all.
    for _ in 0..60 {
        bed.pass(ms(100));
        bed.send(Event::MayAct(true));
        assert_eq!(bed.starts(), Vec::new());
    }
    // The record that was under way is kept once the store is back.
    bed.send(Event::Committed);
    assert_eq!(bed.starts().len(), 2);
    bed.send(Event::Committed);
    assert_eq!(bed.starts(), Vec::new(), "nothing is started twice");
}

#[test]
fn an_end_that_the_owner_before_kept_but_did_not_acknowledge_counts_once() {
    let mut first = Bed::with_workers(&["a"]);
    first.submit(vec![step(1, 2)]);
    let order = first.starts().remove(0);
    first.started(&order);
    first.held("a", Vec::new(), vec![ended(1, order.task, order.run, Outcome::Failed)]);
    first.pass(ms(50));
    let mut records = vec![Record::Accepted(JOB, accepted(vec![step(1, 2)]))];
    records.extend(kept(&first.actions));
    let mut bed = Bed::new(2);
    bed.take_over(records, &["a"]);
    // Listed again, and then one more failure: with max_attempts 3 a third attempt is due.
    bed.held("a", Vec::new(), vec![ended(1, order.task, order.run, Outcome::Failed)]);
    let order = bed.starts().remove(0);
    bed.started(&order);
    bed.held("a", Vec::new(), vec![ended(2, order.task, order.run, Outcome::Failed)]);
    bed.pass(ms(5_000));
    assert_eq!(bed.starts().len(), 1, "the third attempt is due");
}

#[test]
fn of_two_lives_of_a_vm_the_one_that_ran_the_task_is_asked() {
    let mut bed = Bed::new(2);
    let (order, records) = owner_before(&["a-new"]);
    // The list still has the life before, and gives it last.
    let old = Entry { vm: "vm".into(), ..entry("z-old") };
    let new = Entry { vm: "vm".into(), ..entry("a-new") };
    bed.scheduler.take_over(bed.now, WALL_MS, records, vec![new, old]);
    bed.decide();
    bed.pass(ms(100));
    assert_eq!(bed.starts(), Vec::new(), "the later life has not told what runs there");
    bed.held("a-new", vec![running(order.task, order.run)], Vec::new());
    bed.pass(ms(100));
    assert_eq!(bed.starts(), Vec::new());
    assert_eq!(order.task, task(0, 0));
}

#[test]
fn a_late_entry_of_an_earlier_life_does_not_end_the_one_that_answers() {
    let mut bed = Bed::new(1);
    let new = Entry { vm: "vm".into(), ..entry("new") };
    let late = Entry { vm: "vm".into(), ..entry("old") };
    bed.scheduler.take_over(bed.now, WALL_MS, Vec::new(), vec![new]);
    bed.decide();
    bed.held("new", Vec::new(), Vec::new());
    bed.submit(vec![step(1, 2)]);
    let order = bed.starts().remove(0);
    bed.started(&order);
    bed.send(Event::WorkerListed(entry("other")));
    bed.held("other", Vec::new(), Vec::new());
    bed.send(Event::WorkerListed(late));
    bed.pass(ms(100));
    assert_eq!(bed.starts(), Vec::new(), "the task runs where it was");
    // The earlier life does not answer, and the later one does.
    silent(&mut bed, "old");
    bed.held("new", vec![running(order.task, order.run)], Vec::new());
    bed.pass(ms(1_000));
    assert_eq!(bed.starts(), Vec::new());
}

#[test]
fn of_two_lives_in_the_list_the_one_that_answers_is_there() {
    let mut bed = Bed::new(2);
    let (order, records) = owner_before(&["new"]);
    let new = Entry { vm: "vm".into(), ..entry("new") };
    let late = Entry { vm: "vm".into(), ..entry("old") };
    bed.scheduler.take_over(bed.now, WALL_MS, records, vec![new, late, entry("other")]);
    bed.decide();
    bed.held("other", Vec::new(), Vec::new());
    bed.pass(ms(100));
    assert_eq!(bed.starts(), Vec::new(), "the life that was recorded may run the task");
    bed.held("new", vec![running(order.task, order.run)], Vec::new());
    bed.pass(ms(100));
    assert_eq!(bed.starts(), Vec::new());
}

#[test]
fn a_life_that_answers_ends_those_before_it() {
    let mut bed = Bed::new(1);
    let old = Entry { vm: "vm".into(), ..entry("old") };
    let new = Entry { vm: "vm".into(), ..entry("new") };
    bed.scheduler.take_over(bed.now, WALL_MS, Vec::new(), vec![old]);
    bed.decide();
    bed.held("old", Vec::new(), Vec::new());
    bed.submit(vec![step(1, 2)]);
    let order = bed.starts().remove(0);
    bed.started(&order);
    bed.send(Event::WorkerListed(new));
    bed.held("new", Vec::new(), Vec::new());
    bed.pass(ms(50));
    assert_eq!(bed.starts().len(), 1, "what ran in the life before is gone with it");
}

/// How long the job's one task waits under the last of some owners, of which each takes over `between`
/// after the one before, while the task's worker is silent and, from the first of them on, not listed.
fn wait_under_last_owner(between: &[u64], hears: bool) -> std::time::Duration {
    let (order, records) = owner_before(&["a", "b"]);
    let other = if *order.worker == *"a" { "b" } else { "a" };
    let mut owner = Bed::new(2);
    owner.take_over(records.clone(), &["a", "b"]);
    owner.held(other, Vec::new(), Vec::new());
    silent(&mut owner, &order.worker);
    for (epoch, pause) in (3..).zip(between) {
        owner.pass(ms(*pause));
        let handover = owner.scheduler.handover(owner.now);
        assert_eq!(handover.epoch + 1, epoch);
        let mut next = Bed::at(epoch, owner.now);
        next.take_over(records.clone(), &[other]);
        if hears {
            next.send(Event::LeasesHandedOver(handover.expiries));
        }
        next.held(other, Vec::new(), Vec::new());
        owner = next;
    }
    let began = owner.now;
    while owner.starts().is_empty() {
        assert!(owner.now < began + ms(30_000), "nothing starts");
        owner.pass(ms(100));
        owner.held(other, Vec::new(), Vec::new());
    }
    owner.now - began
}

#[test]
fn an_owner_that_leaves_tells_the_next_how_long_it_has_waited_already() {
    let alone = wait_under_last_owner(&[1_000, 4_000], false);
    assert!(alone > ms(6_400), "{alone:?}");
    let told = wait_under_last_owner(&[1_000, 4_000], true);
    assert!(told < alone - ms(4_000), "{told:?} instead of {alone:?}");
    assert!(told > ms(1_000), "leases last: {told:?}");
}

#[test]
fn with_an_owner_after_the_other_the_wait_ends_all_the_same() {
    let told = wait_under_last_owner(&[1_000, 2_000, 1_000, 1_500], true);
    assert!(told <= ms(1_600), "{told:?}");
    let alone = wait_under_last_owner(&[1_000, 2_000, 1_000, 1_500], false);
    assert!(alone > ms(6_400), "{alone:?}");
}

#[test]
fn a_worker_that_its_owner_has_looked_at_may_have_heard_that_until_the_owner_left() {
    let mut first = Bed::with_workers(&["a"]);
    first.pass(ms(3_000));
    let over = first.scheduler.handover(first.now).expiries;
    assert!(over["a"] >= first.now + ms(5_000), "{over:?}");
}

#[test]
fn a_look_on_its_way_holds_up_what_the_owner_before_gave_free() {
    let (order, records) = owner_before(&["a", "b"]);
    let other = if *order.worker == *"a" { "b" } else { "a" };
    let mut bed = Bed::new(2);
    bed.take_over(records, &["a", "b"]);
    let over = [(order.worker.clone(), bed.now)].into();
    bed.send(Event::LeasesHandedOver(over));
    bed.held(other, Vec::new(), Vec::new());
    bed.pass(ms(500));
    assert_eq!(bed.starts(), Vec::new(), "its first look may extend what runs there");
    // That look fails, and may have been heard.
    let (worker, sent) = (order.worker.clone(), bed.now);
    let error = Error::NoAnswer;
    bed.send(Event::PollFailed { worker, sent, extended: true, error });
    bed.pass(ms(3_000));
    assert_eq!(bed.starts(), Vec::new(), "it may have been heard");
}
