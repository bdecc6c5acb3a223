//! Members, and which of them may evict which.
//!
//! A member names one peer as its guard. Only the guard may evict it, and with each heartbeat the
//! guard grants it a lease, during which it does not. Since the right to evict changes only by the
//! member's own record, or with the eviction of the guard, a member that is cut off from the log
//! knows whose lease it needs.

use imbl::OrdMap;
use serde::{Deserialize, Serialize};

use crate::name::DaemonName;
use crate::record::{Incarnation, Revision};

/// State of a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Incarnation in which the daemon joined.
    pub incarnation: Incarnation,
    /// Offset of the record with which it joined.
    pub joined: Revision,
    /// The peer that may evict it; `None` until it names one.
    pub guard: Option<DaemonName>,
    /// Whether the guard inherited this member when the previous guard was removed.
    pub inherited: bool,
}

/// The next member after `of` in name order, wrapping around; `None` if there is no other.
#[must_use]
pub fn successor<'a>(
    members: &'a OrdMap<DaemonName, Member>,
    of: &DaemonName,
) -> Option<&'a DaemonName> {
    let others = || members.keys().filter(|name| *name != of);
    others().find(|name| *name > of).or_else(|| others().next())
}
