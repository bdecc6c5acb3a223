//! Crowds at the ports of a daemon on the users' platform.

use std::net::{Ipv4Addr, SocketAddr};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use crosspath_http::client::{Client, Method};
use crosspath_platform_stand_in::store::{Mode, PARTITIONS, Route, Store};
use crosspath_platform_stand_in::worker::{Observer, Worker};
use http::{Request, header};
use serde_json::json;
use tempfile::TempDir;

use crate::ONE_AT_A_TIME;
use crate::crowd::{Crowd, Payload, pieces};
use crate::process::{Bounds, OBSERVATION, Usage};
use crate::streams;

/// Limits of the daemon, as in its settings.
const BOUNDS: Bounds = Bounds { memory_mb: 64, descriptors: 256 };
/// Connections of a crowd that sends bodies. With the largest bodies, twice the memory.
const CROWD: usize = 500;
/// Connections of a crowd that sends its bodies in very small chunks.
const SMALL_CHUNKS_CROWD: usize = 100;
/// Connections of a crowd that sends its bodies over HTTP/2, many over each.
const HTTP2_CONNECTIONS: usize = 50;
/// Connections of a crowd of which each is cheap, at one port.
const CONNECTIONS: usize = 400;
/// Connections of a crowd that sends bodies to the port for peers.
const PEERS_CROWD: usize = 100;
/// Largest body of a submission.
const BODY_BYTES: usize = 262_144;
/// Largest body of a peer's request.
const PEER_BODY_BYTES: usize = 2 * 1024 * 1024;
/// Time after which a daemon that does not answer counts as hanging.
const HANG_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(100);
const HEAD: &str = "POST /pay/00000000000000aa HTTP/1.1\r\nhost: pay.example\r\n";
const PEER_HEAD: &str = "POST /peer HTTP/1.1\r\nhost: peer\r\n";

#[derive(Debug)]
struct Unobserved;

impl Observer for Unobserved {
    fn run_started(&self, _: &str, _: &str, _: u64, _: &str) -> u64 {
        0
    }
    fn run_ended(&self, _: &str, _: &str, _: u64, _: &str) {}
    fn end_acknowledged(&self, _: &str, _: &str) {}
}

/// A daemon with a store and a worker. The process is killed on drop.
struct Daemon {
    callers: SocketAddr,
    readiness: SocketAddr,
    peers: SocketAddr,
    metrics: SocketAddr,
    child: Child,
    jobs: u64,
    store: Arc<Store>,
    _worker: Worker,
    _directory: TempDir,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A loopback address of this test process alone.
fn loopback_ip() -> Ipv4Addr {
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 1 + high % 250, low, 251)
}

impl Daemon {
    async fn start() -> Self {
        let store = Arc::new(Store::start().await.expect("the store listens"));
        let route = Route { name: "pay".to_owned(), pool: "counter".to_owned(), priority: 0 };
        store.configure(1, &[route], "spare-pool");
        let worker = Worker::start(Arc::new(Unobserved), "counter", "vm0", "dc0").await;
        let mut worker = worker.expect("the worker listens");
        worker.publish(&store, worker.address());
        let directory = tempfile::tempdir().expect("a directory");
        let ip = loopback_ip();
        let [callers, readiness, peers, metrics] =
            [7_001, 7_002, 7_003, 7_004].map(|port| SocketAddr::from((ip, port)));
        let settings = json!({
            "name": "entry-0", "data_centre": "dc0", "cores": 1.0,
            "listen": {
                "callers": callers, "readiness": readiness, "peers": peers, "metrics": metrics,
            },
            "limits": { "memory_mb": BOUNDS.memory_mb, "descriptors": BOUNDS.descriptors },
            "platform": { "log": store.address(), "shards": PARTITIONS },
            "leases": {
                "longest_hold_ms": 10_000, "membership_least_ms": 1_000, "vm_order_ms": 3_000,
                "keep_ended_s": 120, "stop_grace_s": 6,
            },
        });
        let file = directory.path().join("entry-0.json");
        std::fs::write(&file, settings.to_string()).expect("settings are written");
        let child = Command::new(env!("CARGO_BIN_EXE_crosspathd"))
            .arg("--platform")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("the daemon starts");
        let (store, _worker, _directory) = (store, worker, directory);
        let mut daemon =
            Self { callers, readiness, peers, metrics, child, jobs: 0, store, _worker, _directory };
        let started = tokio::time::timeout(HANG_TIMEOUT, async {
            while daemon.submit().await != Some(200) {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        });
        started.await.expect("the daemon takes jobs");
        daemon
    }

    /// Submits a new job over a new connection; status of the response.
    async fn submit(&mut self) -> Option<u16> {
        self.jobs += 1;
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("/pay/{:016x}", self.jobs))
            .header(header::HOST, "pay.example")
            .header("x-deadline-ms", "30000");
        let work = json!({ "takes_ms": 1, "lasts": false, "fails_first": false }).to_string();
        let body = json!({ "spec": work, "steps": [{ "count": 1, "cpu": 10, "mem_mb": 1 }] });
        let client = Client::new(self.callers, HANG_TIMEOUT);
        let response = client.send(request, Bytes::from(body.to_string())).await;
        response.ok().map(|response| response.head.status.as_u16())
    }

    /// Asserts that the daemon lives within its limits and serves an ordinary request.
    async fn check(&mut self) {
        let mut usage = Usage::default();
        usage.observe(self.child.id());
        let status = self.submit().await;
        usage.observe(self.child.id());
        tokio::time::sleep(OBSERVATION).await;
        usage.observe(self.child.id());
        usage.check(BOUNDS, status);
        assert!(matches!(self.child.try_wait(), Ok(None)), "the process lives");
    }
}

async fn check_bodies(size: usize, pieces: &[Bytes]) {
    let _alone = ONE_AT_A_TIME.lock().await;
    let mut daemon = Daemon::start().await;
    let _crowd = Crowd::send(daemon.callers, size, pieces).await;
    daemon.check().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn large_bodies_that_stop_short_are_bounded() {
    let request = Payload { bytes: BODY_BYTES, chunk: None }.unfinished(HEAD);
    check_bodies(CROWD, &[request]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn large_bodies_piece_by_piece_that_stop_short_are_bounded() {
    let request = Payload { bytes: BODY_BYTES, chunk: None }.unfinished(HEAD);
    check_bodies(CROWD, &pieces(&request, 16)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn large_bodies_piece_by_piece_that_end_are_bounded() {
    let request = Payload { bytes: BODY_BYTES, chunk: None }.unfinished(HEAD);
    let mut pieces = pieces(&request, 16);
    pieces.push(Bytes::from_static(b" "));
    check_bodies(CROWD, &pieces).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_over_http2_that_stop_short_are_bounded() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let mut daemon = Daemon::start().await;
    let (size, requests) = (HTTP2_CONNECTIONS, CROWD / HTTP2_CONNECTIONS);
    let _crowd = streams::Crowd::send(daemon.callers, size, requests, BODY_BYTES).await;
    daemon.check().await;
}

/// Whole submission of the largest size, with as many steps as fit.
fn many_steps() -> Bytes {
    let mut body = "{\"steps\":[{}".to_owned();
    while body.len() + ",{}]}".len() <= BODY_BYTES {
        body.push_str(",{}");
    }
    body.push_str("]}");
    format!("{HEAD}content-length: {}\r\n\r\n{body}", body.len()).into()
}

#[tokio::test(flavor = "multi_thread")]
async fn submissions_of_many_steps_are_bounded() {
    check_bodies(CROWD, &pieces(&many_steps(), 16)).await;
}

/// Whole submission of the largest size that is valid: a small job, padded.
fn padded_submission() -> Bytes {
    let job = json!({ "spec": "{}", "steps": [{ "count": 1, "cpu": 10, "mem_mb": 1 }] });
    let job = job.to_string();
    let body = format!("{job}{}", " ".repeat(BODY_BYTES - job.len()));
    format!("{HEAD}x-deadline-ms: 30000\r\ncontent-length: {BODY_BYTES}\r\n\r\n{body}").into()
}

#[tokio::test(flavor = "multi_thread")]
async fn large_submissions_that_wait_for_the_store_are_bounded() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let mut daemon = Daemon::start().await;
    daemon.store.set_mode(Mode::Silent);
    let crowd = Crowd::send(daemon.callers, CROWD, &pieces(&padded_submission(), 16)).await;
    let mut usage = Usage::default();
    tokio::time::sleep(OBSERVATION).await;
    usage.observe(daemon.child.id());
    daemon.store.set_mode(Mode::Up);
    drop(crowd);
    let served = tokio::time::timeout(HANG_TIMEOUT, async {
        while daemon.submit().await != Some(200) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    });
    let status = served.await.ok().map(|()| 200);
    usage.observe(daemon.child.id());
    usage.check(BOUNDS, status);
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_large_chunks_that_stop_short_are_bounded() {
    let request = Payload { bytes: BODY_BYTES, chunk: Some(64 * 1024) }.unfinished(HEAD);
    check_bodies(CROWD, &[request]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_very_small_chunks_that_stop_short_are_bounded() {
    let request = Payload { bytes: BODY_BYTES, chunk: Some(16) }.unfinished(HEAD);
    check_bodies(SMALL_CHUNKS_CROWD, &pieces(&request, 4)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn large_bodies_of_peers_that_stop_short_are_bounded() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let mut daemon = Daemon::start().await;
    let request = Payload { bytes: PEER_BODY_BYTES, chunk: None }.unfinished(PEER_HEAD);
    let _crowd = Crowd::send(daemon.peers, PEERS_CROWD, &[request]).await;
    daemon.check().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_at_every_port_are_bounded() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let mut daemon = Daemon::start().await;
    let mut crowds = Vec::new();
    for address in [daemon.callers, daemon.readiness, daemon.peers, daemon.metrics] {
        crowds.push(Crowd::connect(address, CONNECTIONS).await);
    }
    daemon.check().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn heads_that_stop_short_at_every_port_are_bounded() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let mut daemon = Daemon::start().await;
    let head = Bytes::from(format!("{HEAD}x-padding: {}", "x".repeat(15 * 1024)));
    let mut crowds = Vec::new();
    for address in [daemon.callers, daemon.readiness, daemon.peers, daemon.metrics] {
        crowds.push(Crowd::send(address, CONNECTIONS, std::slice::from_ref(&head)).await);
    }
    daemon.check().await;
}
