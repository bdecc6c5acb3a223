//! VMs that go down for a while, one or several at once, and the platform's list of VMs, which is
//! up to 2.5 s behind and arrives up to 3 s later.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crosspath_schedule::Event;
use crosspath_schedule::domains::{Down, Stamp};
use rand::RngExt as _;

use super::Simulation;
use crate::common::ms;

/// Probability that an owner's list of VMs is requested in a step.
const LIST_PERCENT: u32 = 25;
/// Number of VMs that are down from which their data centre counts as lost.
const LOST_VMS: usize = 3;
/// Number of workers that stay up.
const MIN_WORKERS: usize = 2;

/// VMs that are down, and the lists on their way to owners.
#[derive(Debug, Default)]
pub(crate) struct Outages {
    /// VMs that are down, each with the time of its return and the worker that it had.
    down: Vec<(Duration, Arc<str>, Arc<str>)>,
    /// VMs that were down after each step.
    history: Vec<(Duration, BTreeSet<Arc<str>>)>,
    /// Lists on their way: time of arrival, index of the owner, and what the list shows.
    lists: Vec<(Duration, usize, Down)>,
}

impl Simulation {
    pub(crate) fn step_vms(&mut self) {
        if !self.lists_vms {
            return;
        }
        if self.chance(self.faults.outage) {
            self.lose_vms();
        }
        self.restore_vms();
        let down = self.outages.down.iter().map(|(_, vm, _)| Arc::clone(vm)).collect();
        self.outages.history.push((self.now, down));
        if self.chance(LIST_PERCENT) {
            self.request_list();
        }
        let now = self.now;
        let lists = std::mem::take(&mut self.outages.lists);
        let (due, pending) = lists.into_iter().partition(|(arrival, ..)| now >= *arrival);
        self.outages.lists = pending;
        let due: Vec<_> = due;
        for (_, owner, down) in due {
            self.notify(owner, Event::VmsDown(down));
        }
    }

    fn lose_vms(&mut self) {
        let until = self.now + ms(self.rng.random_range(300..4_000));
        for _ in 0..self.rng.random_range(1..=LOST_VMS) {
            if self.workers.len() <= MIN_WORKERS {
                return;
            }
            let index = self.rng.random_range(0..self.workers.len());
            let id = Arc::clone(self.workers.keys().nth(index).expect("a worker"));
            let worker = self.workers.remove(&id).expect("a worker");
            self.outages.down.push((until, Arc::clone(&worker.entry.vm), id));
            self.ended_entries.push(worker.entry);
        }
    }

    fn restore_vms(&mut self) {
        let now = self.now;
        let down = std::mem::take(&mut self.outages.down);
        let (back, down): (Vec<_>, Vec<_>) =
            down.into_iter().partition(|(until, ..)| now >= *until);
        self.outages.down = down;
        for (_, vm, previous) in back {
            self.add_worker(&vm);
            let entries = self.entries();
            let entry = entries.into_iter().find(|entry| entry.vm == vm).expect("a worker");
            for owner in 0..self.owners.len() {
                self.notify(owner, Event::WorkerUnlisted(Arc::clone(&previous)));
                self.notify(owner, Event::WorkerListed(entry.clone()));
            }
        }
    }

    /// Requests a list after a report of some owner, mostly the current one.
    fn request_list(&mut self) {
        let owner = if self.chance(80) { self.current } else { self.owners.len() - 1 };
        let lag = ms(self.rng.random_range(0..=2_500));
        let as_of = self.now.saturating_sub(lag);
        let state = self.outages.history.iter().rev().find(|(at, _)| *at <= as_of);
        let Some((_, vms)) = state.cloned() else { return };
        let lost = vms.len() >= LOST_VMS;
        let lost_data_centres = lost.then(|| "a".into()).into_iter().collect();
        let at_ms = u64::try_from(self.now.as_millis()).expect("a time that fits in 64 bits");
        let stamp = Stamp { epoch: self.owners[owner].epoch, at_ms };
        let arrival = self.now + ms(self.rng.random_range(0..3_000));
        self.outages.lists.push((arrival, owner, Down { stamp, vms, lost_data_centres }));
    }
}
