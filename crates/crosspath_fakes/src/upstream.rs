//! HTTP server of an upstream VM.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use crosspath_http::Body;
use crosspath_http::body::{self, BoxError};
use futures::StreamExt as _;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

use crate::ledger::{Ledger, PAYMENT_ID, Receipt};
use crate::vm::{Power, Vm};

/// Response header with which an upstream states that it refused a request without running it.
pub(crate) const NOT_RUN: &str = "request-not-run";

const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// State shared by all upstream VMs.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) ledger: Ledger,
    pub(crate) service: BTreeMap<String, Duration>,
}

/// Serves one VM until the process ends. While the VM is down, its address refuses connections.
pub(crate) async fn serve(listener: TcpListener, vm: Arc<Vm>, shared: Arc<Shared>) {
    let mut power = vm.power.subscribe();
    let mut listener = Some(listener);
    loop {
        if !power.borrow_and_update().up {
            listener = None;
        }
        let Some(open) = &listener else {
            let _ = power.wait_for(|power| power.up).await;
            listener = TcpListener::bind(vm.address).await.ok();
            continue;
        };
        tokio::select! {
            _ = power.changed() => {}
            accepted = open.accept() => if let Ok((stream, _)) = accepted {
                let power = vm.power.subscribe();
                tokio::spawn(connection(stream, Arc::clone(&vm), Arc::clone(&shared), power));
            },
        }
    }
}

/// Ends the request on its VM when dropped, also if the connection is closed or the VM goes down.
struct RequestGuard(Arc<Vm>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.end_request();
    }
}

async fn connection(
    stream: TcpStream,
    vm: Arc<Vm>,
    shared: Arc<Shared>,
    mut power: watch::Receiver<Power>,
) {
    let _ = stream.set_nodelay(true);
    let outages = power.borrow_and_update().outages;
    let (close, mut closed) = mpsc::channel::<()>(1);
    let service = service_fn(move |request| {
        let (vm, shared, close) = (Arc::clone(&vm), Arc::clone(&shared), close.clone());
        async move { Ok::<_, Infallible>(respond(request, vm, &shared, close).await) }
    });
    let connection = hyper::server::conn::http1::Builder::new();
    let connection = connection.serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        _ = connection => {}
        _ = power.wait_for(|power| power.outages > outages) => {}
        _ = closed.recv() => {}
    }
}

async fn break_connection(close: &mpsc::Sender<()>) -> Response<Body> {
    let _ = close.send(()).await;
    // The connection is closed before a response is sent.
    std::future::pending().await
}

async fn respond(
    request: Request<Incoming>,
    vm: Arc<Vm>,
    shared: &Shared,
    close: mpsc::Sender<()>,
) -> Response<Body> {
    let fault = vm.fault();
    if fault.break_before {
        return break_connection(&close).await;
    }
    if fault.fail {
        return body::json(StatusCode::INTERNAL_SERVER_ERROR, &"failed");
    }
    if !vm.begin_request() {
        return refusal();
    }
    let _guard = RequestGuard(Arc::clone(&vm));
    let id = request.headers().get(PAYMENT_ID).and_then(|id| id.to_str().ok());
    let payment = id.unwrap_or_default().to_owned();
    let first = request.uri().path().split('/').nth(1).unwrap_or_default();
    let service = shared.service.get(first).copied().unwrap_or_default();
    let read = body::read(request.into_body(), MAX_BODY_BYTES, BODY_TIMEOUT).await;
    if read.is_err() {
        return body::json(StatusCode::BAD_REQUEST, &"body");
    }
    shared.ledger.record_run(&payment);
    tokio::time::sleep(service + Duration::from_millis(fault.late_ms)).await;
    if fault.break_after {
        return break_connection(&close).await;
    }
    let receipt = Receipt { payment, vm: vm.name.to_string() };
    if fault.half_answer {
        return truncated_response(&receipt);
    }
    body::json(StatusCode::OK, &receipt)
}

fn refusal() -> Response<Body> {
    let mut response = body::json(StatusCode::SERVICE_UNAVAILABLE, &"draining");
    let headers = response.headers_mut();
    headers.insert(NOT_RUN, HeaderValue::from_static("1"));
    headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Response whose body ends with an error after the first half.
fn truncated_response(receipt: &Receipt) -> Response<Body> {
    let whole = serde_json::to_vec(receipt).unwrap_or_default();
    let part = Bytes::copy_from_slice(&whole[..whole.len() / 2]);
    let frames =
        [Ok(Frame::data(part)), Err(BoxError::from("connection closed by an injected fault"))];
    let stream = futures::stream::iter(frames).then(|frame| async {
        tokio::time::sleep(Duration::from_millis(5)).await;
        frame
    });
    Response::new(StreamBody::new(stream).boxed_unsync())
}
