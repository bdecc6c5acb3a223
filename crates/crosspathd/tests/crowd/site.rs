//! Crowds at the ports of a daemon with the product's own interfaces.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use crosspath_fakes::site::{OPERATOR_TOKEN, Plan, Site};
use crosspath_http::client::Client;
use crosspath_state::resource::Kind;
use http::Request;
use serde_json::json;

use crate::ONE_AT_A_TIME;
use crate::crowd::{Crowd, Payload, pieces};
use crate::process::{Bounds, OBSERVATION, Usage};

/// Memory of the smallest VM on which a daemon runs, and the descriptors that the limit of
/// connections to each of three listeners leaves to the daemon itself.
const BOUNDS: Bounds = Bounds { memory_mb: 160, descriptors: 3 * CONNECTIONS + 200 };
/// Limit of connections to each listener in the settings.
const CONNECTIONS: usize = 400;
/// Connections of a crowd that sends bodies. With the largest bodies, twice the memory.
const CROWD: usize = 320;
/// Connections of a crowd that sends its bodies in very small chunks.
const SMALL_CHUNKS_CROWD: usize = 200;
/// Connections of a crowd that sends nothing, or only a part of a head, at one port.
const IDLE_CROWD: usize = 600;
/// Largest body of a caller's or an operator's request.
const BODY_BYTES: usize = 1024 * 1024;
/// Time after which a daemon that does not answer counts as hanging.
const HANG_TIMEOUT: Duration = Duration::from_secs(30);
const TOKEN: &str = "shops-demo-token";

async fn start() -> Site {
    let token = crosspath_settings::token::Hash::of(TOKEN).to_hex();
    let vm = json!({
        "pool": "counter", "data_centre": "dc-1", "rack": "r0", "address": "127.0.0.1:9",
        "cores": 32, "memory_mb": 131_072, "slots": 8, "connections": 64
    });
    let service =
        json!({ "pool": "counter", "class": "urgent", "repeatable": true, "timeout_ms": 60_000 });
    let mut plan = Plan::new(env!("CARGO_BIN_EXE_crosspathd"), 1)
        .with(Kind::Pool, "counter", json!({ "max_unavailable": 1, "reserve": 0 }))
        .with(Kind::Caller, "shops", json!({ "token_sha256": token }))
        .with(Kind::Service, "ask", service)
        .with(Kind::Vm, "vm-0", vm);
    plan.limits = json!({ "connections": CONNECTIONS });
    let site = Site::start(&plan).await.expect("the site starts");
    site.declare(0, &plan.resources).await.expect("resources are accepted");
    let served =
        site.wait(HANG_TIMEOUT, "requests are served", async || ask(&site).await == Some(200));
    served.await.expect("the daemon serves requests");
    site
}

/// Sends an ordinary request over a new connection; status of the response.
async fn ask(site: &Site) -> Option<u16> {
    let client = Client::new(site.daemons[0].callers, HANG_TIMEOUT).with_token(TOKEN);
    let response = client.send(Request::post("/ask/x"), Bytes::from_static(b"{}")).await;
    response.ok().map(|response| response.head.status.as_u16())
}

/// Asserts that the daemon lives within its limits and serves an ordinary request.
async fn check(site: &mut Site) {
    let pid = site.daemons[0].pid().expect("the daemon was started");
    let mut usage = Usage::default();
    usage.observe(pid);
    let status = ask(site).await;
    usage.observe(pid);
    tokio::time::sleep(OBSERVATION).await;
    usage.observe(pid);
    usage.check(BOUNDS, status);
    assert!(!site.daemons[0].has_ended(), "the process lives");
}

fn head(path: &str, token: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {token}\r\n")
}

async fn check_bodies(address: impl Fn(&Site) -> SocketAddr, size: usize, pieces: &[Bytes]) {
    let _alone = ONE_AT_A_TIME.lock().await;
    let mut site = start().await;
    let _crowd = Crowd::send(address(&site), size, pieces).await;
    check(&mut site).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_of_callers_that_stop_short_are_bounded() {
    let request = Payload { bytes: BODY_BYTES, chunk: None }.unfinished(&head("/ask/x", TOKEN));
    check_bodies(|site| site.daemons[0].callers, CROWD, &pieces(&request, 16)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn small_chunks_of_callers_that_stop_short_are_bounded() {
    let payload = Payload { bytes: BODY_BYTES / 16, chunk: Some(1) };
    let request = payload.unfinished(&head("/ask/x", TOKEN));
    check_bodies(|site| site.daemons[0].callers, SMALL_CHUNKS_CROWD, &pieces(&request, 4)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_of_operators_that_stop_short_are_bounded() {
    let head = head("/v1/pools/counter", OPERATOR_TOKEN);
    let request = Payload { bytes: BODY_BYTES, chunk: None }.unfinished(&head);
    check_bodies(|site| site.daemons[0].operators, CROWD, &pieces(&request, 16)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_at_every_listener_are_bounded() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let mut site = start().await;
    let daemon = &site.daemons[0];
    let mut crowds = Vec::new();
    for address in [daemon.callers, daemon.operators, daemon.peers] {
        crowds.push(Crowd::connect(address, IDLE_CROWD).await);
    }
    check(&mut site).await;
}
