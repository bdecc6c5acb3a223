//! Membership: joining, assigning a guard, evicting members, and heartbeats.

use std::sync::Arc;
use std::time::Duration;

use crosspath_operator::CommitError;
use crosspath_state::State;
use crosspath_state::name::DaemonName;
use crosspath_state::record::{Change, Membership, Writer};
use crosspath_state::{member, vm};
use futures::future::join_all;
use tokio::time::{Instant, sleep_until};

use crate::clock;
use crate::core::Core;
use crate::handover;
use crate::peers;

/// Number of peers sent a heartbeat in one round; those not due in every round take turns.
const FAN_OUT: usize = 6;

/// Interval at which the requests in flight on draining VMs are checked.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Sends heartbeats until the daemon stops.
pub(crate) async fn send_heartbeats(core: Arc<Core>) {
    let interval = core.settings.timing.heartbeat;
    let mut next = Instant::now();
    for round in 0.. {
        let peers = heartbeat_targets(&core, round);
        let heartbeats = peers.into_iter().map(|peer| send_heartbeat(Arc::clone(&core), peer));
        // Spawned, so that a slow peer does not delay heartbeats to the others.
        drop(tokio::spawn(join_all(heartbeats)));
        next = (next + interval).max(Instant::now());
        sleep_until(next).await;
    }
}

/// Peers that get a heartbeat in this round: always this daemon's guard, the members that it guards
/// and the planner; the others in turn.
fn heartbeat_targets(core: &Core, round: usize) -> Vec<DaemonName> {
    let names: Vec<_> = core.links.keys().cloned().collect();
    if names.len() <= FAN_OUT {
        return names;
    }
    let state = core.state();
    let own = &core.settings.name;
    let guard = state.members.get(own).and_then(|member| member.guard.as_ref());
    let is_due = |name: &DaemonName| {
        let guarded = state.members.get(name).is_some_and(|m| m.guard.as_ref() == Some(own));
        guarded || Some(name) == guard || Some(name) == Core::planner(&state)
    };
    let (mut due, others): (Vec<_>, Vec<_>) = names.into_iter().partition(is_due);
    let other_count = others.len().max(1);
    let remaining = FAN_OUT.saturating_sub(due.len()).min(others.len());
    due.extend((0..remaining).map(|i| others[(round * remaining + i) % other_count].clone()));
    due
}

async fn send_heartbeat(core: Arc<Core>, peer: DaemonName) {
    let Some(link) = core.links.get(&peer) else {
        return;
    };
    let requested_at = clock::monotonic();
    let reply = link.heartbeat(peers::own_heartbeat(&core)).await;
    core.metrics.count_heartbeat(if reply.is_ok() { "answered" } else { "unanswered" });
    let Ok(reply) = reply else { return };
    if let Some(grant) = reply.grant() {
        core.leases().holder.record_grant(core.terms(), &peer, requested_at, grant);
    }
    peers::record_heartbeat(&core, reply.heartbeat);
}

/// While VMs drain, sends the planner a heartbeat as soon as this daemon's requests in flight on
/// them change.
pub(crate) async fn report_draining(core: Arc<Core>) {
    let mut states = core.state.subscribe();
    let mut last_sent = None;
    loop {
        let state = states.borrow_and_update().clone();
        let draining = state.vms.values().any(|vm| matches!(vm.status, vm::Phase::Draining { .. }));
        if !draining {
            last_sent = None;
            if states.changed().await.is_err() {
                return;
            }
            continue;
        }
        let planner = Core::planner(&state).filter(|planner| **planner != core.settings.name);
        let report = Some((planner.cloned(), state.applied, core.draining_in_flight()));
        if report != last_sent {
            if let Some(planner) = planner {
                send_heartbeat(Arc::clone(&core), planner.clone()).await;
            }
            last_sent = report;
        }
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}

/// Keeps this daemon a member with a guard, evicts members whose lease has expired, and balances
/// partitions.
pub(crate) async fn run(core: Arc<Core>) {
    let interval = core.settings.timing.heartbeat / 2;
    loop {
        tokio::time::sleep(interval).await;
        let able = core.is_caught_up() && core.is_log_up() && core.halted().is_none();
        if able && !core.is_stopping() {
            step(&core).await;
        }
    }
}

async fn step(core: &Core) {
    let (state, own) = (core.state(), core.own_writer());
    if !state.is_member(&own) {
        return join(core, &state, &own).await;
    }
    let (valid, now) = (core.lease_is_valid(), clock::monotonic());
    core.leases().grantor.observe(core.terms(), &state, &own, valid, now);
    let has_no_guard = state.members.get(&own.daemon).is_some_and(|member| member.guard.is_none());
    if has_no_guard {
        assign_guard(core, &state, &own).await;
    }
    evict(core).await;
    handover::balance(core).await;
}

async fn join(core: &Core, state: &State, own: &Writer) {
    let was_member = state.writers.get(&own.daemon);
    if let Some(last) = was_member.filter(|last| last.incarnation >= own.incarnation) {
        // This incarnation was evicted, or a later incarnation of this daemon has written to the
        // log.
        core.begin_incarnation(last.incarnation);
        core.claims().clear();
    }
    let join = Change::Member(Membership::Join);
    match core.committer.commit_until_final(vec![join]).await {
        Ok(()) => log::info!("event=joined daemon={}", core.own_writer()),
        Err(error) => log::warn!("event=join_failed error=\"{error}\""),
    }
}

async fn assign_guard(core: &Core, state: &State, own: &Writer) {
    let Some(guard) = member::successor(&state.members, &own.daemon) else {
        return;
    };
    // Until the outcome of the record is final the lease needs a grant of the new guard too, so the
    // holder is informed before the record is appended.
    core.leases().holder.set_pending_guard(Some(guard.clone()));
    let change = Change::Member(Membership::Guard { guard: guard.clone() });
    let result = core.committer.commit_until_final(vec![change]).await;
    core.leases().holder.set_pending_guard(None);
    log::info!("event=guard_named guard={guard} done={}", result.is_ok());
}

async fn evict(core: &Core) {
    let evictable = core.leases().grantor.evictable(core.terms(), clock::monotonic());
    for member in evictable {
        let change = Change::Member(Membership::Evict { member: member.clone() });
        let result = core.committer.commit_until_final(vec![change]).await;
        log::warn!("event=evicted member={member} done={}", result.is_ok());
        if result == Err(CommitError::NotAccepted) {
            core.leases().grantor.cancel_eviction(&member);
        }
    }
}
