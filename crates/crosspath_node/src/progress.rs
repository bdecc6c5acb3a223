//! Publication of what remains in evacuated data centres, for operators, by the owner of the fleet.
//!
//! The newest record of each data centre stays in a topic of its own. It is written unconditionally:
//! nothing is decided by it, and each record tells its age and up to which position of the
//! operators' log the evacuations were known, so that a record of an earlier evacuation is not
//! taken for one of the present.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crosspath_border::evacuation::Progress;

use crate::evacuation::Evacuated;

/// Minimum time between two records of a data centre.
const MIN_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum time between two records while nothing changes, by which operators see that somebody
/// still observes.
const MAX_INTERVAL: Duration = Duration::from_secs(3);
/// Time from the request of an evacuation until it is said to be in force, if no limit is configured.
/// Daemons that reach the store have read it by then. Without a limit, one that is cut off from the
/// store may still start tasks in the data centre.
const DEFAULT_LIMIT: Duration = Duration::from_secs(5);

/// Publication by one owner of the fleet.
#[derive(Debug, Default)]
pub struct Publisher {
    /// When this owner first saw each evacuation.
    since: BTreeMap<Arc<str>, Duration>,
    /// Last published progress, with its time.
    published: BTreeMap<Arc<str>, (Duration, Progress)>,
}

impl Publisher {
    /// Progress of each evacuated data centre, to which what remains there is to be added. An
    /// evacuation is in force once this owner has known of it for `limit`: by then each daemon
    /// knows of it too, or starts nothing.
    pub fn begin(
        &mut self,
        now: Duration,
        at_ms: u64,
        evacuated: &Evacuated,
        limit: Option<Duration>,
    ) -> BTreeMap<Arc<str>, Progress> {
        self.since.retain(|name, _| evacuated.data_centres.contains(name));
        self.published.retain(|name, _| evacuated.data_centres.contains(name));
        let limit = limit.unwrap_or(DEFAULT_LIMIT);
        let progress = evacuated.data_centres.iter().map(|name| {
            let since = *self.since.entry(Arc::clone(name)).or_insert(now);
            let in_force = now >= since + limit;
            let read_to = evacuated.read_to;
            (Arc::clone(name), Progress { at_ms, read_to, in_force, ..Progress::default() })
        });
        progress.collect()
    }

    /// Whether the progress of a data centre is to be published now.
    #[must_use]
    pub fn is_due(&self, now: Duration, name: &str, progress: &Progress) -> bool {
        let Some((at, last)) = self.published.get(name) else { return true };
        let changed = Progress { at_ms: last.at_ms, ..progress.clone() } != *last;
        now >= *at + if changed { MIN_INTERVAL } else { MAX_INTERVAL }
    }

    /// Notes that the progress was published, or that this was tried.
    pub fn record(&mut self, now: Duration, name: Arc<str>, progress: Progress) {
        self.published.insert(name, (now, progress));
    }
}
