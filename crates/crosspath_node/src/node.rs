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
const LIST_PAUSE: Duration = Duration::from_millis(20);

/// When this daemon last knew all that operators have written.
#[derive(Debug, Default, Clone, Copy)]
struct OperatorsHeard {
    /// By the store.
    from_store: Duration,
    /// By another daemon that the store had told.
    from_peer: Duration,
}

/// The right to act as a member of the group.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Standing {
    /// Until when the group surely counts this daemon as a member.
    pub(crate) until: Duration,
    /// Until when the store is surely away for all, so that nobody else can own.
    pub(crate) away_until: Duration,
    /// Whether this daemon stands for ownership.
    pub(crate) candidate: bool,
    /// Calls and answers of the store.
    pub(crate) contact: Reachability,
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
    pub(crate) answering: watch::Sender<Stage>,
    /// Rung when the configuration, the map, or the holders change.
    pub(crate) changed: Notify,
    /// Rung when a shard was dealt to this daemon.
    pub(crate) ownership_changed: Notify,
    table: Mutex<Option<Arc<Table>>>,
    operators: Mutex<OperatorsHeard>,
    evacuations: Mutex<Evacuations>,
    directory: Mutex<Directory>,
    waves: Mutex<BTreeMap<u64, (Arc<Wave>, Duration)>>,
    map: Mutex<Arc<Map>>,
    /// Who holds which shard; none before that was read.
    holders: Mutex<Option<HashMap<u32, Member>>>,
    /// Rung when a holder did not answer as one.
    pub(crate) holders_doubted: Notify,
    owned: Mutex<BTreeMap<u32, Handle>>,
    /// What was known of leases in shards when they were left.
    left: Mutex<HashMap<u32, Handover>>,
    standing: Mutex<Standing>,
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
            answering: watch::Sender::new(Stage::Serving),
            changed: Notify::new(),
            ownership_changed: Notify::new(),
            holders_doubted: Notify::new(),
            table: Mutex::default(),
            operators: Mutex::default(),
            evacuations,
            directory: Mutex::default(),
            waves: Mutex::default(),
            map: Mutex::default(),
            holders: Mutex::default(),
            owned: Mutex::default(),
            left: Mutex::default(),
            standing: Mutex::default(),
            ledger: Mutex::default(),
        }
    }

    pub(crate) fn table(&self) -> Option<Arc<Table>> {
        lock(&self.table).clone()
    }

    pub(crate) fn set_table(&self, table: Table) {
        *lock(&self.table) = Some(Arc::new(table));
        self.changed.notify_waiters();
    }

    /// When all that operators have written was last known, by whomever.
    pub(crate) fn operators_heard(&self) -> Duration {
        let heard = lock(&self.operators);
        heard.from_store.max(heard.from_peer)
    }

    /// When the store last told all that operators have written.
    pub(crate) fn operators_heard_from_store(&self) -> Duration {
        lock(&self.operators).from_store
    }

    /// The store has told all that operators wrote.
    pub(crate) fn operators_read(&self, now: Duration) {
        lock(&self.operators).from_store = now;
    }

    /// Another daemon has told what operators have written, as the store had told it at `heard`.
    pub(crate) fn operators_told(&self, heard: Duration) {
        let operators = &mut lock(&self.operators);
        operators.from_peer = operators.from_peer.max(heard);
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
        let Some(within) = self.settings.evacuation else { return true };
        let heard = Some(self.operators_heard()).filter(|heard| !heard.is_zero());
        self.is_store_away(now) || evacuation::may_start(heard, now, within)
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
        self.changed.notify_waiters();
    }

    pub(crate) fn set_holders(&self, holders: HashMap<u32, Member>) {
        *lock(&self.holders) = Some(holders);
        self.changed.notify_waiters();
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
    pub(crate) fn other_daemons(&self) -> Vec<SocketAddr> {
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
    pub(crate) fn leave_shard(&self, shard: u32, handle: &Handle) {
        if let Some(ended) = handle.stop() {
            self.note_left(shard, ended.handover(clock::now()));
        }
    }

    /// Keeps what was known of leases in a shard that is left.
    pub(crate) fn note_left(&self, shard: u32, handover: Handover) {
        lock(&self.left).insert(shard, handover);
    }

    /// What was known of leases in a shard when this daemon left it, as its owner in `epoch`.
    pub(crate) fn left(&self, shard: u32, epoch: u64) -> Option<Handover> {
        let left = lock(&self.left).get(&shard).cloned();
        left.filter(|handover| handover.epoch == epoch)
    }

    /// This daemon has claimed the fleet and deals out customers' maxima.
    pub(crate) fn begin_dealing(&self, ledger: Ledger) {
        *lock(&self.ledger) = Some(ledger);
    }

    /// The claim with the ledger's term is over; a later one may have begun.
    pub(crate) fn end_dealing(&self, term: u64) {
        let mut ledger = lock(&self.ledger);
        if ledger.as_ref().is_some_and(|ledger| ledger.term() == term) {
            *ledger = None;
        }
    }

    /// Deals parts of customers' maxima to a shard; none where this daemon does not own the fleet, or the
    /// question is an old one.
    pub(crate) fn deal(&self, now: Duration, ask: &Request) -> Option<Grant> {
        if !self.may_act(now) || !self.owned().contains_key(&self.fleet_shard()) {
            return None;
        }
        let limits = self.table()?.limits();
        let shards = self.map().by_shard().into_keys().collect();
        lock(&self.ledger).as_mut()?.grant(ask, &limits, &shards)
    }

    pub(crate) fn standing(&self) -> Standing {
        *lock(&self.standing)
    }

    /// A call was sent to the store that is answered at once when the store is well.
    pub(crate) fn store_asked(&self, now: Duration) {
        lock(&self.standing).contact.call_sent(now);
    }

    /// Whether the store keeps silent towards this daemon.
    pub(crate) fn is_store_silent(&self, now: Duration) -> bool {
        lock(&self.standing).contact.is_silent(now)
    }

    /// The store has answered.
    pub(crate) fn store_answers(&self, now: Duration) {
        lock(&self.standing).contact.call_answered(now);
    }

    /// How an append by all ways ended.
    pub(crate) fn append_ended(&self, now: Duration, failure: Option<&Error>) {
        let contact = &mut lock(&self.standing).contact;
        match failure {
            None => contact.append_stored(),
            Some(error) if error.had_no_effect() => contact.append_refused(now),
            Some(_) => {}
        }
    }

    /// How long the store has surely been down for all that this daemon reaches.
    pub(crate) fn store_down_for(&self, now: Duration) -> Option<Duration> {
        lock(&self.standing).contact.down_for(now)
    }

    /// Appends records of callers to a shard; nothing is sent to a silent store.
    pub(crate) async fn append(&self, shard: u32, records: &[NewRecord]) -> Result<(), Error> {
        if self.is_store_silent(clock::now()) {
            return Err(Error::NotReached);
        }
        self.store_asked(clock::now());
        self.store.append(shard_partition(shard), records, Precondition::Unconditional).await?;
        self.store_answers(clock::now());
        Ok(())
    }

    pub(crate) fn set_standing(&self, change: impl FnOnce(&mut Standing)) {
        change(&mut lock(&self.standing));
    }

    /// Whether this daemon may act as owner at `now`.
    pub(crate) fn may_act(&self, now: Duration) -> bool {
        let standing = self.standing();
        now < standing.until.max(standing.away_until) && !*self.stopping.borrow()
    }

    /// Whether this daemon may act only since the store is away for all.
    pub(crate) fn is_store_away(&self, now: Duration) -> bool {
        let standing = self.standing();
        now >= standing.until && now < standing.away_until
    }

    /// Waits until all workers of a slice are known.
    pub(crate) async fn workers_known(&self, unit: &PoolSlice) {
        while !self.directory().covers(unit) {
            tokio::time::sleep(LIST_PAUSE).await;
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
