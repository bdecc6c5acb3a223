//! Appends changes to the log, batched into records, and waits until they are applied.
//!
//! One batch is in flight at a time. If an append has an unknown result, the committer waits for
//! the batch to appear in the log and appends it again under the same id until it does. Applying
//! the log drops a duplicate, and no later batch overtakes this one. A caller may time out
//! earlier; it then gets an id with which to query the outcome of its change.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use crosspath_log::AppendError;
use crosspath_operator::CommitError;
use crosspath_state::record::{Batch, BatchId, Change, Entry, Revision};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::clock;
use crate::core::Core;
use crate::outcomes::{self, Verdicts};

const QUEUE_CAPACITY: usize = 1_024;
const MAX_BATCH_CHANGES: usize = 512;
/// Limits a daemon to 20 appends a second.
const MIN_APPEND_INTERVAL: Duration = Duration::from_millis(50);
const APPLY_TIMEOUT: Duration = Duration::from_millis(500);

type Reply = oneshot::Sender<Result<Vec<Verdict>, CommitError>>;
type Verdict = Result<Revision, crosspath_state::Conflict>;

#[derive(Debug)]
struct Request {
    changes: Vec<Change>,
    change_id: Arc<OnceLock<String>>,
    reply: Reply,
}

/// Sending end of the queue of changes to append.
#[derive(Debug, Clone)]
pub(crate) struct Committer {
    queue: mpsc::Sender<Request>,
}

/// Receiving end of the queue, read by [`run`].
#[derive(Debug)]
pub(crate) struct Queue {
    requests: mpsc::Receiver<Request>,
}

impl Committer {
    pub(crate) fn new() -> (Self, Queue) {
        let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
        (Self { queue: sender }, Queue { requests: receiver })
    }

    /// Commits changes and waits at most `timeout` for their verdicts; the first conflict is
    /// returned as the error.
    pub(crate) async fn commit(
        &self,
        changes: Vec<Change>,
        timeout: Duration,
    ) -> Result<Revision, CommitError> {
        let change_id = Arc::new(OnceLock::new());
        let (reply, mut response) = oneshot::channel();
        let request = Request { changes, change_id: Arc::clone(&change_id), reply };
        if self.queue.try_send(request).is_err() {
            return Err(CommitError::NotAccepted);
        }
        let verdicts = match tokio::time::timeout(timeout, &mut response).await {
            Ok(Ok(verdicts)) => verdicts?,
            Ok(Err(_)) => return Err(CommitError::NotAccepted),
            Err(_) => {
                // Close the channel before reading the id: a batch formed after this leaves the
                // request out.
                response.close();
                return Err(match change_id.get() {
                    Some(change) => CommitError::Unknown { change: change.clone() },
                    None => CommitError::NotAccepted,
                });
            }
        };
        first_conflict(verdicts)
    }

    /// Commits the daemon's own changes and waits, without a time limit, until their outcome is
    /// final.
    pub(crate) async fn commit_until_final(&self, changes: Vec<Change>) -> Result<(), CommitError> {
        let verdicts = self.commit_each(changes).await?;
        first_conflict(verdicts).map(|_| ())
    }

    /// Commits the daemon's own changes like [`Self::commit_until_final`], and returns one verdict
    /// for each change.
    pub(crate) async fn commit_each(&self, changes: Vec<Change>) -> Result<Verdicts, CommitError> {
        let (reply, response) = oneshot::channel();
        let request = Request { changes, change_id: Arc::default(), reply };
        if self.queue.send(request).await.is_err() {
            return Err(CommitError::NotAccepted);
        }
        response.await.unwrap_or(Err(CommitError::NotAccepted))
    }
}

fn first_conflict(verdicts: Vec<Verdict>) -> Result<Revision, CommitError> {
    let mut revision = Revision::default();
    for verdict in verdicts {
        revision = verdict.map_err(|conflict| CommitError::Rejected { conflict })?;
    }
    Ok(revision)
}

/// Appends queued changes until the daemon stops.
pub(crate) async fn run(core: Arc<Core>, mut queue: Queue) {
    let mut sequence = 0;
    let mut incarnation = core.own_writer().incarnation;
    loop {
        let Some(first) = queue.requests.recv().await else {
            return;
        };
        let started = Instant::now();
        let mut requests = vec![first];
        let mut count = requests[0].changes.len();
        while count < MAX_BATCH_CHANGES
            && let Ok(next) = queue.requests.try_recv()
        {
            count += next.changes.len();
            requests.push(next);
        }
        let writer = core.own_writer();
        if writer.incarnation != incarnation {
            incarnation = writer.incarnation;
            sequence = 0;
        }
        sequence += 1;
        let id = BatchId { writer, sequence };
        append_batch(&core, id, requests).await;
        tokio::time::sleep_until(started + MIN_APPEND_INTERVAL).await;
    }
}

async fn append_batch(core: &Core, id: BatchId, requests: Vec<Request>) {
    let mut changes = Vec::new();
    let mut waiters = Vec::new();
    for request in requests {
        let _ = request.change_id.set(outcomes::change_id(&id, changes.len()));
        if !request.reply.is_closed() {
            waiters.push((changes.len(), request.changes.len(), request.reply));
            changes.extend(request.changes);
        }
    }
    if changes.is_empty() {
        return;
    }
    let decided_on = core.state().applied;
    let batch = Batch { id: id.clone(), decided_on, written_at: clock::wall(), changes };
    let result = append_until_final(core, &id, Entry::Batch(batch).encode()).await;
    for (start, len, reply) in waiters {
        let result = result.clone();
        let _ = reply.send(result.map(|verdicts| verdicts[start..start + len].to_vec()));
    }
}

/// Appends a batch, repeatedly if necessary, until its outcome is final.
async fn append_until_final(
    core: &Core,
    id: &BatchId,
    data: String,
) -> Result<Verdicts, CommitError> {
    let mut maybe_appended = false;
    loop {
        let result = core.log.append(data.clone()).await;
        core.metrics.count_append(label(&result));
        match result {
            Err(AppendError::NotAppended) if !maybe_appended => {
                return Err(CommitError::NotAccepted);
            }
            Err(AppendError::NotAppended) => {}
            Ok(_) | Err(AppendError::Unknown) => maybe_appended = true,
        }
        if let Some(verdicts) = wait_until_applied(core, id, APPLY_TIMEOUT).await {
            return Ok(verdicts);
        }
        let position = position_of(core, id);
        // The batch may have been applied since the wait ended.
        let verdicts = core.outcomes().get(id).cloned();
        match (position, verdicts) {
            (Position::Before, _) => {}
            (Position::Applied | Position::Fenced, Some(verdicts)) => return Ok(verdicts),
            (Position::Fenced, None) => return Err(CommitError::NotAccepted),
            (Position::Applied, None) => {
                let change = outcomes::change_id(id, 0);
                return Err(CommitError::Unknown { change });
            }
        }
    }
}

fn label<T>(result: &Result<T, AppendError>) -> &'static str {
    match result {
        Ok(_) => "appended",
        Err(AppendError::NotAppended) => "refused",
        Err(AppendError::Unknown) => "unknown",
    }
}

/// Position of the local state relative to a batch.
enum Position {
    /// The batch has not been applied.
    Before,
    /// A later batch written under this daemon's name was applied, so this one never takes effect
    /// if it has not been applied already.
    Fenced,
    /// The batch was applied. Its verdicts are unknown here if the state came from a snapshot or a
    /// peer.
    Applied,
}

fn position_of(core: &Core, id: &BatchId) -> Position {
    let state = core.state();
    let Some(last) = state.writers.get(&id.writer.daemon) else { return Position::Before };
    let last = (last.incarnation, last.sequence);
    match last.cmp(&(id.writer.incarnation, id.sequence)) {
        std::cmp::Ordering::Less => Position::Before,
        std::cmp::Ordering::Equal => Position::Applied,
        std::cmp::Ordering::Greater => Position::Fenced,
    }
}

/// Waits at most `timeout` until the batch is applied.
async fn wait_until_applied(core: &Core, id: &BatchId, timeout: Duration) -> Option<Verdicts> {
    let mut states = core.state.subscribe();
    let deadline = Instant::now() + timeout;
    loop {
        states.borrow_and_update();
        // Verdicts are stored before the resulting state is published. Wait for both, so that a
        // caller that is told of a change can read it.
        let published = !matches!(position_of(core, id), Position::Before);
        let verdicts = core.outcomes().get(id).cloned();
        if let Some(verdicts) = verdicts.filter(|_| published) {
            return Some(verdicts);
        }
        tokio::time::timeout_at(deadline, states.changed()).await.ok()?.ok()?;
    }
}
