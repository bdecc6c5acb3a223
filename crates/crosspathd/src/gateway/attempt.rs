//! Sending a request to upstreams until one answers or nothing more may be tried.

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
use crosspath_route::dispatch::Use;
use crosspath_route::verdict::{self, Failure, Known, Verdict};
use crosspath_state::resource::Service;
use crosspath_state::time::Monotonic;
use crosspath_upstream::{self as upstream, Streamed};
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Frame;
use tokio::time::Instant;

use super::{Gateway, outcome_of};
use crate::clock;
use crate::pools::{Slot, Wish};

/// Header by which an upstream says that it refused a request before running it.
const NOT_RUN: &str = "request-not-run";

/// Largest answer to a request with a key; it is read whole before it is passed on.
const MAX_KEYED_ANSWER: usize = 4 * 1024 * 1024;

/// One request on its way to upstreams.
pub(super) struct Attempts<'a> {
    pub(super) gateway: &'a Gateway,
    pub(super) payment: &'a Payment,
    pub(super) service: &'a Service,
    pub(super) deadline: Monotonic,
}

/// An upstream's answer and the slot that it still uses.
struct Answered {
    answer: Response<Streamed>,
    slot: Slot,
    sent_at: Monotonic,
}

impl Attempts<'_> {
    /// Runs the request and passes the answer on as it streams in.
    pub(super) async fn run(&self) -> Reply {
        match self.answered().await {
            Ok(answered) => {
                let Answered { answer, slot, sent_at } = answered;
                let answer = answer.map(|inner| Passing::new(inner, slot, sent_at).boxed_unsync());
                Reply::Upstream(cleaned(answer))
            }
            Err(answer) => Reply::Final(answer),
        }
    }

    /// Runs the request, reads the whole answer, and says how to record it.
    pub(super) async fn run_whole(&self, kept: u64) -> (Reply, Outcome) {
        let Answered { answer, mut slot, sent_at } = match self.answered().await {
            Ok(answered) => answered,
            Err(answer) => return (Reply::Final(answer), outcome_of(answer.answer)),
        };
        let (head, streamed) = answer.into_parts();
        let Ok(whole) = Limited::new(streamed, MAX_KEYED_ANSWER).collect().await else {
            slot.ended(Use::Failed);
            let cut = Unknown::UpstreamCut;
            return (Reply::Final(Final::unknown(cut)), Outcome::Unknown(cut));
        };
        slot.ended(Use::Answered(clock::monotonic().since(sent_at)));
        let bytes = whole.to_bytes();
        let outcome = record(&head, &bytes, kept);
        (Reply::Upstream(cleaned(Response::from_parts(head, body::full(bytes)))), outcome)
    }

    async fn answered(&self) -> Result<Answered, Final> {
        self.budget().deposit();
        let mut maybe_run = false;
        for attempts in 1.. {
            let slot = self.slot().await.map_err(|refusal| refused(refusal, maybe_run))?;
            let failure = match self.attempt(slot).await {
                Ok(answered) => return Ok(answered),
                Err(failure) => failure,
            };
            let left = self.deadline.since(clock::monotonic());
            let repeatable = self.service.repeatable;
            let known = Known { failure, maybe_run, repeatable, attempts, left };
            maybe_run |= !failure.certainly_not_run();
            match verdict::decide(known, &mut self.budget()) {
                Verdict::Retry => self.gateway.core.metrics.count_retry(),
                Verdict::Final(answer) => return Err(answer),
            }
        }
        Err(Final::not_run(NotRun::UpstreamRefused, Duration::from_secs(1)))
    }

    fn budget(&self) -> std::sync::MutexGuard<'_, verdict::Budget> {
        self.gateway.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn slot(&self) -> Result<Slot, Final> {
        let core = &self.gateway.core;
        let asked_at = clock::monotonic();
        let (pool, caller) = (&self.service.pool, &self.payment.caller);
        let class = self.service.class;
        let wish = Wish { pool, caller, class, deadline: self.deadline };
        let slot = core.pools.acquire(wish).await;
        core.metrics.observe_slot_wait(class, caller, clock::monotonic().since(asked_at));
        slot
    }

    async fn attempt(&self, mut slot: Slot) -> Result<Answered, Failure> {
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
            Ok(answer) if is_refusal(&answer) => {
                slot.ended(Use::Refused);
                core.upstreams.close_idle(address);
                Err(Failure::Refused)
            }
            Ok(answer) => Ok(Answered { answer, slot, sent_at }),
            Err(failure) => {
                slot.ended(Use::Failed);
                Err(match failure {
                    upstream::Failure::NotSent => Failure::NotSent,
                    upstream::Failure::Broken => Failure::Broken,
                    upstream::Failure::Late => Failure::Late,
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

/// A refusal of a further attempt must not deny what an earlier one may have done.
fn refused(refusal: Final, maybe_run: bool) -> Final {
    if maybe_run { Final::unknown(Unknown::UpstreamCut) } else { refusal }
}

fn is_refusal(answer: &Response<Streamed>) -> bool {
    answer.status() == StatusCode::SERVICE_UNAVAILABLE && answer.headers().contains_key(NOT_RUN)
}

fn cleaned(mut answer: Response<Body>) -> Response<Body> {
    strip_hop_by_hop(answer.headers_mut());
    answer
}

fn record(head: &http::response::Parts, bytes: &Bytes, kept: u64) -> Outcome {
    let status = head.status.as_u16();
    if bytes.len() as u64 > kept {
        return Outcome::AnsweredLarge { status };
    }
    let kind = head.headers.get(header::CONTENT_TYPE).and_then(|kind| kind.to_str().ok());
    let content_type = kind.map(ToOwned::to_owned);
    Outcome::Answered(Recorded { status, content_type, body: bytes.to_vec() })
}

/// An answer on its way to the caller; its slot is free when it is whole, or given up.
struct Passing {
    inner: Streamed,
    slot: Slot,
    sent_at: Monotonic,
}

impl Passing {
    fn new(inner: Streamed, slot: Slot, sent_at: Monotonic) -> Self {
        let mut passing = Self { inner, slot, sent_at };
        if hyper::body::Body::is_end_stream(&passing.inner) {
            passing.answered();
        }
        passing
    }

    fn answered(&mut self) {
        let time = clock::monotonic().since(self.sent_at);
        self.slot.ended(Use::Answered(time));
    }
}

impl hyper::body::Body for Passing {
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
                    self.answered();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                self.slot.ended(Use::Failed);
                Poll::Ready(Some(Err(error.into())))
            }
            Poll::Ready(None) => {
                self.answered();
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
