//! Starts the daemon's listeners and tasks, and runs them until a signal to stop arrives.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crosspath_http::budget::Budget;
use crosspath_http::capacity::Capacity;
use crosspath_http::server::{Limits, Stage};
use crosspath_log::HttpLog;
use crosspath_operator as operator;
use crosspath_peer::{Access, Link, RpcLink};
use crosspath_settings::Settings;
use crosspath_settings::token::Hash;
use crosspath_vm_list::HttpVmList;
use crosspath_worker::HttpWorker;
use snafu::{ResultExt as _, Snafu};
use tokio::net::TcpListener;

use crate::api::Api;
use crate::committer::{self, Committer};
use crate::core::{Core, Dependencies};
use crate::gateway::{CallerHandler, Gateway};
use crate::peers::PeerHandler;
use crate::stop::{self, Signals};
use crate::{driver, follower, membership, snapshotter, watcher};

const MAX_OPERATOR_BODY_BYTES: u64 = 1024 * 1024;
/// Sixteenths of the connections that the listener for callers gets.
const CALLERS_SIXTEENTHS: usize = 8;
/// Sixteenths of the connections that the listener for operators gets.
const OPERATORS_SIXTEENTHS: usize = 3;
/// Sixteenths of the connections that the listener for peers gets.
const PEERS_SIXTEENTHS: usize = 5;

/// The daemon could not start.
#[derive(Debug, Snafu)]
pub enum RunError {
    /// A listener could not be bound to its address.
    #[snafu(display("cannot listen on {address}: {source}; is another process there?"))]
    Listen {
        /// Address and port of the listener.
        address: SocketAddr,
        /// Error returned by the operating system.
        source: std::io::Error,
    },
    /// The client for a peer could not be created from the settings.
    #[snafu(display("cannot create client for peer {address}: {source}"))]
    Peer {
        /// Address and port of the peer.
        address: SocketAddr,
        /// Why the client could not be created.
        #[snafu(source(from(crosspath_peer::BuildError, Box::new)))]
        source: Box<crosspath_peer::BuildError>,
    },
    /// The signal handlers could not be installed.
    #[snafu(display("cannot install signal handlers: {source}"))]
    Signals {
        /// Error returned by the operating system.
        source: std::io::Error,
    },
}

async fn bind(address: SocketAddr) -> Result<TcpListener, RunError> {
    TcpListener::bind(address).await.context(ListenSnafu { address })
}

fn build_links(
    settings: &Settings,
) -> Result<BTreeMap<crosspath_state::name::DaemonName, Arc<dyn Link>>, RunError> {
    let timeout = call_timeout(settings);
    let mut links: BTreeMap<_, Arc<dyn Link>> = BTreeMap::new();
    for peer in &settings.peers {
        let address = peer.address;
        let link = RpcLink::new(address, &settings.peer_token, timeout);
        links.insert(peer.name.clone(), Arc::new(link.context(PeerSnafu { address })?));
    }
    Ok(links)
}

/// A call to a peer must time out well before the lease that it renews expires.
fn call_timeout(settings: &Settings) -> Duration {
    (settings.timing.lease / 3).max(Duration::from_millis(100))
}

/// Runs the daemon until it receives a signal to stop.
///
/// # Errors
///
/// Returns a [`RunError`] if the daemon cannot start.
pub async fn run(settings: Settings) -> Result<(), RunError> {
    let mut signals = Signals::new().context(SignalsSnafu)?;
    let callers = bind(settings.callers_listen).await?;
    let operators = bind(settings.operators_listen).await?;
    let peers = bind(settings.peers_listen).await?;
    let timeout = settings.timing.platform_timeout;
    let (committer, queue) = Committer::new();
    let core = Arc::new(Core::new(Dependencies {
        log: Arc::new(HttpLog::new(settings.platform, timeout)),
        worker: Arc::new(HttpWorker::new(settings.platform, timeout)),
        vm_list: Arc::new(HttpVmList::new(settings.platform, timeout)),
        links: build_links(&settings)?,
        committer,
        settings,
    }));
    log::info!("event=started daemon={}", core.own_writer());
    let callers = serve(&core, callers, operators, peers);
    let tasks = [
        tokio::spawn(follower::run(Arc::clone(&core))),
        tokio::spawn(committer::run(Arc::clone(&core), queue)),
        tokio::spawn(membership::send_heartbeats(Arc::clone(&core))),
        tokio::spawn(membership::run(Arc::clone(&core))),
        tokio::spawn(membership::report_draining(Arc::clone(&core))),
        tokio::spawn(watcher::run(Arc::clone(&core))),
        tokio::spawn(driver::run(Arc::clone(&core))),
        tokio::spawn(snapshotter::run(Arc::clone(&core))),
    ];
    signals.next().await;
    tokio::select! {
        () = stop::graceful(&core, callers) => {}
        () = signals.next() => log::warn!("event=stopped_at_once"),
    }
    for task in tasks {
        task.abort();
    }
    Ok(())
}

/// Starts the listeners and returns the task of the callers' listener.
fn serve(
    core: &Arc<Core>,
    callers: TcpListener,
    operators: TcpListener,
    peers: TcpListener,
) -> tokio::task::JoinHandle<()> {
    let settings = &core.settings;
    let capacity = Capacity::new(settings.limits.memory_mb, settings.limits.descriptors);
    let pressure = core.metrics.pressure();
    // One body of the largest size always fits.
    let largest = usize::try_from(settings.limits.body_bytes).unwrap_or(usize::MAX);
    let bodies = Budget::new(capacity.caller_body_bytes().max(largest), pressure.clone());
    let body_timeout = settings.limits.body_timeout;
    let addresses: BTreeSet<_> = settings.peers.iter().map(|peer| peer.address.ip()).collect();
    let access = Access { token: Hash::of(&settings.peer_token), addresses };
    let handler = Arc::new(PeerHandler(Arc::clone(core)));
    let ended = EndedOnly::of(&core.stage);
    // One message of a peer always fits.
    let peer_body_bytes =
        capacity.peer_body_bytes().max(crosspath_peer::MAX_MESSAGE_BYTES as usize);
    let peer_bodies = Budget::new(peer_body_bytes, pressure.clone());
    let limits = listener_limits(core, capacity.connections(PEERS_SIXTEENTHS), &peer_bodies);
    let timeout = body_timeout.max(call_timeout(settings));
    drop(tokio::spawn(crosspath_peer::serve(peers, limits, ended, access, timeout, handler)));
    let access = operator::Access::new(settings.operator_accounts.clone());
    let bounds = operator::BodyLimits { body_bytes: MAX_OPERATOR_BODY_BYTES, body_timeout };
    let (stop, handler) = (core.stage.subscribe(), Arc::new(Api(Arc::clone(core))));
    let limits = listener_limits(core, capacity.connections(OPERATORS_SIXTEENTHS), &bodies);
    let serving = operator::serve(operators, limits, bounds, stop, access, handler);
    drop(tokio::spawn(serving));
    let bounds =
        crosspath_caller::BodyLimits { body_bytes: settings.limits.body_bytes, body_timeout };
    let handler = Arc::new(CallerHandler(Arc::new(Gateway::new(Arc::clone(core)))));
    let stop = core.stage.subscribe();
    let limits = listener_limits(core, capacity.connections(CALLERS_SIXTEENTHS), &bodies);
    tokio::spawn(crosspath_caller::serve(callers, limits, bounds, stop, handler))
}

/// Limits of a listener with at most `connections` connections.
fn listener_limits(core: &Core, connections: usize, bodies: &Budget) -> Limits {
    let settings = &core.settings.limits;
    let configured = settings.connections.map_or(usize::MAX, |connections| connections as usize);
    Limits {
        connections: configured.min(connections),
        header_bytes: settings.header_bytes as usize,
        header_timeout: settings.header_timeout,
        budget: bodies.clone(),
        pressure: core.metrics.pressure().clone(),
        refusal_headers: &[],
    }
}

/// Stage that changes only from serving to ended, without a finishing stage. Peers are served until
/// the end, because they may still settle claims at this daemon.
struct EndedOnly;

impl EndedOnly {
    fn of(stage: &tokio::sync::watch::Sender<Stage>) -> tokio::sync::watch::Receiver<Stage> {
        let (sender, receiver) = tokio::sync::watch::channel(Stage::Serving);
        let mut stage = stage.subscribe();
        drop(tokio::spawn(async move {
            let _ = stage.wait_for(|stage| *stage == Stage::Ended).await;
            sender.send_replace(Stage::Ended);
        }));
        receiver
    }
}
