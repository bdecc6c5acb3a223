//! Workers under a load of jobs, in virtual time: each task runs for a given time and then ends
//! successfully.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crosspath_border::worker::{Ended, Outcome};
use crosspath_job::progress::State;
use crosspath_job::record::Accepted;
use crosspath_job::{JobId, TaskId};
use crosspath_schedule::Event;
use crosspath_schedule::admission::Verdict;

use crate::common::{Harness, Order, WALL_MS, ended, ms, running};

/// Simulated time between two polls of each worker.
const STEP: Duration = Duration::from_millis(10);

/// Job that was sent.
#[derive(Debug)]
pub(crate) struct Sent {
    pub(crate) accepted: Arc<Accepted>,
    pub(crate) at: Duration,
    /// Actual duration of each step's tasks.
    pub(crate) durations: Vec<Duration>,
    /// Time from acceptance to the end; `None` while the job has not ended.
    pub(crate) took: Option<Duration>,
}

#[derive(Debug, Default)]
struct Worker {
    running: BTreeMap<TaskId, (u64, Duration)>,
    ends: u64,
}

/// Workers, and the jobs that were sent to them.
#[derive(Debug)]
pub(crate) struct Load {
    pub(crate) harness: Harness,
    started_at: Duration,
    workers: BTreeMap<Arc<str>, Worker>,
    pub(crate) jobs: BTreeMap<JobId, Sent>,
    unfinished: BTreeSet<JobId>,
    /// Refused jobs by the time at which they return.
    returning: BTreeSet<(Duration, JobId)>,
    /// Jobs that were refused.
    pub(crate) refused: BTreeSet<JobId>,
    last_id: u64,
}

impl Load {
    pub(crate) fn new(harness: Harness, workers: &[&str]) -> Self {
        let started_at = harness.now;
        let workers = workers.iter().map(|id| (Arc::from(*id), Worker::default())).collect();
        Self {
            harness,
            started_at,
            workers,
            jobs: BTreeMap::new(),
            unfinished: BTreeSet::new(),
            returning: BTreeSet::new(),
            refused: BTreeSet::new(),
            last_id: 0,
        }
    }

    pub(crate) fn elapsed_ms(&self) -> u64 {
        let elapsed = self.harness.now - self.started_at;
        u64::try_from(elapsed.as_millis()).expect("a time that fits in 64 bits")
    }

    /// Number of tasks that run.
    pub(crate) fn running(&self) -> usize {
        self.workers.values().map(|worker| worker.running.len()).sum()
    }

    /// Number of jobs that have not ended.
    pub(crate) fn unfinished(&self) -> usize {
        self.unfinished.len()
    }

    /// Leaves out the next identifier.
    pub(crate) fn skip_id(&mut self) {
        self.last_id += 1;
    }

    /// Submits a job whose tasks take `durations`, by step. If it is refused, it returns when it is
    /// told to.
    pub(crate) fn send(&mut self, accepted: Accepted, durations: Vec<Duration>) -> JobId {
        self.send_aged(accepted, durations, 0)
    }

    /// Submits a job that was accepted `age_ms` ago.
    pub(crate) fn send_aged(
        &mut self,
        mut accepted: Accepted,
        durations: Vec<Duration>,
        age_ms: u64,
    ) -> JobId {
        self.last_id += 1;
        let id = JobId(self.last_id);
        accepted.at_ms = WALL_MS + self.elapsed_ms() - age_ms;
        let accepted = Arc::new(accepted);
        let at = self.harness.now;
        let sent = Sent { accepted: Arc::clone(&accepted), at, durations, took: None };
        self.jobs.insert(id, sent);
        self.submit(id);
        id
    }

    fn submit(&mut self, id: JobId) {
        let now = self.harness.now;
        let accepted = Arc::clone(&self.jobs[&id].accepted);
        match self.harness.scheduler.admit(now, id, &accepted) {
            Verdict::Admit => {
                self.unfinished.insert(id);
                self.harness.send(Event::Accepted(id, accepted));
            }
            Verdict::Refuse(refusal) => {
                self.returning.insert((now + ms(refusal.retry_after_ms), id));
                assert!(self.refused.insert(id), "{id} was refused although it came back as told");
            }
        }
    }

    fn submit_returning(&mut self) {
        while let Some((at, id)) = self.returning.first().copied()
            && at <= self.harness.now
        {
            self.returning.pop_first();
            let at_ms = WALL_MS + self.elapsed_ms();
            let sent = self.jobs.get_mut(&id).expect("a job that was sent");
            sent.accepted = Arc::new(Accepted { at_ms, ..(*sent.accepted).clone() });
            self.submit(id);
        }
    }

    /// Lets the longest-running task of the first worker end at the next step.
    pub(crate) fn end_one_task(&mut self) {
        let worker = self.workers.values_mut().next().expect("a worker");
        let oldest = worker.running.values_mut().min_by_key(|(_, since)| *since);
        oldest.expect("a running task").1 = Duration::ZERO;
    }

    /// Lets the time pass after which a job that was just sent is considered.
    pub(crate) fn let_plan(&mut self) {
        for _ in 0..3 {
            self.step();
        }
    }

    /// Lets some time pass: tasks end, each worker is polled, and ordered tasks are started.
    pub(crate) fn step(&mut self) {
        self.harness.now += STEP;
        self.submit_returning();
        let ids: Vec<_> = self.workers.keys().cloned().collect();
        for id in ids {
            self.poll(&id);
        }
        self.harness.advance(ms(1));
        for order in self.harness.take_starts() {
            self.start(&order);
        }
        let (now, scheduler, jobs) = (self.harness.now, &self.harness.scheduler, &mut self.jobs);
        self.unfinished.retain(|id| {
            let completed = scheduler.state(*id) == Some(State::Completed);
            if let Some(sent) = jobs.get_mut(id).filter(|_| completed) {
                sent.took = Some(now - sent.at);
            }
            !completed
        });
    }

    fn poll(&mut self, id: &Arc<str>) {
        let now = self.harness.now;
        let worker = self.workers.get_mut(id).expect("a worker of this load");
        let jobs = &self.jobs;
        let is_over = |task: &TaskId, since: Duration| {
            now >= since + jobs[&task.job].durations[task.step as usize]
        };
        let finished: Vec<_> = worker
            .running
            .iter()
            .filter(|(task, (_, since))| is_over(task, *since))
            .map(|(task, (run, _))| (*task, *run))
            .collect();
        let mut ends: Vec<Ended> = Vec::new();
        for (task, run) in finished {
            worker.running.remove(&task);
            worker.ends += 1;
            ends.push(ended(worker.ends, task, run, Outcome::Done));
        }
        let rows = worker.running.iter().map(|(task, (run, _))| running(*task, *run)).collect();
        self.harness.polled(id, rows, ends);
    }

    fn start(&mut self, order: &Order) {
        self.harness.started(order);
        let worker = self.workers.get_mut(&order.worker).expect("a worker of this load");
        worker.running.insert(order.task, (order.run, self.harness.now));
    }
}
