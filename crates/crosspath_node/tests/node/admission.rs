//! Refusals by a shard's owner, on their way to the caller. Guards against refused jobs that are
//! stored, against refusals of jobs that may be stored, and against refusals that a daemon of an
//! earlier version would take for an acceptance.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crosspath_border::ingress::{Lookup, Submitted};
use crosspath_border::store::{Join, Partition, Store as _, Topic};
use crosspath_fakes::memory_store::MemoryStore;
use crosspath_http::body;
use crosspath_http::client::{Client, Method};
use crosspath_http::server::{self, Limits, Stage};
use http::StatusCode;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::common::{
    Daemon, SETTLE_TIME, SHARDS, free_address, list_worker, log_with_one_pool, write_config,
};

const TIMEOUT: Duration = Duration::from_secs(1);
/// Shard of the only pool: the one below the fleet's.
const SHARD: u32 = SHARDS - 2;
/// First job of those with which a customer uses up its share.
const FIRST_JOB: u64 = 100;

/// Whether the log holds an acceptance of the job.
fn is_stored(log: &MemoryStore, job: u64) -> bool {
    let key = format!("job/{job:016x}");
    let shards = (0..SHARDS).map(|number| Partition { topic: Topic::Shards, number });
    shards.flat_map(|shard| log.records(shard)).any(|record| record.key == key)
}

/// Two daemons, the owner of the pool's shard first, with a worker for one job at a time, and the
/// first job of customer `water` that is refused. The other customer is `power`.
async fn full_shard() -> (Arc<MemoryStore>, Daemon, Daemon, u64) {
    let log = log_with_one_pool().await;
    write_config(&log, "2 water=w-1 power=p-1").await;
    list_worker(&log).await;
    let owner = Daemon::start_refusing("entry-1", &log).await;
    let other = Daemon::start_refusing("entry-2", &log).await;
    tokio::time::sleep(SETTLE_TIME).await;
    // The share holds five jobs at first.
    for job in FIRST_JOB..FIRST_JOB + 30 {
        match other.submit_for(Some("water"), job).await {
            Submitted::Accepted => tokio::time::sleep(Duration::from_millis(50)).await,
            Submitted::NotTaken { retry_after_s } => {
                assert!((1..=60).contains(&retry_after_s), "{retry_after_s}");
                return (log, owner, other, job);
            }
            other => panic!("{other:?}"),
        }
    }
    panic!("no job of the customer is refused");
}

#[tokio::test]
async fn a_refused_job_is_not_stored_and_other_customers_are_served() {
    let (log, owner, other, refused) = full_shard().await;
    assert!(refused >= FIRST_JOB + 5, "job {refused} is within the share");
    for daemon in [&owner, &other] {
        assert_eq!(daemon.submit_for(Some("power"), refused + 100).await, Submitted::Accepted);
        let again = daemon.submit_for(Some("water"), refused).await;
        assert!(matches!(again, Submitted::NotTaken { .. }), "{again:?}");
        assert_eq!(daemon.state_for(Some("water"), refused).await, Lookup::None);
    }
    assert!(!is_stored(&log, refused));
    assert!(is_stored(&log, refused + 100));
    // A job that is stored is accepted whenever it is submitted again.
    assert_eq!(other.submit_for(Some("water"), FIRST_JOB).await, Submitted::Accepted);
}

#[tokio::test]
async fn a_request_that_does_not_ask_for_refusals_gets_none() {
    let (log, owner, _other, refused) = full_shard().await;
    let accepted = log
        .records(Partition { topic: Topic::Shards, number: SHARD })
        .into_iter()
        .find(|record| record.key == format!("job/{FIRST_JOB:016x}"))
        .expect("the first job is stored");
    let value = String::from_utf8(accepted.value.to_vec()).expect("records are text");
    let records = json!([[format!("job/{refused:016x}"), value]]);
    let client = Client::with_connect_timeout(owner.peers, TIMEOUT, TIMEOUT);
    let append = |body: Value| {
        let client = client.clone();
        async move {
            let reply: Value = client
                .call_within(Method::POST, "/peer", Some(&body), TIMEOUT)
                .await
                .expect("the owner replies");
            reply
        }
    };
    let asking = json!({"append": {"shard": SHARD, "records": records, "may_refuse": true}});
    let reply = append(asking).await;
    assert_eq!(reply["appended"]["refused"][0][1]["reason"], "over_share", "{reply}");
    assert!(!is_stored(&log, refused));
    // As a daemon of the previous version writes it.
    let reply = append(json!({"append": {"shard": SHARD, "records": records}})).await;
    assert_eq!(reply["appended"]["refused"], json!([]), "{reply}");
    assert!(is_stored(&log, refused));
}

/// An owner that the log refuses may not know of jobs that others have stored.
#[tokio::test]
async fn nobody_is_refused_by_an_owner_without_the_log() {
    let (log, owner, other, refused) = full_shard().await;
    for daemon in [&owner, &other] {
        daemon.set_log_down(true);
    }
    let answer = owner.submit_for(Some("power"), refused + 100).await;
    assert!(matches!(answer, Submitted::NotTaken { .. }), "{answer:?}");
    other.set_log_down(false);
    assert_eq!(other.submit_for(Some("water"), refused + 1).await, Submitted::Accepted);
    assert!(is_stored(&log, refused + 1));
}

#[tokio::test]
async fn after_a_takeover_refused_jobs_are_accepted_or_refused_but_never_lost() {
    let (log, owner, other, refused) = full_shard().await;
    // The shard moves to the third daemon.
    let third = Daemon::start_refusing("entry-3", &log).await;
    for (daemon, job) in [(&owner, refused), (&other, refused + 1), (&third, refused + 2)] {
        let answer = daemon.submit_for(Some("water"), job).await;
        match answer {
            Submitted::Accepted => assert!(is_stored(&log, job), "job {job} is lost"),
            Submitted::NotTaken { .. } => assert!(!is_stored(&log, job), "job {job} would run"),
            _ => panic!("{answer:?}"),
        }
    }
    assert_eq!(other.submit_for(Some("power"), refused + 100).await, Submitted::Accepted);
}

/// Reply of a stand-in for the owner to one append: its delay in ms, and its content.
type Part = (u64, fn(&Value) -> Value);

/// Stand-in for a daemon that owns the pool's shard: replies to appends by a script of which each
/// part serves one append. It answers no probes, so that after some 300 ms its peers bypass it.
async fn scripted_owner(log: &MemoryStore, script: &[Part]) {
    let address = free_address();
    let member = format!("{address}/entry-0/1/250/a").into();
    log.join(&Join { member, ttl: Duration::from_secs(60), generation: 0 })
        .await
        .expect("the group takes it");
    let listener = TcpListener::bind(address).await.expect("the address is free");
    let script = Arc::new(Mutex::new(VecDeque::from(script.to_vec())));
    let (keep_open, stop) = watch::channel(Stage::Serving);
    drop(tokio::spawn(async move {
        let _keep_open = keep_open;
        server::serve(listener, Limits::default(), stop, move |request, _| {
            let script = Arc::clone(&script);
            async move {
                let payload = body::read(request.into_body(), 1_000_000, TIMEOUT).await;
                let request: Value = serde_json::from_slice(&payload.expect("a whole request"))
                    .expect("requests are JSON");
                let Some(append) = request.get("append") else {
                    return body::json(StatusCode::BAD_REQUEST, &"not supported");
                };
                let part = script.lock().expect("no test panicked").pop_front();
                let (delay_ms, reply) = part.expect("the script has a part for each append");
                tokio::time::sleep(Duration::from_millis(delay_ms)).await;
                body::json(StatusCode::OK, &reply(append))
            }
        })
        .await;
    }));
}

fn refuse(append: &Value) -> Value {
    if append["may_refuse"] != true {
        return json!({"appended": {"taken": []}});
    }
    let refusal = json!({"reason": "overload", "retry_after_ms": 6_001});
    let refused = json!([[append["records"][0][0], refusal]]);
    json!({"appended": {"taken": [], "refused": refused}})
}

fn unconfirmed(_: &Value) -> Value {
    json!({"not_appended": {"surely": false}})
}

fn as_previous_version(_: &Value) -> Value {
    json!({"appended": {"taken": []}})
}

async fn start_beside_owner(script: &[Part]) -> Daemon {
    let log = log_with_one_pool().await;
    scripted_owner(&log, script).await;
    let daemon = Daemon::start("entry-1", &log).await;
    tokio::time::sleep(SETTLE_TIME).await;
    daemon
}

#[tokio::test]
async fn a_refusal_of_the_owner_reaches_the_caller_in_whole_seconds() {
    let daemon = start_beside_owner(&[(0, refuse)]).await;
    assert_eq!(daemon.submit(1).await, Submitted::NotTaken { retry_after_s: 7 });
}

#[tokio::test]
async fn a_retry_of_an_unconfirmed_append_is_not_refused() {
    let daemon = start_beside_owner(&[(0, unconfirmed), (0, refuse)]).await;
    assert_eq!(daemon.submit(1).await, Submitted::Accepted);
}

/// The owner is slow, so the daemon appends by itself, without an answer. Then the owner refuses.
#[tokio::test]
async fn a_refusal_after_an_unanswered_append_around_the_owner_does_not_count() {
    let daemon = start_beside_owner(&[(600, refuse), (0, unconfirmed), (0, refuse)]).await;
    daemon.lose_append_answers();
    assert_eq!(daemon.submit(1).await, Submitted::Accepted);
}

/// As above, but the append around the owner is answered after the owner refuses.
#[tokio::test]
async fn a_refusal_while_an_append_around_the_owner_is_in_flight_does_not_count() {
    let daemon = start_beside_owner(&[(600, refuse), (0, refuse)]).await;
    daemon.delay_appends(Duration::from_millis(900));
    assert_eq!(daemon.submit(1).await, Submitted::Accepted);
    assert_eq!(daemon.appends(), 1);
}

#[tokio::test]
async fn a_reply_without_refusals_is_an_acceptance() {
    let daemon = start_beside_owner(&[(0, as_previous_version)]).await;
    assert_eq!(daemon.submit(1).await, Submitted::Accepted);
}

fn taken(append: &Value) -> Value {
    json!({"appended": {"taken": [append["records"][0][0]]}})
}

/// The owner does not answer and the log refuses this daemon, so it asks another one to append. That
/// one owns the shard by now and knows that the identifier belongs to another customer's job.
#[tokio::test]
async fn an_identifier_found_taken_by_an_append_around_the_owner_is_reported() {
    let daemon = start_beside_owner(&[(2_000, unconfirmed), (0, taken)]).await;
    daemon.refuse_appends();
    assert_eq!(daemon.submit(1).await, Submitted::Taken);
}
