//! What a customer may have running over all shards, dealt out in parts.
//!
//! A customer's maximum is one number for all workers, and its tasks are started by the owners of many
//! shards. So one daemon, the fleet's owner, keeps a [`Ledger`] of what each shard holds of each maximum, and each
//! shard's owner keeps a [`Allowance`] and starts nothing beyond it. All held parts of a customer together are never
//! more than its maximum and one task.
//!
//! A shard asks often and always says everything: what it keeps (what runs, or may run) and what it wants on
//! top. From the moment it asks it starts nothing beyond what it said it keeps, until it is answered; so a
//! question or an answer may be lost, come late, or twice. Questions are numbered, and an old one changes nothing.
//!
//! *Owners change.* A new owner of a shard finds in the log all that may run, and keeps that; the part of the one
//! before counts until then. A new ledger knows nothing: it deals out nothing until each shard has taken
//! its term, that is, has said what it keeps and will take no answer of an earlier ledger any more. Meanwhile
//! shards go on within what they hold. A ledger's daemon answers only while its membership lasts, and the next one
//! claims the fleet after that; so a new owner of a shard, who knows no term yet, is dealt nothing by an earlier one.
//!
//! Nothing here reads a clock or does I/O.

mod allowance;
mod ledger;
mod message;

pub use allowance::{Allowance, Usage};
pub use ledger::Ledger;
pub use message::{Allotment, Demand, Grant, Request};

use std::collections::BTreeMap;
use std::sync::Arc;

use crosspath_job::spec::Resources;

/// Maximum of each customer that has one.
pub type Limits = BTreeMap<Arc<str>, Resources>;

/// Jobs a second that each customer is owed when all is full.
pub type Weights = BTreeMap<Arc<str>, f64>;
