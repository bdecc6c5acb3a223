//! Memory that the bodies of all connections hold together.
//!
//! A body is charged as its bytes arrive and until the last copy of it is dropped, so that requests
//! that wait for an answer count as well. When the budget is exhausted, the body that has been
//! incomplete for the longest time is given up: a client that sends its body at once gets through,
//! however many others stop before the end of theirs.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use snafu::Snafu;
use tokio::sync::Notify;

use crate::pressure::{Pressure, Reason};

/// Budget if none is configured, for servers with few clients.
const DEFAULT_BUDGET_BYTES: usize = 64 * 1024 * 1024;

/// The budget cannot cover what was asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("no memory is left for the request now"))]
pub struct Exhausted;

#[derive(Debug)]
struct Unfinished {
    buffer: Vec<u8>,
    given_up: Arc<Notify>,
}

#[derive(Debug, Default)]
struct State {
    /// Bytes of charges and of complete bodies.
    lasting: usize,
    /// Bytes of incomplete bodies, which can be given up.
    incomplete: usize,
    next: u64,
    /// Incomplete bodies, the oldest first.
    unfinished: BTreeMap<u64, Unfinished>,
}

impl State {
    fn used(&self) -> usize {
        self.lasting.saturating_add(self.incomplete)
    }

    /// Removes an incomplete body; `None` if it was given up.
    fn remove(&mut self, id: u64) -> Option<Unfinished> {
        let body = self.unfinished.remove(&id)?;
        self.incomplete -= body.buffer.capacity();
        Some(body)
    }
}

#[derive(Debug)]
struct Shared {
    max: usize,
    state: Mutex<State>,
    pressure: Pressure,
}

/// Limit on the memory of bodies. Clones share it.
#[derive(Debug, Clone)]
pub struct Budget {
    shared: Arc<Shared>,
}

impl Default for Budget {
    fn default() -> Self {
        Self::new(DEFAULT_BUDGET_BYTES, Pressure::default())
    }
}

impl Budget {
    /// Creates a budget of `max` bytes.
    #[must_use]
    pub fn new(max: usize, pressure: Pressure) -> Self {
        Self { shared: Arc::new(Shared { max, state: Mutex::default(), pressure }) }
    }

    /// Charges the budget with `bytes` until the charge is dropped.
    ///
    /// # Errors
    ///
    /// [`Exhausted`] if that exceeds the budget even without the incomplete bodies.
    pub fn charge(&self, bytes: usize) -> Result<Charge, Exhausted> {
        let mut state = self.shared.lock();
        let room = self.shared.make_room(&mut state, bytes, None);
        state.lasting += room.map_or(0, |_| bytes);
        drop(state);
        let Some(given_up) = room else {
            self.shared.count(Reason::RequestRefused, 1);
            return Err(Exhausted);
        };
        self.shared.count(Reason::BodyGivenUp, given_up);
        Ok(Charge { shared: Arc::clone(&self.shared), bytes })
    }

    /// Begins a body that has not arrived yet, of which the head announces `bytes`.
    pub(crate) fn begin(&self, bytes: usize) -> Result<Buffer, Exhausted> {
        let given_up = Arc::new(Notify::new());
        let mut state = self.shared.lock();
        if state.lasting.saturating_add(bytes) > self.shared.max {
            drop(state);
            self.shared.count(Reason::RequestRefused, 1);
            return Err(Exhausted);
        }
        let id = state.next;
        state.next += 1;
        let unfinished = Unfinished { buffer: Vec::new(), given_up: Arc::clone(&given_up) };
        state.unfinished.insert(id, unfinished);
        Ok(Buffer { shared: Arc::clone(&self.shared), id, given_up })
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Gives up incomplete bodies, the oldest first, until `bytes` more fit, and gives up none if
    /// they never do. Returns how many were given up; `None` if the bytes do not fit, or if the body
    /// `keep` would have to be given up for them.
    fn make_room(&self, state: &mut State, bytes: usize, keep: Option<u64>) -> Option<usize> {
        let kept = keep.and_then(|id| state.unfinished.get(&id));
        let kept = kept.map_or(0, |body| body.buffer.capacity());
        if state.lasting.saturating_add(kept).saturating_add(bytes) > self.max {
            return None;
        }
        let mut given_up = 0;
        while state.used().saturating_add(bytes) > self.max {
            // A body without bytes would free nothing.
            let mut holding = state.unfinished.iter().filter(|(_, body)| !body.buffer.is_empty());
            let oldest = holding.next().map(|(id, _)| *id)?;
            if keep == Some(oldest) {
                return None;
            }
            state.remove(oldest)?.given_up.notify_one();
            given_up += 1;
        }
        Some(given_up)
    }

    fn count(&self, reason: Reason, events: usize) {
        for _ in 0..events {
            self.pressure.count(reason);
        }
    }

    fn release(&self, bytes: usize) {
        self.lock().lasting -= bytes;
    }
}

/// Part of the budget that is in use until it is dropped.
#[derive(Debug)]
pub struct Charge {
    shared: Arc<Shared>,
    bytes: usize,
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.shared.release(self.bytes);
    }
}

/// Bytes of a complete body, charged until they are dropped.
struct Whole {
    bytes: Vec<u8>,
    _charge: Charge,
}

impl AsRef<[u8]> for Whole {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Body that is incomplete. The budget has its bytes, so that it can drop them at once.
#[derive(Debug)]
pub(crate) struct Buffer {
    shared: Arc<Shared>,
    id: u64,
    given_up: Arc<Notify>,
}

impl Buffer {
    /// Appends a copy of `chunk`; of at most `max` bytes in all.
    pub(crate) fn append(&self, chunk: &[u8], max: usize) -> Result<(), Exhausted> {
        let mut state = self.shared.lock();
        let grown = self.grow(&mut state, chunk.len(), max);
        if let (Some(_), Some(body)) = (grown, state.unfinished.get_mut(&self.id)) {
            body.buffer.extend_from_slice(chunk);
        }
        drop(state);
        match grown {
            Some(given_up) => {
                self.shared.count(Reason::BodyGivenUp, given_up);
                Ok(())
            }
            None => {
                self.shared.count(Reason::BodyGivenUp, 1);
                Err(Exhausted)
            }
        }
    }

    /// Makes room for `bytes` more. Returns how many other bodies were given up for it; `None` if
    /// this one has to be, or was.
    fn grow(&self, state: &mut State, bytes: usize, max: usize) -> Option<usize> {
        let body = state.unfinished.get(&self.id)?;
        let (length, capacity) = (body.buffer.len(), body.buffer.capacity());
        let needed = length + bytes;
        if needed <= capacity {
            return Some(0);
        }
        let doubled = (2 * capacity).min(max).max(needed);
        let grown = if state.lasting + doubled <= self.shared.max { doubled } else { needed };
        let given_up = self.shared.make_room(state, grown - capacity, Some(self.id))?;
        let body = state.unfinished.get_mut(&self.id)?;
        body.buffer.reserve_exact(grown - length);
        let charged = body.buffer.capacity() - capacity;
        state.incomplete += charged;
        Some(given_up)
    }

    /// Returns once the body has been given up.
    pub(crate) async fn given_up(&self) {
        self.given_up.notified().await;
    }

    /// Takes the complete body.
    pub(crate) fn finish(self) -> Result<Bytes, Exhausted> {
        let mut state = self.shared.lock();
        let body = state.remove(self.id).ok_or(Exhausted)?;
        let bytes = body.buffer.capacity();
        state.lasting += bytes;
        drop(state);
        let charge = Charge { shared: Arc::clone(&self.shared), bytes };
        Ok(Bytes::from_owner(Whole { bytes: body.buffer, _charge: charge }))
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        drop(self.shared.lock().remove(self.id));
    }
}
