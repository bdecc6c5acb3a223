//! What a caller is told of a record, and when.

use std::time::Duration;

use crosspath_border::store::NewRecord;
use crosspath_node::pending::{self, Outcome, Patience, Pending, Waiter};
use tokio::time::Instant;

const PATIENCE: Patience = Patience {
    waits_until: Duration::from_millis(900),
    refused_at: Duration::from_millis(450),
    doubted_until: Duration::from_millis(1_350),
};

fn pair() -> (Pending, Waiter) {
    let record = NewRecord { key: "a/1".to_owned(), value: Vec::from("{}").into() };
    pending::pair(record, PATIENCE)
}

/// The outcome and after how long it came, in ms.
async fn outcome(waiter: Waiter) -> (Outcome, u128) {
    let began = Instant::now();
    let outcome = waiter.outcome(Duration::ZERO).await;
    (outcome, began.elapsed().as_millis())
}

#[tokio::test(start_paused = true)]
async fn a_record_that_was_not_sent_is_refused_in_time_and_never_sent() {
    let (pending, waiter) = pair();
    let (outcome, after) = outcome(waiter).await;
    assert_eq!(outcome, Outcome::Unsent);
    assert!((900..910).contains(&after), "after {after} ms");
    assert!(!pending.take(), "it would be sent after its caller was told that it was not");
}

#[tokio::test(start_paused = true)]
async fn a_record_under_way_is_in_doubt_when_the_patience_ends() {
    let (pending, waiter) = pair();
    assert!(pending.take());
    let (outcome, after) = outcome(waiter).await;
    assert_eq!(outcome, Outcome::Unknown);
    assert!((1_350..1_360).contains(&after), "after {after} ms");
}

#[tokio::test(start_paused = true)]
async fn a_record_kept_late_is_told_as_kept() {
    let (pending, waiter) = pair();
    assert!(pending.take());
    drop(tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(1_200)).await;
        pending.settle(Outcome::Kept);
    }));
    assert_eq!(outcome(waiter).await, (Outcome::Kept, 1_200));
}

#[test]
fn tries_end_sooner_while_a_record_surely_is_not_kept() {
    let (mut pending, _waiter) = pair();
    pending.failed(false);
    assert_eq!(pending.verdict(Duration::from_millis(449), false), None);
    assert_eq!(pending.verdict(Duration::from_millis(450), false), Some(Outcome::NotKept));
    pending.failed(true);
    pending.failed(false);
    assert_eq!(pending.verdict(Duration::from_millis(1_349), false), None);
    assert_eq!(pending.verdict(Duration::from_millis(1_350), false), Some(Outcome::Unknown));
}

#[test]
fn while_the_store_is_down_one_try_is_enough_unless_it_left_a_doubt() {
    let (mut pending, _waiter) = pair();
    pending.failed(false);
    assert_eq!(pending.verdict(Duration::from_millis(1), true), Some(Outcome::NotKept));
    pending.failed(true);
    assert_eq!(pending.verdict(Duration::from_millis(1), true), None);
}
