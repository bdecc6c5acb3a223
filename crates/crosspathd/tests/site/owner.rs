//! Loss and replacement of the owner of payment keys: no payment runs twice, and new keys are soon
//! granted again.

use std::time::Duration;

use crosspath_fakes::site::Site;

use crate::common::{self, Payment, WAIT_LIMIT};

/// Waits until 30 new keys in a row are granted through daemon `index`, so that probably no
/// partition is without an owner.
async fn wait_served(site: &Site, index: usize) {
    site.wait(WAIT_LIMIT, "new keys are granted", async || {
        for payment in common::payments(30) {
            if payment.send(site, index).await.outcome != "upstream" {
                return false;
            }
        }
        true
    })
    .await
    .expect("new keys are granted again");
}

async fn resend(site: &Site, index: usize, payments: &[Payment]) -> Vec<String> {
    let mut summaries = Vec::new();
    for payment in payments {
        summaries.push(payment.send(site, index).await.summary());
    }
    summaries
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_owner_is_replaced_and_nothing_runs_twice() {
    let mut site = common::start(&common::plan(3)).await;
    common::wait_settled(&site).await;
    let before = common::payments(60);
    for payment in &before {
        assert_eq!(payment.send(&site, 0).await.summary(), "upstream/");
    }
    site.daemons[2].kill();
    let at_once = resend(&site, 0, &before).await;
    assert!(at_once.iter().any(|summary| summary == "unknown/key_not_asked"), "{at_once:?}");
    wait_served(&site, 0).await;
    let later = resend(&site, 1, &before).await;
    let is_permitted =
        |summary: &String| summary == "recorded/" || summary == "unknown/key_before_owner";
    assert!(later.iter().all(is_permitted), "{later:?}");
    assert!(later.iter().any(|summary| summary == "unknown/key_before_owner"), "{later:?}");
    assert_eq!(common::max_runs(&site), 1);
    site.restart(2).expect("daemon starts again");
    site.wait_ready(2).await.expect("ready again");
    wait_served(&site, 2).await;
    resend(&site, 2, &before).await;
    assert_eq!(common::max_runs(&site), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_owner_runs_no_payment_twice_when_it_resumes() {
    let site = common::start(&common::plan(3)).await;
    common::wait_settled(&site).await;
    site.daemons[1].freeze();
    tokio::time::sleep(Duration::from_millis(300)).await;
    // The payments are created while the owner is suspended. They are sent through another daemon
    // and then through the suspended one as it resumes.
    let payments = common::payments(60);
    wait_served(&site, 0).await;
    let elsewhere = resend(&site, 0, &payments).await;
    site.daemons[1].thaw();
    let woken = resend(&site, 1, &payments).await;
    assert_eq!(common::max_runs(&site), 1, "{elsewhere:?} {woken:?}");
    site.wait_ready(1).await.expect("member again");
    wait_served(&site, 1).await;
    resend(&site, 1, &payments).await;
    assert_eq!(common::max_runs(&site), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn graceful_shutdown_hands_over_all_keys() {
    let mut site = common::start(&common::plan(3)).await;
    common::wait_settled(&site).await;
    let before = common::payments(60);
    for payment in &before {
        assert_eq!(payment.send(&site, 0).await.summary(), "upstream/");
    }
    site.daemons[2].terminate();
    for _ in 0..200 {
        if site.daemons[2].has_ended() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(site.daemons[2].has_ended());
    let after = resend(&site, 1, &before).await;
    assert!(after.iter().all(|summary| summary == "recorded/"), "{after:?}");
    assert_eq!(common::max_runs(&site), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn restarted_owner_reports_older_keys_as_unknown() {
    let mut site = common::start(&common::plan(3)).await;
    common::wait_settled(&site).await;
    let before = common::payments(60);
    for payment in &before {
        assert_eq!(payment.send(&site, 0).await.summary(), "upstream/");
    }
    site.daemons[1].kill();
    site.restart(1).expect("daemon starts again");
    site.wait_ready(1).await.expect("ready again");
    let after = resend(&site, 1, &before).await;
    let is_permitted = |summary: &String| {
        matches!(
            summary.as_str(),
            "recorded/" | "unknown/key_before_owner" | "unknown/key_not_asked"
        )
    };
    assert!(after.iter().all(is_permitted), "{after:?}");
    assert_eq!(common::max_runs(&site), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_are_served_during_a_log_outage() {
    let site = common::start(&common::plan(3)).await;
    common::wait_settled(&site).await;
    let down = crosspath_fakes::fault::LogFault { down: true, ..Default::default() };
    site.fakes.set_log_fault(down);
    // Longer than the lease and the tenure of an owner.
    tokio::time::sleep(Duration::from_millis(3_500)).await;
    for payment in common::payments(40) {
        assert_eq!(payment.send(&site, 0).await.summary(), "upstream/");
    }
    // A daemon that was suspended for a short time gets its lease again.
    site.daemons[1].freeze();
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    site.daemons[1].thaw();
    wait_served(&site, 2).await;
    assert_eq!(common::max_runs(&site), 1);
}
