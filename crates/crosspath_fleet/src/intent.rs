//! Planned orders and their progress.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crosspath_border::vm::Order;

/// Progress of a planned order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// The VM's tasks end or are moved; the order has not been sent.
    Vacating,
    /// The order was sent and has not been answered.
    Ordered {
        /// Time of the last attempt.
        at: Duration,
    },
    /// The platform reported the order as done.
    Done {
        /// Time at which the answer arrived.
        at: Duration,
    },
}

/// An order that is planned for a VM.
#[derive(Debug, Clone)]
pub(crate) struct Intent {
    pub(crate) order: Order,
    pub(crate) stage: Stage,
    pub(crate) planned_at: Duration,
    /// Estimated time to move the long-running tasks that the VM had when the order was planned.
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

    /// Whether the VM is being vacated for maintenance in the wave.
    pub(crate) fn is_vacating_for(&self, wave: u64) -> bool {
        self.maintenance_wave() == Some(wave) && self.stage == Stage::Vacating
    }

    /// Whether maintenance in the wave has been ordered, done or not.
    pub(crate) fn is_ordered_for(&self, wave: u64) -> bool {
        self.maintenance_wave() == Some(wave) && self.stage != Stage::Vacating
    }

    /// Whether the order may be sent within the remaining maintenance budget of its wave, from
    /// which it then takes one. Moves need no budget, and an order that was sent before is already
    /// counted.
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
