//! Complete site for tests, the quick start and the benchmark: fakes in this process, and daemons
//! as separate processes that can be killed, suspended and restarted.

mod port;
mod relay;

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use bytes::Bytes;
use crosspath_http::client::{self, Client, Method, Response, StatusCode};
use crosspath_state::name::VmName;
use http::Request;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use snafu::{ResultExt as _, Snafu};
use tempfile::TempDir;

use crate::config::{Config, VmConfig};
use crate::platform::{Fakes, StartError};
use relay::Relay;

/// Token of the operator who may read and write.
pub const OPERATOR_TOKEN: &str = "operator-demo-token";

/// Token of the operator who may only read.
pub const READER_TOKEN: &str = "reader-demo-token";

/// Token with which the daemons of a site authenticate to each other.
pub const PEER_TOKEN: &str = "peer-demo-token-0123456789";
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
const START_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Failure to start or control a site.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The fakes could not be started.
    #[snafu(display("{source}"))]
    Fakes {
        /// Error that the fakes reported.
        source: StartError,
    },
    /// A file, directory or local listener cannot be opened or used.
    #[snafu(display("cannot use {}: {source}", file.display()))]
    File {
        /// Path, or a description of what has no path.
        file: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The content of a file cannot be parsed.
    #[snafu(display("cannot parse {}: {source}", file.display()))]
    Parse {
        /// Path of the rejected file.
        file: PathBuf,
        /// Position and cause of the parse error.
        source: serde_json::Error,
    },
    /// A daemon process cannot be started.
    #[snafu(display("cannot start {}: {source}", program.display()))]
    Spawn {
        /// Path of the program.
        program: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A call to a daemon failed.
    #[snafu(display("{source}"))]
    Call {
        /// Error of the HTTP client.
        source: client::Error,
    },
    /// A condition was not met in time.
    #[snafu(display("condition not met within {} ms: {what}", limit.as_millis()))]
    Timeout {
        /// Description of the condition.
        what: String,
        /// Time limit that was exceeded.
        limit: Duration,
    },
}

/// Resource as it is written in a deployment's file.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Manifest {
    /// Kind of the resource.
    pub kind: crosspath_state::resource::Kind,
    /// Name of the resource, unique within its kind.
    pub name: String,
    /// Desired state, as accepted by the resource API.
    pub spec: Value,
}

/// Composition and settings of a site.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Path of the daemon's program.
    pub program: PathBuf,
    /// Number of daemons.
    pub daemons: usize,
    /// Data centres over which the daemons are spread; not empty.
    pub data_centres: Vec<String>,
    /// Resources to declare. The addresses of VMs are replaced by those of the fakes.
    pub resources: Vec<Manifest>,
    /// Section `timing` of the daemons' settings.
    pub timing: Value,
    /// Section `limits` of the daemons' settings.
    pub limits: Value,
    /// Configuration of the fakes. The VMs of `resources` are added to it.
    pub fakes: Config,
    /// Whether connections between daemons and to the platform go through relays, so that daemons
    /// can be isolated.
    pub relayed_links: bool,
}

impl Plan {
    /// Creates a plan without resources and with short leases.
    #[must_use]
    pub fn new(program: impl Into<PathBuf>, daemons: usize) -> Self {
        Self {
            program: program.into(),
            daemons,
            data_centres: vec!["dc-1".to_owned()],
            resources: Vec::new(),
            timing: json!({
                "heartbeat_ms": 200, "lease_ms": 1000, "tenure_ms": 2000, "decide_ms": 20, "skew_ms": 50,
                "platform_timeout_ms": 1000, "stop_wait_ms": 300
            }),
            limits: json!({}),
            fakes: Config {
                platform: any_address(),
                vms: Vec::new(),
                log_latency_ms: 5,
                log_retention: 100_000,
                reboot_ms: 200,
                service_ms: Default::default(),
                vm_list_lag_ms: 200,
            },
            relayed_links: false,
        }
    }

    /// Adds a resource to declare.
    #[must_use]
    pub fn with(mut self, kind: crosspath_state::resource::Kind, name: &str, spec: Value) -> Self {
        self.resources.push(Manifest { kind, name: name.to_owned(), spec });
        self
    }
}

/// Loopback address with port 0, which selects a free port.
#[must_use]
pub fn any_address() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Daemon process of a site.
#[derive(Debug)]
pub struct Daemon {
    /// Name of the daemon, as in its settings.
    pub name: String,
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address for operators.
    pub operators: SocketAddr,
    /// Listen address for other daemons.
    pub peers: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
}

impl Daemon {
    fn signal(&self, signal: Signal) {
        let id = self.child.as_ref().and_then(|child| i32::try_from(child.id()).ok());
        if let Some(id) = id {
            let _ = kill(Pid::from_raw(id), signal);
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Suspends the process with SIGSTOP until [`Self::thaw`] is called.
    pub fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Resumes a suspended process.
    pub fn thaw(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Requests a graceful shutdown with SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Whether the process has ended or was never started.
    pub fn has_ended(&mut self) -> bool {
        match &mut self.child {
            Some(child) => matches!(child.try_wait(), Ok(Some(_))),
            None => true,
        }
    }

    /// Identifier of the process; `None` if it was killed or never started.
    #[must_use]
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Creates a client of the resource API that may read and write.
    #[must_use]
    pub fn operator(&self) -> Client {
        Client::new(self.operators, CALL_TIMEOUT).with_token(OPERATOR_TOKEN)
    }

    /// Whether the daemon reports that it is ready.
    pub async fn is_ready(&self) -> bool {
        let client = Client::new(self.operators, Duration::from_millis(300));
        let answer = client.send(Request::get("/readyz"), Bytes::new()).await;
        answer.is_ok_and(|answer| answer.head.status == StatusCode::OK)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Running fakes and daemons.
#[derive(Debug)]
pub struct Site {
    /// Fakes of the platform and the upstreams.
    pub fakes: Fakes,
    /// Daemons in the order of their index.
    pub daemons: Vec<Daemon>,
    links: Vec<Link>,
    program: PathBuf,
    directory: TempDir,
}

/// Relayed link from one daemon to another or to the platform.
#[derive(Debug)]
struct Link {
    from: usize,
    /// Index of the other daemon; `None` for the platform.
    to: Option<usize>,
    relay: Relay,
}

impl Site {
    /// Starts the fakes and the daemons, and waits until every daemon is ready.
    ///
    /// # Errors
    ///
    /// Any [`Error`] except [`Error::Call`] and [`Error::Parse`].
    pub async fn start(plan: &Plan) -> Result<Self, Error> {
        let mut fakes = plan.fakes.clone();
        fakes.vms.extend(plan.resources.iter().filter_map(vm_config));
        let fakes = Fakes::start(&fakes).await.context(FakesSnafu)?;
        let directory = tempfile::tempdir().context(FileSnafu { file: "temporary directory" })?;
        let daemons = daemons(plan, directory.path());
        let links = links(plan, fakes.platform, &daemons).await?;
        for (index, daemon) in daemons.iter().enumerate() {
            let settings = settings(plan, fakes.platform, &daemons, &links, index);
            let file = &daemon.settings;
            std::fs::write(file, settings.to_string()).context(FileSnafu { file })?;
        }
        let program = plan.program.clone();
        let mut site = Self { fakes, daemons, links, program, directory };
        for index in 0..site.daemons.len() {
            site.restart(index)?;
        }
        for index in 0..site.daemons.len() {
            site.wait_ready(index).await?;
        }
        Ok(site)
    }

    /// Kills a daemon and starts it again under the same name, as when its VM is replaced.
    ///
    /// # Errors
    ///
    /// [`Error::Spawn`] if the process cannot be started, [`Error::File`] if its log cannot be
    /// opened.
    pub fn restart(&mut self, index: usize) -> Result<(), Error> {
        let daemon = &mut self.daemons[index];
        daemon.kill();
        let file = self.directory.path().join(format!("{}.log", daemon.name));
        let log = File::options().create(true).append(true).open(&file);
        let log = log.context(FileSnafu { file: &file })?;
        let errors = log.try_clone().context(FileSnafu { file: &file })?;
        let program = &self.program;
        let child = Command::new(program)
            .arg("--settings")
            .arg(&daemon.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .context(SpawnSnafu { program })?;
        daemon.child = Some(child);
        Ok(())
    }

    /// Waits until a daemon is ready and holds a valid member lease.
    ///
    /// # Errors
    ///
    /// [`Error::Timeout`] after the time limit.
    pub async fn wait_ready(&self, index: usize) -> Result<(), Error> {
        let daemon = &self.daemons[index];
        self.wait(START_TIMEOUT, &format!("{} ready", daemon.name), async || {
            daemon.is_ready().await && has_valid_lease(daemon).await
        })
        .await
    }

    /// Isolates a daemon from the platform and all other daemons, or ends the isolation. Its
    /// connections with callers and upstreams remain. Needs [`Plan::relayed_links`].
    pub fn set_isolated(&self, index: usize, isolated: bool) {
        let affected = self.links.iter().filter(|l| l.from == index || l.to == Some(index));
        affected.for_each(|link| link.relay.set_blocked(isolated));
    }

    /// Isolates a daemon from the platform only, or ends the isolation. Needs
    /// [`Plan::relayed_links`].
    pub fn set_isolated_from_platform(&self, index: usize, isolated: bool) {
        let affected = self.links.iter().filter(|link| link.from == index && link.to.is_none());
        affected.for_each(|link| link.relay.set_blocked(isolated));
    }

    /// Polls `condition` until it returns `true`.
    ///
    /// # Errors
    ///
    /// [`Error::Timeout`] after the time limit.
    pub async fn wait(
        &self,
        limit: Duration,
        what: &str,
        condition: impl AsyncFn() -> bool,
    ) -> Result<(), Error> {
        let started = Instant::now();
        while !condition().await {
            if started.elapsed() > limit {
                return TimeoutSnafu { what, limit }.fail();
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Writes resources through one daemon's resource API, in their order.
    ///
    /// # Errors
    ///
    /// [`Error::Call`] for the first resource that the daemon does not accept.
    pub async fn declare(&self, index: usize, resources: &[Manifest]) -> Result<(), Error> {
        let operator = self.daemons[index].operator();
        for resource in resources {
            let mut spec = resource.spec.clone();
            let vm = resource.name.parse::<VmName>().ok();
            if let Some(address) = vm.and_then(|vm| self.fakes.vms.get(&vm)) {
                spec["address"] = json!(address);
            }
            let path = format!("/v1/{}/{}", resource.kind, resource.name);
            let body = json!({ "spec": spec });
            let put = operator.call::<Value>(Method::PUT, &path, Some(&body)).await;
            put.context(CallSnafu)?;
        }
        Ok(())
    }

    /// Content of the log of a daemon, over all its restarts; empty if it cannot be read.
    #[must_use]
    pub fn log_of(&self, index: usize) -> String {
        let file = self.directory.path().join(format!("{}.log", self.daemons[index].name));
        std::fs::read_to_string(file).unwrap_or_default()
    }

    /// Sends a request as a caller and reads the whole response.
    ///
    /// # Errors
    ///
    /// [`client::Error`] if no whole response arrives in time.
    pub async fn send(
        &self,
        index: usize,
        token: &str,
        request: http::request::Builder,
        body: &str,
    ) -> Result<Response, client::Error> {
        let client = Client::new(self.daemons[index].callers, CALL_TIMEOUT).with_token(token);
        client.send(request, Bytes::copy_from_slice(body.as_bytes())).await
    }
}

async fn has_valid_lease(daemon: &Daemon) -> bool {
    let status = daemon.operator().call::<Value>(Method::GET, "/v1/status", None::<&()>).await;
    status.is_ok_and(|status| status["lease_valid"] == json!(true))
}

fn vm_config(resource: &Manifest) -> Option<VmConfig> {
    let is_vm = resource.kind == crosspath_state::resource::Kind::Vm;
    let name = is_vm.then(|| resource.name.parse().ok()).flatten()?;
    let slots = resource.spec.get("slots").and_then(Value::as_u64).unwrap_or_default();
    Some(VmConfig { name, address: any_address(), slots: u32::try_from(slots).unwrap_or(u32::MAX) })
}

fn daemons(plan: &Plan, directory: &Path) -> Vec<Daemon> {
    let ports = port::find_free(plan.daemons * 3);
    let address = |place: usize| SocketAddr::from((Ipv4Addr::LOCALHOST, ports[place]));
    let daemon = |index: usize| {
        let name = format!("entry-{}", index + 1);
        Daemon {
            settings: directory.join(format!("{name}.json")),
            name,
            callers: address(index * 3),
            operators: address(index * 3 + 1),
            peers: address(index * 3 + 2),
            child: None,
        }
    };
    (0..plan.daemons).map(daemon).collect()
}

/// Starts a relay for every link if the plan asks for relayed links.
async fn links(plan: &Plan, platform: SocketAddr, daemons: &[Daemon]) -> Result<Vec<Link>, Error> {
    let mut links = Vec::new();
    let all = || 0..daemons.len();
    let pairs = all().flat_map(|from| {
        let peers = all().filter(move |to| *to != from).map(Some);
        peers.chain([None]).map(move |to| (from, to))
    });
    for (from, to) in pairs.filter(|_| plan.relayed_links) {
        let address = to.map_or(platform, |to| daemons[to].peers);
        let relay = Relay::start(address).await.context(FileSnafu { file: "loopback" })?;
        links.push(Link { from, to, relay });
    }
    Ok(links)
}

fn settings(
    plan: &Plan,
    platform: SocketAddr,
    daemons: &[Daemon],
    links: &[Link],
    index: usize,
) -> Value {
    let own = &daemons[index];
    let through = |to: Option<usize>, direct: SocketAddr| {
        let link = links.iter().find(|link| link.from == index && link.to == to);
        link.map_or(direct, |link| link.relay.address)
    };
    let peers = daemons.iter().enumerate().filter(|(other, _)| *other != index);
    let peers = peers.map(
        |(other, peer)| json!({ "name": peer.name, "address": through(Some(other), peer.peers) }),
    );
    let operator = |name: &str, token: &str, rights: &[&str]| {
        let token = crosspath_settings::token::Hash::of(token).to_hex();
        json!({ "name": name, "token_sha256": token, "rights": rights })
    };
    json!({
        "name": own.name,
        "data_centre": plan.data_centres[index % plan.data_centres.len()],
        "listen": { "callers": own.callers, "operators": own.operators, "peers": own.peers },
        "peers": peers.collect::<Vec<_>>(),
        "peer_token": PEER_TOKEN,
        "platform": through(None, platform),
        "operators": [
            operator("demo", OPERATOR_TOKEN, &["read", "write"]),
            operator("reader", READER_TOKEN, &["read"]),
        ],
        "limits": plan.limits,
        "timing": plan.timing,
    })
}

/// Reads the resources from a deployment's file.
///
/// # Errors
///
/// [`Error::File`] if the file cannot be read, [`Error::Parse`] if it is not a list of resources.
pub fn read_resources(file: &Path) -> Result<Vec<Manifest>, Error> {
    let text = std::fs::read_to_string(file).context(FileSnafu { file })?;
    serde_json::from_str(&text).context(ParseSnafu { file })
}
