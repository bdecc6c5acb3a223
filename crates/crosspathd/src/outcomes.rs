//! Verdicts of recent batches, for requests that wait for them or query them later.

use std::collections::{BTreeMap, VecDeque};

use crosspath_operator::model::Outcome;
use crosspath_state::record::{BatchId, Incarnation, Revision, Writer};
use crosspath_state::{Conflict, State};

const MAX_BATCHES: usize = 4_096;

/// One verdict for each change of a batch.
pub(crate) type Verdicts = Vec<Result<Revision, Conflict>>;

/// Verdicts by batch; the oldest are evicted. `incomplete` is set once some verdicts are missing.
#[derive(Debug, Default)]
pub(crate) struct Outcomes {
    verdicts: BTreeMap<BatchId, Verdicts>,
    order: VecDeque<BatchId>,
    incomplete: bool,
}

impl Outcomes {
    pub(crate) fn insert(&mut self, id: BatchId, verdicts: Verdicts) {
        self.order.push_back(id.clone());
        self.verdicts.insert(id, verdicts);
        if self.order.len() > MAX_BATCHES {
            self.incomplete = true;
            let oldest = self.order.pop_front();
            oldest.and_then(|oldest| self.verdicts.remove(&oldest));
        }
    }

    /// Records that the state was restored, so that the verdicts of some batches are missing.
    pub(crate) fn mark_incomplete(&mut self) {
        self.incomplete = true;
    }

    pub(crate) fn get(&self, id: &BatchId) -> Option<&Verdicts> {
        self.verdicts.get(id)
    }

    /// Outcome of the change with the id `change`, as returned by [`change_id`].
    pub(crate) fn outcome(&self, state: &State, change: &str) -> Outcome {
        let Some((id, index)) = parse_change_id(change) else {
            return Outcome::Unrecorded;
        };
        if let Some(verdicts) = self.get(&id) {
            return match verdicts.get(index) {
                Some(Ok(revision)) => Outcome::Accepted { revision: *revision },
                Some(Err(conflict)) => Outcome::Rejected { conflict: conflict.clone() },
                None => Outcome::Unrecorded,
            };
        }
        let last = state.writers.get(&id.writer.daemon);
        let last = last.map(|last| (last.incarnation, last.sequence));
        // If the batch still arrives in the log, it is dropped when it is applied.
        let fenced = last > Some((id.writer.incarnation, id.sequence));
        match (fenced, self.incomplete) {
            (true, false) => Outcome::NotAccepted,
            (true, true) => Outcome::Unrecorded,
            (false, _) => Outcome::Pending,
        }
    }
}

/// Id of one change, as returned to an operator.
pub(crate) fn change_id(id: &BatchId, index: usize) -> String {
    format!("{}.{}.{}.{index}", id.writer.daemon, id.writer.incarnation.0, id.sequence)
}

fn parse_change_id(change: &str) -> Option<(BatchId, usize)> {
    let mut parts = change.rsplitn(4, '.');
    let index = parts.next()?.parse().ok()?;
    let sequence = parts.next()?.parse().ok()?;
    let incarnation = Incarnation(parts.next()?.parse().ok()?);
    let daemon = parts.next()?.parse().ok()?;
    Some((BatchId { writer: Writer { daemon, incarnation }, sequence }, index))
}
