//! Polls one worker continuously: extends its leases, learns of ended runs and acknowledges them.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crosspath_border::worker::{Error, Poll, Target};
use crosspath_schedule::Event;
use crosspath_schedule::lease::{Clock, Terms};
use tokio::sync::{Notify, Semaphore, mpsc};

use crate::clock;
use crate::node::Node;

/// Time for which a poll waits at the worker for a run to end. Leases are extended at this
/// interval.
const POLL_WAIT: Duration = Duration::from_millis(1_000);
/// Time for which the next poll waits until reported ends are stored, so that it can acknowledge
/// them.
const STORE_TIMEOUT: Duration = Duration::from_millis(120);
/// Extra pause before the next poll while ends cannot be stored: the worker would answer each poll
/// at once.
const UNSTORED_PAUSE: Duration = Duration::from_millis(200);
/// Pause after a failed poll.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Maximum number of concurrent start orders to one worker. Each has a connection of its own.
const MAX_CONCURRENT_STARTS: usize = 2;

/// State of one worker that its polls share with the shard's owner.
#[derive(Debug)]
pub(crate) struct Watch {
    pub(crate) target: Target,
    /// Limits the start orders in flight.
    pub(crate) start_slots: Semaphore,
    clock: Mutex<Clock>,
    acknowledged: AtomicU64,
    stored: Notify,
    ended: AtomicBool,
}

impl Watch {
    pub(crate) fn new(target: Target, clock_ms: u64) -> Self {
        let clock = Clock { reading_ms: clock_ms, received: clock::now() };
        Self {
            target,
            start_slots: Semaphore::new(MAX_CONCURRENT_STARTS),
            clock: Mutex::new(clock),
            acknowledged: AtomicU64::new(0),
            stored: Notify::new(),
            ended: AtomicBool::new(false),
        }
    }

    /// Deadline of a lease of the given length, as a reading of the worker's clock in ms.
    pub(crate) fn deadline_ms(&self, now: Duration, length: Duration) -> u64 {
        self.clock.lock().unwrap_or_else(PoisonError::into_inner).deadline_ms(now, length)
    }

    /// Updates the worker's clock from a reading that was just received.
    pub(crate) fn update_clock(&self, reading_ms: u64) {
        let clock = Clock { reading_ms, received: clock::now() };
        *self.clock.lock().unwrap_or_else(PoisonError::into_inner) = clock;
    }

    /// Records that ends up to `number` are stored.
    pub(crate) fn acknowledge(&self, number: u64) {
        self.acknowledged.fetch_max(number, Ordering::Relaxed);
        self.stored.notify_one();
    }

    /// Number up to which ends are stored and may be acknowledged.
    pub(crate) fn acknowledged(&self) -> u64 {
        self.acknowledged.load(Ordering::Relaxed)
    }

    /// Ends the polls: the one in flight is the last, and its reply is discarded.
    pub(crate) fn end(&self) {
        self.ended.store(true, Ordering::Relaxed);
        self.stored.notify_one();
    }

    fn has_ended(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
    }
}

/// Polls a worker until the watch ends.
pub(crate) async fn run(
    node: Arc<Node>,
    watch: Arc<Watch>,
    terms: Terms,
    token: u64,
    events: mpsc::UnboundedSender<Event>,
) {
    let mut is_failing = false;
    // The first poll does not wait, so that it shows at once what runs on the worker.
    let mut is_first = true;
    let mut last_ended = 0;
    while !watch.has_ended() {
        let sent = clock::now();
        let acknowledged = watch.acknowledged();
        // A worker that did not answer may still receive polls. Its leases must be allowed to
        // expire.
        let extended = !is_failing && node.may_act(sent);
        let wait = if is_first || is_failing || last_ended > acknowledged {
            Duration::ZERO
        } else {
            POLL_WAIT
        };
        let deadline_ms = extended.then(|| watch.deadline_ms(sent, terms.extension));
        let poll = Poll { token, acknowledged, deadline_ms, wait };
        let answer = node.runner.poll(&watch.target, &poll).await;
        if watch.has_ended() {
            return;
        }
        let worker = Arc::clone(&watch.target.id);
        match answer {
            Ok(reply) => {
                is_failing = false;
                is_first = false;
                watch.update_clock(reply.clock_ms);
                last_ended = reply.ended.iter().map(|ended| ended.number).max().unwrap_or(0);
                if events.send(Event::Polled { worker, sent, extended, reply }).is_err() {
                    return;
                }
                wait_until_stored(&watch, last_ended).await;
            }
            Err(error) => {
                is_failing = true;
                if events.send(Event::PollFailed { worker, sent, extended, error }).is_err() {
                    return;
                }
                let pause = if error == Error::Fenced { POLL_WAIT } else { RETRY_PAUSE };
                tokio::time::sleep(pause).await;
            }
        }
    }
}

/// Waits until ends up to `number` are stored, for [`STORE_TIMEOUT`] at most, and pauses if they
/// are not.
async fn wait_until_stored(watch: &Watch, number: u64) {
    let is_stored = || watch.acknowledged() >= number || watch.has_ended();
    let stored = async {
        while !is_stored() {
            watch.stored.notified().await;
        }
    };
    if tokio::time::timeout(STORE_TIMEOUT, stored).await.is_err() {
        tokio::time::sleep(UNSTORED_PAUSE).await;
    }
}
