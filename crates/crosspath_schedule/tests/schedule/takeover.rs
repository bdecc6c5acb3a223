//! Taking over: what runs is adopted, what may run unseen is waited for.

use crosspath_border::worker::{Entry, Error, How};
use crosspath_job::record::Record;
use crosspath_schedule::Event;

use crate::common::{Bed, JOB, WALL_MS, accepted, ended, entry, ms, running, step, task};

fn inherited(workers: &[&str]) -> Bed {
    let mut bed = Bed::new(2);
    let record = Record::Accepted(JOB, accepted(vec![step(1, 2)]));
    bed.take_over(vec![record], workers);
    bed
}

#[test]
fn an_adopted_run_is_not_started_again() {
    let mut bed = inherited(&["a", "b"]);
    bed.held("a", vec![running(task(0, 0), 10_001)], Vec::new());
    bed.held("b", Vec::new(), Vec::new());
    bed.pass(ms(20_000));
    assert_eq!(bed.starts(), Vec::new());
    assert_eq!(bed.stops(), Vec::new());
}

#[test]
fn a_task_that_no_worker_shows_starts_once_all_have_answered() {
    let mut bed = inherited(&["a", "b"]);
    bed.held("a", Vec::new(), Vec::new());
    assert_eq!(bed.starts(), Vec::new());
    bed.held("b", Vec::new(), Vec::new());
    assert_eq!(bed.starts().len(), 1);
}

#[test]
fn a_silent_worker_holds_tasks_up_until_its_leases_must_have_ended() {
    let mut bed = inherited(&["a", "b"]);
    let began = bed.now;
    bed.held("a", Vec::new(), Vec::new());
    let sent = bed.now;
    bed.send(Event::HoldFailed {
        worker: "b".into(),
        sent,
        extended: false,
        error: Error::NoAnswer,
    });
    while bed.now < began + ms(1_200) + ms(5_000) {
        bed.pass(ms(100));
        assert_eq!(bed.starts(), Vec::new(), "at {:?}", bed.now);
        bed.held("a", Vec::new(), Vec::new());
    }
    bed.pass(ms(1_000));
    bed.held("a", Vec::new(), Vec::new());
    assert_eq!(bed.starts().len(), 1);
}

#[test]
fn an_end_that_the_owner_before_kept_but_did_not_acknowledge_counts_once() {
    let mut bed = Bed::new(2);
    let mut first = Bed::with_workers(&["a"]);
    first.submit(vec![step(1, 2)]);
    let order = first.starts().remove(0);
    first.started(&order);
    first.held("a", Vec::new(), vec![ended(1, order.task, order.run, How::Failed)]);
    first.pass(ms(50));
    let kept = first.actions.iter().find_map(|action| match action {
        crosspath_schedule::Action::Commit { records } => Some(records.clone()),
        _ => None,
    });
    let mut records = vec![Record::Accepted(JOB, accepted(vec![step(1, 2)]))];
    records.extend(kept.expect("a commit"));
    bed.take_over(records, &["a"]);
    // Listed again, and then two more failures: with max_attempts 3 the job fails at the third.
    bed.held("a", Vec::new(), vec![ended(1, order.task, order.run, How::Failed)]);
    let order = bed.starts().remove(0);
    bed.started(&order);
    bed.held("a", Vec::new(), vec![ended(2, order.task, order.run, How::Failed)]);
    bed.pass(ms(5_000));
    assert_eq!(bed.starts().len(), 1, "the third attempt is due");
}

#[test]
fn of_two_lives_of_a_vm_the_one_written_later_is_there() {
    let mut bed = Bed::new(2);
    let record = Record::Accepted(JOB, accepted(vec![step(1, 2)]));
    // The list still has the life before, and gives it last.
    let old = Entry { vm: "vm".into(), position: 7, ..entry("z-old") };
    let new = Entry { vm: "vm".into(), position: 9, ..entry("a-new") };
    bed.scheduler.take_over(bed.now, WALL_MS, vec![record], Some(vec![new, old]));
    bed.decide();
    bed.pass(ms(100));
    assert_eq!(bed.starts(), Vec::new(), "the later life has not told what runs there");
    bed.held("a-new", vec![running(task(0, 0), 10_001)], Vec::new());
    bed.pass(ms(100));
    assert_eq!(bed.starts(), Vec::new());
}
