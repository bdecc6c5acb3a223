//! Requests for VMs on which long-running tasks without a worker can run.
//!
//! Such a request goes before all work that can wait, and takes VMs of other pools, so it is for a
//! few VMs at a time. The next ones are requested only if the last ones helped: some tasks fit on
//! no VM of the fleet.

use std::time::Duration;

/// Largest number of VMs requested at once beyond those that a step has to be spread over.
const MAX_STEP: u32 = 4;
/// Time for which requested VMs take work before they are judged: the next rounds of placement.
const JUDGEMENT_DELAY: Duration = Duration::from_millis(500);
/// Time after which other VMs are requested, as some may not come: three times a move.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(6);
/// Time after which VMs are requested again that did not help before.
const FUTILE_INTERVAL: Duration = Duration::from_secs(30);
/// Time without such a task after which its request ends. A report may leave out a task that waits
/// for something else for a moment.
const END_DELAY: Duration = Duration::from_secs(1);

/// What is known of a pool.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Observation {
    /// Long-running tasks without a worker.
    pub(crate) unplaced: u32,
    /// VMs over which the most widely spread step must be distributed.
    pub(crate) spread: u32,
    /// VMs that the pool has or gets, without those that leave.
    pub(crate) vms: u32,
    /// VMs among these that take work.
    pub(crate) usable: u32,
}

/// Request of a pool.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Escalation {
    /// Size of the pool once the request is met.
    vms: u32,
    /// VMs requested at once.
    step: u32,
    /// Tasks without a worker when the requested VMs had not come yet, or when they were found to
    /// be futile.
    unplaced: u32,
    requested_at: Duration,
    /// When the requested VMs began to take work.
    met_at: Option<Duration>,
    /// Time until which no VMs are requested, as the last ones did not help.
    futile_until: Option<Duration>,
    /// When the last task without a worker was reported.
    reported_at: Duration,
}

impl Escalation {
    fn new(now: Duration, pool: &Observation, step: u32) -> Self {
        let step = step.clamp(1, MAX_STEP);
        Self {
            vms: pool.vms.saturating_add(step).max(pool.spread),
            step,
            unplaced: pool.unplaced,
            requested_at: now,
            met_at: None,
            futile_until: None,
            reported_at: now,
        }
    }

    /// Size that the pool needs before any work that can wait; 0 if further VMs do not help.
    pub(crate) fn vms(&self) -> u32 {
        if self.futile_until.is_some() { 0 } else { self.vms }
    }

    /// The request after another round.
    pub(crate) fn update(current: Option<Self>, now: Duration, pool: &Observation) -> Option<Self> {
        if pool.unplaced == 0 {
            return current.filter(|current| now < current.reported_at + END_DELAY);
        }
        // About half of the tasks fit beside others.
        let initial = Self::new(now, pool, pool.unplaced.div_ceil(2));
        let Some(current) = current else { return Some(initial) };
        let current = Self { reported_at: now, ..current };
        if let Some(until) = current.futile_until {
            let has_changed = pool.unplaced > current.unplaced || now >= until;
            return Some(if has_changed { initial } else { current });
        }
        Some(current.judge(now, pool))
    }

    fn judge(self, now: Duration, pool: &Observation) -> Self {
        if pool.usable < self.vms {
            if now >= self.requested_at + REQUEST_TIMEOUT {
                return Self::new(now, pool, self.step);
            }
            // VMs that the pool loses meanwhile are not replaced by this request.
            let vms = self.vms.min(pool.vms.saturating_add(self.step).max(pool.spread));
            return Self { vms, unplaced: pool.unplaced, met_at: None, ..self };
        }
        let met_at = self.met_at.unwrap_or(now);
        if now < met_at + JUDGEMENT_DELAY {
            return Self { met_at: Some(met_at), ..self };
        }
        if pool.usable > self.vms {
            // Other VMs have come as well, which does not tell whether one more helps.
            return Self::new(now, pool, self.step);
        }
        if pool.unplaced < self.unplaced {
            let step = self.step.saturating_mul(2).min(pool.unplaced);
            return Self::new(now, pool, step);
        }
        let futile_until = Some(now + FUTILE_INTERVAL);
        Self { unplaced: pool.unplaced, futile_until, ..self }
    }
}
