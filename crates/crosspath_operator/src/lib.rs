//! HTTP API with which operators manage resources.
//!
//! | Request                                | Response                                            |
//! | -------------------------------------- | --------------------------------------------------- |
//! | `GET/PUT/DELETE /v1/{kind}/{name}`     | one resource                                        |
//! | `PUT /v1/waves/{name}/phase`           | the wave, after its phase was set                   |
//! | `GET /v1/{kind}`                       | all resources of a kind                             |
//! | `GET /v1/{kind}?watch=REVISION`        | changes after a revision, as a stream of JSON lines |
//! | `GET /v1/status`                       | the daemons                                         |
//! | `GET /v1/changes/{id}`                 | outcome of a change                                 |
//! | `GET /v1/explain/{vms or jobs}/{name}` | what blocks a VM or a job                           |
//! | `GET /metrics`, `/livez`, `/readyz`    | metrics and probes, without a token                 |
//!
//! A change that is answered with success has been applied to the state. The response has its
//! revision as `ETag`.

pub mod model;
mod response;
mod route;
mod watch;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use crosspath_http::body::Inbound;
use crosspath_http::server::{self, Limits, Stage};
use crosspath_settings::{Operator, Right};
use crosspath_state::record::{Change, Revision};
use crosspath_state::resource::Id;
use crosspath_state::{Conflict, State};
use http::Request;
use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::sync::watch as channel;

use model::{Explanation, Outcome, Status};

/// A change was not accepted, or it is unknown whether it was.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum CommitError {
    /// The change was appended, and rejected when it was applied to the state.
    #[snafu(display("{conflict}"))]
    Rejected {
        /// Rule or precondition that the change violates.
        conflict: Conflict,
    },
    /// The change was not accepted. It had no effect and will have none.
    #[snafu(display("the log does not take changes now; nothing was changed"))]
    NotAccepted,
    /// The change may have been appended to the log.
    #[snafu(display("whether the change was accepted is not known; ask for change {change}"))]
    Unknown {
        /// Identifier with which `GET /v1/changes/{id}` reports the outcome.
        change: String,
    },
}

/// Operations of the daemon that the API calls.
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// Subscribes to the daemon's state, which changes as log records are applied.
    fn state(&self) -> channel::Receiver<Arc<State>>;

    /// Appends `changes` to the log as one batch, waits until they are applied, and returns their
    /// revision.
    ///
    /// # Errors
    ///
    /// [`CommitError`] if a change was rejected, nothing was appended, or the outcome is unknown.
    async fn commit(&self, changes: Vec<Change>) -> Result<Revision, CommitError>;

    /// Returns the outcome of a change that was reported as [`CommitError::Unknown`].
    fn outcome(&self, change: &str) -> Outcome;

    /// Returns the status of all daemons, as far as this one knows it.
    fn status(&self) -> Status;

    /// Returns what blocks a VM or a job, or `None` if the resource does not exist.
    fn explain(&self, id: &Id) -> Option<Explanation>;

    /// Returns all metrics as OpenMetrics text.
    fn metrics(&self) -> String;

    /// Returns whether the daemon accepts callers' requests.
    fn is_ready(&self) -> bool;

    /// Returns the newest retained state that is not after `revision`, or `None` if all retained
    /// states are after it.
    fn state_at(&self, revision: Revision) -> Option<Arc<State>>;

    /// Counts a request that was answered with an error status.
    fn count_rejected(&self, status: u16);
}

/// Limits on the body of a request.
#[derive(Debug, Clone, Copy)]
pub struct BodyLimits {
    /// Maximum size, in bytes.
    pub body_bytes: u64,
    /// Maximum time from the head of a request to the end of its body.
    pub body_timeout: Duration,
}

/// Operators that may use the API, with their tokens and rights.
#[derive(Debug, Clone)]
pub struct Access {
    operators: Arc<[Operator]>,
}

impl Access {
    /// Grants access to `operators` alone.
    #[must_use]
    pub fn new(operators: Vec<Operator>) -> Self {
        Self { operators: operators.into() }
    }

    /// Returns the operator with `token`. Compares all operators, so that the response time does
    /// not reveal which one matches.
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

/// Serves the API on `listener` until `stop` reaches [`Stage::Finishing`], then until no request is
/// in flight or `stop` reaches [`Stage::Ended`].
pub async fn serve<H: Handler>(
    listener: TcpListener,
    limits: Limits,
    body_limits: BodyLimits,
    stop: channel::Receiver<Stage>,
    access: Access,
    handler: Arc<H>,
) {
    let stop_stage = stop.clone();
    let respond = move |request: Request<Inbound>, _: SocketAddr| {
        let (handler, access, stop) = (Arc::clone(&handler), access.clone(), stop_stage.clone());
        async move { route::respond(request, body_limits, &access, handler, stop).await }
    };
    server::serve(listener, limits, stop, respond).await;
}
