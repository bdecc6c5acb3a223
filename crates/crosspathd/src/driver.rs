//! Carries the planner's decisions out.
//!
//! Only the planning member does this. Each round it looks at the VMs that are out, commits the
//! changes that follow, and brings the workers into line with the state. Each order is safe to give
//! again, so another member can go on from any point; it looks at every worker first.

use std::collections::BTreeMap;
use std::sync::Arc;

use crosspath_plan::wave::Observed;
use crosspath_state::name::VmName;
use crosspath_state::record::{Change, Revision};
use crosspath_state::{State, Stored, vm};
use crosspath_worker::{JobState, Report};
use futures::future::join_all;

use crate::core::Core;
use crate::jobs::Jobs;
use crate::peers;

/// Rounds between two looks at every worker.
const SWEEP_EVERY: u32 = 100;

/// Decides and carries out until the daemon ends.
pub(crate) async fn run(core: Arc<Core>) {
    let mut jobs = Jobs::default();
    let mut rounds = 0;
    loop {
        tokio::time::sleep(core.settings.timing.decide).await;
        if !core.is_planner() || !core.is_log_up() || core.is_stopping() {
            rounds = 0;
            continue;
        }
        if rounds == 0 {
            jobs = sweep(&core).await;
        }
        rounds = (rounds + 1) % SWEEP_EVERY;
        round(&core, &mut jobs).await;
    }
}

async fn round(core: &Core, jobs: &mut Jobs) {
    let state = core.state();
    let observed = observe(core, &state).await;
    jobs.reconcile(core, &state).await;
    commit(core, crosspath_plan::decide(&state, &observed)).await;
}

async fn commit(core: &Core, changes: Vec<Change>) {
    if changes.is_empty() {
        return;
    }
    let count = changes.len();
    match core.committer.verdicts(changes).await {
        Ok(verdicts) => {
            for conflict in verdicts.iter().filter_map(|verdict| verdict.as_ref().err()) {
                log::info!("event=decision_rejected conflict=\"{conflict}\"");
            }
        }
        Err(error) => log::warn!("event=decisions_lost count={count} error=\"{error}\""),
    }
}

type Vm = Stored<vm::Spec, vm::Phase>;

/// Looks at every VM that is out, and gives the orders that its phase calls for.
async fn observe(core: &Core, state: &State) -> BTreeMap<VmName, Observed> {
    let out = state.vms.iter().filter(|(_, vm)| vm.status.wave().is_some());
    let looks = out.map(|(name, vm)| async move {
        let seen = observe_vm(core, state, name, vm).await;
        (name.clone(), seen)
    });
    join_all(looks).await.into_iter().collect()
}

async fn observe_vm(core: &Core, state: &State, name: &VmName, vm: &Vm) -> Observed {
    let daemons_done = peers::not_done(core, state, name).is_empty();
    let Ok(report) = core.worker.report(name).await else {
        return Observed { daemons_done, ..Observed::default() };
    };
    match &vm.status {
        vm::Phase::Draining { wave } if is_cancelled(state, wave) => {
            order_drained(core, name, &report, false).await;
            Observed { daemons_done, ..Observed::default() }
        }
        vm::Phase::Draining { .. } => {
            if daemons_done {
                order_drained(core, name, &report, true).await;
            }
            Observed { daemons_done, worker_idle: is_idle(&report), rebooted: false }
        }
        vm::Phase::Rebooting { .. } => {
            let rebooted = order_reboot(core, name, vm.revision, &report).await;
            Observed { daemons_done, worker_idle: false, rebooted }
        }
        vm::Phase::Serving | vm::Phase::Failed { .. } => Observed::default(),
    }
}

fn is_cancelled(state: &State, wave: &crosspath_state::name::WaveName) -> bool {
    let wave = state.waves.get(wave).map(|wave| &wave.status.phase);
    wave.is_none_or(|phase| *phase == crosspath_state::wave::Phase::Cancelled)
}

fn is_idle(report: &Report) -> bool {
    let running = report.jobs.iter().any(|job| job.state == JobState::Running);
    report.drained && report.in_flight == 0 && !running
}

async fn order_drained(core: &Core, vm: &VmName, report: &Report, drained: bool) {
    if report.drained != drained && core.is_planner() {
        let result = core.worker.set_drained(vm, drained).await;
        log::info!("event=worker_drained vm={vm} drained={drained} done={}", result.is_ok());
    }
}

/// Orders the reboot if it was not ordered yet; whether it is over and the VM takes requests.
async fn order_reboot(core: &Core, vm: &VmName, revision: Revision, report: &Report) -> bool {
    let ticket = format!("{vm}:{revision}");
    if report.reboot.as_ref() != Some(&ticket) {
        if is_idle(report) && core.is_planner() {
            let result = core.worker.reboot(vm, &ticket).await;
            log::info!("event=worker_reboot vm={vm} done={}", result.is_ok());
        }
        return false;
    }
    if !report.up {
        return false;
    }
    order_drained(core, vm, report, false).await;
    !report.drained || core.worker.report(vm).await.is_ok_and(|report| !report.drained)
}

/// Looks at every worker: takes back orders that an earlier planner left behind, and learns which
/// jobs run where.
async fn sweep(core: &Core) -> Jobs {
    let state = core.state();
    let looks = state.vms.iter().map(|(name, vm)| async move {
        let report = core.worker.report(name).await.ok()?;
        if vm.status.takes_work() {
            order_drained(core, name, &report, false).await;
        }
        Some((name.clone(), report))
    });
    let reports = join_all(looks).await;
    Jobs::learned(reports.into_iter().flatten())
}
