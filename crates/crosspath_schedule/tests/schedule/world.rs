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

use crosspath_border::worker::{Ended, Entry, Error, Held, How, Running, Started, Target};
use crosspath_job::progress::State;
use crosspath_job::record::{Accepted, Record};
use crosspath_job::{JobId, TaskId};
use crosspath_schedule::lease::Clock;
use crosspath_schedule::{Action, Event, Scheduler};
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

use crate::common::{WALL_MS, accepted, entry, ms, settings, step};

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
struct SimRun {
    number: u64,
    ends: Duration,
}

#[derive(Debug)]
struct SimWorker {
    entry: Entry,
    /// When its clock showed 0.
    clock_began: Duration,
    token: u64,
    deadline: Duration,
    runs: BTreeMap<TaskId, SimRun>,
    /// Highest number per task that ended or was stopped here.
    void: BTreeMap<TaskId, u64>,
    ended: Vec<Ended>,
    ends: u64,
    cut: bool,
}

impl SimWorker {
    fn new(entry: Entry, clock_began: Duration) -> Self {
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

    fn clock_ms(&self, now: Duration) -> u64 {
        u64::try_from(now.saturating_sub(self.clock_began).as_millis()).expect("a short time")
    }

    /// When a deadline on its clock has passed; no lease is longer than the longest.
    fn at(&self, now: Duration, deadline_ms: u64) -> Duration {
        (self.clock_began + ms(deadline_ms)).min(now + LONGEST_HOLD)
    }

    fn end(&mut self, task: TaskId, how: How) {
        let Some(run) = self.runs.remove(&task) else { return };
        self.void.insert(task, run.number);
        self.ends += 1;
        let number = self.ends;
        self.ended.push(Ended { number, task, run: run.number, how, checkpoint: None });
    }
}

#[derive(Debug, Clone)]
enum Order {
    Start {
        task: TaskId,
        run: u64,
        deadline_ms: u64,
    },
    Stop {
        task: TaskId,
        run: u64,
    },
    /// `beside` the looks that follow one another: nothing is heard of its failure.
    Look {
        acknowledged: u64,
        deadline_ms: Option<u64>,
        beside: bool,
    },
}

#[derive(Debug, Clone)]
struct Message {
    at: Duration,
    sent: Duration,
    owner: usize,
    token: u64,
    worker: Target,
    order: Order,
    answered: bool,
    /// The life that carries it out late, if one does.
    late_at: Option<u64>,
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
        let entry = Entry { vm: vm.into(), born_ms: self.born_ms(), ..entry(&id) };
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
            let legacy = before.scheduler.leave(self.now);
            if legacy.epoch + 1 == self.epoch {
                scheduler.handle(self.now, WALL_MS, Event::HandedOver(legacy.over));
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
            self.tell(owner, Event::WorkerGone(Arc::clone(id)));
            self.tell(owner, Event::WorkerSeen(born.clone().expect("a worker")));
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
        let entry = Entry { born_ms: self.born_ms(), address, ..before.entry.clone() };
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
            self.tell(owner, Event::WorkerSeen(entry.clone()));
        }
    }

    /// An entry of a life that has ended is written after those of the next.
    fn late_entry(&mut self) {
        let Some(entry) = self.ended.pop() else { return };
        for owner in 0..self.owners.len() {
            self.tell(owner, Event::WorkerSeen(entry.clone()));
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
                    ends.push((Arc::clone(&worker.entry.id), *task, How::Lapsed));
                } else if now >= run.ends {
                    ends.push((Arc::clone(&worker.entry.id), *task, How::Done));
                }
            }
        }
        for (worker, task, how) in ends {
            let fails = how == How::Done && self.chance(self.faults.failing);
            let how = if fails { How::Failed } else { how };
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
            Action::Watch { worker, clock_ms } => {
                let watched = Watched {
                    target: worker,
                    clock: Clock { shown_ms: clock_ms, heard: self.now },
                    acknowledged: 0,
                    next: self.now,
                    failing: false,
                };
                self.owners[owner].watched.insert(Arc::clone(&watched.target.id), watched);
            }
            Action::Unwatch { worker } => {
                self.owners[owner].watched.remove(&worker.id);
            }
            Action::Look { worker } => {
                let Some(watched) = self.owners[owner].watched.get(&worker.id) else { return };
                let acknowledged = watched.acknowledged;
                let look = Order::Look { acknowledged, deadline_ms: None, beside: true };
                self.send(owner, &worker.id, look);
            }
            Action::Pace { .. } | Action::Advise { .. } | Action::AskParts { .. } => {}
        }
    }

    fn send(&mut self, owner: usize, worker: &Arc<str>, order: Order) {
        let Some(watched) = self.owners[owner].watched.get(worker) else { return };
        let worker = watched.target.clone();
        let delay = self.rng.random_range(1..8);
        let answered = !self.chance(self.faults.lost);
        let late = !answered && self.chance(self.faults.late);
        let delay = if late { self.rng.random_range(500..6_000) } else { delay };
        let late_at = self.workers.get(&worker.id).filter(|_| late);
        let late_at = late_at.map(|worker| worker.entry.born_ms);
        let token = self.owners[owner].token;
        let (at, sent) = (self.now + ms(delay), self.now);
        self.messages.push(Message { at, sent, owner, token, worker, order, answered, late_at });
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition::<Vec<_>, _>(|message| message.at <= now);
        self.messages = later;
        for message in due {
            let outcome = match self.unreached(&message) {
                Some(error) => Err(error),
                None => self.perform(&message),
            };
            let outcome = if message.answered { outcome } else { Err(Error::NoAnswer) };
            self.answer(&message, outcome);
        }
    }

    fn unreached(&self, message: &Message) -> Option<Error> {
        let Some(worker) = self.workers.get(&message.worker.id) else {
            return Some(Error::OtherLife);
        };
        let died = message.late_at.is_some_and(|born_ms| born_ms != worker.entry.born_ms);
        if worker.cut || died {
            return Some(Error::NoAnswer);
        }
        let is_look = matches!(message.order, Order::Look { .. });
        let is_meant = is_look || worker.entry.born_ms == message.worker.born_ms;
        if worker.entry.address != message.worker.address {
            let is_taken = self.now.as_millis().is_multiple_of(2);
            return Some(if is_taken { Error::OtherLife } else { Error::NotReached });
        }
        (!is_meant).then_some(Error::NotReached)
    }

    fn perform(&mut self, message: &Message) -> Result<Reply, Error> {
        let now = self.now;
        let worker = self.workers.get_mut(&message.worker.id).ok_or(Error::OtherLife)?;
        if message.token < worker.token {
            return Err(Error::Fenced);
        }
        worker.token = message.token;
        match &message.order {
            Order::Start { task, run, deadline_ms } => {
                if *deadline_ms < worker.clock_ms(now) {
                    return Ok(Reply::Started(Started::Late));
                }
                worker.deadline = worker.deadline.max(worker.at(now, *deadline_ms));
                if worker.void.get(task).is_some_and(|void| run <= void) {
                    return Ok(Reply::Started(Started::Old));
                }
                if worker.runs.contains_key(task) {
                    return Ok(Reply::Started(Started::Yes));
                }
                self.begin(&message.worker.id, *task, *run);
                Ok(Reply::Started(Started::Yes))
            }
            Order::Stop { task, run } => {
                let there = worker.runs.get(task).is_some_and(|there| there.number <= *run);
                if there {
                    worker.end(*task, How::Stopped);
                }
                let void = worker.void.entry(*task).or_default();
                *void = (*void).max(*run);
                Ok(Reply::Stopped)
            }
            Order::Look { acknowledged, deadline_ms, .. } => {
                // No life is told of ends of another, or of a time on another's clock.
                let is_meant = message.worker.born_ms == worker.entry.born_ms;
                let acknowledged = if is_meant { *acknowledged } else { 0 };
                for ended in worker.ended.iter().filter(|ended| ended.number <= acknowledged) {
                    match ended.how {
                        How::Done => drop(self.noted.insert(ended.task)),
                        How::Failed => *self.failed.entry(ended.task).or_default() += 1,
                        _ => {}
                    }
                }
                worker.ended.retain(|ended| ended.number > acknowledged);
                if let Some(deadline_ms) = deadline_ms.filter(|_| is_meant) {
                    worker.deadline = worker.deadline.max(worker.at(now, deadline_ms));
                }
                Ok(Reply::Looked(worker.look(now)))
            }
        }
    }

    /// A worker begins a task: what must always hold is checked here.
    fn begin(&mut self, id: &Arc<str>, task: TaskId, run: u64) {
        for worker in self.workers.values() {
            assert!(
                !worker.runs.contains_key(&task),
                "{task} run {run} begins on {id} while it runs on {}",
                worker.entry.id
            );
        }
        assert!(!self.noted.contains(&task), "{task} run {run} begins after a kept end");
        let failed = self.failed.get(&task).copied().unwrap_or_default();
        assert!(failed < MOST_ATTEMPTS, "{task} run {run} begins after {failed} failed runs");
        let takes = ms(self.rng.random_range(50..1_500));
        let deadly = self.is_deadly(task.job);
        let ends = self.now + if deadly { DEADLY_AFTER } else { takes };
        let losses = self.losses.entry(task).or_default();
        losses.starts_after += u32::from(losses.lives >= TOO_MANY_AFTER);
        assert!(
            !deadly || losses.starts_after < TOO_MANY_AFTER,
            "{task} run {run} begins on {id} after {losses:?}"
        );
        let worker = self.workers.get_mut(id).expect("a worker");
        worker.runs.insert(task, SimRun { number: run, ends });
        self.starts += 1;
    }

    fn answer(&mut self, message: &Message, outcome: Result<Reply, Error>) {
        let owner = message.owner;
        let worker = Arc::clone(&message.worker.id);
        match &message.order {
            Order::Start { task, run, .. } => {
                let answer = outcome.map(|reply| match reply {
                    Reply::Started(started) => started,
                    Reply::Stopped | Reply::Looked(_) => Started::Malformed,
                });
                let (task, run) = (*task, *run);
                self.tell(owner, Event::StartAnswered { worker, task, run, answer });
            }
            Order::Stop { task, run } => {
                let (task, run, answer) = (*task, *run, outcome.map(drop));
                self.tell(owner, Event::StopAnswered { worker, task, run, answer });
            }
            Order::Look { beside: true, .. } => {
                if let Ok(Reply::Looked(held)) = outcome {
                    let (sent, extended) = (message.sent, false);
                    self.tell(owner, Event::Held { worker, sent, extended, held });
                }
            }
            Order::Look { deadline_ms, .. } => {
                let (sent, extended) = (message.sent, deadline_ms.is_some());
                let Some(watched) = self.owners[owner].watched.get_mut(&worker) else { return };
                // An earlier watch has ended, and nobody hears its answers.
                if watched.target != message.worker {
                    return;
                }
                watched.next = self.now + LOOK_EVERY;
                watched.failing = outcome.is_err();
                let event = match outcome {
                    Ok(Reply::Looked(held)) => {
                        watched.clock = Clock { shown_ms: held.clock_ms, heard: self.now };
                        Event::Held { worker, sent, extended, held }
                    }
                    Ok(_) => return,
                    Err(error) => Event::HoldFailed { worker, sent, extended, error },
                };
                self.tell(owner, event);
            }
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
                state.is_some_and(State::is_final),
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

#[derive(Debug)]
enum Reply {
    Started(Started),
    Stopped,
    Looked(Held),
}

impl SimWorker {
    fn look(&self, now: Duration) -> Held {
        let running = self.runs.iter().map(|(task, run)| Running {
            task: *task,
            run: run.number,
            checkpoint: None,
            percent: 50,
            gauge: 0,
        });
        let (clock_ms, born_ms) = (self.clock_ms(now), self.entry.born_ms);
        Held { clock_ms, born_ms, running: running.collect(), ended: self.ended.clone() }
    }
}
