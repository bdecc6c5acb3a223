//! Metrics of submissions that are refused because of load.

use crosspath_schedule::admission::Refusal;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};

/// Number of buckets of the told delays. Their bounds double from 1 s to 64 s.
const DELAY_BUCKET_COUNT: u16 = 7;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Labels {
    reason: &'static str,
    customer: String,
}

/// Metrics of submissions that are refused because of load.
#[derive(Debug)]
pub(crate) struct AdmissionMetrics {
    refused: Family<Labels, Counter>,
    told_delay: Histogram,
}

impl Default for AdmissionMetrics {
    fn default() -> Self {
        let told_delay = Histogram::new(exponential_buckets(1.0, 2.0, DELAY_BUCKET_COUNT));
        Self { refused: Family::default(), told_delay }
    }
}

impl AdmissionMetrics {
    pub(super) fn register(&self, registry: &mut Registry) {
        let help = "Submissions that were refused because of load, by reason and customer";
        registry.register("submissions_refused", help, self.refused.clone());
        let help = "Delay after which the caller of a refused submission was told to come back";
        let told_delay = self.told_delay.clone();
        registry.register_with_unit("refusal_delay", help, Unit::Seconds, told_delay);
    }

    /// Records that a submission was refused.
    pub(crate) fn observe(&self, customer: &str, refusal: Refusal) {
        let labels = Labels { reason: refusal.reason.name(), customer: customer.to_owned() };
        self.refused.get_or_create(&labels).inc();
        self.told_delay.observe(refusal.retry_after_ms as f64 / 1_000.0);
    }
}
