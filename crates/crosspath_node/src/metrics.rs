//! Metrics of the daemon in the OpenMetrics text format.

mod admission;
mod fleet;
mod paths;
mod shards;

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use crosspath_http::pressure::Pressure;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};

use self::admission::AdmissionMetrics;
use self::fleet::FleetMetrics;
pub use self::paths::PathMetrics;
use self::shards::ShardMetrics;

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

/// All metrics of the daemon.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Mutex<Registry>,
    latency: Family<Labels, Histogram, fn() -> Histogram>,
    /// Metrics of the paths to other data centres.
    pub(crate) paths: PathMetrics,
    /// Metrics of the fleet; none unless this daemon owns it.
    pub(crate) fleet: FleetMetrics,
    /// Metrics of the shards that this daemon owns.
    pub(crate) shards: ShardMetrics,
    /// Metrics of refused submissions.
    pub(crate) admission: AdmissionMetrics,
    /// Counters of what listeners give up at their limits.
    pub(crate) pressure: Pressure,
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
        let paths = PathMetrics::default();
        paths.register(&mut registry);
        let fleet = FleetMetrics::default();
        fleet.register(&mut registry);
        let shards = ShardMetrics::default();
        shards.register(&mut registry);
        let admission = AdmissionMetrics::default();
        admission.register(&mut registry);
        let pressure = Pressure::default();
        pressure.register(&mut registry);
        Self { registry: Mutex::new(registry), latency, paths, fleet, shards, admission, pressure }
    }
}

impl Metrics {
    /// Records the latency of a request that was answered.
    pub(crate) fn observe_call(&self, call: Call, queue: &str, latency: Duration) {
        let labels = Labels { call: call.name(), queue: queue.to_owned() };
        self.latency.get_or_create(&labels).observe(latency.as_secs_f64());
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
