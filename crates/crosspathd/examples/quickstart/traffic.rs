//! Callers that send payments to ready daemons and record every outcome.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use crosspath_fakes::ledger::{PAYMENT_ID, Receipt};
use crosspath_fakes::site::{Daemon, Manifest};
use crosspath_http::client::{Client, Response};
use crosspath_state::resource::Kind;
use hdrhistogram::Histogram;
use http::Request;
use serde_json::Value;
use tokio::task::JoinHandle;
use uuid::Uuid;

use crate::Shared;

const SENDERS: usize = 12;
const SEND_INTERVAL: Duration = Duration::from_millis(10);
const CALL_TIMEOUT: Duration = Duration::from_secs(6);
const MAX_ATTEMPTS: usize = 5;
const RETRY_DELAY: Duration = Duration::from_millis(300);
const REFRESH_INTERVAL: Duration = Duration::from_millis(150);

/// Final outcome of a payment, as the caller knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outcome {
    Answered,
    NotRun,
    Unknown,
    Nothing,
}

/// Outcomes and latencies recorded by all callers.
#[derive(Debug, Default)]
pub(crate) struct Results {
    pub(crate) outcomes: BTreeMap<String, Outcome>,
    pub(crate) idempotent: BTreeMap<String, bool>,
    pub(crate) mismatched: u64,
    pub(crate) latency_us: BTreeMap<String, Option<Histogram<u64>>>,
}

pub(crate) struct Traffic {
    stop: Arc<AtomicBool>,
    results: Arc<Mutex<Results>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Traffic {
    pub(crate) async fn stop(self) -> Results {
        self.stop.store(true, Ordering::Relaxed);
        for task in self.tasks {
            let _ = task.await;
        }
        std::mem::take(&mut self.results.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

#[derive(Debug, Clone)]
struct Service {
    name: String,
    class: String,
    idempotent: bool,
}

/// Load balancer of the platform, which distributes requests over the ready daemons.
#[derive(Debug, Default)]
struct Balancer {
    ready: Mutex<Vec<Client>>,
    next_index: AtomicUsize,
}

impl Balancer {
    fn next(&self) -> Option<Client> {
        let ready = self.ready.lock().unwrap_or_else(PoisonError::into_inner);
        let next_index = self.next_index.fetch_add(1, Ordering::Relaxed);
        (!ready.is_empty()).then(|| ready[next_index % ready.len()].clone())
    }

    async fn refresh(&self, site: &Shared, clients: &mut BTreeMap<usize, Client>, token: &str) {
        let site = site.read().await;
        let probes = site.daemons.iter().map(Daemon::is_ready);
        let ready = futures::future::join_all(probes).await;
        let mut live = Vec::new();
        for (index, _) in ready.into_iter().enumerate().filter(|(_, ready)| *ready) {
            let client = clients.entry(index).or_insert_with(|| {
                Client::new(site.daemons[index].callers, CALL_TIMEOUT).with_token(token)
            });
            live.push(client.clone());
        }
        *self.ready.lock().unwrap_or_else(PoisonError::into_inner) = live;
    }
}

pub(crate) fn start(site: &Shared, resources: &[Manifest]) -> Traffic {
    let (stop, results) = (Arc::new(AtomicBool::new(false)), Arc::<Mutex<Results>>::default());
    let balancer = Arc::<Balancer>::default();
    let token = token(resources);
    let mut tasks = vec![tokio::spawn(balance(
        Arc::clone(site),
        Arc::clone(&balancer),
        Arc::clone(&stop),
        token,
    ))];
    let services = services(resources);
    for sender in 0..SENDERS {
        let service = services[sender % services.len()].clone();
        let sender = Sender {
            service,
            keyed: sender % 2 == 0,
            balancer: Arc::clone(&balancer),
            results: Arc::clone(&results),
        };
        tasks.push(tokio::spawn(sender.run(Arc::clone(&stop))));
    }
    Traffic { stop, results, tasks }
}

/// Token of the first caller. In the example deployments tokens are derived from the callers'
/// names.
fn token(resources: &[Manifest]) -> String {
    let caller = resources.iter().find(|resource| resource.kind == Kind::Caller);
    format!("{}-demo-token", caller.map(|caller| caller.name.as_str()).unwrap_or_default())
}

fn services(resources: &[Manifest]) -> Vec<Service> {
    let text = |spec: &Value, field: &str| spec[field].as_str().unwrap_or_default().to_owned();
    let services = resources.iter().filter(|resource| resource.kind == Kind::Service);
    let services = services.map(|resource| Service {
        name: resource.name.clone(),
        class: text(&resource.spec, "class"),
        idempotent: resource.spec["repeatable"] == true,
    });
    services.collect()
}

async fn balance(site: Shared, balancer: Arc<Balancer>, stop: Arc<AtomicBool>, token: String) {
    let mut clients = BTreeMap::new();
    while !stop.load(Ordering::Relaxed) {
        balancer.refresh(&site, &mut clients, &token).await;
        tokio::time::sleep(REFRESH_INTERVAL).await;
    }
}

struct Sender {
    service: Service,
    keyed: bool,
    balancer: Arc<Balancer>,
    results: Arc<Mutex<Results>>,
}

impl Sender {
    async fn run(self, stop: Arc<AtomicBool>) {
        while !stop.load(Ordering::Relaxed) {
            tokio::time::sleep(SEND_INTERVAL).await;
            let payment = Uuid::now_v7().to_string();
            let started = Instant::now();
            let outcome = self.pay(&payment).await;
            self.record(payment, outcome, started.elapsed());
        }
    }

    /// Sends a payment. With a payment key it is retried through any daemon until its outcome is
    /// known or the attempts are used up.
    async fn pay(&self, payment: &str) -> Outcome {
        let mut outcome = Outcome::Nothing;
        for _ in 0..MAX_ATTEMPTS {
            let Some(client) = self.balancer.next() else {
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            };
            let request = Request::post(format!("/{}/payments", self.service.name));
            let request = request.header(PAYMENT_ID, payment);
            let request = if self.keyed { request.header("payment-key", payment) } else { request };
            let response = client.send(request, Bytes::from_static(b"{\"amount\":125}")).await;
            outcome = match response {
                Ok(response) => self.read(payment, &response),
                // Without a key, a failed request may have been run and is not retried.
                Err(_) => Outcome::Nothing,
            };
            let is_final = matches!(outcome, Outcome::Answered | Outcome::NotRun) || !self.keyed;
            if is_final {
                return outcome;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        outcome
    }

    fn read(&self, payment: &str, response: &Response) -> Outcome {
        let header = response.head.headers.get("crosspath-outcome");
        match header.and_then(|outcome| outcome.to_str().ok()) {
            Some("upstream" | "recorded") => {
                let receipt = serde_json::from_slice::<Receipt>(&response.body);
                let own = receipt.is_ok_and(|receipt| receipt.payment == payment);
                let mut results = self.results.lock().unwrap_or_else(PoisonError::into_inner);
                results.mismatched += u64::from(!own);
                Outcome::Answered
            }
            Some("not_run") => Outcome::NotRun,
            _ => Outcome::Unknown,
        }
    }

    fn record(&self, payment: String, outcome: Outcome, latency: Duration) {
        let mut results = self.results.lock().unwrap_or_else(PoisonError::into_inner);
        results.idempotent.insert(payment.clone(), self.service.idempotent);
        results.outcomes.insert(payment, outcome);
        let histogram = results.latency_us.entry(self.service.class.clone()).or_default();
        let histogram = histogram.get_or_insert_with(|| {
            Histogram::new(3).expect("three significant figures are allowed")
        });
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        let _ = histogram.record(micros);
    }
}
