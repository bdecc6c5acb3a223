//! Workers that drain, are cut off and lose their entry of the worker list, and end at last.

use std::sync::Arc;

use crosspath_schedule::Event;
use rand::RngExt as _;

use super::Simulation;

impl Simulation {
    /// Moves one worker on: it drains; then it is cut off, loses its entry and runs on; then it
    /// ends, and another one starts on its VM.
    pub(super) fn advance_departure(&mut self) {
        let draining = self.workers.values().find(|worker| worker.entry.draining);
        let Some(id) = draining.map(|worker| Arc::clone(&worker.entry.id)) else {
            return self.drain_some_worker();
        };
        let worker = self.workers.get_mut(&id).expect("a worker");
        if !worker.is_listed {
            return self.crash_worker(&id);
        }
        worker.is_partitioned = true;
        worker.is_listed = false;
        for owner in 0..self.owners.len() {
            self.notify(owner, Event::WorkerUnlisted(Arc::clone(&id)));
        }
    }

    /// Replaces the worker that drains, if there is one.
    pub(super) fn end_departure(&mut self) {
        let draining = self.workers.values().find(|worker| worker.entry.draining);
        if let Some(id) = draining.map(|worker| Arc::clone(&worker.entry.id)) {
            self.crash_worker(&id);
        }
    }

    fn drain_some_worker(&mut self) {
        let index = self.rng.random_range(0..self.workers.len());
        let worker = self.workers.values_mut().nth(index).expect("a worker");
        worker.entry.draining = true;
        let id = Arc::clone(&worker.entry.id);
        self.write_entry(&id);
    }
}
