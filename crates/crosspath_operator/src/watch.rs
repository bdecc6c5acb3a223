//! Watches: streams of the changes to all resources of a kind, one JSON line each.

use std::collections::BTreeSet;
use std::sync::Arc;

use bytes::Bytes;
use crosspath_http::Body;
use crosspath_http::body::BoxError;
use crosspath_http::server::Stage;
use crosspath_state::State;
use crosspath_state::record::Revision;
use crosspath_state::resource::{Id, Kind};
use futures::StreamExt as _;
use http::{HeaderValue, Response, header};
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::Frame;
use snafu::OptionExt as _;
use tokio::sync::watch as channel;

use crate::Handler;
use crate::model::{Event, Resource};
use crate::response::{Error, TooOldSnafu};

struct Watch {
    states: channel::Receiver<Arc<State>>,
    stop: channel::Receiver<Stage>,
    kind: Kind,
    last_sent: Arc<State>,
    is_initial: bool,
}

/// Streams the changes after the revision `from` until the client disconnects or the daemon stops.
/// A change may be sent twice if `from` is between the revisions of two retained states.
pub(crate) fn stream<H: Handler>(
    handler: &H,
    kind: Kind,
    from: Revision,
    stop: channel::Receiver<Stage>,
) -> Result<Response<Body>, Error> {
    let last_sent = handler.state_at(from).context(TooOldSnafu { from })?;
    let watch = Watch { states: handler.state(), stop, kind, last_sent, is_initial: true };
    let lines = futures::stream::unfold(watch, Watch::next);
    let frames = lines.map(|lines| Ok::<_, BoxError>(Frame::data(Bytes::from(lines))));
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    let content_type = HeaderValue::from_static("application/jsonl");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    Ok(response)
}

impl Watch {
    async fn next(mut self) -> Option<(String, Self)> {
        loop {
            if !self.is_initial {
                tokio::select! {
                    changed = self.states.changed() => changed.ok()?,
                    _ = self.stop.wait_for(|stage| *stage >= Stage::Finishing) => return None,
                }
            }
            self.is_initial = false;
            let state = self.states.borrow_and_update().clone();
            let lines = lines(self.kind, &self.last_sent, &state);
            self.last_sent = state;
            if !lines.is_empty() {
                return Some((lines, self));
            }
        }
    }
}

/// Returns one line for each resource of the `kind` that differs between two states.
fn lines(kind: Kind, before: &State, after: &State) -> String {
    let names = before.names(kind).into_iter().chain(after.names(kind));
    let names: BTreeSet<_> = names.collect();
    let ids = names.into_iter().map(|name| Id::new(kind, name));
    let changed = ids.filter(|id| before.revision(id) != after.revision(id));
    let lines = changed.filter_map(|id| serde_json::to_string(&event(after, id)).ok());
    lines.map(|line| line + "\n").collect()
}

fn event(state: &State, id: Id) -> Event {
    match Resource::of(state, &id) {
        Some(resource) => Event::Changed { resource },
        None => Event::Deleted { id, revision: state.applied },
    }
}
