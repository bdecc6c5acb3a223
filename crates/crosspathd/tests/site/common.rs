//! Small site for the tests, and helpers to query it and to send payments.

use std::collections::BTreeMap;
use std::time::Duration;

use crosspath_fakes::ledger::{PAYMENT_ID, Receipt};
use crosspath_fakes::site::{Plan, Site};
use crosspath_http::client::{self, Method, Response};
use crosspath_state::resource::Kind;
use http::Request;
use serde_json::{Value, json};
use uuid::Uuid;

pub(crate) const TOKEN: &str = "shops-demo-token";
pub(crate) const WAIT_LIMIT: Duration = Duration::from_secs(10);
pub(crate) const DAEMONS: usize = 3;

/// Plan with three daemons and a pool of `vms` VMs. The pool has a non-idempotent urgent service,
/// an idempotent urgent service and a batch service.
pub(crate) fn plan(vms: usize) -> Plan {
    let mut plan = Plan::new(env!("CARGO_BIN_EXE_crosspathd"), DAEMONS);
    let token = crosspath_settings::token::Hash::of(TOKEN).to_hex();
    let other = crosspath_settings::token::Hash::of("other-demo-token").to_hex();
    plan = plan
        .with(Kind::Pool, "counter", json!({ "max_unavailable": 2, "reserve": 1 }))
        .with(Kind::Team, "team", json!({ "max_cores": 100 }))
        .with(Kind::Caller, "shops", json!({ "token_sha256": token }))
        .with(Kind::Caller, "other", json!({ "token_sha256": other }));
    let service = |class: &str, repeatable: bool, timeout_ms: u64| {
        json!({
            "pool": "counter", "class": class, "repeatable": repeatable, "timeout_ms": timeout_ms
        })
    };
    plan = plan
        .with(Kind::Service, "pay", service("urgent", false, 2_000))
        .with(Kind::Service, "ask", service("urgent", true, 2_000))
        .with(Kind::Service, "import", service("batch", false, 5_000));
    for number in 0..vms {
        plan = plan.with(Kind::Vm, &format!("vm-{number}"), vm(number));
    }
    plan
}

pub(crate) fn vm(number: usize) -> Value {
    json!({
        "pool": "counter", "data_centre": "dc-1", "rack": format!("r{}", number / 4),
        "address": "127.0.0.1:9", "cores": 32, "memory_mb": 131_072, "slots": 8, "connections": 64
    })
}

pub(crate) fn job(cores: u32, checkpointable: bool) -> Value {
    json!({
        "pool": "counter", "team": "team", "class": "batch", "cores": cores,
        "memory_mb": 1_024, "checkpointable": checkpointable
    })
}

pub(crate) async fn start(plan: &Plan) -> Site {
    let site = Site::start(plan).await.expect("site starts");
    site.declare(0, &plan.resources).await.expect("resources are accepted");
    wait_applied(&site).await;
    site
}

/// Waits until every daemon has applied all records that the first one has applied now.
pub(crate) async fn wait_applied(site: &Site) {
    let revision = applied(site, 0).await;
    for index in 0..site.daemons.len() {
        site.wait(WAIT_LIMIT, "revision applied", async || applied(site, index).await >= revision)
            .await
            .expect("every daemon applies the revision");
    }
}

pub(crate) async fn status(site: &Site, index: usize) -> Value {
    let operator = site.daemons[index].operator();
    operator.call(Method::GET, "/v1/status", None::<&()>).await.unwrap_or_default()
}

pub(crate) async fn applied(site: &Site, index: usize) -> u64 {
    status(site, index).await["applied"].as_u64().unwrap_or_default()
}

pub(crate) async fn get(site: &Site, index: usize, path: &str) -> Value {
    let operator = site.daemons[index].operator();
    operator.call(Method::GET, path, None::<&()>).await.unwrap_or_default()
}

pub(crate) async fn put(
    site: &Site,
    index: usize,
    path: &str,
    spec: Value,
) -> Result<Value, client::Error> {
    let operator = site.daemons[index].operator();
    operator.call(Method::PUT, path, Some(&json!({ "spec": spec }))).await
}

/// Response to a caller, or its absence.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) outcome: String,
    pub(crate) reason: String,
    /// Payment that the response confirms, if its body is a receipt.
    pub(crate) receipt: Option<String>,
    pub(crate) retry_after: bool,
}

impl Reply {
    fn read(answer: Result<Response, client::Error>) -> Self {
        let Ok(answer) = answer else {
            let (outcome, reason) = ("nothing".to_owned(), String::new());
            return Self { status: 0, outcome, reason, receipt: None, retry_after: false };
        };
        let header = |name: &str| {
            let value = answer.head.headers.get(name).and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        let receipt = serde_json::from_slice::<Receipt>(&answer.body).ok();
        Self {
            status: answer.head.status.as_u16(),
            outcome: header("crosspath-outcome"),
            reason: header("crosspath-reason"),
            receipt: receipt.map(|receipt| receipt.payment),
            retry_after: answer.head.headers.contains_key("retry-after"),
        }
    }

    /// Outcome and reason, separated by a slash.
    pub(crate) fn summary(&self) -> String {
        format!("{}/{}", self.outcome, self.reason)
    }
}

/// Payment; if `keyed`, its identifier is also its payment key.
#[derive(Debug, Clone)]
pub(crate) struct Payment {
    pub(crate) id: String,
    pub(crate) service: &'static str,
    pub(crate) keyed: bool,
}

impl Payment {
    pub(crate) fn new(service: &'static str, keyed: bool) -> Self {
        Self { id: Uuid::now_v7().to_string(), service, keyed }
    }

    pub(crate) async fn send(&self, site: &Site, index: usize) -> Reply {
        self.send_as(site, index, TOKEN, "{}").await
    }

    pub(crate) async fn send_as(
        &self,
        site: &Site,
        index: usize,
        token: &str,
        body: &str,
    ) -> Reply {
        let request = Request::post(format!("/{}/payments", self.service));
        let request = request.header(PAYMENT_ID, &self.id);
        let request = if self.keyed { request.header("payment-key", &self.id) } else { request };
        Reply::read(site.send(index, token, request, body).await)
    }

    pub(crate) fn runs(&self, site: &Site) -> u32 {
        site.fakes.ledger().runs().get(&self.id).copied().unwrap_or_default()
    }
}

/// Payments with new keys. With a few dozen, each daemon owns some of the keys.
pub(crate) fn payments(count: usize) -> Vec<Payment> {
    (0..count).map(|_| Payment::new("pay", true)).collect()
}

/// Waits until every daemon owns partitions of the keys and has a guard.
pub(crate) async fn wait_settled(site: &Site) {
    site.wait(WAIT_LIMIT, "settled", async || {
        let status = status(site, 0).await;
        let daemons = status["daemons"].as_array().cloned().unwrap_or_default();
        daemons.len() == site.daemons.len()
            && daemons.iter().all(|daemon| {
                daemon["partitions"].as_u64() > Some(10) && daemon["guard"].is_string()
            })
    })
    .await
    .expect("every daemon owns keys and has a guard");
    // An owner grants only keys created more than twice the skew after its records were complete.
    tokio::time::sleep(Duration::from_millis(150)).await;
}

/// Highest number of runs of any payment.
pub(crate) fn max_runs(site: &Site) -> u32 {
    let runs: BTreeMap<String, u32> = site.fakes.ledger().runs();
    runs.values().copied().max().unwrap_or_default()
}
