//! Messages between shards and the ledger.

use std::collections::BTreeMap;
use std::sync::Arc;

use crosspath_job::spec::Resources;
use serde::{Deserialize, Serialize};

/// Demand of a shard for one customer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Resources that the shard keeps. It starts nothing beyond them until it receives a grant.
    pub keep: Resources,
    /// Additional resources for tasks that could start immediately.
    #[serde(rename = "want")]
    pub requested: Resources,
    /// Resources required by the first of those tasks; zero if none waits.
    #[serde(rename = "least")]
    pub minimum: Resources,
}

/// Request of a shard for allotments.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Number of the shard that sends the request.
    pub shard: u32,
    /// Epoch of the shard's owner.
    pub epoch: u64,
    /// Sequence number; increases with each request of the owner.
    pub number: u64,
    /// Highest ledger term from which the shard has accepted a grant. It rejects grants of earlier
    /// terms.
    pub term: u64,
    /// Demands by customer, for all customers of whom the shard keeps or demands something.
    #[serde(rename = "wishes")]
    pub demands: BTreeMap<Arc<str>, Demand>,
}

/// The part of one customer's maximum that a shard may use.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allotment {
    /// Resources that the shard may have running.
    pub held: Resources,
    /// Maximum of the customer when the part was allotted.
    pub limit: Resources,
}

/// Answer of the ledger to a request.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Sequence number of the request that is answered.
    pub number: u64,
    /// Term of the ledger that answers.
    pub term: u64,
    /// Whether the ledger is active. A new ledger grants nothing until every shard has acknowledged
    /// its term.
    #[serde(rename = "settled")]
    pub active: bool,
    /// Allotments by customer, for all customers that the request names.
    #[serde(rename = "parts")]
    pub allotments: BTreeMap<Arc<str>, Allotment>,
}
