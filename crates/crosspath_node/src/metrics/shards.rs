//! Metrics of the shards that the daemon owns.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Labels {
    /// Pool slice of the shard.
    unit: String,
}

/// Metrics of the shards that the daemon owns.
#[derive(Debug, Default)]
pub(crate) struct ShardMetrics {
    cold_workers: Gauge,
    deferred_jobs: Family<Labels, Gauge>,
}

impl ShardMetrics {
    pub(super) fn register(&self, registry: &mut Registry) {
        let help = "Listed workers of this daemon's shards that are warming up";
        registry.register("cold_workers", help, self.cold_workers.clone());
        let help = "Jobs that wait so that others end in time, by pool slice";
        registry.register("jobs_deferred", help, self.deferred_jobs.clone());
    }

    /// Sets the number of workers of this daemon's shards that are warming up.
    pub(crate) fn set_cold_workers(&self, workers: usize) {
        self.cold_workers.set(i64::try_from(workers).unwrap_or(i64::MAX));
    }

    /// Sets the number of jobs that the owner of a pool slice defers.
    pub(crate) fn set_deferred_jobs(&self, unit: &str, jobs: usize) {
        let labels = Labels { unit: unit.to_owned() };
        let jobs = i64::try_from(jobs).unwrap_or(i64::MAX);
        self.deferred_jobs.get_or_create(&labels).set(jobs);
    }
}
