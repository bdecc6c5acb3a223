//! A small JSON client for one server.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
pub use http::{Method, StatusCode};
use http::{Request, header};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper_util::client::legacy::Client as Pool;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt as _, Snafu};

const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// A call that gave no answer that can be used.
#[derive(Debug, Snafu)]
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

/// A client of one server.
#[derive(Debug, Clone)]
pub struct Client {
    pool: Pool<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    timeout: Duration,
    token: Option<String>,
}

/// An answer as it came.
#[derive(Debug)]
pub struct Answer {
    /// Status and headers.
    pub head: http::response::Parts,
    /// The whole body.
    pub body: Bytes,
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
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(connect));
        connector.set_nodelay(true);
        let pool = Pool::builder(TokioExecutor::new()).build(connector);
        Self { pool, address, timeout, token: None }
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
        let bytes = body.map(|body| serde_json::to_vec(body).expect("requests have a JSON form"));
        let request = Request::builder().method(method).uri(path);
        let answer = self.send_within(request, bytes.unwrap_or_default().into(), timeout).await?;
        let address = self.address;
        let status = answer.head.status;
        if !status.is_success() {
            let body = String::from_utf8_lossy(&answer.body).into_owned();
            return StatusSnafu { address, status, body }.fail();
        }
        let bytes = if answer.body.is_empty() { b"null".as_slice() } else { &answer.body };
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
    ) -> Result<Answer, Error> {
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
    ) -> Result<Answer, Error> {
        let address = self.address;
        let path = request.uri_ref().map(ToString::to_string).unwrap_or_default();
        let request = request.uri(format!("http://{address}{path}"));
        let request = match &self.token {
            Some(token) => request.header(header::AUTHORIZATION, format!("Bearer {token}")),
            None => request,
        };
        let Ok(request) = request.body(Full::new(body)) else {
            return NotSentSnafu { address }.fail();
        };
        let exchange = tokio::time::timeout(timeout, self.exchange(request));
        match exchange.await {
            Ok(answer) => answer,
            Err(_) => NoAnswerSnafu { address }.fail(),
        }
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Answer, Error> {
        let address = self.address;
        let answer = match self.pool.request(request).await {
            Ok(answer) => answer,
            Err(error) if error.is_connect() => return NotSentSnafu { address }.fail(),
            Err(_) => return NoAnswerSnafu { address }.fail(),
        };
        let (head, body) = answer.into_parts();
        let Ok(whole) = Limited::new(body, MAX_ANSWER_BYTES).collect().await else {
            return NoAnswerSnafu { address }.fail();
        };
        Ok(Answer { head, body: whole.to_bytes() })
    }
}
