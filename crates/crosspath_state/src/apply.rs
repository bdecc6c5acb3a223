//! Application of log records: one record in, the next state out.

mod jobs;
mod members;
mod resources;
mod steps;

use snafu::{Snafu, ensure};

use crate::conflict::Conflict;
use crate::record::{Batch, Change, Entry, Revision, Writer};
use crate::state::{LastWrite, State};
use crate::time::Wall;

/// Effect of one record on the state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Applied {
    /// A batch was applied; one result for each of its changes, in order.
    Batch(Vec<Result<Revision, Conflict>>),
    /// The batch was a duplicate or came from an earlier incarnation of its writer; it was ignored.
    Dropped,
    /// A chunk of a snapshot; only the offset advanced.
    Snapshot,
}

/// The offset of a record does not follow the last applied one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("record {offset} does not follow {applied}; start from a snapshot"))]
pub struct Gap {
    applied: Revision,
    offset: Revision,
}

/// Properties of the batch that a change belongs to.
pub(crate) struct Context<'a> {
    pub(crate) offset: Revision,
    pub(crate) writer: &'a Writer,
    pub(crate) written_at: Wall,
}

impl State {
    /// Applies the record at `offset`.
    ///
    /// # Errors
    ///
    /// [`Gap`] if `offset` is not the next one; the state is then unchanged.
    pub fn apply(&mut self, offset: Revision, entry: &Entry) -> Result<Applied, Gap> {
        let applied = self.applied;
        ensure!(offset == applied.next(), GapSnafu { applied, offset });
        self.applied = offset;
        Ok(match entry {
            Entry::Batch(batch) => self.apply_batch(offset, batch),
            Entry::Snapshot(_) => Applied::Snapshot,
        })
    }

    fn apply_batch(&mut self, offset: Revision, batch: &Batch) -> Applied {
        let writer = &batch.id.writer;
        let write = LastWrite { incarnation: writer.incarnation, sequence: batch.id.sequence };
        let last = self.writers.get(&writer.daemon);
        let is_new = last.is_none_or(|last| is_newer(*last, write));
        if !is_new {
            return Applied::Dropped;
        }
        self.writers.insert(writer.daemon.clone(), write);
        let context = Context { offset, writer, written_at: batch.written_at };
        let verdicts = batch.changes.iter();
        let verdicts = verdicts.map(|change| self.apply_change(&context, change).map(|()| offset));
        Applied::Batch(verdicts.collect())
    }

    fn apply_change(&mut self, context: &Context<'_>, change: &Change) -> Result<(), Conflict> {
        match change {
            Change::Put { id, spec, expected } => self.put(context, id, spec, *expected),
            Change::Delete { id, expected } => self.delete(id, *expected),
            Change::Step { vm, step } => self.apply_step(context, vm, step),
            Change::Failure { vm, seen_at } => self.record_failure(context, vm, *seen_at),
            Change::Recovery { vm } => self.record_recovery(context, vm),
            Change::Steer { wave, phase } => self.set_wave_phase(context, wave, phase),
            Change::Job { job, action } => self.apply_job_action(context, job, action),
            Change::Member(membership) => self.apply_membership(context, membership),
        }
    }
}

fn is_newer(last: LastWrite, write: LastWrite) -> bool {
    (write.incarnation, write.sequence) > (last.incarnation, last.sequence)
}
