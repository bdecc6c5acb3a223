//! Replay of generated logs with interleaved writers, duplicates, restarts and snapshots.

use crate::common::{any_change, batch, check_invariants, fleet, writer};
use crosspath_state::record::{Change, Entry, Revision};
use crosspath_state::snapshot::{self, Assembler};
use crosspath_state::{Applied, State};
use proptest::prelude::*;
use proptest::strategy::ValueTree as _;
use proptest::test_runner::{RngSeed, TestRunner};

const CASES: u32 = 600;
const RECORDS: usize = 200;

/// A generated record of the log.
#[derive(Debug, Clone)]
struct GeneratedRecord {
    daemon: u8,
    /// Whether the daemon was restarted before it wrote this record.
    restarted: bool,
    /// If set, a duplicate of the record follows this many generated records later.
    duplicate_after: Option<usize>,
    changes: Vec<Change>,
}

fn any_record() -> impl Strategy<Value = GeneratedRecord> {
    let changes = prop::collection::vec(any_change(), 1..4);
    let duplicate = prop_oneof![4 => Just(None), 1 => (0..5_usize).prop_map(Some)];
    (0..4_u8, prop::bool::weighted(0.05), duplicate, changes).prop_map(
        |(daemon, restarted, duplicate_after, changes)| GeneratedRecord {
            daemon,
            restarted,
            duplicate_after,
            changes,
        },
    )
}

/// Builds the log from the records and their duplicates, in order.
fn build_log(records: &[GeneratedRecord]) -> Vec<Entry> {
    let mut incarnations = [1_u64; 4];
    let mut sequences = [1_u64, 0, 0, 0];
    let mut log = vec![Entry::Batch(batch(writer(0, 1), 1, fleet()))];
    let mut duplicates: Vec<(usize, Entry)> = Vec::new();
    for (index, record) in records.iter().enumerate() {
        let daemon = usize::from(record.daemon);
        if record.restarted {
            incarnations[daemon] += 1;
            sequences[daemon] = 0;
        }
        sequences[daemon] += 1;
        let writer = writer(record.daemon, incarnations[daemon]);
        let entry = Entry::Batch(batch(writer, sequences[daemon], record.changes.clone()));
        duplicates.extend(record.duplicate_after.map(|after| (index + after, entry.clone())));
        log.push(entry);
        let (due, later): (Vec<_>, Vec<_>) =
            duplicates.into_iter().partition(|(at, _)| *at <= index);
        duplicates = later;
        log.extend(due.into_iter().map(|(_, entry)| entry));
    }
    log
}

fn replay(state: &mut State, log: &[Entry]) {
    for entry in log {
        let offset = state.applied.next();
        state.apply(offset, entry).expect("the next offset");
    }
}

fn restore_from_snapshot(state: &State) -> State {
    let mut assembly = Assembler::default();
    let chunks = snapshot::split(state, &writer(0, 1));
    let states = chunks.into_iter().map(|chunk| assembly.add(chunk).expect("a valid chunk"));
    states.last().flatten().expect("a complete snapshot")
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: CASES,
        rng_seed: RngSeed::Fixed(2),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// 600 cases of up to 200 records: at least 100,000 changes in all.
    #[test]
    fn invariants_hold_at_every_revision(
        records in prop::collection::vec(any_record(), RECORDS..=RECORDS),
        snapshot_index in 0..RECORDS,
    ) {
        let log = build_log(&records);
        let mut state = State::default();
        let mut from_snapshot = None;
        for (index, entry) in log.iter().enumerate() {
            replay(&mut state, std::slice::from_ref(entry));
            check_invariants(&state);
            if index == snapshot_index {
                from_snapshot = Some(restore_from_snapshot(&state));
            }
        }
        // Starting from a snapshot, or replaying decoded records, gives the same state.
        let mut from_snapshot = from_snapshot.expect("the log is longer than the index");
        replay(&mut from_snapshot, &log[snapshot_index + 1..]);
        prop_assert_eq!(from_snapshot.digest(), state.digest());
        let mut decoded = State::default();
        let read = log.iter().map(|entry| Entry::decode(&entry.encode()).expect("readable"));
        replay(&mut decoded, &read.collect::<Vec<_>>());
        prop_assert_eq!(decoded, state);
    }

    /// A duplicate of a batch changes nothing but the offset.
    #[test]
    fn duplicate_batches_are_dropped(records in prop::collection::vec(any_record(), 1..60)) {
        let mut state = State::default();
        for entry in build_log(&records) {
            replay(&mut state, std::slice::from_ref(&entry));
            let mut with_duplicate = state.clone();
            let applied = with_duplicate.apply(with_duplicate.applied.next(), &entry);
            prop_assert_eq!(applied, Ok(Applied::Dropped));
            with_duplicate.applied = state.applied;
            prop_assert_eq!(&with_duplicate, &state);
        }
    }
}

#[test]
fn a_record_out_of_order_is_rejected() {
    let mut state = State::default();
    let entry = Entry::Batch(batch(writer(0, 1), 1, Vec::new()));
    assert!(state.apply(Revision(2), &entry).is_err());
    assert_eq!(state, State::default());
}

#[test]
fn a_record_of_a_newer_version_is_rejected() {
    let text = r#"{"version":2,"entry":"teleport","vm":"vm-1"}"#;
    let error = Entry::decode(text).expect_err("newer than this program");
    assert!(error.to_string().contains("version 2"), "{error}");
    assert!(Entry::decode("{").is_err());
}

/// The generated logs contain accepted changes of every kind; otherwise the invariants could hold
/// merely because every change is rejected.
#[test]
fn generated_logs_cover_every_change() {
    let accepted = accepted_changes();
    let kinds = [
        "Put", "Delete", "Drain", "Undrain", "Reboot", "Return", "Failure", "Recovery", "Steer",
        "Place", "Suspend", "Resume", "Unplace", "Join", "Guard", "Evict", "Handover", "Leave",
    ];
    for kind in kinds {
        let count = accepted.iter().filter(|change| change.contains(kind)).count();
        assert!(count > 10, "{kind} was accepted {count} times");
    }
}

fn accepted_changes() -> Vec<String> {
    let mut runner = TestRunner::new(config());
    let records = prop::collection::vec(any_record(), RECORDS..=RECORDS);
    let mut accepted = Vec::new();
    for _ in 0..100 {
        let records = records.new_tree(&mut runner).expect("a log").current();
        let mut state = State::default();
        for entry in build_log(&records) {
            let applied = state.apply(state.applied.next(), &entry);
            let (Ok(Applied::Batch(verdicts)), Entry::Batch(batch)) = (applied, &entry) else {
                continue;
            };
            let changes = batch.changes.iter().zip(verdicts);
            let changes = changes.filter(|(_, verdict)| verdict.is_ok());
            accepted.extend(changes.map(|(change, _)| format!("{change:?}")));
        }
    }
    accepted
}
