//! What is planned for a VM.

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
    pub(crate) since: Duration,
    /// How long the lasting tasks that were there take to move elsewhere.
    pub(crate) emptying: Duration,
}

impl Intent {
    pub(crate) fn new(order: Order, now: Duration, emptying: Duration) -> Self {
        Self { order, stage: Stage::Vacating, since: now, emptying }
    }

    pub(crate) fn upkeep_of(&self) -> Option<u64> {
        match self.order {
            Order::Maintain { wave } => Some(wave),
            Order::Move { .. } => None,
        }
    }

    pub(crate) fn moves_to(&self) -> Option<&Arc<str>> {
        match &self.order {
            Order::Move { pool } => Some(pool),
            Order::Maintain { .. } => None,
        }
    }
}
