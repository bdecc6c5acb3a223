//! Guards against links that count as broken because one VM is down, that swing with each call, or
//! whose recovery goes unnoticed, and against relays that are loaded for a data centre that is gone.

use std::net::SocketAddr;
use std::time::Duration;

use crosspath_path::link::{Link, Plan, State};
use proptest::prelude::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_740))
}

/// Link that broke at 1,300 ms: a relay reached an address that did not answer directly.
fn broken() -> Link {
    let mut link = Link::default();
    link.direct_answered(ms(900), ms(899));
    link.direct_failed(ms(1_000), address(1));
    link.relay_answered(ms(1_300), address(1));
    assert_eq!(link.state(), State::Broken);
    link
}

#[test]
fn addresses_without_an_answer_only_raise_suspicion() {
    let mut link = Link::default();
    for at in [1_000, 2_000, 3_000] {
        link.direct_failed(ms(at), address(1));
        link.direct_failed(ms(at), address(2));
    }
    assert_eq!(link.state(), State::Suspect);
    assert_eq!(link.plan(ms(4_000), true), Plan::Hedged);
    assert_eq!(link.plan(ms(4_000), false), Plan::Direct, "an order is not sent twice");
    link.direct_answered(ms(4_001), ms(4_000));
    assert_eq!(link.state(), State::Up);
}

/// Guards against a rack without power for which relays are loaded in vain.
#[test]
fn an_address_that_fails_beside_others_that_answer_raises_no_suspicion() {
    let mut link = Link::default();
    for at in (1_000..9_000).step_by(100) {
        link.direct_answered(ms(at + 200), ms(at - 800));
        link.direct_failed(ms(at), address(1));
        assert_eq!(link.state(), State::Up, "at {at}");
    }
}

#[test]
fn a_relay_that_reaches_the_silent_address_shows_the_break() {
    let mut link = Link::default();
    link.relay_answered(ms(900), address(1));
    assert_eq!(link.state(), State::Up);
    link.direct_failed(ms(1_000), address(1));
    link.relay_answered(ms(1_310), address(2));
    assert_eq!(link.state(), State::Suspect, "another address says nothing about the silent one");
    link.relay_answered(ms(1_310), address(1));
    assert_eq!(link.state(), State::Broken);
}

/// One way: calls arrive nowhere, but the answers to long polls from before the cut still come.
#[test]
fn answers_to_calls_from_before_the_break_restore_nothing() {
    let mut link = broken();
    link.direct_answered(ms(1_900), ms(950));
    assert_eq!(link.state(), State::Broken);
    link.direct_answered(ms(1_901), ms(1_850));
    assert_eq!(link.state(), State::Up);
}

#[test]
fn a_broken_link_is_probed_at_intervals_and_by_idempotent_calls_only() {
    let mut link = broken();
    assert_eq!(link.plan(ms(1_301), true), Plan::Relayed);
    assert_eq!(link.plan(ms(1_550), false), Plan::Relayed, "an order probes nothing");
    assert_eq!(link.plan(ms(1_550), true), Plan::Probed);
    assert_eq!(link.plan(ms(1_551), true), Plan::Relayed);
    let probes = (1_552..2_552).filter(|at| link.plan(ms(*at), true) == Plan::Probed).count();
    assert_eq!(probes, 4, "one in 250 ms");
}

#[test]
fn recovery_of_a_link_that_broke_once_is_noticed_within_a_second() {
    let mut link = broken();
    let mut at = 9_000;
    while link.state() != State::Up {
        at += 10;
        if link.plan(ms(at), true) == Plan::Probed {
            link.direct_answered(ms(at + 2), ms(at));
        }
    }
    assert!(at <= 10_000, "noticed after {} ms", at - 9_000);
}

/// Plays a call at `at` by the paths that the link's state asks for. Relays reach everything.
fn call(link: &mut Link, at: u64, direct_works: bool) {
    let number = address((at / 20 % 3) as u8);
    let plan = link.plan(ms(at), true);
    if plan != Plan::Relayed && direct_works {
        link.direct_answered(ms(at + 1), ms(at));
    } else if plan != Plan::Relayed {
        link.direct_failed(ms(at), number);
    }
    if plan != Plan::Direct {
        link.relay_answered(ms(at + 2), number);
    }
}

/// Plays a link that works and fails by turns, each for `half_ms`, with a call every 20 ms. Returns
/// the number of changes between up and broken.
fn changes_while_flapping(half_ms: u64, total_ms: u64) -> usize {
    let mut link = Link::default();
    let mut changes = 0;
    for at in (1_000..total_ms).step_by(20) {
        let was_broken = link.state() == State::Broken;
        call(&mut link, at, (at / half_ms).is_multiple_of(2));
        changes += usize::from(was_broken != (link.state() == State::Broken));
    }
    changes
}

#[test]
fn a_link_that_flaps_is_held_down_for_longer_and_longer() {
    let changes = changes_while_flapping(300, 61_000);
    assert!(
        changes <= 30,
        "{changes} changes in a minute, in which the link itself changed 200 times"
    );
}

#[test]
fn the_hold_down_shrinks_once_the_link_has_been_stable() {
    let mut link = Link::default();
    let mut break_at = |at: u64| {
        link.direct_failed(ms(at), address(1));
        link.relay_answered(ms(at), address(1));
        let mut restored = at;
        while link.state() == State::Broken {
            restored += 10;
            link.direct_answered(ms(restored), ms(restored));
        }
        restored - at
    };
    assert_eq!(break_at(1_000), 400);
    assert_eq!(break_at(2_000), 800);
    assert_eq!(break_at(3_000), 1_600);
    assert_eq!(break_at(60_000), 400);
}

#[test]
fn a_data_centre_that_no_relay_reaches_is_lost_and_loads_no_relays() {
    let mut link = broken();
    for at in [2_000, 2_400, 2_499] {
        link.relay_failed(ms(at), address(1));
        link.relay_failed(ms(at), address(2));
        assert_eq!(link.state(), State::Broken, "it may be busy at {at}");
    }
    link.relay_failed(ms(2_500), address(2));
    assert_eq!(link.state(), State::Lost);
    let relayed = (3_000..5_000).filter(|at| link.plan(ms(*at), true) != Plan::Direct).count();
    assert_eq!(relayed, 4, "one probe in 500 ms");
    link.relay_answered(ms(5_000), address(1));
    assert_eq!(link.state(), State::Broken, "it is back, but not for direct calls");
}

#[test]
fn a_data_centre_that_is_lost_without_a_broken_link_is_found_lost() {
    let mut link = Link::default();
    link.direct_answered(ms(1_000), ms(999));
    for at in [1_100, 1_700, 2_300] {
        for number in [1, 2] {
            link.direct_failed(ms(at), address(number));
            link.relay_failed(ms(at + 300), address(number));
        }
    }
    assert_eq!(link.state(), State::Lost);
    link.direct_answered(ms(9_001), ms(9_000));
    assert_eq!(link.state(), State::Up);
}

#[test]
fn one_address_that_no_relay_reaches_is_down_itself() {
    let mut link = broken();
    for at in (3_000..9_000).step_by(300) {
        link.relay_failed(ms(at), address(1));
        assert_eq!(link.state(), State::Broken);
    }
}

#[test]
fn a_relay_that_reaches_other_addresses_shows_that_the_data_centre_is_not_lost() {
    let mut link = broken();
    for at in (3_000..9_000).step_by(1_000) {
        link.relay_answered(ms(at), address(3));
        link.relay_failed(ms(at + 900), address(1));
        link.relay_failed(ms(at + 900), address(2));
        assert_eq!(link.state(), State::Broken);
    }
}

proptest! {
    /// Whatever happened before, a link whose direct calls are answered is up within 7 s, which is
    /// the longest hold-down and a probe, and a link whose calls all fail carries no order directly
    /// for longer than a call.
    #[test]
    fn every_history_ends_as_the_link_is(
        history in proptest::collection::vec((0_u8..4, 0_u8..3, 1_u64..700), 0..200),
        works in any::<bool>(),
    ) {
        let mut link = Link::default();
        let mut at = 10_000;
        for (kind, number, pause) in history {
            at += pause;
            match kind {
                0 => link.direct_answered(ms(at), ms(at - pause)),
                1 => link.direct_failed(ms(at - pause), address(number)),
                2 => link.relay_answered(ms(at), address(number)),
                _ => link.relay_failed(ms(at), address(number)),
            }
        }
        let until = at + 7_000;
        while at < until {
            at += 20;
            call(&mut link, at, works);
        }
        prop_assert_eq!(link.state(), if works { State::Up } else { State::Broken });
    }
}
