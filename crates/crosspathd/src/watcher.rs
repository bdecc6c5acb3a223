//! Detects VMs that fail, recover, or leave.
//!
//! The platform's VM list lags, so a difference from the state is only a suspicion: a VM is
//! recorded as failed if its worker does not report that it is up either. A VM that is listed as
//! leaving gets no new work from this daemon, whatever its phase in the log.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crosspath_state::name::VmName;
use crosspath_state::record::Change;
use crosspath_state::{State, vm};
use crosspath_vm_list::{Entry, Liveness};
use tokio::time::{Instant, sleep_until};

use crate::clock;
use crate::core::Core;

const MIN_INTERVAL: Duration = Duration::from_secs(1);
/// Limits the transfer of the list, about 35 bytes a VM, to less than 3 KB a second for any number
/// of VMs.
const INTERVAL_PER_VM: Duration = Duration::from_millis(12);
const POOL_TICK: Duration = Duration::from_millis(100);

/// Keeps the VMs of the pools up to date with the state and the VM list.
pub(crate) async fn run(core: Arc<Core>) {
    let mut leaving = BTreeSet::new();
    let mut states = core.state.subscribe();
    let mut next_poll = Instant::now();
    let mut tick = tokio::time::interval(POOL_TICK);
    loop {
        tokio::select! {
            changed = states.changed() => if changed.is_err() { return },
            _ = tick.tick() => {
                core.pools.tick();
                continue;
            }
            () = sleep_until(next_poll) => {
                next_poll = Instant::now() + poll_interval(&core.state());
                let Ok(list) = core.vm_list.list().await else { continue };
                if core.is_planner() {
                    record_changes(&core, &list).await;
                }
                let listed = list.iter().filter(|entry| entry.liveness == Liveness::Leaving);
                leaving = listed.map(|entry| entry.vm.clone()).collect();
            }
        }
        let state = states.borrow_and_update().clone();
        core.pools.update(&state, &leaving);
    }
}

fn poll_interval(state: &State) -> Duration {
    let vms = u32::try_from(state.vms.len()).unwrap_or(u32::MAX);
    MIN_INTERVAL.max(INTERVAL_PER_VM.saturating_mul(vms))
}

async fn record_changes(core: &Core, list: &[Entry]) {
    let state = core.state();
    let mut changes = Vec::new();
    for entry in list {
        let Some(liveness) = differing_liveness(&state, entry) else {
            continue;
        };
        let up = core.worker.report(&entry.vm).await.is_ok_and(|report| report.up);
        changes.extend(confirmed_change(&entry.vm, liveness, up));
    }
    if changes.is_empty() {
        return;
    }
    let result = core.committer.commit_until_final(changes).await;
    log::info!("event=vm_failures_recorded done={}", result.is_ok());
}

/// Liveness of a VM according to the list, if it differs from the state.
fn differing_liveness(state: &State, entry: &Entry) -> Option<Liveness> {
    let phase = &state.vms.get(&entry.vm)?.status;
    let differs = match (phase, entry.liveness) {
        // The platform restarts the VM; if it does not, the wave detects that.
        (vm::Phase::Rebooting { .. }, _) => false,
        (vm::Phase::Failed { .. }, liveness) => liveness == Liveness::Live,
        (_, liveness) => liveness == Liveness::Down,
    };
    differs.then_some(entry.liveness)
}

fn confirmed_change(vm: &VmName, liveness: Liveness, up: bool) -> Option<Change> {
    let vm = vm.clone();
    match (liveness, up) {
        (Liveness::Down, false) => Some(Change::Failure { vm, seen_at: clock::wall() }),
        (Liveness::Live, true) => Some(Change::Recovery { vm }),
        _ => None,
    }
}
