//! Guards against a first map whose number of slices comes from a failed list call instead of a
//! count of VMs.

use std::sync::Arc;
use std::time::Duration;

use crosspath_border::store::{Partition, Topic};
use crosspath_border::vm::{Error, Fleet};
use crosspath_fakes::memory_store::MemoryStore;
use crosspath_node::vm_count::{Count, Counter, Source};

use crate::common::{Daemon, FakeFleet, SHARDS, log_with_one_pool};

/// Limit on the time until the map is written.
const MAP_TIMEOUT: Duration = Duration::from_secs(20);

/// Waits for the record of the number of slices and returns its value.
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

async fn slices_written_with(fleet: &Arc<FakeFleet>) -> String {
    let log = log_with_one_pool().await;
    let start = |name| Daemon::start_with(name, &log, Some(Arc::clone(fleet) as Arc<dyn Fleet>));
    let daemons = futures::future::join_all([start("entry-1"), start("entry-2"), start("entry-3")]);
    let written = tokio::time::timeout(MAP_TIMEOUT, async {
        let _daemons = daemons.await;
        slices(&log).await
    });
    written.await.expect("the map is written in time")
}

#[tokio::test]
async fn a_refused_vm_list_is_retried() {
    let fleet = Arc::new(FakeFleet::new(10, 300));
    assert_eq!(slices_written_with(&fleet).await, (SHARDS - 1).to_string());
}

/// One of three daemons counts, with growing pauses. Calls by each daemon every 150 ms would amount
/// to 40.
#[tokio::test]
async fn only_one_daemon_polls_a_refusing_vm_list_with_backoff() {
    let fleet = Arc::new(FakeFleet::new(usize::MAX, 0));
    let log = log_with_one_pool().await;
    let start = |name| Daemon::start_with(name, &log, Some(Arc::clone(&fleet) as Arc<dyn Fleet>));
    let daemons = futures::future::join_all([start("entry-1"), start("entry-2"), start("entry-3")]);
    let ready = tokio::time::timeout(Duration::from_secs(2), daemons).await;
    assert!(ready.is_err(), "a daemon must not serve without a map");
    assert!(fleet.calls() > 0 && fleet.calls() <= 15, "{} calls", fleet.calls());
}

const START: Duration = Duration::from_secs(1);

fn after(ms: u64) -> Duration {
    START + Duration::from_millis(ms)
}

#[test]
fn a_refused_list_does_not_count_as_zero() {
    let mut counter = Counter::new(START, true);
    counter.record_listing(Err(Error::Refused));
    assert!(counter.count(after(1_000), Some(0), 0.0).is_err());
    assert!(counter.count(after(60_000), None, 0.0).is_err());
    assert!(counter.count(after(60_000), Some(0), 0.0).is_err());
}

#[test]
fn agreeing_sources_are_accepted_at_once() {
    let mut counter = Counter::new(START, true);
    counter.record_listing(Ok(1_100));
    let count = counter.count(after(10), Some(924), 0.0);
    assert_eq!(count, Ok(Count { vms: 1_100, source: Source::Both }));
}

#[test]
fn after_the_wait_the_larger_of_two_disagreeing_counts_is_used() {
    let mut counter = Counter::new(START, true);
    counter.record_listing(Ok(40));
    assert!(counter.count(after(4_900), Some(48), 0.0).is_err());
    let count = counter.count(after(5_000), Some(48), 0.0);
    assert_eq!(count, Ok(Count { vms: 48, source: Source::VmList }));
}

#[test]
fn workers_alone_are_counted_when_the_vm_list_is_unavailable() {
    let mut counter = Counter::new(START, true);
    counter.record_listing(Err(Error::NoAnswer));
    assert!(counter.count(after(4_900), Some(924), 0.0).is_err());
    let count = counter.count(after(5_000), Some(924), 0.0);
    assert_eq!(count, Ok(Count { vms: 924, source: Source::Workers }));
}

#[test]
fn backoff_doubles_up_to_its_limit() {
    let mut counter = Counter::new(START, true);
    let mut pauses = Vec::new();
    for _ in 0..5 {
        counter.record_listing(Err(Error::Refused));
        let unknown = counter.count(after(0), None, 1.0).expect_err("nothing is known");
        pauses.push(unknown.retry_after.as_millis());
    }
    assert_eq!(pauses, [200, 400, 800, 800, 800]);
}

/// A deployment whose VMs are not managed has no VM list. Waiting for one would keep the daemons
/// from serving for their first 5 s.
#[test]
fn workers_are_counted_at_once_when_there_is_no_vm_list() {
    let counter = Counter::new(START, false);
    assert!(counter.count(after(0), None, 0.0).is_err());
    assert!(counter.count(after(0), Some(0), 0.0).is_err());
    let count = counter.count(after(0), Some(24), 0.0);
    assert_eq!(count, Ok(Count { vms: 24, source: Source::Workers }));
}
