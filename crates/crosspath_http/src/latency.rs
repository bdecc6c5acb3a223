//! How long a server takes to answer, and when an answer is overdue.
//!
//! The estimate is that of TCP's retransmission timer: a moving mean of the time that answers take,
//! and some of their moving deviation on top.

use std::time::Duration;

/// Overdue before anything was answered: servers are some ms away, and busy at a start.
const INITIAL_HEDGING_DELAY: Duration = Duration::from_millis(300);
/// Never overdue sooner: a daemon on a slow VM takes some 50 ms for an answer that takes 5 else.
const MIN_HEDGING_DELAY: Duration = Duration::from_millis(150);
/// Always overdue by then: above the time-outs of calls, since a server that takes this long is only
/// made slower by repeating what it was asked.
const MAX_HEDGING_DELAY: Duration = Duration::from_millis(2_000);
/// Weight of the last answer in mean and deviation: a server that turns slow is known as such after
/// some three answers.
const WEIGHT: f64 = 0.3;
/// Deviations above the mean.
const DEVIATION_FACTOR: f64 = 4.0;

/// Time that the answers of a server take.
#[derive(Debug, Default, Clone, Copy)]
pub struct Latency {
    /// Moving mean in seconds; none before the first answer.
    mean: Option<f64>,
    /// Moving mean of the distance from the mean, in seconds.
    deviation: f64,
}

impl Latency {
    /// Takes in how long an answer took.
    pub fn observe(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        let Some(mean) = &mut self.mean else {
            self.mean = Some(took);
            self.deviation = took / 2.0;
            return;
        };
        let distance = took - *mean;
        *mean += WEIGHT * distance;
        self.deviation += WEIGHT * (distance.abs() - self.deviation);
    }

    /// Time after which an answer is overdue.
    #[must_use]
    pub fn hedging_delay(&self) -> Duration {
        let Some(mean) = self.mean else { return INITIAL_HEDGING_DELAY };
        let delay = Duration::from_secs_f64(mean + DEVIATION_FACTOR * self.deviation);
        delay.clamp(MIN_HEDGING_DELAY, MAX_HEDGING_DELAY)
    }
}
