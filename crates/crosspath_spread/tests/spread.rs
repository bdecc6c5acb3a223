//! Members spread over data centres and racks. Guards against members that bunch in one domain
//! while others have room, over random histories of arrivals and departures.

use std::sync::Arc;

use crosspath_spread::{Domain, Occupancy, with_reserve};
use proptest::prelude::*;

const RACKS: usize = 3;

fn domain(data_centre: usize, rack: usize) -> Domain {
    let rack = format!("r{data_centre}-{rack}").into();
    Domain { data_centre: format!("dc{data_centre}").into(), rack: Some(rack) }
}

fn domains(data_centres: usize) -> Vec<Domain> {
    (0..data_centres).flat_map(|dc| (0..RACKS).map(move |rack| domain(dc, rack))).collect()
}

/// Adds a member to the best domain.
fn add_one(occupied: &mut Occupancy, members: &mut Vec<Domain>, domains: &[Domain]) {
    let best = domains.iter().min_by_key(|domain| occupied.rank(domain)).expect("a domain");
    occupied.add(best);
    members.push(best.clone());
}

/// Members in the data centre, and in the rack, with the most of them.
fn largest(members: &[Domain]) -> (usize, usize) {
    let count = |same: &dyn Fn(&Domain, &Domain) -> bool| {
        let of = |one: &Domain| members.iter().filter(|other| same(one, other)).count();
        members.iter().map(of).max().unwrap_or(0)
    };
    (count(&|one, other| one.data_centre == other.data_centre), count(&|one, other| one == other))
}

proptest! {
    #[test]
    fn the_largest_domains_hold_no_more_than_their_share(n in 1_usize..60, data_centres in 1_usize..6) {
        let (mut occupied, mut members) = (Occupancy::default(), Vec::new());
        for _ in 0..n {
            add_one(&mut occupied, &mut members, &domains(data_centres));
        }
        let (in_data_centre, in_rack) = largest(&members);
        prop_assert_eq!(in_data_centre, n.div_ceil(data_centres));
        prop_assert_eq!(in_rack, n.div_ceil(data_centres).div_ceil(RACKS));
        prop_assert_eq!(occupied.largest_data_centre() as usize, in_data_centre);
    }

    #[test]
    fn with_a_reserve_enough_remain_after_a_loss(needed in 0_u32..80, data_centres in 2_usize..6) {
        let size = with_reserve(needed, u32::try_from(data_centres).expect("few"), 1);
        let (mut occupied, mut members) = (Occupancy::default(), Vec::new());
        for _ in 0..size {
            add_one(&mut occupied, &mut members, &domains(data_centres));
        }
        let remain = size - occupied.largest_data_centre();
        prop_assert_eq!(remain, needed);
    }

    /// Members leave from the most occupied domain, and come to the least occupied.
    #[test]
    fn data_centres_stay_level_over_a_random_history(
        steps in proptest::collection::vec(any::<bool>(), 1..200),
        data_centres in 1_usize..6,
    ) {
        let domains = domains(data_centres);
        let (mut occupied, mut members) = (Occupancy::default(), Vec::new());
        for adds in steps {
            if adds || members.is_empty() {
                add_one(&mut occupied, &mut members, &domains);
            } else {
                let fullest = |at: &usize| occupied.rank(&members[*at]);
                let at = (0..members.len()).max_by_key(fullest).expect("a member");
                occupied.remove(&members.swap_remove(at));
            }
            let (in_data_centre, _) = largest(&members);
            prop_assert!(in_data_centre <= members.len().div_ceil(data_centres));
            prop_assert_eq!(occupied.is_empty(), members.is_empty());
        }
    }
}

#[test]
fn no_reserve_is_kept_where_none_could_help() {
    assert_eq!(with_reserve(10, 1, 1), 10);
    assert_eq!(with_reserve(10, 2, 3), 10);
    assert_eq!(with_reserve(10, 3, 0), 10);
}

#[test]
fn the_rack_is_the_label_after_the_kind() {
    let data_centre: Arc<str> = "dc".into();
    let rack = |labels: &[&str]| {
        let labels: Vec<Arc<str>> = labels.iter().map(|label| Arc::from(*label)).collect();
        Domain::of(&data_centre, &labels).rack
    };
    assert_eq!(rack(&["kind", "r1-3"]).as_deref(), Some("r1-3"));
    assert_eq!(rack(&["kind"]), None);
    assert_eq!(rack(&[]), None);
}
