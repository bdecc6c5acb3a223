//! Request bodies read within limits, and response bodies that are complete from the start.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt as _, Full};
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use serde::Serialize;
use snafu::{ResultExt as _, Snafu};

use crate::budget::{Budget, Exhausted};
use crate::connections::Activity;

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
    /// All bodies together exceed the budget. Nothing was done, and the request may be retried.
    #[snafu(display("{source}"))]
    NoRoom {
        /// Why the body was given up.
        source: Exhausted,
    },
}

/// Body of a request that a server has received. What is read of it counts against the budget of
/// all bodies.
#[derive(Debug)]
pub struct Inbound {
    incoming: Incoming,
    budget: Budget,
    activity: Option<Arc<Activity>>,
}

impl Inbound {
    pub(crate) fn new(incoming: Incoming, budget: Budget, activity: Arc<Activity>) -> Self {
        Self { incoming, budget, activity: Some(activity) }
    }

    /// Budget of all bodies, to charge it with what a request needs beyond its body.
    #[must_use]
    pub fn budget(&self) -> Budget {
        self.budget.clone()
    }

    /// Number of bytes that the head announces; 0 if it announces none.
    #[must_use]
    pub fn announced_bytes(&self) -> u64 {
        self.incoming.size_hint().lower()
    }

    async fn collect(mut self, limit: u64) -> Result<Bytes, BodyError> {
        // A body that is too large is read up to the limit all the same: a connection that is closed
        // with unread bytes is reset, and the client may lose the response.
        let announced = self.announced_bytes().min(limit);
        let size = |bytes: u64| usize::try_from(bytes).unwrap_or(usize::MAX);
        let buffer = self.budget.begin(size(announced)).context(NoRoomSnafu)?;
        let max = size(if announced > 0 { announced } else { limit });
        let mut length = 0;
        loop {
            let frame = tokio::select! {
                biased;
                () = buffer.given_up() => return Err(BodyError::NoRoom { source: Exhausted }),
                frame = self.incoming.frame() => frame,
            };
            let Some(frame) = frame else { break };
            let Ok(frame) = frame else { return TruncatedSnafu.fail() };
            let Ok(chunk) = frame.into_data() else { continue };
            length += chunk.len();
            if length > max {
                return TooLargeSnafu { limit }.fail();
            }
            buffer.append(&chunk, max).context(NoRoomSnafu)?;
        }
        let whole = buffer.finish().context(NoRoomSnafu)?;
        if self.activity.as_ref().is_some_and(|activity| !activity.begin()) {
            return Err(BodyError::NoRoom { source: Exhausted });
        }
        Ok(whole)
    }
}

impl From<Incoming> for Inbound {
    /// Body with a budget of its own, for servers with few clients.
    fn from(incoming: Incoming) -> Self {
        Self { incoming, budget: Budget::default(), activity: None }
    }
}

/// Reads a whole body of at most `bytes` bytes within `timeout`.
///
/// # Errors
///
/// [`BodyError`] if the body exceeds a limit or is truncated.
pub async fn read(
    body: impl Into<Inbound>,
    bytes: u64,
    timeout: Duration,
) -> Result<Bytes, BodyError> {
    let collected = tokio::time::timeout(timeout, body.into().collect(bytes)).await;
    collected.unwrap_or_else(|_| TooSlowSnafu { limit: timeout }.fail())
}

/// Body of a response that its client has not taken yet.
pub(crate) struct Outbound {
    pub(crate) body: Body,
    pub(crate) _activity: Arc<Activity>,
}

impl HttpBody for Outbound {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
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
