//! What reports say about waiting tasks that no worker can take. A wrong count would have operators
//! and the planner add VMs where another resource, or nothing but time, is missing.

use std::sync::Arc;

use crosspath_border::worker::Entry;
use crosspath_job::JobId;
use crosspath_job::spec::{Resources, Step};
use crosspath_schedule::Event;
use crosspath_schedule::report::Lacks;

use crate::common::{Harness, accepted, entry, ms, step};

fn resources(cores: u64, mem_mb: u64, gpus: u64) -> Resources {
    Resources { cpu_millis: cores * 1_000, mem_mb, gpus }
}

/// Two workers: one with 32 cores and 10 GB, the other with 4 cores and 100 GB.
fn unequal_workers() -> Harness {
    let mut harness = Harness::with_workers(&["a", "b"]);
    let capacities = [("a", resources(32, 10_000, 0)), ("b", resources(4, 100_000, 0))];
    for (id, capacity) in capacities {
        harness.send(Event::WorkerListed(Entry { capacity, ..entry(id) }));
    }
    harness
}

fn lacks_of(harness: &mut Harness, step: Step) -> Lacks {
    harness.submit(vec![step]);
    harness.scheduler.report(harness.now).lacks
}

fn requiring(resources: Resources) -> Step {
    Step { resources, ..step(3, 0) }
}

#[test]
fn a_task_lacks_the_resource_that_no_worker_has() {
    let cases = [
        (resources(33, 1_000, 0), Lacks { cpu: 3, ..Lacks::default() }),
        (resources(4, 100_001, 0), Lacks { memory: 3, ..Lacks::default() }),
        (resources(4, 1_000, 1), Lacks { gpus: 3, ..Lacks::default() }),
        (resources(32, 100_000, 0), Lacks { fragmented: 3, ..Lacks::default() }),
    ];
    for (needed, expected) in cases {
        assert_eq!(lacks_of(&mut unequal_workers(), requiring(needed)), expected, "{needed:?}");
    }
}

#[test]
fn memory_in_use_is_lacking_beside_free_cores() {
    let mut harness = Harness::with_workers(&["a"]);
    let lacks = lacks_of(&mut harness, requiring(resources(4, 60_000, 0)));
    assert_eq!(harness.take_starts().len(), 2, "128 GB hold two of the tasks");
    assert_eq!(lacks, Lacks { memory: 1, ..Lacks::default() });
}

#[test]
fn cores_in_use_are_lacking_beside_free_memory() {
    let mut harness = Harness::with_workers(&["a"]);
    let lacks = lacks_of(&mut harness, requiring(resources(12, 1_000, 0)));
    assert_eq!(harness.take_starts().len(), 2, "32 cores hold two of the tasks");
    assert_eq!(lacks, Lacks { cpu: 1, ..Lacks::default() });
}

#[test]
fn a_task_that_no_worker_with_room_may_run_is_ineligible() {
    let needs_label = Step { requires: Some("other".into()), ..step(2, 1) };
    let ineligible = |tasks| Lacks { ineligible: tasks, ..Lacks::default() };
    assert_eq!(lacks_of(&mut Harness::with_workers(&["a"]), needs_label), ineligible(2));
    let one_a_worker = Step { max_per_worker: 1, ..step(3, 1) };
    assert_eq!(lacks_of(&mut Harness::with_workers(&["a"]), one_a_worker), ineligible(2));
}

#[test]
fn room_on_workers_to_be_vacated_does_not_count() {
    let mut harness = Harness::with_workers(&["a"]);
    harness.send(Event::Vacate(["vm-a".into()].into()));
    let lacks = lacks_of(&mut harness, step(2, 1));
    assert_eq!(lacks, Lacks { cpu: 2, ..Lacks::default() });
}

#[test]
fn tasks_that_only_wait_for_a_round_of_placement_lack_nothing() {
    let mut harness = Harness::with_workers(&["a"]);
    harness.send(Event::MayStart(false));
    assert_eq!(lacks_of(&mut harness, step(2, 1)), Lacks::default());
}

#[test]
fn many_different_requirements_are_counted_at_bounded_cost() {
    let mut harness = Harness::with_workers(&["a"]);
    for job in 1..=200 {
        let label = Arc::from(format!("label-{job}"));
        let needs_label = Step { requires: Some(label), ..step(1, 1) };
        harness.send(Event::Accepted(JobId(job), accepted(vec![needs_label])));
    }
    harness.advance(ms(100));
    let lacks = harness.scheduler.report(harness.now).lacks;
    assert_eq!(lacks, Lacks { ineligible: 64, ..Lacks::default() }, "64 searches a report");
}
