//! Follows partitions of the log that others write, and applies the operators' records:
//! configurations, maintenance waves and evacuations.

use std::sync::Arc;
use std::time::Duration;

use crosspath_border::operator::{Change, Config, Evacuation, Wave};
use crosspath_border::store::{Error, Partition, Stored, Topic};

use crate::backoff::{self, Backoff};
use crate::clock;
use crate::config_sync;
use crate::node::{Node, only_partition};
use crate::pages::Pages;
use crate::routing::Sequence;

/// Time for which the store holds a read until records arrive. Short, so that a connection that
/// fails silently is noticed soon.
pub(crate) const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Reader of one partition: returns the newest record of each key first, then every record as it is
/// appended.
#[derive(Debug)]
pub(crate) struct Feed {
    partition: Partition,
    /// Offset of the next read; `None` until the newest records have been read.
    next_offset: Option<u64>,
    /// Pages of the newest records that have been read so far.
    pages: Pages,
}

impl Feed {
    pub(crate) fn new(partition: Partition) -> Self {
        Self { partition, next_offset: None, pages: Pages::default() }
    }

    /// Starts at an offset, for a reader that knows all earlier records.
    pub(crate) fn starting_at(partition: Partition, next_offset: u64) -> Self {
        Self { partition, next_offset: Some(next_offset), pages: Pages::default() }
    }

    /// Whether the newest records have been read completely, so that only later ones follow.
    pub(crate) fn has_snapshot(&self) -> bool {
        self.next_offset.is_some()
    }

    /// Reads the next records; the store waits up to `wait` for some. Returns none if the records
    /// at the offset are no longer retained; the next call then starts over with the newest
    /// records.
    pub(crate) async fn read(&mut self, node: &Node, wait: Duration) -> Result<Vec<Stored>, Error> {
        let Some(next_offset) = self.next_offset else {
            let (records, end) = newest(node, self.partition, &mut self.pages).await?;
            self.next_offset = Some(end);
            return Ok(records);
        };
        match node.store.read(self.partition, next_offset, wait).await {
            Ok(page) => {
                node.record_store_answer(clock::now());
                self.next_offset = Some(next_offset + page.records.len() as u64);
                Ok(page.records)
            }
            Err(Error::Truncated { first }) => {
                log::info!("event=records_gone partition={} first={first}", self.partition);
                self.next_offset = None;
                Ok(Vec::new())
            }
            Err(error) => Err(error),
        }
    }
}

/// Reads the newest record of each key, and the offset from which to follow. Continues after the
/// pages that an earlier, failed call has read.
pub(crate) async fn newest(
    node: &Node,
    partition: Partition,
    pages: &mut Pages,
) -> Result<(Vec<Stored>, u64), Error> {
    loop {
        let after = pages.after();
        let page = node.store.newest(partition, after.as_deref()).await?;
        node.record_store_answer(clock::now());
        if let Some(complete) = pages.add(page) {
            return Ok(complete);
        }
    }
}

/// Follows the operators' log and applies its records.
pub(crate) async fn follow_operator_log(node: Arc<Node>) {
    let mut feed = Feed::new(only_partition(Topic::Operators));
    let mut backoff = Backoff::new(backoff::CONFIG_READS);
    loop {
        let is_snapshot = !feed.has_snapshot();
        // Stale data must be confirmed at once, not when the next record is appended.
        let is_stale = config_sync::may_be_stale(node.operator_log_read_at(), clock::now());
        let wait = if is_stale { Duration::ZERO } else { LONG_POLL_TIMEOUT };
        match feed.read(&node, wait).await {
            Ok(records) => {
                backoff.reset();
                let sequence = if is_snapshot { Sequence::Later } else { Sequence::Next };
                let evacuations = apply_operator_records(&node, &records, sequence);
                if let Some(read_to) = feed.next_offset {
                    apply_evacuations(&node, &evacuations, is_snapshot.then_some(read_to));
                    node.set_operator_log_read(clock::now(), read_to);
                }
            }
            Err(error) => {
                let delay = backoff.pause(rand::random());
                log::info!(
                    "event=operators_unread error=\"{error}\" again_ms={}",
                    delay.as_millis()
                );
                tokio::time::sleep(delay).await;
            }
        }
    }
}

/// Applies configurations and waves. Returns the evacuation records with their offsets.
fn apply_operator_records(
    node: &Node,
    records: &[Stored],
    sequence: Sequence,
) -> Vec<(u64, Evacuation)> {
    let mut evacuations = Vec::new();
    for record in records {
        match node.store.decode_change(record) {
            Ok(Change::Config(config)) => apply_config(node, config, sequence),
            Ok(Change::Wave(wave)) => apply_wave(node, wave),
            Ok(Change::Evacuation(evacuation)) => evacuations.push((record.offset, evacuation)),
            Ok(Change::Other) => {}
            Err(error) => log::warn!("event=operator_record_unreadable error=\"{error}\""),
        }
    }
    evacuations
}

fn apply_wave(node: &Node, wave: Wave) {
    log::info!(
        "event=wave wave={} vms={} deadline_ms={} maximum={}",
        wave.number,
        wave.vms.len(),
        wave.deadline_ms,
        wave.max_concurrent
    );
    node.waves().entry(wave.number).or_insert((Arc::new(wave), clock::now()));
}

/// Applies evacuation records: all of them, read up to the offset `snapshot_end`, or if that is
/// `None`, those appended since the last call.
fn apply_evacuations(node: &Node, evacuations: &[(u64, Evacuation)], snapshot_end: Option<u64>) {
    let mut known = node.evacuations();
    let unknown = match snapshot_end {
        Some(read_to) => {
            let all: Vec<_> =
                evacuations.iter().map(|(_, evacuation)| evacuation.clone()).collect();
            known.replace(&all, read_to)
        }
        None => evacuations
            .iter()
            .filter_map(|(at, evacuation)| known.apply(*at, evacuation).err())
            .collect(),
    };
    for error in unknown {
        log::warn!("event=evacuation_refused error=\"{error}\"");
    }
}

/// Puts a configuration into effect if it is newer than the current one.
pub(crate) fn apply_config(node: &Node, config: Config, sequence: Sequence) {
    node.change_table(|current| {
        if current.is_some_and(|table| config.version <= table.version) {
            return None;
        }
        log::info!(
            "event=config version={} before={} queues={} customers={}",
            config.version,
            current.map_or(0, |table| table.version),
            config.queues.len(),
            config.customers.len()
        );
        Some(current.cloned().unwrap_or_default().with_config(config, sequence))
    });
}
