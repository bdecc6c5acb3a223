//! Workers, as the platform's pages describe them.
//!
//! The text of a job is `MIN MAX` in ms: each run takes a time in that range, chosen by its task,
//! and ends `done`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::advice;
use crate::http::{self, Call, Reply};
use crate::record::Record;
use crate::store::Store;

/// Processor of a worker in thousandths of a core, and its memory in MB.
pub const CPU: u64 = 32_000;
pub const MEMORY_MB: u64 = 131_072;
/// Longest time for which work is leased (`bounds.hold_max_ms`).
const HOLD_MAX_MS: u64 = 10_000;
/// Number of ends in one answer.
const ENDS_AT_A_TIME: usize = 500;
/// Longest wait of an answer for an end.
const MAX_WAIT_MS: u64 = 2_000;
/// Interval between two writes to the store (`heartbeat_ms`).
const BEAT: Duration = Duration::from_millis(1_500);
/// Time after which the entry of a worker that is silent goes: three beats.
const SILENCE: Duration = Duration::from_millis(4_500);
/// Tasks that take this long are tasks that last.
pub const LASTING: Duration = Duration::from_secs(3_600);
/// Time from the start of a task that lasts until it is at work.
pub const LASTING_START: Duration = Duration::from_millis(1_000);
const TICK: Duration = Duration::from_millis(5);

#[derive(Debug)]
struct Run {
    number: u64,
    cpu: u64,
    mem_mb: u64,
    began: Instant,
    takes: Duration,
}

impl Run {
    /// Progress in percent. A task that lasts is at work, with 100, after a short start.
    fn percent(&self) -> u128 {
        let elapsed = self.began.elapsed().as_millis();
        if self.takes >= LASTING {
            return (elapsed * 100 / LASTING_START.as_millis()).min(100);
        }
        (elapsed * 100 / self.takes.as_millis().max(1)).min(99)
    }
}

#[derive(Debug)]
struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

#[derive(Debug)]
struct Life {
    id: String,
    began: Instant,
    fence: u64,
    lease_ms: u64,
    runs: BTreeMap<String, Run>,
    /// Highest run of each task that ended or was stopped.
    ended_runs: BTreeMap<String, u64>,
    ends: Vec<End>,
    last_end: u64,
}

impl Life {
    fn new(id: String) -> Self {
        Self {
            id,
            began: Instant::now(),
            fence: 0,
            lease_ms: 0,
            runs: BTreeMap::new(),
            ended_runs: BTreeMap::new(),
            ends: Vec::new(),
            last_end: 0,
        }
    }

    fn clock_ms(&self) -> u64 {
        1_000 + u64::try_from(self.began.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn refusal(&self, reason: &str) -> Reply {
        Reply::json(409, &json!({ "clock_ms": self.clock_ms(), "reason": reason }))
    }

    fn lease(&mut self, deadline_ms: u64) {
        let until = deadline_ms.min(self.clock_ms() + HOLD_MAX_MS);
        self.lease_ms = self.lease_ms.max(until);
    }

    fn accepts(&mut self, body: &Value) -> bool {
        let token = body["fencing_token"].as_u64().unwrap_or(0);
        let accepted = token >= self.fence;
        self.fence = self.fence.max(token);
        accepted
    }
}

/// What a task of a job needs; keyed by the job's identifier and the number of the step.
type Needs = Arc<Mutex<BTreeMap<(String, u64), (u64, u64)>>>;

#[derive(Debug)]
pub struct Worker {
    service: String,
    machine: String,
    /// Its kind and its rack.
    labels: [String; 2],
    life: Mutex<Option<Life>>,
    changed: Condvar,
    /// Whether it answers 503 to every start, though its health is good.
    refuses: AtomicBool,
    record: Arc<Record>,
    needs: Needs,
}

/// Row of the list of machines.
#[derive(Debug)]
pub struct Machine {
    pub name: String,
    pub service: String,
    pub labels: [String; 2],
    /// Identifier of its worker, if one lives.
    pub id: Option<String>,
}

/// The machines as the cloud knows them. Clones share them.
#[derive(Debug, Clone, Default)]
pub struct Machines(Arc<Mutex<Vec<Arc<Worker>>>>);

impl Machines {
    fn lock(&self) -> MutexGuard<'_, Vec<Arc<Worker>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn rows(&self) -> Vec<Machine> {
        let all = self.lock().clone();
        let row = |worker: &Arc<Worker>| Machine {
            name: worker.machine.clone(),
            service: worker.service.clone(),
            labels: worker.labels.clone(),
            id: worker.lock().as_ref().map(|life| life.id.clone()),
        };
        all.iter().map(row).collect()
    }
}

/// Workers of one service.
#[derive(Debug)]
pub struct Workers {
    all: Vec<Arc<Worker>>,
    /// Number of the first one among the workers of all services.
    first: usize,
    machines: Machines,
    service: String,
    store: Store,
    record: Arc<Record>,
    needs: Needs,
}

impl Workers {
    pub fn start(service: &str, count: usize, store: &Store, record: &Arc<Record>) -> Self {
        let (service, store, record) = (service.to_owned(), store.clone(), Arc::clone(record));
        let (machines, needs) = (Machines::default(), Needs::default());
        let mut workers =
            Self { all: Vec::new(), first: 0, machines, service, store, record, needs };
        workers.add(count);
        workers
    }

    /// Starts the workers of another service beside these. They run until the process ends.
    pub fn start_other(&self, service: &str, count: usize) {
        let mut others = Self {
            all: Vec::new(),
            first: self.all.len(),
            machines: self.machines.clone(),
            service: service.to_owned(),
            store: self.store.clone(),
            record: Arc::clone(&self.record),
            needs: Arc::clone(&self.needs),
        };
        others.add(count);
    }

    /// Adds empty workers.
    pub fn add(&mut self, count: usize) {
        let first = self.first + self.all.len();
        for number in first..first + count {
            let worker = Arc::new(Worker {
                service: self.service.clone(),
                machine: format!("m-{}-{number}", self.service),
                labels: [kind(number).to_owned(), rack(number)],
                life: Mutex::new(Some(Life::new(identifier(number, 0)))),
                changed: Condvar::new(),
                refuses: AtomicBool::new(false),
                record: Arc::clone(&self.record),
                needs: Arc::clone(&self.needs),
            });
            let serving = Arc::clone(&worker);
            let address = http::serve(Arc::new(move |call| serving.handle(&call)));
            let ticking = Arc::clone(&worker);
            thread::spawn(move || ticking.tick());
            let (beating, store) = (Arc::clone(&worker), self.store.clone());
            thread::spawn(move || beating.beat(&store, address));
            self.machines.lock().push(Arc::clone(&worker));
            self.all.push(worker);
        }
    }

    pub fn machines(&self) -> Machines {
        self.machines.clone()
    }

    /// Identifiers of the workers that live now.
    pub fn identifiers(&self) -> Vec<String> {
        let lives = self.all.iter().map(|worker| worker.lock());
        lives.filter_map(|life| life.as_ref().map(|life| life.id.clone())).collect()
    }

    /// Notes what the tasks of a job need, which the workers know as the bench's do.
    pub fn expect(&self, job: &str, steps: &[(u64, u64)]) {
        let mut needs = self.needs.lock().unwrap_or_else(PoisonError::into_inner);
        for (step, need) in (0..).zip(steps) {
            needs.insert((job.to_owned(), step), *need);
        }
    }

    /// Share of the processor of all workers that is in use.
    pub fn share_in_use(&self) -> f64 {
        let used: u64 = self.all.iter().map(|worker| worker.cpu_in_use()).sum();
        used as f64 / (CPU * self.all.len() as u64) as f64
    }

    /// Number of the worker that runs a task of the job.
    pub fn running(&self, job: &str) -> Option<usize> {
        self.all.iter().position(|worker| {
            let life = worker.lock();
            life.as_ref().is_some_and(|life| life.runs.keys().any(|task| task.starts_with(job)))
        })
    }

    /// Makes a worker refuse all starts, or take them again.
    pub fn refuse(&self, number: usize, refuses: bool) {
        self.all[number].refuses.store(refuses, Ordering::Relaxed);
    }

    /// Crashes a worker. It begins a new life, under a new identifier, after `away`.
    pub fn crash(&self, number: usize, lives: u64, away: Duration) {
        let worker = Arc::clone(&self.all[number]);
        worker.crash();
        thread::spawn(move || {
            thread::sleep(away);
            *worker.lock() = Some(Life::new(identifier(number, lives)));
        });
    }
}

/// The first worker is of a kind of its own.
fn kind(number: usize) -> &'static str {
    if number == 0 { "b" } else { "a" }
}

/// Label of the rack of a worker; a rack holds four.
fn rack(number: usize) -> String {
    format!("r1-{}", number / 4)
}

/// Identifier of a worker's life, in no order.
fn identifier(number: usize, lives: u64) -> String {
    format!("i-{:010x}", advice::mixed(number as u64 * 0x100 + lives) >> 24)
}

impl Worker {
    fn lock(&self) -> MutexGuard<'_, Option<Life>> {
        self.life.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn cpu_in_use(&self) -> u64 {
        self.lock().as_ref().map_or(0, |life| life.runs.values().map(|run| run.cpu).sum())
    }

    fn crash(&self) {
        let Some(life) = self.lock().take() else { return };
        self.record.line(&format!("worker {} crashes with {} runs", life.id, life.runs.len()));
        for (task, run) in &life.runs {
            self.record.ended(&life.id, task, run.number, "lost with its worker");
        }
        self.changed.notify_all();
    }

    fn beat(&self, store: &Store, address: SocketAddr) {
        let mut shown: Option<(String, Instant)> = None;
        loop {
            let entry = self.lock().as_ref().map(|life| {
                let entry = json!({
                    "service": self.service, "address": address.to_string(), "zone": "z1",
                    "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
                    "capacity": { "cpu": CPU, "mem_mb": MEMORY_MB, "gpu": 0 },
                    "labels": self.labels, "machine": self.machine,
                    "clock_ms": life.clock_ms(), "call_seq": life.clock_ms(),
                });
                (life.id.clone(), entry)
            });
            if let Some((id, at)) = &shown
                && entry.as_ref().is_none_or(|(now, _)| now != id)
                && at.elapsed() >= SILENCE
            {
                store.write("keyed.servers", id, b"");
                shown = None;
            }
            if let Some((id, entry)) = entry {
                store.write("keyed.servers", &id, entry.to_string().as_bytes());
                if let Some((old, _)) = shown.replace((id.clone(), Instant::now()))
                    && old != id
                {
                    store.write("keyed.servers", &old, b"");
                }
            }
            // A worker that begins a life says so at once.
            let until = Instant::now() + BEAT;
            while Instant::now() < until {
                thread::sleep(Duration::from_millis(50));
                let life = self.lock().as_ref().map(|life| life.id.clone());
                if life.is_some() && life != shown.as_ref().map(|(id, _)| id.clone()) {
                    break;
                }
            }
        }
    }

    fn end(&self, life: &mut Life, task: &str, how: &'static str) {
        let Some(run) = life.runs.remove(task) else { return };
        life.ended_runs.insert(task.to_owned(), run.number);
        life.last_end += 1;
        let end = End { number: life.last_end, task: task.to_owned(), run: run.number, how };
        life.ends.push(end);
        self.record.ended(&life.id, task, run.number, how);
        self.changed.notify_all();
    }

    fn tick(&self) {
        loop {
            thread::sleep(TICK);
            let mut life = self.lock();
            let Some(life) = life.as_mut() else { continue };
            let lapsed = life.clock_ms() > life.lease_ms;
            let over = life.runs.iter().filter_map(|(task, run)| {
                let done = run.began.elapsed() >= run.takes;
                (lapsed || done).then(|| (task.clone(), if lapsed { "lapsed" } else { "done" }))
            });
            for (task, how) in over.collect::<Vec<_>>() {
                self.end(life, &task, how);
            }
        }
    }

    fn handle(&self, call: &Call) -> Option<Reply> {
        let body: Value = serde_json::from_slice(&call.body).unwrap_or_default();
        let mut guard = self.lock();
        let life = guard.as_mut()?;
        if call.header("x-expect-instance").is_some_and(|id| id != life.id) {
            return Some(Reply::empty(421));
        }
        if call.method == "GET" {
            return Some(Reply::empty(200));
        }
        if !life.accepts(&body) {
            return Some(life.refusal("fence"));
        }
        match call.path.as_str() {
            "/crosspath/run-start" if self.refuses.load(Ordering::Relaxed) => {
                let task = body["task"].as_str().unwrap_or_default();
                self.record.line(&format!("worker {} answers 503 to a start of {task}", life.id));
                Some(Reply::empty(503))
            }
            "/crosspath/run-start" => Some(self.start(life, &body)),
            "/crosspath/run-stop" => {
                let task = body["task"].as_str().unwrap_or_default();
                let number = body["run"].as_u64().unwrap_or(0);
                if life.runs.get(task).is_some_and(|run| run.number <= number) {
                    self.end(life, task, "stopped");
                }
                let ended = life.ended_runs.entry(task.to_owned()).or_default();
                *ended = (*ended).max(number);
                Some(Reply::json(200, &json!({ "clock_ms": life.clock_ms() })))
            }
            "/crosspath/pace" => Some(Reply::json(200, &json!({ "clock_ms": life.clock_ms() }))),
            "/crosspath/hold" => self.hold(guard, &body),
            _ => Some(Reply::empty(404)),
        }
    }

    fn start(&self, life: &mut Life, body: &Value) -> Reply {
        let task = body["task"].as_str().unwrap_or_default();
        let number = body["run"].as_u64().unwrap_or(0);
        let deadline_ms = body["deadline_ms"].as_u64().unwrap_or(0);
        if deadline_ms < life.clock_ms() {
            return life.refusal("late");
        }
        life.lease(deadline_ms);
        if life.runs.get(task).is_some_and(|run| run.number == number) {
            return Reply::json(200, &json!({ "clock_ms": life.clock_ms() }));
        }
        let ended = life.ended_runs.get(task).copied().unwrap_or(0);
        if number <= ended || life.runs.contains_key(task) {
            return life.refusal("old");
        }
        if let Some(ticket) = body["ticket"].as_str()
            && let Some((step, _)) = task.rsplit_once('.')
            && advice::ticket(step, &life.id).as_deref() != Some(ticket)
        {
            return life.refusal("ticket");
        }
        let mut parts = task.split('.');
        let (job, _time) = (parts.next().unwrap_or_default(), parts.next());
        let step = parts.next().and_then(|step| step.parse().ok()).unwrap_or(0);
        let index: u64 = parts.next().and_then(|index| index.parse().ok()).unwrap_or(0);
        let needs = self.needs.lock().unwrap_or_else(PoisonError::into_inner);
        let (cpu, mem_mb) = needs.get(&(job.to_owned(), step)).copied().unwrap_or_default();
        drop(needs);
        let used_cpu: u64 = life.runs.values().map(|run| run.cpu).sum();
        let used_mb: u64 = life.runs.values().map(|run| run.mem_mb).sum();
        if used_cpu + cpu > CPU || used_mb + mem_mb > MEMORY_MB {
            return life.refusal("room");
        }
        let text = body["spec"].as_str().unwrap_or_default();
        let mut range = text.split(' ').filter_map(|ms| ms.parse::<u64>().ok());
        let (least, most) = (range.next().unwrap_or(0), range.next().unwrap_or(0));
        // Spreads the durations evenly over the range, in an order that is not that of the starts.
        let spread = (index * 7_919) % 1_000;
        let takes = Duration::from_millis(least + (most.saturating_sub(least)) * spread / 1_000);
        let run = Run { number, cpu, mem_mb, began: Instant::now(), takes };
        life.runs.insert(task.to_owned(), run);
        self.record.started(&life.id, task, number);
        Reply::json(200, &json!({ "clock_ms": life.clock_ms() }))
    }

    fn hold(&self, mut guard: MutexGuard<'_, Option<Life>>, body: &Value) -> Option<Reply> {
        let id = {
            let life = guard.as_mut()?;
            if let Some(deadline_ms) = body["deadline_ms"].as_u64() {
                life.lease(deadline_ms);
            }
            let last_seen = body["last_seen"].as_u64().unwrap_or(0);
            for end in life.ends.iter().filter(|end| end.number <= last_seen) {
                self.record.noted(&life.id, &end.task, end.run, end.how);
            }
            life.ends.retain(|end| end.number > last_seen);
            life.id.clone()
        };
        let wait = Duration::from_millis(body["wait_ms"].as_u64().unwrap_or(0).min(MAX_WAIT_MS));
        let deadline = Instant::now() + wait;
        loop {
            let now = Instant::now();
            let life = guard.as_ref().filter(|life| life.id == id)?;
            if !life.ends.is_empty() || now >= deadline {
                let running = life
                    .runs
                    .iter()
                    .map(|(task, run)| json!([task, run.number, "", run.percent(), run.cpu]));
                let running: Vec<_> = running.collect();
                let ends = life.ends.iter().take(ENDS_AT_A_TIME);
                let ends = ends.map(|end| json!([end.number, end.task, end.run, end.how, ""]));
                let ends: Vec<_> = ends.collect();
                let body =
                    json!({ "clock_ms": life.clock_ms(), "running": running, "ended": ends });
                return Some(Reply::json(200, &body));
            }
            let waited = self.changed.wait_timeout(guard, deadline - now);
            guard = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}
