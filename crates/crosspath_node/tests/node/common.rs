//! Starts daemons that share an in-memory log, and the one worker that it may list.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::{SocketAddr, TcpListener as StdListener};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, LazyLock, Mutex, MutexGuard};
use std::time::Duration;

use async_trait::async_trait;
use crosspath_border::customer::{Customer, Keys, Registration};
use crosspath_border::ingress::{Access, Cancelled, Handler, Lookup, Resolved, Submitted};
use crosspath_border::operator::{Change, Config, DEFAULT_BODY_BYTES, Pool, Queue, WaveState};
use crosspath_border::store::{
    self, Appended, DecodeError, Error, Holder, Join, Membership, NewRecord, NewestPage, Page,
    Partition, Precondition, Store, Stored, Topic,
};
use crosspath_border::vm::{self, Authority, Fleet, Order, State, Verdict, Vm};
use crosspath_border::worker::{
    self, Poll, PollReply, Runner, Running, Start, Started, Target, Timestamped,
};
use crosspath_fakes::memory_store::MemoryStore;
use crosspath_http::capacity::Capacity;
use crosspath_http::server::{Limits, Stage};
use crosspath_job::record::Policy;
use crosspath_job::spec::{Resources, Spec, Step};
use crosspath_job::{JobId, TaskId};
use crosspath_node::settings::{Admission, Costs, FailureDomains};
use crosspath_node::{Ports, Settings};
use tokio::net::TcpListener;
use tokio::sync::watch;

pub(crate) const SHARDS: u32 = 4;
/// The one pool of a configuration that gives none.
const POOL: &str = "counter";
/// Processor capacity of a VM whose daemon is a candidate for ownership, and of one whose daemon is
/// not while there are larger ones.
const LARGE_MILLICORES: u32 = 250;
pub(crate) const SMALL_MILLICORES: u32 = 120;
/// Timeout of the callers' requests.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval between checks whether a daemon is ready, and pause of reads that return no records.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which each daemon has read the holders of all shards.
pub(crate) const SETTLE_TIME: Duration = Duration::from_millis(2_000);

/// Connection of one daemon to the shared log, with faults and counters.
#[derive(Debug)]
pub(crate) struct FaultyStore {
    log: Arc<MemoryStore>,
    /// Number of unconditional appends, which carry callers' records, that were passed on to the
    /// log.
    appends: AtomicUsize,
    /// Whether the log refuses unconditional appends.
    refuse_appends: AtomicBool,
    /// Whether the answers to unconditional appends are lost.
    lose_append_answers: AtomicBool,
    /// Time in ms before unconditional appends are passed on to the log.
    append_delay_ms: AtomicU64,
    /// Whether the log refuses every call except conditional appends.
    down: AtomicBool,
    /// Whether the next read of the operators' log finds its records gone.
    truncated: AtomicBool,
    /// Whether reads of the operators' log get no answer.
    operators_silent: AtomicBool,
    /// Number of unconditional appends that were refused.
    refused_appends: AtomicUsize,
    /// Number of reads of the worker list.
    worker_reads: AtomicUsize,
    /// Number of reads of the holders of shards.
    holder_reads: AtomicUsize,
}

impl FaultyStore {
    fn check_up(&self) -> Result<(), Error> {
        let down = self.down.load(Ordering::SeqCst);
        if down { Err(Error::Refused { status: 503 }) } else { Ok(()) }
    }

    fn count(&self, partition: Partition) {
        if partition.topic == Topic::Workers {
            self.worker_reads.fetch_add(1, Ordering::SeqCst);
        }
    }
}

#[async_trait]
impl Store for FaultyStore {
    fn limits(&self) -> store::Limits {
        self.log.limits()
    }

    async fn append(
        &self,
        partition: Partition,
        records: &[NewRecord],
        precondition: Precondition,
    ) -> Result<Appended, Error> {
        if matches!(precondition, Precondition::Unconditional) {
            if self.refuse_appends.load(Ordering::SeqCst) || self.down.load(Ordering::SeqCst) {
                self.refused_appends.fetch_add(1, Ordering::SeqCst);
                return Err(Error::Refused { status: 503 });
            }
            let delay_ms = self.append_delay_ms.load(Ordering::SeqCst);
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            self.appends.fetch_add(1, Ordering::SeqCst);
            let appended = self.log.append(partition, records, precondition).await;
            let is_lost = self.lose_append_answers.load(Ordering::SeqCst);
            return if is_lost { Err(Error::NoAnswer) } else { appended };
        }
        self.log.append(partition, records, precondition).await
    }

    async fn read(&self, partition: Partition, from: u64, wait: Duration) -> Result<Page, Error> {
        self.check_up()?;
        self.count(partition);
        if partition.topic == Topic::Operators && self.operators_silent.load(Ordering::SeqCst) {
            std::future::pending::<()>().await;
        }
        if partition.topic == Topic::Operators && self.truncated.swap(false, Ordering::SeqCst) {
            return Err(Error::Truncated { first: from + 1 });
        }
        let page = self.log.read(partition, from, wait).await?;
        if page.records.is_empty() {
            tokio::time::sleep(wait.min(POLL_INTERVAL)).await;
        }
        Ok(page)
    }

    async fn newest(&self, partition: Partition, after: Option<&str>) -> Result<NewestPage, Error> {
        self.check_up()?;
        self.count(partition);
        self.log.newest(partition, after).await
    }

    async fn join(&self, join: &Join) -> Result<Membership, Error> {
        self.check_up()?;
        self.log.join(join).await
    }

    async fn leave(&self, member: &str) -> Result<(), Error> {
        self.check_up()?;
        self.log.leave(member).await
    }

    async fn holders(&self) -> Result<Vec<Holder>, Error> {
        self.check_up()?;
        self.holder_reads.fetch_add(1, Ordering::SeqCst);
        self.log.holders().await
    }

    fn decode_change(&self, record: &Stored) -> Result<Change, DecodeError> {
        let text = String::from_utf8_lossy(&record.value);
        let (text, names) = text.split_once(" >").unwrap_or((&*text, POOL));
        let names: Vec<&str> = names.split(',').collect();
        let queues = vec![Queue { pool: names[0].into(), ..queue() }];
        let pools = names.into_iter().map(|name| Pool { name: name.into(), spare: false });
        let pools = pools.collect();
        let (version, registrations) = registrations(text);
        let keys = Keys::new(&registrations).expect("no key belongs to two customers");
        let customers = registrations.into_iter().map(|row| row.customer).collect();
        let body_bytes = DEFAULT_BODY_BYTES;
        Ok(Change::Config(Config { version, queues, pools, customers, keys, body_bytes }))
    }

    fn decode_worker(&self, record: &Stored) -> Result<worker::Entry, DecodeError> {
        serde_json::from_slice(&record.value).map_err(|error| DecodeError {
            key: record.key.clone(),
            offset: record.offset,
            detail: error.to_string(),
        })
    }

    fn encode_wave_status(&self, wave: u64, state: WaveState) -> NewRecord {
        self.log.encode_wave_status(wave, state)
    }

    fn decode_wave_status(&self, record: &Stored) -> Result<(u64, WaveState), DecodeError> {
        self.log.decode_wave_status(record)
    }
}

/// Parses a configuration of the form "VERSION CUSTOMER=KEY,KEY ..." into its version and
/// customers.
fn registrations(text: &str) -> (u64, Vec<Registration>) {
    let mut words = text.split(' ');
    let version = words
        .next()
        .and_then(|word| word.parse().ok())
        .expect("configuration starts with a version");
    let row = |word: &str| {
        let (name, keys) = word.split_once('=').expect("customer has the form NAME=KEYS");
        let customer = Customer { name: name.into(), weight: 1.0, maximum: Resources::UNLIMITED };
        let keys = keys.split(',').filter(|key| !key.is_empty()).map(str::to_owned).collect();
        Registration { customer, keys }
    };
    (version, words.map(row).collect())
}

/// Workers that accept all starts and whose tasks never end by themselves. All workers of a daemon
/// share their runs, so that there should be one.
#[derive(Debug, Default)]
struct BusyWorkers(Mutex<Vec<Running>>);

impl BusyWorkers {
    fn runs(&self) -> MutexGuard<'_, Vec<Running>> {
        self.0.lock().expect("no test panicked with the lock held")
    }
}

#[async_trait]
impl Runner for BusyWorkers {
    async fn start(
        &self,
        _: &Target,
        start: &Start,
    ) -> Result<Timestamped<Started>, worker::Error> {
        let Start { task, run, .. } = *start;
        self.runs().push(Running { task, run, checkpoint: None, percent: 0, gauge: 0 });
        Ok(Timestamped { value: Started::Yes, clock_ms: None })
    }

    async fn stop(
        &self,
        _: &Target,
        task: TaskId,
        _: u64,
        _: u64,
    ) -> Result<Timestamped<()>, worker::Error> {
        self.runs().retain(|running| running.task != task);
        Ok(Timestamped { value: (), clock_ms: None })
    }

    async fn poll(&self, _: &Target, poll: &Poll) -> Result<PollReply, worker::Error> {
        tokio::time::sleep(poll.wait.max(POLL_INTERVAL)).await;
        Ok(PollReply { running: self.runs().clone(), ..PollReply::default() })
    }

    async fn throttle(
        &self,
        _: &Target,
        _: TaskId,
        _: u64,
        _: u32,
        _: u64,
    ) -> Result<Timestamped<()>, worker::Error> {
        Ok(Timestamped { value: (), clock_ms: None })
    }

    fn forget(&self, _: &Target) {}
}

/// Adds a worker with one core to the list.
pub(crate) async fn list_worker(log: &MemoryStore) {
    let entry = worker::Entry {
        id: "worker-1".into(),
        pool: "counter".into(),
        vm: "vm-1".into(),
        data_centre: "a".into(),
        address: "127.0.0.1:9".parse().expect("an address"),
        draining: false,
        remaining_ms: 0,
        capacity: Resources { cpu_millis: 1_000, mem_mb: 128_000, gpus: 0 },
        labels: Vec::new(),
        clock_ms: 0,
        started_ms: 0,
        warm_up_ms: 0,
    };
    let value = serde_json::to_vec(&entry).expect("entries are serialisable as JSON");
    let record = NewRecord { key: entry.id.to_string(), value: value.into() };
    append(log, Partition { topic: Topic::Workers, number: 0 }, &[record]).await;
}

fn queue() -> Queue {
    let policy = Policy { priority: 0, max_attempts: 3, stretch: 1.6, target_ms: 600 };
    Queue {
        name: "payments".into(),
        host: "pay.example".into(),
        prefix: "/jobs/".into(),
        pool: POOL.into(),
        policy,
        advice: None,
        open: false,
    }
}

fn access(customer: Option<&str>) -> Access {
    Access { queue: Arc::new(queue()), customer: customer.map(Arc::from), subpath: String::new() }
}

fn spec() -> Spec {
    let resources = Resources { cpu_millis: 1_000, mem_mb: 100, gpus: 0 };
    let step = Step { tasks: 1, resources, estimate_ms: 800, ..Step::default() };
    Spec { text: "text".into(), steps: vec![step], repeat: None }
}

type Serving = Pin<Box<dyn Future<Output = ()> + Send>>;

/// Handlers of callers' requests, by the callers' address of their daemon.
static HANDLERS: LazyLock<Mutex<HashMap<SocketAddr, Arc<dyn Handler>>>> =
    LazyLock::new(Mutex::default);

fn register_handler(
    listener: TcpListener,
    _: Limits,
    _: watch::Receiver<Stage>,
    handler: Arc<dyn Handler>,
) -> Serving {
    let address = listener.local_addr().expect("a bound listener has an address");
    HANDLERS.lock().expect("no test panicked with the lock held").insert(address, handler);
    Box::pin(std::future::pending())
}

fn serve_nothing(
    _: TcpListener,
    _: Limits,
    _: watch::Receiver<Stage>,
    _: Arc<dyn Handler>,
) -> Serving {
    Box::pin(std::future::pending())
}

/// Addresses that have been assigned to daemons of this process.
static ASSIGNED_ADDRESSES: LazyLock<Mutex<HashSet<SocketAddr>>> = LazyLock::new(Mutex::default);

/// Address that no other daemon of this process has. The system may return the same free port twice
/// before the first daemon listens on it. The second daemon would then fail to start, and its test
/// would call the handler of the first.
pub(crate) fn free_address() -> SocketAddr {
    loop {
        let listener = StdListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("a bound listener has an address");
        if ASSIGNED_ADDRESSES.lock().expect("no test panicked with the lock held").insert(address) {
            return address;
        }
    }
}

pub(crate) struct Daemon {
    store: Arc<FaultyStore>,
    handler: Arc<dyn Handler>,
    /// Address for peers.
    pub(crate) peers: SocketAddr,
}

/// What distinguishes a daemon from others of its test.
#[derive(Debug)]
pub(crate) struct Site {
    pub(crate) fleet: Option<Arc<dyn Fleet>>,
    pub(crate) millicores: u32,
    pub(crate) data_centre: &'static str,
    pub(crate) runner: Arc<dyn Runner>,
    pub(crate) relays: bool,
    pub(crate) admission: Admission,
}

impl Default for Site {
    fn default() -> Self {
        Self {
            fleet: Some(Arc::new(FakeFleet::healthy(30))),
            millicores: LARGE_MILLICORES,
            data_centre: "a",
            runner: Arc::new(BusyWorkers::default()),
            relays: false,
            admission: Admission::default(),
        }
    }
}

impl Daemon {
    pub(crate) async fn start(name: &str, log: &Arc<MemoryStore>) -> Self {
        Self::start_on(name, log, Site::default()).await
    }

    /// Starts a daemon on a VM that is too small to own shards while there are large ones.
    pub(crate) async fn start_small(name: &str, log: &Arc<MemoryStore>) -> Self {
        let site = Site { millicores: SMALL_MILLICORES, ..Site::default() };
        Self::start_on(name, log, site).await
    }

    /// Starts a daemon that refuses jobs beyond their customers' shares.
    pub(crate) async fn start_refusing(name: &str, log: &Arc<MemoryStore>) -> Self {
        let admission = Admission { by_customer: true, ..Admission::default() };
        Self::start_on(name, log, Site { admission, ..Site::default() }).await
    }

    /// Starts a daemon with the given VM list; `None` if VMs are not managed.
    pub(crate) async fn start_with(
        name: &str,
        log: &Arc<MemoryStore>,
        fleet: Option<Arc<dyn Fleet>>,
    ) -> Self {
        Self::start_on(name, log, Site { fleet, ..Site::default() }).await
    }

    pub(crate) async fn start_on(name: &str, log: &Arc<MemoryStore>, site: Site) -> Self {
        let Site { fleet, millicores, data_centre, runner, relays, admission } = site;
        let addresses: Vec<SocketAddr> = (0..4).map(|_| free_address()).collect();
        let settings = Settings {
            name: name.into(),
            data_centre: data_centre.into(),
            data_centres: BTreeSet::new(),
            millicores,
            callers: addresses[0],
            readiness: addresses[1],
            peers: addresses[2],
            metrics: addresses[3],
            source: None,
            log: addresses[0],
            vms: None,
            vm_orders_per_s: 64.0,
            advice: None,
            log_limits: store::Limits::default(),
            shards: SHARDS,
            max_lease: Duration::from_secs(6),
            min_member_ttl: Duration::from_secs(1),
            vm_order_exclusion: Duration::from_secs(3),
            evacuation_limit: None,
            ended_job_retention: Duration::from_secs(120),
            stop_grace: Duration::from_secs(6),
            costs: Costs::default(),
            failure_domains: FailureDomains::default(),
            relays,
            admission,
            capacity: Capacity::default(),
        };
        let store = Arc::new(FaultyStore {
            log: Arc::clone(log),
            appends: AtomicUsize::new(0),
            refuse_appends: AtomicBool::new(false),
            lose_append_answers: AtomicBool::new(false),
            append_delay_ms: AtomicU64::new(0),
            down: AtomicBool::new(false),
            truncated: AtomicBool::new(false),
            operators_silent: AtomicBool::new(false),
            refused_appends: AtomicUsize::new(0),
            worker_reads: AtomicUsize::new(0),
            holder_reads: AtomicUsize::new(0),
        });
        let ports = Ports {
            store: Arc::clone(&store) as Arc<dyn Store>,
            runner,
            fleet,
            advisor: None,
            serve_callers: register_handler,
            serve_readiness: serve_nothing,
        };
        drop(tokio::spawn(crosspath_node::run(settings, ports)));
        loop {
            tokio::time::sleep(POLL_INTERVAL).await;
            let handler = HANDLERS
                .lock()
                .expect("no test panicked with the lock held")
                .get(&addresses[0])
                .cloned();
            if let Some(handler) = handler.filter(|handler| handler.is_ready()) {
                return Self { store, handler, peers: addresses[2] };
            }
        }
    }

    pub(crate) async fn submit(&self, job: u64) -> Submitted {
        self.submit_for(None, job).await
    }

    /// Submits a job on behalf of a customer.
    pub(crate) async fn submit_for(&self, customer: Option<&str>, job: u64) -> Submitted {
        self.handler.submit(&access(customer), JobId(job), spec(), CALL_TIMEOUT).await
    }

    /// Queries the state of a job on behalf of a customer.
    pub(crate) async fn state_for(&self, customer: Option<&str>, job: u64) -> Lookup {
        self.handler.state(&access(customer), JobId(job), CALL_TIMEOUT).await
    }

    /// Access to the queue as the daemon's newest configuration has it.
    fn current_access(&self) -> Access {
        match self.resolve(None) {
            Resolved::Access(access) => access,
            other => panic!("{other:?}"),
        }
    }

    /// Pool of the queue by the daemon's newest configuration.
    pub(crate) fn pool(&self) -> Arc<str> {
        Arc::clone(&self.current_access().queue.pool)
    }

    /// Submits a job to the queue as it is configured now.
    pub(crate) async fn submit_now(&self, job: u64) -> Submitted {
        self.submit_spec(job, spec()).await
    }

    /// Submits a job of this specification to the queue as it is configured now.
    pub(crate) async fn submit_spec(&self, job: u64, spec: Spec) -> Submitted {
        self.handler.submit(&self.current_access(), JobId(job), spec, CALL_TIMEOUT).await
    }

    /// Queries the state of a job of the queue as it is configured now.
    pub(crate) async fn state_now(&self, job: u64) -> Lookup {
        self.handler.state(&self.current_access(), JobId(job), CALL_TIMEOUT).await
    }

    /// Cancels a job of the queue as it is configured now.
    pub(crate) async fn cancel_now(&self, job: u64) -> Cancelled {
        self.handler.cancel(&self.current_access(), JobId(job), CALL_TIMEOUT).await
    }

    /// Number of the queue's jobs that are queued.
    pub(crate) async fn queued_jobs(&self) -> Option<u64> {
        self.handler.queued_jobs(&self.current_access().queue).await
    }

    /// Routes and authorises a request that carries this key.
    pub(crate) fn resolve(&self, key: Option<&str>) -> Resolved {
        self.handler.resolve("pay.example", "/jobs/0000000000000001", key)
    }

    pub(crate) fn appends(&self) -> usize {
        self.store.appends.load(Ordering::SeqCst)
    }

    /// Makes the log refuse this daemon's calls, or accept them again.
    pub(crate) fn set_log_down(&self, down: bool) {
        self.store.down.store(down, Ordering::SeqCst);
    }

    /// Leaves this daemon's reads of the operators' log that begin from now on without an answer, or
    /// answers them again.
    pub(crate) fn silence_operator_log(&self, silent: bool) {
        self.store.operators_silent.store(silent, Ordering::SeqCst);
    }

    /// Removes the records of the operators' log that this daemon has not read, except the newest.
    pub(crate) fn truncate_operator_log(&self) {
        self.store.truncated.store(true, Ordering::SeqCst);
    }

    pub(crate) fn worker_reads(&self) -> usize {
        self.store.worker_reads.load(Ordering::SeqCst)
    }

    pub(crate) fn holder_reads(&self) -> usize {
        self.store.holder_reads.load(Ordering::SeqCst)
    }

    pub(crate) fn refused_appends(&self) -> usize {
        self.store.refused_appends.load(Ordering::SeqCst)
    }

    /// Loses the answers to this daemon's appends for callers, which take effect.
    pub(crate) fn lose_append_answers(&self) {
        self.store.lose_append_answers.store(true, Ordering::SeqCst);
    }

    /// Delays this daemon's appends for callers.
    pub(crate) fn delay_appends(&self, delay: Duration) {
        let delay_ms = u64::try_from(delay.as_millis()).expect("a delay of some seconds");
        self.store.append_delay_ms.store(delay_ms, Ordering::SeqCst);
    }

    pub(crate) fn refuse_appends(&self) {
        self.store.refuse_appends.store(true, Ordering::SeqCst);
    }
}

/// Creates a log that contains a configuration with one pool.
pub(crate) async fn log_with_one_pool() -> Arc<MemoryStore> {
    let log = Arc::new(MemoryStore::new(SHARDS));
    write_config(&log, "1").await;
    log
}

/// Appends a configuration of the form "VERSION CUSTOMER=KEY,KEY ... >POOL,POOL ...". The queue uses
/// the first pool; without any, there is one pool.
pub(crate) async fn write_config(log: &MemoryStore, text: &str) {
    let config = NewRecord { key: "config".into(), value: text.to_owned().into() };
    append(log, Partition { topic: Topic::Operators, number: 0 }, &[config]).await;
}

pub(crate) async fn append(log: &MemoryStore, partition: Partition, records: &[NewRecord]) {
    log.append(partition, records, Precondition::Unconditional)
        .await
        .expect("log accepts the records");
}

/// VM list that refuses the first calls.
#[derive(Debug)]
pub(crate) struct FakeFleet {
    refusals: usize,
    vms: usize,
    calls: AtomicUsize,
}

impl FakeFleet {
    /// Creates a list of `vms` VMs that refuses the first `refusals` calls.
    pub(crate) fn new(refusals: usize, vms: usize) -> Self {
        Self { refusals, vms, calls: AtomicUsize::new(0) }
    }

    /// Creates a list of `vms` VMs that refuses no calls.
    pub(crate) fn healthy(vms: usize) -> Self {
        Self::new(0, vms)
    }

    pub(crate) fn calls(&self) -> usize {
        self.calls.load(Ordering::SeqCst)
    }
}

#[async_trait]
impl Fleet for FakeFleet {
    async fn list(&self) -> Result<Vec<Vm>, vm::Error> {
        let vm = |number: usize| Vm {
            name: format!("vm-{number}").into(),
            pool: "counter".into(),
            data_centre: "a".into(),
            state: State::Up,
            labels: Vec::new(),
            capacity: Resources { cpu_millis: 32_000, mem_mb: 1, gpus: 0 },
            worker: None,
        };
        if self.calls.fetch_add(1, Ordering::SeqCst) < self.refusals {
            return Err(vm::Error::Refused);
        }
        Ok((0..self.vms).map(vm).collect())
    }

    async fn order(&self, _: &str, _: &Order, _: &Authority) -> Result<Verdict, vm::Error> {
        Err(vm::Error::Refused)
    }
}
