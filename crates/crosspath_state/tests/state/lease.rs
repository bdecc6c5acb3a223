//! An evicted member never acts, whatever is delayed, cut off or paused.
//!
//! A few simulated daemons, whose clocks drift as far as allowed, read the log, run their
//! membership task and exchange heartbeats in rounds. Links and connections to the log are cut and
//! restored, daemons pause and resume, heartbeats and appends are delayed. After every round, each
//! daemon that considers its lease valid must be a member according to the head of the log.

use std::collections::BTreeSet;
use std::time::Duration;

use crosspath_state::State;
use crosspath_state::lease::{Grantor, Holder, Terms};
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
    /// Cuts the connection of a daemon to the log, or restores it.
    Log(u8),
    /// Cuts the heartbeats from one daemon to another, or restores them.
    Link(u8, u8),
    /// Pauses a daemon, or resumes it.
    Pause(u8),
}

#[derive(Debug, Clone)]
struct Round {
    elapsed_ms: u64,
    faults: Vec<Fault>,
    heartbeat_delay: u8,
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
        |(elapsed_ms, faults, heartbeat_delay, append_delay)| Round {
            elapsed_ms,
            faults,
            heartbeat_delay,
            append_delay,
        },
    )
}

/// A heartbeat in flight: a request without a response, then the response.
#[derive(Clone)]
struct Message {
    due: usize,
    from: u8,
    to: u8,
    sent_at: Monotonic,
    response: Option<Option<Duration>>,
}

struct Daemon {
    own: Writer,
    state: State,
    holder: Holder,
    grantor: Grantor,
    sequence: u64,
    /// Sequence number of the append in flight; the daemon appends nothing else meanwhile.
    pending: Option<u64>,
}

struct Simulation {
    round: usize,
    now: u64,
    log: Vec<Entry>,
    head: State,
    daemons: Vec<Daemon>,
    messages: Vec<Message>,
    appends: Vec<(usize, Entry)>,
    cut_from_log: BTreeSet<u8>,
    cut_links: BTreeSet<(u8, u8)>,
    paused: BTreeSet<u8>,
    evictions: u32,
}

fn toggle<T: Ord>(set: &mut BTreeSet<T>, value: T) {
    if let Some(value) = Some(value).filter(|value| !set.remove(value)) {
        set.insert(value);
    }
}

impl Simulation {
    fn new() -> Self {
        let daemon = |number| Daemon {
            own: writer(number, 1),
            state: State::default(),
            holder: Holder::default(),
            grantor: Grantor::default(),
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
            cut_from_log: BTreeSet::new(),
            cut_links: BTreeSet::new(),
            paused: BTreeSet::new(),
            evictions: 0,
        }
    }

    /// The daemon's own clock: it has an offset, and its rate deviates by up to half the drift.
    fn clock(&self, daemon: u8) -> Monotonic {
        let half = u64::from(DRIFT_PPM / 2);
        let rate = [1_000_000 - half, 1_000_000 + half, 1_000_000];
        let index = usize::from(daemon);
        Monotonic(u64::from(daemon) * 77_777 + self.now * rate[index] / 1_000_000)
    }

    fn run_round(&mut self, round: &Round) {
        self.round += 1;
        self.now += round.elapsed_ms;
        for fault in &round.faults {
            match *fault {
                Fault::Log(daemon) => toggle(&mut self.cut_from_log, daemon),
                Fault::Link(a, b) => toggle(&mut self.cut_links, (a, b)),
                Fault::Pause(daemon) => toggle(&mut self.paused, daemon),
            }
        }
        self.deliver_appends();
        for daemon in
            (0..DAEMONS).filter(|daemon| !self.paused.contains(daemon)).collect::<Vec<_>>()
        {
            if !self.cut_from_log.contains(&daemon) {
                self.read(daemon);
                self.run_membership_task(daemon, self.round + usize::from(round.append_delay));
            }
            self.send_heartbeats(daemon, self.round + usize::from(round.heartbeat_delay));
        }
        self.deliver_appends();
        self.deliver_heartbeats();
        self.check();
    }

    /// Adds the appends that are due to the log.
    fn deliver_appends(&mut self) {
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

    fn send_heartbeats(&mut self, from: u8, due: usize) {
        let sent_at = self.clock(from);
        for to in (0..DAEMONS).filter(|to| *to != from) {
            self.messages.push(Message { due, from, to, sent_at, response: None });
        }
    }

    fn deliver_heartbeats(&mut self) {
        let round = self.round;
        let (due, later) =
            std::mem::take(&mut self.messages).into_iter().partition(|m| m.due <= round);
        self.messages = later;
        let due: Vec<Message> = due;
        for message in due {
            let (from, to) = (message.from, message.to);
            match message.response {
                None if self.cut_links.contains(&(from, to)) || self.paused.contains(&to) => {}
                None => {
                    let response = Some(self.respond(from, to));
                    // The response arrives at once or some rounds later.
                    let delay = usize::from(from) * usize::from(round.is_multiple_of(3));
                    self.messages.push(Message { response, due: round + delay, ..message });
                }
                Some(_) if self.paused.contains(&from) => {
                    self.messages.push(Message { due: round + 1, ..message });
                }
                Some(grant) => {
                    let guard = self.daemons[usize::from(to)].own.daemon.clone();
                    let holder = &mut self.daemons[usize::from(from)].holder;
                    grant
                        .inspect(|span| holder.record_grant(TERMS, &guard, message.sent_at, *span));
                }
            }
        }
    }

    fn respond(&mut self, from: u8, to: u8) -> Option<Duration> {
        let now = self.clock(to);
        let requester = self.daemons[usize::from(from)].own.clone();
        let daemon = &mut self.daemons[usize::from(to)];
        let valid = daemon.holder.is_valid(&daemon.state, &daemon.own, now);
        daemon.grantor.grant(TERMS, &daemon.state, &requester, valid, now)
    }

    fn read(&mut self, daemon: u8) {
        let daemon = &mut self.daemons[usize::from(daemon)];
        for entry in &self.log[usize::try_from(daemon.state.applied.0).expect("small")..] {
            daemon.state.apply(daemon.state.applied.next(), entry).expect("the next offset");
        }
        let last = daemon.state.writers.get(&daemon.own.daemon).map(|last| last.sequence);
        if last >= daemon.pending {
            daemon.pending = None;
            daemon.holder.set_pending_guard(None);
        }
    }

    /// Does what the membership task of a daemon does.
    fn run_membership_task(&mut self, number: u8, due: usize) {
        let now = self.clock(number);
        let daemon = &mut self.daemons[usize::from(number)];
        if daemon.pending.is_some() {
            return;
        }
        if daemon.sequence == 0 {
            return self.append(number, Membership::Join, due);
        }
        let valid = daemon.holder.is_valid(&daemon.state, &daemon.own, now);
        daemon.grantor.observe(TERMS, &daemon.state, &daemon.own, valid, now);
        let Some(own) = daemon.state.members.get(&daemon.own.daemon) else { return };
        let guard = member::successor(&daemon.state.members, &daemon.own.daemon).cloned();
        if let (None, Some(guard)) = (&own.guard, guard) {
            daemon.holder.set_pending_guard(Some(guard.clone()));
            return self.append(number, Membership::Guard { guard }, due);
        }
        let evictable = daemon.grantor.evictable(TERMS, now).into_iter().next();
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

fn count_evictions(rounds: &[Round]) -> u32 {
    let mut simulation = Simulation::new();
    for round in rounds {
        simulation.run_round(round);
    }
    simulation.evictions
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn an_evicted_member_never_acts(rounds in prop::collection::vec(any_round(), ROUNDS)) {
        count_evictions(&rounds);
    }
}

/// The generated histories contain evictions; otherwise the property would hold trivially.
#[test]
fn generated_histories_contain_evictions() {
    let mut runner = TestRunner::new(config());
    let strategy = prop::collection::vec(any_round(), ROUNDS);
    let mut histories = (0..200).map(|_| strategy.new_tree(&mut runner).expect("rounds").current());
    let evictions: u32 = histories.by_ref().map(|rounds| count_evictions(&rounds)).sum();
    assert!(evictions > 100, "only {evictions} evictions");
}

fn fault_free_rounds(rounds: usize) -> Vec<Round> {
    let round = Round { elapsed_ms: 50, faults: Vec::new(), heartbeat_delay: 0, append_delay: 0 };
    vec![round; rounds]
}

fn count_acting(simulation: &Simulation) -> usize {
    let acts = |number: &u8| {
        let daemon = &simulation.daemons[usize::from(*number)];
        daemon.holder.is_valid(&daemon.state, &daemon.own, simulation.clock(*number))
    };
    (0..DAEMONS).filter(acts).count()
}

/// Without faults, every daemon acts and none is evicted.
#[test]
fn without_faults_every_member_stays() {
    let mut simulation = Simulation::new();
    fault_free_rounds(400).iter().for_each(|round| simulation.run_round(round));
    assert_eq!((count_acting(&simulation), simulation.evictions), (3, 0));
}

/// If every lease expires at once during an outage of the log, all leases are renewed without it.
#[test]
fn leases_are_renewed_without_the_log() {
    let mut simulation = Simulation::new();
    fault_free_rounds(50).iter().for_each(|round| simulation.run_round(round));
    (0..DAEMONS).for_each(|daemon| toggle(&mut simulation.cut_from_log, daemon));
    simulation.now += 1_300;
    assert_eq!(count_acting(&simulation), 0);
    fault_free_rounds(20).iter().for_each(|round| simulation.run_round(round));
    assert_eq!(count_acting(&simulation), 3);
}

/// All daemons stop for a while: within the tenure none is evicted, after it at least one acts.
#[test]
fn a_pause_of_all_daemons_is_survived() {
    let after = |stop_ms| {
        let mut simulation = Simulation::new();
        fault_free_rounds(50).iter().for_each(|round| simulation.run_round(round));
        simulation.now += stop_ms;
        fault_free_rounds(60).iter().for_each(|round| simulation.run_round(round));
        (count_acting(&simulation), simulation.evictions)
    };
    assert_eq!(after(1_700), (3, 0));
    assert!(after(10_000).0 > 0);
}

/// A daemon that is lost during an outage of the log stops only itself and the member it guards.
#[test]
fn one_loss_without_the_log_stops_only_its_guarded_member() {
    let mut simulation = Simulation::new();
    fault_free_rounds(50).iter().for_each(|round| simulation.run_round(round));
    (0..DAEMONS).for_each(|daemon| toggle(&mut simulation.cut_from_log, daemon));
    toggle(&mut simulation.paused, 1);
    fault_free_rounds(40).iter().for_each(|round| simulation.run_round(round));
    assert_eq!(count_acting(&simulation), 1);
}
