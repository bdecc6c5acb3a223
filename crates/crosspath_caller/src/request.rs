//! Reading and checking a request.

use std::time::Duration;

use bytes::Bytes;
use crosspath_http::body::{self, BodyError};
use crosspath_route::key::{InvalidKey, Key};
use crosspath_state::name::{CallerName, ServiceName};
use http::request::Parts;
use http::{HeaderMap, Method, Request, header};
use hyper::body::{Body as _, Incoming};
use snafu::{OptionExt as _, ResultExt as _, Snafu, ensure};

use crate::headers::{PAYMENT_KEY, REQUEST_TIMEOUT_MS, strip_hop_by_hop};
use crate::{BodyLimits, Handler};

const OUTCOMES: &str = "/v1/outcomes/";

/// A request for a service.
#[derive(Debug, Clone)]
pub struct Payment {
    /// Who sent it.
    pub caller: CallerName,
    /// The service.
    pub service: ServiceName,
    /// The method.
    pub method: Method,
    /// Path and query, as sent.
    pub path: String,
    /// Headers for the upstream.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// Key under which it runs at most once.
    pub key: Option<Key>,
    /// Time that the caller gives it, if it says so.
    pub timeout: Option<Duration>,
}

/// A request that was turned away; it was not run.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Rejection {
    /// No token, or an unknown one.
    #[snafu(display("no valid bearer token; send the token that you were given"))]
    Unauthorized,
    /// No such service.
    #[snafu(display("no such service; the path starts with the name of one"))]
    NoService,
    /// The method is not allowed here.
    #[snafu(display("only GET is allowed here"))]
    Method,
    /// The key is malformed.
    #[snafu(display("header {PAYMENT_KEY}: {source}"))]
    Key {
        /// What is wrong with it.
        source: InvalidKey,
    },
    /// More than one key was sent.
    #[snafu(display("header {PAYMENT_KEY} stands more than once; send one key"))]
    DuplicateKey,
    /// The timeout is malformed.
    #[snafu(display("header {REQUEST_TIMEOUT_MS} is not a number of milliseconds above 0"))]
    Timeout,
    /// The body was not taken.
    #[snafu(display("{source}"))]
    Body {
        /// Why.
        source: BodyError,
    },
}

impl Rejection {
    /// The reason as a header value and metric label.
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
            },
        }
    }
}

pub(crate) enum Parsed {
    Payment(Box<Payment>),
    Outcome { key: Key, caller: CallerName },
}

pub(crate) async fn read<H: Handler>(
    request: Request<Incoming>,
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
    let declared = incoming.size_hint().lower();
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

/// Leaves only headers that are meant for the upstream; the library writes the length anew.
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
