//! Decisions on the fleet, as pure functions of the state and of what was observed.
//!
//! - [`place`] finds VMs for jobs.
//! - [`wave`] decides which VM is taken out next, and takes each through its steps.
//! - [`evacuate`] empties a VM that drains.
//! - [`view`] indexes the state for a round, and [`capacity`] says what is free.
//! - [`decide`] is one round of all of these.
//! - [`bound`] computes how fast a wave can be at best.
//!
//! Every decision is a list of changes for the log. The fold checks each again, so a planner that
//! decided on an old state loses, and breaks nothing.

use std::collections::BTreeMap;

use crosspath_state::State;
use crosspath_state::name::VmName;
use crosspath_state::record::Change;

use capacity::Capacity;
use view::View;
use wave::Observation;

pub mod bound;
pub mod capacity;
pub mod evacuate;
pub mod place;
pub mod view;
pub mod wave;

/// One round of decisions: steps of VMs that are out, jobs to resume, VMs to take out, jobs to place.
#[must_use]
pub fn decide(state: &State, observed: &BTreeMap<VmName, Observation>) -> Vec<Change> {
    let view = View::new(state);
    let mut capacity = Capacity::new(&view);
    let mut changes = wave::advance(&view, &mut capacity, observed);
    changes.extend(evacuate::resume(state));
    changes.extend(wave::next_drains(&view));
    changes.extend(place::pending(&view, &mut capacity).changes);
    changes
}
