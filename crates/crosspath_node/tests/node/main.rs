//! Tests of the daemon's parts.

mod appends;
mod away;
mod candidacy;
mod claim;
mod clock;
mod common;
mod contact;
mod directory;
mod evacuation;
mod handover;
mod keys;
mod listing;
mod map;
mod pending;
mod standby;
mod storm;
mod vm_count;
mod workers;
