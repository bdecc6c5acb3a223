//! Entries of the worker list that another writer left, and jobs, with numbers that no worker and no
//! job has. An overflow ended the shard's owner, and each later owner that read the same.

use std::sync::Arc;

use crosspath_border::worker::{Entry, Error, PollReply};
use crosspath_job::JobId;
use crosspath_job::record::Accepted;
use crosspath_job::spec::{Resources, Step};
use crosspath_schedule::admission::Rules;
use crosspath_schedule::{Event, Settings};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::common::{Harness, JOB, accepted, entry, ms, settings, step};

/// Identifiers of workers; the first one is that of a sound worker.
const IDS: [&str; 3] = ["a", "odd-1", "odd-2"];

fn number() -> impl Strategy<Value = u64> {
    prop_oneof![Just(0), Just(1), 0..100_000_u64, Just(1 << 63), Just(u64::MAX - 1), Just(u64::MAX)]
}

fn resources() -> impl Strategy<Value = Resources> {
    let components = (number(), number(), number());
    components.prop_map(|(cpu_millis, mem_mb, gpus)| Resources { cpu_millis, mem_mb, gpus })
}

fn odd_entry() -> impl Strategy<Value = Entry> {
    let numbers = (number(), number(), number(), number());
    let labels = prop::collection::vec(prop::sample::select(vec!["", "a", "r1", "@", "ö\n"]), 0..4);
    let parts = (prop::sample::select(IDS.to_vec()), numbers, resources(), any::<bool>(), labels);
    parts.prop_map(
        |(id, (remaining_ms, clock_ms, started_ms, warm_up_ms), capacity, draining, labels)| {
            let labels = labels.into_iter().map(Arc::from).collect();
            Entry {
                draining,
                remaining_ms,
                capacity,
                labels,
                clock_ms,
                started_ms,
                warm_up_ms,
                ..entry(id)
            }
        },
    )
}

/// Something that happens to a worker.
#[derive(Debug, Clone)]
enum Happening {
    Listed(Entry),
    Unlisted(&'static str),
    Answered { id: &'static str, clock_ms: u64, started_ms: u64 },
    Silent(&'static str),
    Pass(u64),
}

fn happening() -> impl Strategy<Value = Happening> {
    let id = || prop::sample::select(IDS.to_vec());
    prop_oneof![
        3 => odd_entry().prop_map(Happening::Listed),
        1 => id().prop_map(Happening::Unlisted),
        3 => (id(), number(), number())
            .prop_map(|(id, clock_ms, started_ms)| Happening::Answered { id, clock_ms, started_ms }),
        1 => id().prop_map(Happening::Silent),
        2 => (1..2_000_u64).prop_map(Happening::Pass),
    ]
}

fn poll_unanswered(harness: &mut Harness, id: &str) {
    let sent = harness.now;
    let error = Error::NotReached;
    harness.send(Event::PollFailed { worker: id.into(), sent, extended: false, error });
}

fn apply(harness: &mut Harness, happening: Happening) {
    match happening {
        Happening::Listed(entry) => harness.send(Event::WorkerListed(entry)),
        Happening::Unlisted(id) => harness.send(Event::WorkerUnlisted(id.into())),
        Happening::Answered { id, clock_ms, started_ms } => {
            let sent = harness.now;
            harness.now += ms(1);
            let reply = PollReply { clock_ms, started_ms, ..PollReply::default() };
            harness.send(Event::Polled { worker: id.into(), sent, extended: true, reply });
        }
        Happening::Silent(id) => poll_unanswered(harness, id),
        Happening::Pass(time) => harness.advance(ms(time)),
    }
    // What other daemons and callers ask for takes all workers into account.
    let _ = harness.scheduler.report(harness.now);
    let _ = harness.scheduler.handover(harness.now);
    let _ = harness.scheduler.cold_workers(harness.now);
    let job: Arc<Accepted> = accepted(vec![step(3, 2)]);
    let _ = harness.scheduler.admit(harness.now, JobId(9), &job);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        cases: 400,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_sound_worker_is_used_whatever_entries_another_writer_leaves(
        happenings in prop::collection::vec(happening(), 1..25),
        odd_steps in prop::collection::vec((resources(), number(), any::<bool>()), 0..4),
    ) {
        let admission = Rules { by_customer: true, reject_hopeless: true };
        let settings =
            Settings { admission, spread: true, prefer_feasible: true, ..settings() };
        let mut harness = Harness::with_settings(settings);
        harness.send(Event::Accepted(JOB, accepted(vec![Step { max_per_worker: 1, ..step(2, 2) }])));
        for (number, (resources, estimate_ms, long_running)) in (100..).zip(odd_steps) {
            let first = Step { tasks: 3, resources, estimate_ms, long_running, ..Step::default() };
            let second = Step { after: vec![0], ..first.clone() };
            harness.send(Event::Accepted(JobId(number), accepted(vec![first, second])));
        }
        for happening in happenings {
            apply(&mut harness, happening);
        }
        for id in &IDS[1..] {
            harness.send(Event::WorkerUnlisted((*id).into()));
            poll_unanswered(&mut harness, id);
        }
        // A later incarnation of the sound worker, on a VM of its own.
        harness.send(Event::WorkerListed(Entry { vm: "vm-b".into(), ..entry("b") }));
        harness.polled("b", Vec::new(), Vec::new());
        harness.take_starts();
        harness.send(Event::Accepted(JobId(7), accepted(vec![step(1, 2)])));
        harness.advance(ms(60));
        harness.advance(ms(20_000));
        let report = harness.scheduler.report(harness.now);
        let used = report.vms.iter().find(|vm| &*vm.name == "vm-b").map(|vm| vm.tasks);
        prop_assert!(used.is_some_and(|tasks| tasks > 0) || !harness.take_starts().is_empty());
    }
}
