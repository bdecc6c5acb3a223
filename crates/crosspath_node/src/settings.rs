//! Settings of the daemon: a JSON file, read and checked.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use snafu::{ResultExt as _, Snafu};

/// Shortest time in which an evacuation can be in force: a start is through within half a second, and word of the
/// store may be as old again.
const MIN_EVACUATION_MS: u64 = 1_000;

/// Settings as written.
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
}

#[derive(Debug, Clone, Deserialize)]
struct ListenOptions {
    callers: SocketAddr,
    readiness: SocketAddr,
    peers: SocketAddr,
    metrics: SocketAddr,
}

#[derive(Debug, Clone, Deserialize)]
struct PlatformOptions {
    log: SocketAddr,
    vms: Option<SocketAddr>,
    #[serde(default = "vm_orders_per_s")]
    vm_orders_per_s: f64,
    advice: Option<SocketAddr>,
    shards: u32,
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

/// Where the settings do not say: as the smallest deployment seen allows.
fn vm_orders_per_s() -> f64 {
    64.0
}

/// Where the settings do not say, the VM is taken for a large one.
fn one_core() -> f64 {
    1.0
}

/// What the deployment pays, in one unit; only ratios matter.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(default)]
pub struct Costs {
    /// For a VM in a pool that serves, a second.
    pub vm_second: f64,
    /// For a VM that changes its pool.
    pub vm_move: f64,
}

impl Default for Costs {
    /// As observed where the deployment does not say: a move costs as much as a VM for about a
    /// second.
    fn default() -> Self {
        Self { vm_second: 0.078, vm_move: 0.088 }
    }
}

/// Settings of a daemon.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of this daemon.
    pub name: Arc<str>,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// All data centres; empty where the settings do not say.
    pub data_centres: BTreeSet<Arc<str>>,
    /// Processor time of its VM, in thousandths of a core.
    pub millicores: u32,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks.
    pub readiness: SocketAddr,
    /// Where other daemons connect.
    pub peers: SocketAddr,
    /// Where metrics are served.
    pub metrics: SocketAddr,
    /// The platform's log.
    pub log: SocketAddr,
    /// The platform's list of VMs; none where VMs are not managed.
    pub vms: Option<SocketAddr>,
    /// Orders for VMs that the platform takes a second.
    pub vm_orders_per_s: f64,
    /// The advice service; none where there is none.
    pub advice: Option<SocketAddr>,
    /// Partitions of a topic.
    pub shards: u32,
    /// Longest lease that workers give.
    pub max_lease: Duration,
    /// Shortest silence after which the group forgets a member.
    pub min_member_ttl: Duration,
    /// For which no other daemon may give orders for a VM after one has.
    pub vm_order_exclusion: Duration,
    /// In which no task starts any more in a data centre that is to be evacuated; none where none ever is.
    pub evacuation_limit: Option<Duration>,
    /// How long an ended job can be asked for.
    pub ended_job_retention: Duration,
    /// From the signal to stop to being killed.
    pub stop_grace: Duration,
    /// What the deployment pays.
    pub costs: Costs,
}

/// Settings that cannot be used.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The file cannot be read.
    #[snafu(display("cannot read settings {}: {source}; check the path", file.display()))]
    Read {
        /// The file.
        file: PathBuf,
        /// What the system says.
        source: std::io::Error,
    },
    /// The file has another shape.
    #[snafu(display("settings {}: field {field}: {source}", file.display()))]
    Parse {
        /// The file.
        file: PathBuf,
        /// The field.
        field: String,
        /// What the decoder says.
        source: serde_json::Error,
    },
    /// A field cannot be used.
    #[snafu(display("settings {}: field {field}: {value}: {remedy}", file.display()))]
    Value {
        /// The file.
        file: PathBuf,
        /// The field.
        field: &'static str,
        /// Its value.
        value: String,
        /// What to write instead.
        remedy: &'static str,
    },
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
        Error::Parse { file: file.to_owned(), field, source: error.into_inner() }
    })?;
    resolve(file, options)
}

fn resolve(file: &Path, options: Options) -> Result<Settings, Error> {
    let require = |met: bool, field: &'static str, value: String, remedy: &'static str| {
        if met {
            return Ok(());
        }
        ValueSnafu { file, field, value, remedy }.fail()
    };
    let Options { name, data_centre, data_centres, cores, listen, platform, leases, costs } =
        options;
    require(!name.is_empty(), "name", name.to_string(), "write the VM's name")?;
    require(cores > 0.0, "cores", cores.to_string(), "write the VM's share of a core, or cores")?;
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "saturates")]
    let millicores = (cores * 1_000.0) as u32;
    let shards = platform.shards;
    require(shards >= 2, "platform.shards", shards.to_string(), "write 2 or more")?;
    let orders = platform.vm_orders_per_s;
    require(orders > 0.0, "platform.vm_orders_per_s", orders.to_string(), "write more than 0")?;
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
        "name the VM's own data centre too",
    )?;
    let listeners = [listen.callers, listen.readiness, listen.peers, listen.metrics];
    let has_duplicates = (1..listeners.len()).any(|at| listeners[..at].contains(&listeners[at]));
    require(
        !has_duplicates,
        "listen",
        format!("{listeners:?}"),
        "give each listener a port of its own",
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
        log: platform.log,
        vms: platform.vms,
        vm_orders_per_s: orders,
        advice: platform.advice,
        shards,
        max_lease: Duration::from_millis(max_lease_ms),
        min_member_ttl: Duration::from_millis(leases.membership_least_ms),
        vm_order_exclusion: Duration::from_millis(leases.vm_order_ms),
        evacuation_limit: evacuation_ms.map(Duration::from_millis),
        ended_job_retention: Duration::from_secs(leases.keep_ended_s),
        stop_grace: Duration::from_secs(stop_grace_s),
        costs,
    })
}
