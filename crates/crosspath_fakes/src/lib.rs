//! Fakes of the platform and the upstreams, with fault injection.
//!
//! One process provides the log, the workers and pools, the VM list and all upstream VMs; each VM
//! has its own address. Tests, the quick start and the benchmark run the fakes in their own process
//! or start them as a program. The fakes count violations of what the system guarantees: payments
//! run twice, requests interrupted by a reboot, and more concurrent requests than a VM has slots.

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
