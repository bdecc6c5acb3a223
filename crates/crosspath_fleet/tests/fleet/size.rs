//! Cost of a planning round by the size of the fleet, in VMs examined.
//!
//! Scanning all VMs for each move or candidate is quadratic in the size of the fleet: 25 ms per
//! move at 3,000 VMs on half a core. A round that examines each VM a bounded number of times is
//! linear.

use crate::common::{Harness, ms, vm};

/// Sizes of a slice: that of the smallest fleet, and those of larger fleets in a single slice.
const SIZES: [usize; 4] = [200, 1_000, 3_000, 7_000];
/// Limit on the visits to each VM in a round: there are 9 in a quiet round, 11.4 in a peak, and 14
/// with a wave.
const MAX_VISITS_PER_VM: u64 = 20;

/// A fleet of four serving pools and a spare pool with a third of the VMs.
fn harness(vms: usize) -> Harness {
    let pools = ["a", "b", "c", "d", "spare", "spare"];
    Harness::new((0..vms).map(|n| vm(&format!("vm-{n:05}"), pools[n % pools.len()])).collect())
}

/// Runs one round and returns its number of VM visits.
fn visits_of_round(harness: &mut Harness, case: &str) -> u64 {
    harness.round();
    let vms = harness.view.vms.len() as u64;
    println!(
        "{case} at {vms} VMs: {} visits, {:.1} a VM",
        harness.vm_visits,
        harness.vm_visits as f64 / vms as f64
    );
    harness.vm_visits
}

#[test]
fn a_quiet_round_scales_linearly() {
    for size in SIZES {
        let mut harness = harness(size);
        harness.round();
        assert!(visits_of_round(&mut harness, "quiet") <= MAX_VISITS_PER_VM * size as u64);
    }
}

#[test]
fn a_round_with_many_moves_scales_linearly() {
    for size in SIZES {
        let mut harness = harness(size);
        harness.set_orders_per_s(100_000.0);
        harness.round();
        harness.waiting.insert("a".into(), 32_000 * size as u64);
        let visits = visits_of_round(&mut harness, "peak");
        assert!(harness.moves_ordered_to("a") >= size / 4, "the pool at its peak gets too few VMs");
        assert!(visits <= MAX_VISITS_PER_VM * size as u64);
    }
}

#[test]
fn a_round_with_a_wave_scales_linearly() {
    for size in SIZES {
        let mut harness = harness(size);
        let names: Vec<String> = (0..size).step_by(2).map(|n| format!("vm-{n:05}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        harness.add_wave(&names, u32::try_from(size / 20).expect("the size fits in 32 bits"));
        harness.round();
        harness.now += ms(100);
        assert!(visits_of_round(&mut harness, "wave") <= MAX_VISITS_PER_VM * size as u64);
    }
}
