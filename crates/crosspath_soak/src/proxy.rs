//! A loopback proxy that can harm the connections through it.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures::future::{Either, select};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// Between two looks whether held bytes may pass.
const HELD_PAUSE: Duration = Duration::from_millis(20);
const CHUNK: usize = 16 * 1024;

/// What happens to connections.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) enum Harm {
    /// Nothing.
    #[default]
    None,
    /// Each piece of data is late by this.
    Delay(Duration),
    /// Open ones are cut and new ones closed at once.
    Reset,
    /// Nothing passes, either way; it passes when this is over.
    Silence,
    /// What is asked passes, answers do not.
    NoAnswers,
}

/// A proxy before one server, until it is dropped.
#[derive(Debug)]
pub(crate) struct Proxy {
    pub(crate) address: SocketAddr,
    harm: Arc<Mutex<Harm>>,
    connections: Arc<Connections>,
    task: JoinHandle<()>,
}

/// Connections through a proxy, numbered as they come.
#[derive(Debug, Default)]
struct Connections {
    accepted: AtomicU64,
    /// Those with a number below this say nothing more, either way; nothing resets them.
    silent_below: AtomicU64,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn get(harm: &Mutex<Harm>) -> Harm {
    *harm.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Proxy {
    pub(crate) async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let harm = Arc::<Mutex<Harm>>::default();
        let connections = Arc::<Connections>::default();
        let accepting = accept(listener, target, Arc::clone(&harm), Arc::clone(&connections));
        let task = tokio::spawn(accepting);
        Ok(Self { address, harm, connections, task })
    }

    /// Silences all open connections for good; new ones work.
    pub(crate) fn silence_open(&self) {
        let accepted = self.connections.accepted.load(Ordering::SeqCst);
        self.connections.silent_below.store(accepted, Ordering::SeqCst);
    }

    /// Harms the connections for a while.
    pub(crate) async fn harm_for(&self, harm: Harm, lasts: Duration) {
        self.set(harm);
        tokio::time::sleep(lasts).await;
        self.set(Harm::None);
    }

    pub(crate) fn set(&self, harm: Harm) {
        *self.harm.lock().unwrap_or_else(PoisonError::into_inner) = harm;
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    harm: Arc<Mutex<Harm>>,
    connections: Arc<Connections>,
) {
    loop {
        let Ok((client, _)) = listener.accept().await else { continue };
        let number = connections.accepted.fetch_add(1, Ordering::SeqCst);
        let (harm, connections) = (Arc::clone(&harm), Arc::clone(&connections));
        drop(tokio::spawn(async move {
            let joined = pin!(join(client, target, harm));
            let silenced = pin!(connections.silenced(number));
            if let Either::Right(((), _held)) = select(joined, silenced).await {
                // Neither side hears of an end.
                std::future::pending::<()>().await;
            }
        }));
    }
}

impl Connections {
    /// Ends once a connection has gone silent.
    async fn silenced(&self, number: u64) {
        while number >= self.silent_below.load(Ordering::SeqCst) {
            tokio::time::sleep(HELD_PAUSE).await;
        }
    }
}

async fn join(client: TcpStream, target: SocketAddr, harm: Arc<Mutex<Harm>>) {
    if get(&harm) == Harm::Reset {
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else { return };
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    // Either way ending ends the connection.
    tokio::select! {
        () = pass(from_client, to_server, &harm, false) => {}
        () = pass(from_server, to_client, &harm, true) => {}
    }
}

async fn pass(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, harm: &Mutex<Harm>, answers: bool) {
    let mut chunk = vec![0; CHUNK];
    loop {
        let read = tokio::time::timeout(HELD_PAUSE, from.read(&mut chunk)).await;
        if get(harm) == Harm::Reset {
            return;
        }
        let length = match read {
            Err(_) => continue,
            Ok(Ok(0) | Err(_)) => return,
            Ok(Ok(length)) => length,
        };
        loop {
            match get(harm) {
                Harm::None => break,
                Harm::Delay(delay) => {
                    tokio::time::sleep(delay).await;
                    break;
                }
                Harm::Reset => return,
                Harm::NoAnswers if !answers => break,
                Harm::Silence | Harm::NoAnswers => tokio::time::sleep(HELD_PAUSE).await,
            }
        }
        if to.write_all(&chunk[..length]).await.is_err() {
            return;
        }
    }
}
