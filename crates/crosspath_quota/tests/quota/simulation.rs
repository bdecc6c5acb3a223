//! Simulation of shards and ledgers whose messages are lost, delayed, duplicated and reordered.
//!
//! Checked at each start of a task: the customer's running tasks over all shards exceed the highest
//! maximum that may be in force anywhere by at most one task. Grants of an earlier ledger arrive
//! late, and shards send requests to it after the next one has started.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crosspath_job::spec::Resources;
use crosspath_quota::{Allowance, Grant, Ledger, Limits, Request, Usage};
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

const SHARDS: u32 = 4;
const STEP: Duration = Duration::from_millis(10);
/// Time after which a change of the maximum has reached every shard and ledger.
const PROPAGATION_LIMIT: Duration = Duration::from_millis(300);
const CUSTOMER: &str = "water";
const LARGEST_TASK: u64 = 9;

/// Probability of each fault per step, in thousandths, and the longest message delay.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Faults {
    pub(crate) new_ledger: u32,
    pub(crate) new_owner: u32,
    pub(crate) lost: u32,
    pub(crate) duplicated: u32,
    pub(crate) new_limit: u32,
    pub(crate) max_delay_ms: u64,
}

#[derive(Debug)]
struct Shard {
    epoch: u64,
    allowance: Allowance,
    limit: u64,
    /// Cores of the running tasks, which a new owner finds in the log.
    running: Vec<u64>,
    /// Cores of the waiting tasks, in order of arrival.
    waiting: Vec<u64>,
}

#[derive(Debug, Clone)]
enum Message {
    Request(usize, Request),
    Grant(u32, u64, Grant),
}

#[derive(Debug)]
pub(crate) struct Simulation {
    rng: StdRng,
    faults: Faults,
    now: Duration,
    shards: Vec<Shard>,
    /// All ledgers so far, each with the maximum that it knows. Only the last one answers.
    ledgers: Vec<(Ledger, u64)>,
    messages: Vec<(Duration, Message)>,
    /// All maxima so far, each with the time at which it was set.
    maxima: Vec<(Duration, u64)>,
    pub(crate) starts: u64,
}

fn limits(cores: u64) -> Limits {
    let resources = Resources { cpu_millis: cores, ..Resources::UNLIMITED };
    [(Arc::from(CUSTOMER), resources)].into()
}

fn cores(cores: u64) -> Resources {
    Resources { cpu_millis: cores, mem_mb: 0, gpus: 0 }
}

impl Simulation {
    pub(crate) fn new(seed: u64, faults: Faults) -> Self {
        let shard = |number| Shard {
            epoch: 1,
            allowance: Allowance::new(number, 1),
            limit: 40,
            running: Vec::new(),
            waiting: Vec::new(),
        };
        Self {
            rng: StdRng::seed_from_u64(seed),
            faults,
            now: Duration::from_secs(1),
            shards: (0..SHARDS).map(shard).collect(),
            ledgers: vec![(Ledger::new(1), 40)],
            messages: Vec::new(),
            maxima: vec![(Duration::ZERO, 40)],
            starts: 0,
        }
    }

    fn chance(&mut self, thousandths: u32) -> bool {
        self.rng.random_range(0..1_000) < thousandths
    }

    /// Injects no further faults; the simulation must then reach a stable state.
    pub(crate) fn stop_faults(&mut self) {
        self.faults = Faults {
            new_ledger: 0,
            new_owner: 0,
            lost: 0,
            duplicated: 0,
            new_limit: 0,
            ..self.faults
        };
    }

    pub(crate) fn waiting_tasks(&self) -> usize {
        self.shards.iter().map(|shard| shard.waiting.len()).sum()
    }

    pub(crate) fn step(&mut self, arrivals: u32) {
        self.now += STEP;
        self.inject_faults();
        self.propagate_maximum();
        self.deliver();
        for number in 0..self.shards.len() {
            if self.chance(arrivals) {
                let task = self.rng.random_range(1..=LARGEST_TASK);
                self.shards[number].waiting.push(task);
            }
            if self.chance(100) && !self.shards[number].running.is_empty() {
                let at = self.rng.random_range(0..self.shards[number].running.len());
                self.shards[number].running.swap_remove(at);
            }
            self.run_shard(number);
        }
    }

    fn inject_faults(&mut self) {
        if self.chance(self.faults.new_ledger) {
            let term = self.ledgers.len() as u64 + 1;
            self.ledgers.push((Ledger::new(term), self.newest_maximum()));
        }
        if self.chance(self.faults.new_owner) {
            let at = self.rng.random_range(0..self.shards.len());
            let shard = &mut self.shards[at];
            shard.epoch += 1;
            shard.allowance = Allowance::new(u32::try_from(at).expect("few shards"), shard.epoch);
        }
        if self.chance(self.faults.new_limit) {
            let maximum = self.rng.random_range(5..80);
            self.maxima.push((self.now, maximum));
        }
    }

    fn newest_maximum(&self) -> u64 {
        self.maxima.last().expect("at least one maximum").1
    }

    /// Highest maximum that may be in force anywhere.
    fn highest_maximum(&self) -> u64 {
        let replaced = self.maxima.iter().skip(1).map(|(at, _)| *at).chain([self.now]);
        let in_force = self.maxima.iter().zip(replaced);
        let in_force = in_force.filter(|(_, replaced)| *replaced + PROPAGATION_LIMIT >= self.now);
        in_force.map(|((_, maximum), _)| *maximum).max().expect("at least one maximum")
    }

    /// Shards and ledgers learn of the newest maximum at random times, at the latest when the old
    /// one is superseded.
    fn propagate_maximum(&mut self) {
        let newest = self.newest_maximum();
        for number in 0..self.shards.len() {
            if self.is_superseded(self.shards[number].limit) || self.chance(100) {
                self.shards[number].limit = newest;
            }
        }
        for number in 0..self.ledgers.len() {
            if self.is_superseded(self.ledgers[number].1) || self.chance(100) {
                self.ledgers[number].1 = newest;
            }
        }
    }

    /// Whether a maximum was replaced so long ago that it must no longer be in use.
    fn is_superseded(&self, maximum: u64) -> bool {
        let known = self.maxima.iter().rposition(|(_, other)| *other == maximum);
        let replaced = known.and_then(|at| self.maxima.get(at + 1));
        replaced.is_some_and(|(at, _)| self.now + STEP >= *at + PROPAGATION_LIMIT)
    }

    fn send(&mut self, message: Message) {
        if self.chance(self.faults.lost) {
            return;
        }
        let copies = if self.chance(self.faults.duplicated) { 2 } else { 1 };
        for _ in 0..copies {
            let delay = self.rng.random_range(1..=self.faults.max_delay_ms);
            self.messages.push((self.now + Duration::from_millis(delay), message.clone()));
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let messages = std::mem::take(&mut self.messages);
        let (due, later): (Vec<_>, _) = messages.into_iter().partition(|(at, _)| *at <= now);
        self.messages = later;
        for (_, message) in due {
            match message {
                Message::Request(ledger, request) => self.answer(ledger, &request),
                Message::Grant(shard, epoch, grant) => {
                    let shard = &mut self.shards[shard as usize];
                    if shard.epoch == epoch {
                        shard.allowance.apply_grant(grant);
                    }
                }
            }
        }
    }

    fn answer(&mut self, ledger: usize, request: &Request) {
        // The ledger's daemon lost its membership before the next ledger started.
        if ledger + 1 < self.ledgers.len() {
            return;
        }
        let shards: BTreeSet<u32> = (0..SHARDS).collect();
        let (ledger, maximum) = &mut self.ledgers[ledger];
        if let Some(grant) = ledger.grant(request, &limits(*maximum), &shards) {
            self.send(Message::Grant(request.shard, request.epoch, grant));
        }
    }

    fn run_shard(&mut self, number: usize) {
        self.start_all(number);
        let shard = &mut self.shards[number];
        let usage = Usage {
            used: cores(shard.running.iter().sum()),
            pending: cores(shard.waiting.iter().sum()),
            first_pending: cores(shard.waiting.first().copied().unwrap_or_default()),
        };
        let usages: BTreeMap<_, _> = [(Arc::from(CUSTOMER), usage)].into();
        let Some(request) = shard.allowance.request(self.now, &limits(shard.limit), &usages) else {
            return;
        };
        // A shard may not know yet that there is a new ledger.
        let newest = self.ledgers.len() - 1;
        let ledger = if self.chance(200) { newest.saturating_sub(1) } else { newest };
        self.send(Message::Request(ledger, request));
    }

    fn start_all(&mut self, number: usize) {
        loop {
            let shard = &mut self.shards[number];
            let Some(task) = shard.waiting.first().copied() else { return };
            let used = cores(shard.running.iter().sum());
            let limit = limits(shard.limit)[CUSTOMER];
            if !shard.allowance.allows(CUSTOMER, &limit, &used, &cores(task)) {
                return;
            }
            shard.waiting.remove(0);
            shard.running.push(task);
            self.starts += 1;
            let total: u64 = self.shards.iter().flat_map(|shard| &shard.running).sum();
            let most = self.highest_maximum() + LARGEST_TASK;
            assert!(
                total <= most,
                "{total} cores running at {:?}; at most {most} allowed",
                self.now
            );
        }
    }
}
