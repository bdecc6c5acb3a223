//! What a round costs by the size of the fleet, counted in VMs looked at.
//!
//! A scan of all VMs for each move or candidate grows with the square of the fleet: 25 ms a move at
//! 3,000 VMs on half a core. A round that looks at each VM some times stays in proportion.

use crate::common::{Bed, ms, vm};

/// Sizes of a slice: of the smallest fleet, and of ones that were never cut.
const SIZES: [usize; 4] = [200, 1_000, 3_000, 7_000];
/// Looks at each VM in a round at most; measured: 9 in a quiet round, 11.4 in a peak, 14 with a wave.
const LOOKS_A_VM: u64 = 20;

/// A fleet of five pools, a third of it off.
fn bed(vms: usize) -> Bed {
    let pools = ["a", "b", "c", "d", "spare", "spare"];
    Bed::new((0..vms).map(|n| vm(&format!("vm-{n:05}"), pools[n % pools.len()])).collect())
}

/// Looks of one round.
fn looks(bed: &mut Bed, case: &str) -> u64 {
    bed.round();
    let vms = bed.view.vms.len() as u64;
    println!("{case} at {vms} VMs: {} looks, {:.1} a VM", bed.steps, bed.steps as f64 / vms as f64);
    bed.steps
}

#[test]
fn a_quiet_round_looks_at_each_vm_some_times() {
    for size in SIZES {
        let mut bed = bed(size);
        bed.round();
        assert!(looks(&mut bed, "quiet") <= LOOKS_A_VM * size as u64);
    }
}

#[test]
fn a_round_with_many_moves_looks_at_each_vm_some_times() {
    for size in SIZES {
        let mut bed = bed(size);
        bed.orders_per_s(100_000.0);
        bed.round();
        bed.waiting.insert("a".into(), 32_000 * size as u64);
        let looked = looks(&mut bed, "peak");
        assert!(bed.planned_moves_to("a") >= size / 4, "the pool in its peak gets VMs");
        assert!(looked <= LOOKS_A_VM * size as u64);
    }
}

#[test]
fn a_round_of_a_wave_looks_at_each_vm_some_times() {
    for size in SIZES {
        let mut bed = bed(size);
        let names: Vec<String> = (0..size).step_by(2).map(|n| format!("vm-{n:05}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        bed.wave(&names, u32::try_from(size / 20).expect("small"));
        bed.round();
        bed.now += ms(100);
        assert!(looks(&mut bed, "wave") <= LOOKS_A_VM * size as u64);
    }
}
