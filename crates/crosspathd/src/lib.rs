//! The daemon of an entry VM, wired from the other crates.
//!
//! # Shared tables and lock order
//!
//! Tasks share the tables of [`core::Core`]. A task that holds one lock takes another only further
//! down this list, and holds none across an await:
//!
//! 1. `claims` (payment keys of own partitions)
//! 2. `leases` (promises given and got), `frozen` (partitions being handed over)
//! 3. `seen` (what peers said last)
//! 4. `pools` (the map), then one pool
//! 5. `outcomes` (verdicts of recent batches)
//! 6. `history` (recent states)
//!
//! The state itself is read without a lock: it is replaced whole.

mod api;
mod bootstrap;
mod claims;
mod clock;
mod committer;
pub mod core;
mod daemon;
mod driver;
mod follower;
mod gateway;
mod handover;
mod jobs;
mod membership;
mod outcomes;
mod peers;
mod pools;
mod snapshotter;
mod stop;
mod watcher;

pub use daemon::{RunError, run};
