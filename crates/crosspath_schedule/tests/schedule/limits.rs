//! Customers' maxima: limits on the resources that the running tasks of a customer may use.

use std::collections::BTreeSet;
use std::sync::Arc;

use crosspath_job::JobId;
use crosspath_job::record::{Accepted, Record};
use crosspath_job::spec::Resources;
use crosspath_quota::{Ledger, Limits, Request};
use crosspath_schedule::report::Lacks;
use crosspath_schedule::{Action, Event};

use crate::common::{Harness, JOB, Order, accepted, committed_records, ended, ms, step};
use crosspath_border::worker::Outcome;

fn limits(cores: u64) -> Limits {
    let resources = Resources { cpu_millis: cores * 1_000, ..Resources::UNLIMITED };
    [("water".into(), resources)].into()
}

/// Job of one step, whose tasks need 4 cores each.
fn job_of(customer: &str, tasks: u32) -> Arc<Accepted> {
    let job = accepted(vec![step(tasks, 4)]);
    Arc::new(Accepted { customer: Some(customer.into()), ..(*job).clone() })
}

/// Removes all requests for allotments since the last call and returns the last one.
fn take_quota_request(harness: &mut Harness) -> Option<Request> {
    let mut found = None;
    harness.actions.retain(|action| match action {
        Action::RequestQuota { request } => {
            found = Some(request.clone());
            false
        }
        _ => true,
    });
    found
}

/// Answers up to four requests in a row from a ledger that knows only this shard.
fn grant_requests(harness: &mut Harness, ledger: &mut Ledger, limits: &Limits) {
    let shards = BTreeSet::from([0]);
    for _ in 0..4 {
        if let Some(request) = take_quota_request(harness) {
            let grant = ledger.grant(&request, limits, &shards);
            harness.send(Event::QuotaAnswered { number: request.number, grant });
        }
        harness.advance(ms(120));
    }
}

fn harness(cores: u64) -> Harness {
    let mut harness = Harness::with_workers(&["a", "b"]);
    harness.send(Event::Limits(limits(cores)));
    harness
}

#[test]
fn nothing_of_a_customer_starts_before_an_allotment_is_granted() {
    let mut harness = harness(100);
    harness.send(Event::Accepted(JOB, job_of("water", 2)));
    assert_eq!(harness.take_starts(), Vec::new());
    grant_requests(&mut harness, &mut Ledger::new(1), &limits(100));
    assert_eq!(harness.take_starts().len(), 2);
}

#[test]
fn jobs_without_a_customer_or_a_maximum_are_not_blocked_on_quota() {
    let mut harness = harness(1);
    harness.send(Event::Accepted(JOB, job_of("power", 2)));
    harness.advance(ms(60));
    harness.send(Event::Accepted(JobId(7), accepted(vec![step(2, 4)])));
    harness.advance(ms(60));
    assert_eq!(harness.take_starts().len(), 4);
}

#[test]
fn tasks_run_up_to_the_maximum_and_others_follow_as_tasks_end() {
    let mut harness = harness(10);
    let mut ledger = Ledger::new(1);
    harness.send(Event::Accepted(JOB, job_of("water", 6)));
    grant_requests(&mut harness, &mut ledger, &limits(10));
    let mut running = harness.take_starts();
    // Two tasks fit. A third starts because part of the allotment is left, which is enough for one
    // more task.
    assert_eq!(running.len(), 3);
    let mut ends = 0;
    let mut started = running.len();
    while let Some(Order { worker, task, run }) = running.pop() {
        ends += 1;
        harness.started(&Order { worker: Arc::clone(&worker), task, run });
        harness.polled(&worker, Vec::new(), vec![ended(ends, task, run, Outcome::Done)]);
        grant_requests(&mut harness, &mut ledger, &limits(10));
        let next = harness.take_starts();
        started += next.len();
        running.extend(next);
        assert!(running.len() <= 3);
    }
    assert_eq!(started, 6);
}

#[test]
fn runs_that_a_previous_owner_may_have_started_count() {
    let mut previous = Harness::with_workers(&["a"]);
    previous.send(Event::Limits(Limits::new()));
    previous.send(Event::Accepted(JOB, job_of("water", 3)));
    let mut records = vec![Record::Accepted(JOB, job_of("water", 3))];
    records.extend(committed_records(&previous.actions));
    let mut harness = Harness::new(2);
    // The worker does not answer, so the three runs may exist.
    harness.take_over(records, &["a"]);
    harness.send(Event::Limits(limits(16)));
    harness.send(Event::Accepted(JobId(7), job_of("water", 1)));
    let request = take_quota_request(&mut harness).expect("a request for allotments");
    assert_eq!(request.demands["water"].keep.cpu_millis, 12_000);
}

#[test]
fn tasks_blocked_on_quota_request_no_vms() {
    let mut harness = harness(4);
    harness.send(Event::Accepted(JOB, job_of("water", 5)));
    let report = harness.scheduler.report(harness.now);
    assert_eq!((report.waiting_millis, report.unplaced_millis), (0, 0));
}

#[test]
fn tasks_blocked_on_quota_lack_no_resource() {
    let mut harness = harness(4);
    harness.send(Event::Accepted(JOB, job_of("water", 5)));
    // The tasks of the higher identifier are placed after those that are blocked.
    harness.send(Event::Accepted(JobId(u64::MAX), accepted(vec![step(16, 4)])));
    assert_eq!(harness.take_starts().len(), 16, "both workers are full");
    let lacks = harness.scheduler.report(harness.now).lacks;
    assert_eq!(lacks, Lacks::default());
}

/// A new owner may take over the shard before it has read the configuration.
#[test]
fn nothing_of_a_customer_starts_before_maxima_are_known() {
    let mut harness = Harness::with_workers(&["a"]);
    harness.send(Event::Accepted(JOB, job_of("power", 2)));
    assert_eq!(harness.take_starts(), Vec::new());
    harness.send(Event::Limits(limits(1)));
    assert_eq!(harness.take_starts().len(), 2);
}
