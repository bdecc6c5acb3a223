//! Division of a job's progress into records.
//!
//! The store limits the size of a record, and the progress of a job with many tasks exceeds it. The
//! progress is therefore divided into parts of consecutive tasks, and a part that grows beyond
//! [`MAX_PART_BYTES`] is divided further. The first part is in the job's progress record; each other
//! one has a record of its own, which is written only when its content changes.
//!
//! The records of one commit may be stored by several appends, of which the later ones may fail. So
//! the parts of a running job go before its progress record, and a part before the ones that begin
//! earlier: tasks that move into a record of their own are stored there before the other record
//! omits them. When the job has ended, its progress record goes first.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash as _, Hasher as _};

use crosspath_job::JobId;
use crosspath_job::progress::{Part, Progress, TaskProgress, Tasks};
use crosspath_job::record::{Record, part_key};

/// Size in bytes above which a part is divided. Far below the usual limit on records, because a
/// part is written as a whole when one of its tasks changes.
const MAX_PART_BYTES: usize = 32 * 1024;
/// Size in bytes of what a record holds beside the progress of tasks: its key, and the state of the
/// job.
const RECORD_OVERHEAD_BYTES: usize = 256;
/// Upper bound of the size of a number, or of a short row of fields with one, in bytes.
const NUMBER_BYTES: usize = 40;
/// Size of the field names of a task's progress, in bytes.
const FIELDS_BYTES: usize = 48;

/// Progress of a task, with its position among all tasks of its job.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub(crate) position: u64,
    pub(crate) key: String,
    pub(crate) progress: TaskProgress,
}

impl Entry {
    /// Upper bound of the entry's size in a record, in bytes.
    fn size(&self) -> usize {
        let TaskProgress { failed_runs, lost, runs, checkpoint, .. } = &self.progress;
        let lost: usize = lost.iter().map(|loss| NUMBER_BYTES + json_size(&loss.worker)).sum();
        let runs: usize = runs.iter().map(|(_, worker)| NUMBER_BYTES + json_size(worker)).sum();
        let checkpoint = checkpoint.as_deref().map_or(0, json_size);
        FIELDS_BYTES
            + json_size(&self.key)
            + failed_runs.len() * NUMBER_BYTES
            + lost
            + runs
            + checkpoint
    }
}

/// Size of a text as JSON, in bytes.
fn json_size(text: &str) -> usize {
    let size = |byte: u8| match byte {
        b'"' | b'\\' => 2,
        0..0x20 => 6,
        _ => 1,
    };
    2 + text.bytes().map(size).sum::<usize>()
}

fn fingerprint(entries: &[Entry]) -> u64 {
    let mut hasher = DefaultHasher::new();
    for entry in entries {
        entry.position.hash(&mut hasher);
        entry.progress.hash(&mut hasher);
    }
    hasher.finish()
}

/// Parts of a job's progress beside the first one.
#[derive(Debug, Default)]
pub(crate) struct Parts {
    /// By the position of its first task, the fingerprint of a part's content as last committed;
    /// `None` if a previous owner has written it.
    committed: BTreeMap<u64, Option<u64>>,
}

impl Parts {
    /// Adds a part that a previous owner has written.
    pub(crate) fn insert(&mut self, first: u64) {
        self.committed.insert(first, None);
    }

    /// Records that store the progress of a running job: `progress`, whose tasks are filled in, and
    /// the parts that have changed. `entries` are ordered by position.
    pub(crate) fn records(
        &mut self,
        job: JobId,
        mut progress: Progress,
        mut entries: Vec<Entry>,
        max_record_bytes: usize,
    ) -> Vec<Record> {
        let max_content = max_record_bytes.saturating_sub(RECORD_OVERHEAD_BYTES);
        for entry in &mut entries {
            drop_oversized_checkpoint(job, entry, max_content);
        }
        let max = MAX_PART_BYTES.min(max_content);
        let mut records = Vec::new();
        for first in self.committed.keys().rev().copied().collect::<Vec<_>>() {
            let part = entries.split_off(entries.partition_point(|entry| entry.position < first));
            self.divide(job, first, part, max, &mut records);
        }
        let entries = self.split_tail(job, entries, max, &mut records);
        progress.tasks = tasks(entries);
        records.push(Record::Progress(job, progress));
        records
    }

    /// Records that store the state of an ended job, which needs no parts any more.
    pub(crate) fn records_of_ended(&mut self, job: JobId, progress: Progress) -> Vec<Record> {
        let parts = std::mem::take(&mut self.committed).into_keys();
        let tombstones = parts.map(|first| Record::Tombstone(part_key(job, first)));
        [Record::Progress(job, progress)].into_iter().chain(tombstones).collect()
    }

    /// Adds the record of the part from `first` on if it has changed, and those of the parts that
    /// it is divided into.
    fn divide(
        &mut self,
        job: JobId,
        first: u64,
        entries: Vec<Entry>,
        max: usize,
        records: &mut Vec<Record>,
    ) {
        let entries = self.split_tail(job, entries, max, records);
        let content = Some(fingerprint(&entries));
        if self.committed.get(&first) != Some(&content) {
            self.committed.insert(first, content);
            records.push(Record::ProgressPart(job, first, Part { tasks: tasks(entries) }));
        }
    }

    /// Moves the second half of entries that exceed `max` into a part of its own, until the rest
    /// fits; returns the rest.
    fn split_tail(
        &mut self,
        job: JobId,
        mut entries: Vec<Entry>,
        max: usize,
        records: &mut Vec<Record>,
    ) -> Vec<Entry> {
        while entries.len() > 1 && entries.iter().map(Entry::size).sum::<usize>() > max {
            let tail = entries.split_off(entries.len() / 2);
            let first = tail[0].position;
            log::info!("event=progress_divided job={job} first={first} tasks={}", tail.len());
            self.divide(job, first, tail, max, records);
        }
        entries
    }
}

fn tasks(entries: Vec<Entry>) -> Tasks {
    entries.into_iter().map(|entry| (entry.key, entry.progress)).collect()
}

/// Leaves out a checkpoint with which the progress of one task exceeds `max`. A later owner then
/// resumes the task from its start.
fn drop_oversized_checkpoint(job: JobId, entry: &mut Entry, max: usize) {
    if entry.size() > max
        && let Some(checkpoint) = entry.progress.checkpoint.take()
    {
        log::warn!(
            "event=checkpoint_not_stored job={job} task={} bytes={} max={max}",
            entry.key,
            checkpoint.len()
        );
    }
}
