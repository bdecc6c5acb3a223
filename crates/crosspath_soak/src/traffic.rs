//! Callers that submit and cancel jobs during a run.

use std::net::SocketAddr;
use std::time::Duration;

use crosspath_job::JobId;
use crosspath_platform_stand_in::caller::{Caller, Job, Lookup, Outcome};
use crosspath_platform_stand_in::worker::Work;
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

use crate::audit::Audit;

/// Attempts at one submit or cancellation.
const MAX_ATTEMPTS: usize = 5;
/// Delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(400);
/// Queues; each has its own pool.
pub(crate) const QUEUES: [&str; 2] = ["counter", "meter"];

/// Draws true with a probability of `percent` percent.
fn chance(rng: &mut StdRng, percent: u32) -> bool {
    rng.random_range(0..100) < percent
}

fn random_job(rng: &mut StdRng) -> Job {
    let steps = (0..rng.random_range(1..=3)).map(|_| rng.random_range(1..=4)).collect();
    let long_running = chance(rng, 5);
    Job {
        id: JobId(rng.random()),
        queue: QUEUES[rng.random_range(0..QUEUES.len())].to_owned(),
        steps: if long_running { vec![2] } else { steps },
        work: Work {
            duration_ms: rng.random_range(30..600),
            long_running,
            fails_first: chance(rng, 10),
            crashes: false,
        },
    }
}

/// One job in this many crashes its workers if the run has such jobs. Its identifier decides, so
/// that the other jobs of a seed are the same in both cases.
const CRASHING_JOB_INTERVAL: u64 = 23;

/// One caller for each daemon.
#[derive(Debug, Clone)]
pub(crate) struct Traffic {
    callers: Vec<Caller>,
    audit: Audit,
    crashing_jobs: bool,
}

impl Traffic {
    pub(crate) fn new(
        daemons: impl Iterator<Item = SocketAddr>,
        audit: &Audit,
        crashing_jobs: bool,
    ) -> Self {
        Self { callers: daemons.map(Caller::new).collect(), audit: audit.clone(), crashing_jobs }
    }

    /// Submits jobs for `duration`, some of them twice, and cancels some.
    pub(crate) async fn run(self, seed: u64, duration: Duration, interval: Duration) {
        let mut rng = StdRng::seed_from_u64(seed);
        let until = tokio::time::Instant::now() + duration;
        let mut in_progress = Vec::new();
        while tokio::time::Instant::now() < until {
            let mut job = random_job(&mut rng);
            job.work.crashes = self.crashing_jobs && job.id.0.is_multiple_of(CRASHING_JOB_INTERVAL);
            let job_rng = StdRng::seed_from_u64(rng.random());
            in_progress.push(tokio::spawn(self.clone().drive_job(job, job_rng)));
            tokio::time::sleep(interval.mul_f64(rng.random_range(0.2..1.8))).await;
        }
        for job in in_progress {
            if let Err(error) = job.await {
                log::warn!("event=caller_failed error={error}");
            }
        }
    }

    /// Sends all requests for one job: its submit, and for some jobs a duplicate or a cancellation.
    async fn drive_job(self, job: Job, mut rng: StdRng) {
        self.audit.add_job(&job);
        for _ in 0..MAX_ATTEMPTS {
            let outcome = self.random_caller(&mut rng).submit(&job).await;
            match outcome {
                Outcome::Done => {
                    self.audit.update_submission(job.id, |submission| submission.accepted = true);
                    break;
                }
                Outcome::Refused => {}
                Outcome::NotFound | Outcome::Unconfirmed => {
                    self.audit
                        .update_submission(job.id, |submission| submission.unconfirmed = true);
                }
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        if chance(&mut rng, 10) {
            // A duplicate submit must not create a second job.
            tokio::time::sleep(RETRY_DELAY.mul_f64(rng.random_range(0.0..4.0))).await;
            if self.random_caller(&mut rng).submit(&job).await != Outcome::Refused {
                self.audit.update_submission(job.id, |submission| submission.unconfirmed = true);
            }
        }
        if chance(&mut rng, 10) {
            tokio::time::sleep(RETRY_DELAY.mul_f64(rng.random_range(0.0..3.0))).await;
            self.cancel(&job, &mut rng).await;
        }
        self.audit.update_submission(job.id, |submission| submission.closed = true);
    }

    async fn cancel(&self, job: &Job, rng: &mut StdRng) {
        self.audit.update_submission(job.id, |submission| submission.cancel_requested = true);
        for _ in 0..MAX_ATTEMPTS {
            if self.random_caller(rng).cancel(job).await == Outcome::Done {
                return self
                    .audit
                    .update_submission(job.id, |submission| submission.cancel_accepted = true);
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    fn random_caller(&self, rng: &mut StdRng) -> &Caller {
        &self.callers[rng.random_range(0..self.callers.len())]
    }

    /// State of a job as reported by the first daemon that can tell.
    pub(crate) async fn state(&self, job: &Job) -> Lookup {
        for caller in &self.callers {
            let lookup = caller.state(job).await;
            if lookup != Lookup::Nothing {
                return lookup;
            }
        }
        Lookup::Nothing
    }

    /// Cancels a job through the first daemon that accepts; false if none does.
    pub(crate) async fn cancel_at_any(&self, job: &Job) -> bool {
        for caller in &self.callers {
            if caller.cancel(job).await == Outcome::Done {
                return true;
            }
        }
        false
    }
}
