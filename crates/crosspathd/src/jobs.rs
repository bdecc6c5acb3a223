//! Brings the jobs on the workers into line with the state.

use std::collections::BTreeMap;

use crosspath_state::name::{JobName, VmName};
use crosspath_state::{State, job};
use crosspath_worker::{JobState, Report};
use futures::future::join_all;

use crate::core::Core;

/// What the workers were last known to do, by job.
#[derive(Debug, Default)]
pub(crate) struct Jobs {
    known: BTreeMap<JobName, BTreeMap<VmName, JobState>>,
}

impl Jobs {
    /// What the workers report.
    pub(crate) fn learned(reports: impl Iterator<Item = (VmName, Report)>) -> Self {
        let mut jobs = Self::default();
        for (vm, report) in reports {
            for job in report.jobs {
                jobs.known.entry(job.job).or_default().insert(vm.clone(), job.state);
            }
        }
        jobs
    }

    /// Gives the orders that are missing. A job that moved is stopped where it was before it is
    /// started elsewhere.
    pub(crate) async fn reconcile(&mut self, core: &Core, state: &State) {
        let stops = self.stops(state);
        self.give(core, stops).await;
        let starts = self.starts(state);
        self.give(core, starts).await;
    }

    async fn give(&mut self, core: &Core, orders: Vec<Order>) {
        if orders.is_empty() || !core.is_planner() {
            return;
        }
        let orders = orders.into_iter().map(|order| async move {
            let done = core.worker.set_job(&order.vm, &order.job, order.state).await.is_ok();
            (order, done)
        });
        for (order, done) in join_all(orders).await {
            if done {
                self.note(order);
            }
        }
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
