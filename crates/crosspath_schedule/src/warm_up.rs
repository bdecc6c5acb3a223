//! Warm-up of workers, which run tasks slowly for some time after their start.
//!
//! A worker writes the remaining time into its entry of the worker list; no time, or none told,
//! means that it is warm. Its entry arrives late, so the end of the warm-up is kept on the worker's
//! clock and corrected by the clock in its replies to polls. How slow a worker is is not told: it
//! is taken to give [`INITIAL_SHARE`] of its capacity at first and the whole at the end.

use std::time::Duration;

use crosspath_job::TaskId;
use crosspath_job::spec::Step;

use crate::scheduler::Scheduler;
use crate::worker::Worker;

/// Share of its capacity that a worker is taken to give at the start of its warm-up.
const INITIAL_SHARE: f64 = 0.5;
/// Cost of placing a finite task on a cold worker. More than how full the worker is and than mixing
/// with best-effort runs; less than being where the task failed, or off the rack of its data.
const COLD_WEIGHT: f64 = 20.0;
/// Share of cold workers from which a shard is logged as cold.
const MANY_COLD_SHARE: f64 = 0.25;

/// Warm-up of one worker; by default it is warm.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WarmUp {
    /// Time from which the worker works at full speed.
    end: Duration,
    /// Longest remaining time that was seen.
    length: Duration,
}

impl WarmUp {
    /// Applies the remaining time of the warm-up as of `now`; zero means that the worker is warm.
    pub fn observe(&mut self, now: Duration, remaining: Duration) {
        let earlier = if self.is_cold(now) { self.length } else { Duration::ZERO };
        *self = Self { end: now + remaining, length: remaining.max(earlier) };
    }

    /// Whether the worker does not work at full speed yet.
    #[must_use]
    pub fn is_cold(&self, now: Duration) -> bool {
        now < self.end
    }

    /// Remaining time; zero if the worker is warm.
    #[must_use]
    pub fn remaining(&self, now: Duration) -> Duration {
        self.end.saturating_sub(now)
    }

    /// Share of its capacity that the worker is taken to give now, from [`INITIAL_SHARE`] to 1.
    #[must_use]
    pub fn share(&self, now: Duration) -> f64 {
        if !self.is_cold(now) {
            return 1.0;
        }
        let remaining = self.remaining(now).as_secs_f64() / self.length.as_secs_f64();
        1.0 - (1.0 - INITIAL_SHARE) * remaining
    }

    /// Time that a task of `estimate_ms` on a warm worker is taken to need here in addition.
    fn delay(&self, now: Duration, estimate_ms: u64) -> Duration {
        Duration::from_millis(estimate_ms).mul_f64(1.0 / self.share(now) - 1.0)
    }
}

/// Cold workers of a shard, counted once a round of placement.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Temperature {
    /// Whether some worker that accepts new work is warm.
    any_warm: bool,
    /// Whether many workers were cold when that was logged last.
    logged_as_cold: bool,
}

impl Worker {
    /// Applies the warm-up in the worker's entry, which was written some time ago.
    pub(crate) fn read_warm_up(&mut self, now: Duration) {
        self.warm_up.observe(now, Duration::from_millis(self.entry.warm_up_ms));
    }

    /// Corrects the end of the warm-up by the worker's clock, which showed `clock_ms` just now.
    pub(crate) fn correct_warm_up(&mut self, now: Duration, clock_ms: u64) {
        // A clock of 0 is not told.
        let tells_clock = self.entry.clock_ms > 0 && clock_ms > 0;
        if let Some(end_ms) = self.entry.warm_up_end_ms().filter(|_| tells_clock) {
            self.warm_up.observe(now, Duration::from_millis(end_ms.saturating_sub(clock_ms)));
        }
    }

    /// Percentage of the worker's capacity that it does not give yet; 0 if it is warm.
    pub(crate) fn cold_percent(&self, now: Duration) -> u32 {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "between 0 and 100"
        )]
        let percent = ((1.0 - self.warm_up.share(now)) * 100.0).round() as u32;
        percent
    }
}

impl Scheduler {
    /// Number of listed workers that are warming up.
    #[must_use]
    pub fn cold_workers(&self, now: Duration) -> usize {
        let cold = |worker: &&Worker| worker.listed && worker.warm_up.is_cold(now);
        self.workers.values().filter(cold).count()
    }

    /// Counts the cold workers for this round of placement, and logs when they become many or few.
    pub(crate) fn count_cold_workers(&mut self, now: Duration) {
        let cold = self.cold_workers(now);
        let serves_warm =
            |worker: &Worker| self.is_in_service(now, worker) && !worker.warm_up.is_cold(now);
        let any_warm = cold > 0 && self.workers.values().any(serves_warm);
        let many = cold > 0 && cold as f64 >= self.workers.len() as f64 * MANY_COLD_SHARE;
        if many != self.temperature.logged_as_cold {
            let left = self.workers.values().map(|worker| worker.warm_up.remaining(now)).max();
            log::info!(
                "event=workers_cold shard={} cold={cold} workers={} longest_ms={}",
                self.settings.shard,
                self.workers.len(),
                left.unwrap_or_default().as_millis()
            );
        }
        self.temperature = Temperature { any_warm, logged_as_cold: many };
    }

    /// Whether a task is better kept waiting than placed on a cold worker, if a warm one may take
    /// it: it is finite, and would miss its deadline there but does not miss it yet.
    pub(crate) fn should_wait_for_warm_up(
        &self,
        now: Duration,
        worker: &Worker,
        id: TaskId,
        step: &Step,
    ) -> bool {
        if step.long_running || !self.temperature.any_warm || !worker.warm_up.is_cold(now) {
            return false;
        }
        let Some(job) = self.jobs.get(&id.job) else { return false };
        let remaining = Duration::from_millis(job.critical_paths_ms[id.step as usize]);
        let latest_start = job.deadline().saturating_sub(remaining);
        let delay = worker.warm_up.delay(now, step.estimate_ms);
        now <= latest_start && now + delay > latest_start
    }
}

/// Cost of placing a task of the step on the worker because that is cold; lower is better.
pub(crate) fn cold_cost(now: Duration, worker: &Worker, step: &Step) -> f64 {
    if step.long_running || !worker.warm_up.is_cold(now) {
        return 0.0;
    }
    COLD_WEIGHT + 1.0 - worker.warm_up.share(now)
}
