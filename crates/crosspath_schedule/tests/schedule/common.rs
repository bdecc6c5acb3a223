//! Test harness: a scheduler with a simulated clock, and helpers to build and send its events.

use std::sync::Arc;
use std::time::Duration;

use crosspath_border::worker::{Ended, Entry, Outcome, PollReply, Running, Started};
use crosspath_job::record::{Accepted, Policy, Record, Requester};
use crosspath_job::spec::{Resources, Spec, Step};
use crosspath_job::{JobId, TaskId};
use crosspath_schedule::admission::Rules;
use crosspath_schedule::lease::Terms;
use crosspath_schedule::{Action, Event, Scheduler, Settings};

pub(crate) const JOB: JobId = JobId(0x0123_4567_89ab_cdef);
pub(crate) const WALL_MS: u64 = 1_700_000_000_000;

pub(crate) fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub(crate) fn settings() -> Settings {
    let terms = Terms { extension: ms(5_000), initial: ms(2_000), clock_slack: 0.04 };
    Settings {
        shard: 0,
        terms,
        max_record_bytes: 256 * 1024,
        ended_job_retention: ms(120_000),
        membership_ttl: ms(1_200),
        spread: false,
        prefer_feasible: false,
        admission: Rules::default(),
    }
}

pub(crate) fn step(tasks: u32, cores: u64) -> Step {
    let resources = Resources { cpu_millis: cores * 1_000, mem_mb: 100, gpus: 0 };
    Step { tasks, resources, estimate_ms: 800, ..Step::default() }
}

pub(crate) fn accepted(steps: Vec<Step>) -> Arc<Accepted> {
    let policy = Policy { priority: 0, max_attempts: 3, stretch: 1.6, target_ms: 600 };
    let spec = Spec { text: "text".into(), steps, repeat: None };
    Arc::new(Accepted {
        queue: "counter".into(),
        customer: None,
        pool: "counter".into(),
        policy,
        advice: None,
        config_version: 0,
        at_ms: WALL_MS,
        spec,
    })
}

/// Requester of a queue that needs no key.
pub(crate) fn anonymous() -> Requester {
    Requester::default()
}

pub(crate) fn entry(id: &str) -> Entry {
    Entry {
        id: id.into(),
        pool: "counter".into(),
        vm: format!("vm-{id}").into(),
        data_centre: "a".into(),
        address: "127.0.0.1:9".parse().expect("an address"),
        draining: false,
        remaining_ms: 0,
        capacity: Resources { cpu_millis: 32_000, mem_mb: 128_000, gpus: 0 },
        labels: vec!["a".into(), "r1".into()],
        clock_ms: 1_000,
        started_ms: 0,
        warm_up_ms: 0,
    }
}

pub(crate) fn task(step: u32, index: u32) -> TaskId {
    TaskId { job: JOB, occurrence: 0, step, index }
}

pub(crate) fn running(task: TaskId, run: u64) -> Running {
    Running { task, run, checkpoint: None, percent: 100, gauge: 0 }
}

pub(crate) fn ended(number: u64, task: TaskId, run: u64, outcome: Outcome) -> Ended {
    Ended { number, task, run, outcome, checkpoint: None }
}

/// Start or stop that the scheduler has ordered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Order {
    pub(crate) worker: Arc<str>,
    pub(crate) task: TaskId,
    pub(crate) run: u64,
}

/// Scheduler with a simulated clock, and the actions that it has returned.
#[derive(Debug)]
pub(crate) struct Harness {
    pub(crate) scheduler: Scheduler,
    pub(crate) now: Duration,
    pub(crate) actions: Vec<Action>,
    /// Whether commits are confirmed as durable at once.
    pub(crate) auto_commit: bool,
}

impl Harness {
    pub(crate) fn new(epoch: u64) -> Self {
        Self::claimed_at(epoch, ms(10_000))
    }

    /// Owner that claimed the shard at `now`.
    pub(crate) fn claimed_at(epoch: u64, now: Duration) -> Self {
        let scheduler = Scheduler::new(settings(), epoch, now);
        Self { scheduler, now, actions: Vec::new(), auto_commit: true }
    }

    /// First owner of the shard, with these settings and no workers.
    pub(crate) fn with_settings(settings: Settings) -> Self {
        let mut harness = Self::with_settings_in(settings, 1);
        harness.take_over(Vec::new(), &[]);
        harness
    }

    /// Owner that refuses submissions by these rules.
    pub(crate) fn with_rules(rules: Rules) -> Self {
        Self::with_settings_in(Settings { admission: rules, ..settings() }, 1)
    }

    /// Owner with these settings that has claimed the shard and not read its log.
    pub(crate) fn with_settings_in(settings: Settings, epoch: u64) -> Self {
        let now = ms(10_000);
        let scheduler = Scheduler::new(settings, epoch, now);
        Self { scheduler, now, actions: Vec::new(), auto_commit: true }
    }

    /// First owner of the shard, with these workers, all of which have answered a poll.
    pub(crate) fn with_workers(ids: &[&str]) -> Self {
        let mut harness = Self::new(1);
        harness.take_over(Vec::new(), ids);
        for id in ids {
            harness.polled(id, Vec::new(), Vec::new());
        }
        harness
    }

    pub(crate) fn take_over(&mut self, records: Vec<Record>, workers: &[&str]) {
        let entries = workers.iter().map(|id| entry(id)).collect();
        self.scheduler.take_over(self.now, WALL_MS, records, entries);
        self.decide();
    }

    pub(crate) fn send(&mut self, event: Event) {
        self.scheduler.handle(self.now, WALL_MS, event);
        self.decide();
    }

    /// Lets the scheduler decide and collects its actions; with `auto_commit`, confirms its
    /// commits.
    pub(crate) fn decide(&mut self) {
        loop {
            let actions = self.scheduler.decide(self.now, WALL_MS);
            let commits = actions.iter().any(|action| matches!(action, Action::Commit { .. }));
            self.actions.extend(actions);
            if !commits || !self.auto_commit {
                return;
            }
            self.scheduler.handle(self.now, WALL_MS, Event::Committed);
        }
    }

    pub(crate) fn advance(&mut self, time: Duration) {
        self.now += time;
        self.send(Event::Tick);
    }

    pub(crate) fn submit(&mut self, steps: Vec<Step>) {
        self.send(Event::Accepted(JOB, accepted(steps)));
    }

    pub(crate) fn polled(&mut self, worker: &str, running: Vec<Running>, ended: Vec<Ended>) {
        let sent = self.now;
        self.now += ms(1);
        let reply = PollReply { running, ended, ..PollReply::default() };
        self.send(Event::Polled { worker: worker.into(), sent, extended: true, reply });
    }

    pub(crate) fn started(&mut self, order: &Order) {
        self.now += ms(1);
        self.send(Event::StartAnswered {
            worker: Arc::clone(&order.worker),
            task: order.task,
            run: order.run,
            answer: Ok(Started::Yes),
        });
    }

    /// Removes and returns the starts ordered since the last call.
    pub(crate) fn take_starts(&mut self) -> Vec<Order> {
        let mut found = Vec::new();
        self.actions.retain(|action| match action {
            Action::Start { worker, task, run, .. } => {
                found.push(Order { worker: Arc::clone(&worker.id), task: *task, run: *run });
                false
            }
            _ => true,
        });
        found
    }

    /// Removes and returns the stops ordered since the last call.
    pub(crate) fn take_stops(&mut self) -> Vec<Order> {
        let mut found = Vec::new();
        self.actions.retain(|action| match action {
            Action::Stop { worker, task, run } => {
                found.push(Order { worker: Arc::clone(&worker.id), task: *task, run: *run });
                false
            }
            _ => true,
        });
        found
    }
}

/// Newest record of each key among the commits in `actions`.
pub(crate) fn committed_records(actions: &[Action]) -> Vec<Record> {
    let mut newest = std::collections::BTreeMap::new();
    for action in actions {
        if let Action::Commit { records } = action {
            newest.extend(records.iter().map(|record| (record.key(), record.clone())));
        }
    }
    newest.into_values().collect()
}
