//! The worker list: two daemons read it and send changes to the owners of pool slices. Guards
//! against updates that leave out workers, and against every daemon reading the list.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crosspath_border::store::Stored;
use crosspath_border::worker::Entry;
use crosspath_job::spec::Resources;
use crosspath_node::directory::{Directory, Update};
use crosspath_node::map::{Map, PoolSlice};
use crosspath_node::workers::{Source, source};

use crate::common::{Daemon, SETTLE_TIME, log_with_one_pool};

fn stored(key: &str, value: &str) -> Stored {
    Stored { offset: 9, key: key.to_owned(), value: value.to_owned().into() }
}

/// Decodes an entry whose value is its pool and capacity, as "POOL CORES".
fn read(record: &Stored) -> Entry {
    let text = String::from_utf8_lossy(&record.value);
    let (pool, cores) = text.split_once(' ').expect("value of the form POOL CORES");
    let cores: u64 = cores.parse().expect("a number of cores");
    Entry {
        id: record.key.as_str().into(),
        pool: pool.into(),
        vm: Arc::from(format!("vm-{}", record.key)),
        data_centre: "a".into(),
        address: "127.0.0.1:9".parse().expect("valid address"),
        draining: false,
        remaining_ms: 0,
        capacity: Resources { cpu_millis: cores * 1_000, mem_mb: 128_000, gpus: 0 },
        labels: Vec::new(),
        clock_ms: 1_000,
        started_ms: 0,
        warm_up_ms: 0,
    }
}

fn apply(directory: &mut Directory, records: &[Stored], whole: bool) {
    drop(directory.apply_records(records, whole, |record| Ok(read(record))));
}

/// Returns a map with one slice for each pool.
fn map() -> Map {
    let mut map = Map::default();
    map.apply(&stored("slices", "1"));
    map
}

fn pool_slices(pools: &[&str]) -> BTreeSet<PoolSlice> {
    pools.iter().map(|pool| PoolSlice { pool: (*pool).into(), slice: 0 }).collect()
}

fn reader() -> Directory {
    let mut directory = Directory::default();
    let records =
        [stored("i-1", "counter 32"), stored("i-2", "counter 32"), stored("i-3", "meter 32")];
    apply(&mut directory, &records, true);
    directory
}

/// Returns the reader's update on the counter pool's workers, after the update `before` if there
/// was one.
fn update_since(directory: &Directory, before: Option<&Update>) -> Update {
    let cursor = before.map(|update| &update.cursor);
    directory
        .update_since(&"reader".into(), &map(), &pool_slices(&["counter"]), cursor)
        .expect("the reader knows all workers")
}

fn ids(update: &Update) -> Vec<&str> {
    update.entries.iter().map(|entry| &*entry.id).collect()
}

#[test]
fn an_owner_receives_all_its_workers_once_and_then_changes() {
    let mut directory = reader();
    let first = update_since(&directory, None);
    assert!(first.whole);
    assert_eq!(ids(&first), ["i-1", "i-2"]);
    // Most records repeat the previous one, so they are no changes.
    apply(&mut directory, &[stored("i-1", "counter 32"), stored("i-3", "meter 16")], false);
    let second = update_since(&directory, Some(&first));
    assert!(!second.whole);
    assert!(second.entries.is_empty() && second.gone.is_empty(), "{second:?}");
    apply(
        &mut directory,
        &[stored("i-1", "counter 16"), stored("i-2", ""), stored("i-4", "counter 32")],
        false,
    );
    let third = update_since(&directory, Some(&second));
    assert_eq!(ids(&third), ["i-1", "i-4"]);
    assert_eq!(third.gone, ["i-2".into()]);
}

#[test]
fn updates_reproduce_the_readers_list() {
    let mut directory = reader();
    let mut own = Directory::default();
    let pool_slice = PoolSlice { pool: "counter".into(), slice: 0 };
    assert!(!own.covers(&pool_slice));
    let first = update_since(&directory, None);
    assert_eq!(own.apply_update(first.clone(), &pool_slices(&["counter"])).len(), 2);
    assert!(own.covers(&pool_slice) && !own.is_whole());
    apply(&mut directory, &[stored("i-2", ""), stored("i-4", "counter 32")], false);
    let second = update_since(&directory, Some(&first));
    assert_eq!(own.apply_update(second.clone(), &pool_slices(&["counter"])).len(), 2);
    // The same update again changes nothing.
    assert_eq!(own.apply_update(second, &pool_slices(&["counter"])).len(), 0);
    let whole = update_since(&directory, None);
    assert_eq!(own.apply_update(whole, &pool_slices(&["counter"])).len(), 0);
}

/// A cursor is unknown if another daemon is the reader now, if the reader has read the list anew,
/// or if it no longer has the changes since the cursor. Changes alone would then leave out some
/// workers.
#[test]
fn an_unknown_cursor_gets_a_full_update() {
    let mut directory = reader();
    let first = update_since(&directory, None);
    let other = directory.update_since(
        &"other".into(),
        &map(),
        &pool_slices(&["counter"]),
        Some(&first.cursor),
    );
    assert!(other.expect("the reader knows all workers").whole);
    for number in 0..5_000 {
        let key = format!("m-{number}");
        apply(&mut directory, &[stored(&key, "meter 32")], false);
        apply(&mut directory, &[stored(&key, "")], false);
    }
    assert!(update_since(&directory, Some(&first)).whole);
    let last = update_since(&directory, None);
    directory.clear();
    assert!(
        directory
            .update_since(&"reader".into(), &map(), &pool_slices(&["counter"]), None)
            .is_none()
    );
    apply(&mut directory, &[stored("i-1", "counter 32")], true);
    assert!(update_since(&directory, Some(&last)).whole);
}

#[test]
fn the_source_depends_on_owned_shards_and_on_the_readers_last_answer() {
    let second = Duration::from_secs(1);
    assert_eq!(source(0, false, second, second), Source::Nobody);
    assert_eq!(source(3, true, second, second), Source::Store);
    assert_eq!(source(3, false, second, second * 2), Source::Reader);
    assert_eq!(source(3, false, second, second * 5), Source::Store);
}

/// The traffic of the store must not grow with the number of daemons, as it would if all four read
/// the list.
#[tokio::test]
async fn only_two_daemons_read_the_list() {
    let log = log_with_one_pool().await;
    let mut daemons = Vec::new();
    for number in 0..4 {
        daemons.push(Daemon::start(&format!("entry-{number}"), &log).await);
    }
    tokio::time::sleep(SETTLE_TIME).await;
    let before: Vec<_> = daemons.iter().map(Daemon::worker_reads).collect();
    tokio::time::sleep(SETTLE_TIME).await;
    let after = daemons.iter().map(Daemon::worker_reads);
    let readers = after.zip(before).filter(|(after, before)| after > before).count();
    assert_eq!(readers, 2);
}
