//! `crosspath watch`: prints changes to resources as they happen.

use std::io::Write as _;

use bytes::Bytes;
use crosspath_state::resource::Kind;
use futures::StreamExt as _;
use http::{Request, header};
use http_body_util::{BodyExt as _, BodyStream, Empty};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

use crate::api::Api;
use crate::error::{Error, ExitStatus};
use crosspath_http::client;
use crosspath_operator::model::Problem;

/// Prints each change as one line of JSON until the daemon closes the stream.
pub(crate) async fn run(api: &Api, kind: Kind, from: Option<u64>) -> Result<ExitStatus, Error> {
    let from = match from {
        Some(from) => from,
        None => api.list(kind).await?.revision.0,
    };
    let address = api.server();
    let request = Request::get(format!("http://{address}/v1/{kind}?watch={from}"))
        .header(header::AUTHORIZATION, format!("Bearer {}", api.token()))
        .body(Empty::<Bytes>::new());
    let not_sent = || Error::Call { source: client::Error::NotSent { address } };
    let request = request.map_err(|_| not_sent())?;
    let client = Client::builder(TokioExecutor::new()).build_http();
    let response = client.request(request).await.map_err(|_| not_sent())?;
    let status = response.status();
    if !status.is_success() {
        let body = response.into_body().collect().await.map_err(|_| not_sent())?.to_bytes();
        let Ok(problem) = serde_json::from_slice::<Problem>(&body) else { return Err(not_sent()) };
        return Err(Error::Refused { status: status.as_u16(), problem: Box::new(problem) });
    }
    let mut frames = BodyStream::new(response.into_body());
    while let Some(Ok(frame)) = frames.next().await {
        let Ok(lines) = frame.into_data() else { continue };
        let mut out = std::io::stdout();
        if out.write_all(&lines).and_then(|()| out.flush()).is_err() {
            return Ok(ExitStatus::Success);
        }
    }
    Err(Error::Call { source: client::Error::NoAnswer { address } })
}
