//! A small JSON client for one server.
//!
//! An open connection may go silent for good while new ones work, and nothing but an answer that does
//! not come shows it. So a call without an answer costs the client all its idle connections, which may
//! be silent too: the next call is made on a new one. What waits long is probed by keep-alives.
//!
//! A request that may be repeated is sent again on a new connection once its answer is overdue by what
//! the server lately took, while the first goes on: an answer that is lost costs the time until then
//! and not the whole time-out, and a server that turns slow loses nothing by it. Only answers tell how long a
//! server takes: with lost ones counted as slow, each next one would be waited for ever longer.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures::stream::{FuturesUnordered, StreamExt as _};
pub use http::{Method, StatusCode};
use http::{Request, header};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client as Pool;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt as _, Snafu};
use tokio::time::Instant;

use crate::latency::Latency;
use crate::line::Line;

const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;
/// Idle time after which a connection is probed, and time between probes: the kernel counts whole
/// seconds.
const KEEPALIVE: Duration = Duration::from_secs(1);
/// Probes without an answer after which a connection is dead: one may be lost.
const KEEPALIVE_PROBES: u32 = 2;
/// Times that a request which may be repeated is sent at most: of answers of which a third is lost,
/// one call in 27 gets none.
const MOST_TRIES: usize = 3;

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

type Connections = Pool<HttpConnector, Full<Bytes>>;

/// A client of one server; clones share its connections.
#[derive(Debug, Clone)]
pub struct Client {
    connections: Arc<Mutex<Connections>>,
    /// Idle connections for what goes by the process that it reaches.
    lines: Arc<Mutex<Vec<Line>>>,
    latency: Arc<Mutex<Latency>>,
    connect_timeout: Duration,
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

impl AsRef<Self> for Answer {
    fn as_ref(&self) -> &Self {
        self
    }
}

/// An answer, and the connection that it came over.
#[derive(Debug)]
pub struct Heard {
    /// The answer.
    pub answer: Answer,
    line: Line,
    lines: Arc<Mutex<Vec<Line>>>,
}

impl AsRef<Answer> for Heard {
    fn as_ref(&self) -> &Answer {
        &self.answer
    }
}

// Dropped, it closes the connection.
impl Heard {
    /// Keeps the connection for further requests.
    pub fn keep(self) -> Answer {
        let process = self.line.process;
        self.keep_to(process)
    }

    /// Keeps the connection for further requests; the answer tells which process it leads to, or does not.
    pub fn keep_to(self, process: Option<u64>) -> Answer {
        let mut line = self.line;
        line.process = process;
        self.lines.lock().unwrap_or_else(PoisonError::into_inner).push(line);
        self.answer
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
            connections: Arc::new(Mutex::new(connections(connect))),
            lines: Arc::default(),
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
        let answer = self.send_within(request, encode(body), timeout).await?;
        self.decode(&answer)
    }

    /// As [`Self::call`], for a call whose effect is the same however often it arrives.
    ///
    /// # Errors
    ///
    /// As for [`Self::call`].
    pub async fn call_repeatable<A: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<&(impl Serialize + Sync)>,
    ) -> Result<A, Error> {
        let request = Request::builder().method(method).uri(path);
        let body = encode(body);
        let answer = self.send_repeatable(request, body, self.timeout, Duration::ZERO).await?;
        self.decode(&answer)
    }

    fn decode<A: DeserializeOwned>(&self, answer: &Answer) -> Result<A, Error> {
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
        let request = self.request(request, body)?;
        // Also when the caller stops waiting first, and this future is dropped.
        let doubt = Doubt { client: self };
        let exchange = tokio::time::timeout(timeout, self.exchange(request));
        let Ok(answer) = exchange.await else {
            return NoAnswerSnafu { address: self.address }.fail();
        };
        doubt.settle();
        answer
    }

    /// As [`Self::send_within`], for a request whose effect is the same however often it arrives.
    /// The server may let `wait` pass before it answers.
    ///
    /// # Errors
    ///
    /// As for [`Self::send`].
    pub async fn send_repeatable(
        &self,
        request: http::request::Builder,
        body: Bytes,
        timeout: Duration,
        wait: Duration,
    ) -> Result<Answer, Error> {
        let request = self.request(request, body)?;
        let exchange = || self.exchange(request.clone());
        self.repeat(exchange, timeout, wait).await
    }

    /// As [`Self::send_repeatable`], for a request that may depend on which process it reaches: `request` makes it
    /// for the process that answered over its connection before, or for one that is not known.
    ///
    /// # Errors
    ///
    /// As for [`Self::send`].
    pub async fn send_by_process(
        &self,
        request: impl Fn(Option<u64>) -> (http::request::Builder, Bytes),
        timeout: Duration,
        wait: Duration,
    ) -> Result<Heard, Error> {
        let request = |process| {
            let (request, body) = request(process);
            self.request(request, body)
        };
        let exchange = || self.exchange_on_line(&request);
        self.repeat(exchange, timeout, wait).await
    }

    /// Sends a request over a connection that leads to `process`; none where there is no such connection.
    ///
    /// # Errors
    ///
    /// As for [`Self::send`].
    pub async fn send_to_process(
        &self,
        process: u64,
        request: http::request::Builder,
        body: Bytes,
        timeout: Duration,
    ) -> Option<Result<Heard, Error>> {
        let mut line = self.idle_line(|line| line.process == Some(process)).await?;
        let request = match self.request(request, body) {
            Ok(request) => request,
            Err(error) => return Some(Err(error)),
        };
        let doubt = Doubt { client: self };
        let exchange = tokio::time::timeout(timeout, line.exchange(request));
        let Ok(answer) = exchange.await else {
            return Some(NoAnswerSnafu { address: self.address }.fail());
        };
        doubt.settle();
        let lines = Arc::clone(&self.lines);
        Some(answer.map(|answer| Heard { answer, line, lines }))
    }

    /// The first answer to some tries of one request, within `timeout`.
    async fn repeat<T: AsRef<Answer>, F: Future<Output = Result<T, Error>>>(
        &self,
        exchange: impl Fn() -> F,
        timeout: Duration,
        wait: Duration,
    ) -> Result<T, Error> {
        let doubt = Doubt { client: self };
        let Ok(answer) = tokio::time::timeout(timeout, self.tries(exchange, wait)).await else {
            // It takes at least as long, so that a server that turns this slow is not asked thrice each time.
            self.latency().observe(timeout.saturating_sub(wait));
            return NoAnswerSnafu { address: self.address }.fail();
        };
        doubt.settle();
        answer
    }

    /// Time after which an answer is overdue now, beyond what the server may wait.
    #[must_use]
    pub fn overdue(&self) -> Duration {
        self.latency().overdue()
    }

    fn request(
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

    /// The first answer to some tries, each begun when the one before is overdue or has failed.
    async fn tries<T: AsRef<Answer>, F: Future<Output = Result<T, Error>>>(
        &self,
        exchange: impl Fn() -> F,
        wait: Duration,
    ) -> Result<T, Error> {
        let mut tries = FuturesUnordered::new();
        let mut overdue = self.latency().overdue();
        let mut failed = Failures::default();
        for _ in 0..MOST_TRIES {
            tries.push(self.observed(exchange(), wait));
            match tokio::time::timeout(wait + overdue, tries.next()).await {
                Ok(Some(result)) => {
                    if let Some(answer) = failed.sift(result, !tries.is_empty()) {
                        return Ok(answer);
                    }
                }
                Ok(None) | Err(_) => {
                    log::info!(
                        "event=answer_overdue server={} after_ms={}",
                        self.address,
                        (wait + overdue).as_millis()
                    );
                    // A lost answer says nothing of how long answers take: only those that come do.
                    overdue *= 2;
                }
            }
            self.renew();
        }
        while let Some(result) = tries.next().await {
            if let Some(answer) = failed.sift(result, !tries.is_empty()) {
                return Ok(answer);
            }
        }
        let address = self.address;
        if failed.doubtful {
            NoAnswerSnafu { address }.fail()
        } else {
            NotSentSnafu { address }.fail()
        }
    }

    /// An exchange whose time is noted, unless the server was asked to wait.
    async fn observed<T>(
        &self,
        exchange: impl Future<Output = Result<T, Error>>,
        wait: Duration,
    ) -> Result<T, Error> {
        let sent = Instant::now();
        let answer = exchange.await?;
        if wait.is_zero() {
            self.latency().observe(sent.elapsed());
        }
        Ok(answer)
    }

    fn latency(&self) -> MutexGuard<'_, Latency> {
        self.latency.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Gives up the idle connections; calls under way keep theirs.
    fn renew(&self) {
        *self.connections() = connections(self.connect_timeout);
        self.lines().clear();
    }

    fn lines(&self) -> MutexGuard<'_, Vec<Line>> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// An idle connection that is still open, the one used last.
    async fn idle_line(&self, suits: impl Fn(&Line) -> bool) -> Option<Line> {
        loop {
            let mut line = {
                let mut lines = self.lines();
                let at = lines.iter().rposition(&suits)?;
                lines.remove(at)
            };
            if line.is_open().await {
                return Some(line);
            }
        }
    }

    async fn exchange_on_line(
        &self,
        request: &impl Fn(Option<u64>) -> Result<Request<Full<Bytes>>, Error>,
    ) -> Result<Heard, Error> {
        let mut line = match self.idle_line(|_| true).await {
            Some(line) => line,
            None => Line::open(connector(self.connect_timeout), self.address).await?,
        };
        let answer = line.exchange(request(line.process)?).await?;
        Ok(Heard { answer, line, lines: Arc::clone(&self.lines) })
    }

    fn connections(&self) -> MutexGuard<'_, Connections> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Answer, Error> {
        let address = self.address;
        let connections = self.connections().clone();
        let answer = match connections.request(request).await {
            Ok(answer) => answer,
            Err(error) if error.is_connect() => return NotSentSnafu { address }.fail(),
            Err(_) => return NoAnswerSnafu { address }.fail(),
        };
        whole(address, answer).await
    }
}

/// Reads the whole of an answer.
pub(crate) async fn whole(
    address: SocketAddr,
    answer: http::Response<Incoming>,
) -> Result<Answer, Error> {
    let (head, body) = answer.into_parts();
    let Ok(whole) = Limited::new(body, MAX_ANSWER_BYTES).collect().await else {
        return NoAnswerSnafu { address }.fail();
    };
    Ok(Answer { head, body: whole.to_bytes() })
}

/// What became of tries of one request that gave no answer to return.
#[derive(Debug, Default)]
struct Failures {
    /// Whether one of them may have had its effect.
    doubtful: bool,
}

impl Failures {
    /// The answer of a try, if it tells the fate of the request. A refusal tells that of its own try
    /// only, so it is no answer while another may have had its effect, or yet have it.
    fn sift<T: AsRef<Answer>>(
        &mut self,
        result: Result<T, Error>,
        others_under_way: bool,
    ) -> Option<T> {
        match result {
            Ok(answer)
                if is_refusal(answer.as_ref().head.status)
                    && (self.doubtful || others_under_way) =>
            {
                self.doubtful = true;
                None
            }
            Ok(answer) => Some(answer),
            Err(error) => {
                self.doubtful |= !matches!(error, Error::NotSent { .. });
                None
            }
        }
    }
}

/// Whether a status says that the server has done nothing for now.
fn is_refusal(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::INSUFFICIENT_STORAGE
    )
}

fn encode(body: Option<&impl Serialize>) -> Bytes {
    let bytes = body.map(|body| serde_json::to_vec(body).expect("requests have a JSON form"));
    bytes.unwrap_or_default().into()
}

/// Connections to one server, none open yet.
fn connections(connect_timeout: Duration) -> Connections {
    Pool::builder(TokioExecutor::new()).build(connector(connect_timeout))
}

fn connector(connect_timeout: Duration) -> HttpConnector {
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
struct Doubt<'a> {
    client: &'a Client,
}

impl Doubt<'_> {
    /// The call has ended with an answer, or with an error of its connection.
    fn settle(self) {
        std::mem::forget(self);
    }
}

impl Drop for Doubt<'_> {
    fn drop(&mut self) {
        self.client.renew();
    }
}
