//! Jobs of a queue that a configuration has assigned to another pool. Guards against daemons that
//! know only the newest configuration: they would deny that the job exists, accept its identifier
//! again, and cancel it where it is not.

use std::sync::Arc;
use std::time::Duration;

use crosspath_border::ingress::{Cancelled, Lookup, Submitted};
use crosspath_border::store::{NewRecord, Partition, Stored, Topic};
use crosspath_fakes::memory_store::MemoryStore;
use crosspath_job::progress::State;
use crosspath_node::assignment::Assignment;
use crosspath_node::map::Map;

use crate::common::{Daemon, SETTLE_TIME, SHARDS, append, log_with_one_pool, write_config};

/// Interval between checks of a condition, and number of checks before the test fails.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
const MAX_CHECKS: usize = 500;

/// Time within which a configuration must take effect, including the delay of a slow test machine.
const CONFIG_PROPAGATION: Duration = Duration::from_millis(3_000);

/// Creates a log whose configuration has two pools, of which the queue uses one.
async fn log_with_two_pools() -> Arc<MemoryStore> {
    let log = Arc::new(MemoryStore::new(SHARDS));
    write_config(&log, "1 >counter,batch").await;
    log
}

/// Waits until the daemon has applied a configuration that assigns the queue to the pool.
async fn wait_for_pool(daemon: &Daemon, pool: &str) {
    for _ in 0..MAX_CHECKS {
        if *daemon.pool() == *pool {
            return;
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    panic!("the configuration is not in effect");
}

/// Submits a job until it is accepted: the pool may have no shards yet.
async fn submit_until_accepted(daemon: &Daemon, job: u64) {
    for _ in 0..MAX_CHECKS {
        if daemon.submit_now(job).await == Submitted::Accepted {
            return;
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    panic!("the job is not accepted");
}

/// Map as the store's records have it.
fn stored_map(log: &MemoryStore) -> Map {
    let mut map = Map::default();
    for record in log.records(Partition { topic: Topic::ShardMap, number: 0 }) {
        map.apply(&record);
    }
    map
}

fn is_recorded(log: &MemoryStore, pool: &str) -> bool {
    let assignment = Assignment { queue: "payments".into(), pool: pool.into() };
    stored_map(log).assignments().contains(&assignment)
}

/// Shards whose log has a record of the job with this number.
fn shards_with_records(log: &MemoryStore, job: u64) -> Vec<u32> {
    let job = format!("{job:016x}");
    let names_job = |record: &Stored| record.key.contains(&job);
    let has_record = |shard: &u32| {
        let records = log.records(Partition { topic: Topic::Shards, number: *shard });
        records.iter().any(names_job)
    };
    (0..SHARDS).filter(has_record).collect()
}

#[tokio::test]
async fn a_daemon_that_starts_later_knows_the_jobs_of_the_queues_earlier_pool() {
    let log = log_with_one_pool().await;
    let first = Daemon::start("entry-1", &log).await;
    tokio::time::sleep(SETTLE_TIME).await;
    assert_eq!(first.submit_now(1).await, Submitted::Accepted);
    write_config(&log, "2 >batch,counter").await;
    wait_for_pool(&first, "batch").await;
    let later = Daemon::start("entry-2", &log).await;
    tokio::time::sleep(SETTLE_TIME).await;
    assert_eq!(later.state_now(1).await, Lookup::State(State::Queued));
    assert_eq!(later.submit_now(1).await, Submitted::Accepted);
    assert_eq!(later.queued_jobs().await, Some(1), "the identifier remains one job");
    assert_eq!(later.cancel_now(1).await, Cancelled::Done);
    tokio::time::sleep(SETTLE_TIME).await;
    for daemon in [&first, &later] {
        assert_eq!(daemon.state_now(1).await, Lookup::State(State::Cancelled));
    }
    assert_eq!(shards_with_records(&log, 1).len(), 1, "the job is in one shard");
}

/// Shards whose log still has the job with this number.
fn shards_with_job(log: &MemoryStore, job: u64) -> Vec<u32> {
    let key = format!("job/{job:016x}");
    let has_job = |shard: &u32| {
        let records = log.records(Partition { topic: Topic::Shards, number: *shard });
        records.iter().rfind(|record| record.key == key).is_some_and(|job| !job.value.is_empty())
    };
    (0..SHARDS).filter(has_job).collect()
}

/// Waits until the log has the job in this many shards.
async fn wait_for_shards(log: &MemoryStore, job: u64, count: usize) {
    for _ in 0..MAX_CHECKS {
        if shards_with_job(log, job).len() == count {
            return;
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    panic!("job {job} is in the shards {:?}", shards_with_job(log, job));
}

/// Two daemons, of which the second one has not applied the configuration that assigns the queue to
/// another pool: the store refuses its calls. Its peers can append for it.
async fn daemons_with_different_configurations(log: &Arc<MemoryStore>) -> (Daemon, Daemon) {
    let newer = Daemon::start("entry-1", log).await;
    let older = Daemon::start_small("entry-2", log).await;
    tokio::time::sleep(SETTLE_TIME).await;
    older.set_log_down(true);
    write_config(log, "2 >batch,counter").await;
    wait_for_pool(&newer, "batch").await;
    assert_eq!(older.pool(), "counter".into());
    (newer, older)
}

/// The job would run twice: once in each pool.
#[tokio::test]
async fn a_job_that_arrives_again_at_a_daemon_with_an_older_configuration_remains_one() {
    let log = log_with_two_pools().await;
    let (newer, older) = daemons_with_different_configurations(&log).await;
    submit_until_accepted(&newer, 1).await;
    let answer = older.submit_now(1).await;
    assert!(!matches!(answer, Submitted::Unknown | Submitted::Taken), "{answer:?}");
    wait_for_shards(&log, 1, 1).await;
    assert_eq!(newer.queued_jobs().await, Some(1));
    assert_eq!(newer.state_now(1).await, Lookup::State(State::Queued));
}

#[tokio::test]
async fn a_new_job_of_a_daemon_with_an_older_configuration_runs_in_one_pool_once() {
    let log = log_with_two_pools().await;
    let (newer, older) = daemons_with_different_configurations(&log).await;
    submit_until_accepted(&newer, 1).await;
    let in_batch = shards_with_job(&log, 1);
    assert_eq!(older.submit_now(2).await, Submitted::Accepted);
    assert_eq!(newer.submit_now(2).await, Submitted::Accepted);
    wait_for_shards(&log, 2, 1).await;
    assert_eq!(newer.state_now(2).await, Lookup::State(State::Queued));
    assert_eq!(newer.queued_jobs().await, Some(2));
    assert_eq!(in_batch.len(), 1);
}

/// The job's relocation ends where it began, and must not delete the job.
#[tokio::test]
async fn a_job_of_an_older_configuration_stays_if_its_queue_is_back() {
    let log = log_with_two_pools().await;
    let (newer, older) = daemons_with_different_configurations(&log).await;
    // The owner of the earlier pool learns of the reassignment.
    submit_until_accepted(&newer, 1).await;
    write_config(&log, "3 >counter,batch").await;
    wait_for_pool(&newer, "counter").await;
    assert_eq!(older.submit_now(2).await, Submitted::Accepted);
    tokio::time::sleep(SETTLE_TIME).await;
    assert_eq!(newer.state_now(2).await, Lookup::State(State::Queued));
    assert_eq!(shards_with_job(&log, 2).len(), 1);
}

/// The queue has moved away and back. The first daemon has not heard of the latter, and the second one
/// has read only the last configuration, before the first one records the pool in between.
#[tokio::test]
async fn no_job_is_stored_by_a_configuration_that_was_replaced_before_its_pool_was_recorded() {
    let log = log_with_two_pools().await;
    let older = Daemon::start("entry-1", &log).await;
    tokio::time::sleep(SETTLE_TIME).await;
    write_config(&log, "2 >batch,counter").await;
    wait_for_pool(&older, "batch").await;
    older.silence_operator_log(true);
    tokio::time::sleep(CHECK_INTERVAL * 5).await;
    write_config(&log, "3 >counter,batch").await;
    let newer = Daemon::start_small("entry-2", &log).await;
    assert_eq!((older.pool(), newer.pool()), ("batch".into(), "counter".into()));
    for _ in 0..2 {
        older.submit_now(1).await;
    }
    assert_eq!(newer.submit_now(1).await, Submitted::Accepted);
    assert_eq!(shards_with_job(&log, 1).len(), 1);
}

/// The owner of the earlier pool has read in its shard that the queue was reassigned, and not yet the
/// configuration that says to which pool.
#[tokio::test]
async fn an_owner_with_an_older_configuration_runs_no_job_that_belongs_elsewhere() {
    // Each of the two owns the shard of one pool.
    for is_first_older in [true, false] {
        let log = log_with_two_pools().await;
        let first = Daemon::start("entry-1", &log).await;
        let second = Daemon::start("entry-2", &log).await;
        tokio::time::sleep(SETTLE_TIME).await;
        let (older, newer) = if is_first_older { (&first, &second) } else { (&second, &first) };
        older.silence_operator_log(true);
        tokio::time::sleep(CHECK_INTERVAL * 5).await;
        write_config(&log, "2 >batch,counter").await;
        wait_for_pool(newer, "batch").await;
        submit_until_accepted(newer, 1).await;
        let batch = shards_with_job(&log, 1);
        assert_eq!(older.pool(), "counter".into());
        assert_eq!(older.submit_now(2).await, Submitted::Accepted);
        for _ in 0..MAX_CHECKS {
            if shards_with_job(&log, 2) == batch {
                break;
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
        assert_eq!(shards_with_job(&log, 2), batch);
    }
}

/// Both owners relocate the job, and each finds it with the other one.
#[tokio::test]
async fn a_job_that_is_misplaced_in_two_pools_is_not_deleted_from_both() {
    let log = log_with_two_pools().await;
    let (newer, older) = daemons_with_different_configurations(&log).await;
    // Both shards learn that the queue was reassigned: away, and back.
    submit_until_accepted(&newer, 1).await;
    let batch = shards_with_job(&log, 1)[0];
    write_config(&log, "3 >counter,batch").await;
    wait_for_pool(&newer, "counter").await;
    submit_until_accepted(&newer, 2).await;
    let counter = shards_with_job(&log, 2)[0];
    assert_ne!(batch, counter);
    // The acceptance by the second configuration arrives late, after the one by the first.
    let records = log.records(Partition { topic: Topic::Shards, number: batch });
    let accepted = records.iter().find(|record| record.key == "job/0000000000000001");
    let accepted = accepted.expect("the job in the second pool").value.clone();
    write_config(&log, "4 >batch,counter").await;
    wait_for_pool(&newer, "batch").await;
    write_config(&log, "5 >counter,batch").await;
    wait_for_pool(&newer, "counter").await;
    // Nothing can be relocated until the configuration is confirmed.
    newer.silence_operator_log(true);
    assert_eq!(older.submit_now(3).await, Submitted::Accepted);
    let late = NewRecord { key: "job/0000000000000003".into(), value: accepted };
    append(&log, Partition { topic: Topic::Shards, number: batch }, &[late]).await;
    tokio::time::sleep(SETTLE_TIME).await;
    newer.silence_operator_log(false);
    tokio::time::sleep(CONFIG_PROPAGATION).await;
    assert_eq!(newer.state_now(3).await, Lookup::State(State::Queued));
    assert_eq!(shards_with_job(&log, 3), [counter]);
}

/// A cancellation that goes to the earlier pool only would be acknowledged without effect, and a
/// state found there only would be that there is no such job.
#[tokio::test]
async fn a_daemon_with_an_older_configuration_cancels_and_does_not_deny_a_job_of_the_new_pool() {
    let log = log_with_two_pools().await;
    let (newer, older) = daemons_with_different_configurations(&log).await;
    submit_until_accepted(&newer, 1).await;
    let state = older.state_now(1).await;
    assert!(matches!(state, Lookup::Unavailable { .. }), "{state:?}");
    assert_eq!(older.cancel_now(1).await, Cancelled::Done);
    for _ in 0..MAX_CHECKS {
        if newer.state_now(1).await == Lookup::State(State::Cancelled) {
            return;
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    panic!("the job is not cancelled");
}

/// A daemon that cannot read the log gets the newest configuration from a peer, without the ones
/// before it.
#[tokio::test]
async fn a_daemon_that_missed_a_configuration_knows_the_jobs_accepted_under_it() {
    let log = log_with_two_pools().await;
    let owner = Daemon::start("entry-1", &log).await;
    let refused = Daemon::start_small("entry-2", &log).await;
    tokio::time::sleep(SETTLE_TIME).await;
    refused.set_log_down(true);
    write_config(&log, "2 >batch,counter").await;
    wait_for_pool(&owner, "batch").await;
    assert_eq!(owner.submit_now(1).await, Submitted::Accepted);
    write_config(&log, "3 >counter,batch").await;
    tokio::time::sleep(CONFIG_PROPAGATION).await;
    assert_eq!(refused.pool(), "counter".into());
    assert_eq!(refused.state_now(1).await, Lookup::State(State::Queued));
}

/// A daemon whose log was truncated reads the newest configuration, without the ones before it.
#[tokio::test]
async fn a_daemon_whose_log_was_truncated_knows_the_jobs_accepted_meanwhile() {
    let log = log_with_two_pools().await;
    let owner = Daemon::start("entry-1", &log).await;
    let truncated = Daemon::start_small("entry-2", &log).await;
    tokio::time::sleep(SETTLE_TIME).await;
    truncated.set_log_down(true);
    write_config(&log, "2 >batch,counter").await;
    wait_for_pool(&owner, "batch").await;
    assert_eq!(owner.submit_now(1).await, Submitted::Accepted);
    write_config(&log, "3 >counter,batch").await;
    truncated.truncate_operator_log();
    truncated.set_log_down(false);
    tokio::time::sleep(CONFIG_PROPAGATION).await;
    assert_eq!(truncated.pool(), "counter".into());
    assert_eq!(truncated.state_now(1).await, Lookup::State(State::Queued));
}

/// The store has too few shards for one more pool, and the queue used that pool for a short time.
#[tokio::test]
async fn an_earlier_pool_that_never_had_shards_delays_no_job() {
    let log = log_with_two_pools().await;
    let daemon = Daemon::start("entry-1", &log).await;
    tokio::time::sleep(SETTLE_TIME).await;
    write_config(&log, "2 >last,counter,batch,further").await;
    wait_for_pool(&daemon, "last").await;
    write_config(&log, "3 >counter,batch").await;
    wait_for_pool(&daemon, "counter").await;
    assert!(!stored_map(&log).is_complete_for(&"last".into()));
    tokio::time::sleep(CONFIG_PROPAGATION).await;
    assert_eq!(daemon.submit_now(1).await, Submitted::Accepted);
    assert_eq!(daemon.state_now(2).await, Lookup::None);
}

#[tokio::test]
async fn a_cancellation_of_a_job_that_is_not_found_goes_to_all_pools_of_its_queue() {
    let log = log_with_one_pool().await;
    let daemon = Daemon::start("entry-1", &log).await;
    tokio::time::sleep(SETTLE_TIME).await;
    write_config(&log, "2 >batch").await;
    wait_for_pool(&daemon, "batch").await;
    submit_until_accepted(&daemon, 1).await;
    assert_eq!(daemon.cancel_now(2).await, Cancelled::Done);
    assert_eq!(shards_with_records(&log, 2).len(), 2);
}

/// An assignment is stored before a job of it, since the daemon that accepts the job may be gone
/// before another one asks.
#[tokio::test]
async fn no_job_is_accepted_before_its_queues_pool_is_recorded() {
    let log = log_with_two_pools().await;
    let owner = Daemon::start("entry-1", &log).await;
    let refused = Daemon::start_small("entry-2", &log).await;
    tokio::time::sleep(SETTLE_TIME).await;
    assert!(is_recorded(&log, "counter"), "recorded with the map");
    refused.set_log_down(true);
    write_config(&log, "2 >batch,counter").await;
    wait_for_pool(&refused, "batch").await;
    wait_for_pool(&owner, "batch").await;
    assert!(!is_recorded(&log, "batch"));
    let answer = refused.submit_now(1).await;
    assert!(matches!(answer, Submitted::NotTaken { .. }), "{answer:?}");
    assert_eq!(owner.submit_now(2).await, Submitted::Accepted);
    assert!(is_recorded(&log, "batch"));
    // The peer that sends the configuration also tells what is recorded.
    tokio::time::sleep(CONFIG_PROPAGATION).await;
    assert_eq!(refused.submit_now(1).await, Submitted::Accepted);
}

/// The map of an earlier version has no assignments.
#[tokio::test]
async fn a_map_without_assignments_gets_them_with_the_first_jobs() {
    let log = Arc::new(MemoryStore::new(SHARDS));
    let partition = Partition { topic: Topic::ShardMap, number: 0 };
    let mut records = Map::default().missing_records(&["counter".into()].into(), 30, 250, 3);
    records.retain(|record| !record.key.starts_with("queue/"));
    crate::common::append(&log, partition, &records).await;
    write_config(&log, "1").await;
    let daemon = Daemon::start("entry-1", &log).await;
    tokio::time::sleep(SETTLE_TIME).await;
    assert!(!is_recorded(&log, "counter"));
    assert_eq!(daemon.submit_now(1).await, Submitted::Accepted);
    assert!(is_recorded(&log, "counter"));
}

#[test]
fn assignments_of_names_with_separators_are_told_apart() {
    let mut map = Map::default();
    let pairs = [("a/b", "c"), ("a", "b/c"), ("a", "\"c\""), ("", "a,b"), ("queue/", "ö")];
    for (queue, pool) in pairs {
        let assignment = Assignment { queue: queue.into(), pool: pool.into() };
        let record = assignment.record("queue/");
        map.apply(&Stored { offset: 0, key: record.key, value: record.value });
    }
    for (queue, pool) in pairs {
        let assignment = Assignment { queue: queue.into(), pool: pool.into() };
        assert!(map.assignments().contains(&assignment), "{assignment:?}");
    }
    assert_eq!(map.assignments().pools("a").count(), 2);
    // Skipped with a log line.
    map.apply(&Stored { offset: 0, key: "queue/[\"a\"".into(), value: "1".into() });
    assert_eq!(map.assignments().pools("a").count(), 2);
}
