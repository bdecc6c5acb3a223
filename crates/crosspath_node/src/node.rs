//! What the daemon's tasks share.
//!
//! Locks are held for moments only. The one nesting is `owned` before a shard's scheduler.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crosspath_border::advice::Advisor;
use crosspath_border::operator::Wave;
use crosspath_border::store::{Error, NewRecord, Partition, Precondition, Store, Topic};
use crosspath_border::vm::Fleet;
use crosspath_border::worker::Runner;
use crosspath_http::server::Stage;
use crosspath_quota::{Grant, Ledger, Request};
use crosspath_schedule::takeover::Handover;
use tokio::sync::{Notify, watch};

use crate::appender::Appenders;
use crate::clock;
use crate::directory::Directory;
use crate::evacuation::{self, Evacuated, Evacuations};
use crate::map::{Map, PoolSlice};
use crate::member::Member;
use crate::metrics::Metrics;
use crate::reachability::Reachability;
use crate::routing::Table;
use crate::rpc::Peers;
use crate::settings::Settings;
use crate::shard::Handle;

/// Between looks whether the workers of a slice are known.
const WORKERS_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// When this daemon last knew all that operators have written.
#[derive(Debug, Default, Clone, Copy)]
struct OperatorLogTimes {
    /// By the store.
    from_store: Duration,
    /// By another daemon that the store had told.
    from_peer: Duration,
}

/// The right to act as a member of the group.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct MemberStatus {
    /// Until when the group surely counts this daemon as a member.
    pub(crate) member_until: Duration,
    /// Until when the store is surely away for all, so that nobody else can own.
    pub(crate) outage_until: Duration,
    /// Whether this daemon stands for ownership.
    pub(crate) candidate: bool,
    /// Calls and answers of the store.
    pub(crate) reachability: Reachability,
}

/// What the daemon's tasks share.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) settings: Settings,
    /// Names this daemon and this life of it; holds the address for peers.
    pub(crate) member: Arc<str>,
    pub(crate) store: Arc<dyn Store>,
    pub(crate) runner: Arc<dyn Runner>,
    pub(crate) fleet: Option<Arc<dyn Fleet>>,
    pub(crate) advisor: Option<Arc<dyn Advisor>>,
    pub(crate) peers: Peers,
    pub(crate) appenders: Appenders,
    pub(crate) metrics: Metrics,
    pub(crate) stage: watch::Sender<Stage>,
    pub(crate) stopping: watch::Sender<bool>,
    /// Peers, the balancer and readers of metrics are answered to the very end, so it never says so.
    pub(crate) internal_stage: watch::Sender<Stage>,
    /// Rung when the configuration, the map, or the holders change.
    pub(crate) routing_changed: Notify,
    /// Rung when a shard was dealt to this daemon.
    pub(crate) ownership_changed: Notify,
    table: Mutex<Option<Arc<Table>>>,
    operator_log: Mutex<OperatorLogTimes>,
    evacuations: Mutex<Evacuations>,
    directory: Mutex<Directory>,
    waves: Mutex<BTreeMap<u64, (Arc<Wave>, Duration)>>,
    map: Mutex<Arc<Map>>,
    /// Who holds which shard; none before that was read.
    holders: Mutex<Option<HashMap<u32, Member>>>,
    /// Rung when a holder did not answer as one.
    pub(crate) holders_stale: Notify,
    owned: Mutex<BTreeMap<u32, Handle>>,
    /// What was known of leases in shards when they were left.
    handovers: Mutex<HashMap<u32, Handover>>,
    member_status: Mutex<MemberStatus>,
    /// Who holds how much of customers' maxima, while this daemon owns the fleet.
    ledger: Mutex<Option<Ledger>>,
}

/// Everything that the daemon is built from.
#[derive(Debug)]
pub(crate) struct Parts {
    pub(crate) settings: Settings,
    pub(crate) member: Arc<str>,
    pub(crate) store: Arc<dyn Store>,
    pub(crate) runner: Arc<dyn Runner>,
    pub(crate) fleet: Option<Arc<dyn Fleet>>,
    pub(crate) advisor: Option<Arc<dyn Advisor>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Node {
    /// The shard of the fleet: waves, moves, pool sizes. Shards are numbered from the top: a group
    /// that deals anew takes the lowest numbers from its members first, so the highest stay.
    pub(crate) fn fleet_shard(&self) -> u32 {
        self.settings.shards - 1
    }

    pub(crate) fn new(parts: Parts) -> Self {
        let Parts { settings, member, store, runner, fleet, advisor } = parts;
        let evacuations = Mutex::new(Evacuations::new(settings.data_centres.clone()));
        Self {
            settings,
            member,
            store,
            runner,
            fleet,
            advisor,
            peers: Peers::default(),
            appenders: Appenders::default(),
            metrics: Metrics::default(),
            stage: watch::Sender::new(Stage::Serving),
            stopping: watch::Sender::new(false),
            internal_stage: watch::Sender::new(Stage::Serving),
            routing_changed: Notify::new(),
            ownership_changed: Notify::new(),
            holders_stale: Notify::new(),
            table: Mutex::default(),
            operator_log: Mutex::default(),
            evacuations,
            directory: Mutex::default(),
            waves: Mutex::default(),
            map: Mutex::default(),
            holders: Mutex::default(),
            owned: Mutex::default(),
            handovers: Mutex::default(),
            member_status: Mutex::default(),
            ledger: Mutex::default(),
        }
    }

    pub(crate) fn table(&self) -> Option<Arc<Table>> {
        lock(&self.table).clone()
    }

    pub(crate) fn set_table(&self, table: Table) {
        *lock(&self.table) = Some(Arc::new(table));
        self.routing_changed.notify_waiters();
    }

    /// When all that operators have written was last known, by whomever.
    pub(crate) fn operator_log_confirmed_at(&self) -> Duration {
        let times = lock(&self.operator_log);
        times.from_store.max(times.from_peer)
    }

    /// When the store last told all that operators have written.
    pub(crate) fn operator_log_read_at(&self) -> Duration {
        lock(&self.operator_log).from_store
    }

    /// The store has told all that operators wrote.
    pub(crate) fn set_operator_log_read(&self, now: Duration) {
        lock(&self.operator_log).from_store = now;
    }

    /// Another daemon has told what operators have written, as the store had told it at `heard`.
    pub(crate) fn set_operator_log_confirmed(&self, confirmed_at: Duration) {
        let times = &mut lock(&self.operator_log);
        times.from_peer = times.from_peer.max(confirmed_at);
    }

    /// Data centres that are to get no new work.
    pub(crate) fn evacuated(&self) -> Evacuated {
        lock(&self.evacuations).newest()
    }

    /// What is known of evacuations, to take in more.
    pub(crate) fn evacuations(&self) -> MutexGuard<'_, Evacuations> {
        lock(&self.evacuations)
    }

    /// Whether what is evacuated is known recently enough to start tasks. While the store is away for all it
    /// takes no word of operators, so what was known before is all that there is.
    pub(crate) fn may_start(&self, now: Duration) -> bool {
        let Some(limit) = self.settings.evacuation_limit else { return true };
        let confirmed_at = Some(self.operator_log_confirmed_at()).filter(|at| !at.is_zero());
        self.is_store_outage(now) || evacuation::may_start(confirmed_at, now, limit)
    }

    pub(crate) fn directory(&self) -> MutexGuard<'_, Directory> {
        lock(&self.directory)
    }

    pub(crate) fn waves(&self) -> MutexGuard<'_, BTreeMap<u64, (Arc<Wave>, Duration)>> {
        lock(&self.waves)
    }

    pub(crate) fn map(&self) -> Arc<Map> {
        Arc::clone(&lock(&self.map))
    }

    pub(crate) fn set_map(&self, map: Map) {
        *lock(&self.map) = Arc::new(map);
        self.routing_changed.notify_waiters();
    }

    pub(crate) fn set_holders(&self, holders: HashMap<u32, Member>) {
        *lock(&self.holders) = Some(holders);
        self.routing_changed.notify_waiters();
    }

    /// Address of the daemon that holds a shard.
    pub(crate) fn holder(&self, shard: u32) -> Option<SocketAddr> {
        Some(lock(&self.holders).as_ref()?.get(&shard)?.address)
    }

    /// All daemons that hold some shard, each once; none before that was read.
    pub(crate) fn owners(&self) -> Option<Vec<Member>> {
        let mut found: Vec<_> = lock(&self.holders).as_ref()?.values().cloned().collect();
        found.sort_unstable();
        found.dedup();
        Some(found)
    }

    /// Addresses of all daemons that hold some shard, but this one.
    pub(crate) fn other_owners(&self) -> Vec<SocketAddr> {
        let owners = self.owners().unwrap_or_default();
        let mut found: Vec<_> = owners.into_iter().map(|owner| owner.address).collect();
        found.dedup();
        found.retain(|address| *address != self.settings.peers);
        found
    }

    pub(crate) fn owned(&self) -> MutexGuard<'_, BTreeMap<u32, Handle>> {
        lock(&self.owned)
    }

    /// This daemon leaves a shard: nothing of it is ordered or kept after this.
    pub(crate) fn release_shard(&self, shard: u32, handle: &Handle) {
        if let Some(ended) = handle.stop() {
            self.save_handover(shard, ended.handover(clock::now()));
        }
    }

    /// Keeps what was known of leases in a shard that is left.
    pub(crate) fn save_handover(&self, shard: u32, handover: Handover) {
        lock(&self.handovers).insert(shard, handover);
    }

    /// What was known of leases in a shard when this daemon left it, as its owner in `epoch`.
    pub(crate) fn handover(&self, shard: u32, epoch: u64) -> Option<Handover> {
        let saved = lock(&self.handovers).get(&shard).cloned();
        saved.filter(|handover| handover.epoch == epoch)
    }

    /// This daemon has claimed the fleet and deals out customers' maxima.
    pub(crate) fn set_ledger(&self, ledger: Ledger) {
        *lock(&self.ledger) = Some(ledger);
    }

    /// The claim with the ledger's term is over; a later one may have begun.
    pub(crate) fn clear_ledger(&self, term: u64) {
        let mut ledger = lock(&self.ledger);
        if ledger.as_ref().is_some_and(|ledger| ledger.term() == term) {
            *ledger = None;
        }
    }

    /// Deals parts of customers' maxima to a shard; none where this daemon does not own the fleet, or the
    /// question is an old one.
    pub(crate) fn grant_quota(&self, now: Duration, request: &Request) -> Option<Grant> {
        if !self.may_act(now) || !self.owned().contains_key(&self.fleet_shard()) {
            return None;
        }
        let limits = self.table()?.limits();
        let shards = self.map().by_shard().into_keys().collect();
        lock(&self.ledger).as_mut()?.grant(request, &limits, &shards)
    }

    pub(crate) fn member_status(&self) -> MemberStatus {
        *lock(&self.member_status)
    }

    /// A call was sent to the store that is answered at once when the store is well.
    pub(crate) fn record_store_call(&self, now: Duration) {
        lock(&self.member_status).reachability.call_sent(now);
    }

    /// Whether the store keeps silent towards this daemon.
    pub(crate) fn is_store_silent(&self, now: Duration) -> bool {
        lock(&self.member_status).reachability.is_silent(now)
    }

    /// The store has answered.
    pub(crate) fn record_store_answer(&self, now: Duration) {
        lock(&self.member_status).reachability.call_answered(now);
    }

    /// How an append by all ways ended.
    pub(crate) fn record_append_result(&self, now: Duration, failure: Option<&Error>) {
        let reachability = &mut lock(&self.member_status).reachability;
        match failure {
            None => reachability.append_stored(),
            Some(error) if error.had_no_effect() => reachability.append_refused(now),
            Some(_) => {}
        }
    }

    /// How long the store has surely been down for all that this daemon reaches.
    pub(crate) fn store_down_for(&self, now: Duration) -> Option<Duration> {
        lock(&self.member_status).reachability.down_for(now)
    }

    /// Appends records of callers to a shard; nothing is sent to a silent store.
    pub(crate) async fn append(&self, shard: u32, records: &[NewRecord]) -> Result<(), Error> {
        if self.is_store_silent(clock::now()) {
            return Err(Error::NotReached);
        }
        self.record_store_call(clock::now());
        self.store.append(shard_partition(shard), records, Precondition::Unconditional).await?;
        self.record_store_answer(clock::now());
        Ok(())
    }

    pub(crate) fn update_member_status(&self, change: impl FnOnce(&mut MemberStatus)) {
        change(&mut lock(&self.member_status));
    }

    /// Whether this daemon may act as owner at `now`.
    pub(crate) fn may_act(&self, now: Duration) -> bool {
        let status = self.member_status();
        now < status.member_until.max(status.outage_until) && !*self.stopping.borrow()
    }

    /// Whether this daemon may act only since the store is away for all.
    pub(crate) fn is_store_outage(&self, now: Duration) -> bool {
        let status = self.member_status();
        now >= status.member_until && now < status.outage_until
    }

    /// Waits until all workers of a slice are known.
    pub(crate) async fn wait_for_workers(&self, pool_slice: &PoolSlice) {
        while !self.directory().covers(pool_slice) {
            tokio::time::sleep(WORKERS_CHECK_INTERVAL).await;
        }
    }

    pub(crate) fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }
}

pub(crate) fn shard_partition(number: u32) -> Partition {
    Partition { topic: Topic::Shards, number }
}

pub(crate) fn only_partition(topic: Topic) -> Partition {
    Partition { topic, number: 0 }
}
