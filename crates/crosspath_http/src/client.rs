//! A small JSON client for one server.
//!
//! An open connection may go silent for good while new ones work, and nothing but an answer that does
//! not come shows it. So a call without an answer costs the client all its idle connections, which may
//! be silent too: the next call is made on a new one. What waits long is probed by keep-alives.

use std::net::SocketAddr;
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

const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;
/// Idle time after which a connection is probed, and time between probes: the kernel counts whole
/// seconds.
const KEEPALIVE: Duration = Duration::from_secs(1);
/// Probes without an answer after which a connection is dead: one may be lost.
const KEEPALIVE_PROBES: u32 = 2;

/// A call that gave no answer that can be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The request was never sent, so it had no effect.
    #[snafu(display("{address} was not reached"))]
    NotSent {
        /// The server.
        address: SocketAddr,
    },
    /// The request may have had its effect; no answer came.
    #[snafu(display("{address} gave no answer"))]
    NoAnswer {
        /// The server.
        address: SocketAddr,
    },
    /// The server answered with an error.
    #[snafu(display("{address} answered {status}: {body}"))]
    Status {
        /// The server.
        address: SocketAddr,
        /// Its status.
        status: StatusCode,
        /// Its body.
        body: String,
    },
    /// The answer is not of the agreed form.
    #[snafu(display("{address} gave a malformed answer: {source}"))]
    Malformed {
        /// The server.
        address: SocketAddr,
        /// What the decoder says.
        source: serde_json::Error,
    },
}

type Pool = HyperClient<HttpConnector, Full<Bytes>>;

/// A client of one server; clones share its connections.
#[derive(Debug, Clone)]
pub struct Client {
    pool: Arc<Mutex<Pool>>,
    /// Idle connections for what goes by the process that it reaches.
    pub(crate) idle: Arc<Mutex<Vec<Connection>>>,
    latency: Arc<Mutex<Latency>>,
    pub(crate) connect_timeout: Duration,
    pub(crate) address: SocketAddr,
    timeout: Duration,
    token: Option<String>,
}

/// An answer as it came.
#[derive(Debug)]
pub struct Response {
    /// Status and headers.
    pub head: http::response::Parts,
    /// The whole body.
    pub body: Bytes,
}

impl AsRef<Self> for Response {
    fn as_ref(&self) -> &Self {
        self
    }
}

impl Client {
    /// Makes a client; each call takes at most `timeout`.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self::with_connect_timeout(address, timeout, timeout)
    }

    /// As [`Self::new`], with a bound of its own for a new connection. A connection that is not
    /// made within `connect` is [`Error::NotSent`].
    #[must_use]
    pub fn with_connect_timeout(address: SocketAddr, connect: Duration, timeout: Duration) -> Self {
        Self {
            pool: Arc::new(Mutex::new(new_pool(connect))),
            idle: Arc::default(),
            latency: Arc::default(),
            connect_timeout: connect,
            address,
            timeout,
            token: None,
        }
    }

    /// Shows `token` as bearer with each call.
    #[must_use]
    pub fn with_token(self, token: impl Into<String>) -> Self {
        Self { token: Some(token.into()), ..self }
    }

    /// The server.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends `body` as JSON and reads the JSON answer.
    ///
    /// # Errors
    ///
    /// [`Error`]; only [`Error::NotSent`] says that the call had no effect.
    pub async fn call<A: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<&(impl Serialize + Sync)>,
    ) -> Result<A, Error> {
        self.call_within(method, path, body, self.timeout).await
    }

    /// As [`Self::call`], with a time of its own.
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

    /// As [`Self::call`], for a call whose effect is the same however often it arrives.
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

    /// Sends a request whose URI is a path, and reads the whole answer, whatever its status.
    ///
    /// # Errors
    ///
    /// [`Error::NotSent`] or [`Error::NoAnswer`].
    pub async fn send(
        &self,
        request: http::request::Builder,
        body: Bytes,
    ) -> Result<Response, Error> {
        self.send_within(request, body, self.timeout).await
    }

    /// As [`Self::send`], with a time of its own.
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
        // Also when the caller stops waiting first, and this future is dropped.
        let pending = PendingCall { client: self };
        let exchange = tokio::time::timeout(timeout, self.exchange(request));
        let Ok(response) = exchange.await else {
            return NoAnswerSnafu { address: self.address }.fail();
        };
        pending.complete();
        response
    }

    /// As [`Self::send_within`], for a request whose effect is the same however often it arrives.
    /// The server may let `wait` pass before it answers.
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

    /// Time after which an answer is overdue now, beyond what the server may wait.
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

    /// Gives up the idle connections; calls under way keep theirs.
    pub(crate) fn discard_idle(&self) {
        *self.pool() = new_pool(self.connect_timeout);
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

/// Reads the whole of an answer.
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
    let bytes = body.map(|body| serde_json::to_vec(body).expect("requests have a JSON form"));
    bytes.unwrap_or_default().into()
}

/// Connections to one server, none open yet.
fn new_pool(connect_timeout: Duration) -> Pool {
    HyperClient::builder(TokioExecutor::new()).build(connector(connect_timeout))
}

pub(crate) fn connector(connect_timeout: Duration) -> HttpConnector {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(connect_timeout));
    connector.set_nodelay(true);
    connector.set_keepalive(Some(KEEPALIVE));
    connector.set_keepalive_interval(Some(KEEPALIVE));
    connector.set_keepalive_retries(Some(KEEPALIVE_PROBES));
    connector
}

/// A call that has no answer yet. Dropped without one it gives up the idle connections.
#[derive(Debug)]
pub(crate) struct PendingCall<'a> {
    pub(crate) client: &'a Client,
}

impl PendingCall<'_> {
    /// The call has ended with an answer, or with an error of its connection.
    pub(crate) fn complete(self) {
        std::mem::forget(self);
    }
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        self.client.discard_idle();
    }
}
