//! Brings the jobs on the workers into line with the state.

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

/// Orders under way at one time.
const AT_ONCE: usize = 16;

const FIRST_PAUSE: Duration = Duration::from_millis(200);
const MAX_DOUBLINGS: u32 = 7;

/// What the workers were last known to do, by job, and orders that failed.
#[derive(Debug, Default)]
pub(crate) struct Jobs {
    known: BTreeMap<JobName, BTreeMap<VmName, JobState>>,
    failed: BTreeMap<(VmName, JobName), Failed>,
}

/// How often an order failed in a row, and when it may be given again.
#[derive(Debug, Clone, Copy)]
struct Failed {
    times: u32,
    not_before: Monotonic,
}

impl Failed {
    fn again(before: Option<Self>, now: Monotonic) -> Self {
        let times = before.map_or(0, |before| before.times + 1);
        let pause = FIRST_PAUSE * 2_u32.pow(times.min(MAX_DOUBLINGS));
        Self { times, not_before: now.after(pause) }
    }
}

impl Jobs {
    /// Notes what a worker reports, in place of what it was thought to do.
    pub(crate) fn learn(&mut self, vm: &VmName, report: &Report) {
        for places in self.known.values_mut() {
            places.remove(vm);
        }
        for job in &report.jobs {
            self.known.entry(job.job.clone()).or_default().insert(vm.clone(), job.state);
        }
        self.known.retain(|_, places| !places.is_empty());
    }

    /// Gives the orders that are missing. A job that moved is stopped where it was before it is
    /// started elsewhere.
    pub(crate) async fn reconcile(&mut self, core: &Core, state: &State) {
        self.forget_failed(state);
        let stops = self.stops(state);
        self.give(core, stops).await;
        let starts = self.starts(state);
        self.give(core, starts).await;
    }

    /// What ran on a VM that failed runs there no more; if it comes back it is looked at again.
    fn forget_failed(&mut self, state: &State) {
        let failed = |vm: &VmName| {
            let phase = state.vms.get(vm).map(|vm| &vm.status);
            phase.is_none_or(|phase| matches!(phase, vm::Phase::Failed { .. }))
        };
        for places in self.known.values_mut() {
            places.retain(|vm, _| !failed(vm));
        }
        self.known.retain(|_, places| !places.is_empty());
    }

    async fn give(&mut self, core: &Core, orders: Vec<Order>) {
        let now = clock::monotonic();
        let due = orders.into_iter().filter(|order| self.is_due(order, now));
        let due: Vec<_> = due.collect();
        if due.is_empty() || !core.is_planner() {
            return;
        }
        let given = stream::iter(due).map(|order| async move {
            let done = core.worker.set_job(&order.vm, &order.job, order.state).await.is_ok();
            (order, done)
        });
        for (order, done) in given.buffer_unordered(AT_ONCE).collect::<Vec<_>>().await {
            let key = (order.vm.clone(), order.job.clone());
            if done {
                self.failed.remove(&key);
                self.note(order);
            } else {
                let failed = Failed::again(self.failed.get(&key).copied(), now);
                self.failed.insert(key, failed);
            }
        }
    }

    fn is_due(&self, order: &Order, now: Monotonic) -> bool {
        let failed = self.failed.get(&(order.vm.clone(), order.job.clone()));
        failed.is_none_or(|failed| failed.not_before <= now)
    }

    fn note(&mut self, order: Order) {
        let places = self.known.entry(order.job.clone()).or_default();
        match order.state {
            JobState::Absent => drop(places.remove(&order.vm)),
            JobState::Running | JobState::Suspended => drop(places.insert(order.vm, order.state)),
        }
        if places.is_empty() {
            self.known.remove(&order.job);
        }
    }

    fn stops(&self, state: &State) -> Vec<Order> {
        let places = self
            .known
            .iter()
            .flat_map(|(job, places)| places.keys().map(move |vm| (job.clone(), vm.clone())));
        let gone = places.filter(|(job, vm)| {
            let wanted = state.jobs.get(job).and_then(|job| job.status.phase.vm());
            wanted != Some(vm)
        });
        gone.map(|(job, vm)| Order { job, vm, state: JobState::Absent }).collect()
    }

    fn starts(&self, state: &State) -> Vec<Order> {
        let wanted = state.jobs.iter().filter_map(|(name, job)| {
            let (vm, state) = match &job.status.phase {
                job::Phase::Running { vm } => (vm, JobState::Running),
                job::Phase::Suspended { vm } => (vm, JobState::Suspended),
                job::Phase::Pending => return None,
            };
            Some(Order { job: name.clone(), vm: vm.clone(), state })
        });
        let missing = wanted.filter(|order| {
            let places = self.known.get(&order.job);
            let elsewhere = places.is_some_and(|places| places.keys().any(|vm| *vm != order.vm));
            let known = places.and_then(|places| places.get(&order.vm));
            !elsewhere && known != Some(&order.state)
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
