//! Tests of the daemon's parts.

mod appends;
mod away;
mod candidacy;
mod claim;
mod contact;
mod handover;
mod map;
mod pending;
