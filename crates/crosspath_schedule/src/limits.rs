//! Customers' maxima: keeps the shard's use of resources within its allotments.
//!
//! A task of a customer with a maximum starts only if the shard's allotment of that maximum covers
//! it. Runs of this owner, and runs that a previous owner may have started, count as used until
//! they are certain to be over. Tasks that are blocked on quota make the shard request more from
//! the ledger of all shards. They are no reason to add VMs to the pool.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crosspath_job::spec::Resources;
use crosspath_job::{JobId, TaskId};
use crosspath_quota::{Allowance, Grant, Limits, Usage};

use crate::action::Action;
use crate::job::{Job, Phase};
use crate::scheduler::Scheduler;

/// Minimum interval between two counts of all runs of the shard. Under load a round of placement
/// happens some hundred times a second, and counting 1,000 runs takes some 0.3 ms on the half core
/// of an entry VM.
const RECOUNT_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum interval between two log lines about a customer whose tasks are blocked on quota.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The shard's allotments of customers' maxima, and its usage and demand.
#[derive(Debug)]
pub(crate) struct Quotas {
    /// Customers' maxima; `None` until a configuration was read. Until then no job of a customer
    /// starts.
    limits: Option<Limits>,
    /// The shard's allotments, by customer, and the state of its requests to the ledger.
    allowance: Allowance,
    /// Usage and unmet demand by customer; only customers with a maximum have an entry.
    usage: BTreeMap<Arc<str>, Usage>,
    /// Processor time required by the tasks that were blocked on quota in the last round of
    /// placement, in thousandths of a core.
    pub(crate) quota_blocked_millis: u64,
    /// When the usage was last counted from the runs.
    recounted: Duration,
    /// When a blocked task of each customer was last logged.
    logged: BTreeMap<Arc<str>, Duration>,
}

impl Quotas {
    pub(crate) fn new(shard: u32, epoch: u64) -> Self {
        Self {
            limits: None,
            allowance: Allowance::new(shard, epoch),
            usage: BTreeMap::new(),
            quota_blocked_millis: 0,
            recounted: Duration::ZERO,
            logged: BTreeMap::new(),
        }
    }

    /// Maximum of a customer. `None` if the customer has no maximum; zero resources while no
    /// configuration was read.
    fn limit(&self, customer: &str) -> Option<Resources> {
        let Some(limits) = &self.limits else { return Some(Resources::default()) };
        limits.get(customer).copied()
    }
}

impl Scheduler {
    /// Applies the maxima of a new configuration.
    pub(crate) fn set_limits(&mut self, limits: Limits) {
        self.quotas.limits = Some(limits);
        // The usage of customers that had no maximum before was not counted.
        self.quotas.recounted = Duration::ZERO;
        self.placement_due = true;
    }

    /// The customer of a job, if that customer has a maximum.
    fn limited_customer(&self, job: JobId) -> Option<&Arc<str>> {
        let customer = self.jobs.get(&job)?.accepted.customer.as_ref()?;
        self.quotas.limit(customer).map(|_| customer)
    }

    /// Counts the usage of customers with a maximum, before a round of placement.
    pub(crate) fn recount_usage(&mut self, now: Duration) {
        self.quotas.quota_blocked_millis = 0;
        if now < self.quotas.recounted + RECOUNT_INTERVAL {
            // Usage may be overestimated until the next count: runs that have ended since the last
            // one still count, and runs started since then were added as they started.
            for usage in self.quotas.usage.values_mut() {
                *usage = Usage { used: usage.used, ..Usage::default() };
            }
            return;
        }
        self.quotas.recounted = now;
        self.quotas.usage.clear();
        if self.quotas.limits.as_ref().is_none_or(Limits::is_empty) {
            return;
        }
        let mut usage: BTreeMap<Arc<str>, Usage> = BTreeMap::new();
        let runs = self.workers.values().flat_map(|worker| worker.runs.keys());
        let runs = runs.map(|(task, _)| *task);
        let is_recovering = !self.recovery.is_complete();
        let inherited = self.jobs.values().filter(|job| is_recovering && job.inherited);
        let unreported = inherited.flat_map(unreported_tasks);
        for task in runs.chain(unreported) {
            let Some(customer) = self.limited_customer(task.job) else { continue };
            let resources = self.step_of(task).map(|step| step.resources).unwrap_or_default();
            usage.entry(Arc::clone(customer)).or_default().used.add(&resources);
        }
        self.quotas.usage = usage;
    }

    /// Whether a task of the job's customer was blocked on quota in this round of placement. No
    /// other task of that customer may overtake it, or else small tasks could starve a large one.
    pub(crate) fn is_quota_blocked(&self, job: JobId) -> bool {
        let customer = self.limited_customer(job);
        let usage = customer.and_then(|customer| self.quotas.usage.get(customer));
        usage.is_some_and(|usage| usage.pending != Resources::default())
    }

    /// Whether the shard's allotment for the customer of a job covers `more` on top of its usage.
    pub(crate) fn is_within_quota(&self, job: JobId, more: &Resources) -> bool {
        let Some(customer) = self.limited_customer(job) else { return true };
        let quotas = &self.quotas;
        let limit = quotas.limit(customer).unwrap_or(Resources::UNLIMITED);
        let used = quotas.usage.get(customer).map(|usage| usage.used).unwrap_or_default();
        quotas.allowance.allows(customer, &limit, &used, more)
    }

    /// Notes that a task or gang that requires `more` waits for its customer's quota.
    pub(crate) fn block_on_quota(&mut self, now: Duration, job: JobId, more: &Resources) {
        let Some(customer) = self.limited_customer(job).cloned() else { return };
        self.log_quota_blocked(now, job, &customer);
        let usage = self.quotas.usage.entry(customer).or_default();
        if usage.pending == Resources::default() {
            usage.first_pending = *more;
        }
        usage.pending.add(more);
        self.quotas.quota_blocked_millis =
            self.quotas.quota_blocked_millis.saturating_add(more.cpu_millis);
    }

    /// Logs that a customer is blocked on quota, at most once per [`LOG_INTERVAL`].
    fn log_quota_blocked(&mut self, now: Duration, job: JobId, customer: &Arc<str>) {
        let quotas = &mut self.quotas;
        if quotas.logged.get(customer).is_some_and(|logged| now < *logged + LOG_INTERVAL) {
            return;
        }
        quotas.logged.insert(Arc::clone(customer), now);
        let used = quotas.usage.get(customer).map(|usage| usage.used).unwrap_or_default();
        let allowed = quotas.allowance.held(customer);
        let limit = quotas.limit(customer).unwrap_or(Resources::UNLIMITED);
        log::info!(
            "event=job_held_back job={job} customer={customer} used_millis={} held_millis={} limit_millis={} used_mb={} held_mb={} limit_mb={}",
            used.cpu_millis,
            allowed.cpu_millis,
            limit.cpu_millis,
            used.mem_mb,
            allowed.mem_mb,
            limit.mem_mb
        );
    }

    /// Adds a task that is being started to the usage of its customer.
    pub(crate) fn charge_quota(&mut self, task: TaskId) {
        let Some(customer) = self.limited_customer(task.job).cloned() else { return };
        let resources = self.step_of(task).map(|step| step.resources).unwrap_or_default();
        self.quotas.usage.entry(customer).or_default().used.add(&resources);
    }

    /// Sends a request to the ledger if one is due.
    pub(crate) fn request_quota(&mut self, now: Duration) {
        let quotas = &mut self.quotas;
        let Some(limits) = quotas.limits.as_ref().filter(|limits| !limits.is_empty()) else {
            return;
        };
        if let Some(request) = quotas.allowance.request(now, limits, &quotas.usage) {
            self.actions.push(Action::RequestQuota { request });
        }
    }

    /// Applies the ledger's answer to request `number`; a `grant` of `None` means that the request
    /// failed.
    pub(crate) fn quota_answered(&mut self, number: u64, grant: Option<Grant>) {
        match grant {
            Some(grant) => self.placement_due |= self.quotas.allowance.apply_grant(grant),
            None => self.quotas.allowance.request_failed(number),
        }
    }
}

/// Tasks that a previous owner may have started and that no worker has reported yet, listed once
/// for each run.
fn unreported_tasks(job: &Job) -> Vec<TaskId> {
    let mut found = Vec::new();
    for (id, task) in job.tasks() {
        let is_reported = |number: u64| {
            task.runs.iter().any(|run| run.number == number && run.phase != Phase::Planned)
        };
        let unreported = task.unreported_runs.iter().filter(|(number, _)| !is_reported(*number));
        found.extend(unreported.map(|_| id));
    }
    found
}
