//! The first map is cut by a count of VMs, not by a call that failed.

use std::sync::Arc;
use std::time::Duration;

use crosspath_border::store::{Partition, Topic};
use crosspath_border::vm::{Error, Fleet};
use crosspath_fakes::memory_store::MemoryStore;
use crosspath_node::census::{Census, Count, Source};

use crate::common::{Crowded, Daemon, SHARDS, log_of_one_pool};

/// For which the map is waited for at most.
const PATIENCE: Duration = Duration::from_secs(20);

/// Slices as the log has them, once it does.
async fn slices(log: &MemoryStore) -> String {
    let map = Partition { topic: Topic::ShardMap, number: 0 };
    loop {
        let records = log.records(map);
        if let Some(record) = records.iter().find(|record| record.key == "slices") {
            return String::from_utf8_lossy(&record.value).into_owned();
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

async fn slices_with(fleet: &Arc<Crowded>) -> String {
    let log = log_of_one_pool().await;
    let start = |name| Daemon::start_with(name, &log, Some(Arc::clone(fleet) as Arc<dyn Fleet>));
    let daemons = futures::future::join_all([start("entry-1"), start("entry-2"), start("entry-3")]);
    let found = tokio::time::timeout(PATIENCE, async {
        let _daemons = daemons.await;
        slices(&log).await
    });
    found.await.expect("a map in time")
}

#[tokio::test]
async fn a_list_that_is_refused_is_asked_for_again() {
    let fleet = Arc::new(Crowded::new(10, 300));
    assert_eq!(slices_with(&fleet).await, (SHARDS - 1).to_string());
}

/// Of three daemons one counts, at pauses that grow; each asking every 150 ms would make 40 calls.
#[tokio::test]
async fn a_list_that_refuses_is_not_pressed() {
    let fleet = Arc::new(Crowded::new(usize::MAX, 0));
    let log = log_of_one_pool().await;
    let start = |name| Daemon::start_with(name, &log, Some(Arc::clone(&fleet) as Arc<dyn Fleet>));
    let daemons = futures::future::join_all([start("entry-1"), start("entry-2"), start("entry-3")]);
    let ready = tokio::time::timeout(Duration::from_secs(2), daemons).await;
    assert!(ready.is_err(), "a daemon serves without a map");
    assert!(fleet.calls() > 0 && fleet.calls() <= 15, "{} calls", fleet.calls());
}

const START: Duration = Duration::from_secs(1);

fn after(ms: u64) -> Duration {
    START + Duration::from_millis(ms)
}

#[test]
fn a_refusal_is_no_number() {
    let mut census = Census::new(START, true);
    census.listed(Err(Error::Refused));
    assert!(census.count(after(1_000), Some(0), 0.0).is_err());
    assert!(census.count(after(60_000), None, 0.0).is_err());
    assert!(census.count(after(60_000), Some(0), 0.0).is_err());
}

#[test]
fn two_sources_that_agree_count_at_once() {
    let mut census = Census::new(START, true);
    census.listed(Ok(1_100));
    let count = census.count(after(10), Some(924), 0.0);
    assert_eq!(count, Ok(Count { vms: 1_100, source: Source::Both }));
}

#[test]
fn a_list_that_misses_workers_waits_and_then_the_larger_number_counts() {
    let mut census = Census::new(START, true);
    census.listed(Ok(40));
    assert!(census.count(after(4_900), Some(48), 0.0).is_err());
    let count = census.count(after(5_000), Some(48), 0.0);
    assert_eq!(count, Ok(Count { vms: 48, source: Source::VmList }));
}

#[test]
fn workers_count_alone_where_the_list_stays_away() {
    let mut census = Census::new(START, true);
    census.listed(Err(Error::NoAnswer));
    assert!(census.count(after(4_900), Some(924), 0.0).is_err());
    let count = census.count(after(5_000), Some(924), 0.0);
    assert_eq!(count, Ok(Count { vms: 924, source: Source::Workers }));
}

#[test]
fn tries_come_further_and_further_apart() {
    let mut census = Census::new(START, true);
    let mut pauses = Vec::new();
    for _ in 0..5 {
        census.listed(Err(Error::Refused));
        let unknown = census.count(after(0), None, 1.0).expect_err("nothing is known");
        pauses.push(unknown.again_in.as_millis());
    }
    assert_eq!(pauses, [200, 400, 800, 800, 800]);
}

/// A deployment whose VMs are not managed served nobody for its first 5 s.
#[test]
fn where_there_is_no_list_of_vms_workers_count_at_once() {
    let census = Census::new(START, false);
    assert!(census.count(after(0), None, 0.0).is_err());
    assert!(census.count(after(0), Some(0), 0.0).is_err());
    let count = census.count(after(0), Some(24), 0.0);
    assert_eq!(count, Ok(Count { vms: 24, source: Source::Workers }));
}
