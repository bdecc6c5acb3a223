//! What is kept in the log, and when workers may forget ends.
//!
//! An end is acknowledged to its worker only after the progress that it made is kept. One commit is
//! under way at a time; what changes meanwhile goes into the next.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crosspath_job::progress::State;
use crosspath_job::record::{Record, job_keys};
use crosspath_job::{JobId, TaskId};

use crate::action::Action;
use crate::scheduler::Scheduler;

/// Changes wait this long for others, to save calls of the store. An end that awaits its
/// acknowledgement holds up the next look at its worker, so this is short.
const BATCH_DELAY: Duration = Duration::from_millis(20);
/// Starts wait for the record of their place, so a change with one does not wait for others, unless
/// the last commit is as young as this.
const MIN_INTERVAL: Duration = Duration::from_millis(20);
/// Records in one commit at most, to stay far below the store's bound on a call.
const MAX_RECORDS: usize = 400;

/// Commits under way and to come.
#[derive(Debug, Default)]
pub(crate) struct Commits {
    dirty: BTreeSet<JobId>,
    dirty_since: Duration,
    /// When the last commit was sent.
    last_sent: Duration,
    /// Runs whose places are to be kept before they are started.
    planned: Vec<(TaskId, u64)>,
    in_flight: Option<InFlight>,
    tombstones: Vec<JobId>,
    /// Jobs whose acceptance is to be written again.
    acceptances_to_rewrite: Vec<JobId>,
}

#[derive(Debug)]
struct InFlight {
    states: Vec<(JobId, State)>,
    planned: Vec<(TaskId, u64)>,
    ends: BTreeMap<Arc<str>, u64>,
}

impl Commits {
    /// Whether nothing is to be kept.
    fn is_empty(&self) -> bool {
        self.dirty.is_empty()
            && self.tombstones.is_empty()
            && self.acceptances_to_rewrite.is_empty()
    }

    /// Whether changes wait for a commit that is not under way yet.
    pub(crate) fn is_batching(&self) -> bool {
        self.in_flight.is_none() && !self.dirty.is_empty()
    }

    /// The run's place is to be kept, and the run then started.
    pub(crate) fn plan_run(&mut self, now: Duration, task: TaskId, run: u64) {
        self.mark_dirty(now, task.job);
        self.planned.push((task, run));
    }

    /// What was accepted as the job is to be written again, over what another has written.
    pub(crate) fn rewrite_acceptance(&mut self, job: JobId) {
        self.acceptances_to_rewrite.push(job);
    }

    /// Ends of a worker's life that is over are acknowledged to no later one.
    pub(crate) fn discard_ends(&mut self, worker: &str) {
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.ends.remove(worker);
        }
    }

    /// The job's progress is to be kept.
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
        let complete = self.commits.dirty.len() <= MAX_RECORDS;
        while let Some(id) = self.commits.dirty.pop_first() {
            if let Some(job) = self.jobs.get(&id) {
                records.push(Record::Progress(id, job.progress(wall_ms)));
                states.push((id, job.state));
            }
            if records.len() >= MAX_RECORDS {
                break;
            }
        }
        for id in std::mem::take(&mut self.commits.acceptances_to_rewrite) {
            let accepted = self.jobs.get(&id).map(|job| Arc::clone(&job.accepted));
            records.extend(accepted.map(|accepted| Record::Accepted(id, accepted)));
        }
        for id in std::mem::take(&mut self.commits.tombstones) {
            records.extend(job_keys(id).map(Record::Tombstone));
        }
        let in_batch = |task: &TaskId| !self.commits.dirty.contains(&task.job);
        let (planned, later) = std::mem::take(&mut self.commits.planned)
            .into_iter()
            .partition(|(task, _)| in_batch(task));
        self.commits.planned = later;
        let ends = if complete { self.unacknowledged_ends() } else { BTreeMap::new() };
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

    /// Nothing is to be kept: ends that changed nothing are acknowledged at once.
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

    /// Whether a planned run may still be started: its data centre may have been evacuated while its
    /// place was being kept.
    fn may_send_start(&self, task: TaskId, run: u64) -> bool {
        let worker = self.run(task, run).and_then(|run| self.workers.get(&run.worker));
        let evacuated = worker.is_some_and(|worker| self.is_evacuated(worker));
        self.may_act && self.may_start && !evacuated
    }

    /// Drops jobs that ended long ago.
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
            self.commits.tombstones.push(id);
        }
    }
}
