//! Handles a caller's request from its arrival to the final answer.

mod attempt;

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use crosspath_caller::{Handler, Payment, Rejection, Reply};
use crosspath_route::answer::{Answer, Final, NotRun, Unknown};
use crosspath_route::claim::{Outcome, Request};
use crosspath_route::key::Key;
use crosspath_route::quota::Quota;
use crosspath_route::retry::Budget;
use crosspath_settings::token::Hash;
use crosspath_state::job::Class;
use crosspath_state::name::{CallerName, ServiceName};
use crosspath_state::resource::Service;
use sha2::{Digest as _, Sha256};

use crate::claims::{self, Decision};
use crate::clock;
use crate::core::Core;
use attempt::Attempts;

const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Runs callers' requests within their quotas and retry budget.
#[derive(Debug)]
pub(crate) struct Gateway {
    core: Arc<Core>,
    quota: Mutex<Quota>,
    budget: Mutex<Budget>,
}

/// Counts a request in the caller's quota and in the metrics from its admission until it is
/// dropped, however the request ends.
struct InFlight {
    gateway: Arc<Gateway>,
    caller: CallerName,
    class: Class,
    started: crosspath_state::time::Monotonic,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.gateway.quota.lock().unwrap_or_else(PoisonError::into_inner).release(&self.caller);
        let latency = clock::monotonic().since(self.started);
        self.gateway.core.metrics.end_request(self.class, &self.caller, latency);
    }
}

impl Gateway {
    pub(crate) fn new(core: Arc<Core>) -> Self {
        Self { core, quota: Mutex::default(), budget: Mutex::default() }
    }

    fn admit(self: &Arc<Self>, caller: &CallerName, class: Class) -> Option<InFlight> {
        let max = self.core.state().callers.get(caller).map_or(0, |c| c.spec.max_in_flight);
        let admitted =
            self.quota.lock().unwrap_or_else(PoisonError::into_inner).try_acquire(caller, max);
        if !admitted {
            return None;
        }
        self.core.metrics.begin_request(class, caller);
        let (gateway, caller) = (Arc::clone(self), caller.clone());
        Some(InFlight { gateway, caller, class, started: clock::monotonic() })
    }

    async fn run_admitted(self: Arc<Self>, payment: Payment, service: Service) -> Reply {
        let class = service.class;
        let Some(in_flight) = self.admit(&payment.caller, class) else {
            return Reply::Final(refused_before_claim(&payment, NotRun::CallerQuota));
        };
        let max_timeout = Duration::from_millis(service.timeout_ms);
        let timeout = payment.timeout.map_or(max_timeout, |timeout| timeout.min(max_timeout));
        let deadline = in_flight.started.after(timeout);
        let attempts = Attempts { gateway: &self, payment: &payment, service: &service, deadline };
        match payment.key {
            None => attempts.run().await,
            Some(key) => self.run_keyed(attempts, key).await,
        }
    }

    /// Claims the key, runs the request, and records its outcome under the key.
    async fn run_keyed(&self, attempts: Attempts<'_>, key: Key) -> Reply {
        let payment = attempts.payment;
        let request = Request { key, caller: payment.caller.clone(), digest: digest(payment) };
        let left = attempts.deadline.since(clock::monotonic());
        match claims::claim(&self.core, &request, left).await {
            Decision::Granted => {}
            Decision::Recorded(verdict) => return Reply::Recorded(verdict),
            Decision::Final(answer) => return Reply::Final(answer),
        }
        let (reply, outcome) = attempts.run_buffered(self.core.settings.limits.answer_bytes).await;
        claims::settle(&self.core, &request, outcome).await;
        reply
    }

    fn count_response(&self, class: Class, reply: &Reply) {
        let (outcome, reason) = match reply {
            Reply::Upstream(_) => ("upstream", "answered"),
            Reply::Recorded(_) => ("recorded", "answered"),
            Reply::Final(answer) => (answer.answer.outcome(), answer.answer.reason()),
        };
        self.core.metrics.count_response(class, outcome, reason);
    }
}

/// Digest of the parts that must be identical when a request is sent again with the same key.
fn digest(payment: &Payment) -> String {
    let mut hasher = Sha256::new();
    for part in [payment.method.as_str(), &payment.path] {
        hasher.update(part.as_bytes());
        hasher.update([0]);
    }
    hasher.update(&payment.body);
    hex::encode(hasher.finalize())
}

/// Handler for callers. It shares the gateway, so that a request can outlive its connection.
#[derive(Debug)]
pub(crate) struct CallerHandler(pub(crate) Arc<Gateway>);

#[async_trait]
impl Handler for CallerHandler {
    fn caller(&self, token: &str) -> Option<CallerName> {
        let hash = Hash::of(token).to_hex();
        let state = self.0.core.state();
        let mut callers = state.callers.iter();
        callers.find(|(_, c)| c.spec.token_sha256 == hash).map(|(name, _)| name.clone())
    }

    fn has_service(&self, service: &str) -> bool {
        let name = ServiceName::new(service).ok();
        name.is_some_and(|name| self.0.core.state().services.contains_key(&name))
    }

    async fn run(&self, payment: Payment) -> Reply {
        let gateway = Arc::clone(&self.0);
        let service = gateway.core.state().services.get(&payment.service).cloned();
        let Some(service) = service.map(|service| service.spec) else {
            return Reply::Final(refused_before_claim(&payment, NotRun::NoUpstream));
        };
        let class = service.class;
        let keyed = payment.key.is_some();
        let running = Arc::clone(&gateway).run_admitted(payment, service);
        let reply = if keyed {
            // Continues after the caller disconnects, so that a retry by the caller finds the
            // outcome.
            let ended = tokio::spawn(running).await;
            ended.unwrap_or_else(|_| Reply::Final(Final::unknown(Unknown::OutcomeLost)))
        } else {
            running.await
        };
        gateway.count_response(class, &reply);
        reply
    }

    async fn outcome(&self, key: Key, caller: &CallerName) -> Reply {
        match claims::look_up(&self.0.core, key, caller).await {
            Some(verdict) => Reply::Recorded(verdict),
            None => Reply::Final(Final {
                answer: Answer::Unknown(Unknown::KeyUnheard),
                retry_after: None,
            }),
        }
    }

    fn count_rejected(&self, rejection: &Rejection) {
        self.0.core.metrics.count_rejection(rejection.reason());
    }
}

/// Answer to a request that is refused before its key was claimed. With a key the outcome is
/// unknown, because an earlier request with the same key may have run.
fn refused_before_claim(payment: &Payment, reason: NotRun) -> Final {
    match payment.key {
        None => Final::not_run(reason, RETRY_AFTER),
        Some(_) => Final::unknown(Unknown::KeyNotAsked),
    }
}

/// Outcome that is recorded under the key of a request that ended with `answer`.
fn outcome_of(answer: Answer) -> Outcome {
    match answer {
        Answer::NotRun(_) => Outcome::NotRun,
        Answer::Unknown(reason) => Outcome::Unknown(reason),
        Answer::KeyMismatch => Outcome::Unknown(Unknown::OutcomeLost),
    }
}
