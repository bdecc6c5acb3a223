//! Hands over partitions of payment keys, with their claims, to another member.
//!
//! The owner freezes the partitions, sends their claims, and only then records the new owner. If
//! the peer does not accept the claims, or the record was definitely not appended, the owner
//! resumes deciding on the partitions.

use std::collections::BTreeSet;

use crosspath_operator::CommitError;
use crosspath_peer::Transfer;
use crosspath_state::State;
use crosspath_state::name::DaemonName;
use crosspath_state::record::{Change, Membership, Writer};

use crate::core::Core;

/// Hands partitions over to a member. Returns whether it owns them now.
pub(crate) async fn hand_over(core: &Core, partitions: Vec<u16>, to: Writer) -> bool {
    let Some(link) = core.links.get(&to.daemon) else {
        return false;
    };
    let moving: BTreeSet<u16> = partitions.iter().copied().collect();
    core.freeze(&moving);
    let claims = core.claims().claims_where(|key| moving.contains(&key.partition()));
    let count = claims.len();
    let accepted = link.take_over(Transfer { to: to.clone(), claims }).await;
    if accepted != Ok(true) {
        core.unfreeze(&moving);
        return false;
    }
    let daemon = to.daemon.clone();
    let change = Change::Member(Membership::Handover { partitions, to });
    let result = core.committer.commit_until_final(vec![change]).await;
    // From here on the state determines the owner.
    core.unfreeze(&moving);
    log::info!(
        "event=handed_over to={daemon} partitions={} claims={count} done={}",
        moving.len(),
        result.is_ok()
    );
    result.is_ok()
}

/// Hands all partitions over to this daemon's guard before a graceful stop.
pub(crate) async fn hand_over_all(core: &Core) -> Result<(), CommitError> {
    let state = core.state();
    let own = &core.settings.name;
    let partitions: Vec<u16> = state.partitions_of(own).collect();
    let guard = state.members.get(own).and_then(|member| member.guard.clone());
    let Some(to) = guard.and_then(|guard| writer(&state, &guard)) else {
        return Ok(());
    };
    if !partitions.is_empty() {
        hand_over(core, partitions, to).await;
    }
    Ok(())
}

fn writer(state: &State, daemon: &DaemonName) -> Option<Writer> {
    let member = state.members.get(daemon)?;
    Some(Writer { daemon: daemon.clone(), incarnation: member.incarnation })
}

/// Hands this daemon's surplus over its fair share to the member with the fewest partitions.
pub(crate) async fn balance(core: &Core) {
    let state = core.state();
    let own = core.settings.name.clone();
    let owned: Vec<u16> = state.partitions_of(&own).collect();
    let fair_share = state.partitions.len().div_ceil(state.members.len().max(1));
    let counts = state.members.keys().map(|name| (state.partitions_of(name).count(), name));
    let Some((fewest, least_loaded)) = counts.min() else {
        return;
    };
    let surplus = owned.len().saturating_sub(fair_share).min(fair_share.saturating_sub(fewest));
    if surplus == 0 || *least_loaded == own || !core.lease_is_valid() {
        return;
    }
    if let Some(to) = writer(&state, least_loaded) {
        hand_over(core, owned.into_iter().take(surplus).collect(), to).await;
    }
}
