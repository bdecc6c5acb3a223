//! Availability budget of a pool: what is used, and what voluntary disruptions may still use.
//!
//! A failure cannot be refused, a voluntary disruption can. The check of a voluntary disruption
//! therefore counts the failed VMs, or the pool's reserve for failures if that is larger, as
//! already unavailable, so that a failure reported during a wave does not exceed the budget.

use serde::{Deserialize, Serialize};

use crate::conflict::{BelowMinimumSnafu, BudgetExceededSnafu, Conflict};
use crate::name::PoolName;
use crate::resource::Pool;
use crate::state::State;
use crate::vm;
use snafu::ensure;

/// Number of VMs of a pool by availability.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// VMs that accept work.
    pub serving: u32,
    /// VMs that drain or reboot for maintenance.
    pub voluntary: u32,
    /// VMs that are reported as failed.
    pub failed: u32,
}

impl Usage {
    /// Counts the VMs of `pool` in `state`.
    #[must_use]
    pub fn of(state: &State, pool: &PoolName) -> Self {
        state.vms_of(pool).fold(Self::default(), |usage, (_, vm)| usage.add(&vm.status))
    }

    pub(crate) fn add(mut self, phase: &vm::Phase) -> Self {
        match phase {
            vm::Phase::Serving => self.serving += 1,
            vm::Phase::Draining { .. } | vm::Phase::Rebooting { .. } => self.voluntary += 1,
            vm::Phase::Failed { .. } => self.failed += 1,
        }
        self
    }

    /// Whether voluntary disruptions made the pool exceed its budget.
    #[must_use]
    pub fn exceeds(self, pool: &Pool) -> bool {
        self.voluntary > 0 && self.voluntary + self.failed.min(pool.reserve) > pool.max_unavailable
    }

    /// Number of VMs that voluntary disruptions may still make unavailable.
    #[must_use]
    pub fn allowed_disruptions(self, pool: &Pool) -> u32 {
        pool.max_unavailable.saturating_sub(self.voluntary + self.withheld(pool))
    }

    fn withheld(self, pool: &Pool) -> u32 {
        self.failed.max(pool.reserve)
    }
}

/// Checks that one more VM of the pool may be taken out of service voluntarily.
pub(crate) fn check_disruption(name: &PoolName, pool: &Pool, usage: Usage) -> Result<(), Conflict> {
    let voluntary = usage.voluntary + 1;
    check_limit(name, pool, Usage { voluntary, ..usage })
}

/// Checks that the VMs already out of service stay within the budget of `pool`.
pub(crate) fn check_limit(name: &PoolName, pool: &Pool, usage: Usage) -> Result<(), Conflict> {
    let withheld = usage.withheld(pool);
    let within = usage.voluntary == 0 || usage.voluntary + withheld <= pool.max_unavailable;
    let max_unavailable = pool.max_unavailable;
    let voluntary = usage.voluntary;
    ensure!(
        within,
        BudgetExceededSnafu { pool: name.clone(), max_unavailable, voluntary, withheld }
    );
    Ok(())
}

/// Checks that one serving VM may leave the pool permanently.
pub(crate) fn check_removal(name: &PoolName, pool: &Pool, usage: Usage) -> Result<(), Conflict> {
    let serving = usage.serving.saturating_sub(1);
    let min_available = pool.min_available;
    ensure!(
        serving >= min_available,
        BelowMinimumSnafu { pool: name.clone(), serving, min_available }
    );
    Ok(())
}
