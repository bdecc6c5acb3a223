//! Request bodies read within limits, and response bodies that are complete from the start.

use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt as _, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use serde::Serialize;
use snafu::Snafu;

/// Error of a body that is streamed through.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Body of a response, either complete in memory or streamed.
pub type Body = UnsyncBoxBody<Bytes, BoxError>;

/// Request body that could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum BodyError {
    /// The body exceeds the size limit.
    #[snafu(display("body is larger than {limit} bytes"))]
    TooLarge {
        /// Maximum size in bytes that was allowed for the body.
        limit: u64,
    },
    /// The body did not arrive within the time limit.
    #[snafu(display("body did not arrive within {} ms", limit.as_millis()))]
    TooSlow {
        /// Time that was allowed for the whole body.
        limit: Duration,
    },
    /// The connection failed or closed before the end of the body.
    #[snafu(display("body ended before it was whole"))]
    Truncated,
}

/// Reads a whole body of at most `bytes` bytes within `timeout`.
///
/// # Errors
///
/// [`BodyError`] if the body exceeds a limit or is truncated.
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

/// Returns a body that consists of `bytes`.
#[must_use]
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Returns a response with `value` as its JSON body.
///
/// # Panics
///
/// Panics if `value` cannot be serialised as JSON.
#[must_use]
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(value).expect("response bodies serialise as JSON");
    let mut response = Response::new(full(bytes));
    *response.status_mut() = status;
    let content_type = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}
