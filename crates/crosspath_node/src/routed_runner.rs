//! [`Runner`] that reaches workers in other data centres directly or by a relay.
//!
//! The order is the same on either path, and the worker judges it by what it carries: the
//! incarnation, the fencing token, and the deadline on the worker's own clock. An order without an
//! answer may still be executed, on either path, until that deadline.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use crosspath_border::worker::{
    Error, Poll, PollReply, Runner, Start, Started, Target, Timestamped,
};
use crosspath_job::TaskId;

use crate::paths::{Miss, Relayed};
use crate::relay::{Call, Forwarded, outcome};
use crate::rpc::{Peers, Request};

/// Time for an order by all paths, and for a poll in addition to its wait. Longer than that of a
/// direct order, which has one hop less.
const ORDER_TIMEOUT: Duration = Duration::from_millis(500);

/// Calls workers directly by `direct`, or by peers.
#[derive(Debug)]
pub(crate) struct RoutedRunner {
    direct: Arc<dyn Runner>,
    peers: Arc<Peers>,
}

impl RoutedRunner {
    pub(crate) fn new(direct: Arc<dyn Runner>, peers: Arc<Peers>) -> Self {
        Self { direct, peers }
    }

    /// Separates answers of the worker, which may be errors, from calls without an answer.
    fn attempt<T>(&self, answer: Result<T, Error>) -> Result<Result<T, Error>, Miss> {
        let miss = match answer {
            Err(Error::NotReached) => Miss::NotReached,
            Err(Error::NoAnswer) => Miss::NoAnswer,
            answer => {
                self.peers.record_answer();
                return Ok(answer);
            }
        };
        Err(miss)
    }

    /// Sends an order, which must not be repeated.
    async fn order<T, R>(
        &self,
        target: &Target,
        direct: impl Future<Output = Result<T, Error>>,
        relayed: impl Fn(SocketAddr, Duration) -> R,
    ) -> Result<T, Error>
    where
        R: Future<Output = Relayed<Result<T, Error>>>,
    {
        let direct = async { self.attempt(direct.await) };
        let paths = self.peers.paths();
        answer(match paths.destination(target.address, &target.data_centre) {
            Some(to) => paths.call_once(&to, ORDER_TIMEOUT, direct, relayed).await,
            None => direct.await,
        })
    }

    async fn forward<T>(
        &self,
        relay: SocketAddr,
        timeout: Duration,
        call: Call<&Request>,
        decode: impl FnOnce(Forwarded) -> Option<T>,
    ) -> Relayed<Result<T, Error>> {
        outcome(self.peers.forward(relay, call, timeout).await, |reply| match reply {
            Forwarded::WorkerFailed(error) => Some(Err(error)),
            reply => decode(reply).map(Ok),
        })
    }
}

fn answer<T>(result: Result<Result<T, Error>, Miss>) -> Result<T, Error> {
    result.unwrap_or_else(|miss| match miss {
        Miss::NotReached => Err(Error::NotReached),
        Miss::NoAnswer => Err(Error::NoAnswer),
    })
}

fn executed(reply: Forwarded) -> Option<Timestamped<()>> {
    if let Forwarded::Executed(answer) = reply { Some(answer) } else { None }
}

#[async_trait]
impl Runner for RoutedRunner {
    async fn start(&self, target: &Target, start: &Start) -> Result<Timestamped<Started>, Error> {
        let relayed = |relay, timeout| async move {
            let call = Call::Start { target: target.clone(), start: start.clone() };
            let decode = |reply| {
                if let Forwarded::Started(answer) = reply { Some(answer) } else { None }
            };
            let result = self.forward(relay, timeout, call, decode).await;
            log::info!(
                "event=start_relayed task={} run={} worker={} relay={relay} outcome={}",
                start.task,
                start.run,
                target.id,
                result.name()
            );
            result
        };
        self.order(target, self.direct.start(target, start), relayed).await
    }

    async fn stop(
        &self,
        target: &Target,
        task: TaskId,
        run: u64,
        token: u64,
    ) -> Result<Timestamped<()>, Error> {
        let relayed = |relay, timeout| {
            let call = Call::Stop { target: target.clone(), task, run, token };
            self.forward(relay, timeout, call, executed)
        };
        self.order(target, self.direct.stop(target, task, run, token), relayed).await
    }

    async fn poll(&self, target: &Target, poll: &Poll) -> Result<PollReply, Error> {
        let direct = |is_probe: bool| async move {
            let wait = if is_probe { Duration::ZERO } else { poll.wait };
            self.attempt(self.direct.poll(target, &Poll { wait, ..*poll }).await)
        };
        let paths = self.peers.paths();
        let Some(to) = paths.destination(target.address, &target.data_centre) else {
            return answer(direct(false).await);
        };
        let relayed = |relay, timeout: Duration| {
            // The rest of the time is for the way there and back.
            let wait = poll.wait.min(timeout / 2);
            let call = Call::Poll { target: target.clone(), poll: Poll { wait, ..*poll } };
            self.forward(relay, timeout, call, |reply| {
                if let Forwarded::Polled(reply) = reply { Some(reply) } else { None }
            })
        };
        let timeout = ORDER_TIMEOUT + poll.wait;
        answer(paths.call_idempotent(&to, timeout, direct, relayed).await)
    }

    async fn throttle(
        &self,
        target: &Target,
        task: TaskId,
        run: u64,
        percent: u32,
        token: u64,
    ) -> Result<Timestamped<()>, Error> {
        let relayed = |relay, timeout| {
            let call = Call::Throttle { target: target.clone(), task, run, percent, token };
            self.forward(relay, timeout, call, executed)
        };
        let direct = self.direct.throttle(target, task, run, percent, token);
        self.order(target, direct, relayed).await
    }

    fn forget(&self, target: &Target) {
        self.direct.forget(target);
    }
}
