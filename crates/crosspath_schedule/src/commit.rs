//! Commits to the log, and acknowledgement of ended runs to workers.
//!
//! An ended run is acknowledged to its worker only after the progress that it caused is durable. At
//! most one commit is in flight; later changes go into the next one.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crosspath_job::progress::State;
use crosspath_job::record::{Record, job_keys};
use crosspath_job::{JobId, TaskId};

use crate::action::Action;
use crate::scheduler::Scheduler;

/// Time for which a change waits for others to be committed with it, to save calls of the store.
/// Short, because the next poll of a worker is delayed while an ended run is unacknowledged.
const BATCH_DELAY: Duration = Duration::from_millis(20);
/// Minimum time between commits that skip [`BATCH_DELAY`] because of a planned run: its start waits
/// until its placement is durable.
const MIN_INTERVAL: Duration = Duration::from_millis(20);
/// Number of progress records from which no further job is added to a commit, so that a commit takes
/// few appends.
const MAX_RECORDS: usize = 400;

/// Pending changes, and the commit in flight.
#[derive(Debug, Default)]
pub(crate) struct Commits {
    /// Jobs whose progress has changed since their last commit.
    dirty: BTreeSet<JobId>,
    /// When the first of the pending changes was made.
    dirty_since: Duration,
    /// When the last commit was sent.
    last_sent: Duration,
    /// Runs that are to be started once their placement is durable.
    planned: Vec<(TaskId, u64)>,
    in_flight: Option<InFlight>,
    /// Keys of records that are to be deleted.
    keys_to_delete: Vec<String>,
    /// Records that are to be written again.
    records_to_rewrite: Vec<Record>,
}

/// Content of the commit in flight, for use when it is durable.
#[derive(Debug)]
struct InFlight {
    /// Job states that the commit makes durable.
    states: Vec<(JobId, State)>,
    /// Runs that the commit records, to be started afterwards.
    planned: Vec<(TaskId, u64)>,
    /// By worker, the sequence number up to which ended runs are then acknowledged.
    ends: BTreeMap<Arc<str>, u64>,
}

impl Commits {
    /// Whether there is nothing to commit.
    fn is_empty(&self) -> bool {
        self.dirty.is_empty()
            && self.keys_to_delete.is_empty()
            && self.records_to_rewrite.is_empty()
    }

    /// Whether progress waits to be committed and no commit is in flight.
    pub(crate) fn is_batching(&self) -> bool {
        self.in_flight.is_none() && !self.dirty.is_empty()
    }

    /// Commits the placement of a run, and has the run started afterwards.
    pub(crate) fn plan_run(&mut self, now: Duration, task: TaskId, run: u64) {
        self.mark_dirty(now, task.job);
        self.planned.push((task, run));
    }

    /// Writes a record again, because another writer has overwritten it.
    pub(crate) fn rewrite(&mut self, record: Record) {
        self.records_to_rewrite.push(record);
    }

    /// Discards the acknowledgements planned for a worker whose incarnation has ended: they must
    /// not reach a later incarnation, which numbers its reports from 1 again.
    pub(crate) fn discard_ends(&mut self, worker: &str) {
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.ends.remove(worker);
        }
    }

    /// Deletes the record with this key.
    pub(crate) fn delete(&mut self, key: String) {
        self.keys_to_delete.push(key);
    }

    /// Notes that the progress of a job has changed and must be committed.
    pub(crate) fn mark_dirty(&mut self, now: Duration, job: JobId) {
        if self.dirty.is_empty() {
            self.dirty_since = now;
        }
        self.dirty.insert(job);
    }
}

impl Scheduler {
    pub(crate) fn commit(&mut self, now: Duration, wall_ms: u64) {
        if self.commits.in_flight.is_some() {
            return;
        }
        if self.commits.is_empty() {
            return self.acknowledge_all();
        }
        let batching =
            !self.commits.dirty.is_empty() && now < self.commits.dirty_since + BATCH_DELAY;
        let urgent =
            !self.commits.planned.is_empty() && now >= self.commits.last_sent + MIN_INTERVAL;
        if batching && !urgent {
            return;
        }
        let mut records = Vec::new();
        let mut states = Vec::new();
        while let Some(id) = self.commits.dirty.pop_first() {
            if let Some(job) = self.jobs.get_mut(&id) {
                records.extend(job.progress_records(wall_ms, self.settings.max_record_bytes));
                states.push((id, job.state));
            }
            if records.len() >= MAX_RECORDS {
                break;
            }
        }
        let keys_to_delete = std::mem::take(&mut self.commits.keys_to_delete);
        records.extend(keys_to_delete.into_iter().map(Record::Tombstone));
        // A record that is written again may have been deleted just before.
        records.append(&mut self.commits.records_to_rewrite);
        let in_batch = |task: &TaskId| !self.commits.dirty.contains(&task.job);
        let (planned, later) = std::mem::take(&mut self.commits.planned)
            .into_iter()
            .partition(|(task, _)| in_batch(task));
        self.commits.planned = later;
        let is_complete = self.commits.dirty.is_empty();
        let ends = if is_complete { self.unacknowledged_ends() } else { BTreeMap::new() };
        self.commits.dirty_since = now;
        self.commits.last_sent = now;
        self.commits.in_flight = Some(InFlight { states, planned, ends });
        self.actions.push(Action::Commit { records });
    }

    fn unacknowledged_ends(&self) -> BTreeMap<Arc<str>, u64> {
        let unacknowledged = self.workers.iter();
        let unacknowledged =
            unacknowledged.filter(|(_, worker)| worker.ends_seen > worker.ends_acknowledged);
        unacknowledged.map(|(id, worker)| (Arc::clone(id), worker.ends_seen)).collect()
    }

    /// Acknowledges all ended runs at once. Called only while there is nothing to commit: all
    /// progress that the ended runs have caused is then durable.
    fn acknowledge_all(&mut self) {
        for (id, number) in self.unacknowledged_ends() {
            self.acknowledge(&id, number);
        }
    }

    fn acknowledge(&mut self, id: &Arc<str>, number: u64) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.ends_acknowledged = worker.ends_acknowledged.max(number);
        self.actions.push(Action::Acknowledge { worker: Arc::clone(id), number });
    }

    pub(crate) fn committed(&mut self, now: Duration) {
        let Some(InFlight { states, planned, ends }) = self.commits.in_flight.take() else {
            return;
        };
        for (task, run) in planned {
            if self.may_send_start(task, run) {
                self.send_start(now, task, run);
            } else {
                self.drop_planned(now, task, run);
            }
        }
        for (id, state) in states {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.durable_state = state;
            }
        }
        for (id, number) in ends {
            self.acknowledge(&id, number);
        }
    }

    /// Whether a planned run may still be started: its data centre may have been evacuated while
    /// its placement was being committed.
    fn may_send_start(&self, task: TaskId, run: u64) -> bool {
        let worker = self.run(task, run).and_then(|run| self.workers.get(&run.worker));
        let evacuated = worker.is_some_and(|worker| self.is_evacuated(worker));
        self.may_act && self.may_start && !evacuated
    }

    /// Removes jobs that ended longer ago than the retention time, and deletes their records.
    pub(crate) fn remove_ended_jobs(&mut self, now: Duration) {
        let keep = self.settings.ended_job_retention;
        let expired = |job: &&crate::job::Job| {
            job.durable_state.is_terminal()
                && now > job.ended + keep
                && job.active_runs().is_empty()
        };
        let expired: Vec<_> = self.jobs.values().filter(expired).map(|job| job.id).collect();
        for id in expired {
            self.jobs.remove(&id);
            self.commits.keys_to_delete.extend(job_keys(id));
        }
    }
}
