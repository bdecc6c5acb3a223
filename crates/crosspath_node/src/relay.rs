//! Calls that one daemon passes on for another, to a peer or a worker that the other cannot reach.
//!
//! A relayed call has a type and a URI of its own, and contains only calls that are made directly,
//! so there is never a second hop. The relay makes the call once, unchanged: an order keeps its
//! worker incarnation, fencing token and lease deadline, by which the worker judges it whenever it
//! arrives. Daemons of earlier versions answer a relayed call with status 400, without effect.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crosspath_border::worker::{
    self, Poll, PollReply, Runner, Start, Started, Target, Timestamped,
};
use crosspath_http::client::Error as CallError;
use crosspath_job::TaskId;
use http::StatusCode;
use serde::{Deserialize, Serialize};
use tokio::sync::Semaphore;

use crate::clock;
use crate::paths::{Miss, Relayed};
use crate::rpc::{Peers, Reply, Request};

/// Path of the URI for relayed calls.
pub(crate) const PATH: &str = "/relay";
/// Minimum and maximum number of calls that a daemon passes on at the same time. In between, it is
/// one for each thousandth of a core of its VM: most are polls that wait at a worker.
const MIN_CAPACITY: usize = 32;
const MAX_CAPACITY: usize = 512;
/// Divisor of a relayed call's timeout that gives the time left for the way back to the caller. A
/// reply that comes too late would be taken for a silent relay.
const RETURN_DIVISOR: u32 = 5;
/// Time without a relayed order after which the connections to a worker are closed.
const WORKER_IDLE: Duration = Duration::from_secs(15);
/// Minimum time between two searches for idle workers.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Call to be passed on. `R` is [`Request`], or a reference to one at the sender.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Forward<R> {
    /// Time in ms within which the caller needs the reply.
    pub(crate) timeout_ms: u64,
    pub(crate) call: Call<R>,
}

/// Call that the relay makes directly.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Call<R> {
    /// Calls a peer. Unless `once`, the call is hedged.
    Peer { address: SocketAddr, once: bool, request: R },
    /// Starts a run.
    Start { target: Target, start: Start },
    /// Stops a run.
    Stop { target: Target, task: TaskId, run: u64, token: u64 },
    /// Polls a worker. The poll is hedged.
    Poll { target: Target, poll: Poll },
    /// Limits the speed of a run.
    Throttle { target: Target, task: TaskId, run: u64, percent: u32, token: u64 },
}

impl<R> Call<R> {
    /// Worker that the call goes to; `None` if it goes to a peer.
    fn worker(&self) -> Option<&Target> {
        match self {
            Self::Peer { .. } => None,
            Self::Start { target, .. }
            | Self::Stop { target, .. }
            | Self::Poll { target, .. }
            | Self::Throttle { target, .. } => Some(target),
        }
    }
}

/// Reply of a relay.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Forwarded {
    /// Reply of the peer.
    Peer(Reply),
    /// The peer rejected the request with this HTTP status.
    PeerRejected { status: u16 },
    /// The worker's answer to a start.
    Started(Timestamped<Started>),
    /// The worker has executed a stop or a limit.
    Executed(Timestamped<()>),
    /// The worker's answer to a poll.
    Polled(PollReply),
    /// The worker answered with an error.
    WorkerFailed(worker::Error),
    /// The relay did not reach the destination; the call had no effect.
    NotReached,
    /// The destination did not answer the relay.
    NoAnswer,
    /// The relay passes on as many calls as it can; the call had no effect.
    Full,
}

/// Workers that have connections.
#[derive(Debug, Default)]
struct Workers {
    /// Time of the last relayed order to each worker.
    used_at: HashMap<Target, Duration>,
    /// Time of the next search for idle ones.
    next_sweep: Duration,
}

/// Passes on the calls of other daemons.
#[derive(Debug)]
pub(crate) struct Relay {
    runner: Arc<dyn Runner>,
    slots: Semaphore,
    workers: Mutex<Workers>,
}

impl Relay {
    /// Creates a relay on a VM of `millicores` that calls workers by `runner`, directly.
    pub(crate) fn new(runner: Arc<dyn Runner>, millicores: u32) -> Self {
        let capacity = usize::try_from(millicores).unwrap_or(MAX_CAPACITY);
        let slots = Semaphore::new(capacity.clamp(MIN_CAPACITY, MAX_CAPACITY));
        Self { runner, slots, workers: Mutex::default() }
    }

    /// Makes a call for another daemon, once.
    pub(crate) async fn handle(&self, peers: &Peers, forward: Forward<Request>) -> Forwarded {
        let Ok(_slot) = self.slots.try_acquire() else { return Forwarded::Full };
        let timeout = Duration::from_millis(forward.timeout_ms);
        let timeout = timeout - timeout / RETURN_DIVISOR;
        if timeout.is_zero() {
            return Forwarded::NotReached;
        }
        let call = self.make(peers, forward.call, timeout);
        tokio::time::timeout(timeout, call).await.unwrap_or(Forwarded::NoAnswer)
    }

    async fn make(&self, peers: &Peers, call: Call<Request>, timeout: Duration) -> Forwarded {
        // Before the call, which may be dropped at its timeout and leave a connection.
        if let Some(target) = call.worker() {
            self.close_idle(target.clone(), clock::now());
        }
        let answer = match call {
            Call::Peer { address, once, request } => {
                let reply = if once {
                    peers.call_once_directly(address, &request, timeout).await
                } else {
                    peers.call_directly(address, &request).await
                };
                return forwarded_reply(reply);
            }
            Call::Start { target, start } => {
                let answer = self.runner.start(&target, &start).await;
                answer.map(Forwarded::Started)
            }
            Call::Stop { target, task, run, token } => {
                let answer = self.runner.stop(&target, task, run, token).await;
                answer.map(Forwarded::Executed)
            }
            Call::Poll { target, poll } => {
                let answer = self.runner.poll(&target, &poll).await;
                answer.map(Forwarded::Polled)
            }
            Call::Throttle { target, task, run, percent, token } => {
                let answer = self.runner.throttle(&target, task, run, percent, token).await;
                answer.map(Forwarded::Executed)
            }
        };
        answer.unwrap_or_else(|error| match error {
            worker::Error::NotReached => Forwarded::NotReached,
            worker::Error::NoAnswer => Forwarded::NoAnswer,
            other => Forwarded::WorkerFailed(other),
        })
    }

    /// Records an order to a worker, and closes the connections to those that have had none for long.
    fn close_idle(&self, used: Target, now: Duration) {
        let mut workers = self.workers.lock().unwrap_or_else(PoisonError::into_inner);
        workers.used_at.insert(used, now);
        if now < workers.next_sweep {
            return;
        }
        workers.next_sweep = now + SWEEP_INTERVAL;
        workers.used_at.retain(|target, used_at| {
            let is_idle = now > *used_at + WORKER_IDLE;
            if is_idle {
                self.runner.forget(target);
            }
            !is_idle
        });
    }
}

fn forwarded_reply(reply: Result<Reply, CallError>) -> Forwarded {
    match reply {
        Ok(reply) => Forwarded::Peer(reply),
        Err(CallError::NotSent { .. }) => Forwarded::NotReached,
        Err(CallError::Status { status, .. }) => {
            Forwarded::PeerRejected { status: status.as_u16() }
        }
        Err(CallError::NoAnswer { .. } | CallError::Malformed { .. }) => Forwarded::NoAnswer,
    }
}

/// Result of an attempt by a relay. `decode` returns the answer, or `None` if the reply is not of
/// the expected kind.
pub(crate) fn outcome<A>(
    reply: Result<Forwarded, CallError>,
    decode: impl FnOnce(Forwarded) -> Option<A>,
) -> Relayed<A> {
    match reply {
        Ok(Forwarded::NotReached) => Relayed::Unreached(Miss::NotReached),
        Ok(Forwarded::NoAnswer) => Relayed::Unreached(Miss::NoAnswer),
        Ok(Forwarded::Full) => Relayed::Refused,
        Ok(reply) => decode(reply).map_or(Relayed::RelaySilent(Miss::NoAnswer), Relayed::Answered),
        Err(CallError::NotSent { .. }) => Relayed::RelaySilent(Miss::NotReached),
        // A daemon that does not relay calls, or that has no memory for the request now.
        Err(CallError::Status {
            status: StatusCode::BAD_REQUEST | StatusCode::SERVICE_UNAVAILABLE,
            ..
        }) => Relayed::Refused,
        Err(_) => Relayed::RelaySilent(Miss::NoAnswer),
    }
}
