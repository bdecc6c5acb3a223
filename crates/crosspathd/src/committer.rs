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

const QUEUE: usize = 1_024;
const MAX_CHANGES: usize = 512;
/// At most 20 appends a second from one daemon.
const SPACING: Duration = Duration::from_millis(50);
const SETTLE: Duration = Duration::from_millis(500);

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
pub(crate) struct Work {
    queue: mpsc::Receiver<Request>,
}

impl Committer {
    pub(crate) fn new() -> (Self, Work) {
        let (sender, receiver) = mpsc::channel(QUEUE);
        (Self { queue: sender }, Work { queue: receiver })
    }

    /// Commits and waits at most `patience`; the first conflict is the error.
    pub(crate) async fn commit(
        &self,
        changes: Vec<Change>,
        patience: Duration,
    ) -> Result<Revision, CommitError> {
        let change_id = Arc::new(OnceLock::new());
        let (reply, mut answer) = oneshot::channel();
        let request = Request { changes, change_id: Arc::clone(&change_id), reply };
        if self.queue.try_send(request).is_err() {
            return Err(CommitError::NotAccepted);
        }
        let verdicts = match tokio::time::timeout(patience, &mut answer).await {
            Ok(Ok(verdicts)) => verdicts?,
            Ok(Err(_)) => return Err(CommitError::NotAccepted),
            Err(_) => {
                // Closed first: the batch is not formed with it after this.
                answer.close();
                return Err(match change_id.get() {
                    Some(change) => CommitError::Unknown { change: change.clone() },
                    None => CommitError::NotAccepted,
                });
            }
        };
        first_conflict(verdicts)
    }

    /// Commits a change of the daemon itself and waits until its fate is certain.
    pub(crate) async fn commit_surely(&self, changes: Vec<Change>) -> Result<(), CommitError> {
        let verdicts = self.verdicts(changes).await?;
        first_conflict(verdicts).map(|_| ())
    }

    /// Commits changes of the daemon itself; one verdict for each.
    pub(crate) async fn verdicts(&self, changes: Vec<Change>) -> Result<Verdicts, CommitError> {
        let (reply, answer) = oneshot::channel();
        let request = Request { changes, change_id: Arc::default(), reply };
        if self.queue.send(request).await.is_err() {
            return Err(CommitError::NotAccepted);
        }
        answer.await.unwrap_or(Err(CommitError::NotAccepted))
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
pub(crate) async fn run(core: Arc<Core>, mut work: Work) {
    let mut sequence = 0;
    let mut life = core.own().incarnation;
    loop {
        let Some(first) = work.queue.recv().await else {
            return;
        };
        let started = Instant::now();
        let mut requests = vec![first];
        let mut count = requests[0].changes.len();
        while count < MAX_CHANGES
            && let Ok(next) = work.queue.try_recv()
        {
            count += next.changes.len();
            requests.push(next);
        }
        let writer = core.own();
        if writer.incarnation != life {
            life = writer.incarnation;
            sequence = 0;
        }
        sequence += 1;
        let id = BatchId { writer, sequence };
        write(&core, id, requests).await;
        tokio::time::sleep_until(started + SPACING).await;
    }
}

async fn write(core: &Core, id: BatchId, requests: Vec<Request>) {
    let mut changes = Vec::new();
    let mut waiting = Vec::new();
    for request in requests {
        let _ = request.change_id.set(outcomes::change_id(&id, changes.len()));
        if !request.reply.is_closed() {
            waiting.push((changes.len(), request.changes.len(), request.reply));
            changes.extend(request.changes);
        }
    }
    if changes.is_empty() {
        return;
    }
    let decided_on = core.state().applied;
    let batch = Batch { id: id.clone(), decided_on, written_at: clock::wall(), changes };
    let result = append(core, &id, Entry::Batch(batch).encode()).await;
    for (start, len, reply) in waiting {
        let part = result.clone();
        let _ = reply.send(part.map(|verdicts| verdicts[start..start + len].to_vec()));
    }
}

/// Appends a batch until its fate is certain.
async fn append(core: &Core, id: &BatchId, data: String) -> Result<Verdicts, CommitError> {
    let mut maybe = false;
    loop {
        let result = core.log.append(data.clone()).await;
        core.metrics.count_append(label(&result));
        match result {
            Err(AppendError::NotAppended) if !maybe => return Err(CommitError::NotAccepted),
            Err(AppendError::NotAppended) => {}
            Ok(_) | Err(AppendError::Unknown) => maybe = true,
        }
        if let Some(verdicts) = settled(core, id, SETTLE).await {
            return Ok(verdicts);
        }
        let passed = passed_by(core, id);
        // Folded between the last look and this one.
        let verdicts = core.outcomes().get(id).cloned();
        match (passed, verdicts) {
            (Passed::Not, _) => {}
            (Passed::Folded | Passed::Fenced, Some(verdicts)) => return Ok(verdicts),
            (Passed::Fenced, None) => return Err(CommitError::NotAccepted),
            (Passed::Folded, None) => {
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
enum Passed {
    /// Before the batch.
    Not,
    /// Past it: a later batch of this daemon's name was folded, so that this one never will be.
    Fenced,
    /// Past it, by a state taken from elsewhere: it was folded, with a verdict not known here.
    Folded,
}

fn passed_by(core: &Core, id: &BatchId) -> Passed {
    let state = core.state();
    let Some(last) = state.writers.get(&id.writer.daemon) else { return Passed::Not };
    let last = (last.incarnation, last.sequence);
    match last.cmp(&(id.writer.incarnation, id.sequence)) {
        std::cmp::Ordering::Less => Passed::Not,
        std::cmp::Ordering::Equal => Passed::Folded,
        std::cmp::Ordering::Greater => Passed::Fenced,
    }
}

/// Waits until the batch is folded.
async fn settled(core: &Core, id: &BatchId, patience: Duration) -> Option<Verdicts> {
    let mut states = core.state.subscribe();
    let until = Instant::now() + patience;
    loop {
        states.borrow_and_update();
        // The verdict is there before the state that it led to: whoever is told of a change must be
        // able to read it.
        let published = !matches!(passed_by(core, id), Passed::Not);
        let verdicts = core.outcomes().get(id).cloned();
        if let Some(verdicts) = verdicts.filter(|_| published) {
            return Some(verdicts);
        }
        tokio::time::timeout_at(until, states.changed()).await.ok()?.ok()?;
    }
}
