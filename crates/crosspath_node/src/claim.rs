//! Claims a shard, which fences the appends of all owners with earlier claims.

use crosspath_border::store::{Error, NewRecord, Partition, Precondition, Store};
use crosspath_job::record;

use crate::backoff::{self, Backoff};

/// Bound of the random sequence number of a claim. The range is so large that two daemons claiming
/// a shard with the same epoch hardly ever use the same number; with equal numbers, the store would
/// take one claim for a repetition of the other.
const SEQUENCE_RANGE: u64 = 1 << 40;

/// A claim that the store has accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claim {
    /// Epoch under which the owner appends.
    pub epoch: u64,
    /// Sequence number of the claim; the owner's next append in the epoch has the next number.
    pub sequence: u64,
    /// Fencing token in orders to workers and the platform, derived from the claim's offset in the
    /// log.
    pub token: u64,
}

/// Claims a shard with a higher epoch than any earlier claim, and retries until that succeeds.
pub async fn claim(store: &dyn Store, shard: Partition, owner: &str) -> Claim {
    let mut epoch = 1;
    let mut backoff = Backoff::new(backoff::OWNER_CALLS);
    loop {
        let record = record::Record::Claim(record::Claim { owner: owner.into(), epoch });
        let records = [NewRecord::from(&record)];
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
            // The epoch is used by another owner, or by an own claim that got no answer.
            Err(Error::Sequence { .. }) => epoch += 1,
            Err(error) => {
                log::info!(
                    "event=claim_failed shard={} epoch={epoch} error=\"{error}\"",
                    shard.number
                );
                // The claim may still take effect, so the next attempt uses a higher epoch.
                epoch += u64::from(!error.had_no_effect());
                tokio::time::sleep(backoff.pause(rand::random())).await;
            }
        }
    }
}
