//! Which VMs a new owner of the fleet leaves alone.

use std::sync::Arc;
use std::time::Duration;

use crosspath_border::store::Stored;
use crosspath_border::vm::Order;
use crosspath_node::handover::{Kept, earlier_lives, is_over, order_record, upkeep_record};
use crosspath_node::member::Member;

const REST: Duration = Duration::from_secs(3);
const NOW: Duration = Duration::from_secs(100);
/// When the orders of these tests were given, in ms since 1970.
const GIVEN_MS: u64 = 1_700_000_000_000;

fn member(life: &str) -> Member {
    let address = "127.0.0.1:7100".parse().expect("an address");
    Member { address, name: "entry-1".into(), life: life.into(), millicores: 250 }
}

fn kept(order: &Order) -> Kept {
    let giver: Arc<str> = member("a").to_string().into();
    let record = order_record("vm-1", order, &giver, GIVEN_MS);
    let mut kept = Kept::default();
    kept.take(&Stored { offset: 0, key: record.key, value: record.value });
    kept
}

fn to_counter() -> Order {
    Order::Move { pool: "counter".into() }
}

#[test]
fn a_vm_that_was_ordered_about_just_now_rests() {
    let rests = kept(&to_counter()).rests(NOW, GIVEN_MS + 1_000, REST);
    let rest = rests.get("vm-1").expect("a rest");
    assert_eq!(rest.until, NOW + REST);
    assert_eq!(rest.giver, Some(member("a")));
}

#[test]
fn a_vm_whose_order_is_old_for_any_clock_does_not_rest() {
    assert!(kept(&to_counter()).rests(NOW, GIVEN_MS + 5_600, REST).is_empty());
}

/// It rested for 3 s from the takeover however old its order was.
#[test]
fn a_vm_rests_until_its_order_is_old_for_any_clock() {
    let rests = kept(&to_counter()).rests(NOW, GIVEN_MS + 4_500, REST);
    assert_eq!(rests.get("vm-1").expect("a rest").until, NOW + Duration::from_millis(1_000));
}

#[test]
fn an_order_of_a_clock_ahead_of_ours_rests_no_longer_than_any() {
    let rests = kept(&to_counter()).rests(NOW, GIVEN_MS - 4_000, REST);
    assert_eq!(rests.get("vm-1").expect("a rest").until, NOW + REST);
}

#[test]
fn nothing_lifts_the_rest_after_upkeep_which_counts_against_its_wave() {
    let rests = kept(&Order::Maintain { wave: 1 }).rests(NOW, GIVEN_MS, REST);
    assert_eq!(rests.get("vm-1").expect("a rest").giver, None);
}

#[test]
fn a_record_that_is_not_readable_means_a_rest_that_nothing_lifts() {
    let mut kept = Kept::default();
    kept.take(&Stored { offset: 0, key: "order/vm-1".into(), value: "1700000000000".into() });
    let rests = kept.rests(NOW, GIVEN_MS + 60_000, REST);
    assert_eq!(rests.get("vm-1").expect("a rest").giver, None);
}

#[test]
fn upkeep_that_was_had_is_known() {
    let record = upkeep_record("vm-1", 7);
    let mut kept = Kept::default();
    kept.take(&Stored { offset: 0, key: record.key, value: record.value });
    assert!(kept.maintained[&7].contains("vm-1"));
}

#[test]
fn a_life_is_over_by_a_later_one_of_the_same_daemon_only() {
    assert!(is_over(&member("a"), &member("b")));
    assert!(!is_over(&member("a"), &member("a")));
    let other = Member { name: "entry-2".into(), ..member("b") };
    assert!(!is_over(&member("a"), &other), "another daemon at the same address");
}

#[test]
fn a_daemon_takes_its_own_earlier_lives_out_of_the_group_and_no_others() {
    let other = Member { name: "entry-2".into(), ..member("a") };
    let members = [member("a"), member("b"), member("c"), other];
    assert_eq!(earlier_lives(&members, &member("c")), [&member("a"), &member("b")]);
}
