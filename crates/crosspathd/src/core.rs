//! State shared by the daemon's tasks.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};

use crosspath_http::server::Stage;
use crosspath_log::Log;
use crosspath_metrics::Metrics;
use crosspath_peer::Link;
use crosspath_route::claim::{Bounds, Table};
use crosspath_settings::Settings;
use crosspath_state::State;
use crosspath_state::lease::{Grantor, Holder, Terms};
use crosspath_state::name::{DaemonName, VmName};
use crosspath_state::record::{Incarnation, Revision, Writer};
use crosspath_state::vm;
use crosspath_upstream::Upstreams;
use crosspath_vm_list::VmList;
use crosspath_worker::Worker;
use tokio::sync::watch;

use crate::clock;
use crate::committer::Committer;
use crate::outcomes::Outcomes;
use crate::peers::PeerState;
use crate::pools::Pools;

const MAX_HISTORY: usize = 256;

/// Lease grants that this daemon has received (`holder`) and given (`grantor`).
#[derive(Debug, Default)]
pub(crate) struct Leases {
    pub(crate) holder: Holder,
    pub(crate) grantor: Grantor,
}

/// State shared by all tasks. The crate documentation defines the lock order.
#[derive(Debug)]
pub struct Core {
    pub(crate) settings: Settings,
    pub(crate) log: Arc<dyn Log>,
    pub(crate) worker: Arc<dyn Worker>,
    pub(crate) vm_list: Arc<dyn VmList>,
    pub(crate) links: BTreeMap<DaemonName, Arc<dyn Link>>,
    pub(crate) upstreams: Upstreams,
    pub(crate) metrics: Metrics,
    pub(crate) committer: Committer,
    pub(crate) state: watch::Sender<Arc<State>>,
    pub(crate) stage: watch::Sender<Stage>,
    pub(crate) pools: Pools,
    leases: Mutex<Leases>,
    claims: Mutex<Table>,
    peer_states: Mutex<BTreeMap<DaemonName, PeerState>>,
    outcomes: Mutex<Outcomes>,
    history: Mutex<VecDeque<Arc<State>>>,
    frozen: RwLock<BTreeSet<u16>>,
    halted: RwLock<Option<String>>,
    own_writer: RwLock<Writer>,
    caught_up: AtomicBool,
    log_up: AtomicBool,
    stopping: AtomicBool,
}

/// Arguments of [`Core::new`].
#[derive(Debug)]
pub(crate) struct Dependencies {
    pub(crate) settings: Settings,
    pub(crate) log: Arc<dyn Log>,
    pub(crate) worker: Arc<dyn Worker>,
    pub(crate) vm_list: Arc<dyn VmList>,
    pub(crate) links: BTreeMap<DaemonName, Arc<dyn Link>>,
    pub(crate) committer: Committer,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Core {
    pub(crate) fn new(dependencies: Dependencies) -> Self {
        let settings = dependencies.settings;
        let bounds = Bounds {
            keys: settings.limits.keys as usize,
            answer_bytes: usize::try_from(settings.limits.answers_total_bytes)
                .unwrap_or(usize::MAX),
            retention: settings.limits.key_retention,
            skew: settings.timing.skew,
        };
        let own =
            Writer { daemon: settings.name.clone(), incarnation: Incarnation(clock::wall().0) };
        Self {
            pools: Pools::new(&settings),
            log: dependencies.log,
            worker: dependencies.worker,
            vm_list: dependencies.vm_list,
            links: dependencies.links,
            committer: dependencies.committer,
            upstreams: Upstreams::default(),
            metrics: Metrics::default(),
            state: watch::Sender::default(),
            stage: watch::Sender::default(),
            leases: Mutex::default(),
            claims: Mutex::new(Table::new(bounds)),
            peer_states: Mutex::default(),
            outcomes: Mutex::default(),
            history: Mutex::default(),
            frozen: RwLock::default(),
            halted: RwLock::default(),
            own_writer: RwLock::new(own),
            caught_up: AtomicBool::new(false),
            log_up: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            settings,
        }
    }

    pub(crate) fn leases(&self) -> MutexGuard<'_, Leases> {
        lock(&self.leases)
    }

    pub(crate) fn claims(&self) -> MutexGuard<'_, Table> {
        lock(&self.claims)
    }

    pub(crate) fn peer_states(&self) -> MutexGuard<'_, BTreeMap<DaemonName, PeerState>> {
        lock(&self.peer_states)
    }

    pub(crate) fn outcomes(&self) -> MutexGuard<'_, Outcomes> {
        lock(&self.outcomes)
    }

    /// The state published last.
    pub(crate) fn state(&self) -> Arc<State> {
        self.state.borrow().clone()
    }

    /// Publishes a later state and adds it to the history.
    pub(crate) fn publish(&self, state: Arc<State>) {
        self.metrics.set_applied_revision(state.applied.0);
        let mut history = lock(&self.history);
        history.push_back(Arc::clone(&state));
        if history.len() > MAX_HISTORY {
            history.pop_front();
        }
        drop(history);
        self.state.send_replace(state);
    }

    /// The newest state in the history that is not after `revision`; `None` if `revision` is older
    /// than the history.
    pub(crate) fn state_at(&self, revision: Revision) -> Option<Arc<State>> {
        let history = lock(&self.history);
        history.iter().rev().find(|state| state.applied <= revision).cloned()
    }

    /// Name and current incarnation of this daemon, under which it writes to the log.
    pub(crate) fn own_writer(&self) -> Writer {
        self.own_writer.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Starts a new incarnation, later than `last` and the current one. The leases of the old
    /// incarnation are dropped.
    pub(crate) fn begin_incarnation(&self, last: Incarnation) {
        let mut own = self.own_writer.write().unwrap_or_else(PoisonError::into_inner);
        let next = clock::wall().0.max(last.0 + 1).max(own.incarnation.0 + 1);
        own.incarnation = Incarnation(next);
        drop(own);
        *self.leases() = Leases::default();
    }

    pub(crate) fn terms(&self) -> Terms {
        let timing = &self.settings.timing;
        Terms { lease: timing.lease, tenure: timing.tenure, drift_ppm: timing.drift_ppm }
    }

    /// Whether this daemon may currently act as a member.
    pub(crate) fn lease_is_valid(&self) -> bool {
        let (state, own) = (self.state(), self.own_writer());
        self.halted().is_none() && self.leases().holder.is_valid(&state, &own, clock::monotonic())
    }

    /// Stops deciding on claims in partitions that are being handed over.
    pub(crate) fn freeze(&self, partitions: &BTreeSet<u16>) {
        let mut frozen = self.frozen.write().unwrap_or_else(PoisonError::into_inner);
        frozen.extend(partitions);
    }

    /// Undoes [`Self::freeze`]. Whether this daemon still owns the partitions is checked elsewhere.
    pub(crate) fn unfreeze(&self, partitions: &BTreeSet<u16>) {
        let mut frozen = self.frozen.write().unwrap_or_else(PoisonError::into_inner);
        frozen.retain(|partition| !partitions.contains(partition));
    }

    /// Whether this daemon may decide on keys of a partition, provided that it owns the partition.
    pub(crate) fn may_decide(&self, partition: u16) -> bool {
        let frozen = self.frozen.read().unwrap_or_else(PoisonError::into_inner);
        !frozen.contains(&partition) && self.lease_is_valid()
    }

    /// The member that plans: the first by name. A single planner is an optimization only; every
    /// planned change is checked when it is applied.
    pub(crate) fn planner(state: &State) -> Option<&DaemonName> {
        state.members.keys().next()
    }

    pub(crate) fn is_planner(&self) -> bool {
        Self::planner(&self.state()) == Some(&self.settings.name) && self.lease_is_valid()
    }

    /// Number of this daemon's requests in flight on each draining VM; VMs without any are left
    /// out.
    pub(crate) fn draining_in_flight(&self) -> Vec<(VmName, u32)> {
        let state = self.state();
        let draining = state.vms.iter();
        let draining = draining.filter(|(_, vm)| matches!(vm.status, vm::Phase::Draining { .. }));
        let counts = draining.map(|(name, _)| (name.clone(), self.pools.in_flight(name)));
        counts.filter(|(_, count)| *count > 0).collect()
    }

    /// Stops this daemon from deciding until it is restarted. The first cause is kept.
    pub(crate) fn halt(&self, cause: String) {
        let mut halted = self.halted.write().unwrap_or_else(PoisonError::into_inner);
        if halted.is_none() {
            log::error!("event=halted cause=\"{cause}\"");
            *halted = Some(cause);
        }
    }

    pub(crate) fn halted(&self) -> Option<String> {
        self.halted.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    pub(crate) fn set_caught_up(&self) {
        if !self.caught_up.swap(true, Ordering::Relaxed) {
            log::info!("event=caught_up revision={}", self.state().applied);
        }
    }

    pub(crate) fn is_caught_up(&self) -> bool {
        self.caught_up.load(Ordering::Relaxed)
    }

    pub(crate) fn set_log_up(&self, up: bool) {
        if self.log_up.swap(up, Ordering::Relaxed) != up {
            log::warn!("event=log_changed up={up}");
        }
    }

    pub(crate) fn is_log_up(&self) -> bool {
        self.log_up.load(Ordering::Relaxed)
    }

    pub(crate) fn set_stopping(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Whether the load balancer should send callers to this daemon.
    pub(crate) fn is_ready(&self) -> bool {
        self.is_caught_up() && !self.is_stopping() && self.halted().is_none()
    }
}
