//! Records in the store of the pools that each queue has used.
//!
//! A job stays in the pool that its queue had when the job was accepted, and a configuration tells
//! only the current one. So the assignment of a queue to a pool is a record of the shard map,
//! appended before the first job is accepted under it. A daemon that starts later, or that has
//! missed a configuration, reads these records and searches all pools where a job may be.
//!
//! A daemon may be behind when it records the assignment, while another one has applied a later
//! configuration, and read the map, without it. So a daemon stores no job of a queue with several
//! pools before it has found its own configuration to be the newest one after it has known the
//! assignment to be recorded: whoever applies a later one reads the map after that.
//!
//! The assignments of the first configuration are appended with the map itself. Later ones are
//! appended by the first daemon that accepts a job under them. A daemon that the store turns away
//! gets them from the peer that sends it the configuration.

use std::collections::{BTreeMap, BTreeSet};
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use crosspath_border::operator::Queue;
use crosspath_border::store::{Error, NewRecord, Precondition, Topic};
use serde::{Deserialize, Serialize};

use crate::clock;
use crate::map::Reader;
use crate::node::{Node, only_partition};

/// Interval between checks whether the assignments are known.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Value of the records, which say all by their keys. Must not be empty, which would delete the key.
const RECORD_VALUE: &str = "1";

/// Assignment of a queue to a pool, by some configuration.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Assignment {
    /// Name of the queue.
    pub queue: Arc<str>,
    /// Name of the pool.
    pub pool: Arc<str>,
}

impl Assignment {
    /// Assignment of a queue by the current configuration.
    #[must_use]
    pub fn of(queue: &Queue) -> Self {
        Self { queue: Arc::clone(&queue.name), pool: Arc::clone(&queue.pool) }
    }

    /// Key of the record, after its prefix. Names may contain any character.
    #[must_use]
    pub fn key(&self) -> String {
        let names = serde_json::to_string(&(&self.queue, &self.pool));
        names.expect("strings serialise as JSON")
    }

    /// Record of the assignment, whose key starts with `prefix`.
    #[must_use]
    pub fn record(&self, prefix: &str) -> NewRecord {
        NewRecord { key: format!("{prefix}{}", self.key()), value: RECORD_VALUE.into() }
    }
}

impl FromStr for Assignment {
    type Err = serde_json::Error;

    fn from_str(key: &str) -> Result<Self, Self::Err> {
        let (queue, pool) = serde_json::from_str::<(Arc<str>, Arc<str>)>(key)?;
        Ok(Self { queue, pool })
    }
}

/// Pools to which queues are or were assigned, by queue.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignments(BTreeMap<Arc<str>, BTreeSet<Arc<str>>>);

impl Assignments {
    /// Adds an assignment.
    pub fn insert(&mut self, assignment: Assignment) {
        self.0.entry(assignment.queue).or_default().insert(assignment.pool);
    }

    /// Adds all of `other`.
    pub fn merge(&mut self, other: &Self) {
        for (queue, pools) in &other.0 {
            self.0.entry(Arc::clone(queue)).or_default().extend(pools.iter().cloned());
        }
    }

    /// Whether all of `others` are among these.
    #[must_use]
    pub fn includes(&self, others: &Self) -> bool {
        others
            .0
            .iter()
            .all(|(queue, pools)| self.0.get(queue).is_some_and(|known| known.is_superset(pools)))
    }

    /// These assignments except `others`.
    #[must_use]
    pub fn without(&self, others: impl Iterator<Item = Assignment>) -> Self {
        let mut remaining = self.0.clone();
        for Assignment { queue, pool } in others {
            if let Some(pools) = remaining.get_mut(&queue) {
                pools.remove(&pool);
            }
        }
        remaining.retain(|_, pools| !pools.is_empty());
        Self(remaining)
    }

    /// Whether the assignment is among these.
    #[must_use]
    pub fn contains(&self, assignment: &Assignment) -> bool {
        self.0.get(&assignment.queue).is_some_and(|pools| pools.contains(&assignment.pool))
    }

    /// All assignments.
    pub fn iter(&self) -> impl Iterator<Item = Assignment> {
        self.0.iter().flat_map(|(queue, pools)| {
            let assignment =
                |pool: &Arc<str>| Assignment { queue: Arc::clone(queue), pool: Arc::clone(pool) };
            pools.iter().map(assignment)
        })
    }

    /// Pools of all queues, each once.
    pub fn all_pools(&self) -> impl Iterator<Item = &Arc<str>> {
        self.0.values().flatten().collect::<BTreeSet<_>>().into_iter()
    }

    /// Pools of a queue.
    pub fn pools(&self, queue: &str) -> impl Iterator<Item = &Arc<str>> {
        self.0.get(queue).into_iter().flatten()
    }
}

/// Appends the assignment of a queue to its pool, unless it is recorded.
///
/// # Errors
///
/// [`Error`] of the store; the assignment may then be recorded or not.
pub(crate) async fn record(node: &Node, queue: &Queue) -> Result<(), Error> {
    let assignment = Assignment::of(queue);
    // One call of this daemon records it for all requests that wait.
    let _recording = node.recording_assignment.lock().await;
    let mut reader = Reader::default();
    while !node.map().assignments().contains(&assignment) {
        let end = reader.read(node).await?;
        if node.map().assignments().contains(&assignment) {
            return Ok(());
        }
        let partition = only_partition(Topic::ShardMap);
        let records = [assignment.record(crate::map::QUEUE_KEY)];
        match node.store.append(partition, &records, Precondition::EndOffset(end)).await {
            Ok(_) => {
                log::info!("event=queue_assigned queue={} pool={}", queue.name, queue.pool);
                node.add_assignment(assignment.clone());
            }
            // Another daemon has appended in between.
            Err(Error::EndMismatch { .. }) => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Waits until all assignments by configurations before the current one are known; returns whether
/// they are known by `deadline`.
pub(crate) async fn wait_until_known(node: &Node, deadline: Duration) -> bool {
    while !node.knows_assignments() {
        if clock::now() + CHECK_INTERVAL > deadline {
            return false;
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    true
}
