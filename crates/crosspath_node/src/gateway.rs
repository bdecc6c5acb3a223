//! What callers are answered.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use crosspath_border::ingress::{Access, Cancelled, Handler, Lookup, Resolved, Submitted};
use crosspath_border::operator::{DEFAULT_BODY_BYTES, Queue};
use crosspath_job::progress::State;
use crosspath_job::record::{Accepted, Record, Requester};
use crosspath_job::{JobId, Spec};
use futures::future::join_all;

use crate::appender;
use crate::clock;
use crate::fresh;
use crate::metrics::Call;
use crate::node::Node;
use crate::pending::{Deadlines, Outcome};
use crate::rpc::{self, Answer, Question};

/// Share of a caller's patience that is used for tries to find out how a job is, or whether it is kept.
/// Less than half: by then the caller should have its answer.
const PATIENCE: f64 = 0.45;
/// Share of it after which a job that surely is not kept is refused, so that the caller can come
/// back in time. Two or three tries, each of which also goes through other daemons.
const REFUSAL_PATIENCE: f64 = 0.15;
/// Share of it after which a job that was not sent yet is taken back: while the store is slow it waits
/// for an append under way, and is better served by the next than by coming back.
const WAIT_PATIENCE: f64 = 0.3;
/// Between questions to a holder that is not known or is taking over.
const ASK_PAUSE: Duration = Duration::from_millis(60);
/// A caller that was refused comes back after this: about the time of a takeover.
const RETRY_AFTER_S: u32 = 1;
/// The same while the store is silent or has been down for [`LONG_DOWN`]: outages take some seconds, and
/// callers try a few times only.
const SILENT_RETRY_AFTER_S: u32 = 2;

/// A store that has been down for so long is taken for away; what is down for less may be back within a
/// second.
const LONG_DOWN: Duration = Duration::from_secs(1);
/// For which a cancel looks for its job's shard before it goes to all where the job may be.
const FIND_PATIENCE: Duration = Duration::from_millis(400);

/// Where a job is.
#[derive(Debug, Clone, Copy)]
enum Found {
    /// In a shard.
    At(u32, State),
    /// No owner knows it.
    Nowhere,
    /// Some owner does not answer.
    Unsure,
}

/// The callers' side of the daemon.
#[derive(Debug)]
pub struct Gateway {
    node: Arc<Node>,
}

impl Gateway {
    pub(crate) fn new(node: Arc<Node>) -> Self {
        Self { node }
    }

    fn until(&self, within: Duration) -> Duration {
        clock::now() + within.mul_f64(PATIENCE)
    }

    /// When a caller whose record was not kept is to come back.
    fn retry_after_s(&self) -> u32 {
        let now = clock::now();
        let down = self.node.store_down_for(now).is_some_and(|down| down >= LONG_DOWN);
        if down || self.node.is_store_silent(now) { SILENT_RETRY_AFTER_S } else { RETRY_AFTER_S }
    }

    fn patience(within: Duration) -> Deadlines {
        let now = clock::now();
        Deadlines {
            send_by: now + within.mul_f64(WAIT_PATIENCE),
            refuse_at: now + within.mul_f64(REFUSAL_PATIENCE),
            unknown_at: now + within.mul_f64(PATIENCE),
        }
    }

    /// Asks the owners of all shards where the queue's job may be.
    async fn find(&self, access: &Access, job: JobId, until: Duration) -> Found {
        let queue = &access.queue;
        let pools = match self.node.table() {
            Some(table) => table.pools_of(queue),
            None => [Arc::clone(&queue.pool)].into(),
        };
        let mut unsure = false;
        for pool in pools {
            let Some(shards) = self.node.map().candidate_shards(&pool, job) else {
                unsure = true;
                continue;
            };
            for shard in shards {
                match self.ask_state(shard, job, asker(access), until).await {
                    Some(Some(state)) => return Found::At(shard, state),
                    Some(None) => {}
                    None => unsure = true,
                }
            }
        }
        if unsure { Found::Unsure } else { Found::Nowhere }
    }

    /// Shards whose owner is to hear that the job is cancelled: the job's, or all where it may be
    /// while no owner knows it.
    async fn shards_to_cancel(
        &self,
        access: &Access,
        job: JobId,
        until: Duration,
    ) -> Option<Vec<u32>> {
        let queue = &access.queue;
        let shards = self.node.map().candidate_shards(&queue.pool, job)?;
        if shards.len() == 1 && !self.has_moved(queue) {
            return Some(shards);
        }
        let soon = until.min(clock::now() + FIND_PATIENCE);
        match self.find(access, job, soon).await {
            Found::At(shard, _) => Some(vec![shard]),
            Found::Nowhere | Found::Unsure => Some(shards),
        }
    }

    /// Whether the queue had another pool before.
    fn has_moved(&self, queue: &Queue) -> bool {
        self.node.table().is_some_and(|table| table.pools_of(queue).len() > 1)
    }

    async fn ask_state(
        &self,
        shard: u32,
        job: JobId,
        asker: Requester,
        until: Duration,
    ) -> Option<Option<State>> {
        loop {
            let question = Question::State { shard, job, asker: asker.clone() };
            if let Some(Answer::State(state)) = rpc::ask_holder(&self.node, shard, question).await {
                return Some(state);
            }
            if clock::now() + ASK_PAUSE > until {
                return None;
            }
            tokio::time::sleep(ASK_PAUSE).await;
        }
    }
}

fn asker(access: &Access) -> Requester {
    Requester { queue: Arc::clone(&access.queue.name), customer: access.customer.clone() }
}

#[async_trait]
impl Handler for Gateway {
    fn resolve(&self, host: &str, path: &str, key: Option<&str>) -> Resolved {
        let Some(table) = self.node.table() else { return Resolved::NotReady };
        let refused = |refusal| {
            if fresh::may_be_old(self.node.operators_heard(), clock::now()) {
                Resolved::MaybeStale { retry_after_s: RETRY_AFTER_S }
            } else {
                refusal
            }
        };
        let Some((queue, rest)) = table.resolve(host, path) else {
            return refused(Resolved::Unknown);
        };
        match table.authorize(&queue, key) {
            Some(caller) => {
                Resolved::Access(Access { queue, customer: caller.customer(), subpath: rest })
            }
            None => refused(Resolved::Unauthorized),
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
        let began = clock::now();
        let queue = &access.queue;
        // A job that arrives again after its queue has moved is still the job of its first pool.
        if self.has_moved(queue) {
            match self.find(access, job, self.until(within)).await {
                Found::At(..) => return Submitted::Accepted,
                Found::Nowhere => {}
                Found::Unsure => return Submitted::NotTaken { retry_after_s: RETRY_AFTER_S },
            }
        }
        let lasts = spec.steps.iter().any(|step| step.long_running);
        let Some(shard) = self.node.map().shard_for_new_job(&queue.pool, job, lasts) else {
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
        let record = Record::Accepted(job, Arc::new(accepted));
        let patience = Self::patience(within);
        let outcome = appender::append(&self.node, shard, &record, patience).await;
        let took = clock::now().saturating_sub(began);
        log::info!(
            "event=submit job={job} queue={} shard={shard} outcome={outcome:?} took_ms={}",
            queue.name,
            took.as_millis()
        );
        self.node.metrics.called(Call::Submit, &queue.name, took);
        match outcome {
            Outcome::Kept => Submitted::Accepted,
            Outcome::Taken => Submitted::Taken,
            Outcome::NotKept | Outcome::Unsent => {
                Submitted::NotTaken { retry_after_s: self.retry_after_s() }
            }
            Outcome::Unknown => Submitted::Unknown,
        }
    }

    async fn state(&self, access: &Access, job: JobId, within: Duration) -> Lookup {
        let began = clock::now();
        let shown = match self.find(access, job, self.until(within)).await {
            Found::At(_, state) => Lookup::State(state),
            Found::Nowhere => Lookup::None,
            Found::Unsure => Lookup::Unavailable { retry_after_s: RETRY_AFTER_S },
        };
        let took = clock::now().saturating_sub(began);
        log::info!("event=state job={job} shown={shown:?} took_ms={}", took.as_millis());
        self.node.metrics.called(Call::State, &access.queue.name, took);
        shown
    }

    async fn cancel(&self, access: &Access, job: JobId, within: Duration) -> Cancelled {
        let began = clock::now();
        let until = self.until(within);
        let Some(shards) = self.shards_to_cancel(access, job, until).await else {
            return Cancelled::Unavailable { retry_after_s: RETRY_AFTER_S };
        };
        let record = Record::Cancelled(job, asker(access));
        // A cancel is worth as many tries as the caller waits for.
        let patience = Deadlines { send_by: until, refuse_at: until, unknown_at: until };
        let appends =
            shards.iter().map(|shard| appender::append(&self.node, *shard, &record, patience));
        let outcomes = join_all(appends).await;
        let outcome = outcomes.into_iter().find(|outcome| *outcome != Outcome::Kept);
        let outcome = outcome.unwrap_or(Outcome::Kept);
        let took = clock::now().saturating_sub(began);
        log::info!("event=cancel job={job} outcome={outcome:?} took_ms={}", took.as_millis());
        self.node.metrics.called(Call::Cancel, &access.queue.name, took);
        match outcome {
            Outcome::Kept => Cancelled::Done,
            Outcome::NotKept | Outcome::Unsent => {
                Cancelled::Unavailable { retry_after_s: self.retry_after_s() }
            }
            Outcome::Unknown | Outcome::Taken => Cancelled::Unknown,
        }
    }

    async fn queued_jobs(&self, queue: &Queue) -> Option<u64> {
        let table = self.node.table()?;
        let map = self.node.map();
        let pools = table.pools_of(queue);
        let units = pools.iter().flat_map(|pool| map.pool_slices(pool));
        let shards = units.map(|unit| map.shard(&unit)).collect::<Option<Vec<_>>>()?;
        let asks = shards.into_iter().map(|shard| {
            let question = Question::Waiting { shard, queue: Arc::clone(&queue.name) };
            rpc::ask_holder(&self.node, shard, question)
        });
        let mut total = 0;
        for answer in join_all(asks).await {
            let Some(Answer::Waiting(waiting)) = answer else { return None };
            total += waiting;
        }
        Some(total)
    }
}
