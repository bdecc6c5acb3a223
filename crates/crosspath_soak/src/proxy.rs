//! A loopback proxy that can impair the connections through it.

use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::pin::pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures::future::{Either, select};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// Interval at which a connection checks how it is impaired.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const BUFFER_BYTES: usize = 16 * 1024;

/// How the connections through a proxy are impaired.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) enum Impairment {
    /// Not impaired.
    #[default]
    None,
    /// Each chunk of data is forwarded this much later.
    Delay(Duration),
    /// Open connections are closed, and new ones as soon as they are accepted.
    Reset,
    /// Data in both directions is held back until the impairment ends.
    Silence,
    /// Requests pass; responses are held back until the impairment ends.
    NoAnswers,
}

/// A proxy in front of one server. It accepts connections until it is dropped.
#[derive(Debug)]
pub(crate) struct Proxy {
    pub(crate) address: SocketAddr,
    state: Arc<Mutex<State>>,
    connections: Arc<Connections>,
    task: JoinHandle<()>,
}

/// Faults of the connections through a proxy.
#[derive(Debug, Default)]
struct State {
    impairment: Impairment,
    /// Clients whose connections are silent, whatever the impairment.
    blocked: BTreeSet<IpAddr>,
}

/// Connections through a proxy, numbered in order of acceptance.
#[derive(Debug, Default)]
struct Connections {
    accepted: AtomicU64,
    /// Connections with a lower number carry no more data in either direction, but stay open.
    silenced_below: AtomicU64,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Impairment of the connections from `client`.
fn current(state: &Mutex<State>, client: IpAddr) -> Impairment {
    let state = state.lock().unwrap_or_else(PoisonError::into_inner);
    if state.blocked.contains(&client) { Impairment::Silence } else { state.impairment }
}

impl Proxy {
    pub(crate) async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = Arc::<Mutex<State>>::default();
        let connections = Arc::<Connections>::default();
        let accept_loop = accept(listener, target, Arc::clone(&state), Arc::clone(&connections));
        let task = tokio::spawn(accept_loop);
        Ok(Self { address, state, connections, task })
    }

    /// Silences all open connections for good. New connections work.
    pub(crate) fn silence_open(&self) {
        let accepted = self.connections.accepted.load(Ordering::SeqCst);
        self.connections.silenced_below.store(accepted, Ordering::SeqCst);
    }

    /// Impairs the connections for `duration`.
    pub(crate) async fn impair_for(&self, impairment: Impairment, duration: Duration) {
        self.set_impairment(impairment);
        tokio::time::sleep(duration).await;
        self.set_impairment(Impairment::None);
    }

    pub(crate) fn set_impairment(&self, impairment: Impairment) {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).impairment = impairment;
    }

    /// Silences the connections of a client until it is unblocked.
    pub(crate) fn set_blocked(&self, client: IpAddr, is_blocked: bool) {
        let blocked = &mut self.state.lock().unwrap_or_else(PoisonError::into_inner).blocked;
        if is_blocked {
            blocked.insert(client)
        } else {
            blocked.remove(&client)
        };
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    state: Arc<Mutex<State>>,
    connections: Arc<Connections>,
) {
    loop {
        let Ok((client, source)) = listener.accept().await else { continue };
        let number = connections.accepted.fetch_add(1, Ordering::SeqCst);
        let (state, connections) = (Arc::clone(&state), Arc::clone(&connections));
        drop(tokio::spawn(async move {
            let forwarded = pin!(forward(client, source.ip(), target, state));
            let silenced = pin!(connections.until_silenced(number));
            if let Either::Right(((), _connection)) = select(forwarded, silenced).await {
                // Keeps the sockets open, so that neither side sees the connection end.
                std::future::pending::<()>().await;
            }
        }));
    }
}

impl Connections {
    /// Returns once the connection has been silenced.
    async fn until_silenced(&self, number: u64) {
        while number >= self.silenced_below.load(Ordering::SeqCst) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

async fn forward(client: TcpStream, source: IpAddr, target: SocketAddr, state: Arc<Mutex<State>>) {
    let impairment = || current(&state, source);
    if impairment() == Impairment::Reset {
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else { return };
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    // The connection ends when either direction ends.
    tokio::select! {
        () = relay(from_client, to_server, &impairment, false) => {}
        () = relay(from_server, to_client, &impairment, true) => {}
    }
}

/// Forwards one direction of a connection until it ends or is reset.
async fn relay(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    impairment: &impl Fn() -> Impairment,
    is_response: bool,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = tokio::time::timeout(POLL_INTERVAL, from.read(&mut buffer)).await;
        if impairment() == Impairment::Reset {
            return;
        }
        let length = match read {
            Err(_) => continue,
            Ok(Ok(0) | Err(_)) => return,
            Ok(Ok(length)) => length,
        };
        loop {
            match impairment() {
                Impairment::None => break,
                Impairment::Delay(delay) => {
                    tokio::time::sleep(delay).await;
                    break;
                }
                Impairment::Reset => return,
                Impairment::NoAnswers if !is_response => break,
                Impairment::Silence | Impairment::NoAnswers => {
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
            }
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
