//! Daemon-wide inputs of a shard's scheduler, and events for those that have changed.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crosspath_schedule::Event;

use crate::map::PoolSlice;
use crate::node::Node;

/// Inputs last passed to the scheduler.
#[derive(Debug)]
pub(crate) struct Inputs {
    /// Version of the configuration; `None` before the first one.
    version: Option<u64>,
    evacuated: Arc<BTreeSet<Arc<str>>>,
    may_start: bool,
    may_act: bool,
    /// Whether this daemon acts as owner only because of an outage of the store. It is only logged.
    outage: bool,
}

impl Default for Inputs {
    /// Inputs that a new scheduler assumes.
    fn default() -> Self {
        Self {
            version: None,
            evacuated: Arc::default(),
            may_start: true,
            may_act: true,
            outage: false,
        }
    }
}

impl Inputs {
    /// Returns events for the inputs that have changed by `now`, for the scheduler of a pool
    /// slice's shard.
    pub(crate) fn changes(
        &mut self,
        node: &Node,
        now: Duration,
        shard: u32,
        pool_slice: &PoolSlice,
    ) -> Vec<Event> {
        let mut events = Vec::new();
        if let Some(table) = node.table()
            && self.version != Some(table.version)
        {
            self.version = Some(table.version);
            events.push(Event::Limits(table.limits()));
            let shard_fraction = 1.0 / f64::from(node.map().slices().unwrap_or(1).max(1));
            events.push(Event::Weights { weights: table.weights(), shard_fraction });
        }
        let evacuated = node.evacuated().data_centres;
        if !Arc::ptr_eq(&evacuated, &self.evacuated) {
            self.evacuated = Arc::clone(&evacuated);
            events.push(Event::Evacuated(evacuated));
        }
        let may_start = node.may_start(now);
        if may_start != self.may_start {
            self.may_start = may_start;
            log::info!("event=may_start shard={shard} unit={pool_slice} may_start={may_start}");
            events.push(Event::MayStart(may_start));
        }
        let may_act = node.may_act(now);
        if may_act != self.may_act {
            self.may_act = may_act;
            log::info!("event=may_act shard={shard} unit={pool_slice} may_act={may_act}");
            events.push(Event::MayAct(may_act));
        }
        let outage = node.is_store_outage(now);
        if outage != self.outage {
            self.outage = outage;
            log::info!("event=store_away shard={shard} unit={pool_slice} away={outage}");
        }
        events
    }
}
