//! Partitions of the payment keys, and their owners.

use std::hash::Hasher;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use uuid::Uuid;

use crate::name::DaemonName;
use crate::time::Wall;

/// Number of partitions.
pub const COUNT: u16 = 64;

/// Ownership of a partition: its owner decides on the claims on its keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ownership {
    /// Daemon that owns the partition.
    pub owner: DaemonName,
    /// The owner knows every claim on keys that were created after this time.
    pub since: Wall,
}

/// Partition that a payment key belongs to.
#[must_use]
pub fn of(key: &Uuid) -> u16 {
    let mut hasher = SipHasher13::new();
    hasher.write(key.as_bytes());
    u16::try_from(hasher.finish() % u64::from(COUNT)).expect("less than COUNT")
}
