//! Handles callers' requests: submits, queries and cancels jobs.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use crosspath_border::ingress::{Access, Cancelled, Handler, Lookup, Resolved, Submitted};
use crosspath_border::operator::{DEFAULT_BODY_BYTES, Queue};
use crosspath_border::store::{Error as StoreError, NewRecord};
use crosspath_job::record::{Accepted, Policy, Record, Requester};
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
use crate::search::{self, Candidates, Location, Search};

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

/// The queue's pool is that of the shard from which a job is to be relocated.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SameShard;

/// A queue by the newest configuration.
#[derive(Debug)]
struct Current {
    queue: Queue,
    /// Version of the configuration.
    version: u64,
    /// Version since which the queue has its pool.
    since: u64,
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

    /// Search on behalf of a caller, for a job that is not to be stored.
    fn search<'a>(&'a self, access: &'a Access, job: JobId) -> Search<'a> {
        Search {
            node: &self.node,
            queue: &access.queue,
            requester: requester(access),
            job,
            version: self.node.table().map_or(0, |table| table.version),
            store_since: None,
            except: None,
        }
    }

    /// Shards to which the job's cancellation is appended: the job's shard, or all where it may be
    /// if the search does not find it. `None` if these are not all known.
    async fn shards_to_cancel(
        &self,
        access: &Access,
        job: JobId,
        deadline: Duration,
    ) -> Option<Vec<u32>> {
        let search = self.search(access, job);
        let Candidates { shards, incomplete } = search.candidates(deadline).await;
        if incomplete {
            return None;
        }
        let shards: Vec<u32> = shards.into_iter().map(|candidate| candidate.shard).collect();
        if shards.len() == 1 {
            return Some(shards);
        }
        let locate_deadline = deadline.min(clock::now() + LOCATE_TIMEOUT);
        match search.locate(locate_deadline).await {
            Location::InShard(shard, _) => Some(vec![shard]),
            Location::NotFound | Location::Unknown => Some(shards),
        }
    }

    /// Answer to a job that may have been submitted before its queue changed pools: it stays in its
    /// first pool. `None` if the job is in no pool of its queue.
    async fn resubmitted(&self, search: &Search<'_>, within: Duration) -> Option<Submitted> {
        let queue = search.queue;
        let known_by = clock::now() + within.mul_f64(REFUSE_FRACTION);
        // The pool has no shards while the daemon starts; the job is then refused without a wait.
        let may_store = self.node.map().is_complete_for(&queue.pool);
        if may_store && !assignment::wait_until_known(&self.node, known_by).await {
            return Some(Submitted::NotTaken { retry_after_s: self.retry_after_s() });
        }
        if search::pools_of(&self.node, queue).len() == 1 {
            return None;
        }
        match search.locate(self.lookup_deadline(within)).await {
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

    /// Whether the configuration was still the newest one after the assignment of the queue to its
    /// pool had become known. If so, every daemon that applies a later configuration without those
    /// before it finds that pool recorded; see [`crate::assignment`].
    async fn confirm_configuration(&self, current: &Current) -> bool {
        let Current { queue, version, since } = current;
        if self.node.is_queue_confirmed(&queue.name, *since) {
            return true;
        }
        let learned_at = self.node.assignment_learned_at(&Assignment::of(queue));
        let learned_at = learned_at.unwrap_or_else(clock::now);
        let is_newest = config_sync::is_newest_after(&self.node, *version, learned_at).await;
        if is_newest {
            self.node.set_queue_confirmed(&queue.name, *since);
        }
        is_newest
    }

    fn current(&self, queue: &str) -> Option<Current> {
        let table = self.node.table()?;
        let queue = table.queue(queue)?.clone();
        let (version, since) = (table.version, table.assigned_since(&queue));
        Some(Current { queue, version, since })
    }

    /// Stores a job in the pool that its queue has now, unless it is stored in one that the queue had
    /// before. `except` is the shard that a job is relocated from; `None` for a new job.
    ///
    /// # Errors
    ///
    /// [`SameShard`] if the job, which no other shard has, would be stored in `except`.
    pub(crate) async fn store(
        &self,
        job: JobId,
        accepted: Accepted,
        within: Duration,
        except: Option<u32>,
    ) -> Result<Submitted, SameShard> {
        let Some(current) = self.current(&accepted.queue) else {
            return Ok(Submitted::NotTaken { retry_after_s: RETRY_AFTER_S });
        };
        let Current { queue, version, since } = &current;
        let long_running = accepted.spec.steps.iter().any(|step| step.long_running);
        let shard = self.node.map().shard_for_new_job(&queue.pool, job, long_running);
        if shard.is_some() && !self.record_assignment(queue, within).await {
            return Ok(Submitted::NotTaken { retry_after_s: self.retry_after_s() });
        }
        let has_other_pools = search::pools_of(&self.node, queue).len() > 1;
        if shard.is_some() && has_other_pools && !self.confirm_configuration(&current).await {
            return Ok(Submitted::NotTaken { retry_after_s: RETRY_AFTER_S });
        }
        let search = Search {
            node: &self.node,
            queue,
            requester: accepted.requester(),
            job,
            version: *version,
            store_since: Some(*since),
            except,
        };
        if let Some(answer) = self.resubmitted(&search, within).await {
            return Ok(answer);
        }
        let Some(shard) = shard else {
            log::info!("event=submit job={job} queue={} outcome=no_shard", queue.name);
            return Ok(Submitted::NotTaken { retry_after_s: RETRY_AFTER_S });
        };
        if except == Some(shard) {
            return Err(SameShard);
        }
        let accepted = Accepted {
            pool: Arc::clone(&queue.pool),
            advice: queue.advice,
            config_version: *version,
            ..accepted
        };
        Ok(self.append_job(shard, job, accepted, within).await)
    }

    async fn append_job(
        &self,
        shard: u32,
        job: JobId,
        accepted: Accepted,
        within: Duration,
    ) -> Submitted {
        let (queue, customer) = (Arc::clone(&accepted.queue), accepted.customer.clone());
        let record = NewRecord::from(&Record::Accepted(job, Arc::new(accepted)));
        let max = self.node.store.limits().record_bytes;
        if record.size() > max {
            log::info!("event=submit job={job} queue={queue} outcome=too_large");
            return Submitted::TooLarge { bytes: record.size(), max };
        }
        let started_at = clock::now();
        let deadlines = Self::submit_deadlines(within);
        let outcome = appender::append(&self.node, shard, record, deadlines).await;
        let took = clock::now().saturating_sub(started_at);
        log::info!(
            "event=submit job={job} queue={queue} shard={shard} outcome={outcome:?} took_ms={}",
            took.as_millis()
        );
        match outcome {
            Outcome::Kept => Submitted::Accepted,
            Outcome::Taken => Submitted::Taken,
            Outcome::Refused(refusal) => {
                let customer = customer.as_deref().unwrap_or_default();
                self.node.metrics.admission.observe(customer, refusal);
                Submitted::NotTaken { retry_after_s: whole_seconds(refusal.retry_after_ms) }
            }
            Outcome::NotKept | Outcome::Unsent => {
                Submitted::NotTaken { retry_after_s: self.retry_after_s() }
            }
            Outcome::Unknown => Submitted::Unknown,
        }
    }

    /// Whether the newest configuration lacks the queue.
    pub(crate) fn is_queue_removed(&self, queue: &str) -> bool {
        self.node.table().is_some_and(|table| table.queue(queue).is_none())
    }

    /// Whether a job of a queue that was removed is stored in another shard than `except`; `None` if
    /// that is not known.
    pub(crate) async fn is_stored_elsewhere(
        &self,
        job: JobId,
        accepted: &Accepted,
        within: Duration,
        except: u32,
    ) -> Option<bool> {
        let queue = removed_queue(&accepted.queue, &accepted.pool);
        let search = self.search_elsewhere(&queue, accepted.requester(), job, except);
        match search.locate(clock::now() + within).await {
            Location::InShard(..) => Some(true),
            Location::NotFound => Some(false),
            Location::Unknown => None,
        }
    }

    /// Search for a job that is not to be stored, in all shards but one.
    fn search_elsewhere<'a>(
        &'a self,
        queue: &'a Queue,
        requester: Requester,
        job: JobId,
        except: u32,
    ) -> Search<'a> {
        let version = self.node.table().map_or(0, |table| table.version);
        Search {
            node: &self.node,
            queue,
            requester,
            job,
            version,
            store_since: None,
            except: Some(except),
        }
    }

    /// Appends a cancellation to all shards where the job may be, apart from `except`; returns whether
    /// it is stored in all of them.
    pub(crate) async fn store_cancellation(
        &self,
        job: JobId,
        by: &Requester,
        within: Duration,
        except: u32,
    ) -> bool {
        let deadline = clock::now() + within;
        let queue = match self.current(&by.queue) {
            Some(current) => current.queue,
            None => {
                let pool_slices = self.node.map().by_shard();
                let Some(own) = pool_slices.get(&except) else { return false };
                removed_queue(&by.queue, &own.pool)
            }
        };
        let search = self.search_elsewhere(&queue, by.clone(), job, except);
        let candidates = search.candidates(deadline).await;
        if candidates.incomplete {
            return false;
        }
        let record = NewRecord::from(&Record::Cancelled(job, by.clone()));
        let deadlines = Deadlines::until(deadline);
        let shards = candidates.shards.into_iter().map(|candidate| candidate.shard);
        let appends = shards
            .filter(|shard| *shard != except)
            .map(|shard| appender::append(&self.node, shard, record.clone(), deadlines));
        join_all(appends).await.iter().all(|outcome| *outcome == Outcome::Kept)
    }
}

/// Queue that the configuration lacks, to search for its jobs in the pools that it has used.
fn removed_queue(name: &Arc<str>, pool: &Arc<str>) -> Queue {
    Queue {
        name: Arc::clone(name),
        host: "".into(),
        prefix: "".into(),
        pool: Arc::clone(pool),
        policy: Policy { priority: 0, max_attempts: 0, stretch: 0.0, target_ms: 0 },
        advice: None,
        open: false,
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
        let accepted = Accepted {
            queue: Arc::clone(&queue.name),
            customer: access.customer.clone(),
            pool: Arc::clone(&queue.pool),
            policy: queue.policy,
            advice: queue.advice,
            config_version: 0,
            at_ms: clock::wall_ms(),
            spec,
        };
        let answer = self.store(job, accepted, within, None).await;
        let answer = answer.unwrap_or(Submitted::NotTaken { retry_after_s: RETRY_AFTER_S });
        let took = clock::now().saturating_sub(started_at);
        self.node.metrics.observe_call(Call::Submit, &queue.name, took);
        answer
    }

    async fn state(&self, access: &Access, job: JobId, within: Duration) -> Lookup {
        let started_at = clock::now();
        let search = self.search(access, job);
        let lookup = match search.locate(self.lookup_deadline(within)).await {
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
        let deadlines = Deadlines::until(deadline);
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
        let mut pools = search::pools_of(&self.node, queue);
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
