//! Daemon for platforms with an append-only log store.
//!
//! Every daemon accepts jobs from callers and appends them to their shards of the log. The daemons
//! form a group to whose members the platform assigns the shards; the owner of a shard runs its
//! scheduler. This crate connects the parts: it runs the tasks, makes the calls and reads the
//! clocks. Scheduling decisions are made in `crosspath_schedule`, decisions about VMs in
//! `crosspath_fleet`. The platform's protocols are behind the traits of `crosspath_border`.

mod appender;
pub mod assignment;
pub mod backoff;
pub mod candidacy;
mod change_log;
pub mod claim;
pub mod clock;
pub mod config_sync;
mod daemon;
pub mod directory;
pub mod evacuation;
mod feed;
mod fleet;
mod gateway;
pub mod handover;
mod inputs;
pub mod isolation;
pub mod listing;
pub mod map;
pub mod member;
mod membership;
mod metrics;
mod node;
mod order;
pub mod outage;
pub mod pages;
pub mod paths;
pub mod pending;
pub mod progress;
pub mod reachability;
mod relay;
mod relocation;
mod routed_runner;
mod routing;
mod rpc;
mod search;
pub mod settings;
mod shard;
mod shard_log;
pub mod stamps;
pub mod vm_count;
mod watch;
pub mod workers;

pub use daemon::{Ports, RunError, run};
pub use gateway::Gateway;
pub use settings::Settings;
