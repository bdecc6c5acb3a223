//! HTTP from callers.
//!
//! `ANY /{service}/...` is passed to the service's pool. A request may carry `payment-key`, a UUID
//! of version 7, and then runs at most once however often it is sent, and `request-timeout-ms`.
//! `GET /v1/outcomes/{key}` tells what is known of a key. An answer that is not the upstream's own
//! carries `crosspath-outcome` and `crosspath-reason`; see `docs/CALLERS.md`.
//!
//! This crate reads and checks requests and writes answers; what happens to a request in between
//! stands behind [`Handler`].

mod headers;
mod request;
mod response;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use crosspath_http::Body;
use crosspath_http::server::{self, Limits, Stage};
use crosspath_route::answer::Final;
use crosspath_route::claim::Verdict;
use crosspath_route::key::Key;
use crosspath_state::name::CallerName;
use http::{Request, Response};
use hyper::body::Incoming;
use tokio::net::TcpListener;
use tokio::sync::watch;

pub use headers::{PAYMENT_KEY, REQUEST_TIMEOUT_MS, strip_hop_by_hop};
pub use request::{Payment, Rejection};
pub use response::{OUTCOME, REASON};

/// What a request ends with.
#[derive(Debug)]
pub enum Reply {
    /// The upstream's own answer.
    Upstream(Response<Body>),
    /// The upstream's answer to an earlier request with the same key.
    Recorded(Verdict),
    /// An answer that is not the upstream's own.
    Final(Final),
}

/// What is done with callers' requests.
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// The caller that shows `token`, if there is one.
    fn caller(&self, token: &str) -> Option<CallerName>;

    /// Whether callers may ask for this service.
    fn has_service(&self, service: &str) -> bool;

    /// Runs a request.
    async fn run(&self, payment: Payment) -> Reply;

    /// What is known of a key that `caller` used.
    async fn outcome(&self, key: Key, caller: &CallerName) -> Reply;

    /// Counts a request that was turned away before it was run.
    fn count_rejected(&self, rejection: &Rejection);
}

/// Limits on a request.
#[derive(Debug, Clone, Copy)]
pub struct BodyLimits {
    /// Bytes of a body.
    pub body_bytes: u64,
    /// Time for a body to arrive.
    pub body_timeout: Duration,
}

/// Answers callers on `listener` until the stop says otherwise.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    limits: Limits,
    body_limits: BodyLimits,
    stop: watch::Receiver<Stage>,
    handler: Arc<H>,
) {
    let answer = move |request: Request<Incoming>, _: SocketAddr| {
        let handler = Arc::clone(&handler);
        async move { answer_one(request, body_limits, &*handler).await }
    };
    server::serve(listener, limits, stop, answer).await;
}

async fn answer_one<H: Handler>(
    request: Request<Incoming>,
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
