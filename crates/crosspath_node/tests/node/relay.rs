//! Orders and calls that take a relay. Guards against orders that a relay repeats or changes,
//! workers that are lost to their owner although a third data centre reaches them, a second hop,
//! relays without a bound, and relays where they are switched off.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use async_trait::async_trait;
use crosspath_border::ingress::Submitted;
use crosspath_border::store::{NewRecord, Partition, Precondition, Store as _, Topic};
use crosspath_border::worker::{
    Entry, Error, Poll, PollReply, Runner, Running, Start, Started, Target, Timestamped,
};
use crosspath_fakes::memory_store::MemoryStore;
use crosspath_http::client::{Client, Error as CallError, Method};
use crosspath_job::spec::Resources;
use crosspath_job::{JobId, TaskId};
use serde_json::{Value, json};

use crate::common::{Daemon, SETTLE_TIME, SHARDS, SMALL_MILLICORES, Site, log_with_one_pool};

/// Time in which a direct call to a worker behind the cut gets no answer.
const CUT_TIMEOUT: Duration = Duration::from_millis(60);
/// Time until a job's task has been placed, also by a relay.
const PLACEMENT_TIME: Duration = Duration::from_secs(30);
/// Time for which a test watches for orders that must not come.
const WATCH_TIME: Duration = Duration::from_millis(1_500);
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const WORKER_CLOCK_MS: u64 = 1_000_000;

/// Worker in data centre "b", with the links to it from the daemons' data centres.
#[derive(Debug, Default)]
struct FakeWorker {
    state: Mutex<State>,
    /// Whether starts are executed without an answer.
    swallows_answers: AtomicBool,
    /// Whether polls are never answered.
    stalls_polls: AtomicBool,
}

#[derive(Debug, Default)]
struct State {
    /// Data centres whose daemons do not reach the worker.
    cut: HashSet<&'static str>,
    token: u64,
    running: Vec<(TaskId, u64)>,
    /// Number of answered polls, which serves as the progress of the runs.
    polls: u32,
    /// Executed starts, each with the data centre of the daemon that sent it.
    starts: Vec<(&'static str, Start)>,
    /// Data centre of the last daemon that polled with a deadline, which is the owner's.
    owner: Option<&'static str>,
}

impl FakeWorker {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no test panicked with the lock held")
    }

    fn starts(&self) -> Vec<(&'static str, Start)> {
        self.state().starts.clone()
    }

    async fn wait_for<T>(&self, mut find: impl FnMut(&State) -> Option<T>) -> T {
        let found = async {
            loop {
                if let Some(found) = find(&self.state()) {
                    return found;
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        tokio::time::timeout(PLACEMENT_TIME, found).await.expect("the worker gets its orders")
    }
}

/// Client of the daemons in one data centre.
#[derive(Debug)]
struct Link {
    from: &'static str,
    worker: Arc<FakeWorker>,
}

impl Link {
    /// Passes the fault and the fencing of a worker.
    async fn reach(&self, token: u64) -> Result<(), Error> {
        if self.worker.state().cut.contains(self.from) {
            tokio::time::sleep(CUT_TIMEOUT).await;
            return Err(Error::NoAnswer);
        }
        let mut state = self.worker.state();
        if token < state.token {
            return Err(Error::Fenced);
        }
        state.token = token;
        Ok(())
    }
}

fn timestamped<T>(value: T) -> Timestamped<T> {
    Timestamped { value, clock_ms: Some(WORKER_CLOCK_MS) }
}

#[async_trait]
impl Runner for Link {
    async fn start(&self, _: &Target, start: &Start) -> Result<Timestamped<Started>, Error> {
        match self.reach(start.token).await {
            Err(Error::Fenced) => return Ok(timestamped(Started::Fenced)),
            reached => reached?,
        }
        {
            let mut state = self.worker.state();
            state.starts.push((self.from, start.clone()));
            state.running.push((start.task, start.run));
        }
        if self.worker.swallows_answers.load(Ordering::SeqCst) {
            std::future::pending::<()>().await;
        }
        Ok(timestamped(Started::Yes))
    }

    async fn stop(
        &self,
        _: &Target,
        task: TaskId,
        run: u64,
        token: u64,
    ) -> Result<Timestamped<()>, Error> {
        self.reach(token).await?;
        self.worker.state().running.retain(|running| *running != (task, run));
        Ok(timestamped(()))
    }

    async fn poll(&self, target: &Target, poll: &Poll) -> Result<PollReply, Error> {
        self.reach(poll.token).await?;
        if self.worker.stalls_polls.load(Ordering::SeqCst) {
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(poll.wait.min(Duration::from_millis(100))).await;
        let mut state = self.worker.state();
        if poll.deadline_ms.is_some() {
            state.owner = Some(self.from);
        }
        state.polls += 1;
        let percent = state.polls % 100;
        let listed = |(task, run): &(TaskId, u64)| Running {
            task: *task,
            run: *run,
            checkpoint: None,
            percent,
            gauge: 0,
        };
        Ok(PollReply {
            clock_ms: WORKER_CLOCK_MS,
            started_ms: target.started_ms,
            running: state.running.iter().map(listed).collect(),
            ..PollReply::default()
        })
    }

    async fn throttle(
        &self,
        _: &Target,
        _: TaskId,
        _: u64,
        _: u32,
        token: u64,
    ) -> Result<Timestamped<()>, Error> {
        self.reach(token).await.map(timestamped)
    }

    fn forget(&self, _: &Target) {}
}

fn target() -> Target {
    Target {
        address: "127.0.0.1:9".parse().expect("an address"),
        id: "i-1".into(),
        started_ms: 7,
        data_centre: "b".into(),
    }
}

fn start(token: u64) -> Start {
    Start {
        task: TaskId { job: JobId(1), occurrence: 0, step: 0, index: 0 },
        run: 1,
        text: "text".into(),
        deadline_ms: 1_002_000,
        token,
        checkpoint: None,
        ticket: None,
    }
}

async fn list_worker(log: &MemoryStore) {
    let Target { address, id, started_ms, data_centre } = target();
    let entry = Entry {
        id,
        pool: "counter".into(),
        vm: "vm-1".into(),
        data_centre,
        address,
        draining: false,
        remaining_ms: 0,
        capacity: Resources { cpu_millis: 32_000, mem_mb: 128_000, gpus: 0 },
        labels: Vec::new(),
        clock_ms: WORKER_CLOCK_MS,
        started_ms,
        warm_up_ms: 0,
    };
    let value = serde_json::to_vec(&entry).expect("an entry is JSON").into();
    let record = NewRecord { key: "i-1".into(), value };
    let workers = Partition { topic: Topic::Workers, number: 0 };
    log.append(workers, &[record], Precondition::Unconditional).await.expect("log appends");
}

fn site(data_centre: &'static str, worker: &Arc<FakeWorker>) -> Site {
    let link = Link { from: data_centre, worker: Arc::clone(worker) };
    Site { data_centre, runner: Arc::new(link), relays: true, ..Site::default() }
}

/// Daemons in data centres "a", "c" and "d". The one that owns the worker's shard is in the data
/// centre that is returned, and does not reach the worker any more.
async fn cut_owner_off(worker: &Arc<FakeWorker>) -> (Vec<Daemon>, &'static str) {
    let log = log_with_one_pool().await;
    list_worker(&log).await;
    let mut daemons = Vec::new();
    for (name, data_centre) in [("entry-1", "a"), ("entry-2", "c"), ("entry-3", "d")] {
        daemons.push(Daemon::start_on(name, &log, site(data_centre, worker)).await);
    }
    tokio::time::sleep(SETTLE_TIME).await;
    let owner = worker.wait_for(|state| state.owner).await;
    worker.state().cut.insert(owner);
    (daemons, owner)
}

async fn relay(to: SocketAddr, forward: &Value) -> Result<Value, CallError> {
    Client::new(to, CALL_TIMEOUT).call(Method::POST, "/relay", Some(forward)).await
}

fn relayed_start(token: u64) -> Value {
    json!({ "timeout_ms": 400, "call": { "start": { "target": target(), "start": start(token) } } })
}

/// Number of starts of each run.
fn count_by_run(starts: &[(&str, Start)]) -> BTreeMap<(TaskId, u64), usize> {
    let mut counts = BTreeMap::new();
    for (_, start) in starts {
        *counts.entry((start.task, start.run)).or_default() += 1;
    }
    counts
}

#[tokio::test]
async fn an_order_around_a_broken_link_reaches_its_worker_once() {
    let worker = Arc::new(FakeWorker::default());
    let (daemons, owner) = cut_owner_off(&worker).await;
    assert_eq!(daemons[0].submit(1).await, Submitted::Accepted);
    worker.wait_for(|state| (!state.starts.is_empty()).then_some(())).await;
    tokio::time::sleep(WATCH_TIME).await;
    let starts = worker.starts();
    assert_eq!(starts.len(), 1, "{starts:?}");
    let (from, start) = &starts[0];
    assert_ne!(*from, owner, "the start came by a relay");
    assert_eq!(start.token, worker.state().token, "the owner's token travels unchanged");
    assert!(start.deadline_ms > WORKER_CLOCK_MS, "so does the deadline on the worker's clock");
    assert_eq!(worker.state().running.len(), 1, "the owner follows the run by the relay");
}

/// The relay executes the start, and its reply is lost. The owner does not know whether the run
/// exists; it stops it, and starts the task again only under the next number.
#[tokio::test]
async fn a_start_whose_relay_does_not_answer_is_not_repeated() {
    let worker = Arc::new(FakeWorker::default());
    let (daemons, _) = cut_owner_off(&worker).await;
    worker.swallows_answers.store(true, Ordering::SeqCst);
    assert_eq!(daemons[0].submit(1).await, Submitted::Accepted);
    worker.wait_for(|state| (!state.starts.is_empty()).then_some(())).await;
    tokio::time::sleep(WATCH_TIME).await;
    worker.swallows_answers.store(false, Ordering::SeqCst);
    let counts = count_by_run(&worker.starts());
    assert!(counts.values().all(|count| *count == 1), "{counts:?}");
    assert!(worker.state().running.len() <= 1, "no task runs twice");
}

/// Two owners on both sides of a cut: the promise that no task runs twice is the worker's, which
/// obeys the highest fencing token, by whatever path an order comes.
#[tokio::test]
async fn the_order_of_a_previous_owner_is_fenced_by_a_relay_too() {
    let worker = Arc::new(FakeWorker::default());
    let log = log_with_one_pool().await;
    let daemon = Daemon::start_on("entry-1", &log, site("c", &worker)).await;
    worker.state().token = 9;
    let refused = relay(daemon.peers, &relayed_start(8)).await.expect("the relay replies");
    assert_eq!(refused["started"]["value"], "Fenced");
    assert_eq!(worker.starts().len(), 0);
    let accepted = relay(daemon.peers, &relayed_start(9)).await.expect("the relay replies");
    assert_eq!(accepted["started"]["value"], "Yes");
    let starts = worker.starts();
    assert_eq!((starts.len(), starts[0].1.deadline_ms), (1, 1_002_000));
}

#[tokio::test]
async fn a_relay_tells_an_unreached_destination_from_its_own_fault() {
    let worker = Arc::new(FakeWorker::default());
    worker.state().cut.insert("c");
    let log = log_with_one_pool().await;
    let daemon = Daemon::start_on("entry-1", &log, site("c", &worker)).await;
    let reply = relay(daemon.peers, &relayed_start(1)).await.expect("the relay replies");
    assert_eq!(reply, json!("no_answer"));
}

/// The caller must hear that the relay is alive before its own time is over.
#[tokio::test]
async fn a_relay_gives_up_in_time_on_a_worker_that_does_not_answer() {
    let worker = Arc::new(FakeWorker::default());
    worker.swallows_answers.store(true, Ordering::SeqCst);
    let log = log_with_one_pool().await;
    let daemon = Daemon::start_on("entry-1", &log, site("c", &worker)).await;
    let reply = relay(daemon.peers, &relayed_start(1)).await.expect("the relay replies");
    assert_eq!(reply, json!("no_answer"));
    assert_eq!(worker.starts().len(), 1, "it does not send the order again");
}

#[tokio::test]
async fn a_relayed_call_contains_no_relayed_call() {
    let worker = Arc::new(FakeWorker::default());
    let log = log_with_one_pool().await;
    let first = Daemon::start_on("entry-1", &log, site("c", &worker)).await;
    let second = Daemon::start_on("entry-2", &log, site("d", &worker)).await;
    let through = |request: Value| {
        json!({
            "timeout_ms": 400,
            "call": { "peer": { "address": second.peers, "once": false, "request": request } }
        })
    };
    let reply = relay(first.peers, &through(json!("life"))).await.expect("the relay replies");
    let member = reply["peer"]["life"]["member"].as_str().expect("a member text");
    assert!(member.contains("entry-2"), "{member}");
    let nested = relay(first.peers, &through(relayed_start(1))).await;
    assert!(matches!(nested, Err(CallError::Status { status, .. }) if status == 400), "{nested:?}");
    assert_eq!(worker.starts().len(), 0);
}

#[tokio::test]
async fn a_full_relay_refuses_without_effect() {
    let worker = Arc::new(FakeWorker::default());
    worker.stalls_polls.store(true, Ordering::SeqCst);
    let log = log_with_one_pool().await;
    let site = Site { millicores: SMALL_MILLICORES, ..site("c", &worker) };
    let daemon = Daemon::start_on("entry-1", &log, site).await;
    let poll = Poll { token: 1, acknowledged: 0, deadline_ms: None, wait: Duration::ZERO };
    let waiting =
        json!({ "timeout_ms": 60_000, "call": { "poll": { "target": target(), "poll": poll } } });
    let peers = daemon.peers;
    let calls: Vec<_> = (0..SMALL_MILLICORES)
        .map(|_| {
            let waiting = waiting.clone();
            tokio::spawn(async move { relay(peers, &waiting).await })
        })
        .collect();
    let full = async {
        while relay(peers, &relayed_start(1)).await.ok() != Some(json!("full")) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(CALL_TIMEOUT, full).await.expect("the relay becomes full");
    let before = worker.starts().len();
    relay(peers, &relayed_start(1)).await.expect("the relay replies");
    assert_eq!(worker.starts().len(), before);
    calls.iter().for_each(tokio::task::JoinHandle::abort);
}

#[tokio::test]
async fn a_daemon_without_relays_rejects_relayed_calls() {
    let worker = Arc::new(FakeWorker::default());
    let log = log_with_one_pool().await;
    let site = Site { relays: false, ..site("c", &worker) };
    let daemon = Daemon::start_on("entry-1", &log, site).await;
    let reply = relay(daemon.peers, &relayed_start(1)).await;
    assert!(matches!(reply, Err(CallError::Status { status, .. }) if status == 400), "{reply:?}");
    assert_eq!(worker.starts().len(), 0);
}

/// Sends a daemon the VMs to vacate, as the fleet's owner does in a planning round. The number of
/// the worker's shard is not known here.
async fn send_round(to: SocketAddr, round: u64, vacate: &[&str]) {
    let mut reports = 0;
    for shard in 0..SHARDS {
        let request = json!({ "pool": { "shard": shard, "vacate": vacate, "round": [1, round] } });
        let client = Client::new(to, CALL_TIMEOUT);
        let reply: Value =
            client.call(Method::POST, "/peer", Some(&request)).await.expect("a reply");
        reports += usize::from(reply.get("pool").is_some());
    }
    assert!(reports > 0, "late rounds get reports, too");
}

/// A request of an earlier round that arrives late would have tasks start on a VM that is about to
/// be moved.
#[tokio::test]
async fn a_late_request_of_an_earlier_round_vacates_and_frees_no_vm() {
    let log = log_with_one_pool().await;
    list_worker(&log).await;
    let worker = Arc::new(FakeWorker::default());
    let daemon =
        Daemon::start_on("entry-1", &log, Site { fleet: None, ..site("a", &worker) }).await;
    tokio::time::sleep(SETTLE_TIME).await;
    worker.wait_for(|state| state.owner).await;
    send_round(daemon.peers, 5, &["vm-1"]).await;
    send_round(daemon.peers, 4, &[]).await;
    assert_eq!(daemon.submit(1).await, Submitted::Accepted);
    tokio::time::sleep(WATCH_TIME).await;
    assert!(worker.starts().is_empty(), "the VM is being vacated");
    send_round(daemon.peers, 6, &[]).await;
    worker.wait_for(|state| state.starts.first().cloned()).await;
}
