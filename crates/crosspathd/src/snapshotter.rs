//! Writes snapshots into the log, well before its records expire.

use std::sync::Arc;

use crosspath_state::record::{Entry, Revision};
use crosspath_state::snapshot;

use crate::core::Core;

/// Writes one whenever enough records have come since the last, while this daemon plans.
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
            // A snapshot with a chunk missing is ignored; one written twice does no harm.
            if core.log.append(Entry::Snapshot(chunk).encode()).await.is_err() {
                break;
            }
        }
        log::info!("event=snapshot_written revision={}", state.applied);
        last = state.applied;
    }
}
