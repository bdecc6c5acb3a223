//! Writes snapshots to the log, well before its records expire.

use std::sync::Arc;

use crosspath_state::record::{Entry, Revision};
use crosspath_state::snapshot;

use crate::core::Core;

/// While this daemon is the planner, writes a snapshot whenever `snapshot_every` revisions have
/// passed since the last one.
pub(crate) async fn run(core: Arc<Core>) {
    let mut last = Revision::default();
    let mut states = core.state.subscribe();
    while states.changed().await.is_ok() {
        let state = states.borrow_and_update().clone();
        let due = state.applied.0.saturating_sub(last.0) >= core.settings.timing.snapshot_every;
        if !due || !core.is_planner() {
            continue;
        }
        for chunk in snapshot::split(&state, &core.own_writer()) {
            // An incomplete snapshot is ignored, and a snapshot written twice is harmless.
            if core.log.append(Entry::Snapshot(chunk).encode()).await.is_err() {
                break;
            }
        }
        log::info!("event=snapshot_written revision={}", state.applied);
        last = state.applied;
    }
}
