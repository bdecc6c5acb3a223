//! Data centres that are to get no new work, and how old the knowledge of them may be.
//!
//! The operators' log holds a record for each data centre that is to be evacuated, from the moment at which the
//! operators are told that it is; so it outlives every daemon. Each daemon follows that log, and one
//! that the store does not tell is told by others. What was read up to the later place in the log counts, by
//! whichever way it came. A daemon that has heard from nobody for long cannot know of the newest evacuation,
//! and starts nothing anywhere until it does.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crosspath_border::operator::Evacuation;
use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

/// Left of the time in which an evacuation has to be in force, for a start that was just decided: it waits for
/// its turn at the worker, and then for the worker.
const START_DELAY: Duration = Duration::from_millis(500);

/// A record that names a data centre that there is not.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display(
    "there is no data centre \"{data_centre}\"; there are {}",
    known.iter().map(|name| &**name).collect::<Vec<_>>().join(", ")
))]
pub struct UnknownError {
    data_centre: Arc<str>,
    known: BTreeSet<Arc<str>>,
}

/// What the operators' log says up to a place.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuated {
    /// Data centres that are to get no new work.
    pub data_centres: Arc<BTreeSet<Arc<str>>>,
    /// Place in the log up to which that is said.
    pub read_to: u64,
}

/// Follows what is evacuated.
#[derive(Debug, Clone, Default)]
pub struct Evacuations {
    /// Data centres that there are; empty where that is not known.
    known: BTreeSet<Arc<str>>,
    newest: Evacuated,
}

impl Evacuations {
    /// Nothing is evacuated of the data centres that there are.
    #[must_use]
    pub fn new(known: BTreeSet<Arc<str>>) -> Self {
        Self { known, newest: Evacuated::default() }
    }

    /// The newest that is known.
    #[must_use]
    pub fn newest(&self) -> Evacuated {
        self.newest.clone()
    }

    /// Takes in a record that stands `at` a place in the log, unless more of the log is known already.
    ///
    /// # Errors
    ///
    /// [`UnknownError`]; nothing is kept of such a record.
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

    /// Takes in all records that there are, as of the place `read_to`: what none of them asks for is taken back.
    /// Gives the errors of the records that are left out.
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

    /// Takes in what another daemon knows, if that is more.
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

/// Whether a start may be decided at `now` by what was last `heard`, where an evacuation has to be in force
/// `within` some time. Nothing may be where nothing was heard yet.
#[must_use]
pub fn may_start(confirmed_at: Option<Duration>, now: Duration, limit: Duration) -> bool {
    confirmed_at.is_some_and(|confirmed_at| now + START_DELAY <= confirmed_at + limit)
}
