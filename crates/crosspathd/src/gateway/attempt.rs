//! Sends a request to upstreams until one responds or no further attempt is permitted.

use std::pin::Pin;
use std::sync::PoisonError;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use crosspath_caller::{Payment, Reply, strip_hop_by_hop};
use crosspath_http::Body;
use crosspath_http::body::{self, BoxError};
use crosspath_route::answer::{Final, NotRun, Unknown};
use crosspath_route::claim::{Outcome, Recorded};
use crosspath_route::dispatch::Completion;
use crosspath_route::retry::{self, Decision, FailedAttempt, Failure};
use crosspath_state::resource::Service;
use crosspath_state::time::Monotonic;
use crosspath_upstream::{self as upstream, StreamingBody};
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Frame;
use tokio::time::Instant;

use super::{Gateway, outcome_of};
use crate::clock;
use crate::pools::{Slot, SlotRequest};

/// Header with which an upstream states that it refused a request before running it.
const NOT_RUN: &str = "request-not-run";

/// Largest response to a request with a key; it is buffered completely before it is forwarded.
const MAX_KEYED_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// All attempts to run one request.
pub(super) struct Attempts<'a> {
    pub(super) gateway: &'a Gateway,
    pub(super) payment: &'a Payment,
    pub(super) service: &'a Service,
    pub(super) deadline: Monotonic,
}

/// Response of an upstream, and the slot that it occupies until its body ends.
struct UpstreamResponse {
    response: Response<StreamingBody>,
    slot: Slot,
    sent_at: Monotonic,
}

impl Attempts<'_> {
    /// Runs the request and forwards the response as it streams in.
    pub(super) async fn run(&self) -> Reply {
        match self.send_until_final().await {
            Ok(upstream_response) => {
                let UpstreamResponse { response, slot, sent_at } = upstream_response;
                let response =
                    response.map(|inner| ForwardedBody::new(inner, slot, sent_at).boxed_unsync());
                Reply::Upstream(without_hop_by_hop(response))
            }
            Err(answer) => Reply::Final(answer),
        }
    }

    /// Runs the request, reads the complete response, and returns it with the outcome to record. A
    /// body larger than `max_recorded_bytes` is not recorded.
    pub(super) async fn run_buffered(&self, max_recorded_bytes: u64) -> (Reply, Outcome) {
        let UpstreamResponse { response, mut slot, sent_at } = match self.send_until_final().await {
            Ok(upstream_response) => upstream_response,
            Err(answer) => return (Reply::Final(answer), outcome_of(answer.answer)),
        };
        let (head, streamed) = response.into_parts();
        let Ok(whole) = Limited::new(streamed, MAX_KEYED_RESPONSE_BYTES).collect().await else {
            slot.set_completion(Completion::Failed);
            let reason = Unknown::UpstreamCut;
            return (Reply::Final(Final::unknown(reason)), Outcome::Unknown(reason));
        };
        slot.set_completion(Completion::Answered(clock::monotonic().since(sent_at)));
        let bytes = whole.to_bytes();
        let outcome = recorded_outcome(&head, &bytes, max_recorded_bytes);
        (
            Reply::Upstream(without_hop_by_hop(Response::from_parts(head, body::full(bytes)))),
            outcome,
        )
    }

    async fn send_until_final(&self) -> Result<UpstreamResponse, Final> {
        self.budget().deposit();
        let mut may_have_run = false;
        for attempts in 1.. {
            let slot = self.slot().await.map_err(|refusal| refusal_after(refusal, may_have_run))?;
            let failure = match self.attempt(slot).await {
                Ok(upstream_response) => return Ok(upstream_response),
                Err(failure) => failure,
            };
            let remaining = self.deadline.since(clock::monotonic());
            let idempotent = self.service.repeatable;
            let failed_attempt =
                FailedAttempt { failure, may_have_run, idempotent, attempts, remaining };
            may_have_run |= !failure.certainly_not_run();
            match retry::decide(failed_attempt, &mut self.budget()) {
                Decision::Retry => self.gateway.core.metrics.count_retry(),
                Decision::Final(answer) => return Err(answer),
            }
        }
        Err(Final::not_run(NotRun::UpstreamRefused, Duration::from_secs(1)))
    }

    fn budget(&self) -> std::sync::MutexGuard<'_, retry::Budget> {
        self.gateway.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn slot(&self) -> Result<Slot, Final> {
        let core = &self.gateway.core;
        let requested_at = clock::monotonic();
        let (pool, caller) = (&self.service.pool, &self.payment.caller);
        let class = self.service.class;
        let slot_request = SlotRequest { pool, caller, class, deadline: self.deadline };
        let slot = core.pools.acquire(slot_request).await;
        core.metrics.observe_slot_wait(class, caller, clock::monotonic().since(requested_at));
        slot
    }

    async fn attempt(&self, mut slot: Slot) -> Result<UpstreamResponse, Failure> {
        let core = &self.gateway.core;
        let vm = core.state().vms.get(slot.vm()).map(|vm| vm.spec.address);
        let Some(address) = vm else {
            return Err(Failure::NotSent);
        };
        let sent_at = clock::monotonic();
        let left = self.deadline.since(sent_at);
        if left.is_zero() {
            return Err(Failure::NotSent);
        }
        let Ok(request) = self.request(left, address) else {
            return Err(Failure::NotSent);
        };
        match core.upstreams.send(address, request, Instant::now() + left).await {
            Ok(response) if is_refusal(&response) => {
                slot.set_completion(Completion::Refused);
                core.upstreams.close_idle(address);
                Err(Failure::Refused)
            }
            Ok(response) => Ok(UpstreamResponse { response, slot, sent_at }),
            Err(failure) => {
                slot.set_completion(Completion::Failed);
                Err(match failure {
                    upstream::Failure::NotSent => Failure::NotSent,
                    upstream::Failure::Broken => Failure::Broken,
                    upstream::Failure::Timeout => Failure::Timeout,
                })
            }
        }
    }

    fn request(
        &self,
        left: Duration,
        address: std::net::SocketAddr,
    ) -> Result<Request<Full<Bytes>>, http::Error> {
        let payment = self.payment;
        let mut request = Request::builder()
            .method(payment.method.clone())
            .uri(&payment.path)
            .body(Full::new(payment.body.clone()))?;
        *request.headers_mut() = payment.headers.clone();
        let headers = request.headers_mut();
        headers.insert(header::HOST, HeaderValue::try_from(address.to_string())?);
        let left = HeaderValue::try_from(left.as_millis().to_string())?;
        headers.insert(crosspath_caller::REQUEST_TIMEOUT_MS, left);
        Ok(request)
    }
}

/// Answer when a further attempt is refused: unknown if an earlier attempt may have run the
/// request.
fn refusal_after(refusal: Final, may_have_run: bool) -> Final {
    if may_have_run { Final::unknown(Unknown::UpstreamCut) } else { refusal }
}

fn is_refusal(response: &Response<StreamingBody>) -> bool {
    response.status() == StatusCode::SERVICE_UNAVAILABLE && response.headers().contains_key(NOT_RUN)
}

fn without_hop_by_hop(mut response: Response<Body>) -> Response<Body> {
    strip_hop_by_hop(response.headers_mut());
    response
}

fn recorded_outcome(
    head: &http::response::Parts,
    bytes: &Bytes,
    max_recorded_bytes: u64,
) -> Outcome {
    let status = head.status.as_u16();
    if bytes.len() as u64 > max_recorded_bytes {
        return Outcome::AnsweredLarge { status };
    }
    let kind = head.headers.get(header::CONTENT_TYPE).and_then(|kind| kind.to_str().ok());
    let content_type = kind.map(ToOwned::to_owned);
    Outcome::Answered(Recorded { status, content_type, body: bytes.to_vec() })
}

/// Body forwarded to the caller. It holds its slot until it is dropped, and records on the slot how
/// the response ended.
struct ForwardedBody {
    inner: StreamingBody,
    slot: Slot,
    sent_at: Monotonic,
}

impl ForwardedBody {
    fn new(inner: StreamingBody, slot: Slot, sent_at: Monotonic) -> Self {
        let mut body = Self { inner, slot, sent_at };
        if hyper::body::Body::is_end_stream(&body.inner) {
            body.record_completion();
        }
        body
    }

    fn record_completion(&mut self) {
        let time = clock::monotonic().since(self.sent_at);
        self.slot.set_completion(Completion::Answered(time));
    }
}

impl hyper::body::Body for ForwardedBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        match Pin::new(&mut self.inner).poll_frame(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Ok(frame))) => {
                if hyper::body::Body::is_end_stream(&self.inner) {
                    self.record_completion();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                self.slot.set_completion(Completion::Failed);
                Poll::Ready(Some(Err(error.into())))
            }
            Poll::Ready(None) => {
                self.record_completion();
                Poll::Ready(None)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        hyper::body::Body::is_end_stream(&self.inner)
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        hyper::body::Body::size_hint(&self.inner)
    }
}
