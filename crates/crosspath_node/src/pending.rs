//! A record that is to be appended, and the caller that waits for what becomes of it.
//!
//! An append may take longer than the caller waits, most of all behind others while the store is slow.
//! The caller takes back a record that was not sent yet:
//! it is then never sent, and the refusal is true. What was sent stays in doubt.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crosspath_border::store::NewRecord;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// For how long a record is tried; times of the process's clock.
#[derive(Debug, Clone, Copy)]
pub struct Deadlines {
    /// While it waits for others to be sent; then it is taken back.
    pub send_by: Duration,
    /// While it surely is not kept: the caller is better off being told so.
    pub refuse_at: Duration,
    /// While it may be kept: repeating it may yet tell.
    pub unknown_at: Duration,
}

/// What became of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It is kept.
    Kept,
    /// It surely is not: another customer's job has the identifier.
    Taken,
    /// It surely is not, and never will be.
    NotKept,
    /// The same, since it was taken back before it was sent: the store is slow.
    Unsent,
    /// That is not known.
    Unknown,
}

/// The queue's side of a record.
#[derive(Debug)]
pub struct Pending {
    /// What is to be kept.
    pub record: NewRecord,
    deadlines: Deadlines,
    /// Whether an append of it got no answer.
    unconfirmed: bool,
    decided: Arc<AtomicBool>,
    answer: oneshot::Sender<Outcome>,
}

/// The caller's side of a record.
#[derive(Debug)]
pub struct Waiter {
    deadlines: Deadlines,
    decided: Arc<AtomicBool>,
    outcome: oneshot::Receiver<Outcome>,
}

/// Both sides of a record.
#[must_use]
pub fn pair(record: NewRecord, deadlines: Deadlines) -> (Pending, Waiter) {
    let (answer, outcome) = oneshot::channel();
    let decided = Arc::<AtomicBool>::default();
    let waiter = Waiter { deadlines, decided: Arc::clone(&decided), outcome };
    (Pending { record, deadlines, unconfirmed: false, decided, answer }, waiter)
}

impl Pending {
    /// Takes the record for sending, once; false when the caller has taken it back.
    #[must_use]
    pub fn begin_send(&self) -> bool {
        !self.decided.swap(true, Ordering::AcqRel)
    }

    /// An append of it failed; whether it may be kept all the same.
    pub fn attempt_failed(&mut self, unconfirmed: bool) {
        self.unconfirmed |= unconfirmed;
    }

    /// What it ends with when it is not tried again; none while it is worth more tries, of which there
    /// are none for a record that surely is not kept while the store `is_down`.
    #[must_use]
    pub fn final_outcome(&self, now: Duration, is_down: bool) -> Option<Outcome> {
        if is_down && !self.unconfirmed {
            return Some(Outcome::NotKept);
        }
        let (until, outcome) = if self.unconfirmed {
            (self.deadlines.unknown_at, Outcome::Unknown)
        } else {
            (self.deadlines.refuse_at, Outcome::NotKept)
        };
        (until <= now).then_some(outcome)
    }

    /// Tells the caller, who may have stopped waiting.
    pub fn settle(self, outcome: Outcome) {
        self.answer.send(outcome).ok();
    }
}

impl Waiter {
    /// What becomes of the record, by the end of the caller's patience.
    pub async fn outcome(mut self, now: Duration) -> Outcome {
        let Deadlines { send_by, unknown_at, .. } = self.deadlines;
        let until_send = send_by.saturating_sub(now);
        if let Ok(outcome) = timeout(until_send, &mut self.outcome).await {
            return outcome.unwrap_or(Outcome::Unknown);
        }
        if !self.decided.swap(true, Ordering::AcqRel) {
            return Outcome::Unsent;
        }
        let remaining = unknown_at.saturating_sub(now.max(send_by));
        match timeout(remaining, self.outcome).await {
            Ok(outcome) => outcome.unwrap_or(Outcome::Unknown),
            Err(_) => Outcome::Unknown,
        }
    }
}
