//! A small world for owners: workers, the log, and messages that are late, lost and overtaken.
//!
//! It checks what must always hold whenever a worker begins a task: no other run of the task is
//! live, none has ended successfully and been acknowledged, fewer have failed and been acknowledged than
//! its queue allows, and run numbers rise on each worker.
//!
//! A worker may begin again under its identifier, at another address and with another clock. Looks reach whichever life is
//! there when they arrive, and what goes by the life, as do orders, the one that is meant or none.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crosspath_border::worker::{Entry, Outcome, Target};
use crosspath_job::progress::State;
use crosspath_job::record::{Accepted, Record};
use crosspath_job::{JobId, TaskId};
use crosspath_schedule::lease::Clock;
use crosspath_schedule::{Action, Event, Scheduler};
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

use crate::common::{WALL_MS, accepted, entry, ms, settings, step};

mod orders;
mod worker;

use self::orders::{Message, Order};
use self::worker::{SimRun, SimWorker};

const TTL: Duration = ms_const(1_200);
const HOLD: Duration = ms_const(5_000);
const START: Duration = ms_const(2_000);
const LOOK_EVERY: Duration = ms_const(250);
/// Longest lease that a worker takes.
const LONGEST_HOLD: Duration = ms_const(10_000);
/// Failed runs after which a job has failed.
const MOST_ATTEMPTS: u32 = 3;
/// Of a worker that begins again: chances in a hundred that the list tells at once, and that it is elsewhere.
const TOLD_AT_ONCE: u32 = 40;
const ELSEWHERE: u32 = 20;

/// An owner that has not acted for so long gives no orders any more.
const FORGOTTEN: Duration = ms_const(10_000);

const fn ms_const(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Faults in a hundred steps or messages.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Faults {
    pub(crate) takeover: u32,
    pub(crate) crash: u32,
    /// Workers that begin again under their identifier.
    pub(crate) reborn: u32,
    pub(crate) cut: u32,
    pub(crate) lost: u32,
    pub(crate) late: u32,
    pub(crate) failing: u32,
}

#[derive(Debug)]
struct Owner {
    scheduler: Scheduler,
    epoch: u64,
    token: u64,
    acts_until: Duration,
    watched: BTreeMap<Arc<str>, Watched>,
}

/// What looks at a worker, and orders to it, go by.
#[derive(Debug)]
struct Watched {
    target: Target,
    clock: Clock,
    acknowledged: u64,
    next: Duration,
    failing: bool,
}

/// The world.
#[derive(Debug)]
pub(crate) struct World {
    rng: StdRng,
    faults: Faults,
    pub(crate) now: Duration,
    workers: BTreeMap<Arc<str>, SimWorker>,
    lives: u64,
    /// Entries of lives that have ended.
    ended: Vec<Entry>,
    records: BTreeMap<String, Record>,
    epoch: u64,
    owners: Vec<Owner>,
    /// Which of the owners the log accepts.
    current: usize,
    messages: Vec<Message>,
    jobs: u64,
    noted: BTreeSet<TaskId>,
    /// Failed runs that were taken note of.
    failed: BTreeMap<TaskId, u32>,
    pub(crate) starts: u64,
    /// Whether some jobs crash the workers that start them.
    deadly: bool,
    /// Whether workers that crash begin again under their identifiers.
    keeps_ids: bool,
    /// Lives that were lost under tasks, and starts after the third loss.
    losses: BTreeMap<TaskId, Losses>,
}

/// What a task has done to its workers.
#[derive(Debug, Default)]
struct Losses {
    lives: u32,
    starts_after: u32,
}

/// Which jobs crash their workers, in a world with such jobs.
const DEADLY_EVERY: u64 = 7;
/// From the start of a deadly task to the end of its worker.
const DEADLY_AFTER: Duration = ms_const(10);
/// Starts after the third loss that break the promise.
const TOO_MANY_AFTER: u32 = 3;

impl World {
    pub(crate) fn new(seed: u64, faults: Faults) -> Self {
        let mut world = Self {
            rng: StdRng::seed_from_u64(seed),
            faults,
            now: ms(10_000),
            workers: BTreeMap::new(),
            lives: 0,
            ended: Vec::new(),
            records: BTreeMap::new(),
            epoch: 0,
            owners: Vec::new(),
            current: 0,
            messages: Vec::new(),
            jobs: 0,
            noted: BTreeSet::new(),
            failed: BTreeMap::new(),
            starts: 0,
            deadly: false,
            keeps_ids: faults.reborn > 0,
            losses: BTreeMap::new(),
        };
        for n in 0..5 {
            world.add_worker(&format!("vm-{n}"));
        }
        world.take_over();
        world
    }

    /// A world in which some jobs crash the workers that start them, which then have other identifiers or not.
    pub(crate) fn deadly(seed: u64, faults: Faults, keeps_ids: bool) -> Self {
        Self { deadly: true, keeps_ids, ..Self::new(seed, faults) }
    }

    fn is_deadly(&self, job: JobId) -> bool {
        self.deadly && job.0.is_multiple_of(DEADLY_EVERY)
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    fn add_worker(&mut self, vm: &str) {
        self.lives += 1;
        let id = format!("w-{}", self.lives);
        let entry = Entry { vm: vm.into(), started_ms: self.born_ms(), ..entry(&id) };
        let clock_began = Duration::ZERO;
        self.workers.insert(Arc::clone(&entry.id), SimWorker::new(entry, clock_began));
    }

    fn born_ms(&self) -> u64 {
        WALL_MS + u64::try_from(self.now.as_millis()).expect("a short time")
    }

    fn entries(&self) -> Vec<Entry> {
        self.workers.values().map(|worker| self.entry(worker)).collect()
    }

    fn entry(&self, worker: &SimWorker) -> Entry {
        Entry { clock_ms: worker.clock_ms(self.now), ..worker.entry.clone() }
    }

    fn take_over(&mut self) {
        self.epoch += 1;
        let mut scheduler = Scheduler::new(settings(), self.epoch, self.now);
        let records = self.records.values().cloned().collect();
        scheduler.take_over(self.now, WALL_MS, records, self.entries());
        // Some owners end in order, and say what they know of silent workers.
        if let Some(before) = self.owners.last_mut().filter(|_| self.epoch.is_multiple_of(2)) {
            before.acts_until = Duration::ZERO;
            let handover = before.scheduler.handover(self.now);
            if handover.epoch + 1 == self.epoch {
                scheduler.handle(self.now, WALL_MS, Event::LeasesHandedOver(handover.expiries));
            }
        }
        // The owner before acts on until it counts itself out.
        for owner in &mut self.owners {
            owner.acts_until = owner.acts_until.min(self.now + TTL);
        }
        self.current = self.owners.len();
        self.owners.push(Owner {
            scheduler,
            epoch: self.epoch,
            token: self.epoch,
            acts_until: Duration::MAX,
            watched: BTreeMap::new(),
        });
    }

    fn submit(&mut self) {
        self.jobs += 1;
        let id = JobId(self.jobs);
        let mut second = step(2, 4);
        second.after = vec![0];
        let job: Arc<Accepted> = accepted(vec![step(3, 6), second]);
        self.records.insert(format!("job/{id}"), Record::Accepted(id, Arc::clone(&job)));
        self.tell(self.current, Event::Accepted(id, job));
    }

    fn tell(&mut self, owner: usize, event: Event) {
        let now = self.now;
        self.owners[owner].scheduler.handle(now, WALL_MS, event);
    }

    /// One step of the world.
    pub(crate) fn step(&mut self) {
        self.now += ms(self.rng.random_range(5..60));
        if self.chance(self.faults.takeover) {
            self.take_over();
        }
        if self.chance(self.faults.crash) {
            self.crash();
        }
        if self.faults.reborn > 0 && self.chance(self.faults.reborn) {
            let at = self.rng.random_range(0..self.workers.len());
            let id = Arc::clone(self.workers.keys().nth(at).expect("a worker"));
            self.begin_again(&id);
        }
        if self.chance(self.faults.crash.max(self.faults.reborn)) {
            self.late_entry();
        }
        if self.keeps_ids && self.chance(TOLD_AT_ONCE) {
            self.heartbeat();
        }
        if self.chance(self.faults.cut) {
            let at = self.rng.random_range(0..self.workers.len());
            let worker = self.workers.values_mut().nth(at).expect("a worker");
            worker.cut = !worker.cut;
        }
        self.pass();
        self.deliver();
        let last = self.now.saturating_sub(FORGOTTEN);
        for owner in 0..self.owners.len() {
            if self.owners[owner].acts_until > last {
                self.act(owner);
            }
        }
    }

    /// Submits a job now and then.
    pub(crate) fn load(&mut self) {
        if self.chance(10) {
            self.submit();
        }
    }

    fn crash(&mut self) {
        let at = self.rng.random_range(0..self.workers.len());
        let id = Arc::clone(self.workers.keys().nth(at).expect("a worker"));
        self.crash_worker(&id);
    }

    fn crash_worker(&mut self, id: &Arc<str>) {
        let Some(gone) = self.workers.remove(id) else { return };
        for task in gone.runs.keys() {
            self.losses.entry(*task).or_default().lives += 1;
        }
        self.add_worker(&gone.entry.vm);
        let born = self.entries().into_iter().find(|entry| entry.vm == gone.entry.vm);
        for owner in 0..self.owners.len() {
            self.tell(owner, Event::WorkerUnlisted(Arc::clone(id)));
            self.tell(owner, Event::WorkerListed(born.clone().expect("a worker")));
        }
        self.ended.push(gone.entry);
    }

    /// A worker crashes, and another life begins under its identifier.
    fn begin_again(&mut self, id: &Arc<str>) {
        let before = self.workers.remove(id).expect("a worker");
        for task in before.runs.keys() {
            self.losses.entry(*task).or_default().lives += 1;
        }
        let mut address: SocketAddr = before.entry.address;
        if self.chance(ELSEWHERE) {
            address.set_port(address.port() + 1);
        }
        let entry = Entry { started_ms: self.born_ms(), address, ..before.entry.clone() };
        self.workers.insert(Arc::clone(id), SimWorker::new(entry, self.now));
        self.ended.push(before.entry);
        if self.chance(TOLD_AT_ONCE) {
            self.list(id);
        }
    }

    /// A worker writes its entry again.
    fn heartbeat(&mut self) {
        let at = self.rng.random_range(0..self.workers.len());
        let id = Arc::clone(self.workers.keys().nth(at).expect("a worker"));
        self.list(&id);
    }

    fn list(&mut self, id: &Arc<str>) {
        let entry = self.entry(&self.workers[id]);
        for owner in 0..self.owners.len() {
            self.tell(owner, Event::WorkerListed(entry.clone()));
        }
    }

    /// An entry of a life that has ended is written after those of the next.
    fn late_entry(&mut self) {
        let Some(entry) = self.ended.pop() else { return };
        for owner in 0..self.owners.len() {
            self.tell(owner, Event::WorkerListed(entry.clone()));
        }
    }

    /// Time passes on workers: runs end, leases lapse, deadly tasks crash their workers.
    fn pass(&mut self) {
        let now = self.now;
        let is_fatal =
            |(task, run): (&TaskId, &SimRun)| self.is_deadly(task.job) && now >= run.ends;
        let crashed = self.workers.iter().filter(|(_, worker)| worker.runs.iter().any(is_fatal));
        let crashed: Vec<_> = crashed.map(|(id, _)| Arc::clone(id)).collect();
        for id in crashed {
            if self.keeps_ids {
                self.begin_again(&id);
            } else {
                self.crash_worker(&id);
            }
        }
        let mut ends = Vec::new();
        for worker in self.workers.values() {
            let lapsed = now > worker.deadline;
            for (task, run) in &worker.runs {
                if lapsed {
                    ends.push((Arc::clone(&worker.entry.id), *task, Outcome::Lapsed));
                } else if now >= run.ends {
                    ends.push((Arc::clone(&worker.entry.id), *task, Outcome::Done));
                }
            }
        }
        for (worker, task, how) in ends {
            let fails = how == Outcome::Done && self.chance(self.faults.failing);
            let how = if fails { Outcome::Failed } else { how };
            self.workers.get_mut(&worker).expect("a worker").end(task, how);
        }
    }

    fn act(&mut self, owner: usize) {
        let now = self.now;
        let acts = now < self.owners[owner].acts_until;
        self.tell(owner, Event::MayAct(acts));
        self.tell(owner, Event::Tick);
        let actions = self.owners[owner].scheduler.decide(now, WALL_MS);
        for action in actions {
            self.carry_out(owner, action);
        }
        let watched = self.owners[owner].watched.values();
        let due: Vec<_> = watched
            .filter(|watched| now >= watched.next)
            .map(|watched| Arc::clone(&watched.target.id))
            .collect();
        for worker in due {
            let watched = self.owners[owner].watched.get_mut(&worker).expect("watched");
            watched.next = Duration::MAX;
            // A worker that was silent may let leases run out.
            let acknowledged = watched.acknowledged;
            let extended = acts && !watched.failing;
            let deadline_ms = extended.then(|| watched.clock.deadline_ms(now, HOLD));
            let look = Order::Look { acknowledged, deadline_ms, beside: false };
            self.send(owner, &worker, look);
        }
    }

    fn carry_out(&mut self, owner: usize, action: Action) {
        match action {
            Action::Start { worker, task, run, .. } => {
                let Some(watched) = self.owners[owner].watched.get(&worker.id) else { return };
                let deadline_ms = watched.clock.deadline_ms(self.now, START);
                self.send(owner, &worker.id, Order::Start { task, run, deadline_ms });
            }
            Action::Stop { worker, task, run } => {
                self.send(owner, &worker.id, Order::Stop { task, run });
            }
            Action::Commit { records } => {
                if self.owners[owner].epoch < self.epoch {
                    // Fenced: nothing of it is kept, and this owner ends.
                    self.owners[owner].acts_until = Duration::ZERO;
                    return;
                }
                self.records.extend(records.into_iter().map(|record| (record.key(), record)));
                self.tell(owner, Event::Committed);
            }
            Action::Acknowledge { worker, number } => {
                if let Some(watched) = self.owners[owner].watched.get_mut(&worker) {
                    watched.acknowledged = watched.acknowledged.max(number);
                }
            }
            Action::StartPolling { worker, clock_ms } => {
                let watched = Watched {
                    target: worker,
                    clock: Clock { reading_ms: clock_ms, received: self.now },
                    acknowledged: 0,
                    next: self.now,
                    failing: false,
                };
                self.owners[owner].watched.insert(Arc::clone(&watched.target.id), watched);
            }
            Action::StopPolling { worker } => {
                self.owners[owner].watched.remove(&worker.id);
            }
            Action::Poll { worker } => {
                let Some(watched) = self.owners[owner].watched.get(&worker.id) else { return };
                let acknowledged = watched.acknowledged;
                let look = Order::Look { acknowledged, deadline_ms: None, beside: true };
                self.send(owner, &worker.id, look);
            }
            Action::Throttle { .. }
            | Action::RequestAdvice { .. }
            | Action::RequestQuota { .. } => {}
        }
    }

    /// Faults end; everything submitted must complete.
    pub(crate) fn settle(&mut self) {
        self.faults = Faults::default();
        for worker in self.workers.values_mut() {
            worker.cut = false;
        }
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

impl World {
    /// After all has settled: jobs that crash their workers have failed, and no others have.
    pub(crate) fn check_deadly(&self) {
        let current = &self.owners[self.current].scheduler;
        for job in (1..=self.jobs).map(JobId) {
            let expected = if self.is_deadly(job) { State::Failed } else { State::Completed };
            assert_eq!(current.state(job), Some(expected), "job {job}, {:?}", self.faults);
        }
    }
}
