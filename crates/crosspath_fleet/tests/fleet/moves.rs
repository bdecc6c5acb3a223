//! Pool sizes: where the work is, and off where there is none.

use crate::common::{Bed, vm};

fn bed() -> Bed {
    let mut vms: Vec<_> = (0..8).map(|n| vm(&format!("c{n}"), "counter")).collect();
    vms.extend((0..8).map(|n| vm(&format!("m{n}"), "meter")));
    vms.extend((0..4).map(|n| vm(&format!("s{n}"), "spare")));
    Bed::new(vms)
}

#[test]
fn idle_vms_go_off_but_a_pool_keeps_some() {
    let mut bed = bed();
    for _ in 0..60 {
        bed.round();
    }
    assert_eq!(bed.pool_size("counter"), 2);
    assert_eq!(bed.pool_size("meter"), 2);
    assert_eq!(bed.pool_size("spare"), 16);
}

#[test]
fn a_pool_whose_work_waits_gets_vms_that_are_off_and_idle_ones_of_others() {
    let mut bed = bed();
    bed.waiting.insert("counter".into(), 12 * 32_000);
    for _ in 0..30 {
        bed.round();
    }
    assert!(bed.pool_size("counter") >= 12, "{}", bed.pool_size("counter"));
}

#[test]
fn busy_vms_stay_where_they_are() {
    let mut bed = bed();
    for n in 0..8 {
        bed.tasks.insert(format!("m{n}").as_str().into(), 31);
    }
    bed.waiting.insert("counter".into(), 20 * 32_000);
    for _ in 0..30 {
        bed.round();
    }
    assert_eq!(bed.pool_size("meter"), 8);
}

#[test]
fn steady_work_moves_nothing_to_and_fro() {
    let mut bed = bed();
    for n in 0..3 {
        bed.tasks.insert(format!("c{n}").as_str().into(), 20);
        bed.tasks.insert(format!("m{n}").as_str().into(), 20);
    }
    for _ in 0..60 {
        bed.round();
    }
    let settled = bed.orders.len();
    for _ in 0..100 {
        bed.round();
    }
    assert_eq!(bed.orders.len(), settled);
}
