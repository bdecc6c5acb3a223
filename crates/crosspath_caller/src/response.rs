//! Responses to callers.

use crosspath_http::Body;
use crosspath_http::body::{self, BodyError};
use crosspath_http::server::RETRY_AFTER_S;
use crosspath_route::answer::{Answer, Final, NotRun, Unknown};
use crosspath_route::claim::{Recorded, Verdict};
use http::{HeaderValue, Response, StatusCode, header};
use serde::Serialize;

use crate::Reply;
use crate::request::{NO_ROOM, Rejection};

/// Response header with the outcome of the request.
pub const OUTCOME: &str = "crosspath-outcome";

/// Response header with the reason for the outcome; absent when an upstream's response is passed on
/// or replayed whole.
pub const REASON: &str = "crosspath-reason";

/// Headers of the response to a request that is refused before it is read.
pub(crate) const REFUSAL_HEADERS: &[(&str, &str)] = &[(OUTCOME, "not_run"), (REASON, NO_ROOM)];

const ANSWERED: &str = "upstream";
const REPLAYED: &str = "recorded";

#[derive(Serialize)]
struct ErrorBody<'a> {
    outcome: &'a str,
    reason: &'a str,
    message: String,
}

pub(crate) fn reply(reply: Reply) -> Response<Body> {
    match reply {
        Reply::Upstream(response) => with_outcome_headers(response, ANSWERED, None),
        Reply::Recorded(verdict) => recorded(verdict),
        Reply::Final(answer) => final_answer(answer),
    }
}

fn recorded(verdict: Verdict) -> Response<Body> {
    match verdict {
        Verdict::Answered(recorded) => replay(recorded),
        Verdict::AnsweredLarge { status } => {
            let recorded = Recorded { status, content_type: None, body: Vec::new() };
            with_outcome_headers(replay(recorded), REPLAYED, Some("body_not_kept"))
        }
        Verdict::Final(answer) => final_answer(Final { answer, retry_after: None }),
        Verdict::Granted | Verdict::NotOwner => {
            final_answer(Final::unknown(Unknown::KeyBeforeOwner))
        }
    }
}

fn replay(recorded: Recorded) -> Response<Body> {
    let mut response = Response::new(body::full(recorded.body));
    *response.status_mut() = StatusCode::from_u16(recorded.status).unwrap_or(StatusCode::OK);
    let kind = recorded.content_type.and_then(|kind| HeaderValue::try_from(kind).ok());
    if let Some(kind) = kind {
        response.headers_mut().insert(header::CONTENT_TYPE, kind);
    }
    with_outcome_headers(response, REPLAYED, None)
}

fn final_answer(answer: Final) -> Response<Body> {
    let (outcome, reason) = (answer.answer.outcome(), answer.answer.reason());
    let message = message(answer.answer).to_owned();
    let error_body = ErrorBody { outcome, reason, message };
    let mut response = body::json(status(answer.answer), &error_body);
    if let Some(after) = answer.retry_after {
        let seconds = after.as_millis().div_ceil(1_000).max(1).to_string();
        let seconds = HeaderValue::try_from(seconds);
        let seconds = seconds.unwrap_or_else(|_| HeaderValue::from_static("1"));
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    with_outcome_headers(response, outcome, Some(reason))
}

fn status(answer: Answer) -> StatusCode {
    match answer {
        Answer::NotRun(NotRun::CallerQuota) => StatusCode::TOO_MANY_REQUESTS,
        Answer::NotRun(NotRun::KeyFromFuture) => StatusCode::BAD_REQUEST,
        Answer::NotRun(_) | Answer::Unknown(Unknown::KeyNotAsked) => {
            StatusCode::SERVICE_UNAVAILABLE
        }
        Answer::Unknown(Unknown::InProgress) => StatusCode::CONFLICT,
        Answer::Unknown(Unknown::UpstreamLate) => StatusCode::GATEWAY_TIMEOUT,
        Answer::Unknown(Unknown::KeyUnheard) => StatusCode::NOT_FOUND,
        Answer::Unknown(_) => StatusCode::BAD_GATEWAY,
        Answer::KeyMismatch => StatusCode::UNPROCESSABLE_ENTITY,
    }
}

fn message(answer: Answer) -> &'static str {
    match answer {
        Answer::NotRun(_) => "the request was not run; it is safe to send it again",
        Answer::Unknown(_) => {
            "whether the request was run is not known; ask with its key, do not pay again"
        }
        Answer::KeyMismatch => "the key was used with another request; make one for each payment",
    }
}

pub(crate) fn rejection(rejection: &Rejection) -> Response<Body> {
    let status = match rejection {
        Rejection::Unauthorized => StatusCode::UNAUTHORIZED,
        Rejection::NoService => StatusCode::NOT_FOUND,
        Rejection::Method => StatusCode::METHOD_NOT_ALLOWED,
        Rejection::Key { .. } | Rejection::DuplicateKey | Rejection::Timeout => {
            StatusCode::BAD_REQUEST
        }
        Rejection::Body { source } => match source {
            BodyError::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            BodyError::TooSlow { .. } => StatusCode::REQUEST_TIMEOUT,
            BodyError::Truncated => StatusCode::BAD_REQUEST,
            BodyError::NoRoom { .. } => StatusCode::SERVICE_UNAVAILABLE,
        },
    };
    let reason = rejection.reason();
    let outcome = "not_run";
    let error_body = ErrorBody { outcome, reason, message: rejection.to_string() };
    let mut response = body::json(status, &error_body);
    if status == StatusCode::SERVICE_UNAVAILABLE {
        response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(RETRY_AFTER_S));
    }
    with_outcome_headers(response, outcome, Some(reason))
}

fn with_outcome_headers(
    mut response: Response<Body>,
    outcome: &'static str,
    reason: Option<&'static str>,
) -> Response<Body> {
    let headers = response.headers_mut();
    headers.insert(OUTCOME, HeaderValue::from_static(outcome));
    // Only crosspath sets this header: a value from the upstream is removed.
    headers.remove(REASON);
    if let Some(reason) = reason {
        headers.insert(REASON, HeaderValue::from_static(reason));
    }
    response
}
