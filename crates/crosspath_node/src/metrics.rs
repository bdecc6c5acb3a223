//! Metrics of the daemon in the OpenMetrics text format.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crosspath_border::evacuation::Progress;
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
struct EvacuationLabels {
    data_centre: String,
    pool: String,
}

/// All metrics of the daemon.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Mutex<Registry>,
    latency: Family<Labels, Histogram, fn() -> Histogram>,
    cold_workers: Gauge,
    evacuation_tasks: Family<EvacuationLabels, Gauge>,
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
        let cold_workers = Gauge::default();
        let help = "Listed workers of this daemon's shards that are warming up";
        registry.register("cold_workers", help, cold_workers.clone());
        let evacuation_tasks = Family::<EvacuationLabels, Gauge>::default();
        let help = "Tasks that remain in evacuated data centres, told by the owner of the fleet";
        registry.register("evacuation_tasks", help, evacuation_tasks.clone());
        Self { registry: Mutex::new(registry), latency, cold_workers, evacuation_tasks }
    }
}

impl Metrics {
    /// Records the latency of a request that was answered.
    pub(crate) fn observe_call(&self, call: Call, queue: &str, latency: Duration) {
        let labels = Labels { call: call.name(), queue: queue.to_owned() };
        self.latency.get_or_create(&labels).observe(latency.as_secs_f64());
    }

    /// Sets the number of workers of this daemon's shards that are warming up.
    pub(crate) fn set_cold_workers(&self, workers: usize) {
        self.cold_workers.set(i64::try_from(workers).unwrap_or(i64::MAX));
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

    /// Forgets the tasks in evacuated data centres, when another daemon tells them.
    pub(crate) fn clear_evacuation_tasks(&self) {
        self.evacuation_tasks.clear();
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
