//! Slots, queues, refusals and outlier ejection of one pool.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crosspath_route::answer::{Answer, NotRun};
use crosspath_route::dispatch::{
    Admission, Bounds, Completion, Dispatch, Grant, Request, Target, Ticket,
};
use crosspath_state::job::Class;
use crosspath_state::name::{CallerName, VmName};
use crosspath_state::time::Monotonic;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

const BOUNDS: Bounds = Bounds { queue: 50, batch_ceiling_percent: 75, batch_floor_every: 4 };

fn vm(number: u8) -> VmName {
    VmName::new(&format!("vm-{number}")).expect("valid name")
}

fn caller(number: u8) -> CallerName {
    CallerName::new(&format!("caller-{number}")).expect("valid name")
}

fn targets(count: u8, slots: u32) -> Vec<Target> {
    (0..count).map(|number| Target { vm: vm(number), slots, local: number % 2 == 0 }).collect()
}

/// Dispatcher of one pool, with the test's own record of its waiting and running requests.
struct Pool {
    dispatch: Dispatch,
    rng: SmallRng,
    now: u64,
    tickets: u64,
    waiting: BTreeMap<Ticket, Class>,
    running: Vec<(VmName, Class)>,
    served: BTreeMap<Class, u32>,
}

impl Pool {
    fn new(targets: &[Target]) -> Self {
        let mut pool = Self {
            dispatch: Dispatch::new(BOUNDS),
            rng: SmallRng::seed_from_u64(6),
            now: 100_000,
            tickets: 0,
            waiting: BTreeMap::new(),
            running: Vec::new(),
            served: BTreeMap::new(),
        };
        pool.set_targets(targets);
        pool
    }

    fn now(&self) -> Monotonic {
        Monotonic(self.now)
    }

    fn set_targets(&mut self, targets: &[Target]) {
        let grants = self.dispatch.set_targets(targets, self.now(), &mut self.rng);
        self.granted(grants);
    }

    fn granted(&mut self, grants: Vec<Grant>) {
        for grant in grants {
            let class = self.waiting.remove(&grant.ticket).expect("ticket is waiting");
            assert_eq!(class, grant.class);
            self.start(grant.vm, class);
        }
    }

    fn start(&mut self, vm: VmName, class: Class) {
        self.running.push((vm, class));
        *self.served.entry(class).or_default() += 1;
    }

    fn request(&mut self, from: u8, class: Class, within: u64) -> Admission {
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        let deadline = self.now().after(Duration::from_millis(within));
        let request = Request { ticket, caller: caller(from), class, deadline };
        let admission = self.dispatch.admit(request, self.now(), &mut self.rng);
        match &admission {
            Admission::Assigned(vm) => self.start(vm.clone(), class),
            Admission::Waiting => drop(self.waiting.insert(ticket, class)),
            Admission::Refused(_) => {}
        }
        admission
    }

    fn end(&mut self, index: usize, end: Completion) {
        if self.running.is_empty() {
            return;
        }
        let (vm, class) = self.running.swap_remove(index % self.running.len());
        let grants = self.dispatch.release(&vm, class, end, self.now(), &mut self.rng);
        self.granted(grants);
    }

    fn running_on(&self, vm: &VmName) -> u32 {
        u32::try_from(self.running.iter().filter(|(on, _)| on == vm).count()).expect("fits in u32")
    }
}

#[derive(Debug, Clone)]
enum Event {
    Advance(u64),
    Request { from: u8, batch: bool, within: u64 },
    End { index: usize, kind: u8 },
    Cancel { index: usize },
    Expire,
    Targets { vms: Vec<u8> },
}

fn any_event() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => (1..300_u64).prop_map(Event::Advance),
        12 => (0..4_u8, any::<bool>(), 1..2_000_u64)
            .prop_map(|(from, batch, within)| Event::Request { from, batch, within }),
        8 => (0..64_usize, 0..4_u8).prop_map(|(index, kind)| Event::End { index, kind }),
        1 => (0..16_usize).prop_map(|index| Event::Cancel { index }),
        1 => Just(Event::Expire),
        1 => prop::collection::vec(0..5_u8, 0..5).prop_map(|vms| Event::Targets { vms }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000, rng_seed: RngSeed::Fixed(7), failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// No VM gets more requests than its slots, a VM that left gets none, and every ticket is
    /// granted, expired or cancelled exactly once.
    #[test]
    fn limits_hold_for_any_history(events in prop::collection::vec(any_event(), 150)) {
        const SLOTS: u32 = 3;
        let mut pool = Pool::new(&targets(4, SLOTS));
        let mut active: BTreeSet<VmName> = (0..4).map(vm).collect();
        for event in events {
            let before: BTreeMap<_, _> = (0..5).map(|n| (vm(n), pool.running_on(&vm(n)))).collect();
            match event {
                Event::Advance(ms) => pool.now += ms,
                Event::Request { from, batch, within } => {
                    let class = if batch { Class::Batch } else { Class::Urgent };
                    let admission = pool.request(from, class, within);
                    if active.is_empty() {
                        let refused = matches!(admission, Admission::Refused(answer)
                            if answer.answer == Answer::NotRun(NotRun::NoUpstream));
                        prop_assert!(refused);
                    }
                }
                Event::End { index, kind } => {
                    let ends = [
                        Completion::Answered(Duration::from_millis(20)),
                        Completion::Failed,
                        Completion::Refused,
                        Completion::Abandoned,
                    ];
                    pool.end(index, ends[usize::from(kind)]);
                }
                Event::Cancel { index } => {
                    let ticket = pool.waiting.keys().nth(index).copied();
                    if let Some(ticket) = ticket {
                        pool.dispatch.cancel(ticket);
                        pool.waiting.remove(&ticket);
                    }
                }
                Event::Expire => {
                    for ticket in pool.dispatch.expire(pool.now()) {
                        prop_assert!(pool.waiting.remove(&ticket).is_some());
                    }
                }
                Event::Targets { vms } => {
                    active = vms.iter().copied().map(vm).collect();
                    let targets = active.iter().map(|vm| Target {
                        vm: vm.clone(), slots: SLOTS, local: false,
                    });
                    pool.set_targets(&targets.collect::<Vec<_>>());
                }
            }
            for number in 0..5 {
                let vm = vm(number);
                let on = pool.running_on(&vm);
                prop_assert!(on <= SLOTS, "{vm} runs {on} requests");
                prop_assert!(active.contains(&vm) || on <= before[&vm], "{vm} left, got requests");
                prop_assert_eq!(pool.dispatch.in_flight(&vm), on);
            }
            let waiting = [Class::Urgent, Class::Batch].map(|class| pool.dispatch.waiting(class));
            prop_assert_eq!(waiting.iter().sum::<usize>(), pool.waiting.len());
        }
    }
}

/// Fills the pool, queues requests of both classes, and returns kind many of each class are served
/// when `rounds` requests end.
fn served_under_load(rounds: usize) -> BTreeMap<Class, u32> {
    let mut pool = Pool::new(&targets(4, 2));
    for _ in 0..8 {
        pool.request(0, Class::Urgent, 60_000);
    }
    pool.served.clear();
    for round in 0..rounds {
        pool.request(1, Class::Batch, 60_000);
        pool.request(0, Class::Urgent, 60_000);
        pool.end(round, Completion::Answered(Duration::from_millis(5)));
    }
    pool.served
}

#[test]
fn urgent_goes_first_and_batch_is_not_starved() {
    let served = served_under_load(40);
    assert_eq!(served[&Class::Batch], 10, "{served:?}");
    assert_eq!(served[&Class::Urgent], 30, "{served:?}");
}

#[test]
fn batch_leaves_slots_for_urgent() {
    let mut pool = Pool::new(&targets(4, 2));
    for _ in 0..20 {
        pool.request(1, Class::Batch, 60_000);
    }
    assert_eq!(pool.running.len(), 6);
    assert!(matches!(pool.request(0, Class::Urgent, 60_000), Admission::Assigned(_)));
}

#[test]
fn callers_are_served_in_turn() {
    let mut pool = Pool::new(&targets(1, 1));
    pool.request(0, Class::Urgent, 60_000);
    for _ in 0..20 {
        pool.request(1, Class::Urgent, 60_000);
    }
    pool.request(2, Class::Urgent, 60_000);
    let last = Ticket(pool.tickets);
    pool.end(0, Completion::Answered(Duration::from_millis(5)));
    pool.end(0, Completion::Answered(Duration::from_millis(5)));
    assert!(
        !pool.waiting.contains_key(&last),
        "must be served second, not after the 20 requests of another caller"
    );
}

#[test]
fn requests_that_would_miss_their_deadline_are_refused_on_arrival() {
    let mut pool = Pool::new(&targets(1, 1));
    pool.request(0, Class::Urgent, 60_000);
    pool.end(0, Completion::Answered(Duration::from_millis(100)));
    for _ in 0..10 {
        pool.request(0, Class::Urgent, 60_000);
    }
    let late = pool.request(0, Class::Urgent, 500);
    let Admission::Refused(answer) = late else { panic!("{late:?}") };
    assert_eq!(answer.answer, Answer::NotRun(NotRun::TooLate));
    assert!(answer.retry_after >= Some(Duration::from_millis(900)), "{answer:?}");
    assert_eq!(pool.request(0, Class::Urgent, 5_000), Admission::Waiting);
}

/// A VM that fails quickly attracts no requests, and a pool whose VMs all fail is not emptied.
#[test]
fn outliers_are_ejected_down_to_a_floor() {
    let mut pool = Pool::new(&targets(6, 4));
    let failing = vm(0);
    let mut on_failing = 0;
    for _ in 0..300 {
        pool.now += 10;
        pool.request(0, Class::Urgent, 60_000);
        let (on, _) = pool.running.last().cloned().expect("assigned");
        on_failing += u32::from(on == failing);
        let end = if on == failing {
            Completion::Failed
        } else {
            Completion::Answered(Duration::from_millis(5))
        };
        pool.end(pool.running.len() - 1, end);
    }
    assert!(on_failing <= 15, "{on_failing} of 300 went to the failing one");
    for _ in 0..100 {
        pool.now += 1;
        let admission = pool.request(0, Class::Urgent, 60_000);
        assert!(matches!(admission, Admission::Assigned(_)), "{admission:?}");
        pool.end(0, Completion::Failed);
    }
}
