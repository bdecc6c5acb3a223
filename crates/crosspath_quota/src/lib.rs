//! Quotas: limits a customer's running tasks over all shards by splitting its maximum into
//! allotments.
//!
//! A customer's maximum applies to all workers together, but its tasks are started by the owners of
//! many shards. Therefore one daemon, the owner of the fleet (the one that also orders moves and
//! maintenance of VMs), runs a [`Ledger`] that records each shard's allotment of each maximum. Each
//! shard owner has an [`Allowance`] and starts nothing beyond it. The allotments of a customer
//! never exceed its maximum by more than one task.
//!
//! A shard sends requests often, and each request is complete: it states what the shard keeps (what
//! runs or may run) and what it demands on top. From the moment of the request until the answer,
//! the shard starts nothing beyond what it said it keeps. Therefore requests and grants may be
//! lost, delayed or duplicated. Requests are numbered, and an outdated one has no effect.
//!
//! *Change of owner.* A new shard owner finds in the log everything that may run, and keeps that.
//! Until its first request, the allotment of the previous owner counts. A new ledger starts without
//! any knowledge. It grants nothing until every shard has acknowledged its term: the shard has then
//! reported what it keeps, and will reject grants of earlier ledgers. Until then the shards
//! continue within their allotments. The daemon of a ledger answers only while it is a member of
//! the group, and the next daemon claims the fleet only after that membership has ended. Therefore
//! a new shard owner, who knows no term yet, cannot receive a grant of an earlier ledger.
//!
//! This crate reads no clock and does no I/O.

mod allowance;
mod ledger;
mod message;

pub use allowance::{Allowance, Usage};
pub use ledger::Ledger;
pub use message::{Allotment, Demand, Grant, Request};

use std::collections::BTreeMap;
use std::sync::Arc;

use crosspath_job::spec::Resources;

/// Maximum of each customer; a customer without an entry has none.
pub type Limits = BTreeMap<Arc<str>, Resources>;

/// Weight of each customer: the rate in jobs per second that it is entitled to when capacity is
/// exhausted.
pub type Weights = BTreeMap<Arc<str>, f64>;
