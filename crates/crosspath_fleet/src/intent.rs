//! What is planned for a VM.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crosspath_border::vm::Order;

/// How far a plan for a VM is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Its tasks end or are moved.
    Vacating,
    /// The order was given and has no answer yet.
    Ordered {
        /// When it was last sent.
        at: Duration,
    },
    /// The order was done.
    Done {
        /// When that was heard.
        at: Duration,
    },
}

/// A plan for a VM.
#[derive(Debug, Clone)]
pub(crate) struct Intent {
    pub(crate) order: Order,
    pub(crate) stage: Stage,
    pub(crate) planned_at: Duration,
    /// How long the lasting tasks that were there take to move elsewhere.
    pub(crate) time_to_vacate: Duration,
}

impl Intent {
    pub(crate) fn new(order: Order, now: Duration, time_to_vacate: Duration) -> Self {
        Self { order, stage: Stage::Vacating, planned_at: now, time_to_vacate }
    }

    pub(crate) fn maintenance_wave(&self) -> Option<u64> {
        match self.order {
            Order::Maintain { wave } => Some(wave),
            Order::Move { .. } => None,
        }
    }

    pub(crate) fn target_pool(&self) -> Option<&Arc<str>> {
        match &self.order {
            Order::Move { pool } => Some(pool),
            Order::Maintain { .. } => None,
        }
    }

    /// Whether the VM is to become vacant for its upkeep in a wave.
    pub(crate) fn is_vacating_for(&self, wave: u64) -> bool {
        self.maintenance_wave() == Some(wave) && self.stage == Stage::Vacating
    }

    /// Whether upkeep in a wave was ordered, done or not.
    pub(crate) fn is_ordered_for(&self, wave: u64) -> bool {
        self.maintenance_wave() == Some(wave) && self.stage != Stage::Vacating
    }

    /// Whether the order may be given by what is left of the upkeep orders of each wave; it is then
    /// one fewer. An order that was given before is counted already.
    pub(crate) fn consume_budget(&self, budgets: &mut BTreeMap<u64, usize>) -> bool {
        let Some(wave) = self.maintenance_wave() else { return true };
        if self.stage != Stage::Vacating {
            return true;
        }
        let Some(budget) = budgets.get_mut(&wave) else { return false };
        let has_budget = *budget > 0;
        *budget = budget.saturating_sub(1);
        has_budget
    }
}
