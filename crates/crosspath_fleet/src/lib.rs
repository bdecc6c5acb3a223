//! Planner of the fleet: assigns VMs to pools and schedules their maintenance.
//!
//! The single owner of the fleet calls [`Planner::plan`] several times a second with its current
//! view: the list of VMs, the report of each pool's owner, and the maintenance waves. The planner
//! returns the orders to send and decides which VMs have to be vacated. An order kills everything
//! that runs on a VM, so it is sent only for a VM that its pool's owner has reported as vacant
//! while the VM was marked for vacating.
//!
//! Nothing here does I/O or reads a clock; `now` is the time since the process started.

mod allocation;
mod demand;
pub mod domains;
mod donor;
mod escalation;
pub mod evacuation;
mod index;
mod intent;
mod moves;
mod planner;
mod wave;

pub use planner::{Outcome, Plan, Planner, Settings, View};
