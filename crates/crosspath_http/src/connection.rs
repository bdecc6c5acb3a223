//! Connections of which it is known which process is at their other end.
//!
//! A pool hands out any connection to an address. After a restart of the server a new one leads to another process, and
//! nothing tells before its first answer. As long as a connection is open, though, it leads to the process that
//! answered over it before.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Uri, header};
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::client::legacy::connect::HttpConnector;
use tower::ServiceExt as _;

use crate::client::{Answer, Client, Doubt, Error, NoAnswerSnafu, NotSentSnafu, connector, whole};

/// An answer, and the connection that it came over; closed unless it is kept.
#[derive(Debug)]
pub struct Heard {
    /// The answer.
    pub answer: Answer,
    connection: Connection,
    idle: Arc<Mutex<Vec<Connection>>>,
}

impl AsRef<Answer> for Heard {
    fn as_ref(&self) -> &Answer {
        &self.answer
    }
}

impl Heard {
    /// Keeps the connection for further requests.
    pub fn keep(self) -> Answer {
        let process = self.connection.process;
        self.keep_to(process)
    }

    /// Keeps the connection for further requests; the answer tells which process it leads to, or does not.
    pub fn keep_to(self, process: Option<u64>) -> Answer {
        let mut connection = self.connection;
        connection.process = process;
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).push(connection);
        self.answer
    }
}

/// A connection for one request at a time.
#[derive(Debug)]
pub(crate) struct Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    /// The process that answered over it last, as far as its answer told.
    pub(crate) process: Option<u64>,
}

impl Connection {
    /// Opens a connection.
    pub(crate) async fn open(connector: HttpConnector, address: SocketAddr) -> Result<Self, Error> {
        let uri: Uri = format!("http://{address}/").parse().expect("an address makes a URI");
        let Ok(stream) = connector.oneshot(uri).await else {
            return NotSentSnafu { address }.fail();
        };
        let Ok((sender, connection)) = http1::handshake(stream).await else {
            return NotSentSnafu { address }.fail();
        };
        drop(tokio::spawn(connection));
        Ok(Self { address, sender, process: None })
    }

    /// Whether another request can be sent.
    pub(crate) async fn is_open(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and reads the whole answer.
    pub(crate) async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Answer, Error> {
        let address = self.address;
        match self.sender.send_request(in_origin_form(request, address)).await {
            Ok(answer) => whole(address, answer).await,
            Err(error) if error.is_canceled() => NotSentSnafu { address }.fail(),
            Err(_) => NoAnswerSnafu { address }.fail(),
        }
    }
}

impl Client {
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
        let exchange = || self.exchange_directly(&request);
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
        let leads_there = |connection: &Connection| connection.process == Some(process);
        let mut connection = self.idle_connection(leads_there).await?;
        let request = match self.request(request, body) {
            Ok(request) => request,
            Err(error) => return Some(Err(error)),
        };
        let doubt = Doubt { client: self };
        let exchange = tokio::time::timeout(timeout, connection.exchange(request));
        let Ok(answer) = exchange.await else {
            return Some(NoAnswerSnafu { address: self.address }.fail());
        };
        doubt.settle();
        let idle = Arc::clone(&self.idle);
        Some(answer.map(|answer| Heard { answer, connection, idle }))
    }

    pub(crate) fn idle(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// An idle connection that is still open, the one used last.
    async fn idle_connection(&self, suits: impl Fn(&Connection) -> bool) -> Option<Connection> {
        loop {
            let mut connection = {
                let mut idle = self.idle();
                let at = idle.iter().rposition(&suits)?;
                idle.remove(at)
            };
            if connection.is_open().await {
                return Some(connection);
            }
        }
    }

    async fn exchange_directly(
        &self,
        request: &impl Fn(Option<u64>) -> Result<Request<Full<Bytes>>, Error>,
    ) -> Result<Heard, Error> {
        let mut connection = match self.idle_connection(|_| true).await {
            Some(connection) => connection,
            None => Connection::open(connector(self.connect_timeout), self.address).await?,
        };
        let answer = connection.exchange(request(connection.process)?).await?;
        Ok(Heard { answer, connection, idle: Arc::clone(&self.idle) })
    }
}

/// The request as servers take it: its URI is a path, and a header names the server.
fn in_origin_form(mut request: Request<Full<Bytes>>, address: SocketAddr) -> Request<Full<Bytes>> {
    let path = request.uri().path_and_query().cloned();
    *request.uri_mut() = path.map(Uri::from).unwrap_or_default();
    let host = HeaderValue::try_from(address.to_string()).expect("an address makes a header");
    request.headers_mut().insert(header::HOST, host);
    request
}
