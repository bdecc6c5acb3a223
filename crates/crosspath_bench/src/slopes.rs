//! Memory, processor time, latency and bytes of real daemons, to compare several sizes.

use std::net::Ipv4Addr;
use std::path::Path;
use std::time::{Duration, Instant};

use crosspath_fakes::config::VmConfig;
use crosspath_fakes::site::{self, Manifest, Plan, Site};
use crosspath_http::client::{Client, Method};
use crosspath_state::resource::{Kind, Spec};
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use snafu::{ResultExt as _, Snafu};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;

use crate::figure::Figure;
use crate::fleet::{self, Size};

const SEED: u64 = 11;
const IDLE_PERIOD: Duration = Duration::from_secs(5);
/// Time until handovers among many daemons have ended.
const SETTLE_DELAY: Duration = Duration::from_secs(15);
/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;
const MIB: f64 = 1_048_576.0;

/// A figure that could not be measured.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The stand-ins or a daemon did not start, or a daemon did not become ready.
    #[snafu(display("{source}"))]
    Site {
        /// Error of the stand-ins or of the daemon.
        source: site::Error,
    },
    /// A file of a process, or the loopback listener, could not be used.
    #[snafu(display("cannot read {path}: {source}"))]
    Process {
        /// Path of the file, or `loopback`.
        path: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A call to a daemon or a stand-in failed.
    #[snafu(display("{source}"))]
    Call {
        /// Error of the HTTP client.
        source: crosspath_http::client::Error,
    },
}

/// Resident memory in bytes, and processor time in seconds, of a process.
fn process_usage(id: u32) -> Result<(f64, f64), Error> {
    let read = |file: &str| {
        let path = format!("/proc/{id}/{file}");
        std::fs::read_to_string(&path).context(ProcessSnafu { path })
    };
    let status = read("status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<f64>().ok());
    let stat = read("stat")?;
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let ticks = fields.split_whitespace().skip(11).take(2);
    let ticks: f64 = ticks.filter_map(|field| field.parse::<f64>().ok()).sum();
    Ok((kib.unwrap_or_default() * 1_024.0, ticks / TICKS_PER_SECOND))
}

fn resources(workers: usize) -> Vec<Manifest> {
    let state = fleet::generate(Size::scaled_to(workers), SEED).state;
    let mut resources = Vec::new();
    for kind in [Kind::Pool, Kind::Team, Kind::Vm, Kind::Job] {
        for name in state.names(kind) {
            let id = crosspath_state::resource::Id::new(kind, name);
            let Some((_, spec)) = state.resource(&id) else { continue };
            resources.push(Manifest { kind, name: id.name.to_string(), spec: spec_json(&spec) });
        }
    }
    resources
}

fn vm_configs(workers: usize) -> Vec<VmConfig> {
    let state = fleet::generate(Size::scaled_to(workers), SEED).state;
    let vms = state.vms.keys().cloned();
    vms.map(|name| VmConfig { name, address: site::any_address(), slots: 8 }).collect()
}

fn spec_json(spec: &Spec) -> Value {
    let mut value = serde_json::to_value(spec).unwrap_or_default();
    value.get_mut("spec").map(Value::take).unwrap_or_default()
}

/// Appends a fleet to the log, from which a daemon can start.
async fn preload(site: &Site, workers: usize) -> Result<(), Error> {
    let client = Client::new(site.fakes.platform, Duration::from_secs(10));
    let changes: Vec<_> = resources(workers)
        .into_iter()
        .map(|resource| {
            let spec = json!({ "kind": resource.kind, "spec": resource.spec });
            json!({
                "change": "put", "expected": null,
                "id": { "kind": resource.kind, "name": resource.name }, "spec": spec
            })
        })
        .collect();
    for (sequence, changes) in (1..).zip(changes.chunks(200)) {
        let record = json!({
            "version": 1, "entry": "batch", "decided_on": 0, "written_at": 0, "changes": changes,
            "id": { "writer": { "daemon": "loader", "incarnation": 1 }, "sequence": sequence }
        });
        let body = json!({ "data": record.to_string() });
        let appended = client.call::<Value>(Method::POST, "/log", Some(&body)).await;
        appended.context(CallSnafu)?;
    }
    Ok(())
}

/// Memory and processor time of one idle daemon with a fleet, and the time that it takes to start.
///
/// # Errors
///
/// [`Error`] when the site does not start, a call fails or a process cannot be read.
pub async fn idle_daemon(program: &Path, workers: usize) -> Result<Vec<Figure>, Error> {
    let mut plan = Plan::new(program, 1);
    plan.timing = json!({});
    plan.fakes.vms = vm_configs(workers);
    let mut site = Site::start(&plan).await.context(SiteSnafu)?;
    preload(&site, workers).await?;
    // Time to place the jobs and poll the workers.
    tokio::time::sleep(IDLE_PERIOD).await;
    let started = Instant::now();
    site.restart(0).context(SiteSnafu)?;
    site.wait_ready(0).await.context(SiteSnafu)?;
    let startup = started.elapsed();
    tokio::time::sleep(IDLE_PERIOD).await;
    let id = site.daemons[0].pid().unwrap_or_default();
    let before = process_usage(id)?;
    tokio::time::sleep(IDLE_PERIOD).await;
    let after = process_usage(id)?;
    let cpu_percent = (after.1 - before.1) / IDLE_PERIOD.as_secs_f64() * 100.0;
    let figure = |what: &str, value, unit| Figure::new(format!("{what}_{workers}"), value, unit);
    Ok(vec![
        figure("resident_mib", after.0 / MIB, "MiB"),
        figure("idle_core_percent", cpu_percent, "% of a core"),
        figure("start_ms", startup.as_secs_f64() * 1_000.0, "ms"),
    ])
}

/// Processor time of each of several idle daemons with 50 workers, and the appends of all.
///
/// # Errors
///
/// [`Error`] when the site does not start, a call fails or a process cannot be read.
pub async fn idle_daemons(program: &Path, count: usize) -> Result<Vec<Figure>, Error> {
    let mut plan = Plan::new(program, count);
    plan.timing = json!({});
    plan.fakes.vms = vm_configs(50);
    let site = Site::start(&plan).await.context(SiteSnafu)?;
    preload(&site, 50).await?;
    tokio::time::sleep(SETTLE_DELAY).await;
    let applied_revision = |site: &Site| {
        let operator = site.daemons[0].operator();
        async move {
            let status = operator.call::<Value>(Method::GET, "/v1/status", None::<&()>).await;
            status.map(|status| status["applied"].as_u64().unwrap_or_default())
        }
    };
    let process_ids: Vec<_> = site.daemons.iter().filter_map(site::Daemon::pid).collect();
    let total_cpu = || {
        process_ids.iter().map(|id| process_usage(*id).map(|(_, cpu)| cpu)).sum::<Result<f64, _>>()
    };
    let before = (total_cpu()?, applied_revision(&site).await.context(CallSnafu)?);
    tokio::time::sleep(IDLE_PERIOD).await;
    let after = (total_cpu()?, applied_revision(&site).await.context(CallSnafu)?);
    let cpu_percent = (after.0 - before.0) / IDLE_PERIOD.as_secs_f64() * 100.0 / count as f64;
    let appends = (after.1 - before.1) as f64 / IDLE_PERIOD.as_secs_f64();
    Ok(vec![
        Figure::new(format!("idle_core_percent_of_{count}_daemons"), cpu_percent, "% of a core"),
        Figure::new(format!("appends_per_s_idle_{count}_daemons"), appends, "appends/s"),
    ])
}

/// Bytes of one heartbeat and of its response on the wire.
///
/// # Errors
///
/// [`Error`] when the site does not start, a call fails or a process cannot be read.
pub async fn heartbeat_bytes(program: &Path) -> Result<Vec<Figure>, Error> {
    let plan = Plan::new(program, 2);
    let site = Site::start(&plan).await.context(SiteSnafu)?;
    let target = site.daemons[0].peers;
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
    let listener = listener.context(ProcessSnafu { path: "loopback" })?;
    // The heartbeat is sent in the second daemon's name, through a listener that relays it and
    // counts bytes.
    let (request_bytes, response_bytes) = relay_once(&listener, target, &site).await?;
    Ok(vec![
        Figure::new("beat_bytes", request_bytes, "bytes"),
        Figure::new("beat_answer_bytes", response_bytes, "bytes"),
    ])
}

/// Sends one heartbeat through `listener` to `target`. Returns the bytes of the request and of the
/// response.
async fn relay_once(
    listener: &TcpListener,
    target: std::net::SocketAddr,
    site: &Site,
) -> Result<(f64, f64), Error> {
    let address = listener.local_addr().context(ProcessSnafu { path: "loopback" })?;
    let client_link =
        crosspath_peer::RpcLink::new(address, site::PEER_TOKEN, Duration::from_secs(5));
    let Ok(client_link) = client_link else { return Ok((0.0, 0.0)) };
    let operator = site.daemons[1].operator();
    let status = operator.call::<Value>(Method::GET, "/v1/status", None::<&()>).await;
    let applied = status.context(CallSnafu)?["applied"].as_u64().unwrap_or_default();
    let heartbeat = crosspath_peer::Heartbeat {
        from: crosspath_state::record::Writer {
            daemon: "entry-2".parse().expect("a valid name"),
            incarnation: crosspath_state::record::Incarnation(1_800_000_000_000),
        },
        applied: crosspath_state::record::Revision(applied),
        in_flight: Vec::new(),
        ready: true,
    };
    let relay = async {
        let (mut from, _) = listener.accept().await?;
        let mut to = tokio::net::TcpStream::connect(target).await?;
        let mut buffer = vec![0; 65_536];
        let request_bytes = from.read(&mut buffer).await?;
        to.write_all(&buffer[..request_bytes]).await?;
        let response_bytes = to.read(&mut buffer).await?;
        from.write_all(&buffer[..response_bytes]).await?;
        Ok::<_, std::io::Error>((request_bytes as f64, response_bytes as f64))
    };
    let (byte_counts, _) =
        tokio::join!(relay, crosspath_peer::Link::heartbeat(&client_link, heartbeat));
    byte_counts.context(ProcessSnafu { path: "loopback" })
}

const CHANGES: usize = 60;
const BURST: usize = 100;

/// Time from the acceptance of a change until the last of six daemons has applied it, and from the
/// first request of a burst of 100 changes until the last daemon has applied all.
///
/// # Errors
///
/// [`Error`] when the site does not start, a call fails or a process cannot be read.
pub async fn config_propagation(program: &Path, log_latency_ms: u64) -> Result<Vec<Figure>, Error> {
    let mut plan = Plan::new(program, 6);
    plan.timing = json!({});
    plan.fakes.log_latency_ms = log_latency_ms;
    let site = Site::start(&plan).await.context(SiteSnafu)?;
    tokio::time::sleep(IDLE_PERIOD).await;
    let mut times = Histogram::<u64>::new(3).expect("three significant digits are allowed");
    for number in 0..CHANGES {
        let revision = put_team(&site, number % 6, number).await?;
        let accepted = Instant::now();
        wait_applied(&site, revision).await?;
        let millis = u64::try_from(accepted.elapsed().as_millis()).unwrap_or(u64::MAX);
        times.record(millis).expect("the histogram resizes itself");
    }
    let started = Instant::now();
    let puts = (0..BURST).map(|number| put_team(&site, number % 6, number));
    let mut latest = 0;
    for revision in futures::future::join_all(puts).await {
        latest = latest.max(revision?);
    }
    wait_applied(&site, latest).await?;
    let burst = started.elapsed().as_secs_f64() * 1_000.0;
    let figure =
        |what: &str, value| Figure::new(format!("{what}_log_{log_latency_ms}_ms"), value, "ms");
    Ok(vec![
        figure("config_in_force_ms_p50", times.value_at_quantile(0.5) as f64),
        figure("config_in_force_ms_p99", times.value_at_quantile(0.99) as f64),
        figure("burst_of_100_in_force_ms", burst),
    ])
}

/// Writes a team through one daemon. Returns the revision of the change.
async fn put_team(site: &Site, through: usize, number: usize) -> Result<u64, Error> {
    let operator = site.daemons[through].operator();
    let body = json!({ "spec": { "max_cores": number } });
    let path = format!("/v1/teams/team-{}", number % 10);
    let put = operator.call::<Value>(Method::PUT, &path, Some(&body)).await;
    Ok(put.context(CallSnafu)?["revision"].as_u64().unwrap_or_default())
}

/// Waits until every daemon lists the teams at `revision` or a later one.
async fn wait_applied(site: &Site, revision: u64) -> Result<(), Error> {
    let waits = site.daemons.iter().map(|daemon| async move {
        let operator = daemon.operator();
        loop {
            let list = operator.call::<Value>(Method::GET, "/v1/teams", None::<&()>).await;
            let applied = list.context(CallSnafu)?["revision"].as_u64();
            if applied >= Some(revision) {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    });
    futures::future::join_all(waits).await.into_iter().collect()
}
