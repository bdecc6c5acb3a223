//! Loss of the entry VM of a request, or of the owner of its payment key, during the request.

use std::time::Duration;

use crate::common::{self, Payment, Reply, WAIT_LIMIT};
use crosspath_fakes::site::Site;

const SERVICE_MS: u64 = 500;
const EVENT_DELAY: Duration = Duration::from_millis(150);

async fn start() -> Site {
    let mut plan = common::plan(4);
    plan.fakes.service_ms.insert("pay".to_owned(), SERVICE_MS);
    let site = common::start(&plan).await;
    common::wait_settled(&site).await;
    site
}

/// Sends payments through one daemon and runs `event` while they are in flight.
async fn send_during(
    site: &Site,
    through: usize,
    payments: &[Payment],
    event: impl Future<Output = ()>,
) -> Vec<Reply> {
    let sends = payments.iter().map(|payment| payment.send(site, through));
    let middle = async {
        tokio::time::sleep(EVENT_DELAY).await;
        event.await;
    };
    futures::future::join(futures::future::join_all(sends), middle).await.0
}

/// Sends the payments again and checks that none runs twice and that none is reported as not run
/// although it was run.
async fn check_resent(site: &Site, through: usize, payments: &[Payment]) -> Vec<Reply> {
    let mut replies = Vec::new();
    for payment in payments {
        let again = payment.send(site, through).await;
        let runs = payment.runs(site);
        assert!(runs <= 1, "{} ran {runs} times", payment.id);
        assert!(again.outcome != "not_run" || runs == 0, "{again:?}");
        replies.push(again);
    }
    replies
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_entry_vm_runs_no_payment_twice() {
    let mut site = start().await;
    let payments = common::payments(8);
    let id = site.daemons[0].pid();
    let kill = async {
        let pid = nix::unistd::Pid::from_raw(
            i32::try_from(id.expect("daemon runs")).expect("process id fits i32"),
        );
        let _ = nix::sys::signal::kill(pid, nix::sys::signal::Signal::SIGKILL);
    };
    let replies = send_during(&site, 0, &payments, kill).await;
    assert!(replies.iter().all(|reply| reply.outcome == "nothing"), "{replies:?}");
    site.daemons[0].kill();
    check_resent(&site, 1, &payments).await;
    // After the request's timeout the owner reports its outcome as lost.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let later = check_resent(&site, 2, &payments).await;
    let is_permitted = |reply: &Reply| {
        matches!(reply.summary().as_str(), "unknown/outcome_lost" | "unknown/key_before_owner")
    };
    assert!(later.iter().all(is_permitted), "{later:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn owner_killed_during_requests_runs_no_payment_twice() {
    let mut site = start().await;
    let payments = common::payments(8);
    let id = site.daemons[2].pid();
    let kill = async {
        let pid = nix::unistd::Pid::from_raw(
            i32::try_from(id.expect("daemon runs")).expect("process id fits i32"),
        );
        let _ = nix::sys::signal::kill(pid, nix::sys::signal::Signal::SIGKILL);
    };
    let replies = send_during(&site, 0, &payments, kill).await;
    assert!(replies.iter().all(|reply| reply.summary() == "upstream/"), "{replies:?}");
    site.daemons[2].kill();
    tokio::time::sleep(Duration::from_secs(2)).await;
    let later = check_resent(&site, 1, &payments).await;
    let is_permitted = |reply: &Reply| {
        matches!(reply.summary().as_str(), "recorded/" | "unknown/key_before_owner")
    };
    assert!(later.iter().all(is_permitted), "{later:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_entry_vm_runs_no_payment_twice() {
    let site = start().await;
    let payments = common::payments(8);
    let freeze = async {
        site.daemons[1].freeze();
        tokio::time::sleep(Duration::from_millis(2_500)).await;
        check_resent(&site, 0, &payments).await;
        site.daemons[1].thaw();
    };
    send_during(&site, 1, &payments, freeze).await;
    site.wait_ready(1).await.expect("member again");
    check_resent(&site, 1, &payments).await;
    check_resent(&site, 2, &payments).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn disconnected_caller_gets_its_outcome_from_another_daemon() {
    let site = start().await;
    let payments = common::payments(6);
    for payment in &payments {
        let timed_out = tokio::time::timeout(EVENT_DELAY, payment.send(&site, 0)).await;
        assert!(timed_out.is_err());
    }
    tokio::time::sleep(Duration::from_millis(SERVICE_MS)).await;
    for reply in check_resent(&site, 1, &payments).await {
        assert_eq!(reply.summary(), "recorded/");
    }
    // Without a key the request is cancelled with its caller, and its slot becomes free.
    let unkeyed = Payment::new("pay", false);
    let timed_out = tokio::time::timeout(EVENT_DELAY, unkeyed.send(&site, 0)).await;
    assert!(timed_out.is_err());
    site.wait(WAIT_LIMIT, "slot is free", async || {
        let metrics = crosspath_http::client::Client::new(site.daemons[0].operators, WAIT_LIMIT);
        let answer = metrics.send(http::Request::get("/metrics"), bytes::Bytes::new()).await;
        answer.is_ok_and(|answer| {
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            let line = "crosspath_requests_in_flight{class=\"urgent\",caller=\"shops\"} 0";
            text.contains(line)
        })
    })
    .await
    .expect("no request in flight");
}

#[tokio::test(flavor = "multi_thread")]
async fn handover_to_a_daemon_that_dies_runs_no_payment_twice() {
    let mut site = start().await;
    let payments = common::payments(12);
    let replies = send_during(&site, 1, &payments, async {}).await;
    assert!(replies.iter().all(|reply| reply.summary() == "upstream/"), "{replies:?}");
    // The first daemon is the guard of the third: it receives the claims and is killed.
    site.daemons[2].terminate();
    tokio::time::sleep(Duration::from_millis(350)).await;
    site.daemons[0].kill();
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    check_resent(&site, 1, &payments).await;
    site.restart(0).expect("daemon starts");
    site.restart(2).expect("daemon starts");
    site.wait_ready(0).await.expect("member again");
    site.wait_ready(2).await.expect("member again");
    for through in [0, 1, 2] {
        check_resent(&site, through, &payments).await;
    }
}
