//! Heartbeats and requests between peers.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use crosspath_peer::{
    Claim, Handler, Heartbeat, HeartbeatReply, LookUp, Settle, StateCopy, Transfer,
};
use crosspath_route::claim::Verdict;
use crosspath_state::State;
use crosspath_state::name::{DaemonName, VmName};
use crosspath_state::record::{Revision, Writer};
use crosspath_state::time::Monotonic;

use crate::claims;
use crate::clock;
use crate::core::Core;

/// Contents of the last heartbeat received from a peer.
#[derive(Debug, Clone)]
pub(crate) struct PeerState {
    pub(crate) writer: Writer,
    pub(crate) applied: Revision,
    pub(crate) in_flight: Vec<(VmName, u32)>,
    pub(crate) ready: bool,
    pub(crate) received_at: Monotonic,
}

impl PeerState {
    /// Whether the peer, in the incarnation `writer`, knows that `vm` drains since `revision` and
    /// has no requests in flight on it.
    pub(crate) fn has_drained(&self, writer: &Writer, vm: &VmName, revision: Revision) -> bool {
        self.writer == *writer
            && self.applied >= revision
            && self.in_flight.iter().all(|(other, count)| other != vm || *count == 0)
    }
}

/// Heartbeat that this daemon sends.
pub(crate) fn own_heartbeat(core: &Core) -> Heartbeat {
    // Read first, so that the numbers of requests in flight are at least as recent as the revision.
    let applied = core.state().applied;
    Heartbeat {
        from: core.own_writer(),
        applied,
        in_flight: core.draining_in_flight(),
        ready: core.is_ready(),
    }
}

/// Records a peer's heartbeat, unless a later one, or one of a later incarnation, was received
/// before.
pub(crate) fn record_heartbeat(core: &Core, heartbeat: Heartbeat) {
    let reported = PeerState {
        applied: heartbeat.applied,
        in_flight: heartbeat.in_flight,
        ready: heartbeat.ready,
        received_at: clock::monotonic(),
        writer: heartbeat.from,
    };
    let mut table = core.peer_states();
    let known = table.get(&reported.writer.daemon);
    let is_outdated = known.is_some_and(|known| {
        (known.writer.incarnation, known.applied) > (reported.writer.incarnation, reported.applied)
    });
    if !is_outdated {
        table.insert(reported.writer.daemon.clone(), reported);
    }
}

/// Members that may still send requests to a draining VM, or have some in flight on it.
pub(crate) fn undrained_members(core: &Core, state: &State, vm: &VmName) -> Vec<DaemonName> {
    let Some(stored) = state.vms.get(vm) else {
        return Vec::new();
    };
    let peer_states = core.peer_states().clone();
    let behind = state.members.iter().filter(|(name, member)| {
        if **name == core.settings.name {
            return core.pools.in_flight(vm) > 0;
        }
        let writer = Writer { daemon: (*name).clone(), incarnation: member.incarnation };
        !peer_states.get(*name).is_some_and(|peer| peer.has_drained(&writer, vm, stored.revision))
    });
    behind.map(|(name, _)| name.clone()).collect()
}

/// Handles peers' requests.
#[derive(Debug)]
pub(crate) struct PeerHandler(pub(crate) Arc<Core>);

#[async_trait]
impl Handler for PeerHandler {
    async fn heartbeat(&self, heartbeat: Heartbeat) -> HeartbeatReply {
        let core = &*self.0;
        let member = heartbeat.from.clone();
        record_heartbeat(core, heartbeat);
        let valid = core.lease_is_valid() && core.is_caught_up();
        let (state, terms, now) = (core.state(), core.terms(), clock::monotonic());
        let grant = core.leases().grantor.grant(terms, &state, &member, valid, now);
        let millis = |span: Duration| u64::try_from(span.as_millis()).unwrap_or_default();
        HeartbeatReply { heartbeat: own_heartbeat(core), grant_ms: grant.map(millis) }
    }

    async fn claim(&self, claim: Claim) -> Verdict {
        claims::claim_locally(&self.0, &claim)
    }

    async fn settle(&self, settle: Settle) {
        claims::settle_locally(&self.0, settle);
    }

    async fn look_up(&self, look_up: LookUp) -> Option<Verdict> {
        claims::look_up_locally(&self.0, &look_up)
    }

    async fn take_over(&self, transfer: Transfer) -> bool {
        let core = &*self.0;
        let taken = transfer.to == core.own_writer() && core.state().is_member(&transfer.to);
        if taken {
            core.claims().take_over(transfer.claims);
        }
        taken
    }

    async fn state(&self) -> StateCopy {
        let state = self.0.state();
        StateCopy { digest: state.digest(), state: (*state).clone() }
    }
}
