//! Which submissions an owner refuses, and when it tells their callers to come back. Guards against
//! refusals while there is room, of customers within their shares and of jobs that may be stored;
//! against callers that return at once or out of order; and against a second refusal of a job that
//! came back when it was told to.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crosspath_job::JobId;
use crosspath_job::record::Accepted;
use crosspath_job::spec::{Repeat, Resources, Step};
use crosspath_quota::{Limits, Weights};
use crosspath_schedule::Event;
use crosspath_schedule::admission::{
    Admission, Reason, Refusal, Rules, Share, Submission, Verdict,
};
use crosspath_schedule::overload::Backlog;

use crate::common::{Harness, WALL_MS, accepted, ms, step};

const ALL: Rules = Rules { by_customer: true, reject_hopeless: true };
const BY_CUSTOMER: Rules = Rules { by_customer: true, reject_hopeless: false };
const WORTHLESS: Rules = Rules { by_customer: false, reject_hopeless: true };

/// Full shard in which a job would start after `wait_ms` and end after `completion_ms`.
fn full(wait_ms: u64, completion_ms: u64) -> Backlog {
    Backlog { is_full: true, wait: ms(wait_ms), completion: ms(completion_ms) }
}

/// Job with an objective of 2 s, for which the shard would need 100 ms, of a customer with
/// `tokens` that grow by two per second.
fn submission(job: u64, tokens: f64, backlog: Backlog) -> Submission {
    Submission {
        job: JobId(job),
        customer: Some("water".into()),
        share: Some(Share { tokens, rate: 2.0 }),
        backlog,
        objective: ms(2_000),
        service: ms(100),
    }
}

fn refused(verdict: Verdict) -> Refusal {
    let Verdict::Refuse(refusal) = verdict else { panic!("the job is admitted") };
    refusal
}

#[test]
fn nobody_is_refused_while_the_shard_has_room() {
    let mut admission = Admission::default();
    let room = Backlog { is_full: false, wait: ms(9_000), completion: ms(90_000) };
    assert_eq!(admission.decide(ms(0), ALL, &submission(1, 0.0, room)), Verdict::Admit);
    // Such a wait is shorter than the shortest `Retry-After`.
    let short = full(900, 90_000);
    assert_eq!(admission.decide(ms(0), ALL, &submission(2, 0.0, short)), Verdict::Admit);
}

#[test]
fn a_customer_is_refused_beyond_its_share_and_no_other() {
    let mut admission = Admission::default();
    let full = full(5_000, 0);
    let refusal = refused(admission.decide(ms(0), BY_CUSTOMER, &submission(1, 0.9, full)));
    assert_eq!(refusal.reason, Reason::OverShare);
    let mut other = submission(2, 1.0, full);
    other.customer = Some("power".into());
    assert_eq!(admission.decide(ms(0), BY_CUSTOMER, &other), Verdict::Admit);
    let without_weight = Submission { share: None, ..submission(3, 0.0, full) };
    assert_eq!(admission.decide(ms(0), BY_CUSTOMER, &without_weight), Verdict::Admit);
    assert_eq!(admission.decide(ms(0), WORTHLESS, &submission(4, 0.0, full)), Verdict::Admit);
}

#[test]
fn admitted_jobs_count_against_the_share_until_they_are_stored() {
    let mut admission = Admission::default();
    let full = full(5_000, 0);
    assert_eq!(admission.decide(ms(0), BY_CUSTOMER, &submission(1, 1.5, full)), Verdict::Admit);
    refused(admission.decide(ms(1), BY_CUSTOMER, &submission(2, 1.5, full)));
    // The share is charged when the job is accepted, and not a second time.
    admission.stored(JobId(1));
    assert_eq!(admission.decide(ms(2), BY_CUSTOMER, &submission(3, 2.5, full)), Verdict::Admit);
    // The append of job 3 fails, and its caller gives up.
    refused(admission.decide(ms(2_900), BY_CUSTOMER, &submission(4, 2.0, full)));
    assert_eq!(admission.decide(ms(7_000), BY_CUSTOMER, &submission(5, 1.0, full)), Verdict::Admit);
}

#[test]
fn admitted_jobs_of_one_customer_do_not_count_against_another() {
    let mut admission = Admission::default();
    let full = full(5_000, 0);
    let mut power = submission(1, 1.0, full);
    power.customer = Some("power".into());
    assert_eq!(admission.decide(ms(0), BY_CUSTOMER, &power), Verdict::Admit);
    assert_eq!(admission.decide(ms(1), BY_CUSTOMER, &submission(2, 1.0, full)), Verdict::Admit);
}

#[test]
fn a_job_that_waits_for_room_uses_no_share() {
    let mut admission = Admission::default();
    // The next token takes 10 s, while there is room in 1.5 s.
    let slow = |job, tokens| {
        let share = Some(Share { tokens, rate: 0.1 });
        Submission { share, ..submission(job, tokens, full(1_500, 0)) }
    };
    let refusal = refused(admission.decide(ms(0), BY_CUSTOMER, &slow(1, 0.0)));
    assert_eq!(refusal.retry_after_ms, 2_000);
    assert_eq!(admission.decide(ms(1), BY_CUSTOMER, &slow(2, 1.0)), Verdict::Admit);
}

#[test]
fn a_job_is_worthless_if_it_would_end_after_three_times_its_objective() {
    let mut admission = Admission::default();
    let in_time = submission(1, 9.0, full(5_000, 6_000));
    assert_eq!(admission.decide(ms(0), WORTHLESS, &in_time), Verdict::Admit);
    let late = submission(2, 9.0, full(7_000, 8_400));
    assert_eq!(admission.decide(ms(0), BY_CUSTOMER, &late), Verdict::Admit);
    let late = submission(3, 9.0, full(7_000, 8_400));
    let refusal = refused(admission.decide(ms(0), WORTHLESS, &late));
    // After 2.4 s it would end in 6 s.
    assert_eq!(refusal, Refusal { reason: Reason::Overload, retry_after_ms: 3_000 });
}

#[test]
fn an_admitted_job_is_never_refused_while_it_may_be_stored() {
    let mut admission = Admission::default();
    let fits = submission(1, 9.0, full(5_000, 6_000));
    assert_eq!(admission.decide(ms(0), ALL, &fits), Verdict::Admit);
    let late = submission(1, 0.0, full(20_000, 30_000));
    assert_eq!(admission.decide(ms(2_500), ALL, &late), Verdict::Admit);
}

#[test]
fn callers_return_in_order_and_as_fast_as_the_shard_can_serve_them() {
    let mut admission = Admission::default();
    let refusals = (0..40).map(|job| {
        let late = submission(job, 9.0, full(7_000, 8_000));
        refused(admission.decide(ms(0), WORTHLESS, &late)).retry_after_ms
    });
    let waits: Vec<u64> = refusals.collect();
    assert!(waits.is_sorted(), "{waits:?}");
    let mut by_second = BTreeMap::<u64, usize>::new();
    for wait in &waits {
        assert!(wait % 1_000 == 0 && *wait >= 1_000, "not a number of whole seconds: {wait}");
        *by_second.entry(*wait).or_default() += 1;
    }
    // Ten jobs of 100 ms a second, from 2 s on.
    assert_eq!(by_second, [(2_000, 1), (3_000, 10), (4_000, 10), (5_000, 10), (6_000, 9)].into());
}

#[test]
fn a_job_that_returns_at_the_told_time_is_admitted() {
    let mut admission = Admission::default();
    let still_full = |job| submission(job, 0.0, full(9_000, 30_000));
    let refusal = refused(admission.decide(ms(0), ALL, &still_full(1)));
    let told = ms(refusal.retry_after_ms);
    // A caller that comes early keeps its place.
    let early = refused(admission.decide(ms(400), ALL, &still_full(1)));
    assert_eq!(early.retry_after_ms, refusal.retry_after_ms);
    assert_eq!(admission.decide(told + ms(400), ALL, &still_full(1)), Verdict::Admit);
    refused(admission.decide(told + ms(400), ALL, &still_full(2)));
}

#[test]
fn a_job_that_returns_early_keeps_its_place_before_later_ones() {
    let mut admission = Admission::default();
    let late = |job| submission(job, 9.0, full(7_000, 8_000));
    for job in 0..30 {
        refused(admission.decide(ms(0), WORTHLESS, &late(job)));
    }
    let early = refused(admission.decide(ms(500), WORTHLESS, &late(0)));
    assert_eq!(early.retry_after_ms, 2_000);
    // Its own place does not keep a job from its customer's share.
    let full = full(30_000, 0);
    refused(admission.decide(ms(500), BY_CUSTOMER, &submission(50, 0.9, full)));
    assert_eq!(admission.decide(ms(600), BY_CUSTOMER, &submission(50, 1.1, full)), Verdict::Admit);
}

#[test]
fn a_returning_job_goes_before_newer_ones_of_its_customer() {
    let mut admission = Admission::default();
    let full = full(30_000, 0);
    let first = refused(admission.decide(ms(0), BY_CUSTOMER, &submission(1, 0.0, full)));
    assert_eq!(first.retry_after_ms, 1_000, "a token every 500 ms");
    // At 950 ms one token is there, and it is kept for job 1.
    let newer = refused(admission.decide(ms(950), BY_CUSTOMER, &submission(2, 1.9, full)));
    assert_eq!(newer.retry_after_ms, 1_000);
    assert_eq!(admission.decide(ms(1_000), BY_CUSTOMER, &submission(1, 2.0, full)), Verdict::Admit);
}

#[test]
fn places_of_callers_that_do_not_return_expire() {
    let mut admission = Admission::default();
    let full = full(30_000, 0);
    refused(admission.decide(ms(0), BY_CUSTOMER, &submission(1, 0.0, full)));
    let late = ms(1_000 + 3_000);
    assert_eq!(admission.decide(late, BY_CUSTOMER, &submission(2, 1.0, full)), Verdict::Admit);
}

#[test]
fn memory_is_bounded_and_the_told_time_too() {
    let mut admission = Admission::default();
    for job in 0..4_500 {
        let late = submission(job, 0.0, full(9_000, 30_000));
        let refusal = refused(admission.decide(ms(0), WORTHLESS, &late));
        assert!(refusal.retry_after_ms <= 60_000);
    }
    let admitted = |job| submission(job, 1e9, Backlog::default());
    for job in 20_000..24_500 {
        assert_eq!(admission.decide(ms(1), ALL, &admitted(job)), Verdict::Admit);
    }
    assert!(admission.known_jobs() <= 8_192, "{} jobs are known", admission.known_jobs());
}

/// Random histories of a shard that is full at times, with customers that return when told to,
/// earlier or never: checks each decision against what the customer's share allows.
#[test]
fn random_histories_keep_the_promises() {
    for seed in 0..200 {
        let mut random = Random(seed);
        let mut admission = Admission::default();
        let mut told = BTreeMap::<u64, Duration>::new();
        let mut unstored = BTreeMap::<u64, Duration>::new();
        let mut now = ms(1_000);
        for number in 0..400_u64 {
            now += ms(random.below(120));
            let return_job = told.keys().nth(random.below(told.len().max(1) as u64) as usize);
            let job = return_job.copied().filter(|_| random.below(2) == 0).unwrap_or(number);
            let backlog = Backlog {
                is_full: random.below(4) > 0,
                wait: ms(random.below(6_000)),
                completion: ms(random.below(12_000)),
            };
            let tokens = random.below(4) as f64;
            let submission = submission(job, tokens, backlog);
            let kept = told.get(&job).is_some_and(|at| now >= *at && now < *at + ms(3_000));
            let may_be_stored = unstored.get(&job).is_some_and(|at| now < *at + ms(3_000));
            match admission.decide(now, ALL, &submission) {
                Verdict::Admit => {
                    told.remove(&job);
                    unstored.insert(job, now);
                    if random.below(2) == 0 {
                        admission.stored(JobId(job));
                        unstored.remove(&job);
                    }
                }
                Verdict::Refuse(refusal) => {
                    assert!(!kept, "seed {seed}: job {job} came back at {now:?} as told");
                    assert!(!may_be_stored, "seed {seed}: job {job} may be stored");
                    assert!(backlog.is_full && backlog.wait >= ms(1_000), "seed {seed}: room");
                    let is_worthless = backlog.completion > submission.objective * 3;
                    let claims = unstored.len() + told.len();
                    let is_over_share = tokens < claims as f64 + 1.0;
                    assert!(is_worthless || is_over_share, "seed {seed}: job {job} has a place");
                    assert_eq!(refusal.retry_after_ms % 1_000, 0);
                    told.insert(job, now + ms(refusal.retry_after_ms));
                }
            }
        }
    }
}

/// Linear congruential generator.
#[derive(Debug)]
struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        let next = self.0.wrapping_mul(6_364_136_223_846_793_005);
        self.0 = next.wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }
}

fn job_of(customer: &str, steps: Vec<Step>) -> Arc<Accepted> {
    let job = accepted(steps);
    Arc::new(Accepted { customer: Some(customer.into()), ..(*job).clone() })
}

/// Shard with one worker, on which the jobs of a customer with a share of two jobs wait.
fn full_shard(rules: Rules) -> Harness {
    let mut harness = Harness::with_rules(rules);
    harness.take_over(Vec::new(), &["a"]);
    harness.polled("a", Vec::new(), Vec::new());
    harness.send(Event::Limits(Limits::new()));
    let weights: Weights =
        [("water".into(), 0.2), ("gas".into(), 0.4), ("power".into(), 10.0)].into();
    harness.send(Event::Weights { weights, shard_fraction: 1.0 });
    for job in 1..=8 {
        harness.send(Event::Accepted(JobId(job), job_of("water", vec![step(1, 16)])));
    }
    assert!(harness.scheduler.lacks_workers());
    harness
}

fn admit(harness: &mut Harness, id: u64, job: &Accepted) -> Verdict {
    harness.scheduler.admit(harness.now, JobId(id), job)
}

#[test]
fn the_owner_refuses_a_new_job_of_the_customer_that_fills_the_shard() {
    let mut harness = full_shard(BY_CUSTOMER);
    let water = job_of("water", vec![step(1, 16)]);
    let refusal = refused(admit(&mut harness, 20, &water));
    // Six jobs of 0.8 s wait on a worker for two at a time, and the next token takes 5 s.
    assert_eq!(refusal, Refusal { reason: Reason::OverShare, retry_after_ms: 3_000 });
    let power = job_of("power", vec![step(1, 16)]);
    assert_eq!(admit(&mut harness, 21, &power), Verdict::Admit);
}

#[test]
fn without_the_setting_the_owner_refuses_nobody() {
    let mut harness = full_shard(Rules::default());
    let water = job_of("water", vec![step(1, 16)]);
    assert_eq!(admit(&mut harness, 20, &water), Verdict::Admit);
}

#[test]
fn known_long_running_and_scheduled_jobs_are_never_refused() {
    let mut harness = full_shard(BY_CUSTOMER);
    let water = job_of("water", vec![step(1, 16)]);
    assert_eq!(admit(&mut harness, 8, &water), Verdict::Admit, "the job is stored");
    let long_running = Step { long_running: true, ..step(1, 16) };
    let service = job_of("water", vec![step(1, 16), long_running]);
    assert_eq!(admit(&mut harness, 21, &service), Verdict::Admit);
    let mut scheduled = (*water).clone();
    let first_ms = WALL_MS + 60_000;
    scheduled.spec.repeat = Some(Repeat { count: 3, first_ms, every_ms: 1_000 });
    assert_eq!(admit(&mut harness, 22, &scheduled), Verdict::Admit);
}

#[test]
fn a_refused_job_is_not_charged() {
    let mut harness = full_shard(BY_CUSTOMER);
    let water = job_of("water", vec![step(1, 16)]);
    for job in 20..30 {
        refused(admit(&mut harness, job, &water));
    }
    // The bucket has its next token after 5 s, whatever was refused since.
    let later = Accepted { at_ms: WALL_MS + 5_100, ..(*water).clone() };
    harness.send(Event::Accepted(JobId(40), Arc::new(later)));
    let later = Accepted { at_ms: WALL_MS + 5_100, ..(*water).clone() };
    harness.send(Event::Accepted(JobId(41), Arc::new(later)));
    let is_within = |job| harness.scheduler.is_within_share(JobId(job));
    assert_eq!([is_within(40), is_within(41)], [Some(true), Some(false)]);
}

#[test]
fn tasks_that_wait_beside_free_resources_do_not_make_the_shard_full() {
    let mut harness = Harness::with_rules(BY_CUSTOMER);
    harness.take_over(Vec::new(), &["a"]);
    harness.polled("a", Vec::new(), Vec::new());
    harness.send(Event::Limits(Limits::new()));
    let weights: Weights = [("water".into(), 0.2)].into();
    harness.send(Event::Weights { weights, shard_fraction: 1.0 });
    let elsewhere = Step { requires: Some("r9".into()), estimate_ms: 8_000, ..step(1, 2) };
    for job in 1..=12 {
        harness.send(Event::Accepted(JobId(job), job_of("water", vec![elsewhere.clone()])));
    }
    assert!(harness.scheduler.lacks_workers());
    assert_eq!(admit(&mut harness, 20, &job_of("water", vec![step(1, 2)])), Verdict::Admit);
}

#[test]
fn tasks_that_wait_for_their_customers_maximum_do_not_make_the_shard_full() {
    let mut harness = Harness::with_rules(BY_CUSTOMER);
    harness.take_over(Vec::new(), &["a"]);
    harness.polled("a", Vec::new(), Vec::new());
    let maximum = Resources { cpu_millis: 1_000, ..Resources::UNLIMITED };
    harness.send(Event::Limits([("water".into(), maximum)].into()));
    let weights: Weights = [("water".into(), 0.2)].into();
    harness.send(Event::Weights { weights, shard_fraction: 1.0 });
    for job in 1..=12 {
        harness.send(Event::Accepted(JobId(job), job_of("water", vec![step(1, 16)])));
    }
    assert_eq!(admit(&mut harness, 20, &job_of("water", vec![step(1, 16)])), Verdict::Admit);
}

#[test]
fn an_admitted_job_is_charged_once() {
    let mut harness = full_shard(BY_CUSTOMER);
    // The share of this customer holds two jobs.
    let gas = job_of("gas", vec![step(1, 16)]);
    assert_eq!(admit(&mut harness, 30, &gas), Verdict::Admit);
    harness.send(Event::Accepted(JobId(30), Arc::clone(&gas)));
    assert_eq!(admit(&mut harness, 31, &gas), Verdict::Admit);
    refused(admit(&mut harness, 32, &gas));
}

/// Weights may add up to far more jobs per second than the shard completes, so that no bucket ever
/// empties. Then a customer's part of the waiting work tells whether it is beyond its share.
#[test]
fn a_customer_whose_work_dominates_what_waits_is_beyond_its_share() {
    let mut harness = Harness::with_rules(BY_CUSTOMER);
    harness.take_over(Vec::new(), &["a"]);
    harness.polled("a", Vec::new(), Vec::new());
    harness.send(Event::Limits(Limits::new()));
    let weights: Weights = [("water".into(), 100.0), ("power".into(), 100.0)].into();
    harness.send(Event::Weights { weights, shard_fraction: 1.0 });
    let water = job_of("water", vec![step(1, 16)]);
    let power = job_of("power", vec![step(1, 16)]);
    for job in 1..=8 {
        harness.send(Event::Accepted(JobId(job), Arc::clone(&water)));
    }
    assert_eq!(admit(&mut harness, 20, &water), Verdict::Admit, "it delays nobody else");
    harness.send(Event::Accepted(JobId(9), Arc::clone(&power)));
    harness.now += ms(100);
    // Seven jobs of 0.8 s wait on a worker for two at a time.
    let refusal = refused(admit(&mut harness, 21, &water));
    assert_eq!(refusal, Refusal { reason: Reason::OverShare, retry_after_ms: 3_000 });
    assert_eq!(admit(&mut harness, 22, &power), Verdict::Admit);
    // Four of ten parts of what waits are within a share of half.
    for job in 10..=14 {
        harness.send(Event::Accepted(JobId(job), Arc::clone(&power)));
    }
    harness.now += ms(100);
    assert_eq!(admit(&mut harness, 23, &water), Verdict::Admit);
}
