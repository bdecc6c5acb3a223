//! Hedging delay derived from the response times of a server. Guards against a delay so short that
//! requests are sent again to a server that is merely slow, and against one that stays long once
//! the server is fast again.

use std::time::Duration;

use crosspath_http::latency::Latency;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Estimate after `count` responses that each took `took`.
fn latency_after(took: Duration, count: usize) -> Latency {
    let mut latency = Latency::default();
    (0..count).for_each(|_| latency.observe(took));
    latency
}

#[test]
fn a_fast_server_has_the_minimum_delay() {
    assert_eq!(latency_after(ms(10), 20).hedging_delay(), ms(150));
}

#[test]
fn the_delay_adapts_to_a_slower_server_within_three_responses() {
    let mut latency = latency_after(ms(10), 20);
    for _ in 0..3 {
        latency.observe(ms(240));
    }
    assert!(latency.hedging_delay() > ms(300), "{:?}", latency.hedging_delay());
}

#[test]
fn the_delay_adapts_to_a_server_that_is_fast_again() {
    let mut latency = latency_after(ms(240), 20);
    for _ in 0..20 {
        latency.observe(ms(10));
    }
    assert!(latency.hedging_delay() < ms(170), "{:?}", latency.hedging_delay());
}

#[test]
fn the_delay_has_a_maximum() {
    assert_eq!(latency_after(ms(5_000), 5).hedging_delay(), ms(2_000));
}

#[test]
fn the_delay_exceeds_call_timeouts_of_a_slow_server() {
    let mut latency = latency_after(ms(10), 20);
    for took in [150, 300, 430, 600, 800] {
        latency.observe(ms(took));
    }
    assert!(latency.hedging_delay() > ms(1_200), "{:?}", latency.hedging_delay());
}
