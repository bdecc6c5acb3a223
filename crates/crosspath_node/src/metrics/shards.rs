//! Metrics of the shards that the daemon owns.

use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Metrics of the shards that the daemon owns.
#[derive(Debug, Default)]
pub(crate) struct ShardMetrics {
    cold_workers: Gauge,
}

impl ShardMetrics {
    pub(super) fn register(&self, registry: &mut Registry) {
        let help = "Listed workers of this daemon's shards that are warming up";
        registry.register("cold_workers", help, self.cold_workers.clone());
    }

    /// Sets the number of workers of this daemon's shards that are warming up.
    pub(crate) fn set_cold_workers(&self, workers: usize) {
        self.cold_workers.set(i64::try_from(workers).unwrap_or(i64::MAX));
    }
}
