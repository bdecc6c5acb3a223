//! Partitions of the payment keys and their owners.

use std::hash::Hasher;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use uuid::Uuid;

use crate::name::DaemonName;
use crate::time::Wall;

/// How many partitions there are.
pub const COUNT: u16 = 64;

/// Who decides on the keys of one partition.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ownership {
    /// The daemon.
    pub owner: DaemonName,
    /// It knows every claim on keys created after this.
    pub since: Wall,
}

/// The partition of a payment key.
#[must_use]
pub fn of(key: &Uuid) -> u16 {
    let mut hasher = SipHasher13::new();
    hasher.write(key.as_bytes());
    u16::try_from(hasher.finish() % u64::from(COUNT)).expect("less than COUNT")
}
