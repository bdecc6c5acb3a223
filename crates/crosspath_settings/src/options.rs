//! Options of the settings file, as they are written in JSON.

use std::net::SocketAddr;

use crosspath_state::name::{DaemonName, DataCentre};
use schemars::JsonSchema;
use serde::Deserialize;

use crate::settings::Right;

/// Settings file of `crosspathd`.
#[derive(Debug, Clone, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Options {
    /// Name of this daemon. A VM that replaces this one uses the same name.
    pub name: DaemonName,
    /// Data centre in which this daemon runs.
    pub data_centre: DataCentre,
    /// Addresses that this daemon listens on.
    pub listen: ListenOptions,
    /// All other daemons. Every daemon lists the same set, except for itself.
    #[serde(default)]
    pub peers: Vec<PeerOptions>,
    /// Secret with which daemons authenticate to each other; at least 16 characters.
    pub peer_token: String,
    /// Address of the platform's HTTP interfaces.
    pub platform: SocketAddr,
    /// Operators that may use the resource API, with their tokens and rights.
    pub operators: Vec<OperatorOptions>,
    /// Limits on requests to this daemon and on what it keeps in memory.
    #[serde(default)]
    pub limits: LimitOptions,
    /// Intervals, timeouts and lease lengths.
    #[serde(default)]
    pub timing: TimingOptions,
}

/// Addresses that the daemon listens on.
#[derive(Debug, Clone, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ListenOptions {
    /// Address for callers' requests.
    pub callers: SocketAddr,
    /// Address for the resource API, `/metrics`, `/livez` and `/readyz`.
    pub operators: SocketAddr,
    /// Address for requests of the other daemons.
    pub peers: SocketAddr,
}

/// Another daemon of the same site.
#[derive(Debug, Clone, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PeerOptions {
    /// Name of the other daemon.
    pub name: DaemonName,
    /// Address on which the other daemon listens for peers.
    pub address: SocketAddr,
}

/// An operator of the resource API.
#[derive(Debug, Clone, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct OperatorOptions {
    /// Name of the operator, as logged with each change.
    pub name: String,
    /// SHA-256 hash of the bearer token, as 64 hexadecimal digits.
    pub token_sha256: String,
    /// Rights of the operator.
    pub rights: Vec<Right>,
}

/// Limits on requests and on what is kept in memory; each has a default.
#[derive(Debug, Clone, Default, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct LimitOptions {
    /// Memory of the process, in MiB; default 160, at least 64. A quarter of it is for bodies that
    /// arrive or wait for an answer, a quarter for connections.
    pub memory_mb: Option<u64>,
    /// Maximum number of open descriptors; default 4,100, at least 256. Half of them are for
    /// connections to the listeners.
    pub descriptors: Option<u64>,
    /// Maximum number of connections to each listener; default and upper limit are the listener's
    /// part of what `memory_mb` and `descriptors` allow: 640 for callers by default.
    pub connections: Option<u32>,
    /// Maximum size of a request's head, in bytes; default 16,384, at least 8,192.
    pub header_bytes: Option<u32>,
    /// Maximum size of a request's body, in bytes; default 1,048,576.
    pub body_bytes: Option<u64>,
    /// Timeout for receiving a request's head, in ms; default 5,000.
    pub header_timeout_ms: Option<u64>,
    /// Timeout for receiving a request's body, in ms; default 5,000.
    pub body_timeout_ms: Option<u64>,
    /// Maximum number of requests that wait for a slot of one pool; default 1,024.
    pub queue: Option<u32>,
    /// Maximum share of a pool's slots for batch requests, in percent; default 75.
    pub batch_ceiling_percent: Option<u32>,
    /// At least one in this many slot grants goes to batch requests, if any wait; default 8.
    pub batch_floor_every: Option<u32>,
    /// Maximum number of payment keys that one daemon keeps; default 40,000.
    pub keys: Option<u32>,
    /// Maximum size of a response that is kept for repeated requests, in bytes; default 16,384.
    pub answer_bytes: Option<u64>,
    /// Maximum size of all responses that one daemon keeps, in bytes; default 8,388,608.
    pub answers_total_bytes: Option<u64>,
    /// Time for which a payment key is valid, in ms; default 600,000.
    pub key_retention_ms: Option<u64>,
}

/// Intervals, timeouts and lease lengths; each has a default.
#[derive(Debug, Clone, Default, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct TimingOptions {
    /// Interval between rounds of heartbeats to peers, in ms; default 1,000.
    pub heartbeat_ms: Option<u64>,
    /// Length of a lease, for which a guard does not evict its member, in ms; default 5,000.
    pub lease_ms: Option<u64>,
    /// How long a guard grants leases after its own was last valid, in ms; default 30,000.
    pub tenure_ms: Option<u64>,
    /// Maximum drift between the rates of two clocks, in parts per million; default 10,000.
    pub drift_ppm: Option<u32>,
    /// Maximum difference between two wall clocks, in ms; default 2,000.
    pub skew_ms: Option<u64>,
    /// Interval between two rounds of decisions on the fleet, in ms; default 50.
    pub decide_ms: Option<u64>,
    /// Timeout of a call to the platform, in ms; default 2,000.
    pub platform_timeout_ms: Option<u64>,
    /// How long the log may hold a read open until there are new records, in ms; default 1,000.
    pub log_wait_ms: Option<u64>,
    /// Number of log records between two snapshots of the state; default 2,000.
    pub snapshot_every: Option<u64>,
    /// Planned stop: time from not ready until listeners close, in ms; default 1,000.
    pub stop_wait_ms: Option<u64>,
    /// Planned stop: timeout for requests in flight, and again for leaving, in ms; default 10,000.
    pub stop_drain_ms: Option<u64>,
}
