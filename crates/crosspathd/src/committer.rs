//! Appends changes, many in one record, and waits until they are folded.
//!
//! One batch is on its way at a time. When the log does not say whether it took a batch, the batch
//! is read for, and appended again under the same id until it is seen: the fold drops a second
//! copy, and no later batch overtakes it. Whoever waits may give up earlier, and gets an id to ask
//! for.

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
/// At most 20 appends a second from one daemon.
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

/// The queue of changes to append.
#[derive(Debug, Clone)]
pub(crate) struct Committer {
    queue: mpsc::Sender<Request>,
}

/// The other end of the queue.
#[derive(Debug)]
pub(crate) struct Queue {
    requests: mpsc::Receiver<Request>,
}

impl Committer {
    pub(crate) fn new() -> (Self, Queue) {
        let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
        (Self { queue: sender }, Queue { requests: receiver })
    }

    /// Commits and waits at most `patience`; the first conflict is the error.
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
                // Closed first: the batch is not formed with it after this.
                response.close();
                return Err(match change_id.get() {
                    Some(change) => CommitError::Unknown { change: change.clone() },
                    None => CommitError::NotAccepted,
                });
            }
        };
        first_conflict(verdicts)
    }

    /// Commits a change of the daemon itself and waits until its fate is certain.
    pub(crate) async fn commit_until_final(&self, changes: Vec<Change>) -> Result<(), CommitError> {
        let verdicts = self.commit_each(changes).await?;
        first_conflict(verdicts).map(|_| ())
    }

    /// Commits changes of the daemon itself; one verdict for each.
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

/// Appends what is queued until the daemon ends.
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

/// Appends a batch until its fate is certain.
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
        // Folded between the last look and this one.
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

/// Where the state is, seen from a batch without a verdict.
enum Position {
    /// Before the batch.
    Before,
    /// Past it: a later batch of this daemon's name was folded, so that this one never will be.
    Fenced,
    /// Past it, by a state taken from elsewhere: it was folded, with a verdict not known here.
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

/// Waits until the batch is folded.
async fn wait_until_applied(core: &Core, id: &BatchId, timeout: Duration) -> Option<Verdicts> {
    let mut states = core.state.subscribe();
    let deadline = Instant::now() + timeout;
    loop {
        states.borrow_and_update();
        // The verdict is there before the state that it led to: whoever is told of a change must be
        // able to read it.
        let published = !matches!(position_of(core, id), Position::Before);
        let verdicts = core.outcomes().get(id).cloned();
        if let Some(verdicts) = verdicts.filter(|_| published) {
            return Some(verdicts);
        }
        tokio::time::timeout_at(deadline, states.changed()).await.ok()?.ok()?;
    }
}
