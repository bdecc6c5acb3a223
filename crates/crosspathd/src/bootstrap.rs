//! Restores the state from a snapshot or from peers when the log cannot be replayed from its start.

use std::sync::Arc;

use crosspath_log::{Page, Record};
use crosspath_state::State;
use crosspath_state::record::{Entry, Revision};
use crosspath_state::snapshot::Assembler;

use crate::core::Core;
use crate::follower;

/// Restores the newest complete snapshot in the log and applies the records after it.
///
/// `first` is the first revision that the log still holds.
pub(crate) async fn from_snapshot(core: &Core, first: Revision) {
    let mut records = Vec::new();
    let mut assembly = Assembler::default();
    let mut newest: Option<State> = None;
    let mut after = Revision(first.0.saturating_sub(1));
    loop {
        let read = core.log.read(after, std::time::Duration::ZERO).await;
        let Ok(page) = read else { return };
        let Some(last) = page.records.last() else {
            break;
        };
        after = last.offset;
        for record in &page.records {
            newest = complete_snapshot(&mut assembly, record).or(newest);
        }
        let Page { records: more, last, .. } = page;
        records.extend(more);
        if after >= last {
            break;
        }
    }
    let Some(mut state) = newest.filter(|state| state.applied.next() >= first) else {
        log::warn!("event=no_snapshot first={first}");
        tokio::time::sleep(core.settings.timing.log_wait).await;
        return;
    };
    core.outcomes().mark_incomplete();
    log::info!("event=started_from_snapshot revision={}", state.applied);
    for record in records.iter().filter(|record| record.offset > Revision::default()) {
        if record.offset > state.applied && !follower::apply_record(core, &mut state, record) {
            return;
        }
    }
    publish_if_newer(core, state);
}

fn complete_snapshot(assembly: &mut Assembler, record: &Record) -> Option<State> {
    let Ok(Entry::Snapshot(chunk)) = Entry::decode(&record.data) else {
        return None;
    };
    match assembly.add(chunk) {
        Ok(state) => state,
        Err(error) => {
            log::warn!("event=snapshot_unusable error=\"{error}\"");
            None
        }
    }
}

/// Copies a peer's state while the log is unavailable.
///
/// A peer whose state is ahead of the local one is asked. If none is known and this daemon has not
/// caught up yet, every peer is asked.
pub(crate) async fn from_peers(core: &Core) {
    let applied = core.state().applied;
    let ahead =
        core.peer_states().iter().find(|(_, peer)| peer.applied > applied).map(|(n, _)| n.clone());
    let catching_up = !core.is_caught_up();
    let candidates: Vec<_> = match ahead {
        Some(name) => core.links.iter().filter(|(peer, _)| **peer == name).collect(),
        None if catching_up => core.links.iter().collect(),
        None => Vec::new(),
    };
    for (name, link) in candidates {
        let Ok(copy) = link.state().await else { continue };
        if copy.state.digest() != copy.digest {
            log::warn!("event=peer_state_unusable peer={name}");
            continue;
        }
        log::info!("event=took_state_of_peer peer={name} revision={}", copy.state.applied);
        core.outcomes().mark_incomplete();
        publish_if_newer(core, copy.state);
    }
    if core.state().applied > Revision::default() {
        core.set_caught_up();
    }
}

/// Publishes `state` unless its revision is not higher: a daemon never returns to a lower revision.
fn publish_if_newer(core: &Core, state: State) {
    if state.applied > core.state().applied {
        core.publish(Arc::new(state));
    }
}
