//! Guards against owners that keep shards in which they can run nothing, against owners that give up
//! shards for lack of calls or for one silent peer, and against a group that nobody joins again.

use std::time::Duration;

use crosspath_border::store::{Join, Store as _};
use crosspath_node::isolation::{Isolation, Observation, Step};

use crate::common::{Daemon, Site, log_with_one_pool};

/// Time after which a daemon that was to leave the group has not.
const PATIENCE: Duration = Duration::from_secs(30);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// TTL of the group's members.
const TTL: Duration = Duration::from_millis(1_200);

/// Owner that two others do not answer any more.
fn cut_off(answered_ms: u64) -> Observation {
    Observation {
        answered_at: ms(answered_ms),
        peers_silent: true,
        others: 2,
        generation: 1,
        owns_shards: true,
    }
}

/// Observes the same at `from` and 1.6 s later, when the silence has lasted long enough.
fn observe_twice(isolation: &mut Isolation, from: u64, seen: &Observation) -> Option<Step> {
    assert_eq!(isolation.observe(ms(from), seen), None);
    isolation.observe(ms(from + 1_600), seen)
}

fn away(at: u64) -> Isolation {
    let mut isolation = Isolation::new(TTL);
    let step = observe_twice(&mut isolation, at - 1_600, &cut_off(at - 2_600));
    assert_eq!(step, Some(Step::Leave));
    isolation
}

#[test]
fn an_owner_that_reaches_nobody_leaves() {
    let mut isolation = Isolation::new(TTL);
    assert_eq!(isolation.observe(ms(10_999), &cut_off(10_000)), None);
    assert_eq!(isolation.observe(ms(11_000), &cut_off(10_000)), None);
    assert_eq!(isolation.observe(ms(12_599), &cut_off(10_000)), None);
    assert_eq!(isolation.observe(ms(12_600), &cut_off(10_000)), Some(Step::Leave));
    assert!(isolation.is_away());
}

#[test]
fn an_owner_stays_if_anybody_answers_or_nobody_could_take_over() {
    let stays = [
        Observation { peers_silent: false, ..cut_off(10_000) },
        Observation { others: 1, ..cut_off(10_000) },
        Observation { owns_shards: false, ..cut_off(10_000) },
    ];
    for seen in stays {
        assert_eq!(observe_twice(&mut Isolation::new(TTL), 20_000, &seen), None, "{seen:?}");
    }
    let mut isolation = Isolation::new(TTL);
    assert_eq!(isolation.observe(ms(20_000), &cut_off(10_000)), None);
    assert_eq!(isolation.observe(ms(21_000), &cut_off(20_900)), None, "somebody answered");
    assert_eq!(isolation.observe(ms(21_900), &cut_off(20_900)), None, "the count starts again");
}

/// All other owners have ended at once. The group removes them, and this one must stay.
#[test]
fn silence_counts_only_while_the_group_keeps_its_members() {
    let mut isolation = Isolation::new(TTL);
    assert_eq!(isolation.observe(ms(20_000), &cut_off(10_000)), None);
    let removed = Observation { generation: 2, ..cut_off(10_000) };
    assert_eq!(isolation.observe(ms(21_600), &removed), None);
    assert_eq!(isolation.observe(ms(23_100), &removed), None);
    assert_eq!(isolation.observe(ms(23_200), &removed), Some(Step::Leave));
}

#[test]
fn peers_are_asked_before_a_lack_of_calls_counts_as_isolation() {
    let isolation = Isolation::new(TTL);
    assert!(!isolation.needs_survey(ms(10_999), &cut_off(10_000)));
    assert!(isolation.needs_survey(ms(11_000), &cut_off(10_000)));
    assert!(!isolation.needs_survey(ms(11_000), &Observation { others: 1, ..cut_off(10_000) }));
    assert!(away(20_000).needs_survey(ms(20_001), &Observation { others: 0, ..cut_off(20_000) }));
}

#[test]
fn it_joins_again_once_it_reaches_a_peer_but_not_at_once() {
    let mut isolation = away(20_000);
    let reached = Observation { peers_silent: false, ..cut_off(18_000) };
    assert_eq!(isolation.observe(ms(22_999), &reached), None);
    assert_eq!(isolation.observe(ms(60_000), &cut_off(18_000)), None, "it still reaches nobody");
    assert_eq!(isolation.observe(ms(60_000), &reached), Some(Step::Rejoin));
    assert!(!isolation.is_away());
    assert_eq!(isolation.observe(ms(60_001), &cut_off(18_000)), None, "time to reach somebody");
}

/// The network is down for all: every owner leaves, and nobody is left to be reached.
#[test]
fn it_joins_a_group_without_owners_after_the_minimum_time() {
    let mut isolation = away(20_000);
    let nobody = Observation { others: 0, ..cut_off(18_000) };
    assert_eq!(isolation.observe(ms(22_999), &nobody), None);
    assert_eq!(isolation.observe(ms(23_000), &nobody), Some(Step::Rejoin));
}

#[test]
fn each_recent_departure_doubles_the_time_away_up_to_a_limit() {
    let mut isolation = Isolation::new(TTL);
    let mut now = 100_000;
    let mut times = Vec::new();
    for pause in [2_000, 2_000, 2_000, 2_000, 2_000, 400_000] {
        now += pause;
        let step = observe_twice(&mut isolation, now, &cut_off(now - 1_000));
        assert_eq!(step, Some(Step::Leave));
        now += 1_600;
        let left = now;
        let reached = Observation { peers_silent: false, ..cut_off(now) };
        while isolation.observe(ms(now), &reached).is_none() {
            now += 100;
        }
        times.push(now - left);
    }
    assert_eq!(times, [3_000, 6_000, 12_000, 24_000, 24_000, 3_000]);
}

/// Starts a daemon beside two members that never answer. Returns the number of shards that it holds
/// after `watch`, or 0 once it has left the group.
async fn shards_beside_silent_members(relays: bool, watch: Duration) -> usize {
    let log = log_with_one_pool().await;
    let _daemon = Daemon::start_on("entry-1", &log, Site { relays, ..Site::default() }).await;
    // Nothing listens at these addresses.
    for (port, name) in [(1, "entry-2"), (2, "entry-3")] {
        let member = format!("127.0.0.1:{port}/{name}/1/250/c").into();
        let join = Join { member, ttl: Duration::from_secs(1), generation: 0 };
        log.join(&join).await.expect("the log answers");
    }
    let held = async || {
        let holders = log.holders().await.expect("the log answers");
        holders.iter().filter(|holder| holder.member.contains("entry-1")).count()
    };
    let left = async {
        while held().await > 0 {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    drop(tokio::time::timeout(watch, left).await);
    held().await
}

#[tokio::test]
async fn a_daemon_that_reaches_only_the_store_leaves_the_group() {
    assert_eq!(shards_beside_silent_members(true, PATIENCE).await, 0);
}

#[tokio::test]
async fn without_relays_a_daemon_stays_in_the_group_whoever_answers() {
    assert!(shards_beside_silent_members(false, Duration::from_secs(4)).await > 0);
}
