//! Publication of what remains in evacuated data centres. Guards against a data centre that is called
//! empty before all daemons know of its evacuation, and against a record in each planning round.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crosspath_border::evacuation::{Progress, Tasks};
use crosspath_node::evacuation::Evacuated;
use crosspath_node::progress::Publisher;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn evacuated(names: &[&str], read_to: u64) -> Evacuated {
    let data_centres = names.iter().map(|name| Arc::from(*name)).collect();
    Evacuated { data_centres: Arc::new(data_centres), read_to }
}

fn begin(publisher: &mut Publisher, now: u64, names: &[&str]) -> BTreeMap<Arc<str>, Progress> {
    publisher.begin(ms(now), 1_000 + now, &evacuated(names, 7), Some(ms(5_000)))
}

#[test]
fn an_evacuation_is_in_force_once_it_has_been_known_for_the_limit() {
    let mut publisher = Publisher::default();
    let in_force = |progress: BTreeMap<Arc<str>, Progress>| -> Vec<bool> {
        progress.values().map(|progress| progress.in_force).collect()
    };
    assert_eq!(in_force(begin(&mut publisher, 0, &["a"])), [false]);
    assert_eq!(in_force(begin(&mut publisher, 3_000, &["a", "b"])), [false, false]);
    assert_eq!(in_force(begin(&mut publisher, 5_000, &["a", "b"])), [true, false]);
    assert_eq!(in_force(begin(&mut publisher, 8_000, &["a", "b"])), [true, true]);
}

#[test]
fn an_evacuation_that_was_withdrawn_begins_anew() {
    let mut publisher = Publisher::default();
    begin(&mut publisher, 0, &["a"]);
    assert!(begin(&mut publisher, 6_000, &[]).is_empty());
    assert!(!begin(&mut publisher, 7_000, &["a"])["a"].in_force);
}

#[test]
fn the_position_and_time_of_the_observation_are_told() {
    let progress = begin(&mut Publisher::default(), 500, &["a"]).remove("a").expect("one");
    assert_eq!((progress.at_ms, progress.read_to), (1_500, 7));
}

#[test]
fn changes_are_published_each_second_and_anything_each_three() {
    let mut publisher = Publisher::default();
    let first = begin(&mut publisher, 0, &["a"]).remove("a").expect("one");
    assert!(publisher.is_due(ms(0), "a", &first), "the first at once");
    publisher.record(ms(0), "a".into(), first.clone());
    let later = Progress { at_ms: 9_999, ..first.clone() };
    let tasks = Tasks { vms: 1, finite: 1, ..Tasks::default() };
    let changed = Progress { pools: [("counter".into(), tasks)].into(), ..later.clone() };
    let due = |now, progress: &Progress| publisher.is_due(ms(now), "a", progress);
    assert_eq!([999, 1_000].map(|now| due(now, &changed)), [false, true]);
    assert_eq!([1_000, 2_999, 3_000].map(|now| due(now, &later)), [false, false, true]);
}
