//! Accepted configuration changes are applied by all daemons and are never reverted.

use std::time::Duration;

use serde_json::json;

use crate::common::{self, WAIT_LIMIT};

async fn max_cores(site: &crosspath_fakes::site::Site, index: usize) -> Option<u64> {
    common::get(site, index, "/v1/teams/team").await["spec"]["max_cores"].as_u64()
}

#[tokio::test(flavor = "multi_thread")]
async fn accepted_change_never_reverts() {
    let site = common::start(&common::plan(2)).await;
    let mut seen = [0_u64; common::DAEMONS];
    for value in 1..40_u64 {
        if value == 10 {
            site.daemons[2].freeze();
        }
        if value == 25 {
            site.daemons[2].thaw();
        }
        let through = usize::try_from(value % 2).expect("small");
        common::put(&site, through, "/v1/teams/team", json!({ "max_cores": 1_000 + value }))
            .await
            .expect("accepted");
        for (index, seen) in seen.iter_mut().enumerate() {
            if index == 2 && (10..25).contains(&value) {
                continue;
            }
            let now = max_cores(&site, index).await.unwrap_or_default();
            assert!(now >= *seen, "daemon {index} reverted from {seen} to {now}");
            *seen = now;
        }
    }
    for index in 0..common::DAEMONS {
        site.wait(Duration::from_secs(5), "change applied", async || {
            max_cores(&site, index).await == Some(1_039)
        })
        .await
        .expect("every daemon applies the last change");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn only_one_of_two_concurrent_conditional_changes_is_accepted() {
    let site = common::start(&common::plan(2)).await;
    let before = common::get(&site, 0, "/v1/teams/team").await["revision"].as_u64();
    let change = |index: usize, cores: u64| {
        let client = site.daemons[index].operator();
        let tag = format!("\"{}\"", before.unwrap_or_default());
        async move {
            let request = http::Request::put("/v1/teams/team").header("if-match", tag);
            let body = json!({ "spec": { "max_cores": cores } }).to_string();
            client.send(request, body.into()).await.expect("an answer").head.status.as_u16()
        }
    };
    let (a, b) = futures::future::join(change(0, 11), change(1, 22)).await;
    let mut both = [a, b];
    both.sort_unstable();
    assert_eq!(both, [200, 412]);
    let winner = if a == 200 { 11 } else { 22 };
    for index in 0..common::DAEMONS {
        site.wait(WAIT_LIMIT, "change applied", async || {
            max_cores(&site, index).await == Some(winner)
        })
        .await
        .expect("every daemon applies the accepted change");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn watch_reports_applied_changes() {
    use http_body_util::BodyExt as _;
    let site = common::start(&common::plan(1)).await;
    let from = common::applied(&site, 0).await;
    let address = site.daemons[1].operators;
    let token = format!("Bearer {}", crosspath_fakes::site::OPERATOR_TOKEN);
    let request = http::Request::get(format!("http://{address}/v1/teams?watch={from}"))
        .header("authorization", token)
        .body(http_body_util::Empty::<bytes::Bytes>::new())
        .expect("a request");
    let executor = hyper_util::rt::TokioExecutor::new();
    let client = hyper_util::client::legacy::Client::builder(executor).build_http();
    let answer = client.request(request).await.expect("an answer");
    assert_eq!(answer.status(), 200);
    let mut body = answer.into_body();
    common::put(&site, 0, "/v1/teams/new", json!({ "max_cores": 3 })).await.expect("accepted");
    let frame = tokio::time::timeout(WAIT_LIMIT, body.frame()).await.expect("in time");
    let line = frame.expect("a frame").expect("whole").into_data().expect("data");
    let line = String::from_utf8(line.to_vec()).expect("text");
    assert!(line.contains("\"new\"") && line.contains("changed"), "{line}");
}

/// An accepted change can be read immediately from the daemon that accepted it.
#[tokio::test(flavor = "multi_thread")]
async fn accepted_change_can_be_read_at_once() {
    let site = common::start(&common::plan(1)).await;
    for round in 0..40 {
        let puts = (0..12).map(|number| {
            let path = format!("/v1/teams/team-{round}-{number}");
            let site = &site;
            async move { common::put(site, number % 3, &path, json!({ "max_cores": 1 })).await }
        });
        for put in futures::future::join_all(puts).await {
            assert!(put.expect("accepted and there")["revision"].as_u64().is_some());
        }
    }
}
