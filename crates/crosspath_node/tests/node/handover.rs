//! Cooldowns of VMs after a change of the fleet's owner. Guards against orders of two owners for
//! one VM in short succession, and against cooldowns that last longer than necessary.

use std::sync::Arc;
use std::time::Duration;

use crosspath_border::store::Stored;
use crosspath_border::vm::Order;
use crosspath_node::handover::{
    History, earlier_incarnations, has_ended, maintenance_record, order_record,
};
use crosspath_node::member::Member;

const COOLDOWN: Duration = Duration::from_secs(3);
const NOW: Duration = Duration::from_secs(100);
/// Time of the orders in these tests, in ms since 1970.
const ISSUED_MS: u64 = 1_700_000_000_000;

fn member(incarnation: &str) -> Member {
    let address = "127.0.0.1:7100".parse().expect("an address");
    Member {
        address,
        name: "entry-1".into(),
        incarnation: incarnation.into(),
        millicores: 250,
        data_centre: None,
    }
}

fn history_with(order: &Order) -> History {
    let issuer: Arc<str> = member("a").to_string().into();
    let record = order_record("vm-1", order, &issuer, ISSUED_MS);
    let mut history = History::default();
    history.apply(&Stored { offset: 0, key: record.key, value: record.value });
    history
}

fn to_counter() -> Order {
    Order::Move { pool: "counter".into() }
}

#[test]
fn a_recent_order_starts_a_cooldown() {
    let cooldowns = history_with(&to_counter()).cooldowns(NOW, ISSUED_MS + 1_000, COOLDOWN);
    let cooldown = cooldowns.get("vm-1").expect("a cooldown");
    assert_eq!(cooldown.until, NOW + COOLDOWN);
    assert_eq!(cooldown.issuer, Some(member("a")));
}

#[test]
fn an_order_older_than_the_clock_skew_allows_starts_no_cooldown() {
    assert!(history_with(&to_counter()).cooldowns(NOW, ISSUED_MS + 5_600, COOLDOWN).is_empty());
}

/// Guards against a full cooldown of 3 s from the takeover however old the order is.
#[test]
fn the_cooldown_shrinks_with_the_age_of_the_order() {
    let cooldowns = history_with(&to_counter()).cooldowns(NOW, ISSUED_MS + 4_500, COOLDOWN);
    assert_eq!(
        cooldowns.get("vm-1").expect("a cooldown").until,
        NOW + Duration::from_millis(1_000)
    );
}

#[test]
fn an_order_from_a_clock_ahead_is_capped_at_the_full_cooldown() {
    let cooldowns = history_with(&to_counter()).cooldowns(NOW, ISSUED_MS - 4_000, COOLDOWN);
    assert_eq!(cooldowns.get("vm-1").expect("a cooldown").until, NOW + COOLDOWN);
}

#[test]
fn a_cooldown_after_maintenance_has_no_issuer() {
    let cooldowns = history_with(&Order::Maintain { wave: 1 }).cooldowns(NOW, ISSUED_MS, COOLDOWN);
    assert_eq!(cooldowns.get("vm-1").expect("a cooldown").issuer, None);
}

#[test]
fn an_unreadable_record_means_a_full_cooldown_without_issuer() {
    let mut history = History::default();
    history.apply(&Stored { offset: 0, key: "order/vm-1".into(), value: "1700000000000".into() });
    let cooldowns = history.cooldowns(NOW, ISSUED_MS + 60_000, COOLDOWN);
    assert_eq!(cooldowns.get("vm-1").expect("a cooldown").issuer, None);
}

#[test]
fn completed_maintenance_is_restored() {
    let record = maintenance_record("vm-1", 7);
    let mut history = History::default();
    history.apply(&Stored { offset: 0, key: record.key, value: record.value });
    assert!(history.maintained[&7].contains("vm-1"));
}

#[test]
fn an_incarnation_has_ended_only_if_the_same_daemon_runs_another() {
    assert!(has_ended(&member("a"), &member("b")));
    assert!(!has_ended(&member("a"), &member("a")));
    let other = Member { name: "entry-2".into(), ..member("b") };
    assert!(!has_ended(&member("a"), &other), "another daemon at the same address");
}

#[test]
fn only_earlier_incarnations_of_the_same_daemon_are_returned() {
    let other = Member { name: "entry-2".into(), ..member("a") };
    let members = [member("a"), member("b"), member("c"), other];
    assert_eq!(earlier_incarnations(&members, &member("c")), [&member("a"), &member("b")]);
}
