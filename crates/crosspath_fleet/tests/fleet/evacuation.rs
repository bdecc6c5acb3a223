//! Evacuation of a data centre: VMs of others take over, its own VMs move to the spare pool once
//! vacant, and waves use the time to service them.

use std::collections::BTreeSet;
use std::sync::Arc;

use crosspath_border::vm::{Order, Vm};

use crate::common::{Harness, VM_MILLIS, vm};

fn vm_in(data_centre: &str, name: &str, pool: &str) -> Vm {
    Vm { data_centre: data_centre.into(), ..vm(name, pool) }
}

/// A pool with VMs in data centre a only, and spare VMs in a and b.
fn harness() -> Harness {
    let mut vms: Vec<_> = (0..6).map(|n| vm_in("a", &format!("c{n}"), "counter")).collect();
    vms.extend((0..4).map(|n| vm_in("a", &format!("sa{n}"), "spare")));
    vms.extend((0..8).map(|n| vm_in("b", &format!("sb{n}"), "spare")));
    Harness::new(vms)
}

fn evacuate(harness: &mut Harness, names: &[&str]) {
    let names: BTreeSet<Arc<str>> = names.iter().map(|name| Arc::from(*name)).collect();
    harness.view.evacuated = Arc::new(names);
}

fn start_tasks(harness: &mut Harness) {
    for n in 0..6 {
        harness.tasks.insert(format!("c{n}").as_str().into(), 24);
    }
}

#[test]
fn replacements_are_ordered_before_work_waits() {
    let mut harness = harness();
    start_tasks(&mut harness);
    for _ in 0..4 {
        harness.round();
    }
    let moves_before = harness.moves_ordered_to("counter");
    let orders_before = harness.orders.len();
    evacuate(&mut harness, &["a"]);
    for _ in 0..3 {
        harness.round();
    }
    // The six VMs in a no longer count, so as many replacements are ordered as their work needs,
    // before any task waits.
    let replacements = harness.moves_ordered_to("counter") - moves_before;
    assert!(replacements >= 5, "{replacements}");
    let in_b =
        harness.view.vms.iter().filter(|vm| &*vm.pool == "counter" && &*vm.data_centre == "b");
    assert!(in_b.count() >= 5);
    let from_a = harness.orders[orders_before..].iter().filter(|(_, vm, order)| {
        matches!(order, Order::Move { pool } if &**pool == "counter") && vm.starts_with("sa")
    });
    assert_eq!(from_a.count(), 0, "a VM of the evacuated data centre was moved in");
}

#[test]
fn vacant_vms_of_an_evacuated_data_centre_move_to_the_spare_pool_and_return_only_on_demand() {
    let mut harness = harness();
    start_tasks(&mut harness);
    evacuate(&mut harness, &["a"]);
    for _ in 0..10 {
        harness.round();
    }
    let in_evacuated = |vm: &&Vm| &*vm.data_centre == "a" && &*vm.pool == "counter";
    assert_eq!(
        harness.view.vms.iter().filter(in_evacuated).count(),
        6,
        "busy VMs stay until their tasks end"
    );
    harness.tasks.clear();
    for _ in 0..40 {
        harness.round();
    }
    assert_eq!(harness.view.vms.iter().filter(in_evacuated).count(), 0);
    let orders_before = harness.orders.len();
    evacuate(&mut harness, &[]);
    for _ in 0..20 {
        harness.round();
    }
    assert_eq!(harness.orders.len(), orders_before, "no pool needs the VMs");
}

/// The pool could use all its VMs, but gets no work on those in the evacuated data centre.
#[test]
fn a_wave_services_vms_of_an_evacuated_data_centre() {
    let mut harness = harness();
    harness.waiting.insert("counter".into(), 30 * VM_MILLIS);
    evacuate(&mut harness, &["a"]);
    harness.add_wave(&["c0", "c1", "sa0", "sb0"], 4);
    for _ in 0..3 {
        harness.round();
    }
    let maintained: BTreeSet<_> = harness
        .orders
        .iter()
        .filter(|(_, _, order)| matches!(order, Order::Maintain { .. }))
        .map(|(_, vm, _)| vm.to_string())
        .collect();
    assert!(["c0", "c1", "sa0"].iter().all(|vm| maintained.contains(*vm)), "{maintained:?}");
}

/// One data centre is evacuated and the other is lost: there are no VMs to bring in, and no orders
/// are wasted.
#[test]
fn no_moves_are_ordered_when_every_data_centre_is_evacuated() {
    let mut harness = harness();
    start_tasks(&mut harness);
    evacuate(&mut harness, &["a", "b"]);
    for _ in 0..20 {
        harness.round();
    }
    assert_eq!(harness.moves_ordered_to("counter"), 0);
}
