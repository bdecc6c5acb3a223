//! HTTP interfaces of the fake platform. Requests under `/fakes` control the fakes themselves.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crosspath_http::Body;
use crosspath_http::body;
use crosspath_http::body::Inbound;
use crosspath_http::server::{self, Limits, Stage};
use crosspath_log::{Append, Appended};
use crosspath_state::name::{JobName, VmName};
use crosspath_state::record::Revision;
use crosspath_vm_list::Entry;
use crosspath_worker::JobState;
use http::{Method, Request, Response, StatusCode};
use serde::de::DeserializeOwned;
use snafu::{ResultExt as _, Snafu};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::config::{Config, VmConfig};
use crate::ledger::Ledger;
use crate::log_store::LogStore;
use crate::upstream::{self, Shared};
use crate::vm::{Audit, Vm};

const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Failure to bind an address while the fakes start.
#[derive(Debug, Snafu)]
#[snafu(display("cannot listen on {address}: {source}"))]
pub struct StartError {
    address: SocketAddr,
    source: std::io::Error,
}

/// Running fakes; they stop when this is dropped.
#[derive(Debug)]
pub struct Fakes {
    /// Listen address of the platform's interfaces.
    pub platform: SocketAddr,
    /// Listen address of each VM.
    pub vms: BTreeMap<VmName, SocketAddr>,
    inner: Arc<Inner>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
    _stop: watch::Sender<Stage>,
}

#[derive(Debug)]
struct Inner {
    log: LogStore,
    vms: BTreeMap<VmName, Arc<Vm>>,
    shared: Arc<Shared>,
    reboot: Duration,
    list_lag: Duration,
}

async fn bind(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.context(StartSnafu { address })
}

impl Fakes {
    /// Starts the platform and all VMs of the configuration.
    ///
    /// # Errors
    ///
    /// [`StartError`] if an address cannot be bound.
    pub async fn start(config: &Config) -> Result<Self, StartError> {
        let service = config.service_ms.iter();
        let service = service.map(|(name, ms)| (name.clone(), Duration::from_millis(*ms)));
        let shared = Arc::new(Shared { ledger: Ledger::default(), service: service.collect() });
        let mut tasks = Vec::new();
        let mut vms = BTreeMap::new();
        for vm in &config.vms {
            let (vm, task) = start_vm(vm, &shared).await?;
            vms.insert(vm.name.clone(), vm);
            tasks.push(task);
        }
        let latency = Duration::from_millis(config.log_latency_ms);
        let addresses = vms.iter().map(|(name, vm)| (name.clone(), vm.address)).collect();
        let inner = Arc::new(Inner {
            log: LogStore::new(latency, config.log_retention),
            vms,
            shared,
            reboot: Duration::from_millis(config.reboot_ms),
            list_lag: Duration::from_millis(config.vm_list_lag_ms),
        });
        let listener = bind(config.platform).await?;
        let platform = listener.local_addr().context(StartSnafu { address: config.platform })?;
        let (stop, stopped) = watch::channel(Stage::Serving);
        let serving = Arc::clone(&inner);
        let handle = move |request: Request<Inbound>, _: SocketAddr| {
            let inner = Arc::clone(&serving);
            async move { inner.handle(request).await }
        };
        let serve = server::serve(listener, Limits::default(), stopped, handle);
        tasks.push(tokio::spawn(serve));
        Ok(Self { platform, vms: addresses, inner, tasks, _stop: stop })
    }

    /// Counts of the payments that upstreams ran.
    #[must_use]
    pub fn ledger(&self) -> &Ledger {
        &self.inner.shared.ledger
    }

    /// State and counters of every VM.
    #[must_use]
    pub fn audits(&self) -> Vec<Audit> {
        self.inner.vms.values().map(|vm| vm.audit()).collect()
    }

    /// Replaces the injected faults of the log.
    pub fn set_log_fault(&self, fault: crate::fault::LogFault) {
        self.inner.log.set_fault(fault);
    }

    /// Replaces the injected faults of a VM. Unknown names are ignored.
    pub fn set_vm_fault(&self, vm: &VmName, fault: crate::fault::VmFault) {
        if let Some(vm) = self.inner.vms.get(vm) {
            vm.set_fault(fault);
        }
    }

    /// Takes a VM down or brings it up. Unknown names are ignored. The connections of a VM that goes
    /// down are closed soon after, see [`Self::has_open_connections`].
    pub fn set_up(&self, vm: &VmName, up: bool) {
        if let Some(vm) = self.inner.vms.get(vm) {
            vm.set_up(up);
        }
    }

    /// Whether some connection to a VM is open. Unknown names have none.
    #[must_use]
    pub fn has_open_connections(&self, vm: &VmName) -> bool {
        self.inner.vms.get(vm).is_some_and(|vm| vm.has_open_connections())
    }
}

impl Drop for Fakes {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

async fn start_vm(
    config: &VmConfig,
    shared: &Arc<Shared>,
) -> Result<(Arc<Vm>, tokio::task::JoinHandle<()>), StartError> {
    let listener = bind(config.address).await?;
    let address = listener.local_addr().context(StartSnafu { address: config.address })?;
    let vm = Arc::new(Vm::new(config.name.clone(), address, config.slots));
    let task = tokio::spawn(upstream::serve(listener, Arc::clone(&vm), Arc::clone(shared)));
    Ok((vm, task))
}

fn empty_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(body::full("null"));
    *response.status_mut() = status;
    response
}

fn ok(value: &impl serde::Serialize) -> Response<Body> {
    body::json(StatusCode::OK, value)
}

impl Inner {
    async fn handle(self: Arc<Self>, request: Request<Inbound>) -> Response<Body> {
        let (parts, incoming) = request.into_parts();
        let Ok(bytes) = body::read(incoming, MAX_BODY_BYTES, BODY_TIMEOUT).await else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        let path = parts.uri.path().to_owned();
        let segments: Vec<&str> = path.split('/').filter(|part| !part.is_empty()).collect();
        let query = parts.uri.query().unwrap_or_default();
        match (&parts.method, &segments[..]) {
            (&Method::POST, ["log"]) => self.append(&bytes).await,
            (&Method::GET, ["log"]) => self.read(query).await,
            (&Method::GET, ["vms"]) => ok(&self.list()),
            (&Method::GET, ["fakes", "audit"]) => {
                ok(&self.vms.values().map(|vm| vm.audit()).collect::<Vec<_>>())
            }
            (&Method::GET, ["fakes", "ledger"]) => ok(&self.shared.ledger.runs()),
            (&Method::PUT, ["fakes", "log"]) => {
                with_body(&bytes, |fault| self.log.set_fault(fault))
            }
            (method, [scope @ ("fakes" | "workers"), vm, subpath @ ..]) => {
                let vm = VmName::new(vm).ok().and_then(|vm| self.vms.get(&vm).cloned());
                let Some(vm) = vm else {
                    return empty_response(StatusCode::NOT_FOUND);
                };
                self.vm(method, scope, vm, subpath, &bytes)
            }
            _ => empty_response(StatusCode::NOT_FOUND),
        }
    }

    fn vm(
        &self,
        method: &Method,
        scope: &str,
        vm: Arc<Vm>,
        subpath: &[&str],
        bytes: &[u8],
    ) -> Response<Body> {
        match (method, scope, subpath) {
            (&Method::GET, "workers", []) => ok(&vm.report()),
            (&Method::PUT, "workers", ["drained"]) => {
                with_body(bytes, |drained| vm.set_drained(drained))
            }
            (&Method::PUT, "workers", ["reboot"]) => with_body(bytes, |id| self.reboot(&vm, id)),
            (&Method::PUT, "workers", ["jobs", job]) => {
                let Ok(job) = JobName::new(job) else {
                    return empty_response(StatusCode::BAD_REQUEST);
                };
                let Ok(state) = serde_json::from_slice::<JobState>(bytes) else {
                    return empty_response(StatusCode::BAD_REQUEST);
                };
                let done = vm.set_job(job, state);
                empty_response(if done { StatusCode::OK } else { StatusCode::CONFLICT })
            }
            (&Method::PUT, "fakes", ["fault"]) => with_body(bytes, |fault| vm.set_fault(fault)),
            (&Method::PUT, "fakes", ["up"]) => with_body(bytes, |up| vm.set_up(up)),
            _ => empty_response(StatusCode::NOT_FOUND),
        }
    }

    fn reboot(&self, vm: &Arc<Vm>, id: String) {
        if !vm.begin_reboot(id) {
            return;
        }
        let (vm, time) = (Arc::clone(vm), self.reboot);
        tokio::spawn(async move {
            tokio::time::sleep(time).await;
            vm.set_up(true);
        });
    }

    async fn append(&self, bytes: &[u8]) -> Response<Body> {
        let Ok(append) = serde_json::from_slice::<Append>(bytes) else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        match self.log.append(append.data).await {
            Some(offset) => ok(&Appended { offset }),
            None => empty_response(StatusCode::SERVICE_UNAVAILABLE),
        }
    }

    async fn read(&self, query: &str) -> Response<Body> {
        let number = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).and_then(|(_, value)| value.parse().ok())
        };
        let after = Revision(number("after").unwrap_or_default());
        let wait = Duration::from_millis(number("wait_ms").unwrap_or_default());
        match self.log.read(after, wait).await {
            Some(page) => ok(&page),
            None => empty_response(StatusCode::SERVICE_UNAVAILABLE),
        }
    }

    fn list(&self) -> Vec<Entry> {
        let entry =
            |vm: &Arc<Vm>| Entry { vm: vm.name.clone(), liveness: vm.liveness(self.list_lag) };
        self.vms.values().map(entry).collect()
    }
}

fn with_body<T: DeserializeOwned>(bytes: &[u8], action: impl FnOnce(T)) -> Response<Body> {
    match serde_json::from_slice(bytes) {
        Ok(value) => {
            action(value);
            ok(&())
        }
        Err(_) => empty_response(StatusCode::BAD_REQUEST),
    }
}
