//! Which VM is in which pool, and when a VM has its upkeep.
//!
//! The fleet's one owner calls [`Planner::plan`] some times a second with what it knows: the list of
//! VMs, each pool as its owner reports it, the waves. The planner says which VMs are to become
//! vacant and which orders to give. An order kills all that runs on a VM, so it is given only for a
//! VM that its pool's owner has reported as vacant while it was to be.
//!
//! Nothing here does I/O or reads a clock; `now` is the time since the process started.

mod allocation;
mod demand;
mod donor;
mod index;
mod intent;
mod moves;
mod planner;
mod wave;

pub use planner::{Outcome, Plan, Planner, Settings, View};
