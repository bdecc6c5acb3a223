//! Starts the daemon's listeners and tasks, waits for a signal, and shuts down.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use crosspath_border::advice::Advisor;
use crosspath_border::ingress::Handler;
use crosspath_border::store::Store;
use crosspath_border::vm::Fleet;
use crosspath_border::worker::Runner;
use crosspath_http::body;
use crosspath_http::budget::Budget;
use crosspath_http::server::{self, Limits, Stage};
use http::Response;
use snafu::{ResultExt as _, Snafu};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use crate::gateway::Gateway;
use crate::member::Member;
use crate::node::{Node, Parts};
use crate::settings::Settings;
use crate::shard::Handle;
use crate::{clock, config_sync, feed, map, membership, rpc, workers};

/// Time from reporting unready until no more connections are accepted. The balancer probes
/// readiness every second and sends no more callers after two failed probes.
const UNREADY_PERIOD: Duration = Duration::from_millis(2_600);
/// Part of the grace period that remains when requests still in flight are cut off.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(700);

/// Sixteenths of the connections that the listener for callers gets.
const CALLERS_SIXTEENTHS: usize = 8;
/// Sixteenths of the connections that the listener for peers gets. There may be hundreds of peers.
const PEERS_SIXTEENTHS: usize = 6;
/// Sixteenths of the connections that the listener for the balancer's probes gets.
const READINESS_SIXTEENTHS: usize = 1;
/// Sixteenths of the connections that the listener for metrics gets.
const METRICS_SIXTEENTHS: usize = 1;

type Serving = Pin<Box<dyn Future<Output = ()> + Send>>;
type Serve = fn(TcpListener, Limits, watch::Receiver<Stage>, Arc<dyn Handler>) -> Serving;

/// Interfaces to the platform that the daemon uses.
#[derive(Debug)]
pub struct Ports {
    /// Client of the platform's log store.
    pub store: Arc<dyn Store>,
    /// Client for calls to workers.
    pub runner: Arc<dyn Runner>,
    /// Client of the platform's VM list; `None` if VMs are not managed.
    pub fleet: Option<Arc<dyn Fleet>>,
    /// Client of the advice service; `None` if the deployment has none.
    pub advisor: Option<Arc<dyn Advisor>>,
    /// Server for the callers' interface.
    pub serve_callers: Serve,
    /// Server for the balancer's readiness probes.
    pub serve_readiness: Serve,
}

/// The daemon could not start.
#[derive(Debug, Snafu)]
pub enum RunError {
    /// A listener cannot be bound to its address.
    #[snafu(display(
        "cannot listen on {address}: {source}; check whether another process uses the address"
    ))]
    Listen {
        /// Address of the listener, from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A signal handler cannot be installed.
    #[snafu(display("cannot install signal handlers: {source}"))]
    Signals {
        /// Error of the operating system.
        source: std::io::Error,
    },
}

async fn bind(address: SocketAddr) -> Result<TcpListener, RunError> {
    TcpListener::bind(address).await.context(ListenSnafu { address })
}

/// Runs the daemon until it receives SIGTERM or SIGINT, then shuts it down.
///
/// # Errors
///
/// [`RunError`] if a listener or a signal handler cannot be set up.
pub async fn run(settings: Settings, ports: Ports) -> Result<(), RunError> {
    clock::now();
    let mut terminate = signal(SignalKind::terminate()).context(SignalsSnafu)?;
    let mut interrupt = signal(SignalKind::interrupt()).context(SignalsSnafu)?;
    let mut hangup = signal(SignalKind::hangup()).context(SignalsSnafu)?;
    let listeners = [
        bind(settings.callers).await?,
        bind(settings.readiness).await?,
        bind(settings.peers).await?,
        bind(settings.metrics).await?,
    ];
    let member = Member {
        address: settings.peers,
        name: Arc::clone(&settings.name),
        incarnation: format!("{:x}", clock::wall_ms()).into(),
        millicores: settings.millicores,
        data_centre: Some(Arc::clone(&settings.data_centre)),
    }
    .to_string();
    log::info!("event=started daemon={} member={member}", settings.name);
    let Ports { store, runner, fleet, advisor, serve_callers, serve_readiness } = ports;
    let node = Arc::new(Node::new(Parts {
        settings,
        member: member.into(),
        store,
        runner,
        fleet,
        advisor,
    }));
    let callers = serve(&node, listeners, serve_callers, serve_readiness);
    drop(tokio::spawn(feed::follow_operator_log(Arc::clone(&node))));
    drop(tokio::spawn(config_sync::run(Arc::clone(&node))));
    drop(tokio::spawn(workers::follow(Arc::clone(&node))));
    drop(tokio::spawn(map::run(Arc::clone(&node))));
    let member = tokio::spawn(membership::run(Arc::clone(&node)));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            // No setting can change while the daemon runs, so SIGHUP has no effect on requests.
            _ = hangup.recv() => log::info!("event=settings_unchanged"),
        }
    }
    stop(&node, member, callers).await;
    Ok(())
}

fn serve(
    node: &Arc<Node>,
    listeners: [TcpListener; 4],
    serve_callers: Serve,
    serve_readiness: Serve,
) -> tokio::task::JoinHandle<()> {
    let [callers, readiness, peers, metrics] = listeners;
    let handler: Arc<dyn Handler> = Arc::new(Gateway::new(Arc::clone(node)));
    let internal_stage = node.internal_stage.subscribe();
    let capacity = node.settings.capacity;
    let pressure = &node.metrics.pressure;
    let caller_bodies = Budget::new(capacity.caller_body_bytes(), pressure.clone());
    let peer_bodies = Budget::new(capacity.peer_body_bytes(), pressure.clone());
    let limits = |sixteenths, budget: &Budget| Limits {
        connections: capacity.connections(sixteenths),
        budget: budget.clone(),
        pressure: pressure.clone(),
        ..Limits::default()
    };
    let readiness_limits = limits(READINESS_SIXTEENTHS, &caller_bodies);
    let stage = internal_stage.clone();
    drop(tokio::spawn(serve_readiness(readiness, readiness_limits, stage, Arc::clone(&handler))));
    let peer_limits = limits(PEERS_SIXTEENTHS, &peer_bodies);
    drop(tokio::spawn(rpc::serve(peers, peer_limits, internal_stage.clone(), Arc::clone(node))));
    let metrics_limits = limits(METRICS_SIXTEENTHS, &caller_bodies);
    drop(tokio::spawn(serve_metrics(metrics, metrics_limits, internal_stage, Arc::clone(node))));
    let caller_limits = limits(CALLERS_SIXTEENTHS, &caller_bodies);
    tokio::spawn(serve_callers(callers, caller_limits, node.stage.subscribe(), handler))
}

async fn serve_metrics(
    listener: TcpListener,
    limits: Limits,
    stop: watch::Receiver<Stage>,
    node: Arc<Node>,
) {
    server::serve(listener, limits, stop, move |_, _| {
        let cold_workers = node.owned().values().map(Handle::cold_workers).sum();
        node.metrics.shards.set_cold_workers(cold_workers);
        let text = node.metrics.encode();
        async move { Response::new(body::full(text)) }
    })
    .await;
}

/// Shuts down. First reports unready, so that the balancer sends callers to other daemons, and
/// leaves the group, so that it reassigns the shards. Then accepts no more connections while
/// requests in flight finish.
async fn stop(
    node: &Arc<Node>,
    member: tokio::task::JoinHandle<()>,
    callers: tokio::task::JoinHandle<()>,
) {
    let started_at = clock::now();
    log::info!("event=stopping");
    node.stopping.send_replace(true);
    // A join still in flight could make this daemon a member again after it has left.
    member.await.ok();
    membership::leave(node).await;
    tokio::time::sleep((started_at + UNREADY_PERIOD).saturating_sub(clock::now())).await;
    node.stage.send_replace(Stage::Finishing);
    let remaining =
        (started_at + node.settings.stop_grace).saturating_sub(clock::now() + SHUTDOWN_MARGIN);
    if tokio::time::timeout(remaining, callers).await.is_err() {
        log::warn!("event=stop_cut_off");
    }
    node.stage.send_replace(Stage::Ended);
    log::info!("event=stopped after_ms={}", clock::now().saturating_sub(started_at).as_millis());
}
