//! Open connections of a listener, and which of them are closed in favour of new ones.
//!
//! At the limit, a new connection takes the place of one on which no handler is at work: one that
//! has been receiving its request for some time, else one whose client does not take its response,
//! else the one that has been idle for the longest time. The first two are what clients leave
//! behind that do not behave, so that idle connections of others stay open beside them.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};

use crate::pressure::{Pressure, Reason};

/// Time that a request has to arrive while other connections wait for a place.
const RECEIVE_GRACE: Duration = Duration::from_millis(250);
/// Time that a client has to take a response while other connections wait for a place.
const RESPONSE_GRACE: Duration = Duration::from_secs(10);
/// Time for which a new connection waits for a place; longer than [`RECEIVE_GRACE`].
const ADMISSION_TIMEOUT: Duration = Duration::from_millis(350);
/// Interval at which a waiting connection looks for a place.
const ADMISSION_INTERVAL: Duration = Duration::from_millis(25);

/// What a connection does while no handler is at work for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// It has never had a complete request.
    Receiving,
    /// Its client takes a response.
    Responding,
    /// Every request on it has been answered.
    Idle,
}

#[derive(Debug)]
struct Waiting {
    since: Instant,
    close: Arc<Notify>,
}

/// Connections in one phase, by the order in which they entered it.
type Queue = BTreeMap<u64, Waiting>;

#[derive(Debug, Default)]
struct Queues {
    next: u64,
    receiving: Queue,
    responding: Queue,
    idle: Queue,
}

impl Queues {
    fn of(&mut self, phase: Phase) -> &mut Queue {
        match phase {
            Phase::Receiving => &mut self.receiving,
            Phase::Responding => &mut self.responding,
            Phase::Idle => &mut self.idle,
        }
    }

    fn insert(&mut self, phase: Phase, since: Instant, close: &Arc<Notify>) -> Place {
        let number = self.next;
        self.next += 1;
        self.of(phase).insert(number, Waiting { since, close: Arc::clone(close) });
        Place { phase, number }
    }

    fn contains(&mut self, place: Place) -> bool {
        self.of(place.phase).contains_key(&place.number)
    }

    /// Removes a connection, unless it was taken to be closed.
    fn remove(&mut self, place: Place) {
        self.of(place.phase).remove(&place.number);
    }

    /// Takes the connection to close for a new one.
    fn take_victim(&mut self, now: Instant) -> Option<Waiting> {
        let is_over = |queue: &Queue, grace: Duration| {
            queue.first_key_value().is_some_and(|(_, first)| now >= first.since + grace)
        };
        let queue = if is_over(&self.receiving, RECEIVE_GRACE) {
            &mut self.receiving
        } else if is_over(&self.responding, RESPONSE_GRACE) {
            &mut self.responding
        } else {
            &mut self.idle
        };
        queue.pop_first().map(|(_, victim)| victim)
    }
}

/// Where a connection is queued.
#[derive(Debug, Clone, Copy)]
struct Place {
    phase: Phase,
    number: u64,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Connections of a listener.
#[derive(Debug)]
pub(crate) struct Connections {
    permits: Arc<Semaphore>,
    queues: Arc<Mutex<Queues>>,
    pressure: Pressure,
}

impl Connections {
    pub(crate) fn new(max: usize, pressure: Pressure) -> Self {
        Self { permits: Arc::new(Semaphore::new(max)), queues: Arc::default(), pressure }
    }

    /// Admits a new connection. At the limit, it takes the place of another one, once that is
    /// closed; `None` if no place becomes free for [`ADMISSION_TIMEOUT`].
    pub(crate) async fn admit(&self) -> Option<(Arc<Slot>, OwnedSemaphorePermit)> {
        let Some(permit) = self.place().await else {
            self.pressure.count(Reason::ConnectionRefused);
            return None;
        };
        let close = Arc::new(Notify::new());
        let place = lock(&self.queues).insert(Phase::Receiving, Instant::now(), &close);
        let state = Mutex::new(SlotState { place: Some(place), ..SlotState::default() });
        Some((Arc::new(Slot { queues: Arc::clone(&self.queues), close, state }), permit))
    }

    async fn place(&self) -> Option<OwnedSemaphorePermit> {
        if let Ok(permit) = Arc::clone(&self.permits).try_acquire_owned() {
            return Some(permit);
        }
        let deadline = Instant::now() + ADMISSION_TIMEOUT;
        while Instant::now() < deadline {
            // A request that arrives on the closed connection is answered first.
            self.close_one(Instant::now());
            let freed = Arc::clone(&self.permits).acquire_owned();
            if let Ok(permit) = tokio::time::timeout(ADMISSION_INTERVAL, freed).await {
                return permit.ok();
            }
        }
        None
    }

    /// Closes the connection that is to make room for a new one. Returns whether there is one.
    pub(crate) fn close_one(&self, now: Instant) -> bool {
        let Some(victim) = lock(&self.queues).take_victim(now) else { return false };
        victim.close.notify_one();
        self.pressure.count(Reason::ConnectionClosed);
        true
    }
}

#[derive(Debug, Default)]
struct SlotState {
    /// Where the connection is queued; `None` while a handler is at work, and once it is closed.
    place: Option<Place>,
    /// Number of requests for which a handler is at work.
    handled: usize,
    /// Number of responses that the client has not taken.
    responses: usize,
    /// Whether the connection is to be closed once it has no request.
    closing: bool,
    /// Whether the connection has ended. Requests on HTTP/2 may end later.
    ended: bool,
}

/// One open connection.
#[derive(Debug)]
pub(crate) struct Slot {
    queues: Arc<Mutex<Queues>>,
    close: Arc<Notify>,
    state: Mutex<SlotState>,
}

impl Slot {
    /// Returns once the connection is closed. A request that was complete before is answered first.
    pub(crate) async fn closed(&self) {
        loop {
            self.close.notified().await;
            let mut state = lock(&self.state);
            state.closing = true;
            let is_queued = state.place.is_some_and(|place| lock(&self.queues).contains(place));
            if state.handled == 0 && !is_queued {
                state.ended = true;
                return;
            }
        }
    }

    /// Notes a complete request. Returns whether a handler may work on it: not if the connection is
    /// closed.
    fn begin_request(&self) -> bool {
        let mut state = lock(&self.state);
        if state.ended {
            return false;
        }
        if let Some(place) = state.place.take() {
            lock(&self.queues).remove(place);
        }
        state.handled += 1;
        true
    }

    /// Notes that a handler has ended, with a response or without.
    fn end_handling(&self, has_response: bool) {
        let mut state = lock(&self.state);
        state.handled -= 1;
        state.responses += usize::from(has_response);
        self.queue(&mut state);
    }

    /// Notes that the client has taken a response.
    fn end_response(&self) {
        let mut state = lock(&self.state);
        state.responses -= 1;
        self.queue(&mut state);
    }

    /// Moves the connection to the queue for what it does now.
    fn queue(&self, state: &mut SlotState) {
        if state.ended || state.handled > 0 {
            return;
        }
        let mut queues = lock(&self.queues);
        if let Some(place) = state.place.take() {
            queues.remove(place);
        }
        let phase = if state.responses > 0 { Phase::Responding } else { Phase::Idle };
        if state.closing && phase == Phase::Idle {
            self.close.notify_one();
            return;
        }
        state.place = Some(queues.insert(phase, Instant::now(), &self.close));
    }

    /// Marks the connection as ended, so that it is not closed for another one.
    pub(crate) fn end(&self) {
        let mut state = lock(&self.state);
        state.ended = true;
        if let Some(place) = state.place.take() {
            lock(&self.queues).remove(place);
        }
    }
}

/// Progress of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    Receiving,
    Handling,
    Responding,
}

/// A request of a connection.
#[derive(Debug)]
pub(crate) struct Activity {
    slot: Arc<Slot>,
    progress: Mutex<Progress>,
}

impl Activity {
    pub(crate) fn new(slot: Arc<Slot>) -> Self {
        Self { slot, progress: Mutex::new(Progress::Receiving) }
    }

    /// Marks the request as complete, so that its connection is not closed before the response.
    /// Returns whether a handler may work on it: not if the connection is closed.
    pub(crate) fn begin(&self) -> bool {
        let mut progress = lock(&self.progress);
        if *progress != Progress::Receiving {
            return true;
        }
        let may_begin = self.slot.begin_request();
        if may_begin {
            *progress = Progress::Handling;
        }
        may_begin
    }

    /// Marks the request as answered; its client takes the response until this is dropped.
    pub(crate) fn respond(&self) {
        if !self.begin() {
            return;
        }
        let mut progress = lock(&self.progress);
        if *progress == Progress::Handling {
            *progress = Progress::Responding;
            self.slot.end_handling(true);
        }
    }
}

impl Drop for Activity {
    fn drop(&mut self) {
        match *lock(&self.progress) {
            Progress::Receiving => {}
            Progress::Handling => self.slot.end_handling(false),
            Progress::Responding => self.slot.end_response(),
        }
    }
}
