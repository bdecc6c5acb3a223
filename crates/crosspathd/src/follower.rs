//! Reads the log and applies its records to the state.

use std::sync::Arc;
use std::time::Duration;

use crosspath_log::{Page, ReadError, Record};
use crosspath_state::record::Entry;
use crosspath_state::snapshot::Chunk;
use crosspath_state::{Applied, State};

use crate::bootstrap;
use crate::core::Core;

const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Follows the log until the daemon stops, or halts at a record that it cannot apply or skip.
pub(crate) async fn run(core: Arc<Core>) {
    while core.halted().is_none() {
        let after = core.state().applied;
        match core.log.read(after, core.settings.timing.log_wait).await {
            Ok(page) => {
                core.set_log_up(true);
                apply_page(&core, &page);
            }
            Err(ReadError::Expired { first }) => {
                core.set_log_up(true);
                bootstrap::from_snapshot(&core, first).await;
            }
            Err(ReadError::Unavailable) => {
                core.set_log_up(false);
                bootstrap::from_peers(&core).await;
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

fn apply_page(core: &Core, page: &Page) {
    let mut state = core.state();
    for record in &page.records {
        if record.offset <= state.applied {
            continue;
        }
        if !apply_record(core, Arc::make_mut(&mut state), record) {
            break;
        }
    }
    let applied = state.applied;
    if applied > core.state().applied {
        core.publish(state);
    }
    if applied >= page.last {
        core.set_caught_up();
    }
}

/// Applies one record. Returns whether the daemon may continue; if not, it has been halted.
pub(crate) fn apply_record(core: &Core, state: &mut State, record: &Record) -> bool {
    let entry = match Entry::decode(&record.data) {
        Ok(entry) => entry,
        Err(error) => {
            core.halt(format!("record {}: {error}", record.offset));
            return false;
        }
    };
    match state.apply(record.offset, &entry) {
        Ok(Applied::Batch(verdicts)) => {
            if let Entry::Batch(batch) = entry {
                core.outcomes().insert(batch.id, verdicts);
            }
            true
        }
        Ok(Applied::Dropped) => true,
        Ok(Applied::Snapshot) => {
            let Entry::Snapshot(chunk) = entry else {
                return true;
            };
            verify_digest(core, &chunk)
        }
        Err(gap) => {
            core.halt(gap.to_string());
            false
        }
    }
}

/// Compares the digest in another daemon's snapshot with that of the local state at the same
/// revision. Returns `false` and halts the daemon if they differ.
fn verify_digest(core: &Core, chunk: &Chunk) -> bool {
    let own = core.state_at(chunk.at).filter(|state| state.applied == chunk.at);
    let differs = chunk.index == 0 && own.is_some_and(|own| own.digest() != chunk.digest);
    if differs {
        core.halt(format!("own state at revision {} differs from {}'s", chunk.at, chunk.writer));
    }
    !differs
}
