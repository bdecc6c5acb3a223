//! `crosspath evacuate` and `crosspath evacuations`: data centres in which no new work is placed.
//!
//! Both commands use the platform's store instead of a daemon. The store holds the evacuation
//! requests, and a request takes effect once the store has accepted it. The owner of the fleet
//! stores there what remains in each evacuated data centre.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crosspath_border::evacuation::Progress;
use crosspath_border::operator::{Change, Evacuation};
use crosspath_border::store::{
    Error as StoreError, Partition, Precondition, Store as _, Stored, Topic,
};
use crosspath_border::worker::Entry;
use crosspath_platform::LogStore;
use serde::Serialize;
use snafu::ResultExt as _;

use crate::error::{
    Error, ExitStatus, LastDataCentreSnafu, NotEmptySnafu, StoreSnafu, UnknownDataCentreSnafu,
    WithdrawnSnafu,
};
use crate::output::{self, Format};
use crate::table;

/// Timeout of each call to the store.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Time between two looks at the progress, which is stored at most once a second.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Evacuation that the operator asks for.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Request<'a> {
    pub(crate) data_centre: &'a str,
    /// Withdraws the request instead.
    pub(crate) undo: bool,
    /// Whether the last data centre may be evacuated.
    pub(crate) force: bool,
    /// Time to wait until the data centre is empty; `None` does not wait.
    pub(crate) timeout: Option<Duration>,
}

/// Workers and tasks of one pool in an evacuated data centre.
#[derive(Debug, Default, Serialize)]
struct Pool {
    workers: usize,
    /// Number of the workers that will shut down soon.
    leaving: usize,
    /// What remains; absent if that was not told for the present evacuation.
    #[serde(flatten)]
    remaining: Option<Remaining>,
}

/// Tasks of one pool that remain.
#[derive(Debug, Clone, Copy, Serialize)]
struct Remaining {
    finite_tasks: u32,
    long_running_tasks: u32,
    /// Time until the last finite task ends by the callers' estimates, in ms.
    finite_ms: u64,
    /// Whether the whole data centre is known to be empty.
    empty: bool,
    /// Age of the observation, in ms.
    age_ms: u64,
}

/// Evacuated data centre.
#[derive(Debug, Default)]
struct State {
    /// Position of the request in the operators' log.
    requested_at: u64,
    pools: BTreeMap<Arc<str>, Pool>,
    /// What remains; `None` if that was not told since the request.
    progress: Option<Progress>,
}

type States = BTreeMap<Arc<str>, State>;

/// Requests the evacuation of a data centre, or withdraws that request.
pub(crate) async fn run(
    format: Format,
    address: SocketAddr,
    request: Request<'_>,
) -> Result<ExitStatus, Error> {
    let store = LogStore::new(address, TIMEOUT);
    let Request { data_centre, undo, force, timeout } = request;
    if !undo {
        let workers = worker_entries(&store).await.context(StoreSnafu { address })?;
        let states = states(&store, &workers).await.context(StoreSnafu { address })?;
        check(data_centre, force, &workers, &states)?;
    }
    let evacuation = Evacuation { data_centre: data_centre.into(), requested: !undo };
    let record = LogStore::evacuation(&evacuation);
    let appended = store
        .append(single_partition(Topic::Operators), &[record], Precondition::Unconditional)
        .await;
    appended.context(StoreSnafu { address })?;
    if let Some(timeout) = timeout.filter(|_| !undo) {
        wait_until_empty(&store, address, data_centre, timeout).await?;
    }
    show(format, address).await
}

/// Shows the evacuated data centres, their workers and the tasks that remain.
pub(crate) async fn show(format: Format, address: SocketAddr) -> Result<ExitStatus, Error> {
    let store = LogStore::new(address, TIMEOUT);
    let workers = worker_entries(&store).await.context(StoreSnafu { address })?;
    let states = states(&store, &workers).await.context(StoreSnafu { address })?;
    let pools: BTreeMap<_, _> = states.iter().map(|(name, state)| (name, &state.pools)).collect();
    output::print(format, &pools, || text(&states));
    Ok(ExitStatus::Success)
}

/// Refuses data centres without workers, and the last one with workers that is not evacuated:
/// nothing could start anywhere.
fn check(
    data_centre: &str,
    force: bool,
    workers: &[Entry],
    evacuated: &States,
) -> Result<(), Error> {
    let known: BTreeSet<_> = workers.iter().map(|entry| &*entry.data_centre).collect();
    if !known.contains(data_centre) {
        let known = Vec::from_iter(known).join(", ");
        return UnknownDataCentreSnafu { data_centre, known }.fail();
    }
    let is_left = |name: &&str| *name != data_centre && !evacuated.contains_key(*name);
    if !force && !evacuated.contains_key(data_centre) && !known.iter().any(is_left) {
        return LastDataCentreSnafu { data_centre }.fail();
    }
    Ok(())
}

async fn wait_until_empty(
    store: &LogStore,
    address: SocketAddr,
    data_centre: &str,
    timeout: Duration,
) -> Result<(), Error> {
    let started_at = Instant::now();
    loop {
        let mut states = states(store, &[]).await.context(StoreSnafu { address })?;
        let Some(state) = states.remove(data_centre) else {
            return WithdrawnSnafu { data_centre }.fail();
        };
        if state.progress.as_ref().is_some_and(Progress::is_empty) {
            return Ok(());
        }
        if started_at.elapsed() >= timeout {
            let age = state
                .progress
                .as_ref()
                .map_or_else(String::new, |progress| format!(", seen {} ago", age(progress)));
            let state = format!("{}{age}", summary(state.progress.as_ref()));
            let seconds = timeout.as_secs();
            return NotEmptySnafu { data_centre, seconds, state }.fail();
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Evacuated data centres, with those of the `workers` that are there, and what remains.
async fn states(store: &LogStore, workers: &[Entry]) -> Result<States, StoreError> {
    let records = newest_records(store, Topic::Operators).await?;
    let mut states = States::new();
    for record in &records {
        match store.decode_change(record) {
            Ok(Change::Evacuation(evacuation)) if evacuation.requested => {
                let state = State { requested_at: record.offset, ..State::default() };
                states.insert(evacuation.data_centre, state);
            }
            _ => {}
        }
    }
    if states.is_empty() {
        return Ok(states);
    }
    for entry in workers {
        let Some(state) = states.get_mut(&entry.data_centre) else { continue };
        let pool = state.pools.entry(Arc::clone(&entry.pool)).or_default();
        pool.workers += 1;
        pool.leaving += usize::from(entry.draining);
    }
    for record in newest_records(store, Topic::Evacuations).await? {
        let Some(state) = states.get_mut(record.key.as_str()) else { continue };
        // A record that cannot be decoded is of a later version, and tells nothing.
        let progress = serde_json::from_slice::<Progress>(&record.value).ok();
        state.add_progress(progress.filter(|progress| progress.read_to > state.requested_at));
    }
    Ok(states)
}

impl State {
    fn add_progress(&mut self, progress: Option<Progress>) {
        let Some(progress) = progress else { return };
        let empty = progress.is_empty();
        let age_ms = age_ms(&progress);
        for name in progress.pools.keys() {
            self.pools.entry(Arc::clone(name)).or_default();
        }
        for (name, pool) in &mut self.pools {
            let tasks = progress.pools.get(name).copied().unwrap_or_default();
            pool.remaining = Some(Remaining {
                finite_tasks: tasks.finite,
                long_running_tasks: tasks.long_running,
                finite_ms: tasks.finite_ms,
                empty,
                age_ms,
            });
        }
        self.progress = Some(progress);
    }
}

/// Age of an observation; 0 if this machine's clock is behind.
fn age_ms(progress: &Progress) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX).saturating_sub(progress.at_ms)
}

/// Age of an observation in words.
fn age(progress: &Progress) -> String {
    format!("{:.1} s", age_ms(progress) as f64 / 1_000.0)
}

/// State of a data centre in a few words.
fn summary(progress: Option<&Progress>) -> String {
    let Some(progress) = progress else { return "not told yet".to_owned() };
    let tasks: u32 = progress.pools.values().map(|pool| pool.finite + pool.long_running).sum();
    if progress.is_empty() {
        "empty".to_owned()
    } else if tasks > 0 {
        format!("{tasks} tasks remain")
    } else if progress.unknown_vms > 0 {
        format!("tasks of {} VMs unknown", progress.unknown_vms)
    } else {
        "not in force everywhere".to_owned()
    }
}

fn text(states: &States) -> String {
    if states.is_empty() {
        return "no data centre is evacuated".to_owned();
    }
    let mut rows = Vec::new();
    for (name, State { pools, progress, .. }) in states {
        let state = summary(progress.as_ref());
        let age = progress.as_ref().map_or_else(|| "-".to_owned(), age);
        if pools.is_empty() {
            let row = [name, "-", "0", "0", "-", "-", "-", &age, &state];
            rows.push(row.map(str::to_owned).into());
        }
        for (pool, Pool { workers, leaving, remaining }) in pools {
            let told = |value: fn(&Remaining) -> String| {
                remaining.as_ref().map_or_else(|| "-".to_owned(), value)
            };
            rows.push(vec![
                name.to_string(),
                pool.to_string(),
                workers.to_string(),
                leaving.to_string(),
                told(|remaining| remaining.finite_tasks.to_string()),
                told(|remaining| remaining.long_running_tasks.to_string()),
                told(|remaining| format!("{:.1} s", remaining.finite_ms as f64 / 1_000.0)),
                age.clone(),
                state.clone(),
            ]);
        }
    }
    let columns =
        ["DATA CENTRE", "POOL", "WORKERS", "LEAVING", "FINITE", "LONG", "END IN", "AGE", "STATE"];
    table::render(&columns, &rows)
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
