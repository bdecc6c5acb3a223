//! Admission, queueing and load balancing of the requests for one pool.
//!
//! A request gets a free slot at once or waits. Urgent requests are served before batch requests,
//! which are guaranteed a share of the grants; within a class, callers are served in turn. Batch
//! requests never occupy the last slots. A request that is expected to miss its deadline is refused
//! on arrival, before anything is sent.
//!
//! VMs are chosen by the power of two choices: of two random candidates, the one with fewer
//! requests in flight per slot. VMs in the daemon's own data centre are preferred while one has a
//! free slot.

use std::collections::BTreeMap;
use std::time::Duration;

use crosspath_state::job::Class;
use crosspath_state::name::{CallerName, VmName};
use crosspath_state::time::Monotonic;
use rand::{Rng, RngExt as _};

use crate::answer::{Final, NotRun};
use crate::fair_queue::FairQueue;
use crate::outlier::{Health, MAX_EJECTED_DIVISOR};

const SLOW_START: Duration = Duration::from_secs(2);
const SMOOTHING: f64 = 0.1;
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Identifier of a request for a slot, unique within the daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// VM to which this daemon may send requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Name of the VM.
    pub vm: VmName,
    /// Number of the VM's slots that this daemon may use.
    pub slots: u32,
    /// Whether the VM is in this daemon's data centre.
    pub local: bool,
}

/// Request for a slot of any VM of the pool.
#[derive(Debug, Clone)]
pub struct Request {
    /// Identifier under which the slot is granted, expires or is cancelled.
    pub ticket: Ticket,
    /// Caller whose turn in the queue it uses.
    pub caller: CallerName,
    /// Priority class.
    pub class: Class,
    /// Time at which the caller must have its final answer.
    pub deadline: Monotonic,
}

/// Result of a request for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// The request has a slot of this VM.
    Assigned(VmName),
    /// The request waits until a [`Grant`] follows or its ticket expires.
    Waiting,
    /// The request is refused with this answer.
    Refused(Final),
}

/// Slot granted to a request that waited.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// Ticket of the request.
    pub ticket: Ticket,
    /// VM that has the slot.
    pub vm: VmName,
    /// Priority class of the request.
    pub class: Class,
}

/// How the use of a slot ended, as evidence on the VM's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// The upstream responded after this time.
    Answered(Duration),
    /// The upstream failed.
    Failed,
    /// The upstream reported that it accepts no requests.
    Refused,
    /// The caller disconnected, or the slot was not used.
    Abandoned,
}

/// Limits of a pool's queue and of its batch requests.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Maximum number of waiting requests, over both classes.
    pub queue: usize,
    /// Maximum percentage of the slots that batch requests occupy.
    pub batch_ceiling_percent: u32,
    /// One in this many grants goes to a batch request, if one waits.
    pub batch_floor_every: u32,
}

#[derive(Debug)]
struct Backend {
    slots: u32,
    local: bool,
    active: bool,
    active_since: Monotonic,
    in_flight: u32,
    health: Health,
}

impl Backend {
    fn usable_slots(&self, now: Monotonic) -> u32 {
        let age = now.since(self.active_since);
        if age >= SLOW_START || !self.active {
            return self.slots * u32::from(self.active);
        }
        let fraction = age.as_secs_f64() / SLOW_START.as_secs_f64();
        // Rounded up and at least 1: the first slot is usable at once.
        ((f64::from(self.slots) * fraction).ceil() as u32).clamp(1.min(self.slots), self.slots)
    }

    fn is_free(&self, now: Monotonic) -> bool {
        self.in_flight < self.usable_slots(now)
    }

    fn load(&self) -> f64 {
        f64::from(self.in_flight + self.health.load_penalty() + 1) / f64::from(self.slots.max(1))
    }
}

/// Dispatcher of one pool at this daemon: its slots and its waiting requests.
#[derive(Debug)]
pub struct Dispatch {
    bounds: Bounds,
    backends: BTreeMap<VmName, Backend>,
    urgent: FairQueue,
    batch: FairQueue,
    batch_in_flight: u32,
    grants_since_batch: u32,
    service_time: Option<Duration>,
}

impl Dispatch {
    /// Creates a dispatcher for a pool that has no VMs yet.
    #[must_use]
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            backends: BTreeMap::new(),
            urgent: FairQueue::default(),
            batch: FairQueue::default(),
            batch_in_flight: 0,
            grants_since_batch: 0,
            service_time: None,
        }
    }

    /// Replaces the set of VMs that accept requests. A VM that is no longer in the set gets no new
    /// requests; those that it still runs remain counted.
    pub fn set_targets(
        &mut self,
        targets: &[Target],
        now: Monotonic,
        rng: &mut impl Rng,
    ) -> Vec<Grant> {
        for backend in self.backends.values_mut() {
            backend.active = false;
        }
        let pool_was_empty = self.backends.is_empty();
        for target in targets {
            let newcomer_since = if pool_was_empty { Monotonic(0) } else { now };
            let known = self.backends.get(&target.vm);
            let active_since = known
                .filter(|known| known.slots > 0)
                .map_or(newcomer_since, |known| known.active_since);
            let backend = self.backends.entry(target.vm.clone()).or_insert_with(|| Backend {
                slots: 0,
                local: target.local,
                active: false,
                active_since,
                in_flight: 0,
                health: Health::default(),
            });
            backend.slots = target.slots;
            backend.local = target.local;
            backend.active = true;
            backend.active_since = active_since;
        }
        for backend in self.backends.values_mut().filter(|backend| !backend.active) {
            backend.slots = 0;
        }
        self.backends.retain(|_, backend| backend.active || backend.in_flight > 0);
        self.grant(now, rng)
    }

    /// Number of this daemon's requests in flight on a VM.
    #[must_use]
    pub fn in_flight(&self, vm: &VmName) -> u32 {
        self.backends.get(vm).map_or(0, |backend| backend.in_flight)
    }

    /// Number of waiting requests of a class.
    #[must_use]
    pub fn waiting(&self, class: Class) -> usize {
        match class {
            Class::Urgent => self.urgent.len(),
            Class::Batch => self.batch.len(),
        }
    }

    /// Assigns a slot to a request at `now`, queues the request, or refuses it.
    pub fn admit(&mut self, request: Request, now: Monotonic, rng: &mut impl Rng) -> Admission {
        if let Some(refusal) = self.refusal(&request, now) {
            return Admission::Refused(refusal);
        }
        let queue_is_empty = self.waiting(request.class) == 0;
        let may_start = queue_is_empty && self.may_start(request.class);
        let chosen = may_start.then(|| self.select_vm(now, rng)).flatten();
        if let Some(vm) = chosen {
            self.start(&vm, request.class);
            return Admission::Assigned(vm);
        }
        match request.class {
            Class::Urgent => self.urgent.push(request),
            Class::Batch => self.batch.push(request),
        }
        Admission::Waiting
    }

    fn refusal(&self, request: &Request, now: Monotonic) -> Option<Final> {
        let slots = self.slots();
        if slots == 0 {
            return Some(Final::not_run(NotRun::NoUpstream, MIN_RETRY_AFTER));
        }
        let waiting = self.urgent.len() + self.batch.len();
        let wait = self.expected_wait(request, slots);
        let retry_after = wait.max(MIN_RETRY_AFTER);
        if waiting >= self.bounds.queue {
            return Some(Final::not_run(NotRun::QueueFull, retry_after));
        }
        let due = now.after(wait + self.service_time.unwrap_or_default());
        (due >= request.deadline).then(|| Final::not_run(NotRun::TooLate, retry_after))
    }

    /// Estimated queueing time: the mean service time for each round of the requests ahead.
    fn expected_wait(&self, request: &Request, slots: u32) -> Duration {
        let urgent = self.urgent.len();
        let (ahead, slots) = match request.class {
            Class::Urgent => (self.urgent.ahead_of(&request.caller), slots),
            Class::Batch => (urgent + self.batch.ahead_of(&request.caller), self.batch_ceiling()),
        };
        let rounds = ahead as f64 / f64::from(slots.max(1));
        self.service_time.unwrap_or_default().mul_f64(rounds)
    }

    /// Releases a slot and grants free slots to waiting requests.
    pub fn release(
        &mut self,
        vm: &VmName,
        class: Class,
        end: Completion,
        now: Monotonic,
        rng: &mut impl Rng,
    ) -> Vec<Grant> {
        self.batch_in_flight -= u32::from(class == Class::Batch).min(self.batch_in_flight);
        let may_eject = self.may_eject(now);
        if let Some(backend) = self.backends.get_mut(vm) {
            backend.in_flight = backend.in_flight.saturating_sub(1);
            match end {
                Completion::Answered(_) => backend.health.record_success(),
                Completion::Failed => backend.health.record_failure(may_eject, now),
                Completion::Refused => backend.health.record_refusal(now),
                Completion::Abandoned => {}
            }
            let has_left = !backend.active && backend.in_flight == 0;
            if has_left {
                self.backends.remove(vm);
            }
        }
        if let Completion::Answered(time) = end {
            self.record_service_time(time);
        }
        self.grant(now, rng)
    }

    fn record_service_time(&mut self, time: Duration) {
        let known = self.service_time.unwrap_or(time);
        self.service_time = Some(known.mul_f64(1.0 - SMOOTHING) + time.mul_f64(SMOOTHING));
    }

    /// Removes a request that no longer waits for a slot.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.urgent.remove(|request| request.ticket == ticket);
        self.batch.remove(|request| request.ticket == ticket);
    }

    /// Removes the waiting requests whose deadline has passed and returns their tickets.
    pub fn expire(&mut self, now: Monotonic) -> Vec<Ticket> {
        let mut expired = self.urgent.remove_expired(now);
        expired.extend(self.batch.remove_expired(now));
        expired
    }

    /// Grants free slots to waiting requests. Slots also become free without a release: during slow
    /// start and when the ejection of an outlier ends.
    pub fn grant(&mut self, now: Monotonic, rng: &mut impl Rng) -> Vec<Grant> {
        let mut grants = Vec::new();
        while let Some(class) = self.next_class() {
            let Some(vm) = self.select_vm(now, rng) else {
                break;
            };
            let queue = match class {
                Class::Urgent => &mut self.urgent,
                Class::Batch => &mut self.batch,
            };
            let Some(request) = queue.pop() else { break };
            self.start(&vm, class);
            grants.push(Grant { ticket: request.ticket, vm, class });
        }
        grants
    }

    fn next_class(&self) -> Option<Class> {
        let batch_waits = self.batch.len() > 0 && self.may_start(Class::Batch);
        let batch_due = self.grants_since_batch + 1 >= self.bounds.batch_floor_every;
        match (self.urgent.len() > 0, batch_waits) {
            (true, true) if batch_due => Some(Class::Batch),
            (true, _) => Some(Class::Urgent),
            (false, true) => Some(Class::Batch),
            (false, false) => None,
        }
    }

    fn may_start(&self, class: Class) -> bool {
        class == Class::Urgent || self.batch_in_flight < self.batch_ceiling()
    }

    fn batch_ceiling(&self) -> u32 {
        (self.slots() * self.bounds.batch_ceiling_percent / 100).max(1)
    }

    fn slots(&self) -> u32 {
        self.backends.values().map(|backend| backend.slots).sum()
    }

    fn start(&mut self, vm: &VmName, class: Class) {
        if let Some(backend) = self.backends.get_mut(vm) {
            backend.in_flight += 1;
        }
        match class {
            Class::Urgent => self.grants_since_batch = self.grants_since_batch.saturating_add(1),
            Class::Batch => {
                self.grants_since_batch = 0;
                self.batch_in_flight += 1;
            }
        }
    }

    fn may_eject(&self, now: Monotonic) -> bool {
        let active = self.backends.values().filter(|backend| backend.active);
        let ejected = active.clone().filter(|backend| backend.health.is_ejected(now)).count();
        (ejected + 1) * MAX_EJECTED_DIVISOR <= active.count()
    }

    fn select_vm(&self, now: Monotonic, rng: &mut impl Rng) -> Option<VmName> {
        let free = || self.backends.iter().filter(|(_, backend)| backend.is_free(now));
        let healthy = || free().filter(|(_, backend)| !backend.health.is_ejected(now));
        let local: Vec<_> = healthy().filter(|(_, backend)| backend.local).collect();
        if !local.is_empty() {
            return Some(better_of_two(&local, rng));
        }
        let remote: Vec<_> = healthy().collect();
        (!remote.is_empty()).then(|| better_of_two(&remote, rng))
    }
}

fn better_of_two(candidates: &[(&VmName, &Backend)], rng: &mut impl Rng) -> VmName {
    let (first, a) = candidates[rng.random_range(0..candidates.len())];
    let (second, b) = candidates[rng.random_range(0..candidates.len())];
    if b.load() < a.load() { second.clone() } else { first.clone() }
}
