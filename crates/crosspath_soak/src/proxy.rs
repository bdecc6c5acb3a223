//! A loopback proxy that can harm the connections through it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

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
    task: JoinHandle<()>,
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
        let task = tokio::spawn(accept(listener, target, Arc::clone(&harm)));
        Ok(Self { address, harm, task })
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

async fn accept(listener: TcpListener, target: SocketAddr, harm: Arc<Mutex<Harm>>) {
    loop {
        let Ok((client, _)) = listener.accept().await else { continue };
        drop(tokio::spawn(join(client, target, Arc::clone(&harm))));
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
