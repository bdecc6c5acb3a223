//! Simulated worker: runs under a lease, and ends that it reports until they are acknowledged.

use std::collections::BTreeMap;
use std::time::Duration;

use crosspath_border::worker::{Ended, Entry, Outcome, PollReply, Running};
use crosspath_job::TaskId;

use super::MAX_LEASE;
use crate::common::ms;

/// Maximum number of ended runs in a reply. Small, since few tasks end at once in the simulation.
const MAX_ENDED_PER_REPLY: usize = 2;

#[derive(Debug)]
pub(super) struct Run {
    pub(super) number: u64,
    pub(super) ends_at: Duration,
}

#[derive(Debug)]
pub(super) struct Worker {
    pub(super) entry: Entry,
    /// Time at which the worker's clock showed 0.
    pub(super) clock_zero: Duration,
    /// Highest token among the messages received.
    pub(super) fencing_token: u64,
    pub(super) lease_expiry: Duration,
    pub(super) runs: BTreeMap<TaskId, Run>,
    /// Highest number of a run that ended or was stopped here, by task. Only higher ones may start.
    pub(super) refused_up_to: BTreeMap<TaskId, u64>,
    pub(super) ended: Vec<Ended>,
    pub(super) end_count: u64,
    pub(super) is_partitioned: bool,
    /// Whether the worker list has an entry of the worker.
    pub(super) is_listed: bool,
}

impl Worker {
    pub(super) fn new(entry: Entry, clock_zero: Duration) -> Self {
        Self {
            entry,
            clock_zero,
            fencing_token: 0,
            lease_expiry: Duration::ZERO,
            runs: BTreeMap::new(),
            refused_up_to: BTreeMap::new(),
            ended: Vec::new(),
            end_count: 0,
            is_partitioned: false,
            is_listed: true,
        }
    }

    pub(super) fn clock_ms(&self, now: Duration) -> u64 {
        u64::try_from(now.saturating_sub(self.clock_zero).as_millis())
            .expect("a time that fits in 64 bits")
    }

    /// Time at which a deadline on the worker's clock passes, at most [`MAX_LEASE`] from now.
    pub(super) fn expiry(&self, now: Duration, deadline_ms: u64) -> Duration {
        (self.clock_zero + ms(deadline_ms)).min(now + MAX_LEASE)
    }

    pub(super) fn end_run(&mut self, task: TaskId, outcome: Outcome) {
        let Some(run) = self.runs.remove(&task) else { return };
        self.refused_up_to.insert(task, run.number);
        self.end_count += 1;
        let number = self.end_count;
        self.ended.push(Ended { number, task, run: run.number, outcome, checkpoint: None });
    }

    pub(super) fn poll_reply(&self, now: Duration) -> PollReply {
        let running = self.runs.iter().map(|(task, run)| Running {
            task: *task,
            run: run.number,
            checkpoint: None,
            percent: 50,
            gauge: 0,
        });
        let (clock_ms, started_ms) = (self.clock_ms(now), self.entry.started_ms);
        PollReply {
            clock_ms,
            started_ms,
            running: running.collect(),
            ended: self.ended.iter().take(MAX_ENDED_PER_REPLY).cloned().collect(),
            has_more_ended: self.ended.len() >= MAX_ENDED_PER_REPLY,
        }
    }
}
