//! Relays that simulate network partitions by blocking the connections between two processes.

use std::net::{Ipv4Addr, SocketAddr};

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Forwards connections to one address unless it is blocked.
#[derive(Debug)]
pub(super) struct Relay {
    pub(super) address: SocketAddr,
    blocked: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Relay {
    pub(super) async fn start(to: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let blocked = watch::Sender::new(false);
        let task = tokio::spawn(serve(listener, to, blocked.clone()));
        Ok(Self { address, blocked, task })
    }

    /// Closes all connections and rejects new ones, or forwards new ones again.
    pub(super) fn set_blocked(&self, blocked: bool) {
        self.blocked.send_replace(blocked);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve(listener: TcpListener, to: SocketAddr, blocked: watch::Sender<bool>) {
    while let Ok((from, _)) = listener.accept().await {
        tokio::spawn(forward(from, to, blocked.subscribe()));
    }
}

async fn forward(mut from: TcpStream, to: SocketAddr, mut blocked: watch::Receiver<bool>) {
    if *blocked.borrow() {
        return;
    }
    let Ok(mut to) = TcpStream::connect(to).await else { return };
    let _ = from.set_nodelay(true);
    let _ = to.set_nodelay(true);
    tokio::select! {
        _ = tokio::io::copy_bidirectional(&mut from, &mut to) => {}
        _ = blocked.wait_for(|blocked| *blocked) => {}
    }
}
