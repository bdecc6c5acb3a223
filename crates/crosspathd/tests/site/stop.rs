//! Graceful shutdown of a daemon and draining of a VM, neither of which may interrupt requests.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::common::{self, Payment};

#[tokio::test(flavor = "multi_thread")]
async fn graceful_shutdown_interrupts_no_request() {
    let mut plan = common::plan(3);
    plan.fakes.service_ms.insert("pay".to_owned(), 600);
    let mut site = common::start(&plan).await;
    let payments: Vec<_> = (0..6).map(|_| Payment::new("pay", false)).collect();
    {
        let sends = payments.iter().map(|payment| payment.send(&site, 1));
        let sends = futures::future::join_all(sends);
        let stop = async {
            tokio::time::sleep(Duration::from_millis(150)).await;
            site.daemons[1].terminate();
        };
        let (replies, ()) = futures::future::join(sends, stop).await;
        assert!(replies.iter().all(|reply| reply.summary() == "upstream/"), "{replies:?}");
    }
    for _ in 0..200 {
        if site.daemons[1].has_ended() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("daemon did not exit; its log: {}", site.log_of(1));
}

#[tokio::test(flavor = "multi_thread")]
async fn stopping_daemon_becomes_unready_before_it_stops_listening() {
    let site = common::start(&common::plan(2)).await;
    assert!(site.daemons[0].is_ready().await);
    site.daemons[0].terminate();
    let unready = AtomicBool::new(false);
    for _ in 0..50 {
        if !site.daemons[0].is_ready().await {
            unready.store(true, Ordering::Relaxed);
            break;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(unready.load(Ordering::Relaxed));
    // A load balancer that has not noticed it yet still gets its requests served.
    assert_eq!(Payment::new("pay", false).send(&site, 0).await.summary(), "upstream/");
}

/// All live daemons stop sending before the VM refuses requests, and requests in flight end before
/// it reboots.
#[tokio::test(flavor = "multi_thread")]
async fn drain_refuses_and_interrupts_no_request() {
    let mut plan = common::plan(4);
    plan.fakes.service_ms.insert("pay".to_owned(), 250);
    let site = common::start(&plan).await;
    common::put(&site, 0, "/v1/waves/w", serde_json::json!({ "pools": ["counter"] }))
        .await
        .expect("accepted");
    let mut rounds = 0;
    loop {
        let payments: Vec<_> = (0..9).map(|_| Payment::new("pay", false)).collect();
        let sends = payments.iter().enumerate();
        let sends = sends.map(|(place, payment)| payment.send(&site, place % common::DAEMONS));
        for reply in futures::future::join_all(sends).await {
            assert_eq!(reply.summary(), "upstream/");
        }
        rounds += 1;
        let wave = common::get(&site, 0, "/v1/waves/w").await;
        if wave["status"]["phase"]["phase"] == "done" {
            break;
        }
        assert!(rounds < 200, "the wave did not finish");
    }
    for vm in site.fakes.audits() {
        assert_eq!((vm.reboots, vm.cut_off, vm.refused), (1, 0, 0), "{vm:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn second_signal_stops_immediately() {
    let mut plan = common::plan(1);
    plan.timing["stop_wait_ms"] = serde_json::json!(20_000);
    let mut site = common::start(&plan).await;
    site.daemons[0].terminate();
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert!(!site.daemons[0].has_ended());
    site.daemons[0].terminate();
    for _ in 0..100 {
        if site.daemons[0].has_ended() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("daemon did not exit after the second signal; its log: {}", site.log_of(0));
}
