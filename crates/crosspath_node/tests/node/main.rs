//! Tests of the daemon's parts.

mod away;
mod candidacy;
mod claim;
mod contact;
mod map;
mod pending;
