//! Tests of the daemon's parts.

mod away;
mod map;
