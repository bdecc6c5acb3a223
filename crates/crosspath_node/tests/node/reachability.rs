//! Guards against treating a slow store, which still answers, as silent or down, and against
//! failing to notice a store that is.

use std::time::Duration;

use crosspath_node::reachability::Reachability;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn a_slow_store_that_answers_is_not_silent() {
    let mut reachability = Reachability::default();
    for at in (0..5_000).step_by(500) {
        reachability.call_sent(ms(at));
        assert!(!reachability.is_silent(ms(at + 430)), "a slow store at {at}");
        reachability.call_answered(ms(at + 430));
    }
    assert!(!reachability.is_silent(ms(60_000)), "no call is outstanding");
    assert_eq!(reachability.last_answer(), ms(4_930));
}

#[test]
fn silence_is_measured_from_the_oldest_unanswered_call_and_ends_with_an_answer() {
    let mut reachability = Reachability::default();
    reachability.call_sent(ms(1_000));
    reachability.call_sent(ms(1_350));
    assert!(!reachability.is_silent(ms(1_799)));
    assert!(reachability.is_silent(ms(1_800)));
    reachability.call_sent(ms(2_000));
    assert!(reachability.is_silent(ms(2_000)), "a further call does not end the silence");
    reachability.call_answered(ms(2_100));
    assert!(!reachability.is_silent(ms(2_100)));
}

#[test]
fn a_store_that_keeps_refusing_is_down_until_it_stores_or_answers() {
    let mut reachability = Reachability::default();
    reachability.append_refused(ms(1_000));
    assert_eq!(reachability.down_for(ms(1_299)), None, "an owner may be restarting");
    reachability.append_refused(ms(1_300));
    assert_eq!(reachability.down_for(ms(1_300)), Some(ms(300)));
    reachability.append_stored();
    assert_eq!(reachability.down_for(ms(1_400)), None);
    reachability.append_refused(ms(2_000));
    reachability.call_answered(ms(2_100));
    assert_eq!(
        reachability.down_for(ms(9_000)),
        None,
        "an answered call shows that the store is up"
    );
}
