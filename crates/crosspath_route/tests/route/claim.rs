//! Claims on payment keys across changes of the owner: a key whose request may have run is never
//! granted again.

use std::collections::BTreeMap;
use std::time::Duration;

use crosspath_route::answer::{Answer, NotRun, Unknown};
use crosspath_route::claim::{Bounds, Nonce, Outcome, Recorded, Request, Table, Verdict};
use crosspath_route::key::Key;
use crosspath_state::name::CallerName;
use crosspath_state::time::Wall;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use uuid::{NoContext, Timestamp, Uuid};

const SKEW_MS: u64 = 50;
const BOUNDS: Bounds = Bounds {
    keys: 1_000,
    answer_bytes: 100_000,
    retention: Duration::from_millis(10_000),
    skew: Duration::from_millis(SKEW_MS),
};
const ANY_NONCE: Nonce = Nonce(0);
const REMAINING: Duration = Duration::from_millis(500);

fn key_at(ms: u64) -> Key {
    let nanos = u32::try_from(ms % 1_000).expect("fits in u32") * 1_000_000;
    let uuid = Uuid::new_v7(Timestamp::from_unix(NoContext, ms / 1_000, nanos));
    Key::parse(&uuid.to_string()).expect("UUID of version 7")
}

fn request(key: Key) -> Request {
    let caller = CallerName::new("shops").expect("valid name");
    Request { key, caller, digest: "same".to_owned() }
}

fn answered() -> Outcome {
    Outcome::Answered(Recorded { status: 200, content_type: None, body: b"paid".to_vec() })
}

#[derive(Debug, Clone)]
enum Event {
    /// Time advances on every clock.
    Advance(u64),
    /// A caller, whose clock is ahead by up to the skew, creates a key.
    CreateKey { offset_ms: u64 },
    /// A key is claimed, possibly not for the first time.
    Claim { index: usize },
    /// A granted request ends: certainly not run, or answered.
    End { index: usize, not_run: bool },
    /// The owner is lost with its claims, and another one, whose clock is ahead, takes over.
    TakeOver { offset_ms: u64 },
    /// The owner hands its claims over to another one, whose clock is ahead.
    HandOver { offset_ms: u64 },
}

fn any_event() -> impl Strategy<Value = Event> {
    let offset_ms = || 0..SKEW_MS;
    prop_oneof![
        5 => (1..200_u64).prop_map(Event::Advance),
        1 => Just(Event::Advance(4_000)),
        6 => offset_ms().prop_map(|offset_ms| Event::CreateKey { offset_ms }),
        10 => (0..30_usize).prop_map(|index| Event::Claim { index }),
        4 => (0..30_usize, any::<bool>())
            .prop_map(|(index, not_run)| Event::End { index, not_run }),
        1 => offset_ms().prop_map(|offset_ms| Event::TakeOver { offset_ms }),
        1 => offset_ms().prop_map(|offset_ms| Event::HandOver { offset_ms }),
    ]
}

/// Whether the request with a key may have run, as tracked by the test.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Execution {
    /// Granted, and may be running or have run.
    MayHaveRun,
    /// Never granted, or ended as certainly not run.
    NotRun,
}

fn run(events: &[Event]) -> (u32, u32) {
    let (mut now, mut offset_ms, mut since) = (1_000_000_u64, 0_u64, Wall(900_000));
    let mut table = Table::new(BOUNDS);
    let mut keys: Vec<Key> = Vec::new();
    let mut executions: BTreeMap<Key, Execution> = BTreeMap::new();
    let (mut granted, mut unknown, mut nonce) = (0, 0, 0);
    for event in events {
        let clock = Wall(now + offset_ms);
        match *event {
            Event::Advance(ms) => now += ms,
            Event::CreateKey { offset_ms } => keys.push(key_at(now + offset_ms)),
            Event::Claim { index } => {
                let Some(key) = keys.get(keys.len().wrapping_sub(index + 1)).copied() else {
                    continue;
                };
                let execution = executions.get(&key).copied().unwrap_or(Execution::NotRun);
                nonce += 1;
                match table.claim(&request(key), Nonce(nonce), REMAINING, since, clock) {
                    Verdict::Granted => {
                        assert_eq!(execution, Execution::NotRun, "granted twice");
                        executions.insert(key, Execution::MayHaveRun);
                        granted += 1;
                    }
                    Verdict::Final(Answer::NotRun(reason)) => {
                        assert_eq!(
                            execution,
                            Execution::NotRun,
                            "reported as not run ({reason:?}) but granted"
                        );
                    }
                    _ => unknown += 1,
                }
            }
            Event::End { index, not_run } => {
                let Some(key) = keys.get(keys.len().wrapping_sub(index + 1)).copied() else {
                    continue;
                };
                if executions.get(&key) != Some(&Execution::MayHaveRun) {
                    continue;
                }
                if not_run && table.look_up(key, &request(key).caller, clock).is_some() {
                    let running = table.look_up(key, &request(key).caller, clock);
                    let open = matches!(
                        running,
                        Some(Verdict::Final(Answer::Unknown(
                            Unknown::InProgress | Unknown::OutcomeLost
                        )))
                    );
                    if open {
                        executions.insert(key, Execution::NotRun);
                        table.settle(&request(key), Outcome::NotRun);
                    }
                } else {
                    table.settle(&request(key), answered());
                }
            }
            Event::TakeOver { offset_ms: next } => {
                offset_ms = next;
                table = Table::new(BOUNDS);
                since = Wall(now + offset_ms);
            }
            Event::HandOver { offset_ms: next } => {
                offset_ms = next;
                let claims = table.claims_where(|_| true);
                table = Table::new(BOUNDS);
                table.take_over(claims);
            }
        }
    }
    (granted, unknown)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 3_000, rng_seed: RngSeed::Fixed(5), failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_key_is_granted_while_it_may_have_run(events in prop::collection::vec(any_event(), 120)) {
        run(&events);
    }
}

#[test]
fn generated_histories_cover_grants_and_refusals() {
    use proptest::strategy::ValueTree as _;
    let mut runner = proptest::test_runner::TestRunner::deterministic();
    let strategy = prop::collection::vec(any_event(), 120);
    let (mut granted, mut unknown) = (0, 0);
    for _ in 0..100 {
        let counts = run(&strategy.new_tree(&mut runner).expect("generated events").current());
        granted += counts.0;
        unknown += counts.1;
    }
    assert!(granted > 300 && unknown > 500, "{granted} granted, {unknown} unknown");
}

#[test]
fn full_table_refuses_new_keys() {
    let mut table = Table::new(Bounds { keys: 2, ..BOUNDS });
    let (since, now) = (Wall(0), Wall(1_000_000));
    for _ in 0..2 {
        let verdict = table.claim(&request(key_at(now.0)), ANY_NONCE, REMAINING, since, now);
        assert_eq!(verdict, Verdict::Granted);
    }
    let full = table.claim(&request(key_at(now.0)), ANY_NONCE, REMAINING, since, now);
    assert_eq!(full, Verdict::Final(Answer::NotRun(NotRun::KeysFull)));
    // Keys that are old enough to be refused in any case are evicted and free their entries.
    let later = Wall(now.0 + 20_000);
    assert_eq!(
        table.claim(&request(key_at(later.0)), ANY_NONCE, REMAINING, since, later),
        Verdict::Granted
    );
    assert_eq!(table.len(), 1);
}

#[test]
fn future_and_expired_keys_are_refused() {
    let mut table = Table::new(BOUNDS);
    let now = Wall(1_000_000);
    let ahead =
        table.claim(&request(key_at(now.0 + SKEW_MS + 1)), ANY_NONCE, REMAINING, Wall(0), now);
    assert_eq!(ahead, Verdict::Final(Answer::NotRun(NotRun::KeyFromFuture)));
    let old = table.claim(&request(key_at(now.0 - 10_001)), ANY_NONCE, REMAINING, Wall(0), now);
    assert_eq!(old, Verdict::Final(Answer::Unknown(Unknown::KeyExpired)));
    assert!(Key::parse("not a key").is_err());
    assert!(Key::parse(&Uuid::nil().to_string()).is_err());
}

#[test]
fn claim_can_be_repeated_with_the_same_nonce() {
    let mut table = Table::new(BOUNDS);
    let (since, now) = (Wall(0), Wall(1_000_000));
    let request = request(key_at(now.0));
    let mut claim = |nonce| table.claim(&request, Nonce(nonce), REMAINING, since, now);
    assert_eq!(claim(1), Verdict::Granted);
    assert_eq!(claim(1), Verdict::Granted);
    assert_eq!(claim(2), Verdict::Final(Answer::Unknown(Unknown::InProgress)));
    table.settle(&request, answered());
    let ended = table.claim(&request, Nonce(1), REMAINING, since, now);
    assert!(matches!(ended, Verdict::Answered(_)), "{ended:?}");
}

#[test]
fn recorded_answers_stay_within_the_byte_limit() {
    let mut table = Table::new(Bounds { answer_bytes: 10, ..BOUNDS });
    let (since, now) = (Wall(0), Wall(1_000_000));
    let mut end = |now: Wall| {
        let request = request(key_at(now.0));
        assert_eq!(table.claim(&request, ANY_NONCE, REMAINING, since, now), Verdict::Granted);
        table.settle(&request, answered());
        table.claim(&request, Nonce(9), REMAINING, since, now)
    };
    let is_recorded = |verdict: &Verdict| matches!(verdict, Verdict::Answered(_));
    // Each body has 4 bytes of the 10 that are allowed: the third one is recorded by status only.
    assert!(is_recorded(&end(now)) && is_recorded(&end(now)));
    assert_eq!(end(now), Verdict::AnsweredLarge { status: 200 });
    // Evicted keys free the space of their answers.
    assert!(is_recorded(&end(Wall(now.0 + 20_000))));
}
