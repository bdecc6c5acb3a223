//! Records that operators write: the configuration, maintenance waves and evacuations.

use std::collections::BTreeSet;
use std::sync::Arc;

use crosspath_job::record::{Advice, Policy};
use serde::{Deserialize, Serialize};

use crate::customer::{Customer, Keys};

/// Maximum size of a request body in bytes if the configuration does not set one. Deployments use
/// this value.
pub const DEFAULT_BODY_BYTES: u64 = 262_144;

/// Job queue, selected by host and path.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Unique name of the queue.
    pub name: Arc<str>,
    /// Host name by which callers address the queue.
    pub host: Arc<str>,
    /// Path prefix, up to the job identifier.
    pub prefix: Arc<str>,
    /// Name of the pool that runs the queue's tasks.
    pub pool: Arc<str>,
    /// Scheduling policy of the queue's jobs.
    pub policy: Policy,
    /// Present if the advice service must approve workers before a step is placed.
    pub advice: Option<Advice>,
    /// Whether callers need no key. Jobs of an open queue belong to no customer.
    pub open: bool,
}

/// Pool of VMs, as configured by operators. A VM is in one pool at a time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// Unique name of the pool.
    pub name: Arc<str>,
    /// Whether the pool's VMs are switched off and incur no cost.
    pub spare: bool,
}

/// Complete configuration, which replaces the previous one as a whole.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Version of the configuration; increases with each change.
    pub version: u64,
    /// Queues through which callers submit jobs.
    pub queues: Vec<Queue>,
    /// Pools between which VMs can be moved, including spare ones.
    pub pools: Vec<Pool>,
    /// All customers. If there are none, no caller needs a key.
    pub customers: Vec<Customer>,
    /// Hashed keys of the customers.
    pub keys: Keys,
    /// Maximum size of a request body in bytes.
    pub body_bytes: u64,
}

/// Maintenance wave: a set of VMs to be serviced.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wave {
    /// Number that identifies the wave.
    pub number: u64,
    /// Names of the VMs to be serviced.
    pub vms: BTreeSet<Arc<str>>,
    /// Time that the wave may take, in ms from when it was written.
    pub deadline_ms: u64,
    /// Maximum number of VMs in maintenance at the same time.
    pub max_concurrent: u32,
}

/// State of a maintenance wave, which the daemons publish for operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum WaveState {
    /// At least one VM has not been serviced yet.
    Running,
    /// All VMs have been serviced.
    Completed,
}

/// Request to stop placing work in a data centre, or its withdrawal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Evacuation {
    /// Name of the data centre.
    pub data_centre: Arc<str>,
    /// `true` requests the evacuation, `false` withdraws it.
    pub requested: bool,
}

/// Decoded record of an operator.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// The configuration was replaced.
    Config(Config),
    /// A maintenance wave was declared.
    Wave(Wave),
    /// The evacuation of a data centre was requested or withdrawn.
    Evacuation(Evacuation),
    /// Kind of record that this version of the daemon does not know.
    Other,
}
