//! Validated settings, with defaults filled in.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use crosspath_state::name::{DaemonName, DataCentre};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use snafu::ResultExt as _;

use crate::error::{Error, ReadSnafu, ValueSnafu};
use crate::options::{LimitOptions, ListenOptions, OperatorOptions, Options, TimingOptions};
use crate::token::Hash;

const MIN_PEER_TOKEN_BYTES: usize = 16;
const MIN_HEADER_BYTES: u32 = 8 * 1024;
const MIN_MEMORY_MB: u64 = 64;
const MIN_DESCRIPTORS: u64 = 256;

/// Right of an operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Right {
    /// Get, list and watch resources.
    Read,
    /// Create, update and delete resources.
    Write,
}

/// Validated settings of a daemon.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of this daemon, which a VM that replaces this one keeps.
    pub name: DaemonName,
    /// Data centre in which this daemon runs.
    pub data_centre: DataCentre,
    /// Address that this daemon listens on for callers.
    pub callers_listen: SocketAddr,
    /// Address that this daemon listens on for operators.
    pub operators_listen: SocketAddr,
    /// Address that this daemon listens on for other daemons.
    pub peers_listen: SocketAddr,
    /// All other daemons of the site.
    pub peers: Vec<Peer>,
    /// Secret with which daemons authenticate to each other.
    pub peer_token: String,
    /// Address of the platform's HTTP interfaces.
    pub platform: SocketAddr,
    /// Operators that may use the resource API.
    pub operator_accounts: Vec<Operator>,
    /// Limits on requests to this daemon and on what it keeps in memory.
    pub limits: Limits,
    /// Intervals, timeouts and lease lengths.
    pub timing: Timing,
}

/// Another daemon of the same site.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Name of the other daemon.
    pub name: DaemonName,
    /// Address on which the other daemon listens for peers.
    pub address: SocketAddr,
}

/// An operator of the resource API.
#[derive(Debug, Clone)]
pub struct Operator {
    /// Name of the operator, as logged with each change.
    pub name: String,
    /// Hash of the operator's bearer token.
    pub token: Hash,
    /// Rights of the operator; empty if it may do nothing.
    pub rights: Vec<Right>,
}

/// Limits on requests to one daemon and on what it keeps in memory.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Memory of the process, in MiB; `None` is that of the smallest VM.
    pub memory_mb: Option<u64>,
    /// Maximum number of open descriptors; `None` is that of the smallest VM.
    pub descriptors: Option<u64>,
    /// Maximum number of connections to each listener; `None` is what memory and descriptors allow.
    pub connections: Option<u32>,
    /// Maximum size of a request's head, in bytes.
    pub header_bytes: u32,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: u64,
    /// Timeout for receiving a request's head.
    pub header_timeout: Duration,
    /// Timeout for receiving a request's body.
    pub body_timeout: Duration,
    /// Maximum number of requests that wait for a slot of one pool.
    pub queue: u32,
    /// Maximum share of a pool's slots for batch requests, in percent.
    pub batch_ceiling_percent: u32,
    /// At least one in this many slot grants goes to batch requests, if any wait.
    pub batch_floor_every: u32,
    /// Maximum number of payment keys that one daemon keeps.
    pub keys: u32,
    /// Maximum size of a response that is kept for repeated requests, in bytes.
    pub answer_bytes: u64,
    /// Maximum size of all responses that are kept for repeated requests, in bytes.
    pub answers_total_bytes: u64,
    /// Time for which a payment key is valid.
    pub key_retention: Duration,
}

/// Intervals, timeouts and lease lengths.
#[derive(Debug, Clone)]
pub struct Timing {
    /// Interval between rounds of heartbeats to peers.
    pub heartbeat: Duration,
    /// Length of a lease. While it is valid, the guard that granted it does not evict the member
    /// that holds it.
    pub lease: Duration,
    /// How long a guard continues to grant leases after its own lease was last valid.
    pub tenure: Duration,
    /// Maximum drift between the rates of two clocks, in parts per million.
    pub drift_ppm: u32,
    /// Maximum difference between two wall clocks.
    pub skew: Duration,
    /// Interval between two rounds of decisions on the fleet.
    pub decide: Duration,
    /// Timeout of a call to the platform.
    pub platform_timeout: Duration,
    /// How long the log may hold a read open until there are new records.
    pub log_wait: Duration,
    /// Number of log records between two snapshots of the state.
    pub snapshot_every: u64,
    /// Time in a planned stop from not being ready until no more connections are accepted.
    pub stop_wait: Duration,
    /// Maximum time in a planned stop for requests in flight, and again for leaving the group.
    pub stop_drain: Duration,
}

/// Reads and validates a settings file.
///
/// # Errors
///
/// [`Error`] if the file cannot be read, does not match the schema, or has a value that is not
/// allowed.
pub fn load(file: &Path) -> Result<Settings, Error> {
    let text = std::fs::read_to_string(file).context(ReadSnafu { file })?;
    let decoder = &mut serde_json::Deserializer::from_str(&text);
    let options: Options = serde_path_to_error::deserialize(decoder).map_err(|error| {
        let field = error.path().to_string();
        Error::Shape { file: file.to_owned(), field, source: error.into_inner() }
    })?;
    Checker { file }.resolve(options)
}

struct Checker<'a> {
    file: &'a Path,
}

impl Checker<'_> {
    fn require(
        &self,
        is_valid: bool,
        field: &'static str,
        value: impl ToString,
        remedy: &'static str,
    ) -> Result<(), Error> {
        if is_valid {
            return Ok(());
        }
        ValueSnafu { file: self.file, field, value: value.to_string(), remedy }.fail()
    }

    fn resolve(&self, options: Options) -> Result<Settings, Error> {
        let token = &options.peer_token;
        let long_enough = token.len() >= MIN_PEER_TOKEN_BYTES;
        self.require(long_enough, "peer_token", "<hidden>", "write at least 16 characters")?;
        self.require_distinct_addresses(&options.listen)?;
        let listed_self = options.peers.iter().find(|peer| peer.name == options.name);
        let name = &options.name;
        self.require(listed_self.is_none(), "peers", name, "list only the other daemons")?;
        let peers = options.peers.into_iter();
        let peers = peers.map(|peer| Peer { name: peer.name, address: peer.address }).collect();
        let operators = options.operators.into_iter();
        let operators = operators.map(|operator| self.operator(operator));
        Ok(Settings {
            name: options.name,
            data_centre: options.data_centre,
            callers_listen: options.listen.callers,
            operators_listen: options.listen.operators,
            peers_listen: options.listen.peers,
            peers,
            peer_token: options.peer_token,
            platform: options.platform,
            operator_accounts: operators.collect::<Result<_, _>>()?,
            limits: self.limits(&options.limits)?,
            timing: self.timing(&options.timing)?,
        })
    }

    fn require_distinct_addresses(&self, listen: &ListenOptions) -> Result<(), Error> {
        let ListenOptions { callers, operators, peers } = *listen;
        let same_address = |a: SocketAddr, b: SocketAddr| a == b && a.port() != 0;
        let conflict = same_address(callers, operators)
            || same_address(operators, peers)
            || same_address(callers, peers);
        self.require(!conflict, "listen", callers, "give each listener an address of its own")
    }

    fn operator(&self, options: OperatorOptions) -> Result<Operator, Error> {
        let token = Hash::parse(&options.token_sha256);
        let remedy = "write the SHA-256 of the token as 64 hexadecimal digits";
        let Some(token) = token else {
            let value = options.name;
            return ValueSnafu { file: self.file, field: "operators.token_sha256", value, remedy }
                .fail();
        };
        Ok(Operator { name: options.name, token, rights: options.rights })
    }

    fn limits(&self, options: &LimitOptions) -> Result<Limits, Error> {
        let limits = Limits {
            memory_mb: options.memory_mb,
            descriptors: options.descriptors,
            connections: options.connections,
            header_bytes: options.header_bytes.unwrap_or(16 * 1024),
            body_bytes: options.body_bytes.unwrap_or(1024 * 1024),
            header_timeout: ms(options.header_timeout_ms, 5_000),
            body_timeout: ms(options.body_timeout_ms, 5_000),
            queue: options.queue.unwrap_or(1_024),
            batch_ceiling_percent: options.batch_ceiling_percent.unwrap_or(75),
            batch_floor_every: options.batch_floor_every.unwrap_or(8),
            keys: options.keys.unwrap_or(40_000),
            answer_bytes: options.answer_bytes.unwrap_or(16 * 1024),
            answers_total_bytes: options.answers_total_bytes.unwrap_or(8 * 1024 * 1024),
            key_retention: ms(options.key_retention_ms, 600_000),
        };
        let header_bytes = limits.header_bytes;
        let large_enough = header_bytes >= MIN_HEADER_BYTES;
        self.require(large_enough, "limits.header_bytes", header_bytes, "write 8192 or more")?;
        let percent = limits.batch_ceiling_percent;
        let in_range = (1..=100).contains(&percent);
        self.require(in_range, "limits.batch_ceiling_percent", percent, "write 1 to 100")?;
        let every = limits.batch_floor_every;
        self.require(every >= 2, "limits.batch_floor_every", every, "write 2 or more")?;
        let connections = limits.connections.unwrap_or(1);
        self.require(connections > 0, "limits.connections", connections, "write 1 or more")?;
        let memory_mb = limits.memory_mb.unwrap_or(MIN_MEMORY_MB);
        let enough = memory_mb >= MIN_MEMORY_MB;
        self.require(enough, "limits.memory_mb", memory_mb, "write 64 or more")?;
        let descriptors = limits.descriptors.unwrap_or(MIN_DESCRIPTORS);
        let enough = descriptors >= MIN_DESCRIPTORS;
        self.require(enough, "limits.descriptors", descriptors, "write 256 or more")?;
        Ok(limits)
    }

    fn timing(&self, options: &TimingOptions) -> Result<Timing, Error> {
        let timing = Timing {
            heartbeat: ms(options.heartbeat_ms, 1_000),
            lease: ms(options.lease_ms, 5_000),
            tenure: ms(options.tenure_ms, 30_000),
            drift_ppm: options.drift_ppm.unwrap_or(10_000),
            skew: ms(options.skew_ms, 2_000),
            decide: ms(options.decide_ms, 50),
            platform_timeout: ms(options.platform_timeout_ms, 2_000),
            log_wait: ms(options.log_wait_ms, 1_000),
            snapshot_every: options.snapshot_every.unwrap_or(2_000),
            stop_wait: ms(options.stop_wait_ms, 1_000),
            stop_drain: ms(options.stop_drain_ms, 10_000),
        };
        let long_enough = timing.lease >= timing.heartbeat * 3;
        let lease = timing.lease.as_millis();
        self.require(long_enough, "timing.lease_ms", lease, "write at least 3 times heartbeat_ms")?;
        let long_enough = timing.tenure >= timing.lease;
        let tenure = timing.tenure.as_millis();
        self.require(long_enough, "timing.tenure_ms", tenure, "write at least lease_ms")?;
        let drift = timing.drift_ppm;
        self.require(drift <= 200_000, "timing.drift_ppm", drift, "write 200000 or less")?;
        let heartbeat = timing.heartbeat.as_millis();
        self.require(heartbeat > 0, "timing.heartbeat_ms", heartbeat, "write 1 or more")?;
        let decide = timing.decide.as_millis();
        self.require(decide > 0, "timing.decide_ms", decide, "write 1 or more")?;
        Ok(timing)
    }
}

fn ms(value: Option<u64>, default: u64) -> Duration {
    Duration::from_millis(value.unwrap_or(default))
}
