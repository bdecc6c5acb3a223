//! Faults of the log: outages, slow or lost answers, expired records and unreadable records.

use std::time::Duration;

use crosspath_fakes::fault::LogFault;
use crosspath_http::client::{Error, Method};
use serde_json::{Value, json};

use crate::common::{self, Payment, WAIT_LIMIT};

fn down() -> LogFault {
    LogFault { down: true, ..LogFault::default() }
}

#[tokio::test(flavor = "multi_thread")]
async fn without_the_log_payments_go_on_and_changes_are_refused() {
    let site = common::start(&common::plan(3)).await;
    site.fakes.set_log_fault(down());
    let refused = common::put(&site, 1, "/v1/teams/late", json!({ "max_cores": 2 })).await;
    let Err(Error::Status { status, body, .. }) = refused else { panic!("{refused:?}") };
    assert_eq!(status, 503, "{body}");
    assert!(body.contains("not_accepted"), "{body}");
    for index in 0..common::DAEMONS {
        assert_eq!(Payment::new("pay", false).send(&site, index).await.summary(), "upstream/");
    }
    site.fakes.set_log_fault(LogFault::default());
    site.wait(WAIT_LIMIT, "accepted again", async || {
        common::put(&site, 1, "/v1/teams/late", json!({ "max_cores": 1 })).await.is_ok()
    })
    .await
    .expect("accepted again");
    // The daemon that accepted the change shows it at once, the others once they read the log again.
    let cores = async |index| {
        common::get(&site, index, "/v1/teams/late").await["spec"]["max_cores"].clone()
    };
    assert_eq!(cores(1).await, 1);
    for index in 0..common::DAEMONS {
        site.wait(WAIT_LIMIT, "in force", async || cores(index).await == 1)
            .await
            .expect("in force");
    }
    // The refused change must not take effect later.
    for index in 0..common::DAEMONS {
        assert_eq!(cores(index).await, 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_append_answer_is_resolved_by_reading_the_log() {
    let site = common::start(&common::plan(2)).await;
    for round in 0..3 {
        let before = common::applied(&site, 0).await;
        site.fakes.set_log_fault(LogFault { lose_answers: 1, ..LogFault::default() });
        let spec = json!({ "max_cores": round });
        let put = common::put(&site, 0, &format!("/v1/teams/lost-{round}"), spec).await;
        let revision = put.expect("outcome is resolved")["revision"].as_u64();
        assert!(revision > Some(before));
        let team = common::get(&site, 1, &format!("/v1/teams/lost-{round}")).await;
        site.fakes.set_log_fault(LogFault::default());
        assert!(team.is_null() || team["revision"].as_u64() == revision);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_outcome_of_a_change_can_be_queried() {
    let site = common::start(&common::plan(2)).await;
    site.fakes.set_log_fault(LogFault { slow_ms: 6_000, ..LogFault::default() });
    let answer = common::put(&site, 0, "/v1/teams/slow", json!({ "max_cores": 7 })).await;
    let Err(Error::Status { status, body, .. }) = answer else { panic!("{answer:?}") };
    assert_eq!(status, 504, "{body}");
    let problem: Value = serde_json::from_str(&body).expect("problem as JSON");
    let change = problem["change"].as_str().expect("identifier of the change").to_owned();
    site.fakes.set_log_fault(LogFault::default());
    site.wait(Duration::from_secs(20), "outcome of the change is known", async || {
        common::get(&site, 0, &format!("/v1/changes/{change}")).await["fate"] == "accepted"
    })
    .await
    .expect("change is accepted");
    assert_eq!(common::get(&site, 0, "/v1/teams/slow").await["spec"]["max_cores"], 7);
}

#[tokio::test(flavor = "multi_thread")]
async fn restarted_daemon_starts_from_a_peer_while_the_log_is_down() {
    let mut site = common::start(&common::plan(3)).await;
    let before = common::applied(&site, 0).await;
    site.fakes.set_log_fault(down());
    site.daemons[2].kill();
    site.restart(2).expect("started");
    site.wait(WAIT_LIMIT, "ready", async || site.daemons[2].is_ready().await).await.expect("ready");
    assert!(common::applied(&site, 2).await >= before);
    assert_eq!(Payment::new("pay", false).send(&site, 2).await.summary(), "upstream/");
    site.fakes.set_log_fault(LogFault::default());
    site.wait_ready(2).await.expect("member again");
}

#[tokio::test(flavor = "multi_thread")]
async fn restarted_daemon_starts_from_a_snapshot_when_records_are_gone() {
    let mut plan = common::plan(3);
    plan.fakes.log_retention = 60;
    plan.timing["snapshot_every"] = json!(15);
    let mut site = common::start(&plan).await;
    for number in 0..80 {
        let path = format!("/v1/teams/team-{}", number % 7);
        common::put(&site, number % 3, &path, json!({ "max_cores": number }))
            .await
            .expect("accepted");
    }
    site.daemons[2].kill();
    site.restart(2).expect("started");
    site.wait_ready(2).await.expect("ready again");
    common::wait_applied(&site).await;
    let teams = common::get(&site, 0, "/v1/teams").await;
    assert_eq!(common::get(&site, 2, "/v1/teams").await["items"], teams["items"]);
    assert!(site.log_of(2).contains("event=started_from_snapshot"));
    for index in 0..common::DAEMONS {
        assert!(common::status(&site, index).await["halted"].is_null());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn unreadable_record_halts_every_daemon() {
    let site = common::start(&common::plan(2)).await;
    let log = crosspath_http::client::Client::new(site.fakes.platform, WAIT_LIMIT);
    let newer = json!({ "data": "{\"version\":99,\"entry\":\"teleport\"}" });
    log.call::<Value>(Method::POST, "/log", Some(&newer)).await.expect("appended");
    for index in 0..common::DAEMONS {
        site.wait(WAIT_LIMIT, "halted", async || {
            common::status(&site, index).await["halted"].is_string()
        })
        .await
        .expect("daemon halts");
        assert!(!site.daemons[index].is_ready().await);
    }
    let refused = common::put(&site, 0, "/v1/teams/late", json!({ "max_cores": 1 })).await;
    assert!(refused.is_err());
}
