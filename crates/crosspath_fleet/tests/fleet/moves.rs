//! Pool sizes follow demand, and VMs without work move to the spare pool. Guards against pools that
//! stay too small, and against moves that the demand does not justify.

use std::time::Duration;

use crosspath_border::vm::Order;

use crate::common::{Harness, VM_MILLIS, vm};

fn harness() -> Harness {
    let mut vms: Vec<_> = (0..8).map(|n| vm(&format!("c{n}"), "counter")).collect();
    vms.extend((0..8).map(|n| vm(&format!("m{n}"), "meter")));
    vms.extend((0..4).map(|n| vm(&format!("s{n}"), "spare")));
    Harness::new(vms)
}

#[test]
fn idle_vms_move_to_the_spare_pool_down_to_the_minimum_pool_size() {
    let mut harness = harness();
    for _ in 0..60 {
        harness.round();
    }
    assert_eq!(harness.pool_size("counter"), 2);
    assert_eq!(harness.pool_size("meter"), 2);
    assert_eq!(harness.pool_size("spare"), 16);
}

#[test]
fn a_pool_with_waiting_work_gets_spare_vms_and_idle_vms_of_other_pools() {
    let mut harness = harness();
    harness.waiting.insert("counter".into(), 12 * 32_000);
    for _ in 0..30 {
        harness.round();
    }
    assert!(harness.pool_size("counter") >= 12, "{}", harness.pool_size("counter"));
}

#[test]
fn busy_vms_are_not_moved() {
    let mut harness = harness();
    for n in 0..8 {
        harness.tasks.insert(format!("m{n}").as_str().into(), 31);
    }
    harness.waiting.insert("counter".into(), 20 * 32_000);
    for _ in 0..30 {
        harness.round();
    }
    assert_eq!(harness.pool_size("meter"), 8);
}

#[test]
fn steady_demand_causes_no_moves() {
    let mut harness = harness();
    for n in 0..3 {
        harness.tasks.insert(format!("c{n}").as_str().into(), 20);
        harness.tasks.insert(format!("m{n}").as_str().into(), 20);
    }
    for _ in 0..60 {
        harness.round();
    }
    let orders_before = harness.orders.len();
    for _ in 0..100 {
        harness.round();
    }
    assert_eq!(harness.orders.len(), orders_before);
}

#[test]
fn a_spare_vm_is_ordered_in_the_round_that_selects_it() {
    let mut harness =
        Harness::new(vec![vm("a1", "a"), vm("a2", "a"), vm("s1", "spare"), vm("s2", "spare")]);
    harness.waiting.insert("a".into(), 3 * VM_MILLIS);
    harness.round();
    let moved: Vec<_> = harness.orders.iter().map(|(at, vm, _)| (*at, &**vm)).collect();
    assert_eq!(moved, [(harness.now, "s1"), (harness.now, "s2")]);
}

#[test]
fn growth_orders_use_the_platforms_rate_and_do_not_exceed_it() {
    let mut vms = vec![vm("a1", "a"), vm("a2", "a")];
    vms.extend((0..60).map(|n| vm(&format!("s{n}"), "spare")));
    let mut harness = Harness::new(vms);
    harness.waiting.insert("a".into(), 50 * VM_MILLIS);
    for _ in 0..5 {
        harness.round();
    }
    // 64 orders a second in rounds of 200 ms, after a first round that counts as 400 ms.
    assert!(harness.orders.len() <= 25 + 4 * 12, "{} orders in a second", harness.orders.len());
    assert!(harness.orders.len() >= 40, "{} orders in a second", harness.orders.len());
}

/// Size of a pool whose steady work fills `busy` VMs.
fn pool_size_for(busy: u32) -> usize {
    let mut harness =
        Harness::new((0..3 * busy).map(|n| vm(&format!("c{n:03}"), "counter")).collect());
    for n in 0..busy {
        harness.tasks.insert(format!("c{n:03}").as_str().into(), 32);
    }
    for _ in 0..60 {
        harness.round();
    }
    harness.pool_size("counter")
}

/// The demand of independent jobs deviates by its square root, so headroom in proportion to the
/// pool is too much for large ones: with a quarter on top, 100 busy VMs hold 126.
#[test]
fn headroom_shrinks_as_a_share_with_pool_size() {
    assert_eq!(pool_size_for(8), 11);
    assert_eq!(pool_size_for(100), 114);
}

/// The work of 100 VMs fluctuates by its square root. If random growth is extrapolated, about twice
/// as many moves follow: 432 in 20 s against 187 by the target alone.
#[test]
fn random_fluctuation_is_not_extrapolated() {
    let mut vms: Vec<_> = (0..130).map(|n| vm(&format!("c{n:03}"), "counter")).collect();
    vms.extend((0..100).map(|n| vm(&format!("s{n:03}"), "spare")));
    let mut harness = Harness::new(vms);
    for n in 0..95 {
        harness.tasks.insert(format!("c{n:03}").as_str().into(), 32);
    }
    for _ in 0..60 {
        harness.round();
    }
    let orders_before = harness.orders.len();
    for round in 0..100 {
        // Alternates every 1.2 s between the work of 95 and of 105 VMs.
        let extra = if round / 6 % 2 == 0 { 10 * 32_000 } else { 0 };
        harness.waiting.insert("counter".into(), extra);
        harness.round();
    }
    let moves = harness.orders.len() - orders_before;
    assert!(moves <= 200, "{moves} moves for random fluctuation");
}

/// Bringing in a spare VM while an idle one moves to the spare pool takes two moves instead of one.
#[test]
fn an_idle_vm_of_an_oversized_pool_is_preferred_to_a_spare_vm() {
    let mut harness = harness();
    for n in 0..5 {
        harness.tasks.insert(format!("m{n}").as_str().into(), 32);
    }
    // The VMs have been idle for 1 s; they would move to the spare pool one round later.
    for _ in 0..6 {
        harness.round();
    }
    harness.waiting.insert("meter".into(), 32_000);
    for _ in 0..2 {
        harness.round();
    }
    let to_meter = |first| {
        let is_to_meter = |order: &Order| *order == Order::Move { pool: "meter".into() };
        let moved = harness
            .orders
            .iter()
            .filter(|(_, vm, order)| vm.starts_with(first) && is_to_meter(order));
        moved.count()
    };
    assert_eq!((to_meter('c'), to_meter('s')), (2, 0));
}

/// Long-running work for 12 VMs arrives at once. Extrapolated as if it kept arriving, it would
/// bring in 30 more VMs than it fills, all of which would move back.
#[test]
fn a_step_in_long_running_demand_is_not_extrapolated() {
    let mut vms: Vec<_> = (0..4).map(|n| vm(&format!("c{n:03}"), "counter")).collect();
    vms.extend((0..60).map(|n| vm(&format!("s{n:03}"), "spare")));
    let mut harness = Harness::new(vms);
    for _ in 0..20 {
        harness.round();
    }
    harness.waiting.insert("counter".into(), 12 * 32_000);
    harness.long_running_millis.insert("counter".into(), 12 * 32_000);
    for _ in 0..4 {
        harness.round();
    }
    assert_eq!(harness.pool_size("counter"), 13);
}

/// The first jobs of a busy period more than double the work of a small pool. Of that growth at
/// most 12 % of the work counts as noise, however large its square root is; the rest is
/// extrapolated.
#[test]
fn growth_of_a_small_pool_is_extrapolated() {
    let mut vms: Vec<_> = (0..3).map(|n| vm(&format!("c{n:03}"), "counter")).collect();
    vms.extend((0..60).map(|n| vm(&format!("s{n:03}"), "spare")));
    let mut harness = Harness::new(vms);
    harness.set_orders_per_s(1_000.0);
    harness.waiting.insert("counter".into(), 2 * 32_000);
    for _ in 0..20 {
        harness.round();
    }
    harness.waiting.insert("counter".into(), 5 * 32_000);
    for _ in 0..2 {
        harness.round();
    }
    assert_eq!(harness.pool_size("counter"), 15);
}

/// 400 idle VMs move to the spare pool. The platform refuses orders beyond its rate, and without a
/// limit 396 would be sent in one round.
#[test]
fn moves_of_idle_vms_keep_to_the_platforms_rate() {
    let rate = 64.0;
    let mut vms: Vec<_> = (0..400).map(|n| vm(&format!("c{n}"), "counter")).collect();
    vms.push(vm("s0", "spare"));
    let mut harness = Harness::new(vms);
    harness.set_orders_per_s(rate);
    for _ in 0..100 {
        harness.round();
    }
    assert_eq!(harness.pool_size("counter"), 2);
    let times: Vec<_> = harness.orders.iter().map(|(at, _, _)| *at).collect();
    for at in &times {
        let second = *at + Duration::from_secs(1);
        let ordered = times.iter().filter(|other| *at <= **other && **other < second).count();
        assert!(ordered as f64 <= rate, "{ordered} orders within a second of {at:?}");
    }
}

/// After an evacuation all workers of a data centre are cold at once, and a pool on them does not
/// do the work of as many warm ones.
#[test]
fn a_pool_on_cold_vms_gets_vms_for_what_they_do_not_give_yet() {
    let sizes = [0, 50].map(|cold_percent| {
        let mut harness = harness();
        for n in 0..8 {
            harness.cold_percent.insert(format!("c{n}").as_str().into(), cold_percent);
            harness.tasks.insert(format!("c{n}").as_str().into(), 20);
        }
        for _ in 0..30 {
            harness.round();
        }
        harness.pool_size("counter")
    });
    assert_eq!(sizes, [8, 12], "eight VMs at half their capacity lack four");
}

/// One pool asks for fifty times the fleet. By the share of its target that is missing, it would
/// get all VMs but the smallest size of the other pool.
#[test]
fn an_overloaded_pool_leaves_vms_to_one_that_needs_a_few() {
    let mut vms: Vec<_> = (0..38).map(|n| vm(&format!("c{n:02}"), "counter")).collect();
    vms.extend((0..2).map(|n| vm(&format!("m{n:02}"), "meter")));
    let mut harness = Harness::new(vms);
    for vm in harness.view.vms.clone() {
        harness.tasks.insert(vm.name, 32);
    }
    harness.waiting.insert("counter".into(), 2_000 * VM_MILLIS);
    harness.waiting.insert("meter".into(), 6 * VM_MILLIS);
    for _ in 0..40 {
        harness.round();
        harness.vacate();
    }
    assert!(harness.pool_size("meter") >= 6, "{}", harness.pool_size("meter"));
    assert!(harness.pool_size("counter") >= 20, "{}", harness.pool_size("counter"));
}
