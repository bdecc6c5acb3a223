//! What a shard's scheduler was last told of what its daemon knows, and what of that has changed.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crosspath_schedule::Event;

use crate::map::PoolSlice;
use crate::node::Node;

/// What the scheduler was last told.
#[derive(Debug)]
pub(crate) struct Inputs {
    /// Version of the configuration.
    version: Option<u64>,
    evacuated: Arc<BTreeSet<Arc<str>>>,
    may_start: bool,
    may_act: bool,
    /// Whether the store is away for all.
    outage: bool,
}

impl Default for Inputs {
    /// As a scheduler begins.
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
    /// What the scheduler of a slice's shard is to hear at `now`.
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
        let outage = node.is_store_away(now);
        if outage != self.outage {
            self.outage = outage;
            log::info!("event=store_away shard={shard} unit={pool_slice} away={outage}");
        }
        events
    }
}
