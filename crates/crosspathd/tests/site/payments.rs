//! Payments under each fault of their upstream: none is run twice, and none is reported as "not
//! run" although it was run.

use std::time::{Duration, Instant};

use crosspath_fakes::fault::VmFault;
use crosspath_fakes::site::Site;
use crosspath_state::name::VmName;

use crate::common::{self, Payment};

struct Case {
    fault: &'static str,
    set: VmFault,
    down: bool,
    /// Expected summary and number of runs, without a payment key and with one.
    unkeyed: (&'static str, u32),
    keyed: (&'static str, u32),
}

fn cases() -> Vec<Case> {
    let none = VmFault::default();
    let case = |fault, set, down, unkeyed, keyed| Case { fault, set, down, unkeyed, keyed };
    let cut = "unknown/upstream_cut";
    vec![
        case("none", none, false, ("upstream/", 1), ("upstream/", 1)),
        case(
            "refuses connections",
            none,
            true,
            ("not_run/upstream_refused", 0),
            ("not_run/upstream_refused", 0),
        ),
        case(
            "breaks before it runs",
            VmFault { break_before: true, ..none },
            false,
            (cut, 0),
            (cut, 0),
        ),
        case(
            "breaks after it ran",
            VmFault { break_after: true, ..none },
            false,
            (cut, 1),
            (cut, 1),
        ),
        case(
            "half an answer",
            VmFault { half_answer: true, ..none },
            false,
            ("nothing/", 1),
            (cut, 1),
        ),
        case(
            "answers late",
            VmFault { late_ms: 4_000, ..none },
            false,
            ("unknown/upstream_late", 1),
            ("unknown/upstream_late", 1),
        ),
        case(
            "answers an error",
            VmFault { fail: true, ..none },
            false,
            ("upstream/", 0),
            ("upstream/", 0),
        ),
    ]
}

/// Time in which a daemon notices that an idle connection was closed.
const CLOSE_NOTICE: Duration = Duration::from_millis(200);

/// Waits until VMs that are down have closed their connections. A payment that is written to an idle
/// connection just before that is cut off without an answer, so its outcome is unknown.
async fn wait_until_closed(site: &Site, vms: &[VmName]) {
    while vms.iter().any(|vm| site.fakes.has_open_connections(vm)) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    tokio::time::sleep(CLOSE_NOTICE).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn upstream_faults_are_reported_correctly() {
    let site = common::start(&common::plan(3)).await;
    common::wait_settled(&site).await;
    let vms: Vec<_> = site.fakes.vms.keys().cloned().collect();
    for case in cases() {
        for vm in &vms {
            site.fakes.set_vm_fault(vm, case.set);
            site.fakes.set_up(vm, !case.down);
        }
        if case.down {
            wait_until_closed(&site, &vms).await;
        }
        for (keyed, (summary, runs)) in [(false, case.unkeyed), (true, case.keyed)] {
            let payment = Payment::new("pay", keyed);
            let reply = payment.send(&site, 0).await;
            println!(
                "{:<22} keyed={keyed:<5} {:<26} runs={}",
                case.fault,
                reply.summary(),
                payment.runs(&site)
            );
            assert_eq!(
                (reply.summary().as_str(), payment.runs(&site)),
                (summary, runs),
                "{}",
                case.fault
            );
            if reply.outcome == "not_run" {
                assert!(reply.retry_after, "{}: retry-after is missing", case.fault);
            }
            // A retry through another daemon does not run the payment again.
            if keyed && runs > 0 {
                for vm in &vms {
                    site.fakes.set_vm_fault(vm, VmFault::default());
                }
                let again = payment.send(&site, 1).await;
                assert_ne!(again.outcome, "not_run", "{}", case.fault);
                assert_eq!(payment.runs(&site), runs, "{}", case.fault);
            }
        }
        for vm in &vms {
            site.fakes.set_vm_fault(vm, VmFault::default());
            site.fakes.set_up(vm, true);
        }
        // Wait until VMs that were ejected as outliers are used again.
        tokio::time::sleep(Duration::from_millis(1_200)).await;
    }
    assert!(common::max_runs(&site) <= 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn repeatable_request_goes_to_another_upstream() {
    let site = common::start(&common::plan(4)).await;
    let broken = site.fakes.vms.keys().next().cloned().expect("a VM");
    site.fakes.set_vm_fault(&broken, VmFault { break_before: true, ..VmFault::default() });
    for _ in 0..20 {
        let reply = Payment::new("ask", false).send(&site, 0).await;
        assert_eq!(reply.summary(), "upstream/");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn late_response_is_not_matched_to_another_request() {
    let site = common::start(&common::plan(2)).await;
    let vms: Vec<_> = site.fakes.vms.keys().cloned().collect();
    for vm in &vms {
        site.fakes.set_vm_fault(vm, VmFault { late_ms: 2_300, ..VmFault::default() });
    }
    let late: Vec<_> = (0..4).map(|_| Payment::new("pay", false)).collect();
    let sent = late.iter().map(|payment| payment.send(&site, 0));
    for reply in futures::future::join_all(sent).await {
        assert_eq!(reply.summary(), "unknown/upstream_late");
    }
    for vm in &vms {
        site.fakes.set_vm_fault(vm, VmFault::default());
    }
    // These are sent while the late responses arrive.
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(1) {
        let payment = Payment::new("pay", false);
        let reply = payment.send(&site, 0).await;
        if reply.outcome == "upstream" {
            assert_eq!(reply.receipt.as_deref(), Some(payment.id.as_str()));
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn key_keeps_its_request_and_its_caller() {
    let site = common::start(&common::plan(2)).await;
    common::wait_settled(&site).await;
    let payment = Payment::new("pay", true);
    assert_eq!(payment.send(&site, 0).await.summary(), "upstream/");
    for index in 0..common::DAEMONS {
        let again = payment.send(&site, index).await;
        assert_eq!(again.summary(), "recorded/");
        assert_eq!(again.receipt.as_deref(), Some(payment.id.as_str()));
    }
    let other_body = payment.send_as(&site, 1, common::TOKEN, "{\"amount\":1}").await;
    assert_eq!((other_body.status, other_body.outcome.as_str()), (422, "key_mismatch"));
    let other_caller = payment.send_as(&site, 1, "other-demo-token", "{}").await;
    assert_eq!(other_caller.outcome, "key_mismatch");
    let path = format!("/v1/outcomes/{}", payment.id);
    let ask = |token: &'static str| {
        let request = http::Request::get(path.clone());
        let site = &site;
        async move { site.send(2, token, request, "").await.expect("an answer").head.status }
    };
    assert_eq!(ask(common::TOKEN).await, 200);
    assert_eq!(ask("other-demo-token").await, 404);
    assert_eq!(payment.runs(&site), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn two_sends_at_once_run_one_payment() {
    let mut plan = common::plan(2);
    plan.fakes.service_ms.insert("pay".to_owned(), 50);
    let site = common::start(&plan).await;
    common::wait_settled(&site).await;
    for _ in 0..20 {
        let payment = Payment::new("pay", true);
        let sends = (0..common::DAEMONS).map(|index| payment.send(&site, index));
        let replies = futures::future::join_all(sends).await;
        let answered = replies.iter().filter(|reply| reply.summary() == "upstream/").count();
        assert_eq!(answered, 1, "{replies:?}");
        assert_eq!(payment.runs(&site), 1);
    }
}
