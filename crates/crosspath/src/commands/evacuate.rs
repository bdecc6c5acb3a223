//! `crosspath evacuate` and `crosspath evacuations`: data centres in which no new work is placed.
//!
//! Both commands use the platform's store instead of a daemon. The store holds the evacuation
//! requests, and a request takes effect once the store has accepted it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crosspath_border::operator::{Change, Evacuation};
use crosspath_border::store::{
    Error as StoreError, Partition, Precondition, Store as _, Stored, Topic,
};
use crosspath_border::worker::Entry;
use crosspath_platform::LogStore;
use serde::Serialize;
use snafu::ResultExt as _;

use crate::error::{Error, ExitStatus, StoreSnafu, UnknownDataCentreSnafu};
use crate::output::{self, Format};
use crate::table;

/// Timeout of each call to the store.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Workers of one pool in an evacuated data centre.
#[derive(Debug, Default, Serialize)]
struct Pool {
    workers: usize,
    /// Number of the workers that will shut down soon.
    leaving: usize,
}

type PoolsByDataCentre = BTreeMap<Arc<str>, BTreeMap<Arc<str>, Pool>>;

/// Requests the evacuation of a data centre, or withdraws that request with `undo`.
pub(crate) async fn run(
    format: Format,
    address: SocketAddr,
    data_centre: &str,
    undo: bool,
) -> Result<ExitStatus, Error> {
    let store = LogStore::new(address, TIMEOUT);
    let workers = worker_entries(&store).await.context(StoreSnafu)?;
    let known: BTreeSet<_> = workers.iter().map(|entry| &*entry.data_centre).collect();
    if !undo && !known.contains(data_centre) {
        let known = Vec::from_iter(known).join(", ");
        return UnknownDataCentreSnafu { data_centre, known }.fail();
    }
    let evacuation = Evacuation { data_centre: data_centre.into(), requested: !undo };
    let record = LogStore::evacuation(&evacuation);
    let appended = store
        .append(single_partition(Topic::Operators), &[record], Precondition::Unconditional)
        .await;
    appended.context(StoreSnafu)?;
    print_evacuated(format, &store, &workers).await
}

/// Shows the evacuated data centres and their workers.
pub(crate) async fn show(format: Format, address: SocketAddr) -> Result<ExitStatus, Error> {
    let store = LogStore::new(address, TIMEOUT);
    let workers = worker_entries(&store).await.context(StoreSnafu)?;
    print_evacuated(format, &store, &workers).await
}

async fn print_evacuated(
    format: Format,
    store: &LogStore,
    workers: &[Entry],
) -> Result<ExitStatus, Error> {
    let records = newest_records(store, Topic::Operators).await.context(StoreSnafu)?;
    let evacuated = records.iter().filter_map(|record| match store.decode_change(record) {
        Ok(Change::Evacuation(evacuation)) if evacuation.requested => Some(evacuation.data_centre),
        _ => None,
    });
    let mut data_centres: PoolsByDataCentre =
        evacuated.map(|name| (name, BTreeMap::new())).collect();
    for entry in workers {
        let Some(pools) = data_centres.get_mut(&entry.data_centre) else { continue };
        let pool = pools.entry(Arc::clone(&entry.pool)).or_default();
        pool.workers += 1;
        pool.leaving += usize::from(entry.draining);
    }
    output::print(format, &data_centres, || text(&data_centres));
    Ok(ExitStatus::Success)
}

fn text(data_centres: &PoolsByDataCentre) -> String {
    if data_centres.is_empty() {
        return "no data centre is evacuated".to_owned();
    }
    let mut rows = Vec::new();
    for (name, pools) in data_centres {
        if pools.is_empty() {
            rows.push(vec![name.to_string(), "-".into(), "0".into(), "0".into()]);
        }
        for (pool, Pool { workers, leaving }) in pools {
            let row =
                [name.to_string(), pool.to_string(), workers.to_string(), leaving.to_string()];
            rows.push(row.into());
        }
    }
    table::render(&["DATA CENTRE", "POOL", "WORKERS", "LEAVING"], &rows)
}

/// Returns the entries of the worker list. Skips entries that cannot be decoded.
async fn worker_entries(store: &LogStore) -> Result<Vec<Entry>, StoreError> {
    let records = newest_records(store, Topic::Workers).await?;
    Ok(records.iter().filter_map(|record| store.decode_worker(record).ok()).collect())
}

/// Returns the newest record of each key of a topic that has a single partition.
async fn newest_records(store: &LogStore, topic: Topic) -> Result<Vec<Stored>, StoreError> {
    let mut records: Vec<Stored> = Vec::new();
    loop {
        let after = records.last().map(|record| record.key.clone());
        let page = store.newest(single_partition(topic), after.as_deref()).await?;
        let more = page.more && !page.records.is_empty();
        records.extend(page.records);
        if !more {
            return Ok(records);
        }
    }
}

fn single_partition(topic: Topic) -> Partition {
    Partition { topic, number: 0 }
}
