//! What customers get while all is full, in virtual time.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crosspath_border::worker::{Ended, Outcome};
use crosspath_job::record::{Accepted, Record};
use crosspath_job::{JobId, TaskId};
use crosspath_quota::{Limits, Weights};
use crosspath_schedule::Event;

use crate::common::{Bed, WALL_MS, accepted, ended, ms, running, step};

/// How long a task runs; 16 fit, so that some 22 end each second.
const TAKES: Duration = Duration::from_millis(700);
/// Jobs end in time within this: `stretch` times their estimate and 600 ms.
const OBJECTIVE: Duration = Duration::from_millis(1_880);
const STEP: Duration = Duration::from_millis(10);
const LENGTH_MS: u64 = 20_000;
const SMALL: usize = 19;

fn job_of(customer: &str, at_ms: u64) -> Arc<Accepted> {
    let job = accepted(vec![step(1, 2)]);
    Arc::new(Accepted { customer: Some(customer.into()), at_ms: WALL_MS + at_ms, ..(*job).clone() })
}

/// Jobs of a customer: sent, and ended in time.
#[derive(Debug, Default, Clone, Copy)]
struct Count {
    sent: u32,
    in_time: u32,
}

/// One worker, and the jobs of customers.
#[derive(Debug)]
struct Load {
    bed: Bed,
    began: Duration,
    running: BTreeMap<TaskId, (u64, Duration)>,
    ends: Vec<Ended>,
    sent: BTreeMap<JobId, (String, Duration)>,
    counts: BTreeMap<String, Count>,
    /// Longest time, in steps, in which something waited and the worker had room.
    idle: usize,
}

impl Load {
    fn new(weights: Weights) -> Self {
        let mut bed = Bed::with_workers(&["a"]);
        bed.send(Event::Limits(Limits::new()));
        bed.send(Event::Weights { weights, shard_fraction: 1.0 });
        let began = bed.now;
        Self {
            bed,
            began,
            running: BTreeMap::new(),
            ends: Vec::new(),
            sent: BTreeMap::new(),
            counts: BTreeMap::new(),
            idle: 0,
        }
    }

    fn send(&mut self, customer: &str) {
        let id = JobId(self.sent.len() as u64 + 1);
        let at_ms = u64::try_from((self.bed.now - self.began).as_millis()).expect("seconds");
        self.sent.insert(id, (customer.to_owned(), self.bed.now));
        self.counts.entry(customer.to_owned()).or_default().sent += 1;
        self.bed.send(Event::Accepted(id, job_of(customer, at_ms)));
    }

    fn step(&mut self) {
        self.bed.now += STEP;
        let now = self.bed.now;
        let over = self.running.iter().filter(|(_, (_, began))| now >= *began + TAKES);
        let over: Vec<_> = over.map(|(task, (run, _))| (*task, *run)).collect();
        for (task, run) in over {
            self.running.remove(&task);
            self.ends.push(ended(self.ends.len() as u64 + 1, task, run, Outcome::Done));
            let (customer, sent) = &self.sent[&task.job];
            let in_time = u32::from(now <= *sent + OBJECTIVE);
            self.counts.get_mut(customer).expect("a customer").in_time += in_time;
        }
        let rows = self.running.iter().map(|(task, (run, _))| running(*task, *run)).collect();
        self.bed.held("a", rows, self.ends.clone());
        self.bed.pass(ms(1));
        for order in self.bed.starts() {
            self.bed.started(&order);
            self.running.insert(order.task, (order.run, self.bed.now));
        }
        let waits = self.sent.len() > self.ends.len() + self.running.len();
        self.idle = if waits && self.running.len() < 16 { self.idle + 1 } else { 0 };
    }

    fn share_in_time(&self, customer: &str) -> f64 {
        let count = self.counts[customer];
        f64::from(count.in_time) / f64::from(count.sent)
    }
}

/// Customers that send one job a second, and one that sends ten.
fn play(weights: Weights) -> (f64, f64) {
    let mut load = Load::new(weights);
    let mut sent = [0_u64; SMALL + 1];
    while load.bed.now < load.began + ms(LENGTH_MS) {
        let at = u64::try_from((load.bed.now - load.began).as_millis()).expect("seconds");
        for (number, sent) in sent.iter_mut().enumerate() {
            let every = if number == SMALL { 100 } else { 1_000 };
            // Each at moments of its own.
            let offset = 53 * number as u64 % every;
            if at >= *sent * every + offset {
                *sent += 1;
                load.send(&format!("customer-{number}"));
            }
        }
        load.step();
        assert!(load.idle < 10, "something waits while there is room");
    }
    let small = (0..SMALL).map(|number| load.share_in_time(&format!("customer-{number}")));
    let least = small.fold(1.0, f64::min);
    (least, load.share_in_time(&format!("customer-{SMALL}")))
}

fn weights() -> Weights {
    (0..=SMALL).map(|number| (format!("customer-{number}").into(), 1.0)).collect()
}

#[test]
fn customers_within_their_shares_are_served_beside_one_far_beyond_its_own() {
    let (least, large) = play(weights());
    // 0.70 and 0.73 by latest start alone, 0.95 and 0.14 by shares.
    assert!(least >= 0.9, "the worst-served of those within their shares: {least:.2}");
    assert!(large >= 0.1, "the one beyond gets what it is owed too: {large:.2}");
}

#[test]
fn without_shares_all_fall_late_together() {
    let (least, large) = play(Weights::new());
    assert!(least < 0.8 && large > 0.6, "least {least:.2}, large {large:.2}");
}

#[test]
fn a_new_owner_counts_the_same_jobs_as_owed() {
    let customers: Weights = [("water".into(), 0.2)].into();
    let records: Vec<_> = (1..=3)
        .map(|number| Record::Accepted(JobId(number), job_of("water", 100 * (4 - number))))
        .collect();
    let mut bed = Bed::new(1);
    bed.take_over(records, &[]);
    bed.send(Event::Limits(Limits::new()));
    bed.send(Event::Weights { weights: customers, shard_fraction: 1.0 });
    // Two may be saved up. The first in the list was accepted last, so it is the one beyond.
    let mut small = crate::common::entry("a");
    small.capacity.cpu_millis = 4_000;
    bed.send(Event::WorkerListed(small));
    bed.held("a", Vec::new(), Vec::new());
    bed.pass(ms(100));
    let jobs: Vec<_> = bed.starts().iter().map(|order| order.task.job).collect();
    assert_eq!(jobs, [JobId(2), JobId(3)]);
}
