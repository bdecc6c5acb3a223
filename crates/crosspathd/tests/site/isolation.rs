//! Isolation of a daemon from the log and its peers, but not from callers and upstreams.

use std::time::Duration;

use crosspath_fakes::site::Site;
use serde_json::json;

use crate::common::{self, Payment, WAIT_LIMIT};

async fn start() -> Site {
    let mut plan = common::plan(6);
    plan.relayed_links = true;
    plan.fakes.reboot_ms = 300;
    plan.fakes.service_ms.insert("pay".to_owned(), 60);
    let site = common::start(&plan).await;
    common::wait_settled(&site).await;
    site
}

async fn wait_evicted(site: &Site, through: usize, daemon: &str) {
    site.wait(WAIT_LIMIT, "evicted", async || {
        let status = common::status(site, through).await;
        let daemons = status["daemons"].as_array().cloned().unwrap_or_default();
        daemons.iter().any(|seen| seen["name"] == daemon && seen["member"] == false)
    })
    .await
    .expect("evicted");
    // A new owner grants only keys that are newer than its takeover by twice the skew.
    tokio::time::sleep(Duration::from_millis(150)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn isolated_owner_grants_no_key() {
    let site = start().await;
    site.set_isolated(1, true);
    wait_evicted(&site, 0, "entry-2").await;
    let payments = common::payments(80);
    for payment in &payments {
        assert_eq!(payment.send(&site, 0).await.summary(), "upstream/");
    }
    // In the isolated daemon's state it still owns a third of the keys.
    for payment in &payments {
        let reply = payment.send(&site, 1).await;
        assert_eq!(reply.summary(), "unknown/key_not_asked");
        assert!(reply.retry_after);
    }
    assert_eq!(common::max_runs(&site), 1);
    site.set_isolated(1, false);
    site.wait_ready(1).await.expect("member again");
    // During the handover of partitions to it, their keys are answered with key_not_asked.
    common::wait_settled(&site).await;
    for payment in &payments {
        assert_eq!(payment.send(&site, 1).await.summary(), "recorded/");
    }
    assert_eq!(common::max_runs(&site), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn wave_completes_while_a_daemon_is_isolated() {
    let site = start().await;
    site.set_isolated(2, true);
    wait_evicted(&site, 0, "entry-3").await;
    common::put(&site, 0, "/v1/waves/w", json!({ "pools": ["counter"] })).await.expect("accepted");
    let mut answered = 0;
    for _ in 0..80 {
        // The isolated daemon does not learn of the wave and sends to draining VMs. They refuse
        // requests before running them, and reboot only when none is running.
        let payments: Vec<_> = (0..5).map(|_| Payment::new("pay", false)).collect();
        let sends = futures::future::join_all(payments.iter().map(|p| p.send(&site, 2))).await;
        for (payment, reply) in payments.iter().zip(sends) {
            answered += u32::from(reply.outcome == "upstream");
            assert!(reply.outcome != "not_run" || payment.runs(&site) == 0);
        }
    }
    site.wait(WAIT_LIMIT, "done", async || {
        common::get(&site, 0, "/v1/waves/w").await["status"]["phase"]["phase"] == "done"
    })
    .await
    .expect("the wave ends");
    let interrupted: u32 = site.fakes.audits().iter().map(|vm| vm.cut_off).sum();
    assert_eq!(interrupted, 0);
    assert!(answered > 380, "{answered} of 400 were answered");
    assert!(common::max_runs(&site) <= 1);
    site.set_isolated(2, false);
    site.wait_ready(2).await.expect("member again");
    site.wait(WAIT_LIMIT, "caught up", async || {
        common::applied(&site, 2).await >= common::applied(&site, 0).await
    })
    .await
    .expect("caught up");
}

#[tokio::test(flavor = "multi_thread")]
async fn daemon_without_the_log_keeps_its_lease_from_its_guard() {
    let site = start().await;
    site.set_isolated_from_platform(1, true);
    tokio::time::sleep(Duration::from_millis(3_500)).await;
    assert_eq!(common::status(&site, 1).await["lease_valid"], true);
    for payment in common::payments(40) {
        assert_eq!(payment.send(&site, 1).await.summary(), "upstream/");
    }
    let refused = common::put(&site, 1, "/v1/teams/late", json!({ "max_cores": 1 })).await;
    assert!(refused.is_err());
    site.set_isolated_from_platform(1, false);
    site.wait(WAIT_LIMIT, "accepted", async || {
        common::put(&site, 1, "/v1/teams/late", json!({ "max_cores": 1 })).await.is_ok()
    })
    .await
    .expect("accepted again");
}

/// Without the log a daemon reads the state from a peer and stops sending to draining VMs. The wave
/// waits for this, so that no VM refuses or interrupts a request.
#[tokio::test(flavor = "multi_thread")]
async fn daemon_without_the_log_follows_its_peers() {
    let site = start().await;
    site.set_isolated_from_platform(1, true);
    common::put(&site, 0, "/v1/waves/w", json!({ "pools": ["counter"] })).await.expect("accepted");
    let mut rounds = 0;
    while common::get(&site, 0, "/v1/waves/w").await["status"]["phase"]["phase"] != "done" {
        let payments: Vec<_> = (0..4).map(|_| Payment::new("pay", false)).collect();
        let sends = futures::future::join_all(payments.iter().map(|p| p.send(&site, 1))).await;
        assert!(sends.iter().all(|reply| reply.summary() == "upstream/"), "{sends:?}");
        rounds += 1;
        assert!(rounds < 400, "the wave did not finish");
    }
    for vm in site.fakes.audits() {
        assert_eq!((vm.reboots, vm.cut_off, vm.refused), (1, 0, 0), "{vm:?}");
    }
    assert_eq!(common::status(&site, 1).await["log_up"], false);
}
