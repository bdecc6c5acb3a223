//! Guards against taking a lost connection of this daemon for an outage of the store: the daemon
//! would go on acting as owner of shards that were assigned to another one.

use std::time::Duration;

use crosspath_node::outage::Survey;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn survey(asked_at: u64, others: usize, answered_ago: &[u64]) -> Survey {
    let answered_ago = answered_ago.iter().map(|ago| ms(*ago)).collect();
    Survey { asked_at: ms(asked_at), member_until: ms(10_000), others, answered_ago }
}

#[test]
fn a_store_silent_towards_every_daemon_is_an_outage() {
    assert!(survey(10_050, 5, &[1_100, 1_150, 1_200, 1_100, 1_090]).shows_outage());
}

#[test]
fn a_recent_answer_to_one_daemon_rules_out_an_outage() {
    assert!(!survey(10_050, 5, &[1_100, 1_150, 120, 1_100, 1_090]).shows_outage());
}

#[test]
fn no_outage_is_inferred_before_the_membership_expires() {
    assert!(!survey(9_700, 5, &[700, 700, 700, 700, 700]).shows_outage());
}

#[test]
fn an_answer_after_the_membership_expired_rules_out_an_outage() {
    assert!(!survey(12_000, 5, &[3_000, 3_000, 1_500, 3_000, 3_000]).shows_outage());
}

#[test]
fn an_outage_needs_replies_from_a_majority() {
    assert!(!survey(10_050, 5, &[1_100, 1_150]).shows_outage());
    assert!(survey(10_050, 4, &[1_100, 1_150]).shows_outage());
}
