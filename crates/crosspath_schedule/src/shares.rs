//! Customers' shares: which jobs are placed after all others while the pool is full.
//!
//! The weight of a customer is the number of jobs per second that it is entitled to. Its share is
//! enforced with a token bucket that refills at this rate. Jobs over the share get what is left:
//! their tasks are placed after all tasks of jobs within their customers' shares, late ones
//! included. A shard sees only a fraction of a customer's jobs and applies the same fraction of the
//! weight. Jobs are counted in the order of their acceptance times, which their records hold, so
//! that a new owner reaches the same result.

use std::collections::BTreeMap;
use std::sync::Arc;

use crosspath_job::JobId;
use crosspath_quota::Weights;

use crate::admission::Share;
use crate::place::Key;
use crate::scheduler::Scheduler;

/// Seconds of its rate that a customer's bucket holds. Callers send in bursts, which are spread
/// unevenly over the shards.
const BURST_SECONDS: f64 = 5.0;
/// Minimum capacity of a bucket, in jobs. With a capacity of one, every second job of a caller that
/// sends at exactly its rate would arrive some ms too early for its token.
const MIN_BURST_JOBS: f64 = 2.0;

/// Weights of the customers, and how much of their shares is unused.
#[derive(Debug, Default)]
pub(crate) struct Shares {
    /// Jobs per second by customer, over all shards.
    weights: Weights,
    /// Fraction of each customer's jobs that comes to this shard.
    fraction: f64,
    /// Token buckets by customer, each created full at the customer's first job.
    buckets: BTreeMap<Arc<str>, Bucket>,
}

/// Token bucket of a customer: jobs that are left of its share as of `at_ms`, in Unix time.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    tokens: f64,
    at_ms: u64,
}

impl Shares {
    /// Weight of a customer, if it has one.
    pub(crate) fn weight(&self, customer: &Arc<str>) -> Option<f64> {
        self.weights.get(customer).copied()
    }

    /// Unused part of a customer's share; `None` if it has no weight.
    pub(crate) fn unused(&self, customer: &Arc<str>, at_ms: u64) -> Option<Share> {
        let rate = self.weights.get(customer)? * self.fraction;
        Some(Share { tokens: self.bucket(customer, rate, at_ms).tokens, rate })
    }

    /// Token bucket of a customer whose jobs come at `rate`, refilled up to `at_ms`.
    fn bucket(&self, customer: &Arc<str>, rate: f64, at_ms: u64) -> Bucket {
        let capacity = (rate * BURST_SECONDS).max(MIN_BURST_JOBS);
        let Some(bucket) = self.buckets.get(customer) else {
            return Bucket { tokens: capacity, at_ms };
        };
        let refill = rate * at_ms.saturating_sub(bucket.at_ms) as f64 / 1_000.0;
        let tokens = (bucket.tokens + refill).min(capacity);
        Bucket { tokens, at_ms: bucket.at_ms.max(at_ms) }
    }

    /// Counts a job against its customer's share and returns whether it is within the share. Always
    /// true for customers without a weight.
    fn take_token(&mut self, customer: &Arc<str>, at_ms: u64) -> bool {
        let Some(weight) = self.weights.get(customer) else { return true };
        let mut bucket = self.bucket(customer, weight * self.fraction, at_ms);
        let within_share = bucket.tokens >= 1.0;
        if within_share {
            bucket.tokens -= 1.0;
        }
        self.buckets.insert(Arc::clone(customer), bucket);
        within_share
    }
}

impl Scheduler {
    /// Applies new weights, or a new fraction, and counts all known jobs again.
    pub(crate) fn set_weights(&mut self, weights: Weights, fraction: f64) {
        // Most new configurations leave the weights as they are.
        if self.shares.weights == weights && self.shares.fraction == fraction {
            return;
        }
        log::info!(
            "event=weights customers={} fraction={fraction} total_per_s={} largest_per_s={}",
            weights.len(),
            weights.values().sum::<f64>(),
            weights.values().copied().fold(0.0, f64::max)
        );
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

    /// Counts a job and records whether it is within its customer's share.
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
