//! Metrics of the fleet, by the platform's list of VMs and the reports of pools.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use crosspath_border::evacuation::Progress;
use crosspath_border::vm::{State, Vm};
use crosspath_spread::{Domain, Occupancy};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct VmLabels {
    data_centre: String,
    state: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PoolLabels {
    pool: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EvacuationLabels {
    data_centre: String,
    pool: String,
}

/// Metrics of the fleet. They have no values unless this daemon owns the fleet.
#[derive(Debug, Default)]
pub(crate) struct FleetMetrics {
    vms: Family<VmLabels, Gauge>,
    largest_share: Family<PoolLabels, Gauge<f64, AtomicU64>>,
    evacuation_tasks: Family<EvacuationLabels, Gauge>,
}

impl FleetMetrics {
    pub(super) fn register(&self, registry: &mut Registry) {
        let help = "VMs of the platform's list, by data centre and state";
        registry.register("vms", help, self.vms.clone());
        let help = "Share of a pool's VMs that are up in the data centre with the most of them";
        registry.register("pool_largest_data_centre_share", help, self.largest_share.clone());
        let help = "Tasks that remain in evacuated data centres";
        registry.register("evacuation_tasks", help, self.evacuation_tasks.clone());
    }

    /// Sets the gauges of the fleet from a list of VMs.
    pub(crate) fn set(&self, vms: &[Vm]) {
        self.vms.clear();
        self.largest_share.clear();
        let mut pools: BTreeMap<&str, (Occupancy, u32)> = BTreeMap::new();
        for vm in vms {
            let state = match vm.state {
                State::Up => "up",
                State::Moving => "moving",
                State::Maintenance => "maintenance",
                State::Down => "down",
                State::Unknown => "unknown",
            };
            let labels = VmLabels { data_centre: vm.data_centre.to_string(), state };
            self.vms.get_or_create(&labels).inc();
            if vm.state == State::Up {
                let (occupied, total) = pools.entry(&vm.pool).or_default();
                occupied.add(&Domain::of(&vm.data_centre, &vm.labels));
                *total += 1;
            }
        }
        for (pool, (occupied, total)) in pools {
            let share = f64::from(occupied.largest_data_centre()) / f64::from(total);
            let labels = PoolLabels { pool: pool.to_owned() };
            self.largest_share.get_or_create(&labels).set(share);
        }
    }

    /// Removes the gauges of the fleet, once another daemon owns it.
    pub(crate) fn clear(&self) {
        self.vms.clear();
        self.largest_share.clear();
        self.evacuation_tasks.clear();
    }

    /// Sets the tasks that remain in each evacuated data centre; the others are forgotten.
    pub(crate) fn set_evacuation_tasks(&self, progress: &BTreeMap<Arc<str>, Progress>) {
        self.evacuation_tasks.clear();
        for (data_centre, progress) in progress {
            for (pool, tasks) in &progress.pools {
                let labels = EvacuationLabels {
                    data_centre: data_centre.to_string(),
                    pool: pool.to_string(),
                };
                let remaining = i64::from(tasks.finite) + i64::from(tasks.long_running);
                self.evacuation_tasks.get_or_create(&labels).set(remaining);
            }
        }
    }
}
