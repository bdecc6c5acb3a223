//! The operators' resource API.
//!
//! `GET/PUT/DELETE /v1/{kind}/{name}`, lists at `GET /v1/{kind}`, changes as JSON lines at
//! `GET /v1/{kind}?watch=REVISION`, the daemons at `GET /v1/status`, the fate of a change at
//! `GET /v1/changes/{id}`, what stands in the way at `GET /v1/explain/{vms|jobs}/{name}`, and
//! `/metrics`, `/livez` and `/readyz` without a token. Every change that is answered with success
//! has been folded, and carries its revision as `ETag`.

pub mod model;
mod response;
mod route;
mod watch;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use crosspath_http::server::{self, Limits, Stage};
use crosspath_settings::{Operator, Right};
use crosspath_state::record::{Change, Revision};
use crosspath_state::resource::Id;
use crosspath_state::{Conflict, State};
use http::Request;
use hyper::body::Incoming;
use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::sync::watch as channel;

use model::{Explanation, Outcome, Status};

/// A change that was not accepted, or not certainly.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum CommitError {
    /// The fold rejected it.
    #[snafu(display("{conflict}"))]
    Rejected {
        /// Why.
        conflict: Conflict,
    },
    /// It was not appended; nothing changed.
    #[snafu(display("the log does not take changes now; nothing was changed"))]
    NotAccepted,
    /// It may have been appended.
    #[snafu(display("whether the change was accepted is not known; ask for change {change}"))]
    Unknown {
        /// Id to ask for.
        change: String,
    },
}

/// What the API asks of the daemon.
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// The state, updated as records are folded.
    fn state(&self) -> channel::Receiver<Arc<State>>;

    /// Appends changes together and waits until they are folded; gives their revision.
    ///
    /// # Errors
    ///
    /// [`CommitError`].
    async fn commit(&self, changes: Vec<Change>) -> Result<Revision, CommitError>;

    /// What became of a change whose fate was not known.
    fn outcome(&self, change: &str) -> Outcome;

    /// The daemons as this one sees them.
    fn status(&self) -> Status;

    /// What stands in the way of a VM or job; none when the resource does not exist.
    fn explain(&self, id: &Id) -> Option<Explanation>;

    /// The metrics as text.
    fn metrics(&self) -> String;

    /// Whether the daemon takes callers' requests.
    fn is_ready(&self) -> bool;

    /// A recent state at a revision, or the last one before it; none when that is too old.
    fn state_at(&self, revision: Revision) -> Option<Arc<State>>;

    /// Counts a request that was turned away, by status.
    fn count_rejected(&self, status: u16);
}

/// Limits on a request.
#[derive(Debug, Clone, Copy)]
pub struct BodyLimits {
    /// Bytes of a body.
    pub body_bytes: u64,
    /// Time for a body to arrive.
    pub body_timeout: Duration,
}

/// Who may do what.
#[derive(Debug, Clone)]
pub struct Access {
    operators: Arc<[Operator]>,
}

impl Access {
    /// Lets these operators in.
    #[must_use]
    pub fn new(operators: Vec<Operator>) -> Self {
        Self { operators: operators.into() }
    }

    /// The operator that shows `token`; every one is compared, so that time tells nothing.
    fn authenticate(&self, token: &str) -> Option<&Operator> {
        let mut matching = None;
        for operator in self.operators.iter() {
            if operator.token.matches(token) {
                matching = Some(operator);
            }
        }
        matching
    }
}

fn has_right(operator: &Operator, right: Right) -> bool {
    operator.rights.contains(&right)
}

/// Answers operators on `listener` until the stop says otherwise.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    limits: Limits,
    body_limits: BodyLimits,
    stop: channel::Receiver<Stage>,
    access: Access,
    handler: Arc<H>,
) {
    let stop_stage = stop.clone();
    let respond = move |request: Request<Incoming>, _: SocketAddr| {
        let (handler, access, stop) = (Arc::clone(&handler), access.clone(), stop_stage.clone());
        async move { route::respond(request, body_limits, &access, handler, stop).await }
    };
    server::serve(listener, limits, stop, respond).await;
}
