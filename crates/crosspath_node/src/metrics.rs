//! Metrics of the daemon in the OpenMetrics text format.

use std::collections::BTreeMap;
use std::sync::atomic::AtomicU64;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use crosspath_border::vm::{State, Vm};
use crosspath_spread::{Domain, Occupancy};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};

/// Number of latency buckets. Their bounds double from 1 ms to about 8 s.
const BUCKET_COUNT: u16 = 14;
const FIRST_BUCKET_SECONDS: f64 = 0.001;

/// Kind of a caller's request; a label of the metrics.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Call {
    /// Request to submit a job.
    Submit,
    /// Request for a job's state.
    State,
    /// Request to cancel a job.
    Cancel,
}

impl Call {
    fn name(self) -> &'static str {
        match self {
            Self::Submit => "submit",
            Self::State => "state",
            Self::Cancel => "cancel",
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Labels {
    call: &'static str,
    queue: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct VmLabels {
    data_centre: String,
    state: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PoolLabels {
    pool: String,
}

/// All metrics of the daemon.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Mutex<Registry>,
    latency: Family<Labels, Histogram, fn() -> Histogram>,
    vms: Family<VmLabels, Gauge>,
    largest_share: Family<PoolLabels, Gauge<f64, AtomicU64>>,
}

fn histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_SECONDS, 2.0, BUCKET_COUNT))
}

impl Default for Metrics {
    fn default() -> Self {
        let latency = Family::new_with_constructor(histogram as fn() -> Histogram);
        let mut registry = Registry::with_prefix("crosspath");
        let help = "Time from a caller's request to its answer, by call and queue";
        registry.register_with_unit("call_latency", help, Unit::Seconds, latency.clone());
        let vms = Family::default();
        let help = "VMs of the platform's list, by data centre and state; none unless this daemon owns the fleet";
        registry.register("vms", help, vms.clone());
        let largest_share = Family::default();
        let help = "Share of a pool's VMs that are up in the data centre with the most of them; none unless this daemon owns the fleet";
        registry.register("pool_largest_data_centre_share", help, largest_share.clone());
        Self { registry: Mutex::new(registry), latency, vms, largest_share }
    }
}

impl Metrics {
    /// Records the latency of a request that was answered.
    pub(crate) fn observe_call(&self, call: Call, queue: &str, latency: Duration) {
        let labels = Labels { call: call.name(), queue: queue.to_owned() };
        self.latency.get_or_create(&labels).observe(latency.as_secs_f64());
    }

    /// Sets the gauges of the fleet from a list of VMs.
    pub(crate) fn set_vms(&self, vms: &[Vm]) {
        self.clear_vms();
        let mut pools: BTreeMap<&str, (Occupancy, u32)> = BTreeMap::new();
        for vm in vms {
            let state = match vm.state {
                State::Up => "up",
                State::Moving => "moving",
                State::Maintenance => "maintenance",
                State::Down => "down",
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
    pub(crate) fn clear_vms(&self) {
        self.vms.clear();
        self.largest_share.clear();
    }

    /// Encodes all metrics; on an error, the text ends where encoding failed.
    pub(crate) fn encode(&self) -> String {
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &registry) {
            log::warn!("event=metrics_not_encoded error=\"{error}\"");
        }
        text
    }
}
