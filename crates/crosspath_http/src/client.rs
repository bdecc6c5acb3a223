//! JSON client for one server.
//!
//! A connection that is open can stop delivering data for good, without a reset, while new
//! connections to the same server work. Only a missing response reveals this. A call without a
//! response therefore discards all idle connections of the client, since they may be dead too, and
//! the next call opens a new one. TCP keep-alive probes detect dead connections on which a call
//! waits for a long time.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
pub use http::{Method, StatusCode};
use http::{Request, header};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client as HyperClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt as _, Snafu};

use crate::connection::Connection;
use crate::latency::Latency;

/// Maximum size of a response body in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;
/// Idle time before the first keep-alive probe, and interval between probes. The kernel counts in
/// whole seconds.
const KEEPALIVE: Duration = Duration::from_secs(1);
/// Unanswered keep-alive probes after which a connection is closed. A single probe may be lost on
/// a working connection.
const KEEPALIVE_PROBES: u32 = 2;

/// Call that yielded no usable response.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The request was never sent and had no effect.
    #[snafu(display("{address} could not be reached"))]
    NotSent {
        /// Address of the server that was not reached.
        address: SocketAddr,
    },
    /// No response came. The request may have taken effect or may still do so.
    #[snafu(display("{address} did not answer"))]
    NoAnswer {
        /// Address of the server that did not answer.
        address: SocketAddr,
    },
    /// The status of the response is not a success.
    #[snafu(display("{address} answered {status}: {body}"))]
    Status {
        /// Address of the server that sent the response.
        address: SocketAddr,
        /// Status of the response, outside the range 200 to 299.
        status: StatusCode,
        /// Body of the response; invalid UTF-8 is replaced.
        body: String,
    },
    /// The body of a successful response cannot be decoded.
    #[snafu(display("invalid response from {address}: {source}"))]
    Malformed {
        /// Address of the server that sent the response.
        address: SocketAddr,
        /// Error of the JSON decoder.
        source: serde_json::Error,
    },
}

type Pool = HyperClient<HttpConnector, Full<Bytes>>;

/// Client of one server. Clones share its connections.
#[derive(Debug, Clone)]
pub struct Client {
    pool: Arc<Mutex<Pool>>,
    /// Idle connections for requests that depend on the server process which they reach. The pool
    /// does not tell which process a connection leads to.
    pub(crate) idle: Arc<Mutex<Vec<Connection>>>,
    latency: Arc<Mutex<Latency>>,
    pub(crate) connect_timeout: Duration,
    pub(crate) address: SocketAddr,
    /// Local address of new connections; `None` lets the system choose.
    pub(crate) source: Option<IpAddr>,
    timeout: Duration,
    token: Option<String>,
}

/// Response with any status.
#[derive(Debug)]
pub struct Response {
    /// Status, which may be an error, and headers.
    pub head: http::response::Parts,
    /// Complete body; empty if the server sent none.
    pub body: Bytes,
}

impl AsRef<Self> for Response {
    fn as_ref(&self) -> &Self {
        self
    }
}

impl Client {
    /// Creates a client whose calls and new connections each take at most `timeout`.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self::with_connect_timeout(address, timeout, timeout)
    }

    /// As [`Self::new`], with a separate limit for new connections. If a connection is not
    /// established within `connect`, the call fails with [`Error::NotSent`].
    #[must_use]
    pub fn with_connect_timeout(address: SocketAddr, connect: Duration, timeout: Duration) -> Self {
        Self {
            pool: Arc::new(Mutex::new(new_pool(connect, None))),
            idle: Arc::default(),
            latency: Arc::default(),
            connect_timeout: connect,
            address,
            source: None,
            timeout,
            token: None,
        }
    }

    /// Opens connections from the local address `source`, on VMs that have several.
    #[must_use]
    pub fn with_source(self, source: Option<IpAddr>) -> Self {
        let pool = Arc::new(Mutex::new(new_pool(self.connect_timeout, source)));
        Self { pool, source, ..self }
    }

    /// Sends `token` as the bearer token of each call.
    #[must_use]
    pub fn with_token(self, token: impl Into<String>) -> Self {
        Self { token: Some(token.into()), ..self }
    }

    /// Address of the server that the client was created for.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends `body` as JSON and decodes the JSON response. Without a body the request is empty; an
    /// empty response is decoded as `null`.
    ///
    /// # Errors
    ///
    /// [`Error`] if there is no usable response. Only after [`Error::NotSent`] is it certain that
    /// the call had no effect.
    pub async fn call<A: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<&(impl Serialize + Sync)>,
    ) -> Result<A, Error> {
        self.call_within(method, path, body, self.timeout).await
    }

    /// As [`Self::call`], with a separate timeout.
    ///
    /// # Errors
    ///
    /// As for [`Self::call`].
    pub async fn call_within<A: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<&(impl Serialize + Sync)>,
        timeout: Duration,
    ) -> Result<A, Error> {
        let request = Request::builder().method(method).uri(path);
        let response = self.send_within(request, encode(body), timeout).await?;
        self.decode(&response)
    }

    /// As [`Self::call`], for an idempotent call: it is hedged, so it may arrive several times.
    ///
    /// # Errors
    ///
    /// As for [`Self::call`].
    pub async fn call_idempotent<A: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<&(impl Serialize + Sync)>,
    ) -> Result<A, Error> {
        let request = Request::builder().method(method).uri(path);
        let body = encode(body);
        let response = self.send_idempotent(request, body, self.timeout, Duration::ZERO).await?;
        self.decode(&response)
    }

    fn decode<A: DeserializeOwned>(&self, response: &Response) -> Result<A, Error> {
        let address = self.address;
        let status = response.head.status;
        if !status.is_success() {
            let body = String::from_utf8_lossy(&response.body).into_owned();
            return StatusSnafu { address, status, body }.fail();
        }
        let bytes = if response.body.is_empty() { b"null".as_slice() } else { &response.body };
        serde_json::from_slice(bytes).context(MalformedSnafu { address })
    }

    /// Sends a request whose URI is a path, and reads the whole response, whatever its status.
    ///
    /// # Errors
    ///
    /// [`Error::NotSent`] if the request was not sent, [`Error::NoAnswer`] if the connection failed
    /// or no complete response came in time.
    pub async fn send(
        &self,
        request: http::request::Builder,
        body: Bytes,
    ) -> Result<Response, Error> {
        self.send_within(request, body, self.timeout).await
    }

    /// As [`Self::send`], with a separate timeout.
    ///
    /// # Errors
    ///
    /// As for [`Self::send`].
    pub async fn send_within(
        &self,
        request: http::request::Builder,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Response, Error> {
        let request = self.request(request, body)?;
        // Discards the idle connections on a timeout, and also if the caller stops waiting first
        // and drops this future.
        let pending = PendingCall { client: self };
        let exchange = tokio::time::timeout(timeout, self.exchange(request));
        let Ok(response) = exchange.await else {
            return NoAnswerSnafu { address: self.address }.fail();
        };
        pending.complete();
        response
    }

    /// As [`Self::send_within`], for an idempotent request: it is hedged, so it may arrive several
    /// times. The server may take up to `wait` before it answers, in addition to the usual delay.
    ///
    /// # Errors
    ///
    /// As for [`Self::send`].
    pub async fn send_idempotent(
        &self,
        request: http::request::Builder,
        body: Bytes,
        timeout: Duration,
        wait: Duration,
    ) -> Result<Response, Error> {
        let request = self.request(request, body)?;
        let exchange = || self.exchange(request.clone());
        self.hedge(exchange, timeout, wait).await
    }

    /// Current delay without a response after which an idempotent request is sent again, in
    /// addition to the time that the server is allowed to wait.
    #[must_use]
    pub fn hedging_delay(&self) -> Duration {
        self.latency().hedging_delay()
    }

    pub(crate) fn request(
        &self,
        request: http::request::Builder,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, Error> {
        let address = self.address;
        let path = request.uri_ref().map(ToString::to_string).unwrap_or_default();
        let request = request.uri(format!("http://{address}{path}"));
        let request = match &self.token {
            Some(token) => request.header(header::AUTHORIZATION, format!("Bearer {token}")),
            None => request,
        };
        request.body(Full::new(body)).or(NotSentSnafu { address }.fail())
    }

    pub(crate) fn latency(&self) -> MutexGuard<'_, Latency> {
        self.latency.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Discards the idle connections. Calls in progress keep theirs.
    pub(crate) fn discard_idle(&self) {
        *self.pool() = new_pool(self.connect_timeout, self.source);
        self.idle().clear();
    }

    fn pool(&self) -> MutexGuard<'_, Pool> {
        self.pool.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Response, Error> {
        let address = self.address;
        let pool = self.pool().clone();
        let response = match pool.request(request).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => return NotSentSnafu { address }.fail(),
            Err(_) => return NoAnswerSnafu { address }.fail(),
        };
        read_response(address, response).await
    }
}

/// Reads the whole response.
pub(crate) async fn read_response(
    address: SocketAddr,
    response: http::Response<Incoming>,
) -> Result<Response, Error> {
    let (head, body) = response.into_parts();
    let Ok(body) = Limited::new(body, MAX_RESPONSE_BYTES).collect().await else {
        return NoAnswerSnafu { address }.fail();
    };
    Ok(Response { head, body: body.to_bytes() })
}

fn encode(body: Option<&impl Serialize>) -> Bytes {
    let bytes =
        body.map(|body| serde_json::to_vec(body).expect("request bodies serialise as JSON"));
    bytes.unwrap_or_default().into()
}

/// Creates a pool without open connections.
fn new_pool(connect_timeout: Duration, source: Option<IpAddr>) -> Pool {
    HyperClient::builder(TokioExecutor::new()).build(connector(connect_timeout, source))
}

pub(crate) fn connector(connect_timeout: Duration, source: Option<IpAddr>) -> HttpConnector {
    let mut connector = HttpConnector::new();
    connector.set_local_address(source);
    connector.set_connect_timeout(Some(connect_timeout));
    connector.set_nodelay(true);
    connector.set_keepalive(Some(KEEPALIVE));
    connector.set_keepalive_interval(Some(KEEPALIVE));
    connector.set_keepalive_retries(Some(KEEPALIVE_PROBES));
    connector
}

/// Call that has no response yet. If it is dropped before it is completed, the idle connections of
/// the client are discarded.
#[derive(Debug)]
pub(crate) struct PendingCall<'a> {
    pub(crate) client: &'a Client,
}

impl PendingCall<'_> {
    /// Marks the call as ended, with a response or with an error of its connection.
    pub(crate) fn complete(self) {
        std::mem::forget(self);
    }
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        self.client.discard_idle();
    }
}
