//! Which jobs wait behind others while all is full.
//!
//! A customer is owed some jobs a second, its weight. What it sends beyond that is served with what is left: its
//! tasks are placed after all tasks of jobs that are owed, late ones included. A shard sees its part of a customer's
//! jobs only, and counts against that part of the weight. Jobs are counted in the order of their acceptance, as their
//! records tell it, so that a new owner comes to the same.

use std::collections::BTreeMap;
use std::sync::Arc;

use crosspath_job::JobId;
use crosspath_quota::Weights;

use crate::place::Key;
use crate::scheduler::Scheduler;

/// For which a customer may save up what it is owed: callers send in bursts, and a shard's part of them is uneven.
const BURST_SECONDS: f64 = 5.0;
/// Least that may be saved up, in jobs: with one alone, every second job of a caller that sends exactly its weight
/// comes some ms too early for it.
const MIN_BURST_JOBS: f64 = 2.0;

/// What customers are owed, and have left of it.
#[derive(Debug, Default)]
pub(crate) struct Shares {
    weights: Weights,
    /// Part of a customer's jobs that come to this shard.
    fraction: f64,
    buckets: BTreeMap<Arc<str>, Bucket>,
}

/// Jobs that a customer is still owed, and as of when.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    tokens: f64,
    at_ms: u64,
}

impl Shares {
    /// Counts a job, and tells whether its customer is owed it.
    fn take_token(&mut self, customer: &Arc<str>, at_ms: u64) -> bool {
        let Some(weight) = self.weights.get(customer) else { return true };
        let rate = weight * self.fraction;
        let capacity = (rate * BURST_SECONDS).max(MIN_BURST_JOBS);
        let full = Bucket { tokens: capacity, at_ms };
        let bucket = self.buckets.entry(Arc::clone(customer)).or_insert(full);
        let refill = rate * at_ms.saturating_sub(bucket.at_ms) as f64 / 1_000.0;
        bucket.tokens = (bucket.tokens + refill).min(capacity);
        bucket.at_ms = bucket.at_ms.max(at_ms);
        let within_share = bucket.tokens >= 1.0;
        if within_share {
            bucket.tokens -= 1.0;
        }
        within_share
    }
}

impl Scheduler {
    /// Customers are owed other numbers of jobs from now on: all jobs are counted anew.
    pub(crate) fn set_weights(&mut self, weights: Weights, fraction: f64) {
        // Most new configurations change nothing of it.
        if self.shares.weights == weights && self.shares.fraction == fraction {
            return;
        }
        self.shares = Shares { weights, fraction, buckets: BTreeMap::new() };
        let by_acceptance = self.jobs.values().map(|job| (job.accepted.at_ms, job.id));
        let mut by_acceptance: Vec<_> = by_acceptance.collect();
        by_acceptance.sort_unstable();
        for (_, id) in by_acceptance {
            self.charge_share(id);
        }
        let jobs = &self.jobs;
        let keys = self.waiting.iter();
        let keys = keys.filter_map(|key| Some(Key::new(jobs.get(&key.task.job)?, key.task)));
        self.waiting = keys.collect();
        self.placement_due = true;
    }

    /// Notes whether a job's customer is owed it.
    pub(crate) fn charge_share(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(customer) = &job.accepted.customer else { return };
        let within_share = self.shares.take_token(customer, job.accepted.at_ms);
        if !within_share {
            log::info!("event=job_beyond_share job={id} customer={customer}");
        }
        job.within_share = within_share;
    }
}
