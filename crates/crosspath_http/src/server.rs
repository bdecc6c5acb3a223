//! The server loop that every listener runs.
//!
//! It takes a bounded number of connections, gives each a bounded time for its request heads, and
//! on a planned stop lets what is in flight finish.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};

use crate::body::Body;

const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
const MAX_HEADERS: usize = 100;

/// Limits on connections.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Connections at one time.
    pub connections: usize,
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Time for a request's head.
    pub header_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 10_000,
            header_bytes: 16 * 1024,
            header_timeout: Duration::from_secs(5),
        }
    }
}

/// How far a planned stop is; each stage includes those before.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Takes connections.
    #[default]
    Serving,
    /// Takes none, and finishes what is in flight.
    Finishing,
    /// Ends at once.
    Ended,
}

/// Serves `listener` until the stop says [`Stage::Finishing`], then until nothing is in flight or
/// the stop says [`Stage::Ended`].
pub async fn serve<H, F>(
    listener: TcpListener,
    limits: Limits,
    mut stop: watch::Receiver<Stage>,
    handler: H,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let permits = Arc::new(Semaphore::new(limits.connections));
    let graceful = GracefulShutdown::new();
    let builder = Arc::new(builder(&limits));
    loop {
        let accepted = tokio::select! {
            accepted = accept(&listener, &permits) => accepted,
            _ = stop.wait_for(|stage| *stage >= Stage::Finishing) => break,
        };
        let Some((stream, peer, permit)) = accepted else {
            continue;
        };
        let handler = handler.clone();
        let service = service_fn(move |request| {
            let response = handler(request, peer);
            async move { Ok::<_, Infallible>(response.await) }
        });
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        let connection = graceful.watch(connection.into_owned());
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("event=connection_ended peer={peer} error={error:?}");
            }
            drop(permit);
        });
    }
    drop(listener);
    tokio::select! {
        () = graceful.shutdown() => {}
        _ = stop.wait_for(|stage| *stage == Stage::Ended) => {}
    }
}

fn builder(limits: &Limits) -> Builder<TokioExecutor> {
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.header_bytes)
        .max_headers(MAX_HEADERS);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(u32::try_from(limits.header_bytes).unwrap_or(u32::MAX))
        .keep_alive_interval(Some(limits.header_timeout));
    builder
}

type Accepted = (TcpStream, SocketAddr, tokio::sync::OwnedSemaphorePermit);

async fn accept(listener: &TcpListener, permits: &Arc<Semaphore>) -> Option<Accepted> {
    let permit = Arc::clone(permits).acquire_owned().await.ok()?;
    match listener.accept().await {
        Ok((stream, peer)) => {
            let _ = stream.set_nodelay(true);
            Some((stream, peer, permit))
        }
        Err(error) => {
            log::warn!("event=accept_failed error={error}");
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            None
        }
    }
}
