//! HTTP interface for callers.
//!
//! `ANY /{service}/...` is forwarded to the service's pool. A request with the header
//! `payment-key`, a UUID of version 7, runs at most once, however often it is sent;
//! `request-timeout-ms` limits the time to its final answer. `GET /v1/outcomes/{key}` returns the
//! outcome of the request with a key. Every response has the header `crosspath-outcome`, and one
//! that a daemon gives itself also has `crosspath-reason`; see `docs/CALLERS.md`.
//!
//! This crate reads and validates requests and writes responses. [`Handler`] runs the requests.

mod headers;
mod request;
mod response;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use crosspath_http::Body;
use crosspath_http::body::Inbound;
use crosspath_http::server::{self, Limits, Stage};
use crosspath_route::answer::Final;
use crosspath_route::claim::Verdict;
use crosspath_route::key::Key;
use crosspath_state::name::CallerName;
use http::{Request, Response};
use tokio::net::TcpListener;
use tokio::sync::watch;

pub use headers::{PAYMENT_KEY, REQUEST_TIMEOUT_MS, strip_hop_by_hop};
pub use request::{Payment, Rejection};
pub use response::{OUTCOME, REASON};

/// Final answer to a request.
#[derive(Debug)]
pub enum Reply {
    /// Response of the upstream to this request.
    Upstream(Response<Body>),
    /// Answer from the claim on the key, such as the recorded response to an earlier request.
    Recorded(Verdict),
    /// Answer that the daemon gives itself.
    Final(Final),
}

/// Authenticates callers and runs their requests.
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// Caller to which `token` belongs; none if the token is unknown.
    fn caller(&self, token: &str) -> Option<CallerName>;

    /// Whether `service` names a service that callers may request.
    fn has_service(&self, service: &str) -> bool;

    /// Runs a request and returns its final answer.
    async fn run(&self, payment: Payment) -> Reply;

    /// Looks up the outcome of the request that `caller` sent with a key.
    async fn outcome(&self, key: Key, caller: &CallerName) -> Reply;

    /// Counts a request that was rejected before it was run.
    fn count_rejected(&self, rejection: &Rejection);
}

/// Limits on a request's body.
#[derive(Debug, Clone, Copy)]
pub struct BodyLimits {
    /// Maximum size of the body in bytes.
    pub body_bytes: u64,
    /// Maximum time for the whole body to arrive.
    pub body_timeout: Duration,
}

/// Serves callers on `listener` until `stop` ends the server.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    limits: Limits,
    body_limits: BodyLimits,
    stop: watch::Receiver<Stage>,
    handler: Arc<H>,
) {
    let limits = Limits { refusal_headers: response::REFUSAL_HEADERS, ..limits };
    let handle = move |request: Request<Inbound>, _: SocketAddr| {
        let handler = Arc::clone(&handler);
        async move { respond(request, body_limits, &*handler).await }
    };
    server::serve(listener, limits, stop, handle).await;
}

async fn respond<H: Handler>(
    request: Request<Inbound>,
    body_limits: BodyLimits,
    handler: &H,
) -> Response<Body> {
    match request::read(request, body_limits, handler).await {
        Ok(request::Parsed::Payment(payment)) => response::reply(handler.run(*payment).await),
        Ok(request::Parsed::Outcome { key, caller }) => {
            response::reply(handler.outcome(key, &caller).await)
        }
        Err(rejection) => {
            handler.count_rejected(&rejection);
            response::rejection(&rejection)
        }
    }
}
