//! Reconciles the jobs on the workers with the state.

use std::collections::BTreeMap;
use std::time::Duration;

use crosspath_state::name::{JobName, VmName};
use crosspath_state::time::Monotonic;
use crosspath_state::{State, job, vm};
use crosspath_worker::{JobState, Report};
use futures::StreamExt as _;
use futures::stream;

use crate::clock;
use crate::core::Core;

/// Orders sent to workers concurrently.
const MAX_CONCURRENT_ORDERS: usize = 16;

const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
const MAX_DOUBLINGS: u32 = 7;

/// Last observed state of each job on the workers, and back-offs of failed orders.
#[derive(Debug, Default)]
pub(crate) struct Jobs {
    observed: BTreeMap<JobName, BTreeMap<VmName, JobState>>,
    backoffs: BTreeMap<(VmName, JobName), Backoff>,
}

/// Back-off of an order after consecutive failures. `failures` is 0 after the first one.
#[derive(Debug, Clone, Copy)]
struct Backoff {
    failures: u32,
    retry_at: Monotonic,
}

impl Backoff {
    fn after_failure(previous: Option<Self>, now: Monotonic) -> Self {
        let failures = previous.map_or(0, |previous| previous.failures + 1);
        let delay = INITIAL_BACKOFF * 2_u32.pow(failures.min(MAX_DOUBLINGS));
        Self { failures, retry_at: now.after(delay) }
    }
}

impl Jobs {
    /// Replaces what was observed on a worker by its report.
    pub(crate) fn record_report(&mut self, vm: &VmName, report: &Report) {
        for vms in self.observed.values_mut() {
            vms.remove(vm);
        }
        for job in &report.jobs {
            self.observed.entry(job.job.clone()).or_default().insert(vm.clone(), job.state);
        }
        self.observed.retain(|_, vms| !vms.is_empty());
    }

    /// Sends the missing orders. A job that moved is stopped on its previous VM before it is
    /// started elsewhere.
    pub(crate) async fn reconcile(&mut self, core: &Core, state: &State) {
        self.forget_failed_vms(state);
        let stops = self.stop_orders(state);
        self.send_orders(core, stops).await;
        let starts = self.start_orders(state);
        self.send_orders(core, starts).await;
    }

    /// Discards what was observed on failed VMs: their jobs no longer run. A VM that recovers is
    /// polled again.
    fn forget_failed_vms(&mut self, state: &State) {
        let failed = |vm: &VmName| {
            let phase = state.vms.get(vm).map(|vm| &vm.status);
            phase.is_none_or(|phase| matches!(phase, vm::Phase::Failed { .. }))
        };
        for vms in self.observed.values_mut() {
            vms.retain(|vm, _| !failed(vm));
        }
        self.observed.retain(|_, vms| !vms.is_empty());
    }

    async fn send_orders(&mut self, core: &Core, orders: Vec<Order>) {
        let now = clock::monotonic();
        let due = orders.into_iter().filter(|order| self.is_due(order, now));
        let due: Vec<_> = due.collect();
        if due.is_empty() || !core.is_planner() {
            return;
        }
        let sent = stream::iter(due).map(|order| async move {
            let done = core.worker.set_job(&order.vm, &order.job, order.state).await.is_ok();
            (order, done)
        });
        for (order, done) in sent.buffer_unordered(MAX_CONCURRENT_ORDERS).collect::<Vec<_>>().await
        {
            let key = (order.vm.clone(), order.job.clone());
            if done {
                self.backoffs.remove(&key);
                self.record_done(order);
            } else {
                let backoff = Backoff::after_failure(self.backoffs.get(&key).copied(), now);
                self.backoffs.insert(key, backoff);
            }
        }
    }

    fn is_due(&self, order: &Order, now: Monotonic) -> bool {
        let backoff = self.backoffs.get(&(order.vm.clone(), order.job.clone()));
        backoff.is_none_or(|backoff| backoff.retry_at <= now)
    }

    fn record_done(&mut self, order: Order) {
        let vms = self.observed.entry(order.job.clone()).or_default();
        match order.state {
            JobState::Absent => drop(vms.remove(&order.vm)),
            JobState::Running | JobState::Suspended => drop(vms.insert(order.vm, order.state)),
        }
        if vms.is_empty() {
            self.observed.remove(&order.job);
        }
    }

    fn stop_orders(&self, state: &State) -> Vec<Order> {
        let vms = self
            .observed
            .iter()
            .flat_map(|(job, vms)| vms.keys().map(move |vm| (job.clone(), vm.clone())));
        let misplaced = vms.filter(|(job, vm)| {
            let wanted = state.jobs.get(job).and_then(|job| job.status.phase.vm());
            wanted != Some(vm)
        });
        misplaced.map(|(job, vm)| Order { job, vm, state: JobState::Absent }).collect()
    }

    fn start_orders(&self, state: &State) -> Vec<Order> {
        let wanted = state.jobs.iter().filter_map(|(name, job)| {
            let (vm, state) = match &job.status.phase {
                job::Phase::Running { vm } => (vm, JobState::Running),
                job::Phase::Suspended { vm } => (vm, JobState::Suspended),
                job::Phase::Pending => return None,
            };
            Some(Order { job: name.clone(), vm: vm.clone(), state })
        });
        let missing = wanted.filter(|order| {
            let vms = self.observed.get(&order.job);
            let elsewhere = vms.is_some_and(|vms| vms.keys().any(|vm| *vm != order.vm));
            let reported = vms.and_then(|vms| vms.get(&order.vm));
            !elsewhere && reported != Some(&order.state)
        });
        missing.collect()
    }
}

#[derive(Debug)]
struct Order {
    job: JobName,
    vm: VmName,
    state: JobState,
}
