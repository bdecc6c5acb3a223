//! A worker of the world: runs under a lease, ends that are listed until they are acknowledged.

use std::collections::BTreeMap;
use std::time::Duration;

use crosspath_border::worker::{Ended, Entry, Outcome, PollReply, Running};
use crosspath_job::TaskId;

use super::LONGEST_HOLD;
use crate::common::ms;

#[derive(Debug)]
pub(super) struct SimRun {
    pub(super) number: u64,
    pub(super) ends: Duration,
}

#[derive(Debug)]
pub(super) struct SimWorker {
    pub(super) entry: Entry,
    /// When its clock showed 0.
    pub(super) clock_began: Duration,
    pub(super) token: u64,
    pub(super) deadline: Duration,
    pub(super) runs: BTreeMap<TaskId, SimRun>,
    /// Highest number per task that ended or was stopped here.
    pub(super) void: BTreeMap<TaskId, u64>,
    pub(super) ended: Vec<Ended>,
    pub(super) ends: u64,
    pub(super) cut: bool,
}

impl SimWorker {
    pub(super) fn new(entry: Entry, clock_began: Duration) -> Self {
        Self {
            entry,
            clock_began,
            token: 0,
            deadline: Duration::ZERO,
            runs: BTreeMap::new(),
            void: BTreeMap::new(),
            ended: Vec::new(),
            ends: 0,
            cut: false,
        }
    }

    pub(super) fn clock_ms(&self, now: Duration) -> u64 {
        u64::try_from(now.saturating_sub(self.clock_began).as_millis()).expect("a short time")
    }

    /// When a deadline on its clock has passed; no lease is longer than the longest.
    pub(super) fn at(&self, now: Duration, deadline_ms: u64) -> Duration {
        (self.clock_began + ms(deadline_ms)).min(now + LONGEST_HOLD)
    }

    pub(super) fn end(&mut self, task: TaskId, how: Outcome) {
        let Some(run) = self.runs.remove(&task) else { return };
        self.void.insert(task, run.number);
        self.ends += 1;
        let number = self.ends;
        self.ended.push(Ended { number, task, run: run.number, outcome: how, checkpoint: None });
    }

    pub(super) fn look(&self, now: Duration) -> PollReply {
        let running = self.runs.iter().map(|(task, run)| Running {
            task: *task,
            run: run.number,
            checkpoint: None,
            percent: 50,
            gauge: 0,
        });
        let (clock_ms, born_ms) = (self.clock_ms(now), self.entry.started_ms);
        PollReply {
            clock_ms,
            started_ms: born_ms,
            running: running.collect(),
            ended: self.ended.clone(),
        }
    }
}
