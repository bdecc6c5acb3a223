//! Slots of all pools, and the queues of requests for them.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;

use crosspath_route::answer::{Final, NotRun};
use crosspath_route::dispatch::{
    Admission, Bounds, Completion, Dispatch, Grant, Request, Target, Ticket,
};
use crosspath_route::split::Position;
use crosspath_settings::Settings;
use crosspath_state::State;
use crosspath_state::job::Class;
use crosspath_state::name::{CallerName, DataCentre, PoolName, VmName};
use crosspath_state::time::Monotonic;
use tokio::sync::oneshot;

use crate::clock;

/// Slots of all pools at this daemon.
#[derive(Debug)]
pub(crate) struct Pools {
    pools: RwLock<BTreeMap<PoolName, Arc<Pool>>>,
    bounds: Bounds,
    position: Position,
    data_centre: DataCentre,
    tickets: AtomicU64,
}

#[derive(Debug)]
struct Pool {
    queue: Mutex<Queue>,
}

#[derive(Debug)]
struct Queue {
    dispatch: Dispatch,
    waiters: HashMap<Ticket, oneshot::Sender<Slot>>,
}

/// A slot of a VM, released when dropped.
#[derive(Debug)]
pub(crate) struct Slot {
    pool: Arc<Pool>,
    vm: VmName,
    class: Class,
    completion: Completion,
}

impl Slot {
    pub(crate) fn vm(&self) -> &VmName {
        &self.vm
    }

    /// Sets how the use of the slot ended. It counts as abandoned if this is never called.
    pub(crate) fn set_completion(&mut self, completion: Completion) {
        self.completion = completion;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = clock::monotonic();
        let grants = self.pool.lock().dispatch.release(
            &self.vm,
            self.class,
            self.completion,
            now,
            &mut rand::rng(),
        );
        self.pool.deliver(grants);
    }
}

enum Acquisition {
    Assigned(Slot),
    Waiting(oneshot::Receiver<Slot>),
}

/// Removes a request from the queue when its waiting task ends or is cancelled.
struct CancelOnDrop<'a> {
    pool: &'a Arc<Pool>,
    ticket: Ticket,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        let mut queue = self.pool.lock();
        queue.dispatch.cancel(self.ticket);
        let waiter = queue.waiters.remove(&self.ticket);
        drop(queue);
        drop(waiter);
    }
}

impl Pool {
    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn request_slot(
        self: &Arc<Self>,
        request: &SlotRequest<'_>,
        ticket: Ticket,
    ) -> Result<Acquisition, Final> {
        let (class, deadline) = (request.class, request.deadline);
        let request = Request { ticket, caller: request.caller.clone(), class, deadline };
        let mut queue = self.lock();
        match queue.dispatch.admit(request, clock::monotonic(), &mut rand::rng()) {
            Admission::Assigned(vm) => {
                drop(queue);
                let pool = Arc::clone(self);
                Ok(Acquisition::Assigned(Slot {
                    pool,
                    vm,
                    class,
                    completion: Completion::Abandoned,
                }))
            }
            Admission::Refused(refusal) => Err(refusal),
            Admission::Waiting => {
                let (waiter, granted) = oneshot::channel();
                queue.waiters.insert(ticket, waiter);
                Ok(Acquisition::Waiting(granted))
            }
        }
    }

    /// Delivers granted slots to their waiters. A slot without a waiter is released immediately.
    fn deliver(self: &Arc<Self>, grants: Vec<Grant>) {
        for grant in grants {
            let waiter = self.lock().waiters.remove(&grant.ticket);
            let pool = Arc::clone(self);
            let slot =
                Slot { pool, vm: grant.vm, class: grant.class, completion: Completion::Abandoned };
            match waiter {
                Some(waiter) => drop(waiter.send(slot)),
                None => drop(slot),
            }
        }
    }
}

/// Request for a slot, valid until its deadline.
#[derive(Debug)]
pub(crate) struct SlotRequest<'a> {
    pub(crate) pool: &'a PoolName,
    pub(crate) caller: &'a CallerName,
    pub(crate) class: Class,
    pub(crate) deadline: Monotonic,
}

impl Pools {
    pub(crate) fn new(settings: &Settings) -> Self {
        let limits = &settings.limits;
        let bounds = Bounds {
            queue: limits.queue as usize,
            batch_ceiling_percent: limits.batch_ceiling_percent,
            batch_floor_every: limits.batch_floor_every,
        };
        let before = settings.peers.iter().filter(|peer| peer.name < settings.name).count();
        let position = Position {
            index: u32::try_from(before).unwrap_or(u32::MAX),
            daemons: u32::try_from(settings.peers.len() + 1).unwrap_or(u32::MAX),
        };
        Self {
            pools: RwLock::default(),
            bounds,
            position,
            data_centre: settings.data_centre.clone(),
            tickets: AtomicU64::new(0),
        }
    }

    fn pool(&self, name: &PoolName) -> Option<Arc<Pool>> {
        self.pools.read().unwrap_or_else(PoisonError::into_inner).get(name).cloned()
    }

    fn all(&self) -> Vec<Arc<Pool>> {
        let pools = self.pools.read().unwrap_or_else(PoisonError::into_inner);
        pools.values().cloned().collect()
    }

    fn pool_or_new(&self, name: &PoolName) -> Arc<Pool> {
        if let Some(pool) = self.pool(name) {
            return pool;
        }
        let mut pools = self.pools.write().unwrap_or_else(PoisonError::into_inner);
        let pool = pools.entry(name.clone()).or_insert_with(|| {
            let queue = Queue { dispatch: Dispatch::new(self.bounds), waiters: HashMap::new() };
            Arc::new(Pool { queue: Mutex::new(queue) })
        });
        Arc::clone(pool)
    }

    /// Updates the VMs that accept work: those whose phase allows it, except `leaving` ones.
    pub(crate) fn update(&self, state: &State, leaving: &BTreeSet<VmName>) {
        for name in state.pools.keys() {
            let serving = state
                .vms_of(name)
                .filter(|(vm, stored)| stored.status.takes_work() && !leaving.contains(*vm));
            let targets = serving.map(|(vm, stored)| {
                let total = stored.spec.slots.min(stored.spec.connections);
                let local = stored.spec.data_centre == self.data_centre;
                Target { vm: vm.clone(), slots: self.position.share(vm, total), local }
            });
            let targets: Vec<_> = targets.collect();
            let pool = self.pool_or_new(name);
            let now = clock::monotonic();
            let grants = pool.lock().dispatch.set_targets(&targets, now, &mut rand::rng());
            pool.deliver(grants);
        }
    }

    /// Grants slots that became available by the passage of time alone.
    pub(crate) fn tick(&self) {
        for pool in self.all() {
            let grants = pool.lock().dispatch.grant(clock::monotonic(), &mut rand::rng());
            pool.deliver(grants);
        }
    }

    /// Number of requests in flight on a VM, over all pools: the VM may have changed its pool.
    pub(crate) fn in_flight(&self, vm: &VmName) -> u32 {
        self.all().iter().map(|pool| pool.lock().dispatch.in_flight(vm)).sum()
    }

    /// Waits for a slot until the deadline of the request.
    pub(crate) async fn acquire(&self, request: SlotRequest<'_>) -> Result<Slot, Final> {
        let Some(pool) = self.pool(request.pool) else {
            return Err(Final::not_run(NotRun::NoUpstream, Duration::from_secs(1)));
        };
        let ticket = Ticket(self.tickets.fetch_add(1, Ordering::Relaxed));
        let granted = match pool.request_slot(&request, ticket)? {
            Acquisition::Assigned(slot) => return Ok(slot),
            Acquisition::Waiting(granted) => granted,
        };
        let _cancel_on_drop = CancelOnDrop { pool: &pool, ticket };
        let left = request.deadline.since(clock::monotonic());
        match tokio::time::timeout(left, granted).await {
            Ok(Ok(slot)) => Ok(slot),
            _ => Err(Final::not_run(NotRun::TooLate, Duration::from_secs(1))),
        }
    }
}
