//! State that the daemon's tasks share.
//!
//! Locks are held only briefly. The only nested locking is `owned`, then a shard's scheduler.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crosspath_border::advice::Advisor;
use crosspath_border::operator::Wave;
use crosspath_border::store::{Error, NewRecord, Partition, Precondition, Store, Stored, Topic};
use crosspath_border::vm::Fleet;
use crosspath_border::worker::Runner;
use crosspath_http::server::Stage;
use crosspath_quota::{Grant, Ledger, Request};
use crosspath_schedule::takeover::Handover;
use tokio::sync::{Notify, watch};

use crate::appender::Appenders;
use crate::assignment::{Assignment, Assignments};
use crate::clock;
use crate::directory::Directory;
use crate::evacuation::{self, Evacuated, Evacuations};
use crate::map::{Map, PoolSlice};
use crate::member::Member;
use crate::metrics::Metrics;
use crate::paths::Paths;
use crate::reachability::Reachability;
use crate::relay::Relay;
use crate::routed_runner::RoutedRunner;
use crate::routing::Table;
use crate::rpc::Peers;
use crate::settings::Settings;
use crate::shard::Handle;

/// Interval between checks whether the workers of a slice are known.
const WORKERS_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Times at which this daemon last knew all records of the operators' log; zero for never.
#[derive(Debug, Default, Clone, Copy)]
struct OperatorLogTimes {
    /// Time of the last read from the store.
    from_store: Duration,
    /// Time of the last read by another daemon, whose result this daemon has received.
    from_peer: Duration,
    /// Offset up to which it has been read from the store; `None` before the first read.
    end: Option<u64>,
}

/// Membership of this daemon in the group, and with it the right to act as owner of shards.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct MemberStatus {
    /// Time until which the group certainly counts this daemon as a member.
    pub(crate) member_until: Duration,
    /// Time until which the store's outage is certain to affect all daemons, so that no shard can
    /// change its owner.
    pub(crate) outage_until: Duration,
    /// Whether this daemon is a candidate for ownership.
    pub(crate) candidate: bool,
    /// Outcome of recent calls to the store.
    pub(crate) reachability: Reachability,
}

/// Shared state of the daemon.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) settings: Settings,
    /// Member text of this daemon: its name, its incarnation and its address for peers.
    pub(crate) member: Arc<str>,
    pub(crate) store: Arc<dyn Store>,
    pub(crate) runner: Arc<dyn Runner>,
    pub(crate) fleet: Option<Arc<dyn Fleet>>,
    pub(crate) advisor: Option<Arc<dyn Advisor>>,
    pub(crate) peers: Arc<Peers>,
    pub(crate) relay: Relay,
    pub(crate) appenders: Appenders,
    pub(crate) metrics: Metrics,
    /// Stage of the callers' listener.
    pub(crate) stage: watch::Sender<Stage>,
    /// Whether a planned shutdown has begun, from which on this daemon acts as owner of nothing.
    pub(crate) stopping: watch::Sender<bool>,
    /// Stage of the listeners for peers, the balancer and metrics. It stays [`Stage::Serving`],
    /// since these are answered until the process exits.
    pub(crate) internal_stage: watch::Sender<Stage>,
    /// Notified when the configuration, the map, or the holders of shards change.
    pub(crate) routing_changed: Notify,
    /// Notified when the group has assigned a shard to this daemon.
    pub(crate) ownership_changed: Notify,
    /// Routing table of the newest configuration; `None` until one has been read.
    table: Mutex<Option<Arc<Table>>>,
    operator_log: Mutex<OperatorLogTimes>,
    evacuations: Mutex<Evacuations>,
    directory: Mutex<Directory>,
    /// Maintenance waves by number, each with the time at which it was first seen.
    waves: Mutex<BTreeMap<u64, (Arc<Wave>, Duration)>>,
    map: Mutex<Arc<Map>>,
    /// Version of the configuration that was the newest one when the last read of the map began.
    map_read_in: AtomicU64,
    /// When each recorded assignment became known here.
    assignments_learned: Mutex<BTreeMap<Assignment, Duration>>,
    /// By queue, the version since which it has its pool, if the configuration was confirmed after
    /// that assignment had become known.
    confirmed_queues: Mutex<HashMap<Arc<str>, u64>>,
    /// Held while an assignment is recorded.
    pub(crate) recording_assignment: tokio::sync::Mutex<()>,
    /// Holder of each shard; `None` until that has been read.
    holders: Mutex<Option<HashMap<u32, Member>>>,
    /// Notified when a holder does not answer, answers that it is not the owner, or is unknown.
    pub(crate) holders_stale: Notify,
    /// Shards that are assigned to this daemon, by number.
    owned: Mutex<BTreeMap<u32, Handle>>,
    /// Leases known in each shard that this daemon has released.
    handovers: Mutex<HashMap<u32, Handover>>,
    member_status: Mutex<MemberStatus>,
    /// Ledger of the customers' allotments, while this daemon owns the fleet's shard.
    ledger: Mutex<Option<Ledger>>,
}

/// Settings and platform interfaces from which a [`Node`] is built.
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
    /// Number of the fleet's shard, whose owner runs waves, moves VMs and sizes pools. It is the
    /// highest number: a group that rebalances takes the lowest numbers from its members first, so
    /// the highest shards stay with their owners.
    pub(crate) fn fleet_shard(&self) -> u32 {
        self.settings.shards - 1
    }

    pub(crate) fn new(parts: Parts) -> Self {
        let Parts { settings, member, store, runner, fleet, advisor } = parts;
        let evacuations = Mutex::new(Evacuations::new(settings.data_centres.clone()));
        let metrics = Metrics::default();
        let data_centre = Arc::clone(&settings.data_centre);
        let paths = Paths::new(settings.relays, data_centre, metrics.paths.clone());
        let peers = Arc::new(Peers::new(paths));
        let relay = Relay::new(Arc::clone(&runner), settings.millicores);
        let runner = Arc::new(RoutedRunner::new(runner, Arc::clone(&peers)));
        Self {
            settings,
            member,
            store,
            runner,
            fleet,
            advisor,
            peers,
            relay,
            appenders: Appenders::default(),
            metrics,
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
            map_read_in: AtomicU64::new(0),
            assignments_learned: Mutex::default(),
            confirmed_queues: Mutex::default(),
            recording_assignment: tokio::sync::Mutex::default(),
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

    /// Replaces the routing table, which is `None` before the first configuration, by what `change`
    /// returns, if anything.
    pub(crate) fn change_table(&self, change: impl FnOnce(Option<&Table>) -> Option<Table>) {
        let mut table = lock(&self.table);
        let Some(changed) = change(table.as_deref()) else { return };
        *table = Some(Arc::new(changed));
        drop(table);
        self.routing_changed.notify_waiters();
    }

    /// Time at which all records of the operators' log were last known, from the store or a peer.
    pub(crate) fn operator_log_confirmed_at(&self) -> Duration {
        let times = lock(&self.operator_log);
        times.from_store.max(times.from_peer)
    }

    /// Time at which the operators' log was last read completely from the store.
    pub(crate) fn operator_log_read_at(&self) -> Duration {
        lock(&self.operator_log).from_store
    }

    /// Records that the operators' log has been read from the store, to its end at this offset.
    pub(crate) fn set_operator_log_read(&self, now: Duration, end: u64) {
        let times = &mut lock(&self.operator_log);
        times.from_store = now;
        times.end = Some(end);
    }

    /// Offset up to which the operators' log has been read; `None` before the first read.
    pub(crate) fn operator_log_end(&self) -> Option<u64> {
        lock(&self.operator_log).end
    }

    /// Time at which all records of the operators' log were last known from a peer.
    pub(crate) fn operator_log_told_at(&self) -> Duration {
        lock(&self.operator_log).from_peer
    }

    /// Records that a peer has sent the content of the operators' log, as it read it from the store
    /// at `confirmed_at`.
    pub(crate) fn set_operator_log_confirmed(&self, confirmed_at: Duration) {
        let times = &mut lock(&self.operator_log);
        times.from_peer = times.from_peer.max(confirmed_at);
    }

    /// Data centres that get no new work, and the log position of that knowledge.
    pub(crate) fn evacuated(&self) -> Evacuated {
        lock(&self.evacuations).newest()
    }

    /// Locks the state of evacuations, to apply records to it.
    pub(crate) fn evacuations(&self) -> MutexGuard<'_, Evacuations> {
        lock(&self.evacuations)
    }

    /// Whether tasks may start, which requires recent knowledge of the evacuations. During an
    /// outage, the store accepts no requests of operators, so what was known before it is complete.
    pub(crate) fn may_start(&self, now: Duration) -> bool {
        let Some(limit) = self.settings.evacuation_limit else { return true };
        let confirmed_at = Some(self.operator_log_confirmed_at()).filter(|at| !at.is_zero());
        self.is_store_outage(now) || evacuation::may_start(confirmed_at, now, limit)
    }

    pub(crate) fn directory(&self) -> MutexGuard<'_, Directory> {
        lock(&self.directory)
    }

    /// Locks the maintenance waves, which are kept with the time at which each was first seen.
    pub(crate) fn waves(&self) -> MutexGuard<'_, BTreeMap<u64, (Arc<Wave>, Duration)>> {
        lock(&self.waves)
    }

    pub(crate) fn map(&self) -> Arc<Map> {
        Arc::clone(&lock(&self.map))
    }

    /// Applies records of the shard map to what is known of it. No record is ever revoked.
    pub(crate) fn apply_map_records(&self, records: &[Stored]) {
        self.change_map(|map| records.iter().for_each(|record| map.apply(record)));
    }

    /// Adds an assignment that this daemon has recorded in the store.
    pub(crate) fn add_assignment(&self, assignment: Assignment) {
        self.change_map(|map| map.assignments_mut().insert(assignment));
    }

    /// Adds assignments that another daemon has found recorded in the store.
    pub(crate) fn merge_assignments(&self, recorded: &Assignments) {
        if !self.map().assignments().includes(recorded) {
            self.change_map(|map| map.assignments_mut().merge(recorded));
        }
    }

    fn change_map(&self, change: impl FnOnce(&mut Map)) {
        let now = clock::now();
        change(Arc::make_mut(&mut lock(&self.map)));
        let mut learned = lock(&self.assignments_learned);
        for assignment in self.map().assignments().iter() {
            learned.entry(assignment).or_insert(now);
        }
        drop(learned);
        self.routing_changed.notify_waiters();
    }

    /// When a recorded assignment became known here; `None` if it is not known.
    pub(crate) fn assignment_learned_at(&self, assignment: &Assignment) -> Option<Duration> {
        lock(&self.assignments_learned).get(assignment).copied()
    }

    /// Whether the configuration was confirmed after the assignment of the queue to its pool, which
    /// it has since a version, had become known.
    pub(crate) fn is_queue_confirmed(&self, queue: &str, since: u64) -> bool {
        lock(&self.confirmed_queues).get(queue) == Some(&since)
    }

    /// Records that.
    pub(crate) fn set_queue_confirmed(&self, queue: &Arc<str>, since: u64) {
        lock(&self.confirmed_queues).insert(Arc::clone(queue), since);
    }

    /// Whether the assignments by all configurations are known, also by those that this daemon has
    /// not applied.
    pub(crate) fn knows_assignments(&self) -> bool {
        let complete_since = self.table().map_or(0, |table| table.complete_since);
        self.map_read_in.load(Ordering::Relaxed) >= complete_since
    }

    /// Whether the map may lack records that were appended under earlier configurations: assignments,
    /// or shards of pools that queues had for a short time.
    pub(crate) fn is_map_outdated(&self) -> bool {
        let Some(table) = self.table() else { return false };
        let is_older = self.map_read_in.load(Ordering::Relaxed) < table.version;
        let map = self.map();
        !self.knows_assignments()
            || (is_older && table.applied().all_pools().any(|pool| !map.is_complete_for(pool)))
    }

    /// Records that a read of the whole map began while this version was the newest configuration.
    pub(crate) fn set_map_read(&self, version: u64) {
        self.map_read_in.fetch_max(version, Ordering::Relaxed);
        self.routing_changed.notify_waiters();
    }

    pub(crate) fn set_holders(&self, holders: HashMap<u32, Member>) {
        self.peers.paths().set_members(holders.values());
        *lock(&self.holders) = Some(holders);
        self.routing_changed.notify_waiters();
    }

    /// Address of the daemon that holds a shard; `None` if the holder is unknown.
    pub(crate) fn holder(&self, shard: u32) -> Option<SocketAddr> {
        Some(lock(&self.holders).as_ref()?.get(&shard)?.address)
    }

    /// All daemons that hold some shard, each once; `None` until the holders have been read.
    pub(crate) fn owners(&self) -> Option<Vec<Member>> {
        let mut found: Vec<_> = lock(&self.holders).as_ref()?.values().cloned().collect();
        found.sort_unstable();
        found.dedup();
        Some(found)
    }

    /// Addresses of all daemons that hold some shard, without this daemon's.
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

    /// Stops a shard's scheduler and saves its leases for the next owner. Afterwards this daemon
    /// sends no orders and stores no records for the shard.
    pub(crate) fn release_shard(&self, shard: u32, handle: &Handle) {
        if let Some(ended) = handle.stop() {
            self.save_handover(shard, ended.handover(clock::now()));
        }
    }

    /// Saves the leases known in a shard that this daemon releases.
    pub(crate) fn save_handover(&self, shard: u32, handover: Handover) {
        lock(&self.handovers).insert(shard, handover);
    }

    /// Leases known in a shard when this daemon released it, if that was as its owner in `epoch`.
    pub(crate) fn handover(&self, shard: u32, epoch: u64) -> Option<Handover> {
        let saved = lock(&self.handovers).get(&shard).cloned();
        saved.filter(|handover| handover.epoch == epoch)
    }

    /// Sets the ledger after this daemon has claimed the fleet's shard. From now on it grants
    /// quota.
    pub(crate) fn set_ledger(&self, ledger: Ledger) {
        *lock(&self.ledger) = Some(ledger);
    }

    /// Removes the ledger when the claim with this term has ended, unless a later claim has already
    /// set another ledger.
    pub(crate) fn clear_ledger(&self, term: u64) {
        let mut ledger = lock(&self.ledger);
        if ledger.as_ref().is_some_and(|ledger| ledger.term() == term) {
            *ledger = None;
        }
    }

    /// Grants a shard allotments of the customers' maxima. `None` if this daemon does not own the
    /// fleet's shard, or if the request is outdated.
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

    /// Records that a call was sent which a healthy store answers at once.
    pub(crate) fn record_store_call(&self, now: Duration) {
        lock(&self.member_status).reachability.call_sent(now);
    }

    /// Whether the store has not answered this daemon for some time.
    pub(crate) fn is_store_silent(&self, now: Duration) -> bool {
        lock(&self.member_status).reachability.is_silent(now)
    }

    /// Records that the store has answered some call.
    pub(crate) fn record_store_answer(&self, now: Duration) {
        lock(&self.member_status).reachability.call_answered(now);
    }

    /// Records the result of an append that was tried by all routes.
    pub(crate) fn record_append_result(&self, now: Duration, failure: Option<&Error>) {
        let reachability = &mut lock(&self.member_status).reachability;
        match failure {
            None => reachability.append_stored(),
            Some(error) if error.had_no_effect() => reachability.append_refused(now),
            Some(_) => {}
        }
    }

    /// Time for which the store has certainly been down, for this daemon and all that it reaches;
    /// `None` if it may be up.
    pub(crate) fn store_down_for(&self, now: Duration) -> Option<Duration> {
        lock(&self.member_status).reachability.down_for(now)
    }

    /// Appends records of callers to a shard. Fails without sending them while the store does not
    /// answer.
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

    /// Whether this daemon may act as owner of its shards at `now`.
    pub(crate) fn may_act(&self, now: Duration) -> bool {
        let status = self.member_status();
        now < status.member_until.max(status.outage_until) && !*self.stopping.borrow()
    }

    /// Whether this daemon may act as owner only because an outage of the store affects all
    /// daemons.
    pub(crate) fn is_store_outage(&self, now: Duration) -> bool {
        let status = self.member_status();
        now >= status.member_until && now < status.outage_until
    }

    /// Waits until all workers of a pool slice are known.
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
