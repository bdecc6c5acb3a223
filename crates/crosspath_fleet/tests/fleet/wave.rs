//! Waves: everyone in time, never too many at once, also across owners.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crosspath_border::vm::{Order, State};
use crosspath_fleet::Planner;

use crate::common::{Bed, VM_MILLIS, ms, settings, vm};

const NAMES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

fn bed() -> Bed {
    let mut bed = Bed::new(NAMES.iter().map(|name| vm(name, "counter")).collect());
    bed.wave(&NAMES, 2);
    bed
}

fn upkeeps(bed: &Bed) -> usize {
    bed.orders.iter().filter(|(_, _, order)| matches!(order, Order::Maintain { .. })).count()
}

#[test]
fn every_vm_has_its_upkeep_and_never_more_than_the_maximum_at_once() {
    let mut bed = bed();
    let mut completed = false;
    for _ in 0..100 {
        completed |= !bed.round().is_empty();
        assert!(bed.down() <= 2, "{} down", bed.down());
    }
    assert_eq!(upkeeps(&bed), NAMES.len());
    assert!(completed);
}

#[test]
fn a_vm_with_tasks_is_not_ordered_about() {
    let mut bed = bed();
    bed.tasks.insert("a".into(), 1);
    for _ in 0..50 {
        assert!(bed.round().is_empty(), "a has not had its upkeep");
    }
    assert!(bed.orders.iter().all(|(_, name, _)| &**name != "a"));
}

#[test]
fn a_new_owner_counts_upkeep_that_the_owner_before_ordered() {
    let mut bed = bed();
    // Ordered a moment ago; the list does not show it yet.
    let rest: BTreeMap<Arc<str>, _> =
        [("a".into(), bed.now + ms(3_000)), ("b".into(), bed.now + ms(3_000))].into();
    bed.planner = Planner::new(settings(), BTreeMap::new(), rest);
    bed.round();
    bed.round();
    assert_eq!(upkeeps(&bed), 0);
}

#[test]
fn a_new_owner_counts_upkeep_that_the_list_shows() {
    let mut bed = bed();
    bed.view.vms[0].state = State::Maintenance;
    bed.view.vms[1].state = State::Maintenance;
    let pools = bed.view.serving.clone();
    bed.view.pools = pools.into_iter().map(|pool| (pool, Default::default())).collect();
    let plan = bed.planner.plan(bed.now, &bed.view);
    assert!(bed.planner.vacate(&bed.view.vms).is_empty(), "{plan:?}");
}

#[test]
fn an_order_without_an_answer_is_given_again_and_counts_until_it_has_one() {
    let mut bed = bed();
    bed.wave(&NAMES, 1);
    bed.mute = true;
    for _ in 0..30 {
        bed.round();
    }
    assert!(upkeeps(&bed) > 1, "given again");
    let upkeep = bed.orders.iter().filter(|(_, _, order)| matches!(order, Order::Maintain { .. }));
    let vms: BTreeSet<_> = upkeep.map(|(_, vm, _)| vm).collect();
    assert_eq!(vms.len(), 1, "{vms:?}");
}

#[test]
fn vms_that_a_growing_pool_will_want_are_not_taken_for_upkeep() {
    let mut vms = vec![vm("a1", "a"), vm("a2", "a")];
    vms.extend((0..8).map(|n| vm(&format!("s{n}"), "spare")));
    let mut bed = Bed::new(vms);
    bed.waiting.insert("a".into(), 20 * VM_MILLIS);
    bed.wave(&["s0", "s1", "s2", "s3", "s4", "s5", "s6", "s7"], 8);
    bed.round();
    let upkeep = bed.orders.iter().filter(|(_, _, order)| matches!(order, Order::Maintain { .. }));
    assert_eq!(upkeep.count(), 0, "{:?}", bed.orders);
}

/// Gives a VM lasting tasks, of which one can be moved in each `every`, and plays the wave.
fn upkeep_of_laden(lasting: u32, every: Duration) -> Option<Duration> {
    let mut bed = bed();
    let began = bed.now;
    bed.tasks.insert("f".into(), lasting);
    bed.lasting.insert("f".into(), lasting);
    let mut chosen: Option<Duration> = None;
    while bed.now < began + ms(27_000) {
        bed.round();
        let vacates = bed.planner.vacate(&bed.view.vms);
        let is_chosen = vacates.values().any(|vms| vms.contains("f"));
        chosen = if is_chosen { chosen.or(Some(bed.now)) } else { None };
        let moved =
            chosen.map_or(0, |since| ((bed.now - since).as_millis() / every.as_millis()) as u32);
        let left = lasting.saturating_sub(moved);
        bed.tasks.insert("f".into(), left);
        bed.lasting.insert("f".into(), left);
    }
    let (at, ..) = bed.orders.iter().find(|(_, vm, _)| &**vm == "f")?;
    Some(*at - began)
}

#[test]
fn a_vm_that_takes_long_to_empty_is_begun_with_early_and_not_given_up() {
    let at = upkeep_of_laden(9, ms(1_400)).expect("its upkeep");
    assert!(at < ms(16_000), "after {at:?}");
}

#[test]
fn a_vm_with_few_lasting_tasks_is_in_time() {
    assert!(upkeep_of_laden(2, ms(1_400)).is_some());
}

#[test]
fn vms_that_are_slow_to_empty_do_not_keep_idle_ones_from_their_upkeep() {
    let mut bed = bed();
    for name in NAMES {
        bed.tasks.insert(name.into(), 1);
    }
    bed.round();
    let chosen: usize = bed.planner.vacate(&bed.view.vms).values().map(BTreeSet::len).sum();
    assert_eq!(chosen, 2, "as many as may be down");
    for name in &NAMES[2..] {
        bed.tasks.remove(*name);
    }
    // Before the first two are given up.
    for _ in 0..35 {
        bed.round();
        assert!(bed.down() <= 2, "{} down", bed.down());
    }
    assert_eq!(upkeeps(&bed), 4);
}

#[test]
fn a_pool_that_lacks_vms_gets_those_that_do_not_await_upkeep() {
    let vms = vec![vm("a1", "a"), vm("a2", "a"), vm("s1", "spare"), vm("s2", "spare")];
    let mut bed = Bed::new(vms);
    bed.wave(&["s1"], 1);
    bed.waiting.insert("a".into(), VM_MILLIS);
    bed.round();
    let moved = bed.orders.iter().filter(|(_, _, order)| matches!(order, Order::Move { .. }));
    let moved: Vec<_> = moved.map(|(_, vm, _)| &**vm).collect();
    assert_eq!(moved.first(), Some(&"s2"), "{moved:?}");
}
