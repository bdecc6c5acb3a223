//! Server loop of all listeners.
//!
//! The loop limits the number of connections, the memory of all bodies together and the time for each
//! request head. At the limit of connections, a new one takes the place of one for which no handler is
//! at work. On a planned shutdown it lets requests in flight finish.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::{HeaderValue, Request, Response, StatusCode, Version, header};
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::body::{self, Body, Inbound, Outbound};
use crate::budget::Budget;
use crate::connections::{Activity, Connections, Slot};
use crate::pressure::Pressure;

/// Pause after a failed `accept`, so that a lasting error does not cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Maximum number of headers of an HTTP/1 request.
const MAX_HEADERS: usize = 100;
/// Maximum number of concurrent requests on an HTTP/2 connection.
const MAX_STREAMS: u32 = 32;
/// Window of an HTTP/2 connection and of each of its streams: bytes that may arrive without being
/// read. Also the maximum of a response that waits to be sent.
const WINDOW_BYTES: u32 = 64 * 1024;
/// Seconds after which a refused request may be retried.
pub const RETRY_AFTER_S: u32 = 1;

/// Limits that a listener enforces on connections and request heads.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Maximum number of concurrent connections.
    pub connections: usize,
    /// Maximum size of a request head in bytes.
    pub header_bytes: usize,
    /// Time within which a request head must arrive on HTTP/1; interval between pings on HTTP/2.
    pub header_timeout: Duration,
    /// Limit on the memory of bodies, which listeners may share.
    pub budget: Budget,
    /// Counters of what is given up at the limits.
    pub pressure: Pressure,
    /// Headers of the response to a request that is refused before a handler gets it.
    pub refusal_headers: &'static [(&'static str, &'static str)],
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4_096,
            header_bytes: 16 * 1024,
            header_timeout: Duration::from_secs(5),
            budget: Budget::default(),
            pressure: Pressure::default(),
            refusal_headers: &[],
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
    H: Fn(Request<Inbound>, SocketAddr) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let connections = Connections::new(limits.connections, limits.pressure.clone());
    let graceful = GracefulShutdown::new();
    let builder = Arc::new(builder(&limits));
    loop {
        let accepted = tokio::select! {
            accepted = accept(&listener, &connections) => accepted,
            _ = stop.wait_for(|stage| *stage >= Stage::Finishing) => break,
        };
        let Some((stream, peer)) = accepted else {
            continue;
        };
        let Some((slot, permit)) = connections.admit().await else {
            refuse(&stream, limits.refusal_headers);
            continue;
        };
        let (handler, limits, request_slot) = (handler.clone(), limits.clone(), Arc::clone(&slot));
        let service = service_fn(move |request| {
            let activity = Arc::new(Activity::new(Arc::clone(&request_slot)));
            let handler = handler.clone();
            let response =
                respond(request, activity, &limits, move |request| handler(request, peer));
            async move { Ok::<_, Infallible>(response.await) }
        });
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        let connection = graceful.watch(connection.into_owned());
        tokio::spawn(async move {
            run(connection, &slot, peer).await;
            drop(permit);
        });
    }
    drop(listener);
    tokio::select! {
        () = graceful.shutdown() => {}
        _ = stop.wait_for(|stage| *stage == Stage::Ended) => {}
    }
}

/// Runs a connection until it ends or has to give way to a new one.
async fn run<E: std::fmt::Debug>(
    connection: impl Future<Output = Result<(), E>>,
    slot: &Slot,
    peer: SocketAddr,
) {
    // The connection is polled first, so that a request that has arrived by the time of its end is
    // answered.
    tokio::select! {
        biased;
        ended = connection => {
            if let Err(error) = ended {
                log::debug!("event=connection_ended peer={peer} error={error:?}");
            }
        }
        () = slot.closed() => log::debug!("event=connection_closed peer={peer}"),
    }
    slot.end();
}

/// Passes a request to the handler, which counts as at work from the end of the request's body on.
fn respond<F, H>(
    request: Request<Incoming>,
    activity: Arc<Activity>,
    limits: &Limits,
    handler: H,
) -> impl Future<Output = Response<Body>> + use<F, H>
where
    F: Future<Output = Response<Body>>,
    H: FnOnce(Request<Inbound>) -> F,
{
    let may_begin = !request.body().is_end_stream() || activity.begin();
    // A connection of HTTP/1 has one head at a time, for which its own limit accounts.
    let is_multiplexed = request.version() == Version::HTTP_2;
    let charge = limits.budget.charge(if is_multiplexed { limits.header_bytes } else { 0 });
    let inbound = |incoming| Inbound::new(incoming, limits.budget.clone(), Arc::clone(&activity));
    let charge = charge.ok().filter(|_| may_begin);
    let response = charge.map(|charge| (charge, handler(request.map(inbound))));
    let refusal_headers = limits.refusal_headers;
    async move {
        let Some((_charge, response)) = response else { return refusal(refusal_headers) };
        let response = response.await;
        activity.respond();
        response.map(|body| Outbound { body, _activity: activity }.boxed_unsync())
    }
}

/// Response to a request for which no memory or connection is left; it had no effect.
fn refusal(headers: &[(&'static str, &'static str)]) -> Response<Body> {
    let mut response = Response::new(body::full(""));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(RETRY_AFTER_S));
    for (name, value) in headers {
        response.headers_mut().insert(*name, HeaderValue::from_static(value));
    }
    response
}

/// Answers a connection that is closed unread, as far as the answer can be written at once.
fn refuse(stream: &TcpStream, headers: &[(&str, &str)]) {
    let headers: String =
        headers.iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
    let response = format!(
        "HTTP/1.1 503 Service Unavailable\r\nretry-after: {RETRY_AFTER_S}\r\n{headers}\
         content-length: 0\r\nconnection: close\r\n\r\n"
    );
    if let Err(error) = stream.try_write(response.as_bytes()) {
        log::debug!("event=refusal_not_sent error={error}");
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
        .max_concurrent_streams(MAX_STREAMS)
        .initial_stream_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .max_send_buf_size(WINDOW_BYTES as usize)
        .keep_alive_interval(Some(limits.header_timeout));
    builder
}

async fn accept(
    listener: &TcpListener,
    connections: &Connections,
) -> Option<(TcpStream, SocketAddr)> {
    match listener.accept().await {
        Ok((stream, peer)) => {
            let _ = stream.set_nodelay(true);
            Some((stream, peer))
        }
        Err(error) => {
            log::warn!("event=accept_failed error={error}");
            // A lack of descriptors is the usual cause.
            connections.close_one(Instant::now());
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            None
        }
    }
}
