//! Settings, checked and complete.

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

/// What an operator may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Right {
    /// Get, list and watch.
    Read,
    /// Put and delete.
    Write,
}

/// Settings of a daemon.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of this daemon.
    pub name: DaemonName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Where callers connect.
    pub callers_listen: SocketAddr,
    /// Where operators connect.
    pub operators_listen: SocketAddr,
    /// Where peers connect.
    pub peers_listen: SocketAddr,
    /// The other daemons.
    pub peers: Vec<Peer>,
    /// What daemons show each other.
    pub peer_token: String,
    /// The platform's address.
    pub platform: SocketAddr,
    /// Operators.
    pub operator_accounts: Vec<Operator>,
    /// Limits.
    pub limits: Limits,
    /// Intervals and leases.
    pub timing: Timing,
}

/// Another daemon.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Its name.
    pub name: DaemonName,
    /// Where it listens.
    pub address: SocketAddr,
}

/// An operator.
#[derive(Debug, Clone)]
pub struct Operator {
    /// Name for logs.
    pub name: String,
    /// Hash of the token.
    pub token: Hash,
    /// Rights.
    pub rights: Vec<Right>,
}

/// Limits on what one daemon takes in.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Connections on each listener.
    pub connections: u32,
    /// Bytes of a head.
    pub header_bytes: u32,
    /// Bytes of a body.
    pub body_bytes: u64,
    /// Time for a head.
    pub header_timeout: Duration,
    /// Time for a body.
    pub body_timeout: Duration,
    /// Requests waiting for one pool.
    pub queue: u32,
    /// Percent of a pool's slots for batch.
    pub batch_ceiling_percent: u32,
    /// One of this many grants goes to batch.
    pub batch_floor_every: u32,
    /// Payment keys kept.
    pub keys: u32,
    /// Bytes of an answer kept.
    pub answer_bytes: u64,
    /// Bytes of all answers kept.
    pub answers_total_bytes: u64,
    /// How long a payment key is good for.
    pub key_retention: Duration,
}

/// Intervals and leases.
#[derive(Debug, Clone)]
pub struct Timing {
    /// Between heartbeats.
    pub heartbeat: Duration,
    /// Of a guard's promise.
    pub lease: Duration,
    /// For which a guard promises after its own lease was last valid.
    pub tenure: Duration,
    /// Largest drift of clock rates, in parts per million.
    pub drift_ppm: u32,
    /// Largest difference of wall clocks.
    pub skew: Duration,
    /// Between decisions on the fleet.
    pub decide: Duration,
    /// For a call of the platform.
    pub platform_timeout: Duration,
    /// For a read of the log to wait.
    pub log_wait: Duration,
    /// Records between snapshots.
    pub snapshot_every: u64,
    /// Between unready and the end of listening.
    pub stop_wait: Duration,
    /// For what is in flight when stopping.
    pub stop_drain: Duration,
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// [`Error`] when the file cannot be read, has another shape, or a field cannot be used.
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
            connections: options.connections.unwrap_or(10_000),
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
        let connections = limits.connections;
        self.require(connections > 0, "limits.connections", connections, "write 1 or more")?;
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
