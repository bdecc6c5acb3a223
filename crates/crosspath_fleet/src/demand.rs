//! Target number of VMs of a pool, from its current work and the growth of that work.

use std::collections::VecDeque;
use std::time::Duration;

use crosspath_schedule::report;

/// Period over which growth is measured.
const GROWTH_WINDOW: Duration = Duration::from_millis(1_200);
/// How far ahead demand is forecast: a move takes 1.5 s, and learning of it and of the new worker
/// about 1 s.
const FORECAST_HORIZON: Duration = Duration::from_millis(2_500);
/// Growth up to this factor times the square root of the work, in VMs, is treated as random noise
/// and not extrapolated: it would move VMs back and forth for work that merely fluctuates.
const NOISE_SQRT_FACTOR: f64 = 1.0;
/// Upper limit of the noise as a share of the work: growth from two VMs' worth to four is not noise
/// but the first jobs of a busy period.
const MAX_NOISE_SHARE: f64 = 0.12;
/// Share of the work of blocked steps that already counts as demand.
const BLOCKED_SHARE: f64 = 0.2;
/// Upper limit of the headroom as a share of the forecast, for uneven tasks and forecast errors.
const MAX_HEADROOM_SHARE: f64 = 0.25;
/// Factor of the headroom by the square root of the forecast, in VMs: jobs arrive independently, so
/// their demand deviates by its square root. The factor covers one standard deviation where a job
/// needs one and a half VMs; the headroom equals [`MAX_HEADROOM_SHARE`] at 25 VMs.
const HEADROOM_SQRT_FACTOR: f64 = 1.25;
/// VMs beyond the headroom, for the first jobs of a peak and the loss of a VM.
const RESERVE_VMS: f64 = 1.0;
/// Smallest size of a pool, so that it keeps running when one VM is lost.
const MIN_VMS: u32 = 2;

/// Demand of a pool, from its reports within [`GROWTH_WINDOW`].
#[derive(Debug, Default)]
pub(crate) struct Demand {
    /// Finite work in thousandths of a core, with the time of the report.
    samples: VecDeque<(Duration, f64)>,
    /// Long-running work in thousandths of a core. It arrives in a step and stays, so it is not
    /// extrapolated.
    long_running_millis: f64,
    /// VMs over which the most widely spread step must be distributed.
    pub(crate) spread: u32,
    /// VMs of the pool that take work, and thousandths of a core for which no worker was found.
    usable_vms: u32,
    unplaced_millis: u64,
    /// Long-running tasks without a worker.
    pub(crate) unplaced_long_running: u32,
    /// Priority of the pool's most urgent work; 0 is the highest.
    pub(crate) priority: u32,
}

impl Demand {
    /// Records a report of the pool's owner and drops samples older than [`GROWTH_WINDOW`].
    pub(crate) fn sample(&mut self, now: Duration, pool: &report::Pool) {
        let finite = pool
            .running_millis
            .saturating_add(pool.waiting_millis)
            .saturating_sub(pool.long_running_millis);
        let millis = finite as f64 + pool.blocked_millis as f64 * BLOCKED_SHARE;
        self.long_running_millis = pool.long_running_millis as f64;
        self.samples.push_back((now, millis));
        self.spread = pool.min_vms;
        let usable = pool.vms.iter().filter(|vm| vm.usable).count();
        self.usable_vms = u32::try_from(usable).unwrap_or(u32::MAX);
        self.unplaced_millis = pool.unplaced_millis;
        self.unplaced_long_running = pool.unplaced_long_running;
        self.priority = pool.priority;
        while self.samples.front().is_some_and(|(at, _)| *at + GROWTH_WINDOW < now) {
            self.samples.pop_front();
        }
    }

    /// Thousandths of a core needed by the time a move ordered now has completed, on VMs of
    /// `vm_millis` each.
    pub(crate) fn forecast(&self, vm_millis: u64) -> f64 {
        self.long_running_millis + self.finite_forecast(vm_millis)
    }

    /// The finite part of [`Self::forecast`].
    fn finite_forecast(&self, vm_millis: u64) -> f64 {
        let Some((last_at, last)) = self.samples.back() else { return 0.0 };
        let Some((first_at, first)) = self.samples.front() else { return 0.0 };
        let span = last_at.saturating_sub(*first_at).as_secs_f64();
        let vm_millis = vm_millis.max(1) as f64;
        let noise_by_sqrt = NOISE_SQRT_FACTOR * (first / vm_millis).sqrt() * vm_millis;
        let noise = noise_by_sqrt.min(first * MAX_NOISE_SHARE);
        let growth_beyond_noise = (last - first - noise).max(0.0);
        let growth_per_s = if span > 0.0 { growth_beyond_noise / span } else { 0.0 };
        last + growth_per_s * FORECAST_HORIZON.as_secs_f64()
    }

    /// VMs that the pool keeps regardless of the demand of others.
    pub(crate) fn minimum(&self) -> u32 {
        // A long-running task has no worker although each VM of the pool either runs its share of
        // the step or has no capacity left, so one more VM is needed.
        let for_unplaced = if self.unplaced_long_running > 0 { self.usable_vms + 1 } else { 0 };
        self.retained_vms().max(for_unplaced)
    }

    /// VMs that the pool gives to no other pool while it has no more.
    pub(crate) fn retained_vms(&self) -> u32 {
        self.spread.max(MIN_VMS)
    }

    /// VMs needed for tasks without a worker. The pool may have enough capacity in total, but in
    /// fragments that are too small.
    fn vms_for_unplaced(&self, vm_millis: u64) -> u32 {
        let additional = self.unplaced_millis.div_ceil(vm_millis.max(1));
        if additional == 0 {
            0
        } else {
            self.usable_vms + u32::try_from(additional).unwrap_or(u32::MAX)
        }
    }

    /// Target number of VMs of `vm_millis` each; one more if a VM of the pool `awaits_maintenance`,
    /// since tasks that must be spread need a VM to move to.
    pub(crate) fn target_vms(&self, vm_millis: u64, awaits_maintenance: bool) -> u32 {
        let vms = |millis: f64| millis / vm_millis.max(1) as f64;
        let finite = vms(self.finite_forecast(vm_millis));
        let headroom = (finite * MAX_HEADROOM_SHARE).min(finite.sqrt() * HEADROOM_SQRT_FACTOR);
        let target = vms(self.long_running_millis) + finite + headroom + RESERVE_VMS;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the number of VMs is small and not negative"
        )]
        let target = target.ceil() as u32;
        let spread = self.spread + u32::from(awaits_maintenance);
        target.max(MIN_VMS).max(spread).max(self.vms_for_unplaced(vm_millis))
    }
}
