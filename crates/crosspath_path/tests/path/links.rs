//! Guards against relays that cannot help: in one of the two data centres, cut off themselves, too
//! small while there are larger ones, or silent.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crosspath_path::link::{Plan, State};
use crosspath_path::{Links, Relay};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_740))
}

fn relay(number: u8, data_centre: &str, millicores: u32) -> Relay {
    Relay { address: address(number), data_centre: data_centre.into(), millicores }
}

fn centre(name: &str) -> Arc<str> {
    name.into()
}

fn links(relays: &[Relay]) -> Links {
    let mut links = Links::new("a".into());
    links.set_relays(relays.to_vec());
    links
}

fn break_link(links: &mut Links, data_centre: &str, at: Duration) {
    links.direct_ended(at, at - ms(1), &centre(data_centre), address(101), false);
    links.relayed_ended(at, &centre(data_centre), address(101), true);
    assert_eq!(links.state(data_centre), State::Broken);
}

#[test]
fn only_daemons_in_third_data_centres_that_are_reached_relay() {
    let all = [relay(1, "a", 250), relay(2, "b", 250), relay(3, "c", 250), relay(4, "d", 250)];
    let mut links = links(&all);
    let found: BTreeSet<_> = links.relays(ms(0), "b", None).into_iter().collect();
    assert_eq!(found, BTreeSet::from([address(3), address(4)]));
    break_link(&mut links, "d", ms(1_000));
    assert_eq!(links.relays(ms(1_000), "b", None), [address(3)]);
}

#[test]
fn large_vms_relay_before_small_ones_and_destinations_spread_over_them() {
    let all: Vec<_> =
        (1..=8).map(|number| relay(number, "c", if number <= 4 { 250 } else { 120 })).collect();
    let links = links(&all);
    let first_of = |number| links.relays(ms(0), "b", Some(address(number)))[0];
    let chosen: BTreeSet<_> = (100..200).map(first_of).collect();
    assert_eq!(chosen, (1..=4).map(address).collect(), "all large ones, and no small one");
}

#[test]
fn a_relay_that_failed_is_passed_over_for_a_second() {
    let mut links = links(&[relay(3, "c", 250), relay(4, "d", 250)]);
    links.relay_unavailable(ms(1_000), address(3));
    assert_eq!(links.relays(ms(1_999), "b", None), [address(4)]);
    assert_eq!(links.relays(ms(2_000), "b", None).len(), 2);
}

#[test]
fn calls_stay_direct_without_a_relay_and_within_the_data_centre() {
    let mut links = links(&[relay(2, "b", 250)]);
    break_link(&mut links, "b", ms(1_000));
    assert_eq!(links.plan(ms(1_001), &centre("b"), false), Plan::Direct, "there is no relay");
    links.set_relays(vec![relay(3, "c", 250)]);
    assert_eq!(links.plan(ms(1_001), &centre("b"), false), Plan::Relayed);
    links.direct_ended(ms(2), ms(1), &centre("a"), address(1), false);
    links.relayed_ended(ms(2), &centre("a"), address(1), true);
    assert_eq!(links.plan(ms(3), &centre("a"), false), Plan::Direct);
}

/// Two daemons that relay for each other: each sees the link of the other end as broken, and no
/// relay is left that is cut off from the caller.
#[test]
fn a_relay_behind_a_broken_link_is_not_chosen_for_another_data_centre() {
    let mut links = links(&[relay(2, "b", 250), relay(3, "c", 250)]);
    break_link(&mut links, "b", ms(1_000));
    break_link(&mut links, "c", ms(1_000));
    assert_eq!(links.plan(ms(1_001), &centre("b"), false), Plan::Direct);
    assert_eq!(links.plan(ms(1_001), &centre("c"), false), Plan::Direct);
}

#[test]
fn the_number_of_links_is_bounded() {
    let mut links = links(&[relay(3, "c", 250)]);
    for number in 0..1_000 {
        links.direct_ended(ms(2), ms(1), &centre(&format!("z{number}")), address(1), false);
    }
    assert_eq!(links.count(State::Suspect), 64);
}
