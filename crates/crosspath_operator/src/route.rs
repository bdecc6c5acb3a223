//! From a path and a method to an answer.

use std::sync::Arc;

use crosspath_http::Body;
use crosspath_http::body;
use crosspath_http::server::Stage;
use crosspath_settings::Right;
use crosspath_state::record::{Change, Expected, Revision};
use crosspath_state::resource::{Id, Kind, Spec};
use crosspath_state::wave;
use http::request::Parts;
use http::{Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use snafu::{OptionExt as _, ResultExt as _, ensure};
use tokio::sync::watch as channel;

use crate::answer::{
    BodySnafu, CommitSnafu, Error, ForbiddenSnafu, MethodSnafu, NoPathSnafu, NotFoundSnafu,
    QuerySnafu, UnauthorizedSnafu, ok, tagged,
};
use crate::model::{List, Resource};
use crate::{Access, Bounds, Handler, may, watch};

const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Declaration {
    spec: Value,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Steering {
    phase: wave::Phase,
}

pub(crate) async fn answer<H: Handler>(
    request: Request<Incoming>,
    bounds: Bounds,
    access: &Access,
    handler: Arc<H>,
    stop: channel::Receiver<Stage>,
) -> Response<Body> {
    match dispatch(request, bounds, access, &handler, stop).await {
        Ok(answer) => answer,
        Err(error) => {
            let answer = error.answer();
            handler.rejected(answer.status().as_u16());
            answer
        }
    }
}

async fn dispatch<H: Handler>(
    request: Request<Incoming>,
    bounds: Bounds,
    access: &Access,
    handler: &Arc<H>,
    stop: channel::Receiver<Stage>,
) -> Result<Response<Body>, Error> {
    let (parts, incoming) = request.into_parts();
    let path = parts.uri.path().to_owned();
    let segments: Vec<&str> = path.split('/').filter(|part| !part.is_empty()).collect();
    if let [probe] = segments[..] {
        return open(probe, &**handler);
    }
    let operator = authorize(&parts, access)?;
    let ["v1", rest @ ..] = &segments[..] else {
        return NoPathSnafu.fail();
    };
    let write = parts.method != Method::GET;
    if write {
        let body = body::read(incoming, bounds.body_bytes, bounds.body_timeout).await;
        let body = body.context(BodySnafu)?;
        let changes = change(&parts, rest, &body)?;
        let answer = commit(&**handler, &parts, rest, changes).await;
        let outcome = if answer.is_ok() { "accepted" } else { "refused" };
        log::info!(
            "event=operator_change operator={operator} method={} path={path} outcome={outcome}",
            parts.method
        );
        return answer;
    }
    match rest {
        ["status"] => Ok(ok(&handler.status())),
        ["changes", id] => Ok(ok(&handler.fate(id))),
        ["explain", kind, name] => explain(&**handler, kind, name),
        [kind] => list(handler, &parts, kind, stop),
        [kind, name] => get(&**handler, &id(kind, name)?),
        _ => NoPathSnafu.fail(),
    }
}

fn open<H: Handler>(probe: &str, handler: &H) -> Result<Response<Body>, Error> {
    let text = |status, text: String| {
        let mut answer = Response::new(body::full(text));
        *answer.status_mut() = status;
        answer
    };
    match probe {
        "livez" => Ok(text(StatusCode::OK, "ok\n".to_owned())),
        "readyz" if handler.is_ready() => Ok(text(StatusCode::OK, "ok\n".to_owned())),
        "readyz" => Ok(text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned())),
        "metrics" => {
            let mut answer = text(StatusCode::OK, handler.metrics());
            let kind = header::HeaderValue::from_static(METRICS_TYPE);
            answer.headers_mut().insert(header::CONTENT_TYPE, kind);
            Ok(answer)
        }
        _ => NoPathSnafu.fail(),
    }
}

fn authorize(parts: &Parts, access: &Access) -> Result<String, Error> {
    let value = parts.headers.get(header::AUTHORIZATION);
    let value = value.and_then(|value| value.to_str().ok());
    let token = value.and_then(|value| value.strip_prefix("Bearer "));
    let operator = token.and_then(|token| access.find(token)).context(UnauthorizedSnafu)?;
    let right = if parts.method == Method::GET { Right::Read } else { Right::Write };
    ensure!(may(operator, right), ForbiddenSnafu);
    Ok(operator.name.clone())
}

fn id(kind: &str, name: &str) -> Result<Id, Error> {
    let kind = Kind::parse(kind).filter(|parsed| parsed.plural() == kind).context(NoPathSnafu)?;
    let name = name
        .parse()
        .map_err(|error| Error::Field { field: "name".to_owned(), detail: format!("{error}") })?;
    Ok(Id::new(kind, name))
}

fn get<H: Handler>(handler: &H, id: &Id) -> Result<Response<Body>, Error> {
    let state = handler.state().borrow().clone();
    let resource = Resource::of(&state, id);
    let resource = resource.context(NotFoundSnafu { what: id.to_string() })?;
    let revision = resource.revision;
    Ok(tagged(ok(&resource), revision))
}

fn list<H: Handler>(
    handler: &Arc<H>,
    parts: &Parts,
    kind: &str,
    stop: channel::Receiver<Stage>,
) -> Result<Response<Body>, Error> {
    let kind = Kind::parse(kind).filter(|parsed| parsed.plural() == kind).context(NoPathSnafu)?;
    if let Some(from) = watch_from(parts)? {
        return watch::stream(&**handler, kind, from, stop);
    }
    let state = handler.state().borrow().clone();
    let names = state.names(kind).into_iter();
    let items = names.filter_map(|name| Resource::of(&state, &Id::new(kind, name))).collect();
    Ok(tagged(ok(&List { revision: state.applied, items }), state.applied))
}

fn watch_from(parts: &Parts) -> Result<Option<Revision>, Error> {
    let mut pairs = parts.uri.query().unwrap_or_default().split('&');
    let Some(value) = pairs.find_map(|pair| pair.strip_prefix("watch=")) else {
        return Ok(None);
    };
    let revision = value.parse();
    let revision = revision.ok().context(QuerySnafu { what: "watch", detail: value })?;
    Ok(Some(Revision(revision)))
}

fn explain<H: Handler>(handler: &H, kind: &str, name: &str) -> Result<Response<Body>, Error> {
    let id = id(kind, name)?;
    let explanation = handler.explain(&id);
    Ok(ok(&explanation.context(NotFoundSnafu { what: id.to_string() })?))
}

fn change(parts: &Parts, path: &[&str], body: &[u8]) -> Result<Vec<Change>, Error> {
    let expected = expected(parts)?;
    match (parts.method.as_str(), path) {
        ("PUT", ["waves", name, "phase"]) => {
            let steering: Steering = decode(body)?;
            let wave = name.parse().map_err(field("name"))?;
            Ok(vec![Change::Steer { wave, phase: steering.phase }])
        }
        ("PUT", [kind, name]) => {
            let id = id(kind, name)?;
            let declaration: Declaration = decode(body)?;
            let spec = spec(id.kind, declaration.spec)?;
            Ok(vec![Change::Put { id, spec: Box::new(spec), expected }])
        }
        ("DELETE", [kind, name]) => {
            let id = id(kind, name)?;
            Ok(vec![Change::Delete { id, expected }])
        }
        _ => MethodSnafu.fail(),
    }
}

fn field<E: ToString>(field: &'static str) -> impl Fn(E) -> Error {
    move |error| Error::Field { field: field.to_owned(), detail: error.to_string() }
}

fn decode<T: for<'de> Deserialize<'de>>(body: &[u8]) -> Result<T, Error> {
    let decoder = &mut serde_json::Deserializer::from_slice(body);
    serde_path_to_error::deserialize(decoder).map_err(|error| Error::Field {
        field: error.path().to_string(),
        detail: error.inner().to_string(),
    })
}

/// Reads the spec of a known kind; the error names the field.
fn spec(kind: Kind, value: Value) -> Result<Spec, Error> {
    fn read<T: for<'de> Deserialize<'de>>(value: Value) -> Result<T, Error> {
        serde_path_to_error::deserialize(value).map_err(|error| Error::Field {
            field: format!("spec.{}", error.path()),
            detail: error.inner().to_string(),
        })
    }
    Ok(match kind {
        Kind::Pool => Spec::Pool(read(value)?),
        Kind::Service => Spec::Service(read(value)?),
        Kind::Team => Spec::Team(read(value)?),
        Kind::Caller => Spec::Caller(read(value)?),
        Kind::Vm => Spec::Vm(read(value)?),
        Kind::Job => Spec::Job(read(value)?),
        Kind::Wave => Spec::Wave(read(value)?),
    })
}

fn expected(parts: &Parts) -> Result<Option<Expected>, Error> {
    let header = |name| parts.headers.get(name).and_then(|value| value.to_str().ok());
    if header(header::IF_NONE_MATCH) == Some("*") {
        return Ok(Some(Expected::Absent));
    }
    let Some(tag) = header(header::IF_MATCH) else {
        return Ok(None);
    };
    let revision = tag.trim_matches('"').parse();
    let revision = revision.ok().context(QuerySnafu { what: "If-Match", detail: tag })?;
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
        return Ok(tagged(ok(&revision_only), revision));
    }
    let [kind, name, ..] = path else {
        return NoPathSnafu.fail();
    };
    get(handler, &id(kind, name)?)
}
