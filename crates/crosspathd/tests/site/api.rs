//! Invalid requests get a specific error, and the daemon keeps serving others.

use std::io::{Read as _, Write as _};
use std::net::TcpStream;
use std::time::Duration;

use bytes::Bytes;
use crosspath_fakes::site::{OPERATOR_TOKEN, Site};
use crosspath_http::client::Client;
use http::Request;
use serde_json::{Value, json};

use crate::common::{self, Payment, WAIT_LIMIT};

struct Case {
    method: &'static str,
    path: &'static str,
    token: &'static str,
    body: String,
    status: u16,
    expected_text: &'static str,
}

fn case(
    method: &'static str,
    path: &'static str,
    body: impl ToString,
    status: u16,
    expected_text: &'static str,
) -> Case {
    Case { method, path, token: OPERATOR_TOKEN, body: body.to_string(), status, expected_text }
}

fn operator_cases() -> Vec<Case> {
    let pool = json!({ "spec": { "max_unavailable": 1, "max_available": 2 } });
    let typed = json!({ "spec": { "max_unavailable": "one" } });
    let dangling_reference = json!({ "spec": { "pool": "nowhere", "class": "urgent" } });
    let unauthorized = Case { token: "wrong", ..case("GET", "/v1/pools", "", 401, "unauthorized") };
    vec![
        unauthorized,
        case("PUT", "/v1/pools/new", "{", 422, "EOF"),
        case("PUT", "/v1/pools/new", pool, 422, "max_available"),
        case("PUT", "/v1/pools/new", typed, 422, "spec.max_unavailable"),
        case("PUT", "/v1/pools/New", json!({ "spec": { "max_unavailable": 1 } }), 422, "name"),
        case("PUT", "/v1/services/new", dangling_reference, 409, "missing_reference"),
        case("GET", "/v1/pools/none", "", 404, "not_found"),
        case("GET", "/v1/nothing", "", 404, "not_found"),
        case("GET", "/v1/pools?watch=x", "", 400, "watch"),
        case("DELETE", "/v1/pools/counter", "", 409, "still_used"),
        case("DELETE", "/v1/pools/none", "", 404, "does not exist"),
        case("POST", "/v1/pools/new", "{}", 405, "method"),
        case("PUT", "/v1/pools/new", "x".repeat(2_000_000), 413, "larger"),
    ]
}

async fn send(site: &Site, case: &Case) -> (u16, String) {
    let client = Client::new(site.daemons[0].operators, WAIT_LIMIT).with_token(case.token);
    let request = Request::builder().method(case.method).uri(case.path);
    let answer = client.send(request, Bytes::from(case.body.clone())).await.expect("an answer");
    (answer.head.status.as_u16(), String::from_utf8_lossy(&answer.body).into_owned())
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_operator_requests_get_specific_errors() {
    let site = common::start(&common::plan(2)).await;
    for case in operator_cases() {
        let (status, body) = send(&site, &case).await;
        let what = format!("{} {} -> {status} {body}", case.method, case.path);
        assert_eq!(status, case.status, "{what}");
        assert!(body.contains(case.expected_text), "{what}");
        let problem: Value = serde_json::from_str(&body).expect("a problem as JSON");
        assert!(problem["message"].is_string());
    }
    assert_eq!(Payment::new("pay", false).send(&site, 0).await.summary(), "upstream/");
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_caller_requests_get_specific_errors() {
    let mut plan = common::plan(2);
    plan.limits = json!({ "body_bytes": 10_000, "body_timeout_ms": 500, "header_timeout_ms": 500 });
    let site = common::start(&plan).await;
    let cases = [
        ("/pay/x", "wrong", "", "", 401, "unauthorized"),
        ("/nothing/x", common::TOKEN, "", "", 404, "no_service"),
        ("/pay/x", common::TOKEN, "payment-key", "12", 400, "key"),
        ("/pay/x", common::TOKEN, "request-timeout-ms", "soon", 400, "timeout"),
        ("/v1/outcomes/x", common::TOKEN, "", "", 405, "method"),
    ];
    for (path, token, header, value, status, reason) in cases {
        let request = Request::post(path);
        let request = if header.is_empty() { request } else { request.header(header, value) };
        let answer = site.send(0, token, request, "{}").await.expect("an answer");
        assert_eq!(answer.head.status, status, "{path} {header}");
        assert_eq!(answer.head.headers["crosspath-outcome"], "not_run");
        assert_eq!(answer.head.headers["crosspath-reason"], reason);
    }
    let big = "x".repeat(20_000);
    let answer = site.send(0, common::TOKEN, Request::post("/pay/x"), &big).await;
    assert_eq!(answer.expect("an answer").head.status, 413);
    assert_eq!(Payment::new("pay", false).send(&site, 0).await.summary(), "upstream/");
}

/// Writes raw bytes to the caller interface and returns all that is received until the connection
/// ends.
fn raw(site: &Site, parts: &[&[u8]], pause: Duration) -> String {
    let mut stream = TcpStream::connect(site.daemons[0].callers).expect("connected");
    stream.set_read_timeout(Some(Duration::from_secs(3))).expect("set");
    for part in parts {
        if stream.write_all(part).is_err() {
            break;
        }
        std::thread::sleep(pause);
    }
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_and_slow_requests_do_not_affect_others() {
    let mut plan = common::plan(2);
    plan.limits = json!({ "body_timeout_ms": 400, "header_timeout_ms": 400 });
    let site = common::start(&plan).await;
    let none = Duration::ZERO;
    let auth = format!("authorization: Bearer {}\r\n", common::TOKEN);
    let slow_head =
        raw(&site, &[b"POST /pay/x HTTP/1.1\r\nhost: a\r\n"], Duration::from_millis(900));
    assert!(!slow_head.starts_with("HTTP/1.1 200"), "{slow_head}");
    let head = format!("POST /pay/x HTTP/1.1\r\nhost: a\r\n{auth}content-length: 10\r\n\r\nab");
    let slow_body = raw(&site, &[head.as_bytes()], Duration::from_millis(900));
    assert!(slow_body.starts_with("HTTP/1.1 408"), "{slow_body}");
    let huge = format!("GET /pay/x HTTP/1.1\r\nhost: a\r\nx: {}\r\n\r\n", "y".repeat(70_000));
    let huge = raw(&site, &[huge.as_bytes()], none);
    assert!(huge.starts_with("HTTP/1.1 4") || huge.is_empty(), "{huge}");
    // Ambiguous framing allows request smuggling: another server could read two requests where the
    // daemon reads one.
    for framing in [
        "content-length: 3\r\ncontent-length: 30\r\n\r\nabc",
        "content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /pay/hidden HTTP/1.1\r\n\r\n",
        "transfer-encoding: gzip\r\n\r\nabc",
    ] {
        let request =
            format!("POST /pay/x HTTP/1.1\r\nhost: a\r\n{auth}payment-id: smuggled\r\n{framing}");
        let answer = raw(&site, &[request.as_bytes()], none);
        let answers = answer.matches("HTTP/1.1 200").count();
        assert!(answers <= 1, "{framing}: {answer}");
    }
    assert_eq!(Payment::new("pay", false).send(&site, 0).await.summary(), "upstream/");
}

#[tokio::test(flavor = "multi_thread")]
async fn metrics_count_responses_by_class_and_reason() {
    let site = common::start(&common::plan(2)).await;
    Payment::new("pay", false).send(&site, 0).await;
    let client = Client::new(site.daemons[0].operators, WAIT_LIMIT);
    let answer = client.send(Request::get("/metrics"), Bytes::new()).await.expect("an answer");
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    for line in [
        "crosspath_answers_total{class=\"urgent\",outcome=\"upstream\",reason=\"answered\"} 1",
        "crosspath_request_latency_seconds_count{class=\"urgent\",caller=\"shops\"} 1",
        "crosspath_applied_revision",
    ] {
        assert!(text.contains(line), "{line} is missing in\n{text}");
    }
    assert!(text.ends_with("# EOF\n"));
    assert!(!text.contains(common::TOKEN));
}

#[tokio::test(flavor = "multi_thread")]
async fn logs_never_hold_tokens_or_payments() {
    let site = common::start(&common::plan(2)).await;
    let payment = Payment::new("pay", true);
    payment.send_as(&site, 0, common::TOKEN, "{\"card\":\"4111\"}").await;
    for index in 0..common::DAEMONS {
        let log = site.log_of(index);
        for secret in [common::TOKEN, OPERATOR_TOKEN, "4111", "peer-demo-token"] {
            assert!(!log.contains(secret), "{secret} in {log}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn peers_without_the_token_are_refused() {
    let site = common::start(&common::plan(1)).await;
    let call = r#"{"jsonrpc":"2.0","id":1,"method":"state","params":[]}"#;
    for (token, status) in [("wrong", 401), (crosspath_fakes::site::PEER_TOKEN, 200)] {
        let client = Client::new(site.daemons[0].peers, WAIT_LIMIT).with_token(token);
        let request = Request::post("/").header("content-type", "application/json");
        let answer = client.send(request, Bytes::from_static(call.as_bytes())).await;
        let answer = answer.expect("an answer");
        assert_eq!(answer.head.status, status, "{token}");
        let has_state = String::from_utf8_lossy(&answer.body).contains("counter");
        assert_eq!(has_state, status == 200);
    }
}

/// An operator without the write right must not be able to change a resource.
#[tokio::test(flavor = "multi_thread")]
async fn reads_and_writes_are_separate_rights() {
    let site = common::start(&common::plan(1)).await;
    let reader = Client::new(site.daemons[0].operators, WAIT_LIMIT)
        .with_token(crosspath_fakes::site::READER_TOKEN);
    let body = json!({ "spec": { "max_cores": 1 } }).to_string();
    let put = reader.send(Request::put("/v1/teams/team"), body.into()).await.expect("an answer");
    assert_eq!(put.head.status, 403);
    let get = reader.send(Request::get("/v1/teams/team"), Bytes::new()).await.expect("an answer");
    assert_eq!(get.head.status, 200);
    assert!(String::from_utf8_lossy(&get.body).contains("\"max_cores\":100"));
}
