//! The daemons that are members, and who may remove whom.
//!
//! A member names one peer as its guard. Only the guard may evict it, and the guard promises it in
//! each heartbeat not to do so for a while: the promise is the member's lease. Since the right to
//! evict changes only by the member's own record, or with the eviction of the guard, a member that
//! is cut off from the log knows whose promise it needs.

use imbl::OrdMap;
use serde::{Deserialize, Serialize};

use crate::name::DaemonName;
use crate::record::{Incarnation, Revision};

/// What the fold keeps of a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its life.
    pub incarnation: Incarnation,
    /// Where it joined.
    pub joined: Revision,
    /// The peer that may evict it.
    pub guard: Option<DaemonName>,
    /// Whether the guard came by the eviction of the one that the member had named.
    pub inherited: bool,
}

/// The member that follows `of` in name order, around the end; none when there is no other.
#[must_use]
pub fn successor<'a>(
    members: &'a OrdMap<DaemonName, Member>,
    of: &DaemonName,
) -> Option<&'a DaemonName> {
    let others = || members.keys().filter(|name| *name != of);
    others().find(|name| *name > of).or_else(|| others().next())
}
