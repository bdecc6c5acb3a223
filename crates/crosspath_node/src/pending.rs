//! A record that is queued for an append, and the caller that waits for its outcome.
//!
//! An append may take longer than the caller waits, especially behind others while the store is
//! slow. The caller withdraws a record that has not been sent by then. Such a record is never sent,
//! so the caller can be told for certain that it is not stored. The outcome of a record that was
//! sent is unknown until it is answered.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crosspath_border::store::NewRecord;
use crosspath_schedule::admission::Refusal;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Deadlines of a record, as times of the process's clock.
#[derive(Debug, Clone, Copy)]
pub struct Deadlines {
    /// Time until which the record may be queued; if it has not been sent by then, it is withdrawn.
    pub send_by: Duration,
    /// Time until which attempts are repeated while the record is certainly not stored. Earlier
    /// than `unknown_at`, since a definite refusal lets the caller try again.
    pub refuse_at: Duration,
    /// Time until which attempts are repeated while the record may be stored, since a further
    /// attempt may settle that.
    pub unknown_at: Duration,
}

impl Deadlines {
    /// Attempts until one time, whatever is known of the record.
    pub(crate) fn until(deadline: Duration) -> Self {
        Self { send_by: deadline, refuse_at: deadline, unknown_at: deadline }
    }
}

/// What is known about whether a record was stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The record is stored: the store has accepted an append of it.
    Kept,
    /// The record is not stored: its job's identifier belongs to another customer's job.
    Taken,
    /// The record is not stored: the shard's owner refused the job.
    Refused(Refusal),
    /// The record is not stored and never will be.
    NotKept,
    /// The record is not stored: it was withdrawn before it was sent, since the store is slow.
    Unsent,
    /// The record may be stored, now or later.
    Unknown,
}

/// Sender's side of a queued record.
#[derive(Debug)]
pub struct Pending {
    /// Record to append, the same in each attempt.
    pub record: NewRecord,
    deadlines: Deadlines,
    /// Whether some attempt got no answer, so that the record may be stored.
    unconfirmed: bool,
    /// Whether the record was sent or withdrawn, whichever came first.
    decided: Arc<AtomicBool>,
    answer: oneshot::Sender<Outcome>,
}

/// Caller's side of a queued record.
#[derive(Debug)]
pub struct Waiter {
    deadlines: Deadlines,
    decided: Arc<AtomicBool>,
    outcome: oneshot::Receiver<Outcome>,
}

/// Creates the sender's and the caller's side of a record.
#[must_use]
pub fn pair(record: NewRecord, deadlines: Deadlines) -> (Pending, Waiter) {
    let (answer, outcome) = oneshot::channel();
    let decided = Arc::<AtomicBool>::default();
    let waiter = Waiter { deadlines, decided: Arc::clone(&decided), outcome };
    (Pending { record, deadlines, unconfirmed: false, decided, answer }, waiter)
}

impl AsRef<NewRecord> for Pending {
    fn as_ref(&self) -> &NewRecord {
        &self.record
    }
}

impl Pending {
    /// Marks the record as sent; returns false if the caller has withdrawn it. To be called once.
    #[must_use]
    pub fn begin_send(&self) -> bool {
        !self.decided.swap(true, Ordering::AcqRel)
    }

    /// Records that an attempt failed; `unconfirmed` says that the record may be stored all the
    /// same.
    pub fn attempt_failed(&mut self, unconfirmed: bool) {
        self.unconfirmed |= unconfirmed;
    }

    /// Whether the shard's owner may refuse the record: not if some attempt may have stored it, since
    /// the caller would be told that its job does not run.
    #[must_use]
    pub fn may_be_refused(&self) -> bool {
        !self.unconfirmed
    }

    /// Outcome of the record if it is not attempted again; `None` if it is. A record that is
    /// certainly not stored is not attempted again while the store `is_down`.
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

    /// Reports the outcome to the caller, who may have stopped waiting.
    pub fn settle(self, outcome: Outcome) {
        self.answer.send(outcome).ok();
    }
}

impl Waiter {
    /// Waits for the outcome, until the last deadline at most. Withdraws the record if it has not
    /// been sent by `send_by`.
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
