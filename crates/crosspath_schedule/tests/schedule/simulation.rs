//! Simulation of owners, workers and the log, with messages that are delayed, lost and reordered.
//!
//! Checked whenever a worker starts a run: no other run of the task exists, no run of it that ended
//! successfully has been acknowledged, and fewer failed ones have been acknowledged than
//! `max_attempts`. Workers refuse run numbers that are not above those that ended or were stopped
//! there.
//!
//! A worker may restart under its identifier, at another address and with another clock. A poll
//! reaches whichever incarnation exists when it arrives. Starts and stops, and the acknowledgements
//! and lease extensions of a poll, reach the incarnation that they are meant for or none.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crosspath_border::worker::{Entry, Outcome, Target};
use crosspath_job::progress::State;
use crosspath_job::record::{Accepted, Record};
use crosspath_job::{JobId, TaskId};
use crosspath_schedule::lease::Clock;
use crosspath_schedule::{Action, Event, Scheduler, Settings};
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

use crate::common::{WALL_MS, accepted, entry, ms, settings, step};

mod departures;
mod orders;
mod outages;
mod worker;

use self::orders::{Message, Order};
use self::outages::Outages;
use self::worker::{Run, Worker};

const MEMBERSHIP_TTL: Duration = const_ms(1_200);
const LEASE_EXTENSION: Duration = const_ms(5_000);
const INITIAL_LEASE: Duration = const_ms(2_000);
const POLL_INTERVAL: Duration = const_ms(250);
/// Maximum length of a lease that a worker grants.
const MAX_LEASE: Duration = const_ms(10_000);
/// Number of failed runs of a task that fails its job.
const MAX_ATTEMPTS: u32 = 3;
/// Probability that a restarted worker's entry is written at once, and that any worker's entry is
/// written in a step.
const LIST_UPDATE_PERCENT: u32 = 40;
/// Probability that a worker restarts at another address.
const NEW_ADDRESS_PERCENT: u32 = 20;

/// Time for which an owner is still simulated after it may no longer act.
const FORMER_OWNER_RETENTION: Duration = const_ms(10_000);

const fn const_ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Probability of each fault per step, message or run, in percent.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Faults {
    pub(crate) takeover: u32,
    pub(crate) crash: u32,
    /// A worker restarts under its identifier.
    pub(crate) restart: u32,
    /// A worker is cut off from all owners, or reachable again.
    pub(crate) partition: u32,
    pub(crate) reply_loss: u32,
    /// A message whose reply is lost is also delivered late.
    pub(crate) late_delivery: u32,
    pub(crate) task_failure: u32,
    /// Up to three VMs go down for some seconds, which the platform's list shows.
    pub(crate) outage: u32,
    /// A worker drains, is then cut off while it loses its entry, and ends at last.
    pub(crate) departure: u32,
}

#[derive(Debug)]
struct Owner {
    scheduler: Scheduler,
    epoch: u64,
    fencing_token: u64,
    may_act_until: Duration,
    pollers: BTreeMap<Arc<str>, Poller>,
}

/// Periodic polls of a worker; its target and clock are also used for orders.
#[derive(Debug)]
struct Poller {
    target: Target,
    clock: Clock,
    acknowledged: u64,
    next_poll: Duration,
    last_poll_failed: bool,
}

#[derive(Debug)]
pub(crate) struct Simulation {
    rng: StdRng,
    faults: Faults,
    pub(crate) now: Duration,
    workers: BTreeMap<Arc<str>, Worker>,
    worker_count: u64,
    /// Entries of incarnations that have ended.
    ended_entries: Vec<Entry>,
    records: BTreeMap<String, Record>,
    epoch: u64,
    owners: Vec<Owner>,
    /// Index of the owner whose commits the log accepts.
    current: usize,
    messages: Vec<Message>,
    jobs: u64,
    acked_done: BTreeSet<TaskId>,
    /// Number of acknowledged failed runs by task.
    acked_failed: BTreeMap<TaskId, u32>,
    pub(crate) starts: u64,
    /// Whether some jobs crash the workers that start them.
    has_fatal_jobs: bool,
    /// Whether workers that a fatal job crashes restart under their identifiers.
    reuses_ids: bool,
    losses: BTreeMap<TaskId, Losses>,
    /// Whether owners learn from the platform's list which VMs are down.
    lists_vms: bool,
    outages: Outages,
    /// Whether owners that take over from now on prefer jobs that can end in time.
    pub(crate) prefer_feasible: bool,
}

/// Losses of a task.
#[derive(Debug, Default)]
struct Losses {
    /// Number of worker incarnations that ended while they ran the task.
    incarnations: u32,
    /// Number of starts of the task after [`LOSS_LIMIT`] losses.
    starts_after_limit: u32,
}

/// Every job whose number is a multiple of this crashes its workers, if there are fatal jobs.
const FATAL_JOB_INTERVAL: u64 = 7;
/// Time from the start of a fatal task to the crash of its worker.
const FATAL_CRASH_DELAY: Duration = const_ms(10);
/// Number of losses from which the starts of a fatal task are counted, and number of such starts
/// that fails the simulation: callers are promised at most two.
const LOSS_LIMIT: u32 = 3;

impl Simulation {
    pub(crate) fn new(seed: u64, faults: Faults) -> Self {
        let mut simulation = Self {
            rng: StdRng::seed_from_u64(seed),
            faults,
            now: ms(10_000),
            workers: BTreeMap::new(),
            worker_count: 0,
            ended_entries: Vec::new(),
            records: BTreeMap::new(),
            epoch: 0,
            owners: Vec::new(),
            current: 0,
            messages: Vec::new(),
            jobs: 0,
            acked_done: BTreeSet::new(),
            acked_failed: BTreeMap::new(),
            starts: 0,
            has_fatal_jobs: false,
            reuses_ids: faults.restart > 0,
            losses: BTreeMap::new(),
            lists_vms: faults.outage > 0,
            outages: Outages::default(),
            prefer_feasible: false,
        };
        for n in 0..5 {
            simulation.add_worker(&format!("vm-{n}"));
        }
        simulation.take_over();
        simulation
    }

    /// Simulation in which some jobs crash the workers that start them. Crashed workers restart
    /// under the same identifier if `reuses_ids` is set, and under a new one otherwise.
    pub(crate) fn with_fatal_jobs(seed: u64, faults: Faults, reuses_ids: bool) -> Self {
        Self { has_fatal_jobs: true, reuses_ids, ..Self::new(seed, faults) }
    }

    fn is_fatal(&self, job: JobId) -> bool {
        self.has_fatal_jobs && job.0.is_multiple_of(FATAL_JOB_INTERVAL)
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    fn add_worker(&mut self, vm: &str) {
        self.worker_count += 1;
        let id = format!("w-{}", self.worker_count);
        let entry = Entry { vm: vm.into(), started_ms: self.wall_ms(), ..entry(&id) };
        let clock_zero = Duration::ZERO;
        self.workers.insert(Arc::clone(&entry.id), Worker::new(entry, clock_zero));
    }

    fn wall_ms(&self) -> u64 {
        WALL_MS + u64::try_from(self.now.as_millis()).expect("a time that fits in 64 bits")
    }

    fn entries(&self) -> Vec<Entry> {
        let listed = self.workers.values().filter(|worker| worker.is_listed);
        listed.map(|worker| self.entry(worker)).collect()
    }

    fn entry(&self, worker: &Worker) -> Entry {
        Entry { clock_ms: worker.clock_ms(self.now), ..worker.entry.clone() }
    }

    fn take_over(&mut self) {
        self.epoch += 1;
        let settings = Settings {
            spread: self.lists_vms,
            prefer_feasible: self.prefer_feasible,
            ..settings()
        };
        let mut scheduler = Scheduler::new(settings, self.epoch, self.now);
        let records = self.records.values().cloned().collect();
        scheduler.take_over(self.now, WALL_MS, records, self.entries());
        // At every second takeover the previous owner hands over the lease expiries that it knows,
        // and stops acting.
        if let Some(previous) = self.owners.last_mut().filter(|_| self.epoch.is_multiple_of(2)) {
            previous.may_act_until = Duration::ZERO;
            let handover = previous.scheduler.handover(self.now);
            if handover.epoch + 1 == self.epoch {
                scheduler.handle(self.now, WALL_MS, Event::LeasesHandedOver(handover.expiries));
            }
        }
        // The others act until their membership expires.
        for owner in &mut self.owners {
            owner.may_act_until = owner.may_act_until.min(self.now + MEMBERSHIP_TTL);
        }
        self.current = self.owners.len();
        self.owners.push(Owner {
            scheduler,
            epoch: self.epoch,
            fencing_token: self.epoch,
            may_act_until: Duration::MAX,
            pollers: BTreeMap::new(),
        });
    }

    fn submit(&mut self) {
        self.jobs += 1;
        let id = JobId(self.jobs);
        let mut second = step(2, 4);
        second.after = vec![0];
        let job: Arc<Accepted> = accepted(vec![step(3, 6), second]);
        self.records.insert(format!("job/{id}"), Record::Accepted(id, Arc::clone(&job)));
        self.notify(self.current, Event::Accepted(id, job));
    }

    fn notify(&mut self, owner: usize, event: Event) {
        let now = self.now;
        self.owners[owner].scheduler.handle(now, WALL_MS, event);
    }

    /// Advances the simulation by one step.
    pub(crate) fn step(&mut self) {
        self.now += ms(self.rng.random_range(5..60));
        if self.chance(self.faults.takeover) {
            self.take_over();
        }
        if self.chance(self.faults.crash) {
            self.crash();
        }
        if self.faults.restart > 0 && self.chance(self.faults.restart) {
            let index = self.rng.random_range(0..self.workers.len());
            let id = Arc::clone(self.workers.keys().nth(index).expect("a worker"));
            self.restart_worker(&id);
        }
        if self.chance(self.faults.crash.max(self.faults.restart)) {
            self.write_late_entry();
        }
        if self.reuses_ids && self.chance(LIST_UPDATE_PERCENT) {
            self.heartbeat();
        }
        if self.chance(self.faults.partition) {
            let index = self.rng.random_range(0..self.workers.len());
            let worker = self.workers.values_mut().nth(index).expect("a worker");
            worker.is_partitioned = !worker.is_partitioned;
        }
        if self.faults.departure > 0 && self.chance(self.faults.departure) {
            self.advance_departure();
        }
        self.step_vms();
        self.advance_workers();
        self.deliver();
        let oldest = self.now.saturating_sub(FORMER_OWNER_RETENTION);
        for owner in 0..self.owners.len() {
            if self.owners[owner].may_act_until > oldest {
                self.step_owner(owner);
            }
        }
    }

    /// Submits a job with a probability of 10 %.
    pub(crate) fn maybe_submit(&mut self) {
        if self.chance(10) {
            self.submit();
        }
    }

    fn crash(&mut self) {
        let index = self.rng.random_range(0..self.workers.len());
        let id = Arc::clone(self.workers.keys().nth(index).expect("a worker"));
        self.crash_worker(&id);
    }

    fn crash_worker(&mut self, id: &Arc<str>) {
        let Some(crashed_worker) = self.workers.remove(id) else { return };
        for task in crashed_worker.runs.keys() {
            self.losses.entry(*task).or_default().incarnations += 1;
        }
        self.add_worker(&crashed_worker.entry.vm);
        let new_entry =
            self.entries().into_iter().find(|entry| entry.vm == crashed_worker.entry.vm);
        for owner in 0..self.owners.len() {
            self.notify(owner, Event::WorkerUnlisted(Arc::clone(id)));
            self.notify(owner, Event::WorkerListed(new_entry.clone().expect("a worker")));
        }
        self.ended_entries.push(crashed_worker.entry);
    }

    /// Crashes a worker and starts another incarnation under its identifier.
    fn restart_worker(&mut self, id: &Arc<str>) {
        let previous = self.workers.remove(id).expect("a worker");
        for task in previous.runs.keys() {
            self.losses.entry(*task).or_default().incarnations += 1;
        }
        let mut address: SocketAddr = previous.entry.address;
        if self.chance(NEW_ADDRESS_PERCENT) {
            address.set_port(address.port() + 1);
        }
        let entry = Entry { started_ms: self.wall_ms(), address, ..previous.entry.clone() };
        self.workers.insert(Arc::clone(id), Worker::new(entry, self.now));
        self.ended_entries.push(previous.entry);
        if self.chance(LIST_UPDATE_PERCENT) {
            self.write_entry(id);
        }
    }

    /// Has some worker write its entry again.
    fn heartbeat(&mut self) {
        let index = self.rng.random_range(0..self.workers.len());
        let id = Arc::clone(self.workers.keys().nth(index).expect("a worker"));
        self.write_entry(&id);
    }

    fn write_entry(&mut self, id: &Arc<str>) {
        let entry = self.entry(&self.workers[id]);
        for owner in 0..self.owners.len() {
            self.notify(owner, Event::WorkerListed(entry.clone()));
        }
    }

    /// Writes an entry of an ended incarnation, after those of the next one.
    fn write_late_entry(&mut self) {
        let Some(entry) = self.ended_entries.pop() else { return };
        for owner in 0..self.owners.len() {
            self.notify(owner, Event::WorkerListed(entry.clone()));
        }
    }

    /// Advances the workers to the current time: runs end, leases expire, fatal tasks crash
    /// workers.
    fn advance_workers(&mut self) {
        let now = self.now;
        let crashes_now =
            |(task, run): (&TaskId, &Run)| self.is_fatal(task.job) && now >= run.ends_at;
        let crashed = self.workers.iter().filter(|(_, worker)| worker.runs.iter().any(crashes_now));
        let crashed: Vec<_> = crashed.map(|(id, _)| Arc::clone(id)).collect();
        for id in crashed {
            if self.reuses_ids {
                self.restart_worker(&id);
            } else {
                self.crash_worker(&id);
            }
        }
        let mut ended = Vec::new();
        for worker in self.workers.values() {
            let lease_expired = now > worker.lease_expiry;
            for (task, run) in &worker.runs {
                if lease_expired {
                    ended.push((Arc::clone(&worker.entry.id), *task, Outcome::Lapsed));
                } else if now >= run.ends_at {
                    ended.push((Arc::clone(&worker.entry.id), *task, Outcome::Done));
                }
            }
        }
        for (worker, task, outcome) in ended {
            let fails = outcome == Outcome::Done && self.chance(self.faults.task_failure);
            let outcome = if fails { Outcome::Failed } else { outcome };
            self.workers.get_mut(&worker).expect("a worker").end_run(task, outcome);
        }
    }

    fn step_owner(&mut self, owner: usize) {
        let now = self.now;
        let may_act = now < self.owners[owner].may_act_until;
        self.notify(owner, Event::MayAct(may_act));
        self.notify(owner, Event::Tick);
        let actions = self.owners[owner].scheduler.decide(now, WALL_MS);
        for action in actions {
            self.execute(owner, action);
        }
        let pollers = self.owners[owner].pollers.values();
        let due: Vec<_> = pollers
            .filter(|poller| now >= poller.next_poll)
            .map(|poller| Arc::clone(&poller.target.id))
            .collect();
        for worker in due {
            let poller = self.owners[owner].pollers.get_mut(&worker).expect("a poller");
            poller.next_poll = Duration::MAX;
            // The poll after a failed one lets the leases on a silent worker expire.
            let acknowledged = poller.acknowledged;
            let extended = may_act && !poller.last_poll_failed;
            let deadline_ms = extended.then(|| poller.clock.deadline_ms(now, LEASE_EXTENSION));
            let poll = Order::Poll { acknowledged, deadline_ms, one_off: false };
            self.send(owner, &worker, poll);
        }
    }

    fn execute(&mut self, owner: usize, action: Action) {
        match action {
            Action::Start { worker, task, run, .. } => {
                let Some(poller) = self.owners[owner].pollers.get(&worker.id) else { return };
                let deadline_ms = poller.clock.deadline_ms(self.now, INITIAL_LEASE);
                self.send(owner, &worker.id, Order::Start { task, run, deadline_ms });
            }
            Action::Stop { worker, task, run } => {
                self.send(owner, &worker.id, Order::Stop { task, run });
            }
            Action::Commit { records } => {
                if self.owners[owner].epoch < self.epoch {
                    // The log fences this owner: it stores none of the records, and the owner ends.
                    self.owners[owner].may_act_until = Duration::ZERO;
                    return;
                }
                self.records.extend(records.into_iter().map(|record| (record.key(), record)));
                self.notify(owner, Event::Committed);
            }
            Action::Acknowledge { worker, number } => {
                if let Some(poller) = self.owners[owner].pollers.get_mut(&worker) {
                    poller.acknowledged = poller.acknowledged.max(number);
                }
            }
            Action::StartPolling { worker, clock_ms } => {
                let poller = Poller {
                    target: worker,
                    clock: Clock { reading_ms: clock_ms, received: self.now },
                    acknowledged: 0,
                    next_poll: self.now,
                    last_poll_failed: false,
                };
                self.owners[owner].pollers.insert(Arc::clone(&poller.target.id), poller);
            }
            Action::StopPolling { worker } => {
                self.owners[owner].pollers.remove(&worker.id);
            }
            Action::Poll { worker } => {
                let Some(poller) = self.owners[owner].pollers.get(&worker.id) else { return };
                let acknowledged = poller.acknowledged;
                let poll = Order::Poll { acknowledged, deadline_ms: None, one_off: true };
                self.send(owner, &worker.id, poll);
            }
            Action::Throttle { .. }
            | Action::Relocate { .. }
            | Action::RelocateCancellation { .. }
            | Action::RequestAdvice { .. }
            | Action::RequestQuota { .. } => {}
        }
    }

    /// Ends all faults, and checks that all jobs then reach a terminal state.
    pub(crate) fn settle(&mut self) {
        self.faults = Faults::default();
        for worker in self.workers.values_mut() {
            worker.is_partitioned = false;
        }
        self.end_departure();
        self.take_over();
        for _ in 0..2_000 {
            self.step();
        }
        let current = &self.owners[self.current].scheduler;
        for number in 1..=self.jobs {
            let state = current.state(JobId(number));
            assert!(
                state.is_some_and(State::is_terminal),
                "job {number} is {state:?} after all faults have ended"
            );
        }
    }
}

impl Simulation {
    /// Checks after [`Simulation::settle`] that all fatal jobs have failed and all others have
    /// completed.
    pub(crate) fn check_fatal_jobs(&self) {
        let current = &self.owners[self.current].scheduler;
        for job in (1..=self.jobs).map(JobId) {
            let expected = if self.is_fatal(job) { State::Failed } else { State::Completed };
            assert_eq!(current.state(job), Some(expected), "job {job}, {:?}", self.faults);
        }
    }
}
