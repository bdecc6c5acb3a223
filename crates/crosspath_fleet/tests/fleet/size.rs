//! What a round costs by the size of the fleet, counted in VMs looked at.
//!
//! A scan of all VMs for each move or candidate grows with the square of the fleet: 25 ms a move at
//! 3,000 VMs on half a core. A round that looks at each VM some times stays in proportion.

use crate::common::{Harness, ms, vm};

/// Sizes of a slice: of the smallest fleet, and of ones that were never cut.
const SIZES: [usize; 4] = [200, 1_000, 3_000, 7_000];
/// Looks at each VM in a round at most; measured: 9 in a quiet round, 11.4 in a peak, 14 with a wave.
const MAX_VISITS_PER_VM: u64 = 20;

/// A fleet of five pools, a third of it off.
fn harness(vms: usize) -> Harness {
    let pools = ["a", "b", "c", "d", "spare", "spare"];
    Harness::new((0..vms).map(|n| vm(&format!("vm-{n:05}"), pools[n % pools.len()])).collect())
}

/// Looks of one round.
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
        harness.orders_per_s(100_000.0);
        harness.round();
        harness.waiting.insert("a".into(), 32_000 * size as u64);
        let visits = visits_of_round(&mut harness, "peak");
        assert!(harness.moves_ordered_to("a") >= size / 4, "the pool in its peak gets VMs");
        assert!(visits <= MAX_VISITS_PER_VM * size as u64);
    }
}

#[test]
fn a_round_with_a_wave_scales_linearly() {
    for size in SIZES {
        let mut harness = harness(size);
        let names: Vec<String> = (0..size).step_by(2).map(|n| format!("vm-{n:05}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        harness.wave(&names, u32::try_from(size / 20).expect("small"));
        harness.round();
        harness.now += ms(100);
        assert!(visits_of_round(&mut harness, "wave") <= MAX_VISITS_PER_VM * size as u64);
    }
}
