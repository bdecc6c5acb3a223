//! The availability budget of a pool: what is used, and what a voluntary step may still take.
//!
//! A failure cannot be refused, a voluntary step can. So a voluntary step counts the failed VMs,
//! or the pool's reserve for failures where that is more, as taken already: then a declared
//! failure in the middle of a wave exceeds nothing.

use serde::{Deserialize, Serialize};

use crate::conflict::{BelowMinimumSnafu, BudgetExceededSnafu, Conflict};
use crate::name::PoolName;
use crate::resource::Pool;
use crate::state::State;
use crate::vm;
use snafu::ensure;

/// VMs of a pool, counted by what they do.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Take work.
    pub serving: u32,
    /// Drain or reboot.
    pub voluntary: u32,
    /// Failed.
    pub failed: u32,
}

impl Usage {
    /// Counts the VMs of `pool`.
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

    /// Whether voluntary steps made the pool exceed its budget.
    #[must_use]
    pub fn exceeds(self, pool: &Pool) -> bool {
        self.voluntary > 0 && self.voluntary + self.failed.min(pool.reserve) > pool.max_unavailable
    }

    /// VMs that voluntary steps may still take out.
    #[must_use]
    pub fn allowed_disruptions(self, pool: &Pool) -> u32 {
        pool.max_unavailable.saturating_sub(self.voluntary + self.withheld(pool))
    }

    fn withheld(self, pool: &Pool) -> u32 {
        self.failed.max(pool.reserve)
    }
}

/// Checks that one more VM of the pool may be taken out.
pub(crate) fn check_disruption(name: &PoolName, pool: &Pool, usage: Usage) -> Result<(), Conflict> {
    let voluntary = usage.voluntary + 1;
    check_limit(name, pool, Usage { voluntary, ..usage })
}

/// Checks that what is taken out already stays within the budget of `pool`.
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

/// Checks that one serving VM may leave the pool for good.
pub(crate) fn check_removal(name: &PoolName, pool: &Pool, usage: Usage) -> Result<(), Conflict> {
    let serving = usage.serving.saturating_sub(1);
    let min_available = pool.min_available;
    ensure!(
        serving >= min_available,
        BelowMinimumSnafu { pool: name.clone(), serving, min_available }
    );
    Ok(())
}
