//! Payment keys.
//!
//! A key is a UUID of version 7, so it carries the time at which the caller made it. A daemon that
//! takes over a partition can therefore tell keys that an earlier owner may have seen from keys
//! that none can have seen.

use std::fmt;

use crosspath_state::partition;
use crosspath_state::time::Wall;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use uuid::Uuid;

/// A payment key that cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("payment key is not a UUID of version 7; make one for each payment"))]
pub struct InvalidKey;

/// A payment key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Key(Uuid);

impl Key {
    /// Reads a key.
    ///
    /// # Errors
    ///
    /// [`InvalidKey`] when `text` is not a UUID of version 7.
    pub fn parse(text: &str) -> Result<Self, InvalidKey> {
        let uuid = Uuid::parse_str(text).ok();
        let uuid = uuid.filter(|uuid| uuid.get_version_num() == 7);
        uuid.map(Self).ok_or(InvalidKey)
    }

    /// When the caller made the key, by the caller's clock.
    #[must_use]
    pub fn created(&self) -> Wall {
        let timestamp = self.0.get_timestamp();
        let (seconds, nanos) = timestamp.map_or((0, 0), |timestamp| timestamp.to_unix());
        Wall(seconds * 1_000 + u64::from(nanos) / 1_000_000)
    }

    /// Its partition.
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
