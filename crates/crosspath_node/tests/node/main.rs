//! Tests of the daemon's parts.

mod away;
mod claim;
mod map;
