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

use crate::client::{Answer, Client, Doubt, Error, NoAnswerSnafu, NotSentSnafu};

/// Times that a request which may be repeated is sent at most: of answers of which a third is lost,
/// one call in 27 gets none.
const MOST_TRIES: usize = 3;

impl Client {
    /// The first answer to some tries of one request, within `timeout`.
    pub(crate) async fn repeat<T: AsRef<Answer>, F: Future<Output = Result<T, Error>>>(
        &self,
        exchange: impl Fn() -> F,
        timeout: Duration,
        wait: Duration,
    ) -> Result<T, Error> {
        let doubt = Doubt { client: self };
        let Ok(answer) = tokio::time::timeout(timeout, self.tries(exchange, wait)).await else {
            // It takes at least as long, so that a server that turns this slow is not asked thrice each time.
            self.latency().observe(timeout.saturating_sub(wait));
            return NoAnswerSnafu { address: self.address }.fail();
        };
        doubt.settle();
        answer
    }

    /// The first answer to some tries, each begun when the one before is overdue or has failed.
    async fn tries<T: AsRef<Answer>, F: Future<Output = Result<T, Error>>>(
        &self,
        exchange: impl Fn() -> F,
        wait: Duration,
    ) -> Result<T, Error> {
        let mut tries = FuturesUnordered::new();
        let mut overdue = self.latency().overdue();
        let mut failed = Failures::default();
        for _ in 0..MOST_TRIES {
            tries.push(self.observed(exchange(), wait));
            match tokio::time::timeout(wait + overdue, tries.next()).await {
                Ok(Some(result)) => {
                    if let Some(answer) = failed.sift(result, !tries.is_empty()) {
                        return Ok(answer);
                    }
                }
                Ok(None) | Err(_) => {
                    log::info!(
                        "event=answer_overdue server={} after_ms={}",
                        self.address,
                        (wait + overdue).as_millis()
                    );
                    // A lost answer says nothing of how long answers take: only those that come do.
                    overdue *= 2;
                }
            }
            self.renew();
        }
        while let Some(result) = tries.next().await {
            if let Some(answer) = failed.sift(result, !tries.is_empty()) {
                return Ok(answer);
            }
        }
        let address = self.address;
        if failed.doubtful {
            NoAnswerSnafu { address }.fail()
        } else {
            NotSentSnafu { address }.fail()
        }
    }

    /// An exchange whose time is noted, unless the server was asked to wait.
    async fn observed<T>(
        &self,
        exchange: impl Future<Output = Result<T, Error>>,
        wait: Duration,
    ) -> Result<T, Error> {
        let sent = Instant::now();
        let answer = exchange.await?;
        if wait.is_zero() {
            self.latency().observe(sent.elapsed());
        }
        Ok(answer)
    }
}

/// What became of tries of one request that gave no answer to return.
#[derive(Debug, Default)]
struct Failures {
    /// Whether one of them may have had its effect.
    doubtful: bool,
}

impl Failures {
    /// The answer of a try, if it tells the fate of the request. A refusal tells that of its own try
    /// only, so it is no answer while another may have had its effect, or yet have it.
    fn sift<T: AsRef<Answer>>(
        &mut self,
        result: Result<T, Error>,
        others_under_way: bool,
    ) -> Option<T> {
        match result {
            Ok(answer)
                if is_refusal(answer.as_ref().head.status)
                    && (self.doubtful || others_under_way) =>
            {
                self.doubtful = true;
                None
            }
            Ok(answer) => Some(answer),
            Err(error) => {
                self.doubtful |= !matches!(error, Error::NotSent { .. });
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
