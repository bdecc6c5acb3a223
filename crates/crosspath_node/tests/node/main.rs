//! Tests of the daemon: its modules by themselves, and several daemons on one log in memory.

mod admission;
mod appends;
mod candidacy;
mod claim;
mod clock;
mod common;
mod directory;
mod evacuation;
mod handover;
mod isolation;
mod keys;
mod limits;
mod listing;
mod map;
mod outage;
mod paths;
mod pending;
mod progress;
mod reachability;
mod reassignment;
mod relay;
mod stamps;
mod standby;
mod storm;
mod vm_count;
mod workers;
