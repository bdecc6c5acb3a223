//! Age of a list of VMs by a shard owner's own clock. Guards against a list that counts as newer than
//! it is, which would end a worker that has begun since.

use std::time::Duration;

use crosspath_node::stamps::Stamps;
use crosspath_schedule::domains::Stamp;

fn stamp(at_ms: u64) -> Stamp {
    Stamp { epoch: 1, at_ms }
}

#[test]
fn only_stamps_that_had_arrived_when_the_list_was_requested_count() {
    let mut stamps = Stamps::default();
    for (arrived, at_ms) in [(100, 7_000), (200, 7_090), (300, 7_210)] {
        stamps.add(Duration::from_millis(arrived), stamp(at_ms));
    }
    let last = |requested| stamps.last_before(Duration::from_millis(requested));
    assert_eq!(last(99), None);
    assert_eq!(last(299), Some(stamp(7_090)));
    assert_eq!(last(300), Some(stamp(7_210)));
}

#[test]
fn old_stamps_are_dropped() {
    let mut stamps = Stamps::default();
    for n in 0..1_000 {
        stamps.add(Duration::from_millis(n), stamp(n));
    }
    assert_eq!(stamps.last_before(Duration::from_millis(900)), None);
    assert_eq!(stamps.last_before(Duration::from_millis(999)), Some(stamp(999)));
}
