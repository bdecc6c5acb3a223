//! Maps requests to queues and customers by the newest configuration.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use crosspath_border::operator::{Config, Queue};
use crosspath_job::spec::Resources;
use crosspath_quota::{Limits, Weights};

/// Queues of the newest configuration, and the pools that queues had in earlier ones.
#[derive(Debug, Clone, Default)]
pub(crate) struct Table {
    pub(crate) version: u64,
    pub(crate) config: Arc<Config>,
    /// Queues by host, longest prefix first.
    by_host: HashMap<Arc<str>, Vec<Arc<Queue>>>,
    /// Every pool that each queue has had since the process started, by name of the queue.
    known_pools: BTreeMap<Arc<str>, BTreeSet<Arc<str>>>,
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

    /// Pools in which jobs of the queue may be: its current one and those it had before.
    pub(crate) fn pools_of(&self, queue: &Queue) -> BTreeSet<Arc<str>> {
        let mut pools = self.known_pools.get(&queue.name).cloned().unwrap_or_default();
        pools.insert(Arc::clone(&queue.pool));
        pools
    }
}
