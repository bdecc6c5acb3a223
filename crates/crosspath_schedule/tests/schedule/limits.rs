//! What customers may have running.

use std::collections::BTreeSet;
use std::sync::Arc;

use crosspath_job::JobId;
use crosspath_job::record::{Accepted, Record};
use crosspath_job::spec::Resources;
use crosspath_quota::{Ledger, Limits, Request};
use crosspath_schedule::{Action, Event};

use crate::common::{Bed, JOB, Ordered, accepted, ended, kept, ms, step};
use crosspath_border::worker::Outcome;

fn limits(cores: u64) -> Limits {
    let room = Resources { cpu_millis: cores * 1_000, ..Resources::UNLIMITED };
    [("water".into(), room)].into()
}

/// A job of one step of tasks with 4 cores each.
fn job_of(customer: &str, tasks: u32) -> Arc<Accepted> {
    let job = accepted(vec![step(tasks, 4)]);
    Arc::new(Accepted { customer: Some(customer.into()), ..(*job).clone() })
}

/// The last question for parts since the last call.
fn asked(bed: &mut Bed) -> Option<Request> {
    let mut found = None;
    bed.actions.retain(|action| match action {
        Action::RequestQuota { request } => {
            found = Some(request.clone());
            false
        }
        _ => true,
    });
    found
}

/// Answers all questions by a ledger of this one shard, until none is due.
fn deal(bed: &mut Bed, ledger: &mut Ledger, limits: &Limits) {
    let shards = BTreeSet::from([0]);
    for _ in 0..4 {
        if let Some(ask) = asked(bed) {
            let grant = ledger.grant(&ask, limits, &shards);
            bed.send(Event::QuotaAnswered { number: ask.number, grant });
        }
        bed.pass(ms(120));
    }
}

fn bed(cores: u64) -> Bed {
    let mut bed = Bed::with_workers(&["a", "b"]);
    bed.send(Event::Limits(limits(cores)));
    bed
}

#[test]
fn nothing_of_a_customer_starts_before_a_part_is_dealt() {
    let mut bed = bed(100);
    bed.send(Event::Accepted(JOB, job_of("water", 2)));
    assert_eq!(bed.starts(), Vec::new());
    deal(&mut bed, &mut Ledger::new(1), &limits(100));
    assert_eq!(bed.starts().len(), 2);
}

#[test]
fn jobs_of_customers_without_a_maximum_and_of_none_are_not_held_back() {
    let mut bed = bed(1);
    bed.send(Event::Accepted(JOB, job_of("power", 2)));
    bed.pass(ms(60));
    bed.send(Event::Accepted(JobId(7), accepted(vec![step(2, 4)])));
    bed.pass(ms(60));
    assert_eq!(bed.starts().len(), 4);
}

#[test]
fn as_much_runs_as_the_maximum_and_the_rest_follows_as_tasks_end() {
    let mut bed = bed(10);
    let mut ledger = Ledger::new(1);
    bed.send(Event::Accepted(JOB, job_of("water", 6)));
    deal(&mut bed, &mut ledger, &limits(10));
    let mut running = bed.starts();
    // Two fit, and one more task starts while anything is left.
    assert_eq!(running.len(), 3);
    let mut ends = 0;
    let mut started = running.len();
    while let Some(Ordered { worker, task, run }) = running.pop() {
        ends += 1;
        bed.started(&Ordered { worker: Arc::clone(&worker), task, run });
        bed.held(&worker, Vec::new(), vec![ended(ends, task, run, Outcome::Done)]);
        deal(&mut bed, &mut ledger, &limits(10));
        let next = bed.starts();
        started += next.len();
        running.extend(next);
        assert!(running.len() <= 3);
    }
    assert_eq!(started, 6);
}

#[test]
fn what_an_owner_before_may_have_started_counts() {
    let mut before = Bed::with_workers(&["a"]);
    before.send(Event::Limits(Limits::new()));
    before.send(Event::Accepted(JOB, job_of("water", 3)));
    let mut records = vec![Record::Accepted(JOB, job_of("water", 3))];
    records.extend(kept(&before.actions));
    let mut bed = Bed::new(2);
    // The worker does not answer.
    bed.take_over(records, &["a"]);
    bed.send(Event::Limits(limits(16)));
    bed.send(Event::Accepted(JobId(7), job_of("water", 1)));
    let ask = asked(&mut bed).expect("a question");
    assert_eq!(ask.demands["water"].keep.cpu_millis, 12_000);
}

#[test]
fn tasks_that_only_a_maximum_holds_back_want_no_vms() {
    let mut bed = bed(4);
    bed.send(Event::Accepted(JOB, job_of("water", 5)));
    let report = bed.scheduler.report(bed.now);
    assert_eq!((report.waiting_millis, report.unplaced_millis), (0, 0));
}

/// An owner that starts may read the shard before it reads the configuration.
#[test]
fn nothing_of_a_customer_starts_before_maxima_are_known() {
    let mut bed = Bed::with_workers(&["a"]);
    bed.send(Event::Accepted(JOB, job_of("power", 2)));
    assert_eq!(bed.starts(), Vec::new());
    bed.send(Event::Limits(limits(1)));
    assert_eq!(bed.starts().len(), 2);
}
