//! Guards against an entry of the worker list that another program wrote: it must not name a worker
//! to use, and must not affect the other entries.

use std::sync::Arc;

use crosspath_border::store::{DecodeError, Stored};
use crosspath_border::worker::Entry;
use crosspath_job::spec::Resources;
use crosspath_node::directory::{Change, Directory};
use crosspath_schedule::Event;

const VALID: &str = "sound";
const FOREIGN: &str = "foreign";

fn stored(key: &str, value: &str) -> Stored {
    Stored { offset: 9, key: key.to_owned(), value: value.to_owned().into() }
}

fn read(record: &Stored) -> Result<Entry, DecodeError> {
    let Stored { key, offset, value } = record;
    if value != VALID {
        let detail = "written by another program".to_owned();
        return Err(DecodeError { key: key.clone(), offset: *offset, detail });
    }
    Ok(Entry {
        id: key.as_str().into(),
        pool: "counter".into(),
        vm: Arc::from(format!("vm-{key}")),
        data_centre: "a".into(),
        address: "127.0.0.1:9".parse().expect("valid address"),
        draining: false,
        remaining_ms: 0,
        capacity: Resources { cpu_millis: 32_000, mem_mb: 128_000, gpus: 0 },
        labels: Vec::new(),
        clock_ms: 1_000,
        started_ms: 0,
        warm_up_ms: 0,
    })
}

fn apply(directory: &mut Directory, records: &[Stored], whole: bool) -> Vec<Change> {
    directory.apply_records(records, whole, read)
}

#[test]
fn an_unreadable_entry_is_skipped_and_the_others_apply() {
    let mut directory = Directory::default();
    let records = [stored("x", FOREIGN), stored("i-1", VALID), stored("y", FOREIGN)];
    let changes = apply(&mut directory, &records, true);
    assert_eq!(changes.len(), 1);
    assert!(matches!(&changes[0].event, Event::WorkerListed(entry) if &*entry.id == "i-1"));
}

#[test]
fn a_worker_whose_entry_was_overwritten_is_gone_until_it_writes_again() {
    let mut directory = Directory::default();
    apply(&mut directory, &[stored("i-1", VALID)], true);
    let changes = apply(&mut directory, &[stored("i-1", FOREIGN)], false);
    assert_eq!(changes.len(), 1);
    assert!(matches!(&changes[0].event, Event::WorkerUnlisted(id) if &**id == "i-1"));
    let changes = apply(&mut directory, &[stored("i-1", VALID)], false);
    assert!(matches!(&changes[0].event, Event::WorkerListed(_)));
}

#[test]
fn an_unchanged_entry_produces_no_change() {
    let mut directory = Directory::default();
    apply(&mut directory, &[stored("i-1", VALID)], true);
    assert!(apply(&mut directory, &[stored("i-1", VALID)], false).is_empty());
}

/// Otherwise each write of each cold worker would reach all owners as a change.
#[test]
fn a_warm_up_that_passes_is_no_change_and_its_end_is_one() {
    let entry = |clock_ms, warm_up_ms| {
        let read = move |record: &Stored| Ok(Entry { clock_ms, warm_up_ms, ..read(record)? });
        move |directory: &mut Directory| {
            directory.apply_records(&[stored("i-1", VALID)], false, read).len()
        }
    };
    let mut directory = Directory::default();
    let writes = [
        (1_000, 5_000, 1, "the worker is new"),
        (2_500, 3_500, 0, "the same end"),
        (4_000, 2_300, 0, "the same end but for the tolerance"),
        (4_500, 4_500, 1, "a later end"),
        (6_000, 3_000, 0, "the same end"),
        (9_000, 0, 1, "warm"),
        (10_500, 0, 0, "still warm"),
        (0, 3_000, 1, "cold again, without a clock"),
        (0, 1_500, 0, "the end is not known"),
    ];
    for (clock_ms, warm_up_ms, changes, case) in writes {
        assert_eq!(entry(clock_ms, warm_up_ms)(&mut directory), changes, "{case}");
    }
}
