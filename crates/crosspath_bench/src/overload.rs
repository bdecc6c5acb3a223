//! Latency of urgent requests at a multiple of the load that a pool can serve, in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::Duration;

use crosspath_route::dispatch::{self, Admission, Bounds, Completion, Dispatch, Target, Ticket};
use crosspath_state::job::Class;
use crosspath_state::name::{CallerName, VmName};
use crosspath_state::time::Monotonic;
use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};

const VMS: u32 = 4;
const SLOTS: u32 = 4;
const SERVICE_MS: u64 = 40;
const DEADLINE_MS: u64 = 2_000;
const SECONDS: u64 = 60;
/// One request in this many is urgent.
const URGENT_ONE_IN: u64 = 6;
const START_MS: u64 = 100_000;

/// Latency and success of the urgent requests.
#[derive(Debug, Clone, Copy)]
pub struct Summary {
    /// 99th percentile of the latency of answered requests, in ms.
    pub p99_ms: u64,
    /// Fraction of them that were answered before their deadline, 0 to 1.
    pub answered_fraction: f64,
}

/// Poisson arrivals as time in ms and class, the same for all that are compared.
fn arrivals(load: f64, seed: u64) -> Vec<(u64, Class)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let per_ms = f64::from(VMS * SLOTS) / SERVICE_MS as f64 * load;
    let mut at = START_MS as f64;
    let mut arrivals = Vec::new();
    while at < (START_MS + SECONDS * 1_000) as f64 {
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        at += -uniform.ln() / per_ms;
        let urgent = rng.random_range(0..URGENT_ONE_IN) == 0;
        arrivals.push((at as u64, if urgent { Class::Urgent } else { Class::Batch }));
    }
    arrivals
}

fn summarize(latencies: &Histogram<u64>, urgent_sent: u64) -> Summary {
    let answered_fraction = latencies.len() as f64 / urgent_sent.max(1) as f64;
    Summary { p99_ms: latencies.value_at_quantile(0.99).max(1), answered_fraction }
}

/// A request that has not been answered yet.
struct Request {
    arrived: u64,
    class: Class,
    /// VM on which it has a slot; none while it waits.
    vm: Option<VmName>,
}

/// One pool behind [`Dispatch`], in virtual time.
struct Pool {
    dispatch: Dispatch,
    rng: SmallRng,
    caller: CallerName,
    /// End of each running request, in ms, and its ticket; the earliest first.
    completions: BinaryHeap<Reverse<(u64, u64)>>,
    pending: BTreeMap<u64, Request>,
    latencies: Histogram<u64>,
}

impl Pool {
    fn new(seed: u64) -> Self {
        let bounds = Bounds { queue: 1_024, batch_ceiling_percent: 75, batch_floor_every: 8 };
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut dispatch = Dispatch::new(bounds);
        let vm = |number| VmName::new(&format!("vm-{number}")).expect("a valid name");
        let targets: Vec<_> =
            (0..VMS).map(|number| Target { vm: vm(number), slots: SLOTS, local: true }).collect();
        dispatch.set_targets(&targets, Monotonic(START_MS), &mut rng);
        Self {
            dispatch,
            rng,
            caller: CallerName::new("caller").expect("a valid name"),
            completions: BinaryHeap::new(),
            pending: BTreeMap::new(),
            latencies: Histogram::new(3).expect("three significant digits are allowed"),
        }
    }

    fn arrive(&mut self, ticket: u64, arrived: u64, class: Class) {
        let deadline = Monotonic(arrived + DEADLINE_MS);
        let request = dispatch::Request {
            ticket: Ticket(ticket),
            caller: self.caller.clone(),
            class,
            deadline,
        };
        let vm = match self.dispatch.admit(request, Monotonic(arrived), &mut self.rng) {
            Admission::Assigned(vm) => Some(vm),
            Admission::Waiting => None,
            Admission::Refused(_) => return,
        };
        if vm.is_some() {
            self.completions.push(Reverse((arrived + SERVICE_MS, ticket)));
        }
        self.pending.insert(ticket, Request { arrived, class, vm });
    }

    /// Completes the requests that end until then, in order; waiting requests take their slots.
    fn run_until(&mut self, until: u64) {
        while let Some(Reverse((at, ticket))) = self.completions.peek().copied() {
            if at > until {
                return;
            }
            self.completions.pop();
            self.complete(at, ticket);
        }
    }

    fn complete(&mut self, at: u64, ticket: u64) {
        let Some(Request { arrived, class, vm: Some(vm) }) = self.pending.remove(&ticket) else {
            return;
        };
        if class == Class::Urgent && at - arrived <= DEADLINE_MS {
            self.latencies.record(at - arrived).expect("the histogram resizes itself");
        }
        for ticket in self.dispatch.expire(Monotonic(at)) {
            self.pending.remove(&ticket.0);
        }
        let slot_use = Completion::Answered(Duration::from_millis(SERVICE_MS));
        let grants = self.dispatch.release(&vm, class, slot_use, Monotonic(at), &mut self.rng);
        for grant in grants {
            if let Some(waiting) = self.pending.get_mut(&grant.ticket.0) {
                waiting.vm = Some(grant.vm);
                self.completions.push(Reverse((at + SERVICE_MS, grant.ticket.0)));
            }
        }
    }
}

/// Summary of the urgent requests with [`Dispatch`].
///
/// # Panics
///
/// Never: the names are valid, and the histogram resizes itself.
#[must_use]
pub fn dispatch(load: f64, seed: u64) -> Summary {
    let mut pool = Pool::new(seed);
    let mut urgent_sent = 0;
    for (ticket, (at, class)) in (0..).zip(arrivals(load, seed)) {
        pool.run_until(at);
        urgent_sent += u64::from(class == Class::Urgent);
        pool.arrive(ticket, at, class);
    }
    pool.run_until(u64::MAX);
    summarize(&pool.latencies, urgent_sent)
}

/// Summary of the urgent requests with one unbounded queue in order of arrival, which drops those
/// past their deadline.
///
/// # Panics
///
/// Never: the histogram resizes itself.
#[must_use]
pub fn fifo(load: f64, seed: u64) -> Summary {
    let mut free = VMS * SLOTS;
    let mut queue: VecDeque<(u64, Class)> = VecDeque::new();
    let mut completions: BinaryHeap<Reverse<u64>> = BinaryHeap::new();
    let mut latencies = Histogram::<u64>::new(3).expect("three significant digits are allowed");
    let mut urgent_sent = 0;
    let mut arrivals = arrivals(load, seed).into_iter().peekable();
    loop {
        let completion = completions.peek().map(|completion| completion.0);
        let arrival = arrivals.peek().map(|arrival| arrival.0);
        let now = match (completion, arrival) {
            (Some(completion), Some(arrival)) if completion <= arrival => completion,
            (Some(completion), None) => completion,
            (_, Some(arrival)) => arrival,
            (None, None) => return summarize(&latencies, urgent_sent),
        };
        if completion == Some(now) {
            completions.pop();
            free += 1;
        } else if let Some((at, class)) = arrivals.next() {
            urgent_sent += u64::from(class == Class::Urgent);
            queue.push_back((at, class));
        }
        while free > 0 {
            let Some((arrived, class)) = queue.pop_front() else { break };
            if now - arrived > DEADLINE_MS {
                continue;
            }
            free -= 1;
            completions.push(Reverse(now + SERVICE_MS));
            let latency = now + SERVICE_MS - arrived;
            if class == Class::Urgent && latency <= DEADLINE_MS {
                latencies.record(latency).expect("the histogram resizes itself");
            }
        }
    }
}
