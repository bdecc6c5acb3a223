//! Metrics of the daemon in the OpenMetrics text format.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use crosspath_schedule::admission::Refusal;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};

/// Number of latency buckets. Their bounds double from 1 ms to about 8 s.
const BUCKET_COUNT: u16 = 14;
const FIRST_BUCKET_SECONDS: f64 = 0.001;
/// Number of buckets of the told delays. Their bounds double from 1 s to 64 s.
const DELAY_BUCKET_COUNT: u16 = 7;

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
struct RefusalLabels {
    reason: &'static str,
    customer: String,
}

/// All metrics of the daemon.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Mutex<Registry>,
    latency: Family<Labels, Histogram, fn() -> Histogram>,
    refused: Family<RefusalLabels, Counter>,
    told_delay: Histogram,
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
        let refused = Family::default();
        let help = "Submissions that were refused because of load, by reason and customer";
        registry.register("submissions_refused", help, refused.clone());
        let told_delay = Histogram::new(exponential_buckets(1.0, 2.0, DELAY_BUCKET_COUNT));
        let help = "Delay after which the caller of a refused submission was told to come back";
        registry.register_with_unit("refusal_delay", help, Unit::Seconds, told_delay.clone());
        Self { registry: Mutex::new(registry), latency, refused, told_delay }
    }
}

impl Metrics {
    /// Records the latency of a request that was answered.
    pub(crate) fn observe_call(&self, call: Call, queue: &str, latency: Duration) {
        let labels = Labels { call: call.name(), queue: queue.to_owned() };
        self.latency.get_or_create(&labels).observe(latency.as_secs_f64());
    }

    /// Records that a submission was refused because of load.
    pub(crate) fn observe_refusal(&self, customer: &str, refusal: Refusal) {
        let labels = RefusalLabels { reason: refusal.reason.name(), customer: customer.to_owned() };
        self.refused.get_or_create(&labels).inc();
        self.told_delay.observe(refusal.retry_after_ms as f64 / 1_000.0);
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
