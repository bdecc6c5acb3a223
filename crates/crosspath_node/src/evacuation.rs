//! Evacuated data centres, which get no new work, and the age of a daemon's knowledge of them.
//!
//! The operators' log has a record for each requested evacuation, written before the request is
//! acknowledged to the operator, so evacuations survive the loss of any daemon. Each daemon follows
//! that log; a daemon that cannot read it learns of evacuations from its peers. The state with the
//! higher log position wins, whatever its source. A daemon without recent news from either cannot
//! know of the latest evacuation, and starts no tasks anywhere until it does.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crosspath_border::operator::Evacuation;
use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

/// Part of the evacuation limit that is reserved for a start that was just decided: it waits for
/// its turn at the worker, and then for the worker's answer.
const START_DELAY: Duration = Duration::from_millis(500);

/// A request names a data centre that is not configured.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display(
    "unknown data centre \"{data_centre}\"; known data centres: {}",
    known.iter().map(|name| &**name).collect::<Vec<_>>().join(", ")
))]
pub struct UnknownError {
    data_centre: Arc<str>,
    known: BTreeSet<Arc<str>>,
}

/// State of the operators' log up to a position.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuated {
    /// Data centres that get no new work.
    pub data_centres: Arc<BTreeSet<Arc<str>>>,
    /// End of the applied part of the log: the position after the last applied record.
    pub read_to: u64,
}

/// Tracks which data centres are evacuated.
#[derive(Debug, Clone, Default)]
pub struct Evacuations {
    /// Data centres that exist; empty if that is not configured, and then any name is accepted.
    known: BTreeSet<Arc<str>>,
    newest: Evacuated,
}

impl Evacuations {
    /// Starts without evacuations; `known` are the data centres that exist.
    #[must_use]
    pub fn new(known: BTreeSet<Arc<str>>) -> Self {
        Self { known, newest: Evacuated::default() }
    }

    /// State as of the highest log position that is known, from the log or from a peer.
    #[must_use]
    pub fn newest(&self) -> Evacuated {
        self.newest.clone()
    }

    /// Applies the record at position `at` of the log, unless the state is already past it.
    ///
    /// # Errors
    ///
    /// [`UnknownError`] if the data centre does not exist; the record then has no effect.
    pub fn apply(&mut self, at: u64, evacuation: &Evacuation) -> Result<(), UnknownError> {
        if at < self.newest.read_to {
            return Ok(());
        }
        self.check(evacuation)?;
        self.newest.read_to = at + 1;
        if evacuation.requested == self.newest.data_centres.contains(&evacuation.data_centre) {
            return Ok(());
        }
        let mut data_centres = BTreeSet::clone(&self.newest.data_centres);
        if evacuation.requested {
            data_centres.insert(Arc::clone(&evacuation.data_centre));
        } else {
            data_centres.remove(&evacuation.data_centre);
        }
        self.set(data_centres);
        Ok(())
    }

    /// Replaces the state by the complete `records` as of the log position `read_to`: evacuations
    /// that none of them requests end. Returns the errors of the records that are skipped.
    pub fn replace(&mut self, records: &[Evacuation], read_to: u64) -> Vec<UnknownError> {
        let mut requested = BTreeSet::new();
        let mut unknown = Vec::new();
        for evacuation in records.iter().filter(|evacuation| evacuation.requested) {
            match self.check(evacuation) {
                Ok(()) => drop(requested.insert(Arc::clone(&evacuation.data_centre))),
                Err(error) => unknown.push(error),
            }
        }
        self.merge(&Evacuated { data_centres: Arc::new(requested), read_to });
        unknown
    }

    /// Adopts the state of another daemon if its log position is higher.
    pub fn merge(&mut self, other: &Evacuated) {
        if other.read_to <= self.newest.read_to && self.newest.read_to > 0 {
            return;
        }
        self.newest.read_to = other.read_to;
        if other.data_centres != self.newest.data_centres {
            self.set(BTreeSet::clone(&other.data_centres));
        }
    }

    fn check(&self, evacuation: &Evacuation) -> Result<(), UnknownError> {
        let data_centre = &evacuation.data_centre;
        let is_known = self.known.is_empty() || self.known.contains(data_centre);
        ensure!(
            is_known,
            UnknownSnafu { data_centre: Arc::clone(data_centre), known: self.known.clone() }
        );
        Ok(())
    }

    fn set(&mut self, data_centres: BTreeSet<Arc<str>>) {
        log::info!("event=evacuated data_centres={data_centres:?} read_to={}", self.newest.read_to);
        self.newest.data_centres = Arc::new(data_centres);
    }
}

/// Whether a task start may be decided at `now`, given when the state was last `confirmed_at` and
/// the `limit` within which an evacuation must take effect. False if the state was never confirmed.
#[must_use]
pub fn may_start(confirmed_at: Option<Duration>, now: Duration, limit: Duration) -> bool {
    confirmed_at.is_some_and(|confirmed_at| now + START_DELAY <= confirmed_at + limit)
}
