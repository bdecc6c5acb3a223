//! Maps requests to queues and customers by the newest configuration.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use crosspath_border::operator::{Config, Queue};
use crosspath_job::spec::Resources;
use crosspath_quota::{Limits, Weights};

use crate::assignment::{Assignment, Assignments};

/// Queues of the newest configuration, and the pools that queues had in earlier ones.
#[derive(Debug, Clone, Default)]
pub(crate) struct Table {
    pub(crate) version: u64,
    pub(crate) config: Arc<Config>,
    /// Queues by host, longest prefix first.
    by_host: HashMap<Arc<str>, Vec<Arc<Queue>>>,
    /// Assignments by all configurations that this process has applied, and by those that the peers
    /// have applied from which it has got some.
    applied: Assignments,
    /// Version since which this process has applied every configuration; it may have missed some
    /// before.
    pub(crate) complete_since: u64,
    /// By queue, the version since which all configurations are known to assign it to its pool.
    assigned_since: HashMap<Arc<str>, u64>,
}

/// How a configuration relates to the one that was applied before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Sequence {
    /// It is the next one.
    Next,
    /// There may be others in between, whose assignments are known.
    LaterWithAssignments,
    /// There may be others in between.
    Later,
}

/// Party on whose behalf a call is made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Caller {
    /// No customer: the call needs no key.
    Anyone,
    /// Customer whose key the call carries.
    Customer(Arc<str>),
}

impl Caller {
    /// Name of the customer; `None` where no key is needed.
    pub(crate) fn customer(self) -> Option<Arc<str>> {
        match self {
            Self::Anyone => None,
            Self::Customer(name) => Some(name),
        }
    }
}

impl Table {
    /// Returns the table for a configuration, which must be newer than this table's.
    pub(crate) fn with_config(&self, config: Config, sequence: Sequence) -> Self {
        let mut by_host: HashMap<Arc<str>, Vec<Arc<Queue>>> = HashMap::new();
        let mut applied = self.applied.clone();
        for queue in &config.queues {
            applied.insert(Assignment::of(queue));
            let host = by_host.entry(Arc::clone(&queue.host)).or_default();
            host.push(Arc::new(queue.clone()));
        }
        for queues in by_host.values_mut() {
            queues.sort_by_key(|queue| std::cmp::Reverse(queue.prefix.len()));
        }
        let version = config.version;
        let complete_since = match sequence {
            Sequence::Next | Sequence::LaterWithAssignments => self.complete_since,
            Sequence::Later => version,
        };
        let since = |queue: &Queue| {
            let is_unchanged = sequence == Sequence::Next
                && self.queue(&queue.name).is_some_and(|before| before.pool == queue.pool);
            if is_unchanged { self.assigned_since(queue) } else { version }
        };
        let assigned_since =
            config.queues.iter().map(|queue| (Arc::clone(&queue.name), since(queue))).collect();
        let config = Arc::new(config);
        Self { version, config, by_host, applied, complete_since, assigned_since }
    }

    /// The queue with this name.
    pub(crate) fn queue(&self, name: &str) -> Option<&Queue> {
        self.config.queues.iter().find(|queue| *queue.name == *name)
    }

    /// Version since which all configurations are known to assign the queue to its pool.
    pub(crate) fn assigned_since(&self, queue: &Queue) -> u64 {
        self.assigned_since.get(&queue.name).copied().unwrap_or(self.version)
    }

    /// Returns the table with the assignments of a peer that has applied other configurations.
    pub(crate) fn with_applied(&self, assignments: &Assignments) -> Self {
        let mut table = self.clone();
        table.applied.merge(assignments);
        table
    }

    /// Assignments by all configurations that this process or its peers are known to have applied.
    pub(crate) fn applied(&self) -> &Assignments {
        &self.applied
    }

    /// Those that the newest configuration does not have.
    pub(crate) fn earlier(&self) -> Assignments {
        self.applied.without(self.config.queues.iter().map(Assignment::of))
    }

    /// Returns the queue of `host` with the longest prefix of `path`, and the path after that
    /// prefix.
    pub(crate) fn resolve(&self, host: &str, path: &str) -> Option<(Arc<Queue>, String)> {
        let queues = self.by_host.get(host)?;
        let queue = queues.iter().find(|queue| path.starts_with(&*queue.prefix))?;
        Some((Arc::clone(queue), path[queue.prefix.len()..].to_owned()))
    }

    /// Returns on whose behalf a call with `key` uses a queue; `None` if it may not use the queue.
    pub(crate) fn authorize(&self, queue: &Queue, key: Option<&str>) -> Option<Caller> {
        if queue.open || self.config.customers.is_empty() {
            return Some(Caller::Anyone);
        }
        let customer = self.config.keys.owner(key?)?;
        Some(Caller::Customer(Arc::clone(customer)))
    }

    /// Maximum resources of each customer that has a limit.
    pub(crate) fn limits(&self) -> Limits {
        let customers = self.config.customers.iter();
        let limited = customers.filter(|customer| customer.maximum != Resources::UNLIMITED);
        limited.map(|customer| (Arc::clone(&customer.name), customer.maximum)).collect()
    }

    /// Rate in jobs per second that each customer is entitled to when capacity is exhausted.
    pub(crate) fn weights(&self) -> Weights {
        let customers = self.config.customers.iter();
        customers.map(|customer| (Arc::clone(&customer.name), customer.weight)).collect()
    }

    /// Pools in which jobs of the queue may be: its current one, those that it had in other
    /// configurations, and those that are recorded.
    pub(crate) fn pools_of(&self, queue: &Queue, recorded: &Assignments) -> BTreeSet<Arc<str>> {
        let earlier = self.applied.pools(&queue.name).chain(recorded.pools(&queue.name));
        earlier.chain([&queue.pool]).cloned().collect()
    }
}
