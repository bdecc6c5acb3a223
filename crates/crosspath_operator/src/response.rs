//! Error responses of the API, and helpers for successful ones.

use crosspath_http::Body;
use crosspath_http::body::{self, BodyError};
use crosspath_http::server::RETRY_AFTER_S;
use crosspath_state::Conflict;
use crosspath_state::record::Revision;
use http::{HeaderValue, Response, StatusCode, header};
use serde::Serialize;
use snafu::Snafu;

use crate::CommitError;
use crate::model::Problem;

#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum Error {
    #[snafu(display("no valid bearer token"))]
    Unauthorized,
    #[snafu(display("this operator has no right to do that"))]
    Forbidden,
    #[snafu(display("no such path; see the list of kinds in docs/operators/api.md"))]
    UnknownPath,
    #[snafu(display("{id} does not exist"))]
    NotFound { id: String },
    #[snafu(display("method is not allowed here"))]
    MethodNotAllowed,
    #[snafu(display("{name} is not valid: {value}"))]
    InvalidParameter { name: &'static str, value: String },
    #[snafu(display("{source}"))]
    Body { source: BodyError },
    #[snafu(display("field {field}: {detail}"))]
    Field { field: String, detail: String },
    #[snafu(display("revision {from} is too old to watch from; list again"))]
    TooOld { from: Revision },
    #[snafu(display("{source}"))]
    Commit { source: CommitError },
}

impl Error {
    fn status(&self) -> StatusCode {
        match self {
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
            Self::Forbidden => StatusCode::FORBIDDEN,
            Self::UnknownPath | Self::NotFound { .. } => StatusCode::NOT_FOUND,
            Self::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
            Self::InvalidParameter { .. } => StatusCode::BAD_REQUEST,
            Self::Field { .. } => StatusCode::UNPROCESSABLE_ENTITY,
            Self::TooOld { .. } => StatusCode::GONE,
            Self::Body { source: BodyError::TooLarge { .. } } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Body { source: BodyError::TooSlow { .. } } => StatusCode::REQUEST_TIMEOUT,
            Self::Body { source: BodyError::Truncated } => StatusCode::BAD_REQUEST,
            Self::Body { source: BodyError::NoRoom { .. } } => StatusCode::SERVICE_UNAVAILABLE,
            Self::Commit { source } => commit_status(source),
        }
    }

    fn reason(&self) -> &'static str {
        match self {
            Self::Unauthorized => "unauthorized",
            Self::Forbidden => "forbidden",
            Self::UnknownPath | Self::NotFound { .. } => "not_found",
            Self::MethodNotAllowed => "method",
            Self::InvalidParameter { .. } => "query",
            Self::Body { .. } => "body",
            Self::Field { .. } => "field",
            Self::TooOld { .. } => "too_old",
            Self::Commit { source: CommitError::Rejected { .. } } => "conflict",
            Self::Commit { source: CommitError::NotAccepted } => "not_accepted",
            Self::Commit { source: CommitError::Unknown { .. } } => "unknown",
        }
    }

    pub(crate) fn to_response(&self) -> Response<Body> {
        let mut problem = Problem {
            reason: self.reason().to_owned(),
            message: self.to_string(),
            field: None,
            conflict: None,
            change: None,
        };
        let mut revision = None;
        match self {
            Self::Field { field, .. } => problem.field = Some(field.clone()),
            Self::Commit { source: CommitError::Rejected { conflict } } => {
                problem.conflict = Some(conflict.clone());
                revision = current_revision(conflict);
            }
            Self::Commit { source: CommitError::Unknown { change } } => {
                problem.change = Some(change.clone());
            }
            _ => {}
        }
        let mut response = body::json(self.status(), &problem);
        if matches!(self, Self::Body { source: BodyError::NoRoom { .. } }) {
            response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(RETRY_AFTER_S));
        }
        match revision {
            Some(revision) => with_etag(response, revision),
            None => response,
        }
    }
}

fn commit_status(error: &CommitError) -> StatusCode {
    match error {
        CommitError::Rejected { conflict: Conflict::Stale { .. } } => {
            StatusCode::PRECONDITION_FAILED
        }
        CommitError::Rejected { conflict: Conflict::NotFound { .. } } => StatusCode::NOT_FOUND,
        CommitError::Rejected { .. } => StatusCode::CONFLICT,
        CommitError::NotAccepted => StatusCode::SERVICE_UNAVAILABLE,
        CommitError::Unknown { .. } => StatusCode::GATEWAY_TIMEOUT,
    }
}

fn current_revision(conflict: &Conflict) -> Option<Revision> {
    match conflict {
        Conflict::Stale { current, .. } => Some(*current),
        _ => None,
    }
}

pub(crate) fn ok(value: &impl Serialize) -> Response<Body> {
    body::json(StatusCode::OK, value)
}

pub(crate) fn with_etag(mut response: Response<Body>, revision: Revision) -> Response<Body> {
    let tag = HeaderValue::try_from(format!("\"{revision}\""));
    if let Ok(tag) = tag {
        response.headers_mut().insert(header::ETAG, tag);
    }
    response
}
