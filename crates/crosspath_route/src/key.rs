//! Payment keys.
//!
//! A key is a UUID of version 7, so it contains the time at which the caller created it. A daemon
//! that takes over a partition can therefore distinguish keys that a previous owner may have seen
//! from keys that no previous owner can have seen.

use std::fmt;

use crosspath_state::partition;
use crosspath_state::time::Wall;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use uuid::Uuid;

/// Error for a payment key that is not a UUID of version 7.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("payment key is not a UUID of version 7; make one for each payment"))]
pub struct InvalidKey;

/// Payment key, under which a request runs at most once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Key(Uuid);

impl Key {
    /// Parses a key from its text form.
    ///
    /// # Errors
    ///
    /// [`InvalidKey`] when `text` is not a UUID of version 7.
    pub fn parse(text: &str) -> Result<Self, InvalidKey> {
        let uuid = Uuid::parse_str(text).ok();
        let uuid = uuid.filter(|uuid| uuid.get_version_num() == 7);
        uuid.map(Self).ok_or(InvalidKey)
    }

    /// Creation time of the key by the caller's clock, to the millisecond.
    #[must_use]
    pub fn created(&self) -> Wall {
        let timestamp = self.0.get_timestamp();
        let (seconds, nanos) = timestamp.map_or((0, 0), |timestamp| timestamp.to_unix());
        Wall(seconds * 1_000 + u64::from(nanos) / 1_000_000)
    }

    /// Partition whose owner keeps the claim on the key.
    #[must_use]
    pub fn partition(&self) -> u16 {
        partition::of(&self.0)
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
