//! A whole site for tests, the quick start and the bench: stand-ins in this process and real
//! daemons as processes, which can be killed, frozen and replaced.

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

/// The operator's token at every site.
pub const OPERATOR_TOKEN: &str = "operator-demo-token";

/// The token of an operator who may only read.
pub const READER_TOKEN: &str = "reader-demo-token";

/// What the daemons of every site show each other.
pub const PEER_TOKEN: &str = "peer-demo-token-0123456789";
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
const START_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A site that does not do what it was started for.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The stand-ins did not start.
    #[snafu(display("{source}"))]
    Fakes {
        /// Why.
        source: StartError,
    },
    /// A file cannot be used.
    #[snafu(display("{}: {source}", file.display()))]
    File {
        /// Which.
        file: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// A file is not of the right shape.
    #[snafu(display("{}: {source}", file.display()))]
    Parse {
        /// Which.
        file: PathBuf,
        /// Why.
        source: serde_json::Error,
    },
    /// A process cannot be started.
    #[snafu(display("cannot start {}: {source}", program.display()))]
    Spawn {
        /// Which.
        program: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// A call failed.
    #[snafu(display("{source}"))]
    Call {
        /// Why.
        source: client::Error,
    },
    /// Something did not happen in time.
    #[snafu(display("{what} did not happen within {} ms", limit.as_millis()))]
    Timeout {
        /// What.
        what: String,
        /// The limit.
        limit: Duration,
    },
}

/// A resource as it stands in a deployment's file.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Manifest {
    /// Its kind.
    pub kind: crosspath_state::resource::Kind,
    /// Its name.
    pub name: String,
    /// Its spec.
    pub spec: Value,
}

/// What a site is made of.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The daemon's program.
    pub program: PathBuf,
    /// How many daemons.
    pub daemons: usize,
    /// Data centres, which the daemons are spread over.
    pub data_centres: Vec<String>,
    /// What is declared; the addresses of VMs are replaced by those of the stand-ins.
    pub resources: Vec<Manifest>,
    /// Timing of the daemons, as in their settings.
    pub timing: Value,
    /// Limits of the daemons, as in their settings.
    pub limits: Value,
    /// What the stand-ins play; VMs are taken from the resources.
    pub fakes: Config,
    /// Whether links between daemons, and to the platform, can be cut.
    pub relayed_links: bool,
}

impl Plan {
    /// A plan without resources and with short leases.
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

    /// Adds a resource.
    #[must_use]
    pub fn with(mut self, kind: crosspath_state::resource::Kind, name: &str, spec: Value) -> Self {
        self.resources.push(Manifest { kind, name: name.to_owned(), spec });
        self
    }
}

/// Any free loopback address.
#[must_use]
pub fn any_address() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// One daemon of a site.
#[derive(Debug)]
pub struct Daemon {
    /// Its name.
    pub name: String,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where operators connect.
    pub operators: SocketAddr,
    /// Where peers connect.
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

    /// Ends the process at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Stops the process from running until it is thawed.
    pub fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Lets the process run again.
    pub fn thaw(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Asks for a planned stop.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        match &mut self.child {
            Some(child) => matches!(child.try_wait(), Ok(Some(_))),
            None => true,
        }
    }

    /// Id of the process.
    #[must_use]
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// A client of the resource API.
    #[must_use]
    pub fn operator(&self) -> Client {
        Client::new(self.operators, CALL_TIMEOUT).with_token(OPERATOR_TOKEN)
    }

    /// Whether the daemon says that it is ready.
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

/// Running stand-ins and daemons.
#[derive(Debug)]
pub struct Site {
    /// The stand-ins.
    pub fakes: Fakes,
    /// The daemons.
    pub daemons: Vec<Daemon>,
    links: Vec<Link>,
    program: PathBuf,
    directory: TempDir,
}

/// A link that one daemon uses, to another or to the platform.
#[derive(Debug)]
struct Link {
    from: usize,
    /// The other daemon; none for the platform.
    to: Option<usize>,
    relay: Relay,
}

impl Site {
    /// Starts the stand-ins and the daemons, and waits until every daemon is ready.
    ///
    /// # Errors
    ///
    /// [`Error`].
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

    /// Starts a daemon again under its name, as when its VM is replaced.
    ///
    /// # Errors
    ///
    /// [`Error::Spawn`] or [`Error::File`].
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

    /// Waits until a daemon is ready and a member.
    ///
    /// # Errors
    ///
    /// [`Error::Timeout`].
    pub async fn wait_ready(&self, index: usize) -> Result<(), Error> {
        let daemon = &self.daemons[index];
        self.wait(START_TIMEOUT, &format!("{} ready", daemon.name), async || {
            daemon.is_ready().await && has_valid_lease(daemon).await
        })
        .await
    }

    /// Cuts a daemon off from the platform and from every other daemon, or heals that. Callers and
    /// upstreams still reach it.
    pub fn set_isolated(&self, index: usize, isolated: bool) {
        let affected = self.links.iter().filter(|l| l.from == index || l.to == Some(index));
        affected.for_each(|link| link.relay.set_blocked(isolated));
    }

    /// Cuts a daemon off from the platform only, or heals that.
    pub fn set_isolated_from_platform(&self, index: usize, isolated: bool) {
        let affected = self.links.iter().filter(|link| link.from == index && link.to.is_none());
        affected.for_each(|link| link.relay.set_blocked(isolated));
    }

    /// Waits until `met` says so.
    ///
    /// # Errors
    ///
    /// [`Error::Timeout`].
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

    /// Declares resources through one daemon.
    ///
    /// # Errors
    ///
    /// [`Error::Call`].
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

    /// What a daemon wrote to its log.
    #[must_use]
    pub fn log_of(&self, index: usize) -> String {
        let file = self.directory.path().join(format!("{}.log", self.daemons[index].name));
        std::fs::read_to_string(file).unwrap_or_default()
    }

    /// Sends a request as a caller and reads the whole answer.
    ///
    /// # Errors
    ///
    /// [`client::Error`].
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

/// Relays for every link, if links can be cut.
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

/// Reads the resources of a deployment.
///
/// # Errors
///
/// [`Error::File`] or [`Error::Shape`].
pub fn read_resources(file: &Path) -> Result<Vec<Manifest>, Error> {
    let text = std::fs::read_to_string(file).context(FileSnafu { file })?;
    serde_json::from_str(&text).context(ParseSnafu { file })
}
