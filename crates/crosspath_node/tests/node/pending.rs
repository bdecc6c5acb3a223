//! Outcome of a record and the time at which its caller receives it. Guards against reporting a
//! record as not stored that is sent later, and against answers after the caller's deadline.

use std::time::Duration;

use crosspath_border::store::NewRecord;
use crosspath_node::pending::{self, Deadlines, Outcome, Pending, Waiter};
use tokio::time::Instant;

const DEADLINES: Deadlines = Deadlines {
    send_by: Duration::from_millis(900),
    refuse_at: Duration::from_millis(450),
    unknown_at: Duration::from_millis(1_350),
};

fn pair() -> (Pending, Waiter) {
    let record = NewRecord { key: "a/1".to_owned(), value: Vec::from("{}").into() };
    pending::pair(record, DEADLINES)
}

/// Waits for the outcome; returns it and the time that it took, in ms.
async fn outcome(waiter: Waiter) -> (Outcome, u128) {
    let began = Instant::now();
    let outcome = waiter.outcome(Duration::ZERO).await;
    (outcome, began.elapsed().as_millis())
}

#[tokio::test(start_paused = true)]
async fn a_record_not_sent_in_time_is_withdrawn_and_never_sent() {
    let (pending, waiter) = pair();
    let (outcome, after) = outcome(waiter).await;
    assert_eq!(outcome, Outcome::Unsent);
    assert!((900..910).contains(&after), "after {after} ms");
    assert!(
        !pending.begin_send(),
        "the record would be sent after its caller was told that it was not"
    );
}

#[tokio::test(start_paused = true)]
async fn a_record_in_flight_is_unknown_at_the_deadline() {
    let (pending, waiter) = pair();
    assert!(pending.begin_send());
    let (outcome, after) = outcome(waiter).await;
    assert_eq!(outcome, Outcome::Unknown);
    assert!((1_350..1_360).contains(&after), "after {after} ms");
}

#[tokio::test(start_paused = true)]
async fn a_record_stored_before_the_deadline_is_reported_as_kept() {
    let (pending, waiter) = pair();
    assert!(pending.begin_send());
    drop(tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(1_200)).await;
        pending.settle(Outcome::Kept);
    }));
    assert_eq!(outcome(waiter).await, (Outcome::Kept, 1_200));
}

#[test]
fn retries_end_sooner_while_no_attempt_is_unconfirmed() {
    let (mut pending, _waiter) = pair();
    pending.attempt_failed(false);
    assert_eq!(pending.final_outcome(Duration::from_millis(449), false), None);
    assert_eq!(pending.final_outcome(Duration::from_millis(450), false), Some(Outcome::NotKept));
    pending.attempt_failed(true);
    pending.attempt_failed(false);
    assert_eq!(pending.final_outcome(Duration::from_millis(1_349), false), None);
    assert_eq!(pending.final_outcome(Duration::from_millis(1_350), false), Some(Outcome::Unknown));
}

#[test]
fn no_retry_while_the_store_is_down_unless_an_attempt_is_unconfirmed() {
    let (mut pending, _waiter) = pair();
    pending.attempt_failed(false);
    assert_eq!(pending.final_outcome(Duration::from_millis(1), true), Some(Outcome::NotKept));
    pending.attempt_failed(true);
    assert_eq!(pending.final_outcome(Duration::from_millis(1), true), None);
}

/// The owner's refusal would deny a job that an earlier attempt stored.
#[test]
fn a_record_that_may_be_stored_may_not_be_refused() {
    let (mut pending, _waiter) = pair();
    assert!(pending.may_be_refused());
    pending.attempt_failed(false);
    assert!(pending.may_be_refused());
    pending.attempt_failed(true);
    pending.attempt_failed(false);
    assert!(!pending.may_be_refused());
}
