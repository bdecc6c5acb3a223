//! A member that was evicted never acts, whatever is delayed, cut or paused.
//!
//! A few daemons with clocks of their own, whose rates drift as far as allowed, go through their
//! rounds: read the log, think, exchange heartbeats. Links and the way to the log are cut and healed,
//! daemons stop and go on, heartbeats and appends take their time. After every round, whoever still
//! believes that its lease is valid must be a member by the head of the log.

use std::collections::BTreeSet;
use std::time::Duration;

use crosspath_state::State;
use crosspath_state::lease::{Guardian, Holder, Terms};
use crosspath_state::member;
use crosspath_state::record::{Change, Entry, Membership, Writer};
use crosspath_state::time::Monotonic;
use proptest::prelude::*;
use proptest::strategy::ValueTree as _;
use proptest::test_runner::{RngSeed, TestRunner};

use crate::common::{batch, writer};

const DAEMONS: u8 = 3;
const DRIFT_PPM: u32 = 100_000;
const TERMS: Terms = Terms {
    lease: Duration::from_millis(1_000),
    tenure: Duration::from_millis(2_000),
    drift_ppm: DRIFT_PPM,
};
const ROUNDS: usize = 250;
const CASES: u32 = 4_000;

#[derive(Debug, Clone)]
enum Fault {
    /// Cuts the way of one daemon to the log, or heals it.
    Log(u8),
    /// Cuts the heartbeats from one daemon to another, or heals them.
    Link(u8, u8),
    /// Stops a daemon, or lets it go on.
    Pause(u8),
}

#[derive(Debug, Clone)]
struct Round {
    pass_ms: u64,
    faults: Vec<Fault>,
    beat_delay: u8,
    append_delay: u8,
}

fn any_round() -> impl Strategy<Value = Round> {
    let daemon = || 0..DAEMONS;
    let fault = prop_oneof![
        2 => daemon().prop_map(Fault::Log),
        3 => (daemon(), daemon()).prop_map(|(a, b)| Fault::Link(a, b)),
        1 => daemon().prop_map(Fault::Pause),
    ];
    let faults = prop_oneof![
        9 => Just(Vec::new()),
        1 => prop::collection::vec(fault, 1..3),
    ];
    let delay = || prop_oneof![4 => Just(0_u8), 1 => 1..20_u8];
    (5..120_u64, faults, delay(), delay()).prop_map(
        |(pass_ms, faults, beat_delay, append_delay)| Round {
            pass_ms,
            faults,
            beat_delay,
            append_delay,
        },
    )
}

/// A heartbeat on its way: the question, then the answer.
#[derive(Clone)]
struct Message {
    due: usize,
    from: u8,
    to: u8,
    asked_at: Monotonic,
    answer: Option<Option<Duration>>,
}

struct Daemon {
    own: Writer,
    state: State,
    holder: Holder,
    guardian: Guardian,
    sequence: u64,
    /// Number of the batch that is on its way; the next waits for it.
    pending: Option<u64>,
}

struct World {
    round: usize,
    now: u64,
    log: Vec<Entry>,
    head: State,
    daemons: Vec<Daemon>,
    messages: Vec<Message>,
    appends: Vec<(usize, Entry)>,
    no_log: BTreeSet<u8>,
    no_link: BTreeSet<(u8, u8)>,
    paused: BTreeSet<u8>,
    evictions: u32,
}

fn toggle<T: Ord>(set: &mut BTreeSet<T>, value: T) {
    if let Some(value) = Some(value).filter(|value| !set.remove(value)) {
        set.insert(value);
    }
}

impl World {
    fn new() -> Self {
        let daemon = |number| Daemon {
            own: writer(number, 1),
            state: State::default(),
            holder: Holder::default(),
            guardian: Guardian::default(),
            sequence: 0,
            pending: None,
        };
        Self {
            round: 0,
            now: 1_000_000,
            log: Vec::new(),
            head: State::default(),
            daemons: (0..DAEMONS).map(daemon).collect(),
            messages: Vec::new(),
            appends: Vec::new(),
            no_log: BTreeSet::new(),
            no_link: BTreeSet::new(),
            paused: BTreeSet::new(),
            evictions: 0,
        }
    }

    /// The daemon's own clock: an offset, and a rate up to half the drift off on either side.
    fn clock(&self, daemon: u8) -> Monotonic {
        let half = u64::from(DRIFT_PPM / 2);
        let rate = [1_000_000 - half, 1_000_000 + half, 1_000_000];
        let place = usize::from(daemon);
        Monotonic(u64::from(daemon) * 77_777 + self.now * rate[place] / 1_000_000)
    }

    fn go(&mut self, round: &Round) {
        self.round += 1;
        self.now += round.pass_ms;
        for fault in &round.faults {
            match *fault {
                Fault::Log(daemon) => toggle(&mut self.no_log, daemon),
                Fault::Link(a, b) => toggle(&mut self.no_link, (a, b)),
                Fault::Pause(daemon) => toggle(&mut self.paused, daemon),
            }
        }
        self.arrive();
        for daemon in
            (0..DAEMONS).filter(|daemon| !self.paused.contains(daemon)).collect::<Vec<_>>()
        {
            if !self.no_log.contains(&daemon) {
                self.read(daemon);
                self.think(daemon, self.round + usize::from(round.append_delay));
            }
            self.ask(daemon, self.round + usize::from(round.beat_delay));
        }
        self.arrive();
        self.deliver();
        self.check();
    }

    /// Appends whose time has come reach the log.
    fn arrive(&mut self) {
        let round = self.round;
        let (due, later) =
            std::mem::take(&mut self.appends).into_iter().partition(|a| a.0 <= round);
        self.appends = later;
        let due: Vec<(usize, Entry)> = due;
        for (_, entry) in due {
            let before = self.head.members.len();
            self.head.apply(self.head.applied.next(), &entry).expect("the next offset");
            self.evictions += u32::from(self.head.members.len() < before);
            self.log.push(entry);
        }
    }

    fn append(&mut self, daemon: u8, change: Membership, due: usize) {
        let writer = &mut self.daemons[usize::from(daemon)];
        writer.sequence += 1;
        writer.pending = Some(writer.sequence);
        let changes = vec![Change::Member(change)];
        let entry = Entry::Batch(batch(writer.own.clone(), writer.sequence, changes));
        self.appends.push((due, entry));
    }

    fn ask(&mut self, from: u8, due: usize) {
        let asked_at = self.clock(from);
        for to in (0..DAEMONS).filter(|to| *to != from) {
            self.messages.push(Message { due, from, to, asked_at, answer: None });
        }
    }

    fn deliver(&mut self) {
        let round = self.round;
        let (due, later) =
            std::mem::take(&mut self.messages).into_iter().partition(|m| m.due <= round);
        self.messages = later;
        let due: Vec<Message> = due;
        for message in due {
            let (from, to) = (message.from, message.to);
            match message.answer {
                None if self.no_link.contains(&(from, to)) || self.paused.contains(&to) => {}
                None => {
                    let answer = Some(self.answer(from, to));
                    // The answer comes at once, or much later.
                    let late = usize::from(from) * usize::from(round.is_multiple_of(3));
                    self.messages.push(Message { answer, due: round + late, ..message });
                }
                Some(_) if self.paused.contains(&from) => {
                    self.messages.push(Message { due: round + 1, ..message });
                }
                Some(promise) => {
                    let guard = self.daemons[usize::from(to)].own.daemon.clone();
                    let holder = &mut self.daemons[usize::from(from)].holder;
                    promise.inspect(|span| holder.promised(TERMS, &guard, message.asked_at, *span));
                }
            }
        }
    }

    fn answer(&mut self, from: u8, to: u8) -> Option<Duration> {
        let now = self.clock(to);
        let asker = self.daemons[usize::from(from)].own.clone();
        let daemon = &mut self.daemons[usize::from(to)];
        let valid = daemon.holder.is_valid(&daemon.state, &daemon.own, now);
        daemon.guardian.promise(TERMS, &daemon.state, &asker, valid, now)
    }

    fn read(&mut self, daemon: u8) {
        let daemon = &mut self.daemons[usize::from(daemon)];
        for entry in &self.log[usize::try_from(daemon.state.applied.0).expect("small")..] {
            daemon.state.apply(daemon.state.applied.next(), entry).expect("the next offset");
        }
        let last = daemon.state.writers.get(&daemon.own.daemon).map(|last| last.sequence);
        if last >= daemon.pending {
            daemon.pending = None;
            daemon.holder.naming(None);
        }
    }

    /// What the daemon's membership task does.
    fn think(&mut self, number: u8, due: usize) {
        let now = self.clock(number);
        let daemon = &mut self.daemons[usize::from(number)];
        if daemon.pending.is_some() {
            return;
        }
        if daemon.sequence == 0 {
            return self.append(number, Membership::Join, due);
        }
        let valid = daemon.holder.is_valid(&daemon.state, &daemon.own, now);
        daemon.guardian.observe(TERMS, &daemon.state, &daemon.own, valid, now);
        let Some(own) = daemon.state.members.get(&daemon.own.daemon) else { return };
        let guard = member::successor(&daemon.state.members, &daemon.own.daemon).cloned();
        if let (None, Some(guard)) = (&own.guard, guard) {
            daemon.holder.naming(Some(guard.clone()));
            return self.append(number, Membership::Guard { guard }, due);
        }
        let evictable = daemon.guardian.evictable(TERMS, now).into_iter().next();
        if let Some(member) = evictable {
            self.append(number, Membership::Evict { member }, due);
        }
    }

    fn check(&self) {
        for number in 0..DAEMONS {
            let daemon = &self.daemons[usize::from(number)];
            let acts = daemon.holder.is_valid(&daemon.state, &daemon.own, self.clock(number));
            let member = self.head.is_member(&daemon.own);
            assert!(!acts || member, "{} acts after its eviction", daemon.own);
        }
    }
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: CASES,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn run(rounds: &[Round]) -> u32 {
    let mut world = World::new();
    for round in rounds {
        world.go(round);
    }
    world.evictions
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn an_evicted_member_never_acts(rounds in prop::collection::vec(any_round(), ROUNDS)) {
        run(&rounds);
    }
}

/// The made-up histories do evict, so that the property is not held by silence.
#[test]
fn made_up_histories_evict() {
    let mut runner = TestRunner::new(config());
    let strategy = prop::collection::vec(any_round(), ROUNDS);
    let mut histories = (0..200).map(|_| strategy.new_tree(&mut runner).expect("rounds").current());
    let evictions: u32 = histories.by_ref().map(|rounds| run(&rounds)).sum();
    assert!(evictions > 100, "only {evictions} evictions");
}

fn quiet(rounds: usize) -> Vec<Round> {
    let round = Round { pass_ms: 50, faults: Vec::new(), beat_delay: 0, append_delay: 0 };
    vec![round; rounds]
}

fn acting(world: &World) -> usize {
    let acts = |number: &u8| {
        let daemon = &world.daemons[usize::from(*number)];
        daemon.holder.is_valid(&daemon.state, &daemon.own, world.clock(*number))
    };
    (0..DAEMONS).filter(acts).count()
}

/// Without faults every daemon acts, and none is evicted.
#[test]
fn a_quiet_site_keeps_its_members() {
    let mut world = World::new();
    quiet(400).iter().for_each(|round| world.go(round));
    assert_eq!((acting(&world), world.evictions), (3, 0));
}

/// A moment in which every lease lapses at once, with the log away, ends for good.
#[test]
fn leases_come_back_without_the_log() {
    let mut world = World::new();
    quiet(50).iter().for_each(|round| world.go(round));
    (0..DAEMONS).for_each(|daemon| toggle(&mut world.no_log, daemon));
    world.now += 1_300;
    assert_eq!(acting(&world), 0);
    quiet(20).iter().for_each(|round| world.go(round));
    assert_eq!(acting(&world), 3);
}

/// The whole site stops for a while: within the tenure nobody is evicted, beyond it someone goes on.
#[test]
fn a_stop_of_the_whole_site_ends() {
    let after = |stop_ms| {
        let mut world = World::new();
        quiet(50).iter().for_each(|round| world.go(round));
        world.now += stop_ms;
        quiet(60).iter().for_each(|round| world.go(round));
        (acting(&world), world.evictions)
    };
    assert_eq!(after(1_700), (3, 0));
    assert!(after(10_000).0 > 0);
}

/// One daemon that is gone while the log is away stops itself and the one that it guarded only.
#[test]
fn one_loss_without_the_log_stops_no_other() {
    let mut world = World::new();
    quiet(50).iter().for_each(|round| world.go(round));
    (0..DAEMONS).for_each(|daemon| toggle(&mut world.no_log, daemon));
    toggle(&mut world.paused, 1);
    quiet(40).iter().for_each(|round| world.go(round));
    assert_eq!(acting(&world), 1);
}
