//! Estimate of a server's response time, and the hedging delay derived from it.
//!
//! The estimate works like TCP's retransmission timer: the moving mean of the response times plus a
//! multiple of their moving deviation.

use std::time::Duration;

/// Delay before the first response. Servers are a few ms away, and busy while they start.
const INITIAL_HEDGING_DELAY: Duration = Duration::from_millis(300);
/// Lower bound of the delay. A daemon on a slow VM takes about 50 ms for a response that otherwise
/// takes 5 ms.
const MIN_HEDGING_DELAY: Duration = Duration::from_millis(150);
/// Upper bound of the delay. It exceeds the timeouts of calls: sending requests again to a server
/// that takes this long would only slow it down further.
const MAX_HEDGING_DELAY: Duration = Duration::from_millis(2_000);
/// Weight of the latest response in mean and deviation. The estimate follows a server that becomes
/// slow within about three responses.
const WEIGHT: f64 = 0.3;
/// Number of deviations added to the mean.
const DEVIATION_FACTOR: f64 = 4.0;

/// Moving estimate of a server's response time.
#[derive(Debug, Default, Clone, Copy)]
pub struct Latency {
    /// Moving mean in seconds; `None` before the first response.
    mean: Option<f64>,
    /// Moving mean of the absolute difference from the mean, in seconds.
    deviation: f64,
}

impl Latency {
    /// Updates the estimate with the duration of one exchange.
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

    /// Delay without a response after which a request is sent again.
    #[must_use]
    pub fn hedging_delay(&self) -> Duration {
        let Some(mean) = self.mean else { return INITIAL_HEDGING_DELAY };
        let delay = Duration::from_secs_f64(mean + DEVIATION_FACTOR * self.deviation);
        delay.clamp(MIN_HEDGING_DELAY, MAX_HEDGING_DELAY)
    }
}
