//! Placement over failure domains. Guards against long-running tasks of which one data centre or
//! rack holds more than its share, and against a loss of a data centre that hits every finite job.

use std::collections::BTreeMap;

use crosspath_border::worker::Entry;
use crosspath_job::JobId;
use crosspath_job::spec::Step;
use crosspath_schedule::{Event, Settings};

use crate::common::{Harness, accepted, entry, ms, settings, step};

/// Data centre and rack of the worker `NAME-RACK-NUMBER` are `NAME` and `NAME-RACK`.
fn domain_of(id: &str) -> (&str, &str) {
    let rack = id.rsplit_once('-').map_or(id, |(rack, _)| rack);
    (rack.split('-').next().unwrap_or(rack), rack)
}

/// A shard with two workers in each of two racks of three data centres.
fn harness(spread: bool) -> Harness {
    let mut harness = Harness::with_settings(Settings { spread, ..settings() });
    for data_centre in ["x", "y", "z"] {
        for rack in ["1", "2"] {
            for number in ["1", "2"] {
                let id = format!("{data_centre}-{rack}-{number}");
                let labels = vec!["kind".into(), format!("{data_centre}-{rack}").into()];
                let entry = Entry { data_centre: data_centre.into(), labels, ..entry(&id) };
                harness.send(Event::WorkerListed(entry));
                harness.polled(&id, Vec::new(), Vec::new());
            }
        }
    }
    harness
}

/// Number of starts by data centre, and by rack.
fn starts_by_domain(harness: &mut Harness) -> (BTreeMap<String, usize>, BTreeMap<String, usize>) {
    let (mut data_centres, mut racks) = (BTreeMap::new(), BTreeMap::new());
    for start in harness.take_starts() {
        let (data_centre, rack) = domain_of(&start.worker);
        *data_centres.entry(data_centre.to_owned()).or_default() += 1;
        *racks.entry(rack.to_owned()).or_default() += 1;
    }
    (data_centres, racks)
}

fn long_running(tasks: u32) -> Step {
    Step { long_running: true, max_unavailable: Some(1), ..step(tasks, 2) }
}

#[test]
fn long_running_tasks_are_spread_over_data_centres_and_racks() {
    let mut harness = harness(true);
    harness.submit(vec![long_running(6)]);
    let (data_centres, racks) = starts_by_domain(&mut harness);
    assert_eq!(data_centres.values().copied().collect::<Vec<_>>(), [2, 2, 2]);
    assert_eq!(racks.values().copied().collect::<Vec<_>>(), [1; 6]);
}

#[test]
fn long_running_tasks_go_where_the_room_is() {
    let mut harness = harness(true);
    // Tasks of 20 cores on workers of 32: one a worker, four workers in each data centre.
    harness.submit(vec![Step { long_running: true, ..step(11, 20) }]);
    let (data_centres, _) = starts_by_domain(&mut harness);
    assert_eq!(data_centres.values().sum::<usize>(), 11);
    assert!(data_centres.values().all(|tasks| *tasks <= 4), "{data_centres:?}");
}

#[test]
fn a_finite_step_stays_in_one_data_centre() {
    let mut harness = harness(true);
    // One worker in each of two data centres is fuller than all others.
    for (job, rack) in [(7, "x-1"), (8, "y-1")] {
        let step = Step { requires: Some(rack.into()), ..step(1, 10) };
        harness.send(Event::Accepted(JobId(job), accepted(vec![step])));
        harness.advance(ms(100));
    }
    harness.take_starts();
    harness.submit(vec![step(3, 20)]);
    harness.advance(ms(100));
    let (data_centres, _) = starts_by_domain(&mut harness);
    assert_eq!(data_centres.values().copied().collect::<Vec<_>>(), [3]);
}

/// Room in the data centre comes before the time that a wait would cost.
#[test]
fn a_finite_step_that_does_not_fit_in_one_data_centre_uses_another() {
    let mut harness = harness(true);
    harness.submit(vec![step(12, 12)]);
    let (data_centres, _) = starts_by_domain(&mut harness);
    assert_eq!(data_centres.values().sum::<usize>(), 12);
    assert_eq!(data_centres.len(), 2, "{data_centres:?}");
}

#[test]
fn without_the_setting_the_fullest_worker_is_taken() {
    let mut harness = harness(false);
    harness.submit(vec![long_running(6)]);
    let (data_centres, _) = starts_by_domain(&mut harness);
    assert_eq!(data_centres.len(), 1, "{data_centres:?}");
}

#[test]
fn a_task_of_another_job_does_not_count_as_a_sibling() {
    let mut harness = harness(true);
    harness.submit(vec![step(1, 2)]);
    let first = harness.take_starts().remove(0);
    harness.send(Event::Accepted(JobId(7), accepted(vec![long_running(3)])));
    harness.advance(ms(100));
    let (data_centres, _) = starts_by_domain(&mut harness);
    assert_eq!(data_centres.len(), 3, "{first:?} {data_centres:?}");
}
