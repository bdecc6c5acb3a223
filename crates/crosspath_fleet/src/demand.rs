//! How many VMs a pool wants, from what it runs and how fast that grows.

use std::collections::VecDeque;
use std::time::Duration;

use crosspath_schedule::report;

/// Over which growth is taken.
const GROWTH_WINDOW: Duration = Duration::from_millis(1_200);
/// How far ahead is forecast: a move takes 1.5 s, hearing of it and of the new worker about 1 s.
const FORECAST_HORIZON: Duration = Duration::from_millis(2_500);
/// Growth by so many times the root of the work, in VMs, is chance and is not carried forward: it would move VMs to
/// and fro for work that only strays.
const NOISE_SQRT_FACTOR: f64 = 1.0;
/// The same as a share of the work at most: two VMs' worth that becomes four is no chance, but the first jobs of a
/// turn.
const MAX_NOISE_SHARE: f64 = 0.12;
/// Share of the work of later steps that is wanted already.
const BLOCKED_SHARE: f64 = 0.2;
/// Share of the forecast that is held beside it at most: room for uneven tasks and for what the forecast
/// misses.
const MAX_HEADROOM_SHARE: f64 = 0.25;
/// The same by the root of the forecast in VMs: jobs come independently, so what they ask for strays by its root,
/// once where a job asks for a VM and a half. It equals [`HEADROOM`] at 25 VMs.
const HEADROOM_SQRT_FACTOR: f64 = 1.25;
/// VMs beyond that, for the first jobs of a peak and the loss of a VM.
const RESERVE_VMS: f64 = 1.0;
/// VMs of a pool at least, so that it goes on when a VM is lost.
const MIN_VMS: u32 = 2;

/// Demand of a pool over the last moments.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    /// Brief work in thousandths of a core, and when it was told of.
    samples: VecDeque<(Duration, f64)>,
    /// Lasting work, in thousandths of a core: it comes in a step and stays, and is not carried forward.
    long_running_millis: f64,
    /// VMs over which some step must be spread.
    spread: u32,
    /// VMs that it uses, and thousandths of a core that no worker was found for.
    usable_vms: u32,
    unplaced_millis: u64,
    /// Lasting tasks without a worker.
    unplaced_long_running: u32,
    /// Priority of its most urgent work; 0 goes first.
    pub(crate) priority: u32,
}

impl Demand {
    /// Takes in a report.
    pub(crate) fn sample(&mut self, now: Duration, pool: &report::Pool) {
        let finite =
            (pool.running_millis + pool.waiting_millis).saturating_sub(pool.long_running_millis);
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

    /// Thousandths of a core that will be wanted when a move ordered now is through, at VMs of `vm_millis`
    /// each.
    pub(crate) fn forecast(&self, vm_millis: u64) -> f64 {
        self.long_running_millis + self.finite_forecast(vm_millis)
    }

    /// The same of brief work.
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

    /// VMs that the pool keeps whatever others want.
    pub(crate) fn minimum(&self) -> u32 {
        // A lasting task without a worker: each VM of the pool has its share of the step, or no room.
        let for_unplaced = if self.unplaced_long_running > 0 { self.usable_vms + 1 } else { 0 };
        self.spread.max(MIN_VMS).max(for_unplaced)
    }

    /// Tasks may find no worker though there is room enough in all: it is in pieces too small.
    fn vms_for_unplaced(&self, vm_millis: u64) -> u32 {
        let additional = self.unplaced_millis.div_ceil(vm_millis.max(1));
        if additional == 0 {
            0
        } else {
            self.usable_vms + u32::try_from(additional).unwrap_or(u32::MAX)
        }
    }

    /// VMs of `vm_millis` each that are wanted, one more while VMs of the pool are `being_emptied`:
    /// tasks that must be spread need a place to move to.
    pub(crate) fn target_vms(&self, vm_millis: u64, awaits_maintenance: bool) -> u32 {
        let vms = |millis: f64| millis / vm_millis.max(1) as f64;
        let finite = vms(self.finite_forecast(vm_millis));
        let headroom = (finite * MAX_HEADROOM_SHARE).min(finite.sqrt() * HEADROOM_SQRT_FACTOR);
        let target = vms(self.long_running_millis) + finite + headroom + RESERVE_VMS;
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "some VMs")]
        let target = target.ceil() as u32;
        let spread = self.spread + u32::from(awaits_maintenance);
        target.max(MIN_VMS).max(spread).max(self.vms_for_unplaced(vm_millis))
    }
}
