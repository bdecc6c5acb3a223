//! Owns a shard: claims it, follows its records, and executes the actions of its scheduler.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crosspath_border::advice::Error as AdviceError;
use crosspath_border::store::{NewRecord, Stored};
use crosspath_border::worker::{Entry, Start};
use crosspath_job::JobId;
use crosspath_job::record::{Accepted, Record, Requester};
use crosspath_schedule::admission::{Rules, Verdict};
use crosspath_schedule::domains::Down;
use crosspath_schedule::lease::Terms;
use crosspath_schedule::{Action, Event, Scheduler, Settings, report};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::backoff::{self, Backoff};
use crate::claim::{Claim, claim};
use crate::clock;
use crate::feed;
use crate::inputs::Inputs;
use crate::map::PoolSlice;
use crate::membership::TTL;
use crate::node::{Node, shard_partition};
use crate::order::Order;
use crate::pages::Pages;
use crate::relocation::Relocation;
use crate::rpc::{self, Assigned, Reply, Request};
use crate::shard_log::{append_owned, ask_previous_owner, decode, follow, request_event};
use crate::watch::{self, Watch};

/// Lease length that a poll extends to; see [`Terms::extension`].
const LEASE_EXTENSION: Duration = Duration::from_millis(5_000);
/// Lease length that a start asks for; see [`Terms::initial`].
const INITIAL_LEASE: Duration = Duration::from_millis(2_000);
/// Allowance for clock drift: 2 % for a worker's clock that runs slow, and 2 % for this daemon's
/// clock.
const CLOCK_SLACK: f64 = 0.04;
/// Interval between decisions when there are no events.
const TICK: Duration = Duration::from_millis(50);
/// Interval between decisions while changes are collected for a commit.
const COMMIT_TICK: Duration = Duration::from_millis(12);
/// Maximum number of received events that are handled before the next decision.
const MAX_EVENTS: usize = 64;

type SharedScheduler = Arc<Mutex<Option<Scheduler>>>;

/// A shard assigned to this daemon. Dropping the handle ends its ownership.
#[derive(Debug)]
pub(crate) struct Handle {
    pool_slice: Option<PoolSlice>,
    events: mpsc::UnboundedSender<Event>,
    scheduler: SharedScheduler,
    task: JoinHandle<()>,
    /// Newest planning round whose instructions were followed.
    last_round: Mutex<Option<Round>>,
}

/// Planning round of the fleet's owners: epoch of the owner's claim, and number of the round within
/// it. A later round is greater.
pub(crate) type Round = (u64, u64);

fn scheduler(shared: &SharedScheduler) -> std::sync::MutexGuard<'_, Option<Scheduler>> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Handle {
    /// Starts ownership of a shard: that of a pool slice, or the fleet's shard if `pool_slice` is
    /// `None`.
    pub(crate) fn start(node: &Arc<Node>, number: u32, pool_slice: Option<PoolSlice>) -> Self {
        let (events, receiver) = mpsc::unbounded_channel();
        let shared = SharedScheduler::default();
        let task = if let Some(pool_slice) = pool_slice.clone() {
            let owner = Owner {
                node: Arc::clone(node),
                number,
                pool_slice,
                shared: Arc::clone(&shared),
                previous_owner: node
                    .holder(number)
                    .filter(|previous| *previous != node.settings.peers),
                events: events.clone(),
            };
            tokio::spawn(owner.run(receiver))
        } else {
            tokio::spawn(crate::fleet::run(Arc::clone(node)))
        };
        Self { pool_slice, events, scheduler: shared, task, last_round: Mutex::default() }
    }

    /// Pool slice of the shard; `None` for the fleet's shard.
    pub(crate) fn pool_slice(&self) -> Option<&PoolSlice> {
        self.pool_slice.as_ref()
    }

    pub(crate) fn send(&self, event: Event) {
        // The owner's task may have ended; it needs no events then.
        self.events.send(event).ok();
    }

    /// Passes on a record that was appended to the shard for a caller's request.
    pub(crate) fn notify(&self, record: Record) {
        if let Some(event) = request_event(record) {
            self.send(event);
        }
    }

    /// State of a job of the requester. [`Reply::NotOwner`] while the shard is being taken over, or if
    /// the job may have been stored in another pool that the requester does not know of.
    pub(crate) fn find(
        &self,
        job: JobId,
        requester: &Requester,
        assigned: Option<Assigned>,
        ignores_misplaced: bool,
    ) -> Reply {
        let shared = scheduler(&self.scheduler);
        let Some(scheduler) = shared.as_ref() else { return Reply::NotOwner };
        let accepted = scheduler.accepted(job);
        let accepted = accepted.filter(|_| !ignores_misplaced || !scheduler.is_misplaced(job));
        let own = accepted.is_some_and(|accepted| accepted.belongs_to(requester));
        if let Some(state) = scheduler.state(job).filter(|_| own) {
            return Reply::State(Some(state));
        }
        let reassigned_by = scheduler.reassigned_by(&requester.queue);
        match assigned {
            Some(Assigned::Here(version)) if reassigned_by.is_some_and(|by| by > version) => {
                Reply::NotOwner
            }
            Some(Assigned::ElsewhereSince(since)) if reassigned_by.is_none_or(|by| by < since) => {
                Reply::NotReassigned
            }
            _ => Reply::State(None),
        }
    }

    /// Whether the record submits a job under an identifier that belongs to another customer's job.
    pub(crate) fn is_taken(&self, record: &Record) -> bool {
        let Record::Accepted(job, accepted) = record else { return false };
        let shared = scheduler(&self.scheduler);
        let known = shared.as_ref().and_then(|scheduler| scheduler.accepted(*job));
        known.is_some_and(|known| !known.belongs_to(&accepted.requester()))
    }

    /// Decides on a job that is about to be stored. While the shard is being taken over, all are
    /// admitted.
    pub(crate) fn admit(&self, job: JobId, accepted: &Accepted) -> Verdict {
        let mut shared = scheduler(&self.scheduler);
        let decide = |scheduler: &mut Scheduler| scheduler.admit(clock::now(), job, accepted);
        shared.as_mut().map_or(Verdict::Admit, decide)
    }

    /// Number of a queue's jobs that are queued; `None` while the shard is being taken over.
    pub(crate) fn queued_jobs(&self, queue: &str) -> Option<u64> {
        scheduler(&self.scheduler).as_ref().map(|scheduler| scheduler.queued_jobs(queue))
    }

    /// Number of listed workers that are warming up; 0 while the shard is being taken over.
    pub(crate) fn cold_workers(&self) -> usize {
        let now = clock::now();
        scheduler(&self.scheduler).as_ref().map_or(0, |scheduler| scheduler.cold_workers(now))
    }

    /// Whether some task waits for a worker with enough free resources.
    pub(crate) fn lacks_workers(&self) -> bool {
        scheduler(&self.scheduler).as_ref().is_some_and(Scheduler::lacks_workers)
    }

    /// Sets the VMs that are to become vacant, ends the workers of those that are down, and reports
    /// the state of the pool slice. `None` while the shard is being taken over.
    pub(crate) fn report(
        &self,
        vacate: BTreeSet<Arc<str>>,
        down: Option<Down>,
        round: Option<Round>,
    ) -> Option<report::Pool> {
        let mut shared = scheduler(&self.scheduler);
        let scheduler = shared.as_mut()?;
        let now = clock::now();
        if !self.is_current(round) {
            return Some(scheduler.report(now));
        }
        // Takes effect before the report, so that no task is placed on a VM reported as vacant.
        scheduler.handle(now, clock::wall_ms(), Event::Vacate(vacate));
        if let Some(down) = down {
            scheduler.handle(now, clock::wall_ms(), Event::VmsDown(down));
        }
        Some(scheduler.report(now))
    }

    /// Whether a request of this round is not a late one: requests are repeated and can be delayed.
    /// Senders of earlier versions give no round, and are always followed.
    fn is_current(&self, round: Option<Round>) -> bool {
        let Some(round) = round else { return true };
        let mut last = self.last_round.lock().unwrap_or_else(PoisonError::into_inner);
        if last.is_some_and(|last| round < last) {
            log::info!("event=late_round_ignored epoch={} round={}", round.0, round.1);
            return false;
        }
        *last = Some(round);
        true
    }

    pub(crate) fn has_ended(&self) -> bool {
        self.task.is_finished()
    }

    /// Ends ownership at once: no order is sent and nothing is committed after this. Returns the
    /// scheduler, if it has been created.
    pub(crate) fn stop(&self) -> Option<Scheduler> {
        self.task.abort();
        scheduler(&self.scheduler).take()
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Owner of a pool slice's shard.
#[derive(Debug)]
struct Owner {
    node: Arc<Node>,
    number: u32,
    pool_slice: PoolSlice,
    shared: SharedScheduler,
    /// Address of the daemon that last held the shard; `None` if unknown or this daemon.
    previous_owner: Option<SocketAddr>,
    events: mpsc::UnboundedSender<Event>,
}

impl Drop for Owner {
    /// The next owner counts the jobs on another daemon.
    fn drop(&mut self) {
        self.set_deferred_jobs(0);
    }
}

/// State of the owner besides its scheduler.
#[derive(Debug)]
struct Ownership {
    claimed: Claim,
    sequence: u64,
    terms: Terms,
    watches: HashMap<Arc<str>, Arc<Watch>>,
    /// Task of the latest commit; aborted, if still in flight, when the ownership ends.
    commit: Option<AbortOnDrop>,
}

impl Drop for Ownership {
    fn drop(&mut self) {
        for watch in self.watches.values() {
            watch.end();
        }
    }
}

impl Owner {
    async fn run(self, mut receiver: mpsc::UnboundedReceiver<Event>) {
        let store = &*self.node.store;
        let claimed = claim(store, shard_partition(self.number), &self.node.member).await;
        self.node.wait_for_workers(&self.pool_slice).await;
        let (records, end) = self.read_latest().await;
        let terms = Terms {
            extension: LEASE_EXTENSION.min(self.node.settings.max_lease),
            initial: INITIAL_LEASE,
            clock_slack: CLOCK_SLACK,
        };
        let admission = self.node.settings.admission;
        let settings = Settings {
            shard: self.number,
            terms,
            max_record_bytes: self.node.store.limits().record_bytes,
            ended_job_retention: self.node.settings.ended_job_retention,
            membership_ttl: TTL,
            spread: self.node.settings.failure_domains.tolerated_data_centres > 0,
            prefer_feasible: admission.prefer_feasible,
            admission: Rules {
                by_customer: admission.by_customer,
                reject_hopeless: admission.reject_hopeless,
            },
        };
        let now = clock::now();
        let mut new_scheduler = Scheduler::new(settings, claimed.epoch, now);
        new_scheduler.take_over(now, clock::wall_ms(), decode(&records), self.workers());
        *scheduler(&self.shared) = Some(new_scheduler);
        let _handover_request = AbortOnDrop(tokio::spawn(ask_previous_owner(
            Arc::clone(&self.node),
            self.number,
            claimed.epoch - 1,
            self.previous_owner,
            self.events.clone(),
        )));
        let follower = tokio::spawn(follow(
            Arc::clone(&self.node),
            self.number,
            end,
            claimed.epoch,
            self.events.clone(),
        ));
        let sequence = claimed.sequence;
        let ownership =
            Ownership { claimed, sequence, terms, watches: HashMap::new(), commit: None };
        let _follower = AbortOnDrop(follower);
        self.serve(ownership, &mut receiver).await;
        if let Some(ended) = scheduler(&self.shared).take() {
            self.node.save_handover(self.number, ended.handover(clock::now()));
        }
        log::info!("event=shard_left shard={} unit={}", self.number, self.pool_slice);
    }

    async fn read_latest(&self) -> (Vec<Stored>, u64) {
        let mut pages = Pages::default();
        let mut backoff = Backoff::new(backoff::OWNER_CALLS);
        loop {
            match feed::newest(&self.node, shard_partition(self.number), &mut pages).await {
                Ok(found) => return found,
                Err(error) => {
                    log::info!(
                        "event=shard_unread shard={} unit={} error=\"{error}\"",
                        self.number,
                        self.pool_slice
                    );
                    tokio::time::sleep(backoff.pause(rand::random())).await;
                }
            }
        }
    }

    /// Workers of the pool slice that are listed now.
    fn workers(&self) -> Vec<Entry> {
        let map = self.node.map();
        let directory = self.node.directory();
        let own = directory.entries.values().filter(|entry| {
            entry.pool == self.pool_slice.pool
                && map.slice_of_vm(&entry.vm) == self.pool_slice.slice
        });
        own.cloned().collect()
    }

    async fn serve(&self, mut ownership: Ownership, receiver: &mut mpsc::UnboundedReceiver<Event>) {
        let mut events = Vec::new();
        let mut inputs = Inputs::default();
        let mut decides_soon = false;
        let mut last_tick = Duration::ZERO;
        loop {
            let pause = if decides_soon { COMMIT_TICK } else { TICK };
            let received = tokio::time::timeout(pause, receiver.recv_many(&mut events, MAX_EVENTS));
            if matches!(received.await, Ok(0)) {
                return;
            }
            let now = clock::now();
            if now >= last_tick + TICK {
                last_tick = now;
                events.push(Event::Tick);
            }
            events.extend(inputs.changes(&self.node, now, self.number, &self.pool_slice));
            let Some(actions) = self.decide(now, &mut events, &mut decides_soon) else { return };
            for action in actions {
                self.execute(&mut ownership, action);
            }
        }
    }

    /// Passes events to the scheduler and returns its actions; `None` if the shard has another
    /// owner.
    fn decide(
        &self,
        now: Duration,
        events: &mut Vec<Event>,
        decides_soon: &mut bool,
    ) -> Option<Vec<Action>> {
        let mut shared = scheduler(&self.shared);
        let scheduler = shared.as_mut()?;
        let wall_ms = clock::wall_ms();
        for event in events.drain(..) {
            scheduler.handle(now, wall_ms, event);
        }
        if scheduler.is_superseded() {
            log::info!("event=shard_superseded shard={} unit={}", self.number, self.pool_slice);
            return None;
        }
        let actions = scheduler.decide(now, wall_ms);
        *decides_soon = scheduler.decides_soon();
        self.set_deferred_jobs(scheduler.overload().deferred);
        Some(actions)
    }

    fn set_deferred_jobs(&self, jobs: usize) {
        if self.node.settings.admission.prefer_feasible {
            self.node.metrics.shards.set_deferred_jobs(&self.pool_slice.to_string(), jobs);
        }
    }

    /// Creates an order to a worker under the fencing token of the shard's claim.
    fn order(&self, watch: &Arc<Watch>, ownership: &Ownership) -> Order {
        Order::new(&self.node, watch, &self.events, ownership.terms, ownership.claimed.token)
    }

    fn relocation(&self, job: JobId, config_version: u64) -> Relocation {
        Relocation::new(Arc::clone(&self.node), self.number, job, config_version)
    }

    fn execute(&self, ownership: &mut Ownership, action: Action) {
        match action {
            Action::Start { worker, task, run, text, checkpoint, ticket } => {
                let Some(watch) = ownership.watches.get(&worker.id) else { return };
                let token = ownership.claimed.token;
                let start = Start { task, run, text, deadline_ms: 0, token, checkpoint, ticket };
                let order = self.order(watch, ownership);
                drop(tokio::spawn(order.start(start)));
            }
            Action::Stop { worker, task, run } => {
                let Some(watch) = ownership.watches.get(&worker.id) else { return };
                drop(tokio::spawn(self.order(watch, ownership).stop(task, run)));
            }
            Action::Poll { worker } => {
                let Some(watch) = ownership.watches.get(&worker.id) else { return };
                drop(tokio::spawn(self.order(watch, ownership).poll()));
            }
            Action::Throttle { worker, task, run, percent } => {
                let Some(watch) = ownership.watches.get(&worker.id) else { return };
                drop(tokio::spawn(self.order(watch, ownership).throttle(task, run, percent)));
            }
            Action::RequestAdvice { step, workers } => {
                let (node, events) = (Arc::clone(&self.node), self.events.clone());
                drop(tokio::spawn(async move {
                    let answer = match &node.advisor {
                        Some(advisor) => advisor.ask(step, &workers).await,
                        None => Err(AdviceError::NoAnswer),
                    };
                    events.send(Event::Advised { step, answer }).ok();
                }));
            }
            Action::Commit { records } => {
                let records: Vec<_> = records.iter().map(NewRecord::from).collect();
                let (node, events) = (Arc::clone(&self.node), self.events.clone());
                let partition = shard_partition(self.number);
                let epoch = ownership.claimed.epoch;
                let first_sequence = ownership.sequence + 1;
                ownership.sequence += node.store.limits().appends(&records).len() as u64;
                ownership.commit = Some(AbortOnDrop(tokio::spawn(async move {
                    let kept =
                        append_owned(&node, partition, &records, epoch, first_sequence).await;
                    events.send(if kept { Event::Committed } else { Event::Superseded }).ok();
                })));
            }
            Action::Relocate { job, accepted, config_version } => {
                let relocation = self.relocation(job, config_version);
                drop(tokio::spawn(relocation.relocate(accepted, self.events.clone())));
            }
            Action::RelocateCancellation { job, by, config_version } => {
                let relocation = self.relocation(job, config_version);
                drop(tokio::spawn(relocation.relocate_cancellation(by)));
            }
            Action::RequestQuota { request } => {
                let (node, events) = (Arc::clone(&self.node), self.events.clone());
                drop(tokio::spawn(async move {
                    let number = request.number;
                    let request = Request::Quota(request);
                    let grant = match rpc::call_holder(&node, node.fleet_shard(), request).await {
                        Some(Reply::Quota(grant)) => Some(grant),
                        _ => None,
                    };
                    events.send(Event::QuotaAnswered { number, grant }).ok();
                }));
            }
            Action::Acknowledge { worker, number } => {
                if let Some(watch) = ownership.watches.get(&worker) {
                    watch.acknowledge(number);
                }
            }
            Action::StartPolling { worker, clock_ms } => {
                let watch = Arc::new(Watch::new(worker.clone(), clock_ms));
                let token = ownership.claimed.token;
                let run = watch::run(
                    Arc::clone(&self.node),
                    Arc::clone(&watch),
                    ownership.terms,
                    token,
                    self.events.clone(),
                );
                drop(tokio::spawn(run));
                ownership.watches.insert(worker.id, watch);
            }
            Action::StopPolling { worker } => {
                if let Some(watch) = ownership.watches.remove(&worker.id) {
                    watch.end();
                }
                self.node.runner.forget(&worker);
            }
        }
    }
}

#[derive(Debug)]
struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
