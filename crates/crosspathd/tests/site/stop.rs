//! A planned stop of a daemon, and a drained VM, cut off nothing.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::common::{self, Payment};

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_off_no_request() {
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
        let (told, ()) = futures::future::join(sends, stop).await;
        assert!(told.iter().all(|told| told.word() == "upstream/"), "{told:?}");
    }
    for _ in 0..200 {
        if site.daemons[1].has_ended() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("it did not end: {}", site.log_of(1));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_daemon_says_so_before_it_stops_listening() {
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
    // The balancer has not noticed yet: its requests are still served.
    assert_eq!(Payment::new("pay", false).send(&site, 0).await.word(), "upstream/");
}

/// New work stops within 3 s of the log knowing; here of the change being accepted.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_upstream_gets_no_new_work() {
    let site = common::start(&common::plan(4)).await;
    common::put(&site, 0, "/v1/waves/w", serde_json::json!({ "pools": ["counter"] }))
        .await
        .expect("accepted");
    site.wait(common::SOON, "draining", async || {
        let vms = common::get(&site, 0, "/v1/vms").await;
        vms["items"]
            .as_array()
            .is_some_and(|vms| vms.iter().any(|vm| vm["status"]["phase"] == "draining"))
    })
    .await
    .expect("a VM drains");
    let mut served = 0;
    for index in (0..common::DAEMONS).cycle().take(150) {
        served +=
            u32::from(Payment::new("pay", false).send(&site, index).await.outcome == "upstream");
    }
    assert_eq!(served, 150);
    let cut: u32 = site.fakes.audits().iter().map(|vm| vm.cut_off).sum();
    assert_eq!(cut, 0);
}
