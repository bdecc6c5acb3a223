//! Loads the daemon's settings from a JSON file and validates them.

use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use crosspath_border::store::Limits;
use crosspath_http::capacity::Capacity;
use serde::Deserialize;
use snafu::{ResultExt as _, Snafu};

/// Minimum of `leases.evacuation_ms`. A task start takes up to half a second, and the daemon's
/// knowledge of evacuations may be another half second old.
const MIN_EVACUATION_MS: u64 = 1_000;

/// Minimum of `platform.record_bytes`. A job of the largest text and a few steps, and the progress of
/// one task, are smaller.
const MIN_RECORD_BYTES: usize = 16 * 1024;

/// Minimum of `limits.memory_mb`, with which the peers' share holds one request of the largest size.
const MIN_MEMORY_MB: u64 = 16;

/// Minimum of `limits.descriptors`, of which the daemon itself needs some dozens.
const MIN_DESCRIPTORS: u64 = 128;

/// Content of the settings file.
#[derive(Debug, Clone, Deserialize)]
struct Options {
    name: Arc<str>,
    data_centre: Arc<str>,
    #[serde(default)]
    data_centres: BTreeSet<Arc<str>>,
    #[serde(default = "one_core")]
    cores: f64,
    listen: ListenOptions,
    platform: PlatformOptions,
    leases: LeaseOptions,
    #[serde(default)]
    costs: Costs,
    #[serde(default)]
    failure_domains: FailureDomains,
    #[serde(default)]
    relays: Option<bool>,
    #[serde(default)]
    admission: Admission,
    #[serde(default)]
    limits: LimitOptions,
}

/// Limits of the process on its VM; each has a default.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
struct LimitOptions {
    memory_mb: Option<u64>,
    descriptors: Option<u64>,
}

#[derive(Debug, Clone, Deserialize)]
struct ListenOptions {
    callers: SocketAddr,
    readiness: SocketAddr,
    peers: SocketAddr,
    metrics: SocketAddr,
    source: Option<IpAddr>,
}

#[derive(Debug, Clone, Deserialize)]
struct PlatformOptions {
    log: SocketAddr,
    vms: Option<SocketAddr>,
    #[serde(default = "vm_orders_per_s")]
    vm_orders_per_s: f64,
    advice: Option<SocketAddr>,
    shards: u32,
    record_bytes: Option<usize>,
    append_bytes: Option<usize>,
}

#[derive(Debug, Clone, Deserialize)]
struct LeaseOptions {
    longest_hold_ms: u64,
    membership_least_ms: u64,
    vm_order_ms: u64,
    evacuation_ms: Option<u64>,
    keep_ended_s: u64,
    stop_grace_s: u64,
}

/// Default of `platform.vm_orders_per_s`: the limit of the smallest known deployment.
fn vm_orders_per_s() -> f64 {
    64.0
}

/// Default of `cores`, with which the VM counts as large: its daemon is always a candidate.
fn one_core() -> f64 {
    1.0
}

/// Costs of the deployment, all in the same arbitrary unit: only their ratios matter.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(default)]
pub struct Costs {
    /// Cost per second of a VM in a serving pool.
    pub vm_second: f64,
    /// Cost of moving a VM to another pool.
    pub vm_move: f64,
}

impl Default for Costs {
    /// Costs as observed in a deployment: a move costs about as much as a VM does in one second.
    fn default() -> Self {
        Self { vm_second: 0.078, vm_move: 0.088 }
    }
}

/// Loss of failure domains that the deployment has to survive.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct FailureDomains {
    /// Number of data centres that may be lost at once. From 1 on, tasks and VMs are spread over
    /// data centres.
    pub tolerated_data_centres: u32,
    /// Whether pools keep enough VMs that their work fits on what remains after that loss. Costs
    /// idle VMs.
    pub reserve: bool,
}

/// Which submissions are refused while a pool is full.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct Admission {
    /// Refuses jobs beyond their customers' shares.
    pub by_customer: bool,
    /// Refuses jobs that would end too late to be of use.
    pub reject_hopeless: bool,
    /// Serves jobs that can still end in time before those that cannot, as many as fit.
    pub prefer_feasible: bool,
}

/// Validated settings of a daemon.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the daemon, which is that of its VM.
    pub name: Arc<str>,
    /// Data centre of the daemon's VM.
    pub data_centre: Arc<str>,
    /// Names of all data centres; empty if not configured, and then any name is accepted.
    pub data_centres: BTreeSet<Arc<str>>,
    /// Processor capacity of the daemon's VM, in thousandths of a core.
    pub millicores: u32,
    /// Address on which the daemon listens for callers.
    pub callers: SocketAddr,
    /// Address on which the daemon listens for the balancer's readiness probes.
    pub readiness: SocketAddr,
    /// Address on which the daemon listens for other daemons.
    pub peers: SocketAddr,
    /// Address on which the daemon serves its metrics.
    pub metrics: SocketAddr,
    /// Local address from which workers are called; `None` lets the system choose.
    pub source: Option<IpAddr>,
    /// Address of the platform's log store.
    pub log: SocketAddr,
    /// Address of the platform's VM list; `None` if VMs are not managed.
    pub vms: Option<SocketAddr>,
    /// Maximum number of VM orders that the platform accepts per second.
    pub vm_orders_per_s: f64,
    /// Address of the advice service; `None` if the deployment has none.
    pub advice: Option<SocketAddr>,
    /// Number of shards, each of which is a partition of the log; at least 2.
    pub shards: u32,
    /// Largest appends that the log store accepts.
    pub log_limits: Limits,
    /// Maximum lease length that workers grant.
    pub max_lease: Duration,
    /// Minimum TTL of a membership, the time without a join after which the group removes a member.
    pub min_member_ttl: Duration,
    /// Time after a daemon's order for a VM in which no other daemon may order that VM.
    pub vm_order_exclusion: Duration,
    /// Time after the request of an evacuation from which no task may start in the data centre;
    /// `None` if the deployment never evacuates one.
    pub evacuation_limit: Option<Duration>,
    /// Time for which the state of an ended job can be queried.
    pub ended_job_retention: Duration,
    /// Time between the signal to stop and the daemon being killed.
    pub stop_grace: Duration,
    /// Costs of VMs and of moving them.
    pub costs: Costs,
    /// Loss of failure domains that the deployment has to survive.
    pub failure_domains: FailureDomains,
    /// Whether calls go through a relay while the link to another data centre is broken. By
    /// default, if the loss of a data centre has to be survived.
    pub relays: bool,
    /// Which submissions are refused while a pool is full.
    pub admission: Admission,
    /// Memory and descriptors of the process, from which the limits of its listeners follow.
    pub capacity: Capacity,
}

/// Error in loading the settings.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The settings file cannot be read.
    #[snafu(display("cannot read settings file {}: {source}; check the path", file.display()))]
    Read {
        /// Path of the settings file.
        file: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The file is not valid JSON, or a field is missing or of the wrong type.
    #[snafu(display("cannot parse settings file {}: field {field}: {source}", file.display()))]
    Parse {
        /// Path of the settings file.
        file: PathBuf,
        /// Path of the field in the file.
        field: String,
        /// Error of the JSON decoder.
        source: serde_json::Error,
    },
    /// The value of a field is not allowed.
    #[snafu(display(
        "settings file {}: invalid value of field {field}: {value}; {remedy}",
        file.display()
    ))]
    Value {
        /// Path of the settings file.
        file: PathBuf,
        /// Path of the field in the file.
        field: &'static str,
        /// Rejected value of the field.
        value: String,
        /// Instruction on which values are allowed.
        remedy: &'static str,
    },
}

/// Loads and validates a settings file.
///
/// # Errors
///
/// [`Error`] if the file cannot be read or parsed, or a value is not allowed.
pub fn load(file: &Path) -> Result<Settings, Error> {
    let text = std::fs::read_to_string(file).context(ReadSnafu { file })?;
    let decoder = &mut serde_json::Deserializer::from_str(&text);
    let options: Options = serde_path_to_error::deserialize(decoder).map_err(|error| {
        let field = error.path().to_string();
        Error::Parse { file: file.to_owned(), field, source: error.into_inner() }
    })?;
    resolve(file, options)
}

fn log_limits(platform: &PlatformOptions) -> Limits {
    let default = Limits::default();
    Limits {
        record_bytes: platform.record_bytes.unwrap_or(default.record_bytes),
        append_bytes: platform.append_bytes.unwrap_or(default.append_bytes),
    }
}

fn resolve(file: &Path, options: Options) -> Result<Settings, Error> {
    let require = |met: bool, field: &'static str, value: String, remedy: &'static str| {
        if met {
            return Ok(());
        }
        ValueSnafu { file, field, value, remedy }.fail()
    };
    let Options {
        name,
        data_centre,
        data_centres,
        cores,
        listen,
        platform,
        leases,
        costs,
        failure_domains,
        relays,
        admission,
        limits,
    } = options;
    require(!name.is_empty(), "name", name.to_string(), "write the VM's name")?;
    require(
        cores > 0.0,
        "cores",
        cores.to_string(),
        "write the VM's number of cores, which may be a fraction",
    )?;
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "saturates")]
    let millicores = (cores * 1_000.0) as u32;
    let shards = platform.shards;
    require(shards >= 2, "platform.shards", shards.to_string(), "write 2 or more")?;
    let orders = platform.vm_orders_per_s;
    require(orders > 0.0, "platform.vm_orders_per_s", orders.to_string(), "write more than 0")?;
    let log_limits = log_limits(&platform);
    require(
        log_limits.record_bytes >= MIN_RECORD_BYTES,
        "platform.record_bytes",
        log_limits.record_bytes.to_string(),
        "write 16384 or more, or leave it out",
    )?;
    require(
        log_limits.append_bytes >= log_limits.record_bytes,
        "platform.append_bytes",
        log_limits.append_bytes.to_string(),
        "write platform.record_bytes or more, or leave it out",
    )?;
    let memory_mb = limits.memory_mb;
    require(
        memory_mb.is_none_or(|memory_mb| memory_mb >= MIN_MEMORY_MB),
        "limits.memory_mb",
        memory_mb.unwrap_or_default().to_string(),
        "write 16 or more, or leave it out",
    )?;
    let descriptors = limits.descriptors;
    require(
        descriptors.is_none_or(|descriptors| descriptors >= MIN_DESCRIPTORS),
        "limits.descriptors",
        descriptors.unwrap_or_default().to_string(),
        "write 128 or more, or leave it out",
    )?;
    let max_lease_ms = leases.longest_hold_ms;
    require(
        max_lease_ms >= 1_000,
        "leases.longest_hold_ms",
        max_lease_ms.to_string(),
        "write 1000 or more",
    )?;
    let stop_grace_s = leases.stop_grace_s;
    require(stop_grace_s >= 1, "leases.stop_grace_s", stop_grace_s.to_string(), "write 1 or more")?;
    let evacuation_ms = leases.evacuation_ms;
    require(
        evacuation_ms.is_none_or(|bound| bound >= MIN_EVACUATION_MS),
        "leases.evacuation_ms",
        evacuation_ms.unwrap_or_default().to_string(),
        "write 1000 or more, or leave it out",
    )?;
    require(
        data_centres.is_empty() || data_centres.contains(&data_centre),
        "data_centres",
        format!("{data_centres:?}"),
        "include the VM's own data centre",
    )?;
    let tolerated = failure_domains.tolerated_data_centres;
    require(
        data_centres.is_empty() || (tolerated as usize) < data_centres.len(),
        "failure_domains.tolerated_data_centres",
        tolerated.to_string(),
        "write less than the number of data centres",
    )?;
    require(
        !failure_domains.reserve || tolerated > 0,
        "failure_domains.reserve",
        failure_domains.reserve.to_string(),
        "set failure_domains.tolerated_data_centres, or leave it out",
    )?;
    let listeners = [listen.callers, listen.readiness, listen.peers, listen.metrics];
    let has_duplicates = (1..listeners.len()).any(|at| listeners[..at].contains(&listeners[at]));
    require(
        !has_duplicates,
        "listen",
        format!("{listeners:?}"),
        "give each listener an address of its own",
    )?;
    Ok(Settings {
        name,
        data_centre,
        data_centres,
        millicores,
        callers: listen.callers,
        readiness: listen.readiness,
        peers: listen.peers,
        metrics: listen.metrics,
        source: listen.source,
        log: platform.log,
        vms: platform.vms,
        vm_orders_per_s: orders,
        advice: platform.advice,
        shards,
        log_limits,
        max_lease: Duration::from_millis(max_lease_ms),
        min_member_ttl: Duration::from_millis(leases.membership_least_ms),
        vm_order_exclusion: Duration::from_millis(leases.vm_order_ms),
        evacuation_limit: evacuation_ms.map(Duration::from_millis),
        ended_job_retention: Duration::from_secs(leases.keep_ended_s),
        stop_grace: Duration::from_secs(stop_grace_s),
        costs,
        failure_domains,
        relays: relays.unwrap_or(tolerated > 0),
        admission,
        capacity: Capacity::new(memory_mb, descriptors),
    })
}
