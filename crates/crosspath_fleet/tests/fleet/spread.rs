//! VMs of pools over failure domains. Guards against pools whose VMs bunch in one data centre or
//! rack because the planner takes spare VMs by name.

use std::collections::BTreeMap;

use crosspath_border::vm::Vm;

use crate::common::{Harness, VM_MILLIS, vm};

/// Spare VMs whose names sort by data centre and rack: eight in each of two racks of three data
/// centres; and a pool with the first of them.
fn harness() -> Harness {
    let mut vms = Vec::new();
    for data_centre in ["x", "y", "z"] {
        for rack in ["1", "2"] {
            for number in 0..8 {
                let name = format!("{data_centre}-{rack}-{number}");
                let pool = if name == "x-1-0" { "counter" } else { "spare" };
                let labels = vec!["kind".into(), format!("{data_centre}-{rack}").into()];
                vms.push(Vm { data_centre: data_centre.into(), labels, ..vm(&name, pool) });
            }
        }
    }
    Harness::new(vms)
}

/// VMs of the pool by data centre, and by rack.
fn by_domain(harness: &Harness) -> (BTreeMap<String, usize>, BTreeMap<String, usize>) {
    let (mut data_centres, mut racks) = (BTreeMap::new(), BTreeMap::new());
    for vm in harness.view.vms.iter().filter(|vm| &*vm.pool == "counter") {
        *data_centres.entry(vm.data_centre.to_string()).or_default() += 1;
        *racks.entry(vm.labels[1].to_string()).or_default() += 1;
    }
    (data_centres, racks)
}

/// Lets a pool grow until it can run the given number of VMs' work.
fn grow(harness: &mut Harness, vms: u64) {
    harness.waiting.insert("counter".into(), vms * VM_MILLIS);
    for _ in 0..20 {
        harness.round();
    }
}

fn difference(members: &BTreeMap<String, usize>) -> usize {
    members.values().max().unwrap_or(&0) - members.values().min().unwrap_or(&0)
}

#[test]
fn a_pool_grows_level_over_data_centres_and_racks() {
    let mut harness = harness();
    harness.set_spread();
    grow(&mut harness, 12);
    let (data_centres, racks) = by_domain(&harness);
    assert_eq!((data_centres.len(), racks.len()), (3, 6), "{racks:?}");
    assert!(difference(&data_centres) <= 1, "{data_centres:?}");
    assert!(difference(&racks) <= 1, "{racks:?}");
}

#[test]
fn a_pool_shrinks_from_its_most_occupied_data_centre() {
    let mut harness = harness();
    grow(&mut harness, 12);
    let (bunched, _) = by_domain(&harness);
    assert_eq!(bunched.len(), 1, "without a spread, spare VMs go by name: {bunched:?}");
    harness.set_spread();
    grow(&mut harness, 24);
    harness.waiting.insert("counter".into(), 9 * VM_MILLIS);
    for _ in 0..60 {
        harness.round();
    }
    assert!(harness.pool_size("counter") < 20, "{}", harness.pool_size("counter"));
    let (data_centres, _) = by_domain(&harness);
    assert!(difference(&data_centres) <= 1, "{data_centres:?}");
}

/// The VMs of an evacuated data centre do not count, and none is brought in from there.
#[test]
fn replacements_of_an_evacuated_data_centre_are_spread_over_the_others() {
    let mut harness = harness();
    harness.set_spread();
    grow(&mut harness, 12);
    harness.view.evacuated = std::sync::Arc::new(["y".into()].into());
    grow(&mut harness, 18);
    let (data_centres, _) = by_domain(&harness);
    assert!(data_centres["x"].abs_diff(data_centres["z"]) <= 1, "{data_centres:?}");
    assert!(data_centres["x"] >= 9, "{data_centres:?}");
}

/// VMs that remain in the pool if its largest data centre is lost.
fn remaining_after_a_loss(harness: &Harness) -> usize {
    let (data_centres, _) = by_domain(harness);
    harness.pool_size("counter") - data_centres.values().max().unwrap_or(&0)
}

#[test]
fn with_a_reserve_the_present_work_fits_on_what_remains() {
    let sizes = [0, 1].map(|tolerated| {
        let mut harness = harness();
        harness.set_reserve(tolerated);
        grow(&mut harness, 12);
        (harness.pool_size("counter"), remaining_after_a_loss(&harness))
    });
    let [(without, _), (with, remaining)] = sizes;
    assert!(with > without && remaining >= without, "{sizes:?}");
}

/// The reserve is for that loss, and VMs are scarce after it.
#[test]
fn no_reserve_is_kept_beyond_the_data_centres_that_may_be_lost() {
    let sizes = [0, 1].map(|tolerated| {
        let mut harness = harness();
        harness.set_reserve(tolerated);
        harness.view.evacuated = std::sync::Arc::new(["y".into()].into());
        grow(&mut harness, 12);
        harness.pool_size("counter")
    });
    assert_eq!(sizes[0], sizes[1]);
}
