//! What shards and the ledger say to each other.

use std::collections::BTreeMap;
use std::sync::Arc;

use crosspath_job::spec::Resources;
use serde::{Deserialize, Serialize};

/// What a shard says of one customer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// It starts nothing beyond this before it is answered.
    pub keep: Resources,
    /// What tasks that could start now want on top.
    #[serde(rename = "want")]
    pub requested: Resources,
    /// What the first of those tasks wants; zero when none waits.
    #[serde(rename = "least")]
    pub minimum: Resources,
}

/// A shard's question for parts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The shard.
    pub shard: u32,
    /// Epoch of its owner.
    pub epoch: u64,
    /// Rises with each question of that owner.
    pub number: u64,
    /// The latest ledger whose answer it took; it takes none of an earlier one.
    pub term: u64,
    /// All customers of which it keeps or wants something.
    #[serde(rename = "wishes")]
    pub demands: BTreeMap<Arc<str>, Demand>,
}

/// Part of a customer's maximum that a shard holds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allotment {
    /// What it may have running.
    pub held: Resources,
    /// The maximum of which that is a part.
    pub limit: Resources,
}

/// The ledger's answer.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Number of the question.
    pub number: u64,
    /// Term of the ledger.
    pub term: u64,
    /// Whether it deals: a new ledger does not before each shard has taken its term.
    #[serde(rename = "settled")]
    pub active: bool,
    /// What the shard holds now, of each customer that it named.
    #[serde(rename = "parts")]
    pub allotments: BTreeMap<Arc<str>, Allotment>,
}
