//! Hedging of idempotent requests.
//!
//! If the response does not arrive within a delay derived from the recent response times of the
//! server, the request is sent again on a new connection while the first attempt continues. A lost
//! response thus costs that delay instead of the whole timeout, and the first attempt can still
//! succeed on a server that has become slow. Only responses that arrive, and calls that time out
//! altogether, update the estimate of the response time: if each lost response counted as a slow
//! one, the delay would grow with every loss.

use std::time::Duration;

use futures::stream::{FuturesUnordered, StreamExt as _};
use http::StatusCode;
use tokio::time::Instant;

use crate::client::{Client, Error, NoAnswerSnafu, NotSentSnafu, PendingCall, Response};

/// Maximum number of attempts of an idempotent request. If a third of the responses is lost, 1 in
/// 27 calls remains without one.
const MAX_ATTEMPTS: usize = 3;

impl Client {
    /// Runs up to [`MAX_ATTEMPTS`] attempts and returns the first conclusive response within
    /// `timeout`. The server may take up to `wait` before it answers.
    pub(crate) async fn hedge<T: AsRef<Response>, F: Future<Output = Result<T, Error>>>(
        &self,
        exchange: impl Fn() -> F,
        timeout: Duration,
        wait: Duration,
    ) -> Result<T, Error> {
        let pending = PendingCall { client: self };
        let Ok(response) = tokio::time::timeout(timeout, self.attempts(exchange, wait)).await
        else {
            // The server takes at least this long. Without the observation, each call to a server
            // that has become this slow would be sent three times.
            self.latency().observe(timeout.saturating_sub(wait));
            return NoAnswerSnafu { address: self.address }.fail();
        };
        pending.complete();
        response
    }

    /// Starts each attempt when the previous one has failed or has had no response within the
    /// hedging delay, and returns the first conclusive response.
    async fn attempts<T: AsRef<Response>, F: Future<Output = Result<T, Error>>>(
        &self,
        exchange: impl Fn() -> F,
        wait: Duration,
    ) -> Result<T, Error> {
        let mut attempts = FuturesUnordered::new();
        let mut delay = self.latency().hedging_delay();
        let mut failures = Failures::default();
        for _ in 0..MAX_ATTEMPTS {
            attempts.push(self.timed(exchange(), wait));
            match tokio::time::timeout(wait + delay, attempts.next()).await {
                Ok(Some(result)) => {
                    if let Some(response) = failures.conclusive(result, !attempts.is_empty()) {
                        return Ok(response);
                    }
                }
                Ok(None) | Err(_) => {
                    log::info!(
                        "event=answer_overdue server={} after_ms={}",
                        self.address,
                        (wait + delay).as_millis()
                    );
                    // Only the delay of the next attempt grows. The estimate is left alone, since a
                    // lost response says nothing about response times.
                    delay *= 2;
                }
            }
            self.discard_idle();
        }
        while let Some(result) = attempts.next().await {
            if let Some(response) = failures.conclusive(result, !attempts.is_empty()) {
                return Ok(response);
            }
        }
        let address = self.address;
        if failures.unconfirmed {
            NoAnswerSnafu { address }.fail()
        } else {
            NotSentSnafu { address }.fail()
        }
    }

    /// Records the duration of the exchange, unless the server may wait before it answers.
    async fn timed<T>(
        &self,
        exchange: impl Future<Output = Result<T, Error>>,
        wait: Duration,
    ) -> Result<T, Error> {
        let sent = Instant::now();
        let response = exchange.await?;
        if wait.is_zero() {
            self.latency().observe(sent.elapsed());
        }
        Ok(response)
    }
}

/// Attempts of one request that have yielded no conclusive response.
#[derive(Debug, Default)]
struct Failures {
    /// Whether one of them may have taken effect.
    unconfirmed: bool,
}

impl Failures {
    /// Returns the response of an attempt if it determines the outcome of the whole request. A
    /// rejection says only that its own attempt had no effect, so it is not conclusive if another
    /// attempt may have taken effect or may still do so.
    fn conclusive<T: AsRef<Response>>(
        &mut self,
        result: Result<T, Error>,
        others_pending: bool,
    ) -> Option<T> {
        match result {
            Ok(response)
                if is_refusal(response.as_ref().head.status)
                    && (self.unconfirmed || others_pending) =>
            {
                self.unconfirmed = true;
                None
            }
            Ok(response) => Some(response),
            Err(error) => {
                self.unconfirmed |= !matches!(error, Error::NotSent { .. });
                None
            }
        }
    }
}

/// Whether the status says that the server rejected the request for the moment and did nothing.
fn is_refusal(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::INSUFFICIENT_STORAGE
    )
}
