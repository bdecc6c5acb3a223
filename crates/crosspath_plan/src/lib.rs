//! Decisions on the fleet, as pure functions of the state and of what was observed.
//!
//! - [`place`] finds VMs for jobs.
//! - [`wave`] decides which VM is taken out next, and takes each through its steps.
//! - [`evacuate`] empties a VM that drains.
//! - [`view`] indexes the state for a round, and [`room`] says what is free.
//! - [`decide`] is one round of all of these.
//! - [`bound`] computes how fast a wave can be at best.
//!
//! Every decision is a list of changes for the log. The fold checks each again, so a planner that
//! decided on an old state loses, and breaks nothing.

use std::collections::BTreeMap;

use crosspath_state::State;
use crosspath_state::name::VmName;
use crosspath_state::record::Change;

use room::Rooms;
use view::View;
use wave::Observed;

pub mod bound;
pub mod evacuate;
pub mod place;
pub mod room;
pub mod view;
pub mod wave;

/// One round of decisions: steps of VMs that are out, jobs to resume, VMs to take out, jobs to place.
#[must_use]
pub fn decide(state: &State, observed: &BTreeMap<VmName, Observed>) -> Vec<Change> {
    let view = View::new(state);
    let mut rooms = Rooms::new(&view);
    let mut changes = wave::advance(&view, &mut rooms, observed);
    changes.extend(evacuate::resume(state));
    changes.extend(wave::starts(&view));
    changes.extend(place::pending(&view, &mut rooms).changes);
    changes
}
