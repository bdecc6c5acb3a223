//! HTTP client for upstreams.
//!
//! Each request has a connection to itself while it runs. A connection is reused only after the
//! whole response has arrived; otherwise it is closed, so that a late response can never be taken
//! for that of another request. A failure tells whether any byte can have reached the upstream.

mod body;
mod connection;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use tokio::time::Instant;

pub use body::StreamingBody;
use connection::{Connection, SendResult};

/// Maximum number of idle connections to each upstream.
pub const MAX_IDLE: usize = 8;

/// Failure of an exchange before the head of the response arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq, snafu::Snafu)]
pub enum Failure {
    /// No byte of the request can have reached the upstream.
    #[snafu(display("request was not sent to the upstream"))]
    NotSent,
    /// The connection broke after the request may have been sent.
    #[snafu(display("connection to the upstream broke after the request may have been sent"))]
    Broken,
    /// No response arrived before the deadline.
    #[snafu(display("upstream did not respond before the deadline"))]
    Timeout,
}

/// Idle connections by the address of the upstream.
#[derive(Debug, Default)]
pub(crate) struct IdlePool {
    connections: Mutex<HashMap<SocketAddr, Vec<Connection>>>,
}

impl IdlePool {
    fn acquire(&self, address: SocketAddr) -> Option<Connection> {
        let mut connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        let idle = connections.get_mut(&address)?;
        while let Some(connection) = idle.pop() {
            if connection.is_open() {
                return Some(connection);
            }
        }
        None
    }

    pub(crate) fn release(&self, connection: Connection) {
        let mut connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        let idle = connections.entry(connection.address()).or_default();
        if idle.len() < MAX_IDLE {
            idle.push(connection);
        }
    }

    fn close(&self, address: SocketAddr) {
        let mut connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        connections.remove(&address);
    }
}

/// HTTP client for all upstreams; clones share their idle connections.
#[derive(Debug, Clone, Default)]
pub struct Upstreams {
    idle: Arc<IdlePool>,
}

impl Upstreams {
    /// Sends a request and returns the response with a streaming body, which fails at `deadline` if
    /// it is not complete.
    ///
    /// # Errors
    ///
    /// [`Failure`], which tells whether the request can have reached the upstream.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<Response<StreamingBody>, Failure> {
        let request = match self.idle.acquire(address) {
            None => request,
            Some(connection) => match self.exchange(connection, request, deadline).await {
                Ok(response) => return Ok(response),
                // The upstream closed the connection while it was idle.
                Err((Failure::NotSent, Some(request))) => *request,
                Err((failure, _)) => return Err(failure),
            },
        };
        let opened = tokio::time::timeout_at(deadline, Connection::open(address)).await;
        let Ok(Ok(connection)) = opened else {
            return NotSentSnafu.fail();
        };
        self.exchange(connection, request, deadline).await.map_err(|(failure, _)| failure)
    }

    async fn exchange(
        &self,
        mut connection: Connection,
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<Response<StreamingBody>, (Failure, Option<Box<Request<Full<Bytes>>>>)> {
        let sent = tokio::time::timeout_at(deadline, connection.send(request)).await;
        match sent {
            Ok(SendResult::Answered(response)) => {
                let idle = Arc::clone(&self.idle);
                Ok(response.map(|body| StreamingBody::new(body, connection, idle, deadline)))
            }
            Ok(SendResult::NotSent(request)) => Err((Failure::NotSent, Some(request))),
            Ok(SendResult::Broken) => Err((Failure::Broken, None)),
            Err(_) => Err((Failure::Timeout, None)),
        }
    }

    /// Closes the idle connections to an upstream, as when it leaves the pool.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.close(address);
    }
}
