//! Server loop of all listeners.
//!
//! The loop limits the number of connections and the time for each request head. On a planned
//! shutdown it lets requests in flight finish.

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

/// Pause after a failed `accept`, so that a lasting error does not cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Maximum number of headers of an HTTP/1 request.
const MAX_HEADERS: usize = 100;

/// Limits that a listener enforces on connections and request heads.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Maximum number of concurrent connections.
    pub connections: usize,
    /// Maximum size of a request head in bytes.
    pub header_bytes: usize,
    /// Time within which a request head must arrive on HTTP/1; interval between pings on HTTP/2.
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

/// Progress of a planned shutdown. Later stages compare greater.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Accepts connections and serves their requests.
    #[default]
    Serving,
    /// Accepts no connections and finishes the requests in flight.
    Finishing,
    /// Stops at once, even with requests in flight.
    Ended,
}

/// Serves `listener` until `stop` reaches [`Stage::Finishing`], then until no request is in flight
/// or `stop` reaches [`Stage::Ended`].
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
