//! Decisions on the fleet, as pure functions of the state and of what was observed.
//!
//! - [`place`] finds VMs for jobs.
//! - [`wave`] decides which VM is taken out next, and takes each through its steps.
//! - [`evacuate`] empties a VM that drains.
//! - [`bound`] computes how fast a wave can be at best.
//!
//! Every decision is a list of changes for the log. The fold checks each again, so a planner that
//! decided on an old state loses, and breaks nothing.

pub mod bound;
pub mod evacuate;
pub mod place;
pub mod room;
pub mod wave;
