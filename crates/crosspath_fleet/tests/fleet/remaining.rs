//! What is said to remain in an evacuated data centre. Guards against a data centre that is called
//! empty, and is then taken away, while tasks run there or nobody knows.

use std::collections::BTreeMap;
use std::sync::Arc;

use crosspath_border::evacuation::{Progress, Tasks};
use crosspath_border::vm::Vm;
use crosspath_fleet::{View, evacuation};
use crosspath_schedule::report;

use crate::common::vm;

fn vm_in(name: &str, pool: &str, data_centre: &str) -> Vm {
    Vm { data_centre: data_centre.into(), ..vm(name, pool) }
}

fn reported(name: &str, tasks: u32, long_running: u32, confirmed: bool) -> report::Vm {
    let finite_ms = u64::from(tasks - long_running) * 100;
    report::Vm {
        name: name.into(),
        tasks,
        long_running,
        confirmed,
        finite_ms,
        ..Default::default()
    }
}

fn view(vms: Vec<Vm>, reports: &[(&str, Vec<report::Vm>)]) -> View {
    let pools = reports.iter().map(|(pool, vms)| {
        (Arc::from(*pool), report::Pool { vms: vms.clone(), ..report::Pool::default() })
    });
    let serving = vec!["counter".into(), "meter".into()];
    View { vms, pools: pools.collect(), serving, spare: Some("spare".into()), ..View::default() }
}

/// What remains in the data centre `a`, once its evacuation is in force.
fn remaining(views: &[View]) -> Progress {
    let in_force = Progress { in_force: true, ..Progress::default() };
    let mut progress = BTreeMap::from([(Arc::from("a"), in_force)]);
    for view in views {
        evacuation::add_remaining(view, &mut progress);
    }
    progress.remove("a").expect("the data centre was asked for")
}

#[test]
fn tasks_there_are_added_up_over_slices_by_pool() {
    let first = view(
        vec![vm_in("c1", "counter", "a"), vm_in("c2", "counter", "b"), vm_in("s", "spare", "a")],
        &[
            ("counter", vec![reported("c1", 3, 1, true), reported("c2", 9, 9, true)]),
            ("meter", Vec::new()),
        ],
    );
    let second = view(
        vec![vm_in("c3", "counter", "a"), vm_in("m1", "meter", "a")],
        &[
            ("counter", vec![reported("c3", 5, 0, true)]),
            ("meter", vec![reported("m1", 0, 0, true)]),
        ],
    );
    let progress = remaining(&[first, second]);
    let counter = Tasks { vms: 2, finite: 7, long_running: 1, finite_ms: 500 };
    let meter = Tasks { vms: 1, ..Tasks::default() };
    let expected = [("counter".into(), counter), ("meter".into(), meter)];
    assert_eq!(progress.pools, BTreeMap::from(expected));
    assert_eq!(progress.unknown_vms, 0);
    assert!(!progress.is_empty());
}

#[test]
fn a_data_centre_without_tasks_is_empty_once_the_evacuation_is_in_force() {
    let reports = [("counter", vec![reported("c1", 0, 0, true)]), ("meter", Vec::new())];
    let progress = remaining(&[view(vec![vm_in("c1", "counter", "a")], &reports)]);
    assert!(progress.is_empty());
    assert!(!Progress { in_force: false, ..progress }.is_empty());
}

#[test]
fn a_task_of_either_kind_keeps_it_from_being_empty() {
    for long_running in [0, 1] {
        let vm = reported("c1", 1, long_running, true);
        let reports = [("counter", vec![vm]), ("meter", Vec::new())];
        assert!(!remaining(&[view(vec![vm_in("c1", "counter", "a")], &reports)]).is_empty());
    }
}

#[test]
fn a_worker_that_has_not_answered_its_owner_is_not_known_to_be_empty() {
    let reports = [("counter", vec![reported("c1", 0, 0, false)]), ("meter", Vec::new())];
    let progress = remaining(&[view(vec![vm_in("c1", "counter", "a")], &reports)]);
    assert_eq!(progress.unknown_vms, 1);
    assert!(!progress.is_empty());
}

/// Right after a takeover, an owner reports fewer workers than the pool has.
#[test]
fn a_worker_that_its_owner_does_not_report_is_not_known_to_be_empty() {
    let unreported = Vm { worker: Some("w-c1".into()), ..vm_in("c1", "counter", "a") };
    let reports = [("counter", Vec::new()), ("meter", Vec::new())];
    let progress = remaining(&[view(vec![unreported], &reports)]);
    assert_eq!(progress.unknown_vms, 1);
    assert!(!progress.is_empty());
}

#[test]
fn a_pool_whose_owner_does_not_answer_is_not_known_to_be_empty() {
    let vms = vec![vm_in("c1", "counter", "a"), vm_in("m1", "meter", "a")];
    let progress = remaining(&[view(vms, &[("counter", vec![reported("c1", 0, 0, true)])])]);
    assert_eq!(progress.unknown_vms, 1);
    assert!(!progress.is_empty());
}
