//! A small deployment: the store, the workers of one service, six daemons and their callers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use serde_json::{Value, json};

use crate::advice;
use crate::cloud;
use crate::daemons::{Daemons, Platform};
use crate::http;
use crate::record::Record;
use crate::store::Store;
use crate::worker::Workers;

const SERVICE: &str = "wuno96b";
const OTHER_SERVICE: &str = "huvo11a";
const HOST: &str = "pule25.example";
const PREFIX: &str = "/puxa400/";
const DAEMONS: usize = 6;
/// Failed runs of a task with which its job fails (`max_attempts` of the queue).
pub const MAX_ATTEMPTS: usize = 3;
/// Time for which a client waits for an answer.
const DEADLINE: Duration = Duration::from_millis(3_000);
/// Sends of one request, the first included.
const SENDS: usize = 5;

/// Step of a job.
#[derive(Debug, Clone)]
pub struct Step {
    pub count: u64,
    pub cpu: u64,
    pub mem_mb: u64,
    /// Label that the workers of its tasks must have.
    pub requirements: Option<String>,
    pub long_running: bool,
    /// Most tasks of the step on one worker; 0 for no limit.
    pub anti_affinity: u64,
    /// Tasks that may be away at once through the system's doing.
    pub may_miss: u64,
}

impl Step {
    pub const fn new(count: u64, cpu: u64, mem_mb: u64) -> Self {
        Self {
            count,
            cpu,
            mem_mb,
            requirements: None,
            long_running: false,
            anti_affinity: 0,
            may_miss: 0,
        }
    }
}

/// Job that a client hands in.
#[derive(Debug, Clone)]
pub struct Job {
    pub id: String,
    pub steps: Vec<Step>,
    /// Shortest and longest time of a task in ms.
    pub takes_ms: (u64, u64),
    /// Number of times, their interval in ms, and the first in ms since 1970; `None` for a job
    /// without times.
    pub times: Option<(u64, u64, u64)>,
}

impl Job {
    pub fn new(number: u64, steps: Vec<Step>, takes_ms: (u64, u64)) -> Self {
        let id = format!("{:016x}", 0x5c0e_7a21_0000_0000 + number * 0x9_d1f3);
        Self { id, steps, takes_ms, times: None }
    }

    pub fn tasks(&self) -> u64 {
        let times = self.times.map_or(1, |(count, ..)| count);
        times * self.steps.iter().map(|step| step.count).sum::<u64>()
    }

    fn body(&self) -> Value {
        let steps = self.steps.iter().map(|step| {
            let mut body = json!({
                "count": step.count, "cpu": step.cpu, "mem_mb": step.mem_mb,
                "estimated_ms": self.takes_ms.1,
            });
            if let Some(label) = &step.requirements {
                body["requirements"] = json!(label);
            }
            if step.long_running {
                body["long_running"] = json!(true);
            }
            if step.anti_affinity > 0 {
                body["anti_affinity"] = json!(step.anti_affinity);
            }
            if step.may_miss > 0 {
                body["may_miss"] = json!(step.may_miss);
            }
            body
        });
        let mut body = json!({
            "spec": format!("{} {}", self.takes_ms.0, self.takes_ms.1),
            "steps": steps.collect::<Vec<_>>(),
        });
        if let Some((count, interval_ms, first_ms)) = self.times {
            body["repeat_count"] = count.into();
            body["interval_ms"] = interval_ms.into();
            body["start_delay_ms"] = first_ms.into();
        }
        body
    }
}

#[derive(Debug)]
pub struct World {
    pub record: Arc<Record>,
    pub store: Store,
    pub workers: Workers,
    pub daemons: Daemons,
    /// Jobs that were accepted, by identifier.
    pub accepted: BTreeMap<String, Job>,
    sent: usize,
}

/// Sends a configuration, as the operator does.
fn configure(store: &Store, version: u64, service: &str, advised: bool) {
    let service_row = |name: &str| {
        json!({
            "name": name, "health_path": "/health", "max_connections": 64, "protocol": "h1",
            "tls": false, "admission_check": true, "spare": false,
        })
    };
    let mut config = json!({
        "version": version,
        "routes": [{
            "name": "r-u6wsjnb", "host": HOST, "path_prefix": PREFIX,
            "route_type": "non_idempotent", "timeout_ms": 3_000, "target_latency_ms": 600,
            "priority": 0, "service": service, "max_attempts": MAX_ATTEMPTS, "stretch": 1.6,
        }],
        "services": [service_row(SERVICE), service_row(OTHER_SERVICE)],
        "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": 262_144, "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
    });
    if advised {
        config["routes"][0]["advice"] = json!({
            "decide_ms": advice::DECIDE_MS, "each_ms": 0, "valid_ms": advice::VALID_MS,
        });
    }
    store.write("keyed.op", "config", config.to_string().as_bytes());
}

impl World {
    /// Starts everything; `None` if the daemons did not get ready.
    pub fn start(record_path: &Path, workers: usize) -> Option<Self> {
        Self::launch(record_path, workers, 0, None)
    }

    /// As [`Self::start`], with workers of another service.
    pub fn start_with_others(record_path: &Path, workers: usize, others: usize) -> Option<Self> {
        Self::launch(record_path, workers, others, None)
    }

    /// As [`Self::start`], with an advice service that the queue has to ask.
    pub fn start_with_advice(record_path: &Path, workers: usize) -> Option<Self> {
        Self::launch(record_path, workers, 0, Some(advice::start()))
    }

    fn launch(
        record_path: &Path,
        workers: usize,
        others: usize,
        adviser: Option<SocketAddr>,
    ) -> Option<Self> {
        let record = Arc::new(Record::create(record_path));
        let store = Store::start();
        let workers = Workers::start(SERVICE, workers, &store, &record);
        workers.start_other(OTHER_SERVICE, others);
        let cloud = cloud::start(workers.machines());
        let gates = (0..DAEMONS).map(|gate| store.open_gate(gate)).collect();
        let platform = Platform { gates, cloud, adviser };
        let mut daemons = Daemons::start(DAEMONS, &platform, &record);
        std::thread::sleep(Duration::from_millis(300));
        configure(&store, 7, SERVICE, adviser.is_some());
        if !daemons.wait_until_ready(Duration::from_secs(20)) {
            record.say("the daemons did not get ready");
            return None;
        }
        record.say("all daemons are ready");
        let accepted = BTreeMap::new();
        Some(Self { record, store, workers, daemons, accepted, sent: 0 })
    }

    /// Sends a configuration by which the other service runs the queue.
    pub fn move_queue(&self) {
        configure(&self.store, 12, OTHER_SERVICE, false);
    }

    /// Sends a job once, at one daemon. Returns whether it was accepted.
    pub fn submit_at(&mut self, daemon: usize, job: &Job) -> bool {
        let needs: Vec<_> = job.steps.iter().map(|step| (step.cpu, step.mem_mb)).collect();
        self.workers.expect(&job.id, &needs);
        let address = self.daemons.caller_address(daemon);
        let (path, body) = (format!("{PREFIX}{}", job.id), job.body().to_string());
        let reply = http::send(address, "POST", &path, HOST, body.as_bytes(), DEADLINE);
        let status = reply.as_ref().map_or(0, |reply| reply.status);
        self.record.say(&format!("client POST {} at daemon {daemon}: {status}", job.id));
        status == 200
    }

    fn next_daemon(&mut self) -> Option<SocketAddr> {
        let running = self.daemons.callers();
        self.sent += 1;
        running.get(self.sent % running.len().max(1)).copied()
    }

    /// Hands a job in, as often as a client does, at one daemon after the other. Returns whether it
    /// was accepted.
    pub fn submit(&mut self, job: &Job) -> bool {
        let needs: Vec<_> = job.steps.iter().map(|step| (step.cpu, step.mem_mb)).collect();
        self.workers.expect(&job.id, &needs);
        let body = job.body().to_string();
        for _ in 0..SENDS {
            let Some(address) = self.next_daemon() else { return false };
            let path = format!("{PREFIX}{}", job.id);
            let reply = http::send(address, "POST", &path, HOST, body.as_bytes(), DEADLINE);
            let status = reply.as_ref().map_or(0, |reply| reply.status);
            self.record.line(&format!("client POST {} ({} tasks): {status}", job.id, job.tasks()));
            if status == 200 {
                self.accepted.insert(job.id.clone(), job.clone());
                return true;
            }
            if status == 404 || status == 400 {
                return false;
            }
            std::thread::sleep(Duration::from_millis(300));
        }
        false
    }

    /// State of a job as the next daemon shows it; `None` if there is no answer that tells it.
    pub fn state(&mut self, id: &str) -> Option<String> {
        let address = self.next_daemon()?;
        let reply = http::send(address, "GET", &format!("{PREFIX}{id}"), HOST, b"", DEADLINE);
        let status = reply.as_ref().map_or(0, |reply| reply.status);
        let body = reply.map_or_else(|_| Vec::new(), |reply| reply.body);
        let body: Value = serde_json::from_slice(&body).unwrap_or_default();
        let state = body["state"].as_str().filter(|_| status == 200).map(str::to_owned);
        self.record.line(&format!("client GET {id}: {status} {}", state.as_deref().unwrap_or("-")));
        state
    }

    /// Passes time, and tends the daemons meanwhile.
    pub fn pass(&mut self, time: Duration) {
        let until = self.record.now() + time;
        while self.record.now() < until {
            self.daemons.tend();
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}
