//! Admission: which new jobs the owner of a shard refuses before they are stored.
//!
//! All submissions pass through the owner, which alone knows how much waits and how much each
//! customer has sent. A refused job is not stored and never runs; its caller is told when to come
//! back.
//!
//! Each refusal promises a place: a job that comes back at the told time is admitted. The places
//! are handed out in the order of the refusals, as far apart as the shard needs for the jobs, and
//! to whole seconds, which is the resolution of `Retry-After`. An owner that takes over knows none
//! of its predecessor's promises and judges those jobs as new ones.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crosspath_job::JobId;
use crosspath_job::record::Accepted;
use crosspath_job::spec::{Resources, Spec};
use serde::{Deserialize, Serialize};

use crate::as_ms;
use crate::job::allowed_time;
use crate::overload::{Backlog, LATE_FACTOR};
use crate::scheduler::Scheduler;
use crate::worker::Worker;

/// Resolution of `Retry-After`, and with it the shortest delay. A job that would wait for less is
/// admitted, since it starts sooner from the queue.
const RETRY_UNIT: Duration = Duration::from_secs(1);
/// Longest delay that is told. Estimates that reach further are worth little.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
/// Time after the told one for which the place of a refused job is kept.
const RETURN_GRACE: Duration = Duration::from_secs(3);
/// Time within which the acceptance of an admitted job is expected. Callers wait for 3 s at most.
const STORE_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of jobs that have a place, and of admitted jobs that are not stored yet. Bounds
/// the owner's memory and the time of a decision.
const MAX_KNOWN: usize = 4_096;
/// Multiple of its part of the weights above which a customer's part of the waiting work counts as
/// beyond its share. Single jobs of small customers may exceed their part by chance.
const DOMINANCE: f64 = 1.5;
/// Interval between two sums of the waiting work, which may comprise some thousand tasks.
const SUM_INTERVAL: Duration = Duration::from_millis(50);

/// Decision on a job that a caller submits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The job is to be stored.
    Admit,
    /// The job is refused.
    Refuse(Refusal),
}

/// Refusal of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why the job is refused.
    pub reason: Reason,
    /// Delay in ms after which the caller should retry.
    pub retry_after_ms: u64,
}

/// Why a job is refused. The names of the variants appear in log lines and metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The customer has sent more than its share while the shard has no room for more.
    OverShare,
    /// The job would end too late to be of use.
    Overload,
}

impl Reason {
    /// Name in log lines and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::OverShare => "over_share",
            Self::Overload => "overload",
        }
    }
}

/// Which jobs may be refused.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Rules {
    /// Refuses jobs beyond their customers' shares while the shard is full.
    pub by_customer: bool,
    /// Refuses jobs that would end too late to be of use.
    pub reject_hopeless: bool,
}

/// Unused part of a customer's share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Share {
    /// Jobs that the customer may send now.
    pub tokens: f64,
    /// Jobs per second by which `tokens` grows.
    pub rate: f64,
}

/// Job on which a decision is to be made, and what the decision depends on.
#[derive(Debug, Clone)]
pub struct Submission {
    /// Identifier of the job.
    pub job: JobId,
    /// Customer who submits it; `None` if the queue requires no key.
    pub customer: Option<Arc<str>>,
    /// Unused part of the customer's share; `None` if it has no weight.
    pub share: Option<Share>,
    /// How the shard would treat the job.
    pub backlog: Backlog,
    /// Time from its acceptance to its deadline.
    pub objective: Duration,
    /// Time that the shard would need for the job alone.
    pub service: Duration,
}

impl Submission {
    /// Time after which the end of the job is of no use.
    fn worthless_after(&self) -> Duration {
        self.objective.saturating_mul(LATE_FACTOR)
    }
}

/// Place that was promised to a refused job.
#[derive(Debug, Clone)]
struct Place {
    customer: Option<Arc<str>>,
    /// When the caller was told to come back.
    return_at: Duration,
    /// Whether the customer's share covers the job by then; otherwise the shard has room by then.
    uses_share: bool,
}

/// Admitted job whose acceptance has not been seen yet.
#[derive(Debug, Clone)]
struct Unstored {
    customer: Option<Arc<str>>,
    admitted_at: Duration,
}

/// Decides on submissions, and keeps the places that were promised.
#[derive(Debug, Default)]
pub struct Admission {
    unstored: BTreeMap<JobId, Unstored>,
    places: BTreeMap<JobId, Place>,
    /// When the shard will have room for one more of the jobs that were refused.
    next_room_at: Duration,
    /// Work that waited when it was last summed.
    waiting: Waiting,
}

/// Work that waits in a shard, by the callers' estimates.
#[derive(Debug, Clone, Default)]
struct Waiting {
    /// When it was summed; `None` if it never was.
    summed_at: Option<Duration>,
    /// Time in which all usable workers together could work it off; zero if it fits into what is
    /// free, or there are no workers.
    drain: Duration,
    /// By customer, in thousandths of a core times ms.
    by_customer: BTreeMap<Arc<str>, u64>,
}

impl Waiting {
    /// Whether a customer's part of the waiting work is well above its part of the weights of all
    /// customers whose work waits.
    fn is_dominated_by(&self, customer: &Arc<str>, weight: impl Fn(&Arc<str>) -> f64) -> bool {
        let total: u64 = self.by_customer.values().sum();
        let own = self.by_customer.get(customer).copied().unwrap_or_default();
        let weights: f64 = self.by_customer.keys().map(&weight).sum();
        own as f64 > DOMINANCE * weight(customer) / weights * total as f64
    }
}

impl Admission {
    /// Decides on a job that is not known to be stored.
    pub fn decide(&mut self, now: Duration, rules: Rules, submission: &Submission) -> Verdict {
        self.expire(now);
        // The job was admitted, and the record may be stored already.
        if self.unstored.contains_key(&submission.job) {
            return Verdict::Admit;
        }
        let place = self.places.get(&submission.job);
        let has_returned = place.is_some_and(|place| now >= place.return_at);
        let reason = if has_returned { None } else { self.reason(rules, submission) };
        let Some(reason) = reason else {
            self.admit(now, submission);
            return Verdict::Admit;
        };
        let place = self.place(now, reason, submission);
        let wait = round_up(place.return_at.saturating_sub(now));
        if self.places.len() < MAX_KNOWN || self.places.contains_key(&submission.job) {
            self.places.insert(submission.job, Place { return_at: now + wait, ..place });
        }
        let retry_after_ms = as_ms(wait);
        Verdict::Refuse(Refusal { reason, retry_after_ms })
    }

    /// Notes that a job is stored, however it came there.
    pub fn stored(&mut self, job: JobId) {
        self.unstored.remove(&job);
        self.places.remove(&job);
    }

    /// Number of jobs of which something is remembered.
    #[must_use]
    pub fn known_jobs(&self) -> usize {
        self.unstored.len() + self.places.len()
    }

    fn expire(&mut self, now: Duration) {
        self.unstored.retain(|_, job| now < job.admitted_at + STORE_TIMEOUT);
        self.places.retain(|_, place| now < place.return_at + RETURN_GRACE);
    }

    fn admit(&mut self, now: Duration, submission: &Submission) {
        self.places.remove(&submission.job);
        if self.unstored.len() < MAX_KNOWN {
            let customer = submission.customer.clone();
            self.unstored.insert(submission.job, Unstored { customer, admitted_at: now });
        }
    }

    /// Why the job is to be refused; `None` if it is to be admitted.
    fn reason(&self, rules: Rules, submission: &Submission) -> Option<Reason> {
        let backlog = submission.backlog;
        if !backlog.is_full || backlog.wait < RETRY_UNIT {
            return None;
        }
        if rules.by_customer && self.next_token(submission).is_some_and(|wait| !wait.is_zero()) {
            return Some(Reason::OverShare);
        }
        let is_worthless = backlog.completion > submission.worthless_after();
        (rules.reject_hopeless && is_worthless).then_some(Reason::Overload)
    }

    /// Time until the customer's share covers the job; `None` if the customer has no weight.
    fn next_token(&self, submission: &Submission) -> Option<Duration> {
        let Share { tokens, rate } = submission.share?;
        let missing = self.claimed_tokens(submission) as f64 + 1.0 - tokens;
        if missing <= 0.0 {
            return Some(Duration::ZERO);
        }
        let wait = Duration::try_from_secs_f64(missing / rate).unwrap_or(MAX_RETRY_AFTER);
        Some(wait.min(MAX_RETRY_AFTER))
    }

    /// Number of the customer's jobs that use its share before this one: admitted ones that are not
    /// stored, and refused ones with an earlier place.
    fn claimed_tokens(&self, submission: &Submission) -> usize {
        let own = &submission.customer;
        let own_place = self.places.get(&submission.job).map(|place| place.return_at);
        let unstored = self.unstored.values().filter(|job| job.customer == *own);
        let places = self.places.values().filter(|place| {
            place.customer == *own
                && place.uses_share
                && own_place.is_none_or(|own| place.return_at < own)
        });
        unstored.count() + places.count()
    }

    /// Place for a job that is refused: when its customer's share covers it, or when the shard has
    /// room for it, whichever is first. A job that has a place keeps it.
    fn place(&mut self, now: Duration, reason: Reason, submission: &Submission) -> Place {
        if let Some(place) = self.places.get(&submission.job) {
            return place.clone();
        }
        let customer = submission.customer.clone();
        let backlog = submission.backlog;
        let until_room = match reason {
            Reason::OverShare => backlog.wait,
            Reason::Overload => backlog.completion.saturating_sub(submission.worthless_after()),
        };
        let latest = now + MAX_RETRY_AFTER;
        let room_at = self.next_room_at.max(now + until_room).min(latest);
        let share = self.next_token(submission).filter(|_| reason == Reason::OverShare);
        if let Some(wait) = share
            && now + wait < room_at
        {
            return Place { customer, return_at: now + wait, uses_share: true };
        }
        self.next_room_at = (room_at + submission.service).min(latest);
        Place { customer, return_at: room_at, uses_share: false }
    }
}

/// Smallest number of whole seconds that is not shorter than `wait`, and not zero.
fn round_up(wait: Duration) -> Duration {
    let is_whole = wait.subsec_nanos() == 0;
    let seconds = wait.as_secs() + u64::from(!is_whole);
    Duration::from_secs(seconds).max(RETRY_UNIT)
}

/// Whether a job may be refused for lack of room. Long-running jobs need a place in the pool in any
/// case, and scheduled ones do not run now.
fn is_refusable(spec: &Spec) -> bool {
    spec.repeat.is_none() && !spec.steps.iter().any(|step| step.long_running)
}

/// Processor time of all tasks by the caller's estimates, in thousandths of a core times ms.
fn work(spec: &Spec) -> u64 {
    let tasks = spec.steps.iter().map(|step| {
        let cpu = step.reserved().cpu_millis.saturating_mul(u64::from(step.tasks));
        cpu.saturating_mul(step.estimate_ms)
    });
    tasks.fold(0, u64::saturating_add)
}

impl Scheduler {
    /// Decides on a job that is about to be stored. A job that is admitted is expected to be
    /// stored; its acceptance follows as an event.
    pub fn admit(&mut self, now: Duration, id: JobId, job: &Accepted) -> Verdict {
        let rules = self.settings.admission;
        // A job that is submitted again is the same job.
        if rules == Rules::default() || self.jobs.contains_key(&id) || !is_refusable(&job.spec) {
            return Verdict::Admit;
        }
        let critical_path_ms = job.spec.critical_paths_ms().into_iter().max().unwrap_or_default();
        let backlog = self.expected_backlog(now, job);
        let share =
            job.customer.as_ref().and_then(|name| self.share(now, name, job.at_ms, backlog));
        let submission = Submission {
            job: id,
            customer: job.customer.clone(),
            share,
            backlog,
            objective: allowed_time(&job.policy, critical_path_ms),
            service: self.time_for(now, work(&job.spec)).unwrap_or_default(),
        };
        let verdict = self.admission.decide(now, rules, &submission);
        if let Verdict::Refuse(refusal) = verdict {
            log::info!(
                "event=submit_refused job={id} customer={} reason={} retry_after_ms={} wait_ms={} completion_ms={}",
                job.customer.as_deref().unwrap_or_default(),
                refusal.reason.name(),
                refusal.retry_after_ms,
                submission.backlog.wait.as_millis(),
                submission.backlog.completion.as_millis()
            );
        }
        verdict
    }

    /// Unused part of a customer's share. While the shard is full and the customer's work dominates
    /// what waits, nothing is left of it until there is room.
    fn share(
        &mut self,
        now: Duration,
        customer: &Arc<str>,
        at_ms: u64,
        backlog: Backlog,
    ) -> Option<Share> {
        let share = self.shares.unused(customer, at_ms)?;
        if !backlog.is_full {
            return Some(share);
        }
        self.sum_waiting(now);
        let weight = |name: &Arc<str>| self.shares.weight(name).unwrap_or_default();
        let is_dominant = self.admission.waiting.is_dominated_by(customer, weight);
        Some(if is_dominant { Share { tokens: 0.0, rate: 0.0 } } else { share })
    }

    /// Backlog that the job would meet. Without a plan of the overload policy, the shard counts as full
    /// if some task found no worker in the last placement round and more work waits than there is
    /// room for.
    fn expected_backlog(&mut self, now: Duration, job: &Accepted) -> Backlog {
        let backlog = self.backlog(now, job);
        if self.overload.is_active() || !self.lacks_workers() {
            return backlog;
        }
        self.sum_waiting(now);
        let wait = self.admission.waiting.drain;
        Backlog { is_full: !wait.is_zero(), wait, ..backlog }
    }

    /// Sums up what waits, unless that was done within [`SUM_INTERVAL`]. Runs in progress are left
    /// out, so that the time to work it off is rather too short.
    fn sum_waiting(&mut self, now: Duration) {
        let summed_at = self.admission.waiting.summed_at;
        if summed_at.is_some_and(|summed_at| now < summed_at + SUM_INTERVAL) {
            return;
        }
        let mut by_customer = BTreeMap::<Arc<str>, u64>::new();
        let mut total = 0_u64;
        let mut required = 0_u64;
        for key in &self.waiting {
            let Some(job) = self.jobs.get(&key.task.job) else { continue };
            let estimate_ms = self.step_of(key.task).map_or(0, |step| step.estimate_ms);
            let work = key.resources.cpu_millis.saturating_mul(estimate_ms);
            required = required.saturating_add(key.resources.cpu_millis);
            total = total.saturating_add(work);
            if let Some(customer) = &job.accepted.customer {
                let sum = by_customer.entry(Arc::clone(customer)).or_default();
                *sum = sum.saturating_add(work);
            }
        }
        let free = self.sum_usable(now, Worker::free).cpu_millis;
        let drain = self.time_for(now, total).filter(|_| required > free).unwrap_or_default();
        self.admission.waiting = Waiting { summed_at: Some(now), drain, by_customer };
    }

    /// Time that all usable workers together need for some work, in thousandths of a core times ms;
    /// `None` if there are none.
    fn time_for(&self, now: Duration, work: u64) -> Option<Duration> {
        let capacity = self.sum_usable(now, |worker| worker.entry.capacity).cpu_millis;
        work.checked_div(capacity).map(Duration::from_millis)
    }

    /// Sum of some resources over all usable workers.
    fn sum_usable(&self, now: Duration, resources: impl Fn(&Worker) -> Resources) -> Resources {
        let usable = self.workers.values().filter(|worker| worker.is_usable(now));
        usable.map(resources).fold(Resources::default(), |sum, more| sum.plus(&more))
    }
}
