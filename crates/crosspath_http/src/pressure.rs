//! Counts and logs what a server gives up because its limits are reached.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

/// Minimum interval between two log lines, since a crowd of clients causes thousands of events.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What was given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reason {
    /// An incomplete body, since the budget for bodies was exhausted.
    BodyGivenUp,
    /// A request that needed more than what remained of the budget.
    RequestRefused,
    /// A connection without a complete request, since a new one came at the limit.
    ConnectionClosed,
    /// A new connection, since requests were in progress on all others.
    ConnectionRefused,
}

impl Reason {
    fn name(self) -> &'static str {
        match self {
            Self::BodyGivenUp => "body_given_up",
            Self::RequestRefused => "request_refused",
            Self::ConnectionClosed => "connection_closed",
            Self::ConnectionRefused => "connection_refused",
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Labels {
    reason: &'static str,
}

/// Counters of a process. Clones share them.
#[derive(Debug, Clone, Default)]
pub struct Pressure {
    counts: Family<Labels, Counter>,
    logged_at: Arc<Mutex<Option<Instant>>>,
}

impl Pressure {
    /// Adds the counters to a registry.
    pub fn register(&self, registry: &mut Registry) {
        let help = "Bodies, requests and connections that were given up at a limit, by reason";
        registry.register("given_up", help, self.counts.clone());
    }

    /// Counts an event, and logs it unless another one was logged shortly before.
    pub(crate) fn count(&self, reason: Reason) {
        let reason = reason.name();
        let total = self.counts.get_or_create(&Labels { reason }).inc() + 1;
        let now = Instant::now();
        let mut logged_at = self.logged_at.lock().unwrap_or_else(PoisonError::into_inner);
        if logged_at.is_some_and(|at| now.duration_since(at) < LOG_INTERVAL) {
            return;
        }
        *logged_at = Some(now);
        log::warn!("event=given_up_at_limit reason={reason} total={total}");
    }
}
