//! Lower bound on the duration of a maintenance wave.
//!
//! At most `width = max_unavailable - reserve` VMs of a pool are in maintenance at one time, each
//! for at least the service time, so a pool of `n` VMs takes at least `ceil(n / width)` service
//! times. A canary adds one service time, for the first VM alone. Pools proceed in parallel, so the
//! wave takes at least as long as its slowest pool.

use std::time::Duration;

use crosspath_state::{State, wave};

/// Lower bound on the duration of `wave`, where `service` is the shortest time that a VM is in
/// maintenance.
///
/// None when a pool does not exist or its budget allows no VM to be taken out.
#[must_use]
pub fn wave_time(state: &State, wave: &wave::Spec, service: Duration) -> Option<Duration> {
    let mut slowest = Duration::ZERO;
    for name in &wave.pools {
        let pool = &state.pools.get(name)?.spec;
        let width = pool.max_unavailable.saturating_sub(pool.reserve);
        let vms = u32::try_from(state.vms_of(name).count()).ok()?;
        let rounds = rounds(vms, width, wave.canary)?;
        slowest = slowest.max(service * rounds);
    }
    Some(slowest)
}

fn rounds(vms: u32, width: u32, canary: bool) -> Option<u32> {
    if vms == 0 {
        return Some(0);
    }
    if width == 0 {
        return None;
    }
    let canary_rounds = u32::from(canary);
    Some(canary_rounds + (vms - canary_rounds).div_ceil(width))
}
