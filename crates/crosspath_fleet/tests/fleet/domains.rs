//! Which data centres count as lost. Guards against single failures, or VMs that have not begun yet,
//! that are taken for the loss of a data centre, and against a state that changes with each list.

use crosspath_border::vm::{State, Vm};
use crosspath_fleet::domains::{Domains, is_down};

use crate::common::vm;

/// A list of ten VMs in data centre x, of which some are down, and ten in y.
fn list(down: usize) -> Vec<Vm> {
    let vm_in = |data_centre: &str, number: usize, state: State| Vm {
        data_centre: data_centre.into(),
        state,
        worker: (state == State::Up).then(|| format!("w-{data_centre}{number}").into()),
        ..vm(&format!("{data_centre}{number}"), "counter")
    };
    let in_x = |number| vm_in("x", number, if number < down { State::Down } else { State::Up });
    (0..10).map(in_x).chain((0..10).map(|number| vm_in("y", number, State::Up))).collect()
}

fn is_lost(domains: &Domains) -> bool {
    assert!(!domains.lost().contains("y"));
    domains.lost().contains("x")
}

#[test]
fn a_data_centre_is_lost_once_most_of_it_is_down_and_back_once_little_is() {
    let mut domains = Domains::default();
    for (down, expected) in [
        (0, false),
        (3, false),
        (6, false),
        (9, true),
        (10, true),
        (5, true),
        (2, false),
        (5, false),
    ] {
        domains.update(&list(down));
        assert_eq!(is_lost(&domains), expected, "{down} down");
    }
}

#[test]
fn a_data_centre_that_has_not_been_up_is_not_lost() {
    let mut domains = Domains::default();
    domains.update(&list(10));
    assert!(!is_lost(&domains));
}

#[test]
fn a_data_centre_with_few_vms_is_not_lost_as_a_whole() {
    let mut domains = Domains::default();
    for down in [0, 2] {
        let few: Vec<_> = list(down).into_iter().filter(|vm| &*vm.name < "x2").collect();
        domains.update(&few);
    }
    assert!(!is_lost(&domains));
}

/// The list may be behind.
#[test]
fn a_vm_with_a_worker_is_not_down() {
    let with_worker = Vm { state: State::Down, worker: Some("w".into()), ..vm("x1", "counter") };
    assert!(!is_down(&with_worker));
    assert!(is_down(&Vm { worker: None, ..with_worker.clone() }));
    assert!(!is_down(&Vm { state: State::Moving, worker: None, ..with_worker }));
}

/// Such VMs neither end their workers nor make up a lost data centre.
#[test]
fn a_vm_in_an_unknown_state_is_not_down() {
    let unknown = Vm { state: State::Unknown, worker: None, ..vm("x1", "counter") };
    assert!(!is_down(&unknown));
    let mut domains = Domains::default();
    domains.update(&list(0));
    let mut vms = list(10);
    vms.iter_mut().filter(|vm| vm.state == State::Down).for_each(|vm| vm.state = State::Unknown);
    domains.update(&vms);
    assert!(!is_lost(&domains));
}
