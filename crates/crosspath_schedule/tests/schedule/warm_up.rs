//! Workers that are slow after their start. Finite tasks that were placed on them beside free warm
//! workers missed deadlines, and a task that waits for a warm worker must not wait for ever.

use std::sync::Arc;
use std::time::Duration;

use crosspath_border::worker::{Entry, PollReply};
use crosspath_job::JobId;
use crosspath_job::record::{Accepted, Policy};
use crosspath_job::spec::{Resources, Step};
use crosspath_schedule::Event;
use crosspath_schedule::warm_up::WarmUp;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::common::{Harness, accepted, entry, ms, step};

/// Lists a worker again, with this much of its warm-up left.
fn set_warm_up(harness: &mut Harness, id: &str, warm_up_ms: u64) {
    harness.send(Event::WorkerListed(Entry { warm_up_ms, ..entry(id) }));
}

/// Answers a poll at which the worker's clock showed `clock_ms`.
fn polled_at(harness: &mut Harness, id: &str, clock_ms: u64) {
    let sent = harness.now;
    let reply = PollReply { clock_ms, ..PollReply::default() };
    harness.send(Event::Polled { worker: id.into(), sent, extended: true, reply });
}

fn starts_by_worker(harness: &mut Harness) -> Vec<Arc<str>> {
    harness.take_starts().into_iter().map(|order| order.worker).collect()
}

fn long_running(tasks: u32, cores: u64) -> Step {
    Step { long_running: true, ..step(tasks, cores) }
}

#[test]
fn finite_tasks_go_to_warm_workers_first() {
    let mut harness = Harness::with_workers(&["a", "b"]);
    set_warm_up(&mut harness, "a", 4_000);
    // A deadline with room for a slow run.
    harness.submit(vec![Step { estimate_ms: 100, ..step(3, 16) }]);
    assert_eq!(starts_by_worker(&mut harness), ["b", "b", "a"].map(Arc::from));
}

#[test]
fn long_running_tasks_start_on_cold_workers_as_on_warm_ones() {
    let mut harness = Harness::with_workers(&["a", "b"]);
    set_warm_up(&mut harness, "a", 4_000);
    harness.submit(vec![Step { estimate_ms: 4_000, ..long_running(2, 16) }]);
    assert_eq!(starts_by_worker(&mut harness), ["a", "a"].map(Arc::from), "fills the first");
}

#[test]
fn a_worker_without_a_warm_up_is_warm() {
    let mut harness = Harness::with_workers(&["a", "b"]);
    harness.submit(vec![step(2, 16)]);
    assert_eq!(starts_by_worker(&mut harness), ["a", "a"].map(Arc::from));
    let report = harness.scheduler.report(harness.now);
    assert!(report.vms.iter().all(|vm| vm.cold_percent == 0));
}

#[test]
fn a_task_that_would_miss_its_deadline_on_a_cold_worker_waits_for_a_warm_one() {
    let mut harness = Harness::with_workers(&["a", "b"]);
    set_warm_up(&mut harness, "a", 60_000);
    // The deadline leaves 1.08 s beside the estimate; a cold worker needs up to 4 s more.
    harness.submit(vec![Step { estimate_ms: 4_000, ..step(3, 16) }]);
    let first = starts_by_worker(&mut harness);
    assert_eq!(first, ["b", "b"].map(Arc::from), "the third task could not end in time on a");
    // Once it is late anyway, it starts where there is room.
    harness.advance(ms(4_000));
    assert_eq!(starts_by_worker(&mut harness), ["a"].map(Arc::from));
}

#[test]
fn a_task_that_waits_for_a_warm_worker_keeps_no_other_from_cold_ones() {
    let mut harness = Harness::with_workers(&["a", "b"]);
    harness.submit(vec![step(1, 32)]);
    assert_eq!(starts_by_worker(&mut harness), ["a"].map(Arc::from));
    set_warm_up(&mut harness, "b", 60_000);
    // The first could not end in time on b and comes first; the second can.
    for (id, target_ms, starts) in [(1, 600, 0), (2, 9_000, 1)] {
        let job = accepted(vec![Step { estimate_ms: 4_000, ..step(1, 8) }]);
        let policy = Policy { target_ms, ..job.policy };
        harness.send(Event::Accepted(JobId(id), Arc::new(Accepted { policy, ..(*job).clone() })));
        harness.advance(ms(100));
        assert_eq!(harness.take_starts().len(), starts, "job {id}");
    }
    assert!(!harness.scheduler.lacks_workers(), "waiting for a warm worker is no lack of room");
}

#[test]
fn a_task_does_not_wait_for_a_warm_worker_that_cannot_take_it() {
    let small = Resources { cpu_millis: 8_000, mem_mb: 128_000, gpus: 0 };
    let warm =
        [Entry { labels: vec!["b".into()], ..entry("b") }, Entry { capacity: small, ..entry("b") }];
    for warm in warm {
        let mut harness = Harness::with_workers(&["a", "b"]);
        harness.send(Event::WorkerListed(warm));
        set_warm_up(&mut harness, "a", 60_000);
        let requires = Some("r1".into());
        harness.submit(vec![Step { estimate_ms: 4_000, requires, ..step(1, 16) }]);
        assert_eq!(starts_by_worker(&mut harness), ["a"].map(Arc::from));
    }
}

#[test]
fn a_task_does_not_wait_if_all_workers_are_cold() {
    let mut harness = Harness::with_workers(&["a", "b"]);
    set_warm_up(&mut harness, "a", 60_000);
    set_warm_up(&mut harness, "b", 60_000);
    harness.submit(vec![Step { estimate_ms: 4_000, ..step(3, 16) }]);
    assert_eq!(starts_by_worker(&mut harness).len(), 3);
}

#[test]
fn a_waiting_task_starts_when_the_worker_is_warm() {
    let mut harness = Harness::with_workers(&["a", "b"]);
    set_warm_up(&mut harness, "a", 1_000);
    harness.submit(vec![Step { estimate_ms: 4_000, ..step(3, 16) }]);
    assert_eq!(starts_by_worker(&mut harness).len(), 2);
    harness.advance(ms(1_000));
    assert_eq!(starts_by_worker(&mut harness), ["a"].map(Arc::from));
}

#[test]
fn the_end_of_the_warm_up_is_corrected_by_the_clock_of_the_worker() {
    let mut harness = Harness::with_workers(&["a"]);
    // Written when the clock showed 1,000 ms, so the warm-up ends at 5,000 ms.
    set_warm_up(&mut harness, "a", 4_000);
    assert_eq!(harness.scheduler.cold_workers(harness.now), 1);
    polled_at(&mut harness, "a", 4_900);
    let soon = harness.now + ms(100);
    assert_eq!(harness.scheduler.cold_workers(harness.now), 1);
    assert_eq!(harness.scheduler.cold_workers(soon), 0);
    polled_at(&mut harness, "a", 5_000);
    assert_eq!(harness.scheduler.cold_workers(harness.now), 0);
}

#[test]
fn a_clock_that_is_not_told_corrects_nothing() {
    let mut harness = Harness::with_workers(&["a"]);
    set_warm_up(&mut harness, "a", 4_000);
    let end = harness.now + ms(4_000);
    polled_at(&mut harness, "a", 0);
    assert_eq!(harness.scheduler.cold_workers(end), 0);
    harness.send(Event::WorkerListed(Entry { clock_ms: 0, warm_up_ms: 4_000, ..entry("a") }));
    polled_at(&mut harness, "a", 100_000);
    assert_eq!(harness.scheduler.cold_workers(harness.now), 1);
}

#[test]
fn the_share_goes_on_from_the_start_of_the_same_warm_up() {
    let mut warm_up = WarmUp::default();
    warm_up.observe(ms(0), ms(4_000));
    warm_up.observe(ms(2_000), ms(2_000));
    assert_eq!(warm_up.share(ms(2_000)), 0.75, "half of the warm-up has passed");
    warm_up.observe(ms(10_000), ms(2_000));
    assert_eq!(warm_up.share(ms(10_000)), 0.5, "another warm-up has begun");
}

#[test]
fn the_report_tells_what_a_cold_worker_does_not_give_yet() {
    let mut harness = Harness::with_workers(&["a"]);
    set_warm_up(&mut harness, "a", 4_000);
    let percent = |harness: &Harness, after| {
        harness.scheduler.report(harness.now + ms(after)).vms[0].cold_percent
    };
    assert_eq!([0, 2_000, 4_000].map(|after| percent(&harness, after)), [50, 25, 0]);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(51),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whatever times entries and polls tell, the share stays between a half and the whole, grows
    /// while nothing new is told, and is whole at the end that was told last.
    #[test]
    fn the_share_grows_to_the_whole(
        told in proptest::collection::vec((0_u64..20_000, 0_u64..5_000), 1..20),
    ) {
        let mut warm_up = WarmUp::default();
        let mut now = Duration::ZERO;
        for (remaining, pause) in told {
            warm_up.observe(now, ms(remaining));
            prop_assert_eq!(warm_up.is_cold(now), remaining > 0);
            let shares: Vec<f64> =
                (0..=10).map(|tenth| warm_up.share(now + ms(remaining * tenth / 10))).collect();
            prop_assert!(shares.iter().all(|share| (0.5..=1.0).contains(share)));
            prop_assert!(shares.is_sorted());
            prop_assert_eq!(shares[10], 1.0);
            now += ms(pause);
        }
    }
}
