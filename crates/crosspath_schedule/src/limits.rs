//! What customers may have running: the shard's parts of their maxima.
//!
//! A task of a customer with a maximum starts only within what the shard holds of that. What runs, and what
//! may run by an owner before, counts until it is surely over. Tasks held back make the shard ask the ledger of
//! all shards for more; they are no reason to bring VMs into the pool.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crosspath_job::spec::Resources;
use crosspath_job::{JobId, TaskId};
use crosspath_quota::{Allowance, Grant, Limits, Usage};

use crate::action::Action;
use crate::job::{Job, Phase};
use crate::scheduler::Scheduler;

/// Between two counts of all runs of the shard: a round of placing comes some hundred times a second in a turn, and
/// counting 1,000 runs takes some 0.3 ms of an entry VM's half core.
const COUNT_INTERVAL: Duration = Duration::from_millis(50);
/// Between two lines on a customer whose tasks are held back.
const TELL_INTERVAL: Duration = Duration::from_secs(1);

/// The shard's parts, and what its tasks use and want of them.
#[derive(Debug)]
pub(crate) struct Parts {
    /// None before a configuration was read: until then no customer's job starts.
    limits: Option<Limits>,
    holding: Allowance,
    needs: BTreeMap<Arc<str>, Usage>,
    /// Processor time that tasks want which were held back in the last round, in thousandths of a core.
    pub(crate) held_back_millis: u64,
    /// When what is used was last counted.
    counted: Duration,
    /// When a line on each customer was last written.
    told: BTreeMap<Arc<str>, Duration>,
}

impl Parts {
    pub(crate) fn new(shard: u32, epoch: u64) -> Self {
        Self {
            limits: None,
            holding: Allowance::new(shard, epoch),
            needs: BTreeMap::new(),
            held_back_millis: 0,
            counted: Duration::ZERO,
            told: BTreeMap::new(),
        }
    }

    /// Maximum of a customer; none where it has none, nothing while that is not known.
    fn limit(&self, customer: &str) -> Option<Resources> {
        let Some(limits) = &self.limits else { return Some(Resources::default()) };
        limits.get(customer).copied()
    }
}

impl Scheduler {
    /// Customers have other maxima from now on.
    pub(crate) fn limit(&mut self, limits: Limits) {
        self.parts.limits = Some(limits);
        // A customer that had no maximum before was not counted.
        self.parts.counted = Duration::ZERO;
        self.place_again = true;
    }

    /// The customer of a job, if it has a maximum.
    fn limited_customer(&self, job: JobId) -> Option<&Arc<str>> {
        let customer = self.jobs.get(&job)?.accepted.customer.as_ref()?;
        self.parts.limit(customer).map(|_| customer)
    }

    /// Counts what customers with a maximum use, before a round of placing.
    pub(crate) fn count_used(&mut self, now: Duration) {
        self.parts.held_back_millis = 0;
        if now < self.parts.counted + COUNT_INTERVAL {
            // What has ended since counts on, what was started since counts too.
            for need in self.parts.needs.values_mut() {
                *need = Usage { used: need.used, ..Usage::default() };
            }
            return;
        }
        self.parts.counted = now;
        self.parts.needs.clear();
        if self.parts.limits.as_ref().is_none_or(Limits::is_empty) {
            return;
        }
        let mut needs: BTreeMap<Arc<str>, Usage> = BTreeMap::new();
        let runs = self.workers.values().flat_map(|worker| worker.runs.keys());
        let runs = runs.map(|(task, _)| *task);
        let is_open = !self.settlement.is_over();
        let inherited = self.jobs.values().filter(|job| is_open && job.inherited);
        let unseen = inherited.flat_map(unseen);
        for task in runs.chain(unseen) {
            let Some(customer) = self.limited_customer(task.job) else { continue };
            let room = self.step_of(task).map(|step| step.resources).unwrap_or_default();
            needs.entry(Arc::clone(customer)).or_default().used.add(&room);
        }
        self.parts.needs = needs;
    }

    /// Whether a task of the job's customer was held back in this round. Nothing overtakes it: else small tasks
    /// would keep a large one waiting.
    pub(crate) fn holds_back(&self, job: JobId) -> bool {
        let customer = self.limited_customer(job);
        let need = customer.and_then(|customer| self.parts.needs.get(customer));
        need.is_some_and(|need| need.pending != Resources::default())
    }

    /// Whether the customer of a job may have `more` running here.
    pub(crate) fn is_within_limit(&self, job: JobId, more: &Resources) -> bool {
        let Some(customer) = self.limited_customer(job) else { return true };
        let parts = &self.parts;
        let limit = parts.limit(customer).unwrap_or(Resources::UNLIMITED);
        let used = parts.needs.get(customer).map(|need| need.used).unwrap_or_default();
        parts.holding.allows(customer, &limit, &used, more)
    }

    /// A task, or a gang, that wants `more` waits for a part of its customer's maximum.
    pub(crate) fn hold_back(&mut self, now: Duration, job: JobId, more: &Resources) {
        let Some(customer) = self.limited_customer(job).cloned() else { return };
        self.tell_held_back(now, job, &customer);
        let need = self.parts.needs.entry(customer).or_default();
        if need.pending == Resources::default() {
            need.first_pending = *more;
        }
        need.pending.add(more);
        self.parts.held_back_millis += more.cpu_millis;
    }

    /// One line on a customer, now and then.
    fn tell_held_back(&mut self, now: Duration, job: JobId, customer: &Arc<str>) {
        let parts = &mut self.parts;
        if parts.told.get(customer).is_some_and(|told| now < *told + TELL_INTERVAL) {
            return;
        }
        parts.told.insert(Arc::clone(customer), now);
        let used = parts.needs.get(customer).map(|need| need.used).unwrap_or_default();
        let held = parts.holding.held(customer);
        let limit = parts.limit(customer).unwrap_or(Resources::UNLIMITED);
        log::info!(
            "event=job_held_back job={job} customer={customer} used_millis={} held_millis={} limit_millis={} used_mb={} held_mb={} limit_mb={}",
            used.cpu_millis,
            held.cpu_millis,
            limit.cpu_millis,
            used.mem_mb,
            held.mem_mb,
            limit.mem_mb
        );
    }

    /// A task of a job is started, within what its customer may have running.
    pub(crate) fn note_used(&mut self, task: TaskId) {
        let Some(customer) = self.limited_customer(task.job).cloned() else { return };
        let room = self.step_of(task).map(|step| step.resources).unwrap_or_default();
        self.parts.needs.entry(customer).or_default().used.add(&room);
    }

    /// Asks the ledger, when that is due.
    pub(crate) fn ask_for_parts(&mut self, now: Duration) {
        let parts = &mut self.parts;
        let Some(limits) = parts.limits.as_ref().filter(|limits| !limits.is_empty()) else {
            return;
        };
        if let Some(ask) = parts.holding.request(now, limits, &parts.needs) {
            self.actions.push(Action::AskParts { ask });
        }
    }

    /// The ledger has answered, or not.
    pub(crate) fn dealt(&mut self, number: u64, deal: Option<Grant>) {
        match deal {
            Some(deal) => self.place_again |= self.parts.holding.apply_grant(deal),
            None => self.parts.holding.request_failed(number),
        }
    }
}

/// Tasks that an owner before may have started and that no worker has shown yet, once for each run.
fn unseen(job: &Job) -> Vec<TaskId> {
    let mut found = Vec::new();
    for (id, task) in job.tasks() {
        let is_seen = |number: u64| {
            task.runs.iter().any(|run| run.number == number && run.phase != Phase::Planned)
        };
        let unseen = task.unseen.iter().filter(|(number, _)| !is_seen(*number));
        found.extend(unseen.map(|_| id));
    }
    found
}
