//! Waves: every VM is serviced by the deadline and the concurrency limit holds, also across a
//! change of owner.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crosspath_border::vm::{Order, State};
use crosspath_fleet::Planner;

use crate::common::{Harness, VM_MILLIS, ms, settings, vm};

const NAMES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

fn harness() -> Harness {
    let mut harness = Harness::new(NAMES.iter().map(|name| vm(name, "counter")).collect());
    harness.add_wave(&NAMES, 2);
    harness
}

fn maintenance_orders(harness: &Harness) -> usize {
    harness.orders.iter().filter(|(_, _, order)| matches!(order, Order::Maintain { .. })).count()
}

#[test]
fn every_vm_is_serviced_within_the_concurrency_limit() {
    let mut harness = harness();
    let mut completed = false;
    for _ in 0..100 {
        completed |= !harness.round().is_empty();
        assert!(harness.in_maintenance() <= 2, "{} in maintenance", harness.in_maintenance());
    }
    assert_eq!(maintenance_orders(&harness), NAMES.len());
    assert!(completed);
}

#[test]
fn a_vm_with_tasks_gets_no_order() {
    let mut harness = harness();
    harness.tasks.insert("a".into(), 1);
    for _ in 0..50 {
        assert!(harness.round().is_empty(), "VM a has not been serviced");
    }
    assert!(harness.orders.iter().all(|(_, name, _)| &**name != "a"));
}

#[test]
fn a_new_owner_counts_maintenance_ordered_by_the_previous_owner() {
    let mut harness = harness();
    // Ordered a moment ago by the previous owner; the list does not show it yet.
    let cooldowns: BTreeMap<Arc<str>, _> =
        [("a".into(), harness.now + ms(3_000)), ("b".into(), harness.now + ms(3_000))].into();
    harness.planner = Planner::new(settings(), BTreeMap::new(), cooldowns);
    harness.round();
    harness.round();
    assert_eq!(maintenance_orders(&harness), 0);
}

#[test]
fn a_new_owner_counts_maintenance_shown_in_the_vm_list() {
    let mut harness = harness();
    harness.view.vms[0].state = State::Maintenance;
    harness.view.vms[1].state = State::Maintenance;
    let pools = harness.view.serving.clone();
    harness.view.pools = pools.into_iter().map(|pool| (pool, Default::default())).collect();
    let plan = harness.planner.plan(harness.now, &harness.view);
    assert!(harness.planner.vms_to_vacate(&harness.view.vms).is_empty(), "{plan:?}");
}

#[test]
fn an_unanswered_order_is_retried_and_counts_against_the_limit() {
    let mut harness = harness();
    harness.add_wave(&NAMES, 1);
    harness.drop_answers = true;
    for _ in 0..30 {
        harness.round();
    }
    assert!(maintenance_orders(&harness) > 1, "the order is retried");
    let maintenance =
        harness.orders.iter().filter(|(_, _, order)| matches!(order, Order::Maintain { .. }));
    let vms: BTreeSet<_> = maintenance.map(|(_, vm, _)| vm).collect();
    assert_eq!(vms.len(), 1, "{vms:?}");
}

#[test]
fn spare_vms_needed_by_a_growing_pool_are_not_taken_for_maintenance() {
    let mut vms = vec![vm("a1", "a"), vm("a2", "a")];
    vms.extend((0..8).map(|n| vm(&format!("s{n}"), "spare")));
    let mut harness = Harness::new(vms);
    harness.waiting.insert("a".into(), 20 * VM_MILLIS);
    harness.add_wave(&["s0", "s1", "s2", "s3", "s4", "s5", "s6", "s7"], 8);
    harness.round();
    let maintenance =
        harness.orders.iter().filter(|(_, _, order)| matches!(order, Order::Maintain { .. }));
    assert_eq!(maintenance.count(), 0, "{:?}", harness.orders);
}

/// Runs the wave with one VM that has long-running tasks, of which one can be moved in each
/// `move_interval`. Returns the time until that VM is ordered.
fn maintenance_time_of_loaded_vm(long_running: u32, move_interval: Duration) -> Option<Duration> {
    let mut harness = harness();
    let started_at = harness.now;
    harness.tasks.insert("f".into(), long_running);
    harness.long_running.insert("f".into(), long_running);
    let mut selected: Option<Duration> = None;
    while harness.now < started_at + ms(27_000) {
        harness.round();
        let vms_to_vacate = harness.planner.vms_to_vacate(&harness.view.vms);
        let is_selected = vms_to_vacate.values().any(|vms| vms.contains("f"));
        selected = if is_selected { selected.or(Some(harness.now)) } else { None };
        let moved = selected.map_or(0, |since| {
            ((harness.now - since).as_millis() / move_interval.as_millis()) as u32
        });
        let left = long_running.saturating_sub(moved);
        harness.tasks.insert("f".into(), left);
        harness.long_running.insert("f".into(), left);
    }
    let (at, ..) = harness.orders.iter().find(|(_, vm, _)| &**vm == "f")?;
    Some(*at - started_at)
}

#[test]
fn a_vm_that_is_slow_to_vacate_is_selected_early_and_not_abandoned() {
    let at = maintenance_time_of_loaded_vm(9, ms(1_400)).expect("a maintenance order");
    assert!(at < ms(16_000), "after {at:?}");
}

#[test]
fn a_vm_with_few_long_running_tasks_is_serviced_in_time() {
    assert!(maintenance_time_of_loaded_vm(2, ms(1_400)).is_some());
}

#[test]
fn slow_vacating_does_not_delay_maintenance_of_idle_vms() {
    let mut harness = harness();
    for name in NAMES {
        harness.tasks.insert(name.into(), 1);
    }
    harness.round();
    let selected: usize =
        harness.planner.vms_to_vacate(&harness.view.vms).values().map(BTreeSet::len).sum();
    assert_eq!(selected, 2, "the concurrency limit");
    for name in &NAMES[2..] {
        harness.tasks.remove(*name);
    }
    // The time-out on vacating the first two VMs has not passed yet.
    for _ in 0..35 {
        harness.round();
        assert!(harness.in_maintenance() <= 2, "{} in maintenance", harness.in_maintenance());
    }
    assert_eq!(maintenance_orders(&harness), 4);
}

#[test]
fn a_pool_with_a_deficit_gets_vms_not_awaiting_maintenance_first() {
    let vms = vec![vm("a1", "a"), vm("a2", "a"), vm("s1", "spare"), vm("s2", "spare")];
    let mut harness = Harness::new(vms);
    harness.add_wave(&["s1"], 1);
    harness.waiting.insert("a".into(), VM_MILLIS);
    harness.round();
    let moved = harness.orders.iter().filter(|(_, _, order)| matches!(order, Order::Move { .. }));
    let moved: Vec<_> = moved.map(|(_, vm, _)| &**vm).collect();
    assert_eq!(moved.first(), Some(&"s2"), "{moved:?}");
}
