//! Routing of requests by path and method.

use std::sync::Arc;

use crosspath_http::Body;
use crosspath_http::body::{self, Inbound};
use crosspath_http::server::Stage;
use crosspath_settings::Right;
use crosspath_state::record::{Change, Expected, Revision};
use crosspath_state::resource::{Id, Kind, Spec};
use crosspath_state::wave;
use http::request::Parts;
use http::{Method, Request, Response, StatusCode, header};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use snafu::{OptionExt as _, ResultExt as _, ensure};
use tokio::sync::watch as channel;

use crate::model::{List, Resource};
use crate::response::{
    BodySnafu, CommitSnafu, Error, ForbiddenSnafu, InvalidParameterSnafu, MethodNotAllowedSnafu,
    NotFoundSnafu, UnauthorizedSnafu, UnknownPathSnafu, ok, with_etag,
};
use crate::{Access, BodyLimits, Handler, has_right, watch};

const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

#[derive(Serialize, Deserialize)]
// Error responses name the type.
#[serde(deny_unknown_fields, expecting = "struct Declaration")]
struct SpecUpdate {
    spec: Value,
}

#[derive(Deserialize)]
// Error responses name the type.
#[serde(deny_unknown_fields, expecting = "struct Steering")]
struct PhaseUpdate {
    phase: wave::Phase,
}

pub(crate) async fn respond<H: Handler>(
    request: Request<Inbound>,
    body_limits: BodyLimits,
    access: &Access,
    handler: Arc<H>,
    stop: channel::Receiver<Stage>,
) -> Response<Body> {
    match dispatch(request, body_limits, access, &handler, stop).await {
        Ok(response) => response,
        Err(error) => {
            let response = error.to_response();
            handler.count_rejected(response.status().as_u16());
            response
        }
    }
}

async fn dispatch<H: Handler>(
    request: Request<Inbound>,
    body_limits: BodyLimits,
    access: &Access,
    handler: &Arc<H>,
    stop: channel::Receiver<Stage>,
) -> Result<Response<Body>, Error> {
    let (parts, incoming) = request.into_parts();
    let path = parts.uri.path().to_owned();
    let segments: Vec<&str> = path.split('/').filter(|part| !part.is_empty()).collect();
    if let [endpoint] = segments[..] {
        return unauthenticated(endpoint, &**handler);
    }
    let operator = authorize(&parts, access)?;
    let ["v1", subpath @ ..] = &segments[..] else {
        return UnknownPathSnafu.fail();
    };
    let is_write = parts.method != Method::GET;
    if is_write {
        let body = body::read(incoming, body_limits.body_bytes, body_limits.body_timeout).await;
        let body = body.context(BodySnafu)?;
        let changes = parse_changes(&parts, subpath, &body)?;
        let response = commit(&**handler, &parts, subpath, changes).await;
        let outcome = if response.is_ok() { "accepted" } else { "refused" };
        log::info!(
            "event=operator_change operator={operator} method={} path={path} outcome={outcome}",
            parts.method
        );
        return response;
    }
    match subpath {
        ["status"] => Ok(ok(&handler.status())),
        ["changes", id] => Ok(ok(&handler.outcome(id))),
        ["explain", kind, name] => explain(&**handler, kind, name),
        [kind] => list(handler, &parts, kind, stop),
        [kind, name] => get(&**handler, &id(kind, name)?),
        _ => UnknownPathSnafu.fail(),
    }
}

fn unauthenticated<H: Handler>(endpoint: &str, handler: &H) -> Result<Response<Body>, Error> {
    let text = |status, text: String| {
        let mut response = Response::new(body::full(text));
        *response.status_mut() = status;
        response
    };
    match endpoint {
        "livez" => Ok(text(StatusCode::OK, "ok\n".to_owned())),
        "readyz" if handler.is_ready() => Ok(text(StatusCode::OK, "ok\n".to_owned())),
        "readyz" => Ok(text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned())),
        "metrics" => {
            let mut response = text(StatusCode::OK, handler.metrics());
            let content_type = header::HeaderValue::from_static(METRICS_TYPE);
            response.headers_mut().insert(header::CONTENT_TYPE, content_type);
            Ok(response)
        }
        _ => UnknownPathSnafu.fail(),
    }
}

fn authorize(parts: &Parts, access: &Access) -> Result<String, Error> {
    let value = parts.headers.get(header::AUTHORIZATION);
    let value = value.and_then(|value| value.to_str().ok());
    let token = value.and_then(|value| value.strip_prefix("Bearer "));
    let operator = token.and_then(|token| access.authenticate(token)).context(UnauthorizedSnafu)?;
    let right = if parts.method == Method::GET { Right::Read } else { Right::Write };
    ensure!(has_right(operator, right), ForbiddenSnafu);
    Ok(operator.name.clone())
}

fn id(kind: &str, name: &str) -> Result<Id, Error> {
    let kind =
        Kind::parse(kind).filter(|parsed| parsed.plural() == kind).context(UnknownPathSnafu)?;
    let name = name
        .parse()
        .map_err(|error| Error::Field { field: "name".to_owned(), detail: format!("{error}") })?;
    Ok(Id::new(kind, name))
}

fn get<H: Handler>(handler: &H, id: &Id) -> Result<Response<Body>, Error> {
    let state = handler.state().borrow().clone();
    let resource = Resource::of(&state, id);
    let resource = resource.context(NotFoundSnafu { id: id.to_string() })?;
    let revision = resource.revision;
    Ok(with_etag(ok(&resource), revision))
}

fn list<H: Handler>(
    handler: &Arc<H>,
    parts: &Parts,
    kind: &str,
    stop: channel::Receiver<Stage>,
) -> Result<Response<Body>, Error> {
    let kind =
        Kind::parse(kind).filter(|parsed| parsed.plural() == kind).context(UnknownPathSnafu)?;
    if let Some(from) = parse_watch(parts)? {
        return watch::stream(&**handler, kind, from, stop);
    }
    let state = handler.state().borrow().clone();
    let names = state.names(kind).into_iter();
    let items = names.filter_map(|name| Resource::of(&state, &Id::new(kind, name))).collect();
    Ok(with_etag(ok(&List { revision: state.applied, items }), state.applied))
}

fn parse_watch(parts: &Parts) -> Result<Option<Revision>, Error> {
    let mut pairs = parts.uri.query().unwrap_or_default().split('&');
    let Some(value) = pairs.find_map(|pair| pair.strip_prefix("watch=")) else {
        return Ok(None);
    };
    let revision = value.parse();
    let revision = revision.ok().context(InvalidParameterSnafu { name: "watch", value })?;
    Ok(Some(Revision(revision)))
}

fn explain<H: Handler>(handler: &H, kind: &str, name: &str) -> Result<Response<Body>, Error> {
    let id = id(kind, name)?;
    let explanation = handler.explain(&id);
    Ok(ok(&explanation.context(NotFoundSnafu { id: id.to_string() })?))
}

fn parse_changes(parts: &Parts, path: &[&str], body: &[u8]) -> Result<Vec<Change>, Error> {
    let expected = parse_expected(parts)?;
    match (parts.method.as_str(), path) {
        ("PUT", ["waves", name, "phase"]) => {
            let update: PhaseUpdate = decode(body)?;
            let wave = name.parse().map_err(invalid_field("name"))?;
            Ok(vec![Change::Steer { wave, phase: update.phase }])
        }
        ("PUT", [kind, name]) => {
            let id = id(kind, name)?;
            let update: SpecUpdate = decode(body)?;
            let spec = decode_spec(id.kind, update.spec)?;
            Ok(vec![Change::Put { id, spec: Box::new(spec), expected }])
        }
        ("DELETE", [kind, name]) => {
            let id = id(kind, name)?;
            Ok(vec![Change::Delete { id, expected }])
        }
        _ => MethodNotAllowedSnafu.fail(),
    }
}

fn invalid_field<E: ToString>(field: &'static str) -> impl Fn(E) -> Error {
    move |error| Error::Field { field: field.to_owned(), detail: error.to_string() }
}

fn decode<T: for<'de> Deserialize<'de>>(body: &[u8]) -> Result<T, Error> {
    let decoder = &mut serde_json::Deserializer::from_slice(body);
    serde_path_to_error::deserialize(decoder).map_err(|error| Error::Field {
        field: error.path().to_string(),
        detail: error.inner().to_string(),
    })
}

/// Decodes the spec of a `kind`. The error has the path of the invalid field.
fn decode_spec(kind: Kind, value: Value) -> Result<Spec, Error> {
    fn decode_value<T: for<'de> Deserialize<'de>>(value: Value) -> Result<T, Error> {
        serde_path_to_error::deserialize(value).map_err(|error| Error::Field {
            field: format!("spec.{}", error.path()),
            detail: error.inner().to_string(),
        })
    }
    Ok(match kind {
        Kind::Pool => Spec::Pool(decode_value(value)?),
        Kind::Service => Spec::Service(decode_value(value)?),
        Kind::Team => Spec::Team(decode_value(value)?),
        Kind::Caller => Spec::Caller(decode_value(value)?),
        Kind::Vm => Spec::Vm(decode_value(value)?),
        Kind::Job => Spec::Job(decode_value(value)?),
        Kind::Wave => Spec::Wave(decode_value(value)?),
    })
}

fn parse_expected(parts: &Parts) -> Result<Option<Expected>, Error> {
    let header = |name| parts.headers.get(name).and_then(|value| value.to_str().ok());
    if header(header::IF_NONE_MATCH) == Some("*") {
        return Ok(Some(Expected::Absent));
    }
    let Some(tag) = header(header::IF_MATCH) else {
        return Ok(None);
    };
    let revision = tag.trim_matches('"').parse();
    let revision = revision.ok().context(InvalidParameterSnafu { name: "If-Match", value: tag })?;
    Ok(Some(Expected::At(Revision(revision))))
}

async fn commit<H: Handler>(
    handler: &H,
    parts: &Parts,
    path: &[&str],
    changes: Vec<Change>,
) -> Result<Response<Body>, Error> {
    let revision = handler.commit(changes).await.context(CommitSnafu)?;
    if parts.method == Method::DELETE {
        let revision_only = serde_json::json!({ "revision": revision });
        return Ok(with_etag(ok(&revision_only), revision));
    }
    let [kind, name, ..] = path else {
        return UnknownPathSnafu.fail();
    };
    get(handler, &id(kind, name)?)
}
