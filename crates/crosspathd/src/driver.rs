//! Executes the planner's decisions.
//!
//! Only the planning member does this. Each round it polls the VMs that are part of a wave, commits
//! the resulting changes, and reconciles the workers with the state. All orders are idempotent, so
//! another member can continue from any point; it polls every worker first.

use std::collections::BTreeMap;
use std::sync::Arc;

use crosspath_plan::wave::Observation;
use crosspath_state::name::{VmName, WaveName};
use crosspath_state::record::{Change, Revision};
use crosspath_state::{State, Stored, vm};
use crosspath_worker::{JobState, RebootId, Report};
use futures::StreamExt as _;
use futures::future::join_all;
use futures::stream;

use crate::core::Core;
use crate::jobs::Jobs;
use crate::peers;

/// Number of rounds between polls of one further worker.
const POLL_EVERY_ROUNDS: u32 = 4;

/// Workers polled concurrently by [`poll_all`].
const MAX_CONCURRENT_POLLS: usize = 16;

/// Working data of the planning member, discarded when it stops planning.
#[derive(Debug, Default)]
struct Planner {
    round: u32,
    jobs: Jobs,
    /// Revision of the last decisions if they resulted in no changes.
    unchanged_at: Option<Revision>,
    /// Worker polled last by [`Self::poll_next`].
    last_polled: Option<VmName>,
}

/// Plans and executes the plans, while this daemon is the planner, until the daemon stops.
pub(crate) async fn run(core: Arc<Core>) {
    let mut planning: Option<Planner> = None;
    loop {
        tokio::time::sleep(core.settings.timing.decide).await;
        if !core.is_planner() || !core.is_log_up() || core.is_stopping() {
            planning = None;
            continue;
        }
        let planner = match planning.as_mut() {
            Some(planner) => planner,
            None => planning.insert(Planner { jobs: poll_all(&core).await, ..Planner::default() }),
        };
        planner.step(&core).await;
    }
}

impl Planner {
    async fn step(&mut self, core: &Core) {
        let state = core.state();
        self.round = self.round.wrapping_add(1);
        let poll_due = self.round.is_multiple_of(POLL_EVERY_ROUNDS);
        if poll_due {
            self.poll_next(core, &state).await;
        }
        if poll_due || self.unchanged_at != Some(state.applied) {
            self.jobs.reconcile(core, &state).await;
        }
        let is_in_wave = |vm: &Vm| vm.status.wave().is_some();
        if self.unchanged_at == Some(state.applied) && !state.vms.values().any(is_in_wave) {
            return;
        }
        let observed = observe(core, &state).await;
        let changes = crosspath_plan::decide(&state, &observed);
        self.unchanged_at = changes.is_empty().then_some(state.applied);
        commit(core, changes).await;
    }

    /// Polls the next worker in turn, to detect changes that no order caused.
    async fn poll_next(&mut self, core: &Core, state: &State) {
        let after = |vm: &&VmName| self.last_polled.as_ref().is_none_or(|last| *vm > last);
        let next = state.vms.keys().find(after).or_else(|| state.vms.keys().next());
        let Some((next, vm)) = next.and_then(|next| state.vms.get_key_value(next)) else { return };
        if let Some(report) = poll(core, next, vm).await {
            self.jobs.record_report(next, &report);
        }
        self.last_polled = Some(next.clone());
    }
}

async fn commit(core: &Core, changes: Vec<Change>) {
    if changes.is_empty() {
        return;
    }
    let count = changes.len();
    match core.committer.commit_each(changes).await {
        Ok(verdicts) => {
            for conflict in verdicts.iter().filter_map(|verdict| verdict.as_ref().err()) {
                log::info!("event=decision_rejected conflict=\"{conflict}\"");
            }
        }
        Err(error) => log::warn!("event=decisions_lost count={count} error=\"{error}\""),
    }
}

type Vm = Stored<vm::Spec, vm::Phase>;

/// Polls every VM that is part of a wave, and sends the orders that its phase requires.
async fn observe(core: &Core, state: &State) -> BTreeMap<VmName, Observation> {
    let in_wave = state.vms.iter().filter(|(_, vm)| vm.status.wave().is_some());
    let polls = in_wave.map(|(name, vm)| async move {
        let observed = observe_vm(core, state, name, vm).await;
        (name.clone(), observed)
    });
    join_all(polls).await.into_iter().collect()
}

async fn observe_vm(core: &Core, state: &State, name: &VmName, vm: &Vm) -> Observation {
    let daemons_done = peers::undrained_members(core, state, name).is_empty();
    let Ok(report) = core.worker.report(name).await else {
        return Observation { daemons_done, ..Observation::default() };
    };
    match &vm.status {
        vm::Phase::Draining { wave } if is_cancelled(state, wave) => {
            ensure_drained(core, name, &report, false).await;
            Observation { daemons_done, ..Observation::default() }
        }
        vm::Phase::Draining { .. } => {
            if daemons_done {
                ensure_drained(core, name, &report, true).await;
            }
            Observation { daemons_done, worker_idle: is_idle(&report), rebooted: false }
        }
        vm::Phase::Rebooting { wave } => {
            let rebooted =
                ensure_rebooted(core, name, &reboot_id(state, wave, name), &report).await;
            Observation { daemons_done, worker_idle: false, rebooted }
        }
        vm::Phase::Serving | vm::Phase::Failed { .. } => Observation::default(),
    }
}

fn is_cancelled(state: &State, wave: &WaveName) -> bool {
    let wave = state.waves.get(wave).map(|wave| &wave.status.phase);
    wave.is_none_or(|phase| *phase == crosspath_state::wave::Phase::Cancelled)
}

fn is_idle(report: &Report) -> bool {
    let running = report.jobs.iter().any(|job| job.state == JobState::Running);
    report.drained && report.in_flight == 0 && !running
}

async fn ensure_drained(core: &Core, vm: &VmName, report: &Report, drained: bool) {
    if report.drained != drained && core.is_planner() {
        let result = core.worker.set_drained(vm, drained).await;
        log::info!("event=worker_drained vm={vm} drained={drained} done={}", result.is_ok());
    }
}

/// Identifies the reboot of a VM by its wave and the time when the wave was declared, so that each
/// wave reboots a VM once.
fn reboot_id(state: &State, wave: &WaveName, vm: &VmName) -> RebootId {
    let declared_at = state.waves.get(wave).map(|wave| wave.status.declared_at);
    format!("{wave}@{}:{vm}", declared_at.unwrap_or_default())
}

/// Orders the reboot unless it was ordered already. Returns whether it is complete and the VM
/// accepts requests.
async fn ensure_rebooted(core: &Core, vm: &VmName, reboot_id: &RebootId, report: &Report) -> bool {
    if report.reboot.as_ref() != Some(reboot_id) {
        if is_idle(report) && core.is_planner() {
            let result = core.worker.reboot(vm, reboot_id).await;
            log::info!("event=worker_reboot vm={vm} done={}", result.is_ok());
        }
        return false;
    }
    if !report.up {
        return false;
    }
    ensure_drained(core, vm, report, false).await;
    !report.drained || core.worker.report(vm).await.is_ok_and(|report| !report.drained)
}

/// Polls every worker and records which jobs run where.
async fn poll_all(core: &Core) -> Jobs {
    let state = core.state();
    let vms: Vec<(VmName, Vm)> =
        state.vms.iter().map(|(name, vm)| (name.clone(), vm.clone())).collect();
    let polls = stream::iter(vms).map(|(name, vm)| async move {
        let report = poll(core, &name, &vm).await?;
        Some((name, report))
    });
    let reports = polls.buffer_unordered(MAX_CONCURRENT_POLLS).collect::<Vec<_>>().await;
    let mut jobs = Jobs::default();
    for (vm, report) in reports.into_iter().flatten() {
        jobs.record_report(&vm, &report);
    }
    jobs
}

/// Polls a worker, and revokes a drain that a previous planner left in place.
async fn poll(core: &Core, name: &VmName, vm: &Vm) -> Option<Report> {
    let report = core.worker.report(name).await.ok()?;
    if vm.status.takes_work() {
        ensure_drained(core, name, &report, false).await;
    }
    Some(report)
}
