//! Claiming a shard: from then on nobody with an earlier claim can append as its owner.

use crosspath_border::store::{Error, NewRecord, Partition, Precondition, Store};
use crosspath_job::record;

use crate::backoff::{self, Backoff};

/// The first append of a claim has a number of its own out of this many, so that the store does not
/// take it for a repetition of another daemon's claim with the same epoch.
const SEQUENCE_RANGE: u64 = 1 << 40;

/// A claim that the store has taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claim {
    /// Epoch of the owner's appends.
    pub epoch: u64,
    /// Number of the claim among the appends of the epoch; the next append has the next number.
    pub sequence: u64,
    /// Fencing token towards workers and the platform: the claim's place in the log.
    pub token: u64,
}

/// Claims a shard with an epoch higher than any before, however long that takes.
pub async fn claim(store: &dyn Store, shard: Partition, owner: &str) -> Claim {
    let mut epoch = 1;
    let mut backoff = Backoff::new(backoff::OWNER_CALLS);
    loop {
        let record = record::Record::Claim(record::Claim { owner: owner.into(), epoch });
        let records = [NewRecord { key: record.key(), value: record.value().into() }];
        let sequence = rand::random_range(1..SEQUENCE_RANGE);
        match store.append(shard, &records, Precondition::Owner { epoch, sequence }).await {
            Ok(appended) => {
                let token = appended.offset + 1;
                log::info!(
                    "event=shard_claimed shard={} epoch={epoch} token={token}",
                    shard.number
                );
                return Claim { epoch, sequence, token };
            }
            Err(Error::Fenced { epoch: current }) => epoch = current.max(epoch) + 1,
            // The epoch is another owner's, or that of an own claim without an answer.
            Err(Error::Sequence { .. }) => epoch += 1,
            Err(error) => {
                log::info!(
                    "event=claim_failed shard={} epoch={epoch} error=\"{error}\"",
                    shard.number
                );
                // The claim may yet be carried out, so the next one has a higher epoch.
                epoch += u64::from(!error.had_no_effect());
                tokio::time::sleep(backoff.pause(rand::random())).await;
            }
        }
    }
}
