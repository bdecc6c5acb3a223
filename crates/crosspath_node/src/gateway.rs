//! Handles callers' requests: submits, queries and cancels jobs.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use crosspath_border::ingress::{Access, Cancelled, Handler, Lookup, Resolved, Submitted};
use crosspath_border::operator::{DEFAULT_BODY_BYTES, Queue};
use crosspath_border::store::{Error as StoreError, NewRecord};
use crosspath_job::progress::State;
use crosspath_job::record::{Accepted, Record, Requester};
use crosspath_job::{JobId, Spec};
use futures::future::join_all;

use crate::appender;
use crate::assignment::{self, Assignment};
use crate::clock;
use crate::config_sync;
use crate::metrics::Call;
use crate::node::Node;
use crate::pending::{Deadlines, Outcome};
use crate::rpc::{self, Reply, Request};

/// Fraction of a caller's timeout that is spent on attempts to determine a job's state, or whether
/// it is stored. Less than half, since the caller should have its answer by then.
const UNKNOWN_FRACTION: f64 = 0.45;
/// Fraction of a caller's timeout after which a job that is certainly not stored is refused, so
/// that the caller can retry in time. It allows for two or three attempts, each of which also goes
/// through other daemons.
const REFUSE_FRACTION: f64 = 0.15;
/// Fraction of a caller's timeout after which a job that has not been sent is withdrawn. While
/// the store is slow, the job waits for an append in flight, and the next append serves it better
/// than a retry of the caller.
const SEND_FRACTION: f64 = 0.3;
/// Interval between queries for a job while the shard's holder is unknown, is taking over, or does
/// not answer.
const OWNER_RETRY_INTERVAL: Duration = Duration::from_millis(60);
/// Delay in seconds after which a refused caller should retry: about the time that a takeover
/// takes.
const RETRY_AFTER_S: u32 = 1;
/// The same while the store does not answer or has been down for [`OUTAGE_THRESHOLD`]. Longer,
/// since outages last some seconds and callers retry only a few times.
const OUTAGE_RETRY_AFTER_S: u32 = 2;

/// Time after which a store that is down counts as having an outage; before that, it may be back
/// within a second.
const OUTAGE_THRESHOLD: Duration = Duration::from_secs(1);
/// Time for which a cancellation searches for the job's shard before it is appended to all shards
/// where the job may be.
const LOCATE_TIMEOUT: Duration = Duration::from_millis(400);

/// Result of the search for a job's shard.
#[derive(Debug, Clone, Copy)]
enum Location {
    /// The owner of this shard has the job, in this state.
    InShard(u32, State),
    /// All owners answered, and none has the job.
    NotFound,
    /// Not found, but some owner did not answer.
    Unknown,
}

/// Shards where a job may be.
#[derive(Debug, Default)]
struct Candidates {
    /// Known ones, the more likely first.
    shards: Vec<u32>,
    /// Whether there may be others, which are not known yet.
    incomplete: bool,
}

/// Handler of the callers' requests at one daemon.
#[derive(Debug)]
pub struct Gateway {
    node: Arc<Node>,
}

impl Gateway {
    pub(crate) fn new(node: Arc<Node>) -> Self {
        Self { node }
    }

    fn lookup_deadline(&self, within: Duration) -> Duration {
        clock::now() + within.mul_f64(UNKNOWN_FRACTION)
    }

    /// Delay in seconds after which a caller whose record was not stored should retry.
    fn retry_after_s(&self) -> u32 {
        let now = clock::now();
        let down = self.node.store_down_for(now).is_some_and(|down| down >= OUTAGE_THRESHOLD);
        if down || self.node.is_store_silent(now) { OUTAGE_RETRY_AFTER_S } else { RETRY_AFTER_S }
    }

    fn submit_deadlines(within: Duration) -> Deadlines {
        let now = clock::now();
        Deadlines {
            send_by: now + within.mul_f64(SEND_FRACTION),
            refuse_at: now + within.mul_f64(REFUSE_FRACTION),
            unknown_at: now + within.mul_f64(UNKNOWN_FRACTION),
        }
    }

    /// Pools in which jobs of the queue may be, as far as they are known.
    fn pools_of(&self, queue: &Queue) -> BTreeSet<Arc<str>> {
        match self.node.table() {
            Some(table) => table.pools_of(queue, self.node.map().assignments()),
            None => [Arc::clone(&queue.pool)].into(),
        }
    }

    /// Finds the shards where a job of the queue may be, in its current pool and in earlier ones.
    async fn candidates(&self, queue: &Queue, job: JobId, deadline: Duration) -> Candidates {
        let incomplete = !assignment::wait_until_known(&self.node, deadline).await;
        let mut candidates = Candidates { shards: Vec::new(), incomplete };
        let map = self.node.map();
        let mut pools = self.pools_of(queue);
        pools.remove(&queue.pool);
        for pool in [&queue.pool].into_iter().chain(&pools) {
            match map.candidate_shards(pool, job) {
                Some(shards) => candidates.shards.extend(shards),
                // No job is stored in a pool before it has shards.
                None => {
                    candidates.incomplete |= *pool == queue.pool || self.node.is_map_outdated();
                }
            }
        }
        candidates
    }

    /// Searches for a job by querying the owners of all shards where a job of this queue may be.
    async fn locate(&self, access: &Access, job: JobId, deadline: Duration) -> Location {
        let candidates = self.candidates(&access.queue, job, deadline).await;
        let mut incomplete = candidates.incomplete;
        for shard in candidates.shards {
            match self.query_state(shard, job, requester(access), deadline).await {
                Some(Some(state)) => return Location::InShard(shard, state),
                Some(None) => {}
                None => incomplete = true,
            }
        }
        if incomplete { Location::Unknown } else { Location::NotFound }
    }

    /// Shards to which the job's cancellation is appended: the job's shard, or all where it may be
    /// if the search does not find it. `None` if these are not all known.
    async fn shards_to_cancel(
        &self,
        access: &Access,
        job: JobId,
        deadline: Duration,
    ) -> Option<Vec<u32>> {
        let Candidates { shards, incomplete } = self.candidates(&access.queue, job, deadline).await;
        if incomplete {
            return None;
        }
        if shards.len() == 1 {
            return Some(shards);
        }
        let locate_deadline = deadline.min(clock::now() + LOCATE_TIMEOUT);
        match self.locate(access, job, locate_deadline).await {
            Location::InShard(shard, _) => Some(vec![shard]),
            Location::NotFound | Location::Unknown => Some(shards),
        }
    }

    /// Answer to a job that may have been submitted before its queue changed pools: it stays in its
    /// first pool. `None` if the job is in no pool of its queue.
    async fn resubmitted(
        &self,
        access: &Access,
        job: JobId,
        within: Duration,
    ) -> Option<Submitted> {
        let queue = &access.queue;
        let known_by = clock::now() + within.mul_f64(REFUSE_FRACTION);
        // The pool has no shards while the daemon starts; the job is then refused without a wait.
        let may_store = self.node.map().is_complete_for(&queue.pool);
        if may_store && !assignment::wait_until_known(&self.node, known_by).await {
            return Some(Submitted::NotTaken { retry_after_s: self.retry_after_s() });
        }
        if self.pools_of(queue).len() == 1 {
            return None;
        }
        match self.locate(access, job, self.lookup_deadline(within)).await {
            Location::InShard(..) => Some(Submitted::Accepted),
            Location::NotFound => None,
            Location::Unknown => Some(Submitted::NotTaken { retry_after_s: RETRY_AFTER_S }),
        }
    }

    /// Records that the queue uses its pool, before a job of it is stored there. Returns whether that
    /// is recorded.
    async fn record_assignment(&self, queue: &Queue, within: Duration) -> bool {
        if self.node.map().assignments().contains(&Assignment::of(queue)) {
            return true;
        }
        let timeout = within.mul_f64(REFUSE_FRACTION);
        let recorded = tokio::time::timeout(timeout, assignment::record(&self.node, queue)).await;
        let Err(error) = recorded.unwrap_or(Err(StoreError::NoAnswer)) else { return true };
        log::info!(
            "event=queue_not_assigned queue={} pool={} error=\"{error}\"",
            queue.name,
            queue.pool
        );
        false
    }

    async fn query_state(
        &self,
        shard: u32,
        job: JobId,
        requester: Requester,
        deadline: Duration,
    ) -> Option<Option<State>> {
        loop {
            let request = Request::State { shard, job, requester: requester.clone() };
            if let Some(Reply::State(state)) = rpc::call_holder(&self.node, shard, request).await {
                return Some(state);
            }
            if clock::now() + OWNER_RETRY_INTERVAL > deadline {
                return None;
            }
            tokio::time::sleep(OWNER_RETRY_INTERVAL).await;
        }
    }
}

/// Number of whole seconds after which `delay_ms` is over.
fn whole_seconds(delay_ms: u64) -> u32 {
    u32::try_from(delay_ms.div_ceil(1_000)).unwrap_or(u32::MAX)
}

fn requester(access: &Access) -> Requester {
    Requester { queue: Arc::clone(&access.queue.name), customer: access.customer.clone() }
}

#[async_trait]
impl Handler for Gateway {
    fn resolve(&self, host: &str, path: &str, key: Option<&str>) -> Resolved {
        let Some(table) = self.node.table() else { return Resolved::NotReady };
        let unless_stale = |refusal| {
            if config_sync::may_be_stale(self.node.operator_log_confirmed_at(), clock::now()) {
                Resolved::MaybeStale { retry_after_s: RETRY_AFTER_S }
            } else {
                refusal
            }
        };
        let Some((queue, subpath)) = table.resolve(host, path) else {
            return unless_stale(Resolved::Unknown);
        };
        match table.authorize(&queue, key) {
            Some(caller) => {
                Resolved::Access(Access { queue, customer: caller.customer(), subpath })
            }
            None => unless_stale(Resolved::Unauthorized),
        }
    }

    fn body_limit(&self) -> u64 {
        self.node.table().map_or(DEFAULT_BODY_BYTES, |table| table.config.body_bytes)
    }

    fn is_ready(&self) -> bool {
        let pools_known = self.node.table().is_some_and(|table| {
            let serving = table.config.pools.iter().filter(|pool| !pool.spare);
            let map = self.node.map();
            serving.into_iter().all(|pool| map.is_complete_for(&pool.name))
        });
        pools_known && !self.node.is_stopping()
    }

    async fn submit(&self, access: &Access, job: JobId, spec: Spec, within: Duration) -> Submitted {
        let started_at = clock::now();
        let queue = &access.queue;
        let long_running = spec.steps.iter().any(|step| step.long_running);
        let shard = self.node.map().shard_for_new_job(&queue.pool, job, long_running);
        if shard.is_some() && !self.record_assignment(queue, within).await {
            return Submitted::NotTaken { retry_after_s: self.retry_after_s() };
        }
        if let Some(answer) = self.resubmitted(access, job, within).await {
            return answer;
        }
        let Some(shard) = shard else {
            log::info!("event=submit job={job} queue={} outcome=no_shard", queue.name);
            return Submitted::NotTaken { retry_after_s: RETRY_AFTER_S };
        };
        let accepted = Accepted {
            queue: Arc::clone(&queue.name),
            customer: access.customer.clone(),
            pool: Arc::clone(&queue.pool),
            policy: queue.policy,
            advice: queue.advice,
            at_ms: clock::wall_ms(),
            spec,
        };
        let record = NewRecord::from(&Record::Accepted(job, Arc::new(accepted)));
        let max = self.node.store.limits().record_bytes;
        if record.size() > max {
            log::info!("event=submit job={job} queue={} outcome=too_large", queue.name);
            return Submitted::TooLarge { bytes: record.size(), max };
        }
        let deadlines = Self::submit_deadlines(within);
        let outcome = appender::append(&self.node, shard, record, deadlines).await;
        let took = clock::now().saturating_sub(started_at);
        log::info!(
            "event=submit job={job} queue={} shard={shard} outcome={outcome:?} took_ms={}",
            queue.name,
            took.as_millis()
        );
        self.node.metrics.observe_call(Call::Submit, &queue.name, took);
        match outcome {
            Outcome::Kept => Submitted::Accepted,
            Outcome::Taken => Submitted::Taken,
            Outcome::Refused(refusal) => {
                let customer = access.customer.as_deref().unwrap_or_default();
                self.node.metrics.admission.observe(customer, refusal);
                Submitted::NotTaken { retry_after_s: whole_seconds(refusal.retry_after_ms) }
            }
            Outcome::NotKept | Outcome::Unsent => {
                Submitted::NotTaken { retry_after_s: self.retry_after_s() }
            }
            Outcome::Unknown => Submitted::Unknown,
        }
    }

    async fn state(&self, access: &Access, job: JobId, within: Duration) -> Lookup {
        let started_at = clock::now();
        let lookup = match self.locate(access, job, self.lookup_deadline(within)).await {
            Location::InShard(_, state) => Lookup::State(state),
            Location::NotFound => Lookup::None,
            Location::Unknown => Lookup::Unavailable { retry_after_s: RETRY_AFTER_S },
        };
        let took = clock::now().saturating_sub(started_at);
        log::info!("event=state job={job} shown={lookup:?} took_ms={}", took.as_millis());
        self.node.metrics.observe_call(Call::State, &access.queue.name, took);
        lookup
    }

    async fn cancel(&self, access: &Access, job: JobId, within: Duration) -> Cancelled {
        let started_at = clock::now();
        let deadline = self.lookup_deadline(within);
        let Some(shards) = self.shards_to_cancel(access, job, deadline).await else {
            return Cancelled::Unavailable { retry_after_s: RETRY_AFTER_S };
        };
        let record = NewRecord::from(&Record::Cancelled(job, requester(access)));
        // Appending a cancellation is attempted as long as the caller waits.
        let deadlines = Deadlines { send_by: deadline, refuse_at: deadline, unknown_at: deadline };
        let appends = shards
            .iter()
            .map(|shard| appender::append(&self.node, *shard, record.clone(), deadlines));
        let outcomes = join_all(appends).await;
        let outcome = outcomes.into_iter().find(|outcome| *outcome != Outcome::Kept);
        let outcome = outcome.unwrap_or(Outcome::Kept);
        let took = clock::now().saturating_sub(started_at);
        log::info!("event=cancel job={job} outcome={outcome:?} took_ms={}", took.as_millis());
        self.node.metrics.observe_call(Call::Cancel, &access.queue.name, took);
        match outcome {
            Outcome::Kept => Cancelled::Done,
            Outcome::NotKept | Outcome::Unsent | Outcome::Refused(_) => {
                Cancelled::Unavailable { retry_after_s: self.retry_after_s() }
            }
            Outcome::Unknown | Outcome::Taken => Cancelled::Unknown,
        }
    }

    async fn queued_jobs(&self, queue: &Queue) -> Option<u64> {
        let map = self.node.map();
        let mut pools = self.pools_of(queue);
        pools.retain(|pool| *pool == queue.pool || map.is_complete_for(pool));
        let pool_slices = pools.iter().flat_map(|pool| map.pool_slices(pool));
        let shards =
            pool_slices.map(|pool_slice| map.shard(&pool_slice)).collect::<Option<Vec<_>>>()?;
        let calls = shards.into_iter().map(|shard| {
            let request = Request::QueuedJobs { shard, queue: Arc::clone(&queue.name) };
            rpc::call_holder(&self.node, shard, request)
        });
        let mut total = 0;
        for reply in join_all(calls).await {
            let Some(Reply::QueuedJobs(queued)) = reply else { return None };
            total += queued;
        }
        Some(total)
    }
}
