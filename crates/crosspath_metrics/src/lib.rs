//! Metrics of the daemon, exported as OpenMetrics text.
//!
//! Labels have a bounded number of values: they are classes, outcomes, reasons and callers, and the
//! state holds a bounded number of callers.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use crosspath_http::pressure::Pressure;
use crosspath_state::job::Class;
use crosspath_state::name::CallerName;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};

const BUCKET_COUNT: u16 = 16;
const FIRST_BUCKET_SECONDS: f64 = 0.0005;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    class: &'static str,
    caller: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ResponseLabels {
    class: &'static str,
    outcome: &'static str,
    reason: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabel {
    reason: String,
}

type HistogramFamily = Family<RequestLabels, Histogram, fn() -> Histogram>;

/// All metrics of one daemon, with the registry that exports them.
#[derive(Debug)]
pub struct Metrics {
    registry: Mutex<Registry>,
    latency: HistogramFamily,
    slot_wait: HistogramFamily,
    in_flight: Family<RequestLabels, Gauge>,
    responses: Family<ResponseLabels, Counter>,
    rejections: Family<ReasonLabel, Counter>,
    retries: Counter,
    applied_revision: Gauge<u64, AtomicU64>,
    appends: Family<ReasonLabel, Counter>,
    heartbeats: Family<ReasonLabel, Counter>,
    pressure: Pressure,
}

fn new_histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_SECONDS, 2.0, BUCKET_COUNT))
}

fn histogram_family() -> HistogramFamily {
    Family::new_with_constructor(new_histogram as fn() -> Histogram)
}

impl Default for Metrics {
    fn default() -> Self {
        let metrics = Self {
            registry: Mutex::new(Registry::with_prefix("crosspath")),
            latency: histogram_family(),
            slot_wait: histogram_family(),
            in_flight: Family::default(),
            responses: Family::default(),
            rejections: Family::default(),
            retries: Counter::default(),
            applied_revision: Gauge::default(),
            appends: Family::default(),
            heartbeats: Family::default(),
            pressure: Pressure::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    /// Counters of what listeners give up at their limits.
    #[must_use]
    pub fn pressure(&self) -> &Pressure {
        &self.pressure
    }

    fn register(&self) {
        let mut registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        let seconds = || Unit::Seconds;
        let latency = "Time from a request to its final answer, by class and caller";
        registry.register_with_unit("request_latency", latency, seconds(), self.latency.clone());
        let wait = "Time that a request waited for a slot, by class and caller";
        registry.register_with_unit("request_wait", wait, seconds(), self.slot_wait.clone());
        let in_flight = "Requests in flight, by class and caller";
        registry.register("requests_in_flight", in_flight, self.in_flight.clone());
        let answers = "Final answers, by class, outcome and reason";
        registry.register("answers", answers, self.responses.clone());
        let rejected = "Requests turned away before they were read whole, by reason";
        registry.register("rejected", rejected, self.rejections.clone());
        let retries = "Attempts after the first one of a request";
        registry.register("retries", retries, self.retries.clone());
        let applied = "Offset of the last folded record";
        registry.register("applied_revision", applied, self.applied_revision.clone());
        let appends = "Appends to the log, by result";
        registry.register("log_appends", appends, self.appends.clone());
        let beats = "Heartbeats sent to peers, by result";
        registry.register("peer_beats", beats, self.heartbeats.clone());
        self.pressure.register(&mut registry);
    }

    /// Counts a request as in flight. Each call is paired with one of [`Metrics::end_request`].
    pub fn begin_request(&self, class: Class, caller: &CallerName) {
        self.in_flight.get_or_create(&request_labels(class, caller)).inc();
    }

    /// Ends a request that [`Metrics::begin_request`] counted. `latency` is the time from its
    /// arrival to its final response.
    pub fn end_request(&self, class: Class, caller: &CallerName, latency: Duration) {
        let labels = request_labels(class, caller);
        self.in_flight.get_or_create(&labels).dec();
        self.latency.get_or_create(&labels).observe(latency.as_secs_f64());
    }

    /// Records how long a request waited for a slot of a pool, whether or not it got one.
    pub fn observe_slot_wait(&self, class: Class, caller: &CallerName, wait: Duration) {
        self.slot_wait.get_or_create(&request_labels(class, caller)).observe(wait.as_secs_f64());
    }

    /// Counts a final response to a caller, by its outcome and reason.
    pub fn count_response(&self, class: Class, outcome: &'static str, reason: &'static str) {
        self.responses
            .get_or_create(&ResponseLabels { class: class.label(), outcome, reason })
            .inc();
    }

    /// Counts a request that was rejected with an error response, by reason.
    pub fn count_rejection(&self, reason: impl Into<String>) {
        self.rejections.get_or_create(&ReasonLabel { reason: reason.into() }).inc();
    }

    /// Counts a further attempt at a request.
    pub fn count_retry(&self) {
        self.retries.inc();
    }

    /// Sets the offset of the last log record that was applied to the state.
    pub fn set_applied_revision(&self, offset: u64) {
        self.applied_revision.set(offset);
    }

    /// Counts an append to the log by its result.
    pub fn count_append(&self, result: &'static str) {
        self.appends.get_or_create(&ReasonLabel { reason: result.to_owned() }).inc();
    }

    /// Counts a heartbeat to a peer by its result.
    pub fn count_heartbeat(&self, result: &'static str) {
        self.heartbeats.get_or_create(&ReasonLabel { reason: result.to_owned() }).inc();
    }

    /// Encodes all metrics as OpenMetrics text.
    #[must_use]
    pub fn render(&self) -> String {
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        let mut text = String::new();
        // Writing to a `String` cannot fail.
        let _ = encode(&mut text, &registry);
        text
    }
}

fn request_labels(class: Class, caller: &CallerName) -> RequestLabels {
    RequestLabels { class: class.label(), caller: caller.to_string() }
}
