//! Metrics of the paths to other data centres.

use crosspath_path::link::State;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct LinkLabels {
    state: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RelayLabels {
    outcome: &'static str,
}

/// Metrics of the paths to other data centres.
#[derive(Debug, Clone, Default)]
pub struct PathMetrics {
    links: Family<LinkLabels, Gauge>,
    relayed: Family<RelayLabels, Counter>,
}

impl PathMetrics {
    /// Sets the number of links in a state.
    pub fn set_links(&self, state: State, count: usize) {
        let labels = LinkLabels { state: state.name() };
        self.links.get_or_create(&labels).set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Counts an attempt of a call by a relay.
    pub fn count_relayed(&self, outcome: &'static str) {
        self.relayed.get_or_create(&RelayLabels { outcome }).inc();
    }

    pub(super) fn register(&self, registry: &mut Registry) {
        let help = "Links to other data centres, by state";
        registry.register("links", help, self.links.clone());
        let help = "Attempts of calls by a relay, by outcome";
        registry.register("relayed_calls", help, self.relayed.clone());
    }
}
