//! Metrics of the daemon in the OpenMetrics text format.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

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

/// Labels of a shard's metrics.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ShardLabels {
    unit: String,
}

/// All metrics of the daemon.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Mutex<Registry>,
    latency: Family<Labels, Histogram, fn() -> Histogram>,
    deferred_jobs: Family<ShardLabels, Gauge>,
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
        let deferred_jobs = Family::<ShardLabels, Gauge>::default();
        let help = "Jobs that wait so that others end in time, by pool slice";
        registry.register("jobs_deferred", help, deferred_jobs.clone());
        Self { registry: Mutex::new(registry), latency, deferred_jobs }
    }
}

impl Metrics {
    /// Records the latency of a request that was answered.
    pub(crate) fn observe_call(&self, call: Call, queue: &str, latency: Duration) {
        let labels = Labels { call: call.name(), queue: queue.to_owned() };
        self.latency.get_or_create(&labels).observe(latency.as_secs_f64());
    }

    /// Sets the number of jobs that the owner of a pool slice defers.
    pub(crate) fn set_deferred_jobs(&self, unit: &str, jobs: usize) {
        let labels = ShardLabels { unit: unit.to_owned() };
        let jobs = i64::try_from(jobs).unwrap_or(i64::MAX);
        self.deferred_jobs.get_or_create(&labels).set(jobs);
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
