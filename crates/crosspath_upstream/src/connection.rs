//! HTTP/1 connection to an upstream.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use snafu::{ResultExt as _, Snafu};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Failure to open a connection.
#[derive(Debug, Snafu)]
pub(crate) enum OpenError {
    #[snafu(display("upstream connect timed out after {} ms", CONNECT_TIMEOUT.as_millis()))]
    Timeout { source: tokio::time::error::Elapsed },
    #[snafu(display("TCP connect to the upstream failed"))]
    Connect { source: std::io::Error },
    #[snafu(display("HTTP handshake with the upstream failed"))]
    Handshake { source: hyper::Error },
}

/// Result of sending a request.
pub(crate) enum SendResult {
    Answered(Response<Incoming>),
    NotSent(Box<Request<Full<Bytes>>>),
    Broken,
}

/// An open connection; dropping it closes it at once.
#[derive(Debug)]
pub(crate) struct Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
}

impl Connection {
    pub(crate) async fn open(address: SocketAddr) -> Result<Self, OpenError> {
        let stream = TcpStream::connect(address);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, stream).await;
        let stream = stream.context(TimeoutSnafu)?.context(ConnectSnafu)?;
        stream.set_nodelay(true).context(ConnectSnafu)?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, driver) = handshake.context(HandshakeSnafu)?;
        let driver = tokio::spawn(async move {
            if let Err(error) = driver.await {
                log::debug!("event=upstream_connection_ended upstream={address} error={error}");
            }
        });
        Ok(Self { address, sender, driver: driver.abort_handle() })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn is_open(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    pub(crate) async fn send(&mut self, request: Request<Full<Bytes>>) -> SendResult {
        match self.sender.try_send_request(request).await {
            Ok(response) => SendResult::Answered(response),
            // The library returns the request only if it has written none of it.
            Err(mut error) => match error.take_message() {
                Some(request) => SendResult::NotSent(Box::new(request)),
                None => SendResult::Broken,
            },
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
