//! Urgent requests among three times the load that a pool can serve, in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::Duration;

use crosspath_route::dispatch::{Ask, Bounds, Dispatch, Offer, Target, Ticket, Use};
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
/// One request of this many is urgent.
const URGENT_ONE_IN: u64 = 6;
const START_MS: u64 = 100_000;

/// What urgent callers felt.
#[derive(Debug, Clone, Copy)]
pub struct Felt {
    /// 99th percentile of their latency, in ms.
    pub p99_ms: u64,
    /// Share of their requests that were answered in time.
    pub answered: f64,
}

/// Arrivals: time in ms and class, the same for every way that is compared.
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

fn felt(latencies: &Histogram<u64>, sent: u64) -> Felt {
    let answered = latencies.len() as f64 / sent.max(1) as f64;
    Felt { p99_ms: latencies.value_at_quantile(0.99).max(1), answered }
}

/// The product's dispatch.
///
/// # Panics
///
/// Never.
#[must_use]
pub fn ours(load: f64, seed: u64) -> Felt {
    let bounds = Bounds { queue: 1_024, batch_ceiling_percent: 75, batch_floor_every: 8 };
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut dispatch = Dispatch::new(bounds);
    let vm = |number| VmName::new(&format!("vm-{number}")).expect("a name");
    let targets: Vec<_> =
        (0..VMS).map(|number| Target { vm: vm(number), slots: SLOTS, local: true }).collect();
    dispatch.set_targets(&targets, Monotonic(START_MS), &mut rng);
    let caller = CallerName::new("caller").expect("a name");
    let mut ends: BinaryHeap<Reverse<(u64, u64)>> = BinaryHeap::new();
    let mut open: BTreeMap<u64, (u64, Class, Option<VmName>)> = BTreeMap::new();
    let mut latencies = Histogram::<u64>::new(3).expect("three figures are allowed");
    let mut sent = 0;
    let mut finish = |until: u64,
                      dispatch: &mut Dispatch,
                      ends: &mut BinaryHeap<Reverse<(u64, u64)>>,
                      open: &mut BTreeMap<u64, (u64, Class, Option<VmName>)>,
                      rng: &mut SmallRng| {
        while let Some(Reverse((at, ticket))) = ends.peek().copied().filter(|e| e.0.0 <= until) {
            ends.pop();
            let Some((arrived, class, Some(vm))) = open.remove(&ticket) else { continue };
            if class == Class::Urgent && at - arrived <= DEADLINE_MS {
                latencies.record(at - arrived).expect("in range");
            }
            for ticket in dispatch.expire(Monotonic(at)) {
                open.remove(&ticket.0);
            }
            let end = Use::Answered(Duration::from_millis(SERVICE_MS));
            for grant in dispatch.release(&vm, class, end, Monotonic(at), rng) {
                if let Some(waiting) = open.get_mut(&grant.ticket.0) {
                    waiting.2 = Some(grant.vm);
                    ends.push(Reverse((at + SERVICE_MS, grant.ticket.0)));
                }
            }
        }
    };
    for (ticket, (at, class)) in (0..).zip(arrivals(load, seed)) {
        finish(at, &mut dispatch, &mut ends, &mut open, &mut rng);
        sent += u64::from(class == Class::Urgent);
        let deadline = Monotonic(at + DEADLINE_MS);
        let ask = Ask { ticket: Ticket(ticket), caller: caller.clone(), class, deadline };
        match dispatch.offer(ask, Monotonic(at), &mut rng) {
            Offer::Assigned(vm) => {
                open.insert(ticket, (at, class, Some(vm)));
                ends.push(Reverse((at + SERVICE_MS, ticket)));
            }
            Offer::Waiting => drop(open.insert(ticket, (at, class, None))),
            Offer::Refused(_) => {}
        }
    }
    finish(u64::MAX, &mut dispatch, &mut ends, &mut open, &mut rng);
    felt(&latencies, sent)
}

/// One queue in the order of arrival, as long as it gets; those past their deadline are dropped.
///
/// # Panics
///
/// Never.
#[must_use]
pub fn first_in_first_out(load: f64, seed: u64) -> Felt {
    let mut free = VMS * SLOTS;
    let mut queue: VecDeque<(u64, Class)> = VecDeque::new();
    let mut ends: BinaryHeap<Reverse<u64>> = BinaryHeap::new();
    let mut latencies = Histogram::<u64>::new(3).expect("three figures are allowed");
    let mut sent = 0;
    let mut arrivals = arrivals(load, seed).into_iter().peekable();
    loop {
        let end = ends.peek().map(|end| end.0);
        let arrival = arrivals.peek().map(|arrival| arrival.0);
        let now = match (end, arrival) {
            (Some(end), Some(arrival)) if end <= arrival => end,
            (Some(end), None) => end,
            (_, Some(arrival)) => arrival,
            (None, None) => return felt(&latencies, sent),
        };
        if end == Some(now) {
            ends.pop();
            free += 1;
        } else if let Some((at, class)) = arrivals.next() {
            sent += u64::from(class == Class::Urgent);
            queue.push_back((at, class));
        }
        while free > 0 {
            let Some((arrived, class)) = queue.pop_front() else { break };
            if now - arrived > DEADLINE_MS {
                continue;
            }
            free -= 1;
            ends.push(Reverse(now + SERVICE_MS));
            let latency = now + SERVICE_MS - arrived;
            if class == Class::Urgent && latency <= DEADLINE_MS {
                latencies.record(latency).expect("in range");
            }
        }
    }
}
