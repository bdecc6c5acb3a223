//! Open connections of a listener, and which of them are closed in favour of new ones.
//!
//! A connection waits while no request is complete on it: it is idle, or its client sends a head or
//! a body. At the limit, the connection that has waited for the longest time is closed.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};

use crate::pressure::{Pressure, Reason};

#[derive(Debug, Default)]
struct Waiting {
    next: u64,
    /// Waiting connections, the oldest first.
    by_age: BTreeMap<u64, Arc<Notify>>,
}

impl Waiting {
    fn insert(&mut self, close: &Arc<Notify>) -> u64 {
        let age = self.next;
        self.next += 1;
        self.by_age.insert(age, Arc::clone(close));
        age
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Connections of a listener.
#[derive(Debug)]
pub(crate) struct Connections {
    permits: Arc<Semaphore>,
    waiting: Arc<Mutex<Waiting>>,
    pressure: Pressure,
}

impl Connections {
    pub(crate) fn new(max: usize, pressure: Pressure) -> Self {
        Self { permits: Arc::new(Semaphore::new(max)), waiting: Arc::default(), pressure }
    }

    /// Admits a new connection. At the limit, it takes the place of the one that has waited for the
    /// longest time, once that is closed; `None` if none waits.
    pub(crate) async fn admit(&self) -> Option<(Arc<Slot>, OwnedSemaphorePermit)> {
        let permit = match Arc::clone(&self.permits).try_acquire_owned() {
            Ok(permit) => permit,
            Err(_) if self.close_oldest() => {
                Arc::clone(&self.permits).acquire_owned().await.ok()?
            }
            Err(_) => {
                self.pressure.count(Reason::ConnectionRefused);
                return None;
            }
        };
        let close = Arc::new(Notify::new());
        let age = lock(&self.waiting).insert(&close);
        let state = Mutex::new(SlotState { age: Some(age), requests: 0, ended: false });
        Some((Arc::new(Slot { waiting: Arc::clone(&self.waiting), close, state }), permit))
    }

    /// Closes the connection that has waited for the longest time. Returns whether there is one.
    pub(crate) fn close_oldest(&self) -> bool {
        let Some((_, close)) = lock(&self.waiting).by_age.pop_first() else { return false };
        close.notify_one();
        self.pressure.count(Reason::ConnectionClosed);
        true
    }
}

#[derive(Debug)]
struct SlotState {
    /// Key among the waiting connections; `None` while a request is in progress.
    age: Option<u64>,
    /// Number of requests in progress.
    requests: usize,
    /// Whether the connection has ended. Requests on HTTP/2 may end later.
    ended: bool,
}

/// One open connection.
#[derive(Debug)]
pub(crate) struct Slot {
    waiting: Arc<Mutex<Waiting>>,
    close: Arc<Notify>,
    state: Mutex<SlotState>,
}

impl Slot {
    /// Returns once the connection has to be closed.
    pub(crate) async fn closed(&self) {
        self.close.notified().await;
    }

    fn begin_request(&self) {
        let mut state = lock(&self.state);
        state.requests += 1;
        if let Some(age) = state.age.take() {
            lock(&self.waiting).by_age.remove(&age);
        }
    }

    fn end_request(&self) {
        let mut state = lock(&self.state);
        state.requests -= 1;
        if state.requests == 0 && !state.ended {
            state.age = Some(lock(&self.waiting).insert(&self.close));
        }
    }

    /// Marks the connection as ended, so that it is not closed for another one.
    pub(crate) fn end(&self) {
        let mut state = lock(&self.state);
        state.ended = true;
        if let Some(age) = state.age.take() {
            lock(&self.waiting).by_age.remove(&age);
        }
    }
}

/// A request of a connection, which is in progress from [`Self::begin`] until this is dropped.
#[derive(Debug)]
pub(crate) struct Activity {
    slot: Arc<Slot>,
    in_progress: Mutex<bool>,
}

impl Activity {
    pub(crate) fn new(slot: Arc<Slot>) -> Self {
        Self { slot, in_progress: Mutex::new(false) }
    }

    /// Marks the request as complete, so that its connection is not closed before the response.
    pub(crate) fn begin(&self) {
        let mut in_progress = lock(&self.in_progress);
        if !*in_progress {
            *in_progress = true;
            self.slot.begin_request();
        }
    }
}

impl Drop for Activity {
    fn drop(&mut self) {
        if *lock(&self.in_progress) {
            self.slot.end_request();
        }
    }
}
