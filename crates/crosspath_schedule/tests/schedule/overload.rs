//! More work than a pool has room for: jobs that can still end in time must not wait behind those
//! that cannot, and no job may wait for ever. Without the policy nearly all jobs end late.

use std::time::Duration;

use crosspath_job::JobId;
use crosspath_job::progress::State;
use crosspath_job::record::{Accepted, Policy};
use crosspath_job::spec::{Repeat, Resources, Step};
use crosspath_quota::Limits;
use crosspath_schedule::admission::Rules;
use crosspath_schedule::overload::Counts;
use crosspath_schedule::{Event, Settings};
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

use crate::common::{Harness, WALL_MS, accepted, ms, settings, step};
use crate::load::{Load, Sent};

/// Workers of 32 cores each.
const WORKERS: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];
/// Jobs per second with about as much work as the workers do.
const FULL_RATE: f64 = 3.4;
/// A late job still has some worth until so many times its objective.
const LATE_FACTOR: u32 = 3;
const LATE_WORTH: f64 = 0.07;
/// Number of plays that a result is the mean of.
const SEEDS: u64 = 2;
/// Time in which all jobs must have ended.
const MAX_SIMULATED_MS: u64 = 200_000;

/// Sizes of jobs around these means, with lognormal spreads.
#[derive(Debug, Clone, Copy)]
struct Mix {
    /// Spread of the callers' estimates around the actual durations.
    estimate_spread: f64,
}

const MIX: Mix = Mix { estimate_spread: 0.9 };

fn lognormal(rng: &mut StdRng, mean: f64, spread: f64) -> f64 {
    // The sum of 12 uniform numbers is close to normal, with variance 1.
    let normal = (0..12).map(|_| rng.random_range(0.0..1.0)).sum::<f64>() - 6.0;
    mean * (spread * normal - spread * spread / 2.0).exp()
}

/// A job of a priority, with the actual durations of its steps.
fn job(rng: &mut StdRng, mix: Mix, priority: u32) -> (Accepted, Vec<Duration>) {
    let count = lognormal(rng, 1.6, 0.4).round().clamp(1.0, 4.0) as u32;
    let tasks = lognormal(rng, 8.0, 0.6).round().clamp(1.0, 32.0) as u32;
    let cpu_millis = lognormal(rng, 6_200.0, 0.45).clamp(500.0, 19_000.0) as u64;
    let mut steps = Vec::new();
    let mut durations = Vec::new();
    for number in 0..count {
        let actual = lognormal(rng, 800.0, 0.5).clamp(50.0, 2_000.0);
        let estimate_ms = lognormal(rng, actual, mix.estimate_spread).max(1.0) as u64;
        let resources = Resources { cpu_millis, mem_mb: 6_300, gpus: 0 };
        let after = (0..number).rev().take(1).collect();
        steps.push(Step { tasks, resources, estimate_ms, after, ..Step::default() });
        durations.push(ms(actual as u64));
    }
    let job = (*accepted(steps)).clone();
    (Accepted { policy: Policy { priority, ..job.policy }, ..job }, durations)
}

fn work(job: &Sent) -> f64 {
    let steps = job.accepted.spec.steps.iter().zip(&job.durations);
    let work = steps.map(|(step, duration)| {
        f64::from(step.tasks) * step.resources.cpu_millis as f64 * duration.as_secs_f64()
    });
    work.sum()
}

fn objective(job: &Sent) -> Duration {
    let chain: Duration = job.durations.iter().sum();
    chain.mul_f64(job.accepted.policy.stretch) + ms(job.accepted.policy.target_ms)
}

/// Fractions of what was owed.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Result {
    /// Worth of jobs that ended, late ones with what is left of it.
    worth: f64,
    /// Jobs that ended in time.
    in_time: f64,
    /// The same among the largest tenth of the jobs.
    largest_in_time: f64,
}

fn result<'a>(jobs: impl Iterator<Item = &'a Sent>) -> Result {
    let mut jobs: Vec<_> = jobs.collect();
    jobs.sort_by(|one, other| work(one).total_cmp(&work(other)));
    let mean = jobs.iter().map(|job| work(job)).sum::<f64>() / jobs.len() as f64;
    let is_in_time = |job: &Sent| job.took.is_some_and(|took| took <= objective(job));
    let (mut owed, mut earned) = (0.0, 0.0);
    for job in &jobs {
        let worth = (0.3 + 0.7 * work(job) / mean).min(4.0);
        let late = job.took.is_some_and(|took| took <= LATE_FACTOR * objective(job));
        owed += worth;
        earned += if is_in_time(job) {
            worth
        } else if late {
            worth * LATE_WORTH
        } else {
            0.0
        };
    }
    let fraction = |jobs: &[&Sent]| {
        jobs.iter().filter(|job| is_in_time(job)).count() as f64 / jobs.len() as f64
    };
    let largest = &jobs[jobs.len() * 9 / 10..];
    Result { worth: earned / owed, in_time: fraction(&jobs), largest_in_time: fraction(largest) }
}

/// Load over time: jobs per second relative to [`FULL_RATE`], and until when.
type Phase = (u64, f64);

/// Plays a load. All jobs end; returns the load at the end.
fn play(
    prefer_feasible: bool,
    seed: u64,
    phases: &[Phase],
    mut next: impl FnMut(&mut StdRng, u64) -> (Accepted, Vec<Duration>),
) -> Load {
    let mut harness = Harness::with_settings_in(Settings { prefer_feasible, ..settings() }, 1);
    harness.take_over(Vec::new(), &WORKERS);
    for id in WORKERS {
        harness.polled(id, Vec::new(), Vec::new());
    }
    let mut load = Load::new(harness, &WORKERS);
    let mut rng = StdRng::seed_from_u64(seed);
    let mut due = 0.0;
    let mut previous_ms = 0;
    loop {
        let elapsed_ms = load.elapsed_ms();
        let rate = phases.iter().find(|(until_ms, _)| elapsed_ms < *until_ms);
        let Some((_, rate)) = rate else { break };
        due += rate * FULL_RATE * (elapsed_ms - previous_ms) as f64 / 1_000.0;
        previous_ms = elapsed_ms;
        while due >= 1.0 {
            due -= 1.0;
            let (job, durations) = next(&mut rng, elapsed_ms);
            load.send(job, durations);
        }
        load.step();
    }
    while load.unfinished() > 0 {
        load.step();
        assert!(load.elapsed_ms() < MAX_SIMULATED_MS, "{} jobs do not end", load.unfinished());
    }
    load
}

/// Light load, then three times what fits for 4 s, then light load.
const BURST: [Phase; 3] = [(12_000, 0.6), (16_000, 3.0), (24_000, 0.5)];

/// Mean of the results of some seeds, for the jobs that `counts` accepts.
fn mean(
    prefer_feasible: bool,
    phases: &[Phase],
    next: impl Fn(&mut StdRng, u64) -> (Accepted, Vec<Duration>),
    counts: impl Fn(&Sent) -> bool,
) -> Result {
    let mut sum = Result { worth: 0.0, in_time: 0.0, largest_in_time: 0.0 };
    for seed in 1..=SEEDS {
        let load = play(prefer_feasible, seed, phases, &next);
        let one = result(load.jobs.values().filter(|job| counts(job)));
        sum.worth += one.worth / SEEDS as f64;
        sum.in_time += one.in_time / SEEDS as f64;
        sum.largest_in_time += one.largest_in_time / SEEDS as f64;
    }
    sum
}

fn with_and_without(
    phases: &[Phase],
    next: impl Fn(&mut StdRng, u64) -> (Accepted, Vec<Duration>),
    counts: impl Fn(&Sent) -> bool,
) -> (Result, Result) {
    let without = mean(false, phases, &next, &counts);
    let with = mean(true, phases, &next, &counts);
    (with, without)
}

#[test]
fn more_jobs_end_in_time_in_a_burst_of_three_times_the_room() {
    let mix = Mix { estimate_spread: 0.0 };
    let (with, without) = with_and_without(&BURST, |rng, _| job(rng, mix, 0), |_| true);
    assert!(with.worth > without.worth + 0.05, "{with:?} {without:?}");
    assert!(with.largest_in_time >= without.largest_in_time, "{with:?} {without:?}");
}

#[test]
fn more_jobs_end_in_time_though_estimates_are_far_off() {
    // One in 70 estimates is off by a factor of nine.
    let (with, without) = with_and_without(&BURST, |rng, _| job(rng, MIX, 0), |_| true);
    assert!(with.worth > without.worth + 0.05, "{with:?} {without:?}");
    assert!(with.largest_in_time >= without.largest_in_time, "{with:?} {without:?}");
}

#[test]
fn estimates_of_a_ninth_do_not_make_all_jobs_look_feasible() {
    let off = |rng: &mut StdRng, _| {
        let (mut job, durations) = job(rng, Mix { estimate_spread: 0.0 }, 0);
        for step in &mut job.spec.steps {
            step.estimate_ms /= 9;
        }
        (job, durations)
    };
    let (with, without) = with_and_without(&BURST, off, |_| true);
    assert!(with.worth > without.worth + 0.05, "{with:?} {without:?}");
}

#[test]
fn less_urgent_jobs_take_no_room_from_more_urgent_ones() {
    let two = |rng: &mut StdRng, elapsed_ms| {
        let priority = u32::from(elapsed_ms > 6_000 && rng.random_range(0..4) > 0);
        job(rng, MIX, priority)
    };
    let phases = [(6_000, 0.5), (14_000, 2.0), (20_000, 0.3)];
    let urgent = |job: &Sent| job.accepted.policy.priority == 0;
    let (with, without) = with_and_without(&phases, two, urgent);
    assert!(with.in_time > 0.9 && with.in_time > without.in_time - 0.02, "{with:?} {without:?}");
    let (with, without) = with_and_without(&phases, two, |job| !urgent(job));
    assert!(with.worth > without.worth, "{with:?} {without:?}");
}

#[test]
fn the_same_load_is_served_alike_each_time() {
    let ends = || {
        let load = play(true, 7, &BURST, |rng, _| job(rng, MIX, 0));
        load.jobs.values().map(|job| job.took).collect::<Vec<_>>()
    };
    assert_eq!(ends(), ends());
}

#[test]
fn nothing_is_reordered_while_there_is_room_for_all() {
    let small = |rng: &mut StdRng, _| {
        let (mut job, durations) = job(rng, MIX, 0);
        for step in &mut job.spec.steps {
            step.tasks = step.tasks.min(4);
        }
        (job, durations)
    };
    let ends = |prefer_feasible| {
        let load = play(prefer_feasible, 3, &[(20_000, 1.0)], small);
        load.jobs.values().map(|job| job.took).collect::<Vec<_>>()
    };
    assert_eq!(ends(true), ends(false));
}

/// Owner of one worker of 32 cores, on which all is taken by a job that runs for long.
fn full_worker() -> Load {
    full_worker_with(Rules::default())
}

/// The same with these rules for new jobs.
fn full_worker_with(admission: Rules) -> Load {
    let settings = Settings { prefer_feasible: true, admission, ..settings() };
    let mut harness = Harness::with_settings_in(settings, 1);
    harness.take_over(Vec::new(), &["a"]);
    harness.polled("a", Vec::new(), Vec::new());
    let mut load = Load::new(harness, &["a"]);
    load.send((*accepted(vec![step(4, 8)])).clone(), vec![ms(800)]);
    load.step();
    assert_eq!(load.running(), 4);
    load
}

/// Job of two steps in a row that each take all cores of one worker for 800 ms.
fn two_steps() -> Accepted {
    let second = Step { after: vec![0], ..step(4, 8) };
    (*accepted(vec![step(4, 8), second])).clone()
}

#[test]
fn a_job_whose_first_step_has_run_goes_before_others_like_it() {
    for skipped in 0..8 {
        let mut load = full_worker();
        // The preference among like jobs depends on their identifiers.
        for _ in 0..skipped {
            load.skip_id();
        }
        let first = load.send(two_steps(), vec![ms(800); 2]);
        while load.harness.scheduler.state(first) != Some(State::Running) {
            load.step();
        }
        for _ in 0..6 {
            load.send(two_steps(), vec![ms(800); 2]);
        }
        while load.unfinished() > 0 {
            load.step();
        }
        let took = load.jobs[&first].took.expect("an ended job");
        assert!(took <= objective(&load.jobs[&first]), "{skipped}: {took:?}");
    }
}

#[test]
fn there_is_no_plan_while_there_is_room() {
    let mut harness =
        Harness::with_settings_in(Settings { prefer_feasible: true, ..settings() }, 1);
    harness.take_over(Vec::new(), &["a", "b"]);
    for id in ["a", "b"] {
        harness.polled(id, Vec::new(), Vec::new());
    }
    let mut load = Load::new(harness, &["a", "b"]);
    // The second step is yet to be started.
    load.send(two_steps(), vec![ms(800); 2]);
    for _ in 0..5 {
        load.step();
        load.send(single(1), vec![ms(10)]);
        assert_eq!(load.harness.scheduler.overload(), Counts::default());
    }
}

#[test]
fn there_is_no_backlog_while_there_is_room() {
    let load = full_worker();
    let job = (*accepted(vec![step(4, 8)])).clone();
    let backlog = load.harness.scheduler.backlog(load.harness.now, &job);
    // All cores are taken, but nobody waits.
    assert!(!backlog.is_full);
    assert_eq!((backlog.wait, backlog.completion), (Duration::ZERO, ms(800)));
}

#[test]
fn a_new_job_is_told_how_long_it_would_wait() {
    let mut load = full_worker();
    let job = (*accepted(vec![step(4, 8)])).clone();
    let mut forecasts = Vec::new();
    for _ in 0..6 {
        load.send(job.clone(), vec![ms(800)]);
        load.let_plan();
        let backlog = load.harness.scheduler.backlog(load.harness.now, &job);
        assert!(backlog.is_full);
        assert!(backlog.completion >= backlog.wait + ms(800));
        forecasts.push(backlog.wait);
        // One fits before its latest start; others that do not fit leave one chosen.
        let counts = load.harness.scheduler.overload();
        assert_eq!((counts.chosen, counts.deferred + 1, counts.late), (1, forecasts.len(), 0));
    }
    // Each job takes all cores for 800 ms.
    let waits: Vec<_> = forecasts.iter().map(Duration::as_millis).collect();
    for (number, wait) in (1..).zip(&waits) {
        let expected = 800 * number;
        assert!((expected / 2..expected * 2).contains(wait), "{waits:?}");
    }
}

/// Job of one task that takes `cores` for 800 ms.
fn single(cores: u64) -> Accepted {
    (*accepted(vec![step(1, cores)])).clone()
}

/// Jobs in the order in which their first tasks ended.
fn by_end(load: &Load, jobs: &[JobId]) -> Vec<JobId> {
    let mut jobs = jobs.to_vec();
    jobs.sort_by_key(|id| load.jobs[id].at + load.jobs[id].took.expect("an ended job"));
    jobs
}

#[test]
fn room_that_becomes_free_is_left_to_a_chosen_job_that_needs_more() {
    let mut load = full_worker();
    // Both tasks of 8 cores are late when the first cores become free, one after the other.
    let late = [single(8), single(8)].map(|job| load.send_aged(job, vec![ms(800)], 1_500));
    let chosen = load.send(single(16), vec![ms(800)]);
    let ends = [late[0], late[1], chosen];
    for _ in 0..2 {
        load.end_one_task();
        load.step();
    }
    while load.unfinished() > 0 {
        load.step();
    }
    assert_eq!(by_end(&load, &ends)[0], chosen);
}

#[test]
fn a_long_running_task_that_fits_nowhere_does_not_hold_up_jobs() {
    let mut load = full_worker();
    let endless = Step { long_running: true, ..step(1, 64) };
    load.send((*accepted(vec![endless])).clone(), vec![ms(MAX_SIMULATED_MS)]);
    let late = load.send_aged(single(8), vec![ms(800)], 1_500);
    for _ in 0..200 {
        load.step();
    }
    assert!(load.jobs[&late].took.is_some());
}

#[test]
fn a_chosen_job_that_fits_on_no_worker_does_not_hold_up_others() {
    let mut load = full_worker();
    // Keeps the plan from being empty.
    let chosen = load.send(single(32), vec![ms(800)]);
    load.send((*accepted(vec![Step { estimate_ms: 60_000, ..step(1, 64) }])).clone(), Vec::new());
    let late = load.send_aged(single(8), vec![ms(800)], 1_500);
    load.let_plan();
    assert_eq!(load.harness.scheduler.overload(), Counts { chosen: 1, deferred: 0, late: 1 });
    for _ in 0..200 {
        load.step();
    }
    assert!(load.jobs[&chosen].took.is_some() && load.jobs[&late].took.is_some());
}

#[test]
fn a_chosen_job_over_its_share_does_not_overtake_late_ones_that_are_held() {
    let mut load = full_worker();
    limit_share(&mut load);
    // Takes the customer's bucket, so that the next job is over the share.
    let within = [0, 1].map(|_| load.send_aged(of_customer(32), vec![ms(10)], 1_500));
    let late = load.send_aged(single(8), vec![ms(800)], 1_500);
    let over = load.send(of_customer(8), vec![ms(800)]);
    let chosen = load.send(single(16), vec![ms(800)]);
    load.let_plan();
    // Room for the late job and the one over its share, not for the chosen one.
    load.end_one_task();
    load.step();
    load.let_plan();
    assert_eq!(load.running(), 3, "the cores are left to the chosen job");
    while load.unfinished() > 0 {
        load.step();
    }
    assert_eq!(by_end(&load, &[chosen, late, over, within[0], within[1]])[0], chosen);
}

#[test]
fn among_late_jobs_those_that_still_count_go_first() {
    let mut load = full_worker();
    // Objective of 1,880 ms, so that a job counts until 5,640 ms.
    let worthless = load.send_aged(single(32), vec![ms(800)], 6_000);
    let late = load.send_aged(single(32), vec![ms(800)], 3_000);
    while load.unfinished() > 0 {
        load.step();
    }
    assert_eq!(by_end(&load, &[worthless, late]), [late, worthless]);
}

#[test]
fn a_late_job_within_its_share_goes_before_one_over_its_share() {
    // Late but of use, and too late to be of use.
    for age_ms in [1_500, 6_000] {
        assert_eq!(last_beside_a_late_job(age_ms), "over share", "age {age_ms} ms");
    }
}

/// Gives the customer a share whose bucket holds two jobs of 32 cores.
fn limit_share(load: &mut Load) {
    let weights = [("water".into(), 0.001)].into();
    load.harness.send(Event::Limits(Limits::new()));
    load.harness.send(Event::Weights { weights, shard_fraction: 1.0 });
}

fn of_customer(cores: u64) -> Accepted {
    Accepted { customer: Some("water".into()), ..single(cores) }
}

/// Which of four jobs ends last: three of a customer whose share covers two, and one without a
/// customer that is `age_ms` old.
fn last_beside_a_late_job(age_ms: u64) -> &'static str {
    let mut load = full_worker();
    limit_share(&mut load);
    let within = [0, 1].map(|_| load.send_aged(of_customer(32), vec![ms(10)], 1_500));
    let over = load.send(of_customer(32), vec![ms(10)]);
    let late = load.send_aged(single(32), vec![ms(800)], age_ms);
    while load.unfinished() > 0 {
        load.step();
    }
    let last = by_end(&load, &[over, late, within[0], within[1]])[3];
    if last == over { "over share" } else { "within share" }
}

#[test]
fn a_more_urgent_job_goes_before_a_less_urgent_one_for_which_there_is_no_room_beside_it() {
    for skipped in 0..8 {
        let mut load = full_worker();
        // The preference among like jobs depends on their identifiers.
        for _ in 0..skipped {
            load.skip_id();
        }
        let policy = Policy { priority: 1, ..single(32).policy };
        let less_urgent = Accepted { policy, ..single(32) };
        let less_urgent = load.send_aged(less_urgent, vec![ms(800)], 100);
        let urgent = load.send(single(32), vec![ms(800)]);
        while load.unfinished() > 0 {
            load.step();
        }
        assert_eq!(by_end(&load, &[less_urgent, urgent]), [urgent, less_urgent]);
    }
}

/// Counts of the plan after a job of `tasks` tasks of 100 ms was sent, each of which takes half of
/// the worker, beside a chosen job that takes all of it.
fn counts_beside_chosen(tasks: u32, skipped: u64) -> Counts {
    let mut load = full_worker();
    for _ in 0..skipped {
        load.skip_id();
    }
    load.send_aged(single(32), vec![ms(800)], 600);
    load.step();
    let wide = Step { estimate_ms: 100, ..step(tasks, 16) };
    load.send((*accepted(vec![wide])).clone(), vec![ms(100)]);
    load.let_plan();
    load.harness.scheduler.overload()
}

#[test]
fn a_job_that_fits_nowhere_pushes_no_other_out() {
    for skipped in 0..8 {
        let counts = counts_beside_chosen(100, skipped);
        assert_eq!((counts.chosen, counts.deferred), (1, 1));
    }
}

#[test]
fn of_two_jobs_that_do_not_fit_together_one_is_chosen() {
    for skipped in 0..8 {
        let counts = counts_beside_chosen(8, skipped);
        assert_eq!((counts.chosen, counts.deferred), (1, 1));
    }
}

#[test]
fn huge_numbers_of_callers_neither_overflow_nor_displace_others() {
    for reject_hopeless in [false, true] {
        let admission = Rules { by_customer: false, reject_hopeless };
        let mut load = full_worker_with(admission);
        load.send(single(32), vec![ms(800)]);
        let first = Step { estimate_ms: u64::MAX, ..step(1_000, 32) };
        let second = Step { after: vec![0], ..first.clone() };
        let job = (*accepted(vec![first, second])).clone();
        for (stretch, target_ms) in [(1e300, u64::MAX), (1.0, 0), (1e300, 0), (0.0, u64::MAX)] {
            let policy = Policy { stretch, target_ms, ..job.policy };
            let mut huge = Accepted { policy, ..job.clone() };
            load.send(huge.clone(), vec![ms(800); 2]);
            load.let_plan();
            assert!(load.harness.scheduler.overload().chosen > 0);
            // Such a job is never placed, but its treatment is asked for.
            huge.spec.steps[0].resources.mem_mb = u64::MAX;
            let backlog = load.harness.scheduler.backlog(load.harness.now, &huge);
            assert_eq!(backlog.completion, Duration::MAX);
            let _ = load.harness.scheduler.admit(load.harness.now, JobId(1_000), &huge);
            for estimate_ms in [1, u64::MAX] {
                for step in &mut huge.spec.steps {
                    step.estimate_ms = estimate_ms;
                }
                let backlog = load.harness.scheduler.backlog(load.harness.now, &huge);
                assert!(backlog.is_full);
            }
        }
    }
}

#[test]
fn a_repeating_job_gets_no_turn() {
    let mut load = full_worker();
    load.send(single(32), vec![ms(800)]);
    let mut repeating = single(32);
    repeating.spec.repeat = Some(Repeat { count: 2, first_ms: WALL_MS, every_ms: 600_000 });
    load.send(repeating, vec![ms(800)]);
    load.let_plan();
    assert_eq!(load.harness.scheduler.overload(), Counts { chosen: 1, deferred: 0, late: 0 });
}

#[test]
fn jobs_that_are_blocked_on_quota_get_no_turn() {
    let mut load = full_worker();
    let maximum = Resources { cpu_millis: 1_000, ..Resources::UNLIMITED };
    load.harness.send(Event::Limits([("water".into(), maximum)].into()));
    // The others find room, which is too little for the first one.
    load.send(single(32), vec![ms(800)]);
    load.end_one_task();
    for _ in 0..3 {
        load.send(of_customer(8), vec![ms(800)]);
    }
    for _ in 0..20 {
        load.step();
        let Counts { chosen, deferred, late } = load.harness.scheduler.overload();
        assert!(chosen + deferred + late <= 1 || load.elapsed_ms() < 100);
    }
    assert_eq!(load.running(), 3);
}

#[test]
fn a_plan_without_jobs_is_not_made_anew_before_its_time() {
    let mut load = full_worker();
    let endless = Step { long_running: true, ..step(1, 64) };
    load.send((*accepted(vec![endless])).clone(), vec![ms(MAX_SIMULATED_MS)]);
    load.step();
    load.send(single(32), vec![ms(800)]);
    load.step();
    assert_eq!(load.harness.scheduler.overload(), Counts::default());
    load.let_plan();
    assert_eq!(load.harness.scheduler.overload().chosen, 1);
}
