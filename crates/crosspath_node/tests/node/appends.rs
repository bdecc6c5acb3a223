//! Routes by which callers' records are appended, with two daemons on one log in memory. Guards
//! against daemons that each append for themselves, against submissions that fail because the log
//! refuses only the owner, and against retries that delay a refusal while the log is down.

use crosspath_border::ingress::Submitted;

use crate::common::{Daemon, SETTLE_TIME, log_with_one_pool};

/// Starts two daemons; the first one returned owns the pool's shard.
async fn owner_and_other() -> (Daemon, Daemon) {
    let log = log_with_one_pool().await;
    let one = Daemon::start("entry-1", &log).await;
    let other = Daemon::start("entry-2", &log).await;
    tokio::time::sleep(SETTLE_TIME).await;
    assert_eq!(one.submit(1).await, Submitted::Accepted);
    if one.appends() > 0 { (one, other) } else { (other, one) }
}

#[tokio::test]
async fn the_owner_of_the_shard_appends_for_all_daemons() {
    let (owner, other) = owner_and_other().await;
    let before = owner.appends();
    for job in 10..15 {
        assert_eq!(other.submit(job).await, Submitted::Accepted);
    }
    assert_eq!(other.appends(), 0);
    assert!(owner.appends() > before);
}

#[tokio::test]
async fn an_owner_refused_by_the_log_is_bypassed() {
    let (owner, other) = owner_and_other().await;
    owner.refuse_appends();
    assert_eq!(other.submit(20).await, Submitted::Accepted);
    assert!(other.appends() > 0);
}

#[tokio::test]
async fn submissions_are_refused_when_the_log_refuses_every_daemon() {
    let (owner, other) = owner_and_other().await;
    owner.refuse_appends();
    other.refuse_appends();
    for daemon in [&owner, &other] {
        let answer = daemon.submit(30).await;
        assert!(matches!(answer, Submitted::NotTaken { .. }), "{answer:?}");
    }
}

#[tokio::test]
async fn each_submission_makes_one_attempt_while_the_log_is_known_to_be_down() {
    let (owner, other) = owner_and_other().await;
    for daemon in [&owner, &other] {
        daemon.set_log_down(true);
    }
    for job in 40..42 {
        let answer = other.submit(job).await;
        assert!(matches!(answer, Submitted::NotTaken { .. }), "{answer:?}");
    }
    let before = owner.refused_appends() + other.refused_appends();
    let answer = other.submit(50).await;
    assert!(matches!(answer, Submitted::NotTaken { .. }), "{answer:?}");
    let attempts = owner.refused_appends() + other.refused_appends() - before;
    assert!(
        attempts <= 4,
        "{attempts} refused appends for a submission that should be refused at once"
    );
    for daemon in [&owner, &other] {
        daemon.set_log_down(false);
    }
    assert_eq!(other.submit(50).await, Submitted::Accepted, "the log is up again");
}
