//! Decisions on the fleet, as pure functions of the state and of the observations.
//!
//! - [`place`] finds VMs for jobs.
//! - [`wave`] decides which VM is serviced next, and advances each VM through its steps.
//! - [`evacuate`] vacates a draining VM.
//! - [`view`] indexes the state for a round, and [`capacity`] tracks free resources.
//! - [`decide`] runs one round of all of these.
//! - [`bound`] computes a lower bound on the duration of a wave.
//!
//! Every decision is a list of changes for the log. Each change is checked again when it is
//! applied, so the changes of a planner with a stale state are rejected without harm.

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

/// Runs one round of decisions: next steps of the VMs in maintenance, jobs to resume, VMs to drain,
/// jobs to place.
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
