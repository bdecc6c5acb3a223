//! When the store counts as away for all.

use std::time::Duration;

use crosspath_node::away::Survey;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn survey(asked: u64, others: usize, answered_ago: &[u64]) -> Survey {
    let answered_ago = answered_ago.iter().map(|ago| ms(*ago)).collect();
    Survey { asked: ms(asked), counted_until: ms(10_000), others, answered_ago }
}

#[test]
fn a_store_that_is_silent_towards_all_is_away() {
    assert!(survey(10_050, 5, &[1_100, 1_150, 1_200, 1_100, 1_090]).is_away_for_all());
}

#[test]
fn a_store_that_answered_one_daemon_a_moment_ago_is_not_away() {
    assert!(!survey(10_050, 5, &[1_100, 1_150, 120, 1_100, 1_090]).is_away_for_all());
}

#[test]
fn before_this_daemon_is_counted_out_nothing_is_known_of_the_time_after() {
    assert!(!survey(9_700, 5, &[700, 700, 700, 700, 700]).is_away_for_all());
}

#[test]
fn a_store_that_has_answered_since_this_daemon_was_counted_out_is_not_away() {
    assert!(!survey(12_000, 5, &[3_000, 3_000, 1_500, 3_000, 3_000]).is_away_for_all());
}

#[test]
fn a_minority_cannot_tell() {
    assert!(!survey(10_050, 5, &[1_100, 1_150]).is_away_for_all());
    assert!(survey(10_050, 4, &[1_100, 1_150]).is_away_for_all());
}
