//! Connections that are bound to a known server process.
//!
//! A pool returns any connection to an address. After a restart of the server, a new connection
//! leads to another process, which cannot be detected before the first response. An open
//! connection, however, always leads to the process that has already answered over it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Uri, header};
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::client::legacy::connect::HttpConnector;
use tower::ServiceExt as _;

use crate::client::{
    Client, Error, NoAnswerSnafu, NotSentSnafu, PendingCall, Response, connector, read_response,
};

/// Response together with the connection over which it came. The connection is closed on drop
/// unless it is kept alive.
#[derive(Debug)]
pub struct Exchange {
    /// Response to the request.
    pub response: Response,
    connection: Connection,
    idle: Arc<Mutex<Vec<Connection>>>,
}

impl AsRef<Response> for Exchange {
    fn as_ref(&self) -> &Response {
        &self.response
    }
}

impl Exchange {
    /// Keeps the connection for further requests, bound to the same process as before.
    pub fn keep_alive(self) -> Response {
        let process = self.connection.process;
        self.keep_alive_to(process)
    }

    /// Keeps the connection for further requests and binds it to `process`; `None` if the response
    /// does not identify the process.
    pub fn keep_alive_to(self, process: Option<u64>) -> Response {
        let mut connection = self.connection;
        connection.process = process;
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).push(connection);
        self.response
    }
}

/// Connection that carries one request at a time.
#[derive(Debug)]
pub(crate) struct Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    /// Process that answered last over the connection; `None` if no response has identified it.
    pub(crate) process: Option<u64>,
}

impl Connection {
    /// Connects to `address`. Which process is at the other end is unknown until it answers.
    pub(crate) async fn open(connector: HttpConnector, address: SocketAddr) -> Result<Self, Error> {
        let uri: Uri =
            format!("http://{address}/").parse().expect("socket address is a valid URI authority");
        let Ok(stream) = connector.oneshot(uri).await else {
            return NotSentSnafu { address }.fail();
        };
        let Ok((sender, connection)) = http1::handshake(stream).await else {
            return NotSentSnafu { address }.fail();
        };
        drop(tokio::spawn(connection));
        Ok(Self { address, sender, process: None })
    }

    /// Waits until the connection can carry another request; false if it is closed.
    pub(crate) async fn is_open(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and reads the whole response.
    pub(crate) async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response, Error> {
        let address = self.address;
        match self.sender.send_request(in_origin_form(request, address)).await {
            Ok(response) => read_response(address, response).await,
            Err(error) if error.is_canceled() => NotSentSnafu { address }.fail(),
            Err(_) => NoAnswerSnafu { address }.fail(),
        }
    }
}

impl Client {
    /// As [`Self::send_idempotent`], for a request whose content depends on the process that it
    /// reaches. `request` receives the process that the connection is bound to, or `None` if that
    /// is unknown.
    ///
    /// # Errors
    ///
    /// As for [`Self::send`].
    pub async fn send_idempotent_with(
        &self,
        request: impl Fn(Option<u64>) -> (http::request::Builder, Bytes),
        timeout: Duration,
        wait: Duration,
    ) -> Result<Exchange, Error> {
        let request = |process| {
            let (request, body) = request(process);
            self.request(request, body)
        };
        let exchange = || self.exchange_over_connection(&request);
        self.hedge(exchange, timeout, wait).await
    }

    /// Sends a request over an idle connection that is bound to `process`. Returns `None` without
    /// sending if there is no such connection.
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
    ) -> Option<Result<Exchange, Error>> {
        let matches_process = |connection: &Connection| connection.process == Some(process);
        let mut connection = self.idle_connection(matches_process).await?;
        let request = match self.request(request, body) {
            Ok(request) => request,
            Err(error) => return Some(Err(error)),
        };
        let pending = PendingCall { client: self };
        let exchange = tokio::time::timeout(timeout, connection.exchange(request));
        let Ok(response) = exchange.await else {
            return Some(NoAnswerSnafu { address: self.address }.fail());
        };
        pending.complete();
        let idle = Arc::clone(&self.idle);
        Some(response.map(|response| Exchange { response, connection, idle }))
    }

    pub(crate) fn idle(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the most recently used idle connection that matches and is still open.
    async fn idle_connection(&self, matches: impl Fn(&Connection) -> bool) -> Option<Connection> {
        loop {
            let mut connection = {
                let mut idle = self.idle();
                let index = idle.iter().rposition(&matches)?;
                idle.remove(index)
            };
            if connection.is_open().await {
                return Some(connection);
            }
        }
    }

    async fn exchange_over_connection(
        &self,
        request: &impl Fn(Option<u64>) -> Result<Request<Full<Bytes>>, Error>,
    ) -> Result<Exchange, Error> {
        let mut connection = match self.idle_connection(|_| true).await {
            Some(connection) => connection,
            None => {
                Connection::open(connector(self.connect_timeout, self.source), self.address).await?
            }
        };
        let response = connection.exchange(request(connection.process)?).await?;
        Ok(Exchange { response, connection, idle: Arc::clone(&self.idle) })
    }
}

/// Converts the request to origin form: the URI is reduced to path and query, and the `Host` header
/// names the server.
fn in_origin_form(mut request: Request<Full<Bytes>>, address: SocketAddr) -> Request<Full<Bytes>> {
    let path = request.uri().path_and_query().cloned();
    *request.uri_mut() = path.map(Uri::from).unwrap_or_default();
    let host =
        HeaderValue::try_from(address.to_string()).expect("socket address is a valid header value");
    request.headers_mut().insert(header::HOST, host);
    request
}
