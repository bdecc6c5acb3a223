//! Durations of tasks, learnt from ended runs.
//!
//! Callers' estimates are off by up to a factor of ten in both directions. For each queue, the
//! logarithm of the actual duration is fitted as a linear function of that of the estimate. Where
//! estimates say little about durations, the slope is low and the fit is close to the queue's mean.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::as_ms;

/// Maximum number of queues of which something is learnt. Bounds memory; estimates of further queues
/// are used as they are.
pub(crate) const MAX_QUEUES: usize = 1_024;
/// Factor by which older runs lose weight with each run: the last few hundred count.
const DECAY: f64 = 0.997;
/// Weight of ended runs from which on a fit is used. Tasks of one job behave alike, and a single
/// wide job has some 30.
const MIN_WEIGHT: f64 = 64.0;
/// Variance of estimates (of their logarithm) that is added to the observed one, so that the slope
/// stays near 0 while all estimates are the same.
const MIN_VARIANCE: f64 = 0.01;

/// Fits of actual durations to estimates, by queue.
#[derive(Debug, Default)]
pub(crate) struct Durations(BTreeMap<Arc<str>, Fit>);

/// Maximum expected duration in ms, some 30 years. Sums over the steps of a job stay within 64 bits.
const MAX_EXPECTED_MS: u64 = 1_000_000_000_000;

/// Decayed sums over ended runs; `x` is the logarithm of the estimate and `y` that of the duration,
/// both in ms.
#[derive(Debug, Clone, Copy, Default)]
struct Fit {
    weight: f64,
    sum_x: f64,
    sum_y: f64,
    sum_xx: f64,
    sum_xy: f64,
}

fn log_ms(ms: u64) -> f64 {
    (ms.max(1) as f64).ln()
}

impl Fit {
    fn record(&mut self, x: f64, y: f64) {
        self.weight = self.weight * DECAY + 1.0;
        self.sum_x = self.sum_x * DECAY + x;
        self.sum_y = self.sum_y * DECAY + y;
        self.sum_xx = self.sum_xx * DECAY + x * x;
        self.sum_xy = self.sum_xy * DECAY + x * y;
    }

    fn predict(&self, x: f64) -> f64 {
        let (mean_x, mean_y) = (self.sum_x / self.weight, self.sum_y / self.weight);
        let variance = (self.sum_xx / self.weight - mean_x * mean_x).max(0.0);
        let covariance = self.sum_xy / self.weight - mean_x * mean_y;
        let slope = (covariance / (variance + MIN_VARIANCE)).clamp(0.0, 1.0);
        mean_y + slope * (x - mean_x)
    }
}

impl Durations {
    /// Takes in the duration of a run that ended successfully.
    pub(crate) fn record(&mut self, queue: &Arc<str>, estimate_ms: u64, actual: Duration) {
        if !self.0.contains_key(queue) && self.0.len() >= MAX_QUEUES {
            return;
        }
        let fit = self.0.entry(Arc::clone(queue)).or_default();
        fit.record(log_ms(estimate_ms), log_ms(as_ms(actual)));
    }

    /// Expected duration of a task in ms; the estimate itself while too few runs have ended.
    pub(crate) fn expected_ms(&self, queue: &str, estimate_ms: u64) -> u64 {
        let Some(fit) = self.0.get(queue).filter(|fit| fit.weight >= MIN_WEIGHT) else {
            return estimate_ms.min(MAX_EXPECTED_MS);
        };
        let expected = fit.predict(log_ms(estimate_ms)).exp().round();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "an exponential is positive, and durations are far below 2^53 ms"
        )]
        let expected_ms = expected as u64;
        expected_ms.min(MAX_EXPECTED_MS)
    }
}
