//! Bodies: bounded reading and ready answers.

use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt as _, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use serde::Serialize;
use snafu::Snafu;

/// Any error of a body that is passed on.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// The body of an answer.
pub type Body = UnsyncBoxBody<Bytes, BoxError>;

/// A request body that was not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum BodyError {
    /// It is too large.
    #[snafu(display("body is larger than {limit} bytes"))]
    TooLarge {
        /// The limit.
        limit: u64,
    },
    /// It did not arrive in time.
    #[snafu(display("body did not arrive within {} ms", limit.as_millis()))]
    TooSlow {
        /// The limit.
        limit: Duration,
    },
    /// It ended before it was whole.
    #[snafu(display("body ended before it was whole"))]
    Truncated,
}

/// Reads a whole body, bounded in size and time.
///
/// # Errors
///
/// [`BodyError`] when a bound is passed or the body is cut short.
pub async fn read(body: Incoming, bytes: u64, timeout: Duration) -> Result<Bytes, BodyError> {
    let limit = usize::try_from(bytes).unwrap_or(usize::MAX);
    let collected = Limited::new(body, limit).collect();
    let Ok(collected) = tokio::time::timeout(timeout, collected).await else {
        return TooSlowSnafu { limit: timeout }.fail();
    };
    match collected {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => TooLargeSnafu { limit: bytes }.fail(),
        Err(_) => TruncatedSnafu.fail(),
    }
}

/// A body that is there already.
#[must_use]
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// An answer with a JSON body.
///
/// # Panics
///
/// When `value` has no JSON form.
#[must_use]
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(value).expect("answers have a JSON form");
    let mut response = Response::new(full(bytes));
    *response.status_mut() = status;
    let content_type = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}
