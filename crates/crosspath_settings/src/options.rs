//! Options as the user writes them.

use std::net::SocketAddr;

use crosspath_state::name::{DaemonName, DataCentre};
use schemars::JsonSchema;
use serde::Deserialize;

use crate::settings::Right;

/// Settings file of `crosspathd`.
#[derive(Debug, Clone, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Options {
    /// Name of this daemon; the same for each VM that replaces this one.
    pub name: DaemonName,
    /// Data centre of this daemon.
    pub data_centre: DataCentre,
    /// Addresses that it listens on.
    pub listen: ListenOptions,
    /// The other daemons. Every daemon lists the same set, less itself.
    #[serde(default)]
    pub peers: Vec<PeerOptions>,
    /// Secret that daemons show each other; at least 16 characters.
    pub peer_token: String,
    /// Address of the platform's interfaces.
    pub platform: SocketAddr,
    /// Operators that may use the resource API.
    pub operators: Vec<OperatorOptions>,
    /// Limits on what one daemon takes in.
    #[serde(default)]
    pub limits: LimitOptions,
    /// Intervals and leases.
    #[serde(default)]
    pub timing: TimingOptions,
}

/// Addresses that the daemon listens on.
#[derive(Debug, Clone, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ListenOptions {
    /// For callers' requests.
    pub callers: SocketAddr,
    /// For the resource API, `/metrics`, `/livez` and `/readyz`.
    pub operators: SocketAddr,
    /// For the other daemons.
    pub peers: SocketAddr,
}

/// Another daemon.
#[derive(Debug, Clone, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PeerOptions {
    /// Its name.
    pub name: DaemonName,
    /// Where it listens for peers.
    pub address: SocketAddr,
}

/// An operator.
#[derive(Debug, Clone, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct OperatorOptions {
    /// Name, as it stands in logs.
    pub name: String,
    /// SHA-256 of the bearer token, in hexadecimal.
    pub token_sha256: String,
    /// What the operator may do.
    pub rights: Vec<Right>,
}

/// Limits; each has a default.
#[derive(Debug, Clone, Default, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct LimitOptions {
    /// Connections taken on each listener; default 10,000.
    pub connections: Option<u32>,
    /// Bytes of a request's head; default 16,384, at least 8,192.
    pub header_bytes: Option<u32>,
    /// Bytes of a request's body; default 1,048,576.
    pub body_bytes: Option<u64>,
    /// Time for a request's head to arrive, in ms; default 5,000.
    pub header_timeout_ms: Option<u64>,
    /// Time for a request's body to arrive, in ms; default 5,000.
    pub body_timeout_ms: Option<u64>,
    /// Requests waiting for a slot of one pool; default 1,024.
    pub queue: Option<u32>,
    /// Share of a pool's slots that batch may take, in percent; default 75.
    pub batch_ceiling_percent: Option<u32>,
    /// One of this many grants goes to waiting batch; default 8.
    pub batch_floor_every: Option<u32>,
    /// Payment keys kept by one daemon; default 40,000.
    pub keys: Option<u32>,
    /// Bytes of an answer kept for re-sends; default 16,384.
    pub answer_bytes: Option<u64>,
    /// Bytes of answers kept for re-sends, over all keys of one daemon; default 8,388,608.
    pub answers_total_bytes: Option<u64>,
    /// Time that a payment key is good for, in ms; default 600,000.
    pub key_retention_ms: Option<u64>,
}

/// Intervals and leases; each has a default.
#[derive(Debug, Clone, Default, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct TimingOptions {
    /// Time between two heartbeats to a peer, in ms; default 1,000.
    pub heartbeat_ms: Option<u64>,
    /// How long a guard promises not to evict, in ms; default 5,000.
    pub lease_ms: Option<u64>,
    /// How long a guard goes on promising after its own lease was last valid, in ms; default 30,000.
    pub tenure_ms: Option<u64>,
    /// Largest drift between two clocks' rates, in parts per million; default 10,000.
    pub drift_ppm: Option<u32>,
    /// Largest difference between two wall clocks, in ms; default 2,000.
    pub skew_ms: Option<u64>,
    /// Time between two decisions on the fleet, in ms; default 50.
    pub decide_ms: Option<u64>,
    /// Time for the platform to answer a call, in ms; default 2,000.
    pub platform_timeout_ms: Option<u64>,
    /// Time for the log to hold a read open, in ms; default 1,000.
    pub log_wait_ms: Option<u64>,
    /// Records between two snapshots; default 2,000.
    pub snapshot_every: Option<u64>,
    /// Time between unready and the end of listening in a planned stop, in ms; default 1,000.
    pub stop_wait_ms: Option<u64>,
    /// Time for what is in flight in a planned stop, in ms; default 10,000.
    pub stop_drain_ms: Option<u64>,
}
