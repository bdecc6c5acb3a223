//! Which queue a request belongs to.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use crosspath_border::operator::{Config, Queue};
use crosspath_job::spec::Resources;
use crosspath_quota::{Limits, Weights};

/// Queues of the newest configuration, and pools that queues had before.
#[derive(Debug, Clone, Default)]
pub(crate) struct Table {
    pub(crate) version: u64,
    pub(crate) config: Arc<Config>,
    /// Queues by host, longest prefix first.
    by_host: HashMap<Arc<str>, Vec<Arc<Queue>>>,
    /// Every pool that a queue ever had in this process's life.
    known_pools: BTreeMap<Arc<str>, BTreeSet<Arc<str>>>,
}

/// For whom a call is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Caller {
    /// The queue needs no key.
    Anyone,
    /// The customer whose key it carries.
    Customer(Arc<str>),
}

impl Caller {
    /// Name of the customer; none where no key is needed.
    pub(crate) fn customer(self) -> Option<Arc<str>> {
        match self {
            Self::Anyone => None,
            Self::Customer(name) => Some(name),
        }
    }
}

impl Table {
    /// The table after a configuration, which must be newer.
    pub(crate) fn with_config(&self, config: Config) -> Self {
        let mut by_host: HashMap<Arc<str>, Vec<Arc<Queue>>> = HashMap::new();
        let mut known_pools = self.known_pools.clone();
        for queue in &config.queues {
            let known = known_pools.entry(Arc::clone(&queue.name)).or_default();
            known.insert(Arc::clone(&queue.pool));
            let host = by_host.entry(Arc::clone(&queue.host)).or_default();
            host.push(Arc::new(queue.clone()));
        }
        for queues in by_host.values_mut() {
            queues.sort_by_key(|queue| std::cmp::Reverse(queue.prefix.len()));
        }
        Self { version: config.version, config: Arc::new(config), by_host, known_pools }
    }

    /// The queue with the longest prefix of `path`, and the rest of the path.
    pub(crate) fn resolve(&self, host: &str, path: &str) -> Option<(Arc<Queue>, String)> {
        let queues = self.by_host.get(host)?;
        let queue = queues.iter().find(|queue| path.starts_with(&*queue.prefix))?;
        Some((Arc::clone(queue), path[queue.prefix.len()..].to_owned()))
    }

    /// Whether a call with `key` may use a queue, and for which customer; none when it may not.
    pub(crate) fn authorize(&self, queue: &Queue, key: Option<&str>) -> Option<Caller> {
        if queue.open || self.config.customers.is_empty() {
            return Some(Caller::Anyone);
        }
        let customer = self.config.keys.owner(key?)?;
        Some(Caller::Customer(Arc::clone(customer)))
    }

    /// Maximum of each customer that has one.
    pub(crate) fn limits(&self) -> Limits {
        let customers = self.config.customers.iter();
        let limited = customers.filter(|customer| customer.maximum != Resources::UNLIMITED);
        limited.map(|customer| (Arc::clone(&customer.name), customer.maximum)).collect()
    }

    /// Jobs a second that each customer is owed.
    pub(crate) fn weights(&self) -> Weights {
        let customers = self.config.customers.iter();
        customers.map(|customer| (Arc::clone(&customer.name), customer.weight)).collect()
    }

    /// Pools where jobs of the queue may be.
    pub(crate) fn pools_of(&self, queue: &Queue) -> BTreeSet<Arc<str>> {
        let mut pools = self.known_pools.get(&queue.name).cloned().unwrap_or_default();
        pools.insert(Arc::clone(&queue.pool));
        pools
    }
}
