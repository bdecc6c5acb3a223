//! Links that can be cut: every connection between two processes goes through one of these.

use std::net::{Ipv4Addr, SocketAddr};

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Passes connections on to one address until it is cut.
#[derive(Debug)]
pub(super) struct Relay {
    pub(super) address: SocketAddr,
    cut: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Relay {
    pub(super) async fn start(to: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let cut = watch::Sender::new(false);
        let task = tokio::spawn(serve(listener, to, cut.clone()));
        Ok(Self { address, cut, task })
    }

    /// Ends every connection and lets none through, or lets them through again.
    pub(super) fn set_cut(&self, cut: bool) {
        self.cut.send_replace(cut);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve(listener: TcpListener, to: SocketAddr, cut: watch::Sender<bool>) {
    while let Ok((from, _)) = listener.accept().await {
        tokio::spawn(pass(from, to, cut.subscribe()));
    }
}

async fn pass(mut from: TcpStream, to: SocketAddr, mut cut: watch::Receiver<bool>) {
    if *cut.borrow() {
        return;
    }
    let Ok(mut to) = TcpStream::connect(to).await else { return };
    let _ = from.set_nodelay(true);
    let _ = to.set_nodelay(true);
    tokio::select! {
        _ = tokio::io::copy_bidirectional(&mut from, &mut to) => {}
        _ = cut.wait_for(|cut| *cut) => {}
    }
}
