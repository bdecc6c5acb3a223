//! Requests that may be repeated.
//!
//! One is sent again on a new connection once its answer is overdue by what the server lately took, while the first
//! goes on: an answer that is lost costs the time until then and not the whole time-out, and a server that turns slow
//! loses nothing by it. Only answers tell how long a server takes: with lost ones counted as slow, each next one would
//! be waited for ever longer.

use std::time::Duration;

use futures::stream::{FuturesUnordered, StreamExt as _};
use http::StatusCode;
use tokio::time::Instant;

use crate::client::{Client, Error, NoAnswerSnafu, NotSentSnafu, PendingCall, Response};

/// Times that a request which may be repeated is sent at most: of answers of which a third is lost,
/// one call in 27 gets none.
const MAX_ATTEMPTS: usize = 3;

impl Client {
    /// The first answer to some tries of one request, within `timeout`.
    pub(crate) async fn hedge<T: AsRef<Response>, F: Future<Output = Result<T, Error>>>(
        &self,
        exchange: impl Fn() -> F,
        timeout: Duration,
        wait: Duration,
    ) -> Result<T, Error> {
        let pending = PendingCall { client: self };
        let Ok(response) = tokio::time::timeout(timeout, self.attempts(exchange, wait)).await
        else {
            // It takes at least as long, so that a server that turns this slow is not asked thrice each time.
            self.latency().observe(timeout.saturating_sub(wait));
            return NoAnswerSnafu { address: self.address }.fail();
        };
        pending.complete();
        response
    }

    /// The first answer to some tries, each begun when the one before is overdue or has failed.
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
                    // A lost answer says nothing of how long answers take: only those that come do.
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

    /// An exchange whose time is noted, unless the server was asked to wait.
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

/// What became of tries of one request that gave no answer to return.
#[derive(Debug, Default)]
struct Failures {
    /// Whether one of them may have had its effect.
    unconfirmed: bool,
}

impl Failures {
    /// The answer of a try, if it tells the fate of the request. A refusal tells that of its own try
    /// only, so it is no answer while another may have had its effect, or yet have it.
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

/// Whether a status says that the server has done nothing for now.
fn is_refusal(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::INSUFFICIENT_STORAGE
    )
}
