//! Looking at one worker, again and again: extends leases, hears of ends, acknowledges them.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crosspath_border::worker::{Error, Poll, Target};
use crosspath_schedule::Event;
use crosspath_schedule::lease::{Clock, Terms};
use tokio::sync::{Notify, Semaphore, mpsc};

use crate::clock;
use crate::node::Node;

/// For which a worker waits for an end. Leases are extended this often.
const POLL_WAIT: Duration = Duration::from_millis(1_000);
/// For which the next look waits for ends to be kept, so that it can acknowledge them.
const STORE_TIMEOUT: Duration = Duration::from_millis(120);
/// Between looks while ends cannot be kept: the worker would answer at once, over and over.
const UNSTORED_PAUSE: Duration = Duration::from_millis(200);
/// After a look that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Orders to one worker at a time: each has a connection of its own.
const MAX_ORDERS: usize = 2;

/// What the looks and the shard's owner share of one worker.
#[derive(Debug)]
pub(crate) struct Watch {
    pub(crate) target: Target,
    /// Orders under way.
    pub(crate) orders: Semaphore,
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
            orders: Semaphore::new(MAX_ORDERS),
            clock: Mutex::new(clock),
            acknowledged: AtomicU64::new(0),
            stored: Notify::new(),
            ended: AtomicBool::new(false),
        }
    }

    pub(crate) fn deadline_ms(&self, now: Duration, length: Duration) -> u64 {
        self.clock.lock().unwrap_or_else(PoisonError::into_inner).deadline_ms(now, length)
    }

    /// Takes in what the worker's clock showed.
    pub(crate) fn update_clock(&self, reading_ms: u64) {
        let clock = Clock { reading_ms, received: clock::now() };
        *self.clock.lock().unwrap_or_else(PoisonError::into_inner) = clock;
    }

    /// Ends up to a number are kept.
    pub(crate) fn acknowledge(&self, number: u64) {
        self.acknowledged.fetch_max(number, Ordering::Relaxed);
        self.stored.notify_one();
    }

    /// Number up to which ends are kept.
    pub(crate) fn acknowledged(&self) -> u64 {
        self.acknowledged.load(Ordering::Relaxed)
    }

    pub(crate) fn end(&self) {
        self.ended.store(true, Ordering::Relaxed);
        self.stored.notify_one();
    }

    fn has_ended(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
    }
}

/// Looks at a worker until the watch ends.
pub(crate) async fn run(
    node: Arc<Node>,
    watch: Arc<Watch>,
    terms: Terms,
    token: u64,
    events: mpsc::UnboundedSender<Event>,
) {
    let mut is_failing = false;
    // The first look tells at once what runs there.
    let mut is_first = true;
    let mut last_ended = 0;
    while !watch.has_ended() {
        let sent = clock::now();
        let acknowledged = watch.acknowledged();
        // A worker that did not answer may still hear: its leases must be able to run out.
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

/// Waits until ends up to `number` are kept, but not for long.
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
