//! Small stand-ins for the platform and the upstreams, with faults to inject.
//!
//! One process plays the log, the workers and pools, the VM list, and every upstream VM, each VM on
//! an address of its own. Tests, the quick start and the bench start it as a program or run it in
//! their own process. It counts what the system must not do: payments run twice, requests cut off
//! by a reboot, more requests at one time than a VM has slots.

pub mod config;
pub mod fault;
pub mod ledger;
mod log_store;
pub mod memory_store;
mod platform;
pub mod site;
mod upstream;
pub mod vm;

pub use config::Config;
pub use platform::{Fakes, StartError};
