//! Parsing and validation of requests.

use std::time::Duration;

use bytes::Bytes;
use crosspath_http::body::{self, BodyError, Inbound};
use crosspath_route::key::{InvalidKey, Key};
use crosspath_state::name::{CallerName, ServiceName};
use http::request::Parts;
use http::{HeaderMap, Method, Request, header};
use snafu::{OptionExt as _, ResultExt as _, Snafu, ensure};

use crate::headers::{PAYMENT_KEY, REQUEST_TIMEOUT_MS, strip_hop_by_hop};
use crate::{BodyLimits, Handler};

const OUTCOMES: &str = "/v1/outcomes/";
/// Reason of a request that was refused since all clients together hold too much.
pub(crate) const NO_ROOM: &str = "no_room";

/// Validated request for a service.
#[derive(Debug, Clone)]
pub struct Payment {
    /// Caller that sent the request.
    pub caller: CallerName,
    /// Service named by the first segment of the path.
    pub service: ServiceName,
    /// HTTP method of the request.
    pub method: Method,
    /// Path and query as the caller sent them.
    pub path: String,
    /// Headers to be forwarded to the upstream.
    pub headers: HeaderMap,
    /// Whole request body.
    pub body: Bytes,
    /// Key under which the request runs at most once; none if the caller sent no key.
    pub key: Option<Key>,
    /// Time limit set by the caller; none if it set no limit.
    pub timeout: Option<Duration>,
}

/// Rejection of a request; it was not run.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Rejection {
    /// The bearer token is missing or unknown.
    #[snafu(display("no valid bearer token; send the token that you were given"))]
    Unauthorized,
    /// The first segment of the path is not the name of a service.
    #[snafu(display("no such service; the path starts with the name of one"))]
    NoService,
    /// The path does not allow the request's method.
    #[snafu(display("only GET is allowed here"))]
    Method,
    /// The payment key is malformed.
    #[snafu(display("header {PAYMENT_KEY}: {source}"))]
    Key {
        /// Error from parsing the key.
        source: InvalidKey,
    },
    /// The request has more than one payment key.
    #[snafu(display("header {PAYMENT_KEY} stands more than once; send one key"))]
    DuplicateKey,
    /// The timeout header is malformed.
    #[snafu(display("header {REQUEST_TIMEOUT_MS} is not a number of milliseconds above 0"))]
    Timeout,
    /// The body is incomplete or exceeds a limit.
    #[snafu(display("{source}"))]
    Body {
        /// Error from reading the body.
        source: BodyError,
    },
}

impl Rejection {
    /// Name of the reason in headers and metric labels.
    #[must_use]
    pub fn reason(&self) -> &'static str {
        match self {
            Self::Unauthorized => "unauthorized",
            Self::NoService => "no_service",
            Self::Method => "method",
            Self::Key { .. } | Self::DuplicateKey => "key",
            Self::Timeout => "timeout",
            Self::Body { source } => match source {
                BodyError::TooLarge { .. } => "body_too_large",
                BodyError::TooSlow { .. } => "body_too_slow",
                BodyError::Truncated => "body_cut",
                BodyError::NoRoom { .. } => NO_ROOM,
            },
        }
    }
}

pub(crate) enum Parsed {
    Payment(Box<Payment>),
    Outcome { key: Key, caller: CallerName },
}

pub(crate) async fn read<H: Handler>(
    request: Request<Inbound>,
    body_limits: BodyLimits,
    handler: &H,
) -> Result<Parsed, Rejection> {
    let (mut parts, incoming) = request.into_parts();
    let token = bearer(&parts.headers);
    let caller = token.and_then(|token| handler.caller(token)).context(UnauthorizedSnafu)?;
    if let Some(text) = parts.uri.path().strip_prefix(OUTCOMES) {
        ensure!(parts.method == Method::GET, MethodSnafu);
        let key = Key::parse(text).context(KeySnafu)?;
        return Ok(Parsed::Outcome { key, caller });
    }
    let service = service(&parts, handler)?;
    let key = key(&parts.headers)?;
    let timeout = timeout(&parts.headers)?;
    let declared = incoming.announced_bytes();
    let limit = body_limits.body_bytes;
    let too_large = Err(BodyError::TooLarge { limit });
    let fits = if declared > limit { too_large } else { Ok(()) };
    fits.context(BodySnafu)?;
    let body = body::read(incoming, limit, body_limits.body_timeout).await.context(BodySnafu)?;
    strip_for_upstream(&mut parts.headers);
    let path = parts.uri.path_and_query().map(ToString::to_string).unwrap_or_default();
    let (method, headers) = (parts.method, parts.headers);
    Ok(Parsed::Payment(Box::new(Payment {
        caller,
        service,
        method,
        path,
        headers,
        body,
        key,
        timeout,
    })))
}

/// Removes the headers that are not for the upstream. The HTTP library sets the content length of
/// the forwarded request.
fn strip_for_upstream(headers: &mut HeaderMap) {
    strip_hop_by_hop(headers);
    headers.remove(header::AUTHORIZATION);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    headers.remove(header::HOST);
    headers.remove(REQUEST_TIMEOUT_MS);
}

fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix("Bearer ")
}

fn service<H: Handler>(parts: &Parts, handler: &H) -> Result<ServiceName, Rejection> {
    let path = parts.uri.path().trim_start_matches('/');
    let first = path.split('/').next().unwrap_or_default();
    ensure!(handler.has_service(first), NoServiceSnafu);
    ServiceName::new(first).ok().context(NoServiceSnafu)
}

fn key(headers: &HeaderMap) -> Result<Option<Key>, Rejection> {
    let mut values = headers.get_all(PAYMENT_KEY).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    ensure!(values.next().is_none(), DuplicateKeySnafu);
    let text = value.to_str().unwrap_or_default();
    Key::parse(text).context(KeySnafu).map(Some)
}

fn timeout(headers: &HeaderMap) -> Result<Option<Duration>, Rejection> {
    let Some(value) = headers.get(REQUEST_TIMEOUT_MS) else {
        return Ok(None);
    };
    let millis = value.to_str().ok().and_then(|text| text.parse().ok());
    let millis = millis.filter(|millis| *millis > 0).context(TimeoutSnafu)?;
    Ok(Some(Duration::from_millis(millis)))
}
