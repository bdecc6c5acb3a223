//! The daemon on a platform that keeps the log.
//!
//! Every daemon takes jobs from callers and appends them to their shard of the log. The daemons form
//! a group among which the platform deals the shards; the owner of a shard runs its scheduler. What
//! stands here is wiring: tasks, calls and time. Decisions are in `crosspath_schedule` and
//! `crosspath_plan`; the platform's protocols are behind the traits of `crosspath_border`.

mod appender;
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
pub mod listing;
pub mod map;
pub mod member;
mod membership;
mod metrics;
mod node;
mod order;
pub mod outage;
pub mod pages;
pub mod pending;
pub mod reachability;
mod routing;
mod rpc;
pub mod settings;
mod shard;
mod shard_log;
pub mod vm_count;
mod watch;
pub mod workers;

pub use daemon::{Ports, RunError, run};
pub use gateway::Gateway;
pub use settings::Settings;
