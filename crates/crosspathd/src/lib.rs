//! The daemon of an entry VM, assembled from the other crates.
//!
//! # Shared state and lock order
//!
//! Tasks share the state in [`core::Core`]. A task that holds a lock may acquire only locks further
//! down this list, and it holds no lock across an await:
//!
//! 1. `claims` (payment keys in this daemon's partitions)
//! 2. `leases` (lease grants given and received), `frozen` (partitions being handed over)
//! 3. `peer_states` (last heartbeat of each peer)
//! 4. `pools` (the map), then one pool
//! 5. `outcomes` (verdicts of recent batches)
//! 6. `history` (recent states)
//!
//! The replicated state is not in this list: it is replaced as a whole, and readers share a
//! snapshot.

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
