//! Guards against two claims with the same epoch or token, also when answers of the store are lost.

use crosspath_border::store::{Error, NewRecord, Partition, Precondition, Store as _, Topic};
use crosspath_fakes::memory_store::MemoryStore;
use crosspath_node::claim::claim;

const SHARD: Partition = Partition { topic: Topic::Shards, number: 3 };

fn record() -> [NewRecord; 1] {
    [NewRecord { key: "key".to_owned(), value: "value".into() }]
}

#[tokio::test]
async fn two_claims_have_different_epochs_and_tokens() {
    let store = MemoryStore::new(24);
    let first = claim(&store, SHARD, "first").await;
    let second = claim(&store, SHARD, "second").await;
    assert!(second.epoch > first.epoch);
    assert!(second.token > first.token);
}

#[tokio::test]
async fn the_previous_owner_is_fenced() {
    let store = MemoryStore::new(24);
    let first = claim(&store, SHARD, "first").await;
    let precondition = Precondition::Owner { epoch: first.epoch, sequence: first.sequence + 1 };
    store.append(SHARD, &record(), precondition).await.expect("the owner appends");
    let second = claim(&store, SHARD, "second").await;
    let precondition = Precondition::Owner { epoch: first.epoch, sequence: first.sequence + 2 };
    let refused = store.append(SHARD, &record(), precondition).await;
    assert_eq!(refused, Err(Error::Fenced { epoch: second.epoch }));
}

#[tokio::test]
async fn a_claim_whose_answer_is_lost_is_not_confused_with_its_retry() {
    let store = MemoryStore::new(24);
    store.lose_answers(1);
    let claimed = claim(&store, SHARD, "first").await;
    let records = store.records(SHARD);
    assert_eq!(records.len(), 2);
    assert_eq!(claimed.token, records[1].offset + 1);
}

#[tokio::test]
async fn a_repeated_append_of_the_owner_is_stored_once() {
    let store = MemoryStore::new(24);
    let owner = claim(&store, SHARD, "first").await;
    let precondition = Precondition::Owner { epoch: owner.epoch, sequence: owner.sequence + 1 };
    store.lose_answers(1);
    assert_eq!(store.append(SHARD, &record(), precondition).await, Err(Error::NoAnswer));
    store.append(SHARD, &record(), precondition).await.expect("the store repeats the first answer");
    assert_eq!(store.records(SHARD).len(), 2, "one claim and one record");
}
