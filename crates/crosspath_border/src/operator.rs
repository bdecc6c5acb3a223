//! What operators write: the configuration and waves of upkeep.

use std::collections::BTreeSet;
use std::sync::Arc;

use crosspath_job::record::{Advice, Policy};
use serde::{Deserialize, Serialize};

use crate::customer::{Customer, Keys};

/// Bytes of a request body that are taken where no configuration says otherwise; as deployments
/// have it.
pub const DEFAULT_BODY_BYTES: u64 = 262_144;

/// A queue of jobs, found by host and path.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Its name.
    pub name: Arc<str>,
    /// Host that callers name.
    pub host: Arc<str>,
    /// Path before the job's identifier.
    pub prefix: Arc<str>,
    /// The pool that runs its tasks.
    pub pool: Arc<str>,
    /// What it demands.
    pub policy: Policy,
    /// Whether workers must be asked for.
    pub advice: Option<Advice>,
    /// Whether callers need no key; its jobs belong to no customer.
    pub open: bool,
}

/// A pool of VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// Its name.
    pub name: Arc<str>,
    /// Whether its VMs are off and cost nothing.
    pub spare: bool,
}

/// A configuration, whole.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Rises with each change.
    pub version: u64,
    /// Queues.
    pub queues: Vec<Queue>,
    /// Pools.
    pub pools: Vec<Pool>,
    /// Customers; where there are none, nobody needs a key.
    pub customers: Vec<Customer>,
    /// Their keys.
    pub keys: Keys,
    /// Bytes of a request body that are taken.
    pub body_bytes: u64,
}

/// VMs that are to have their upkeep.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wave {
    /// Its number.
    pub number: u64,
    /// The VMs.
    pub vms: BTreeSet<Arc<str>>,
    /// Time that it may take, in ms from when it was written.
    pub deadline_ms: u64,
    /// VMs in upkeep at one time.
    pub max_concurrent: u32,
}

/// How far a wave is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum WaveState {
    /// Some VM has not had its upkeep.
    Running,
    /// All have.
    Completed,
}

/// Word on a data centre: it is to get no new work, or may get some again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Evacuation {
    /// The data centre.
    pub data_centre: Arc<str>,
    /// Whether it is to get none; else what was asked for is taken back.
    pub requested: bool,
}

/// One record of the operators.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// A configuration.
    Config(Config),
    /// A wave.
    Wave(Wave),
    /// Word on a data centre.
    Evacuation(Evacuation),
    /// A kind of record that this daemon does not know.
    Other,
}
