//! Paths of calls between daemons and from daemons to workers.
//!
//! Two data centres can lose the link between them while a third one reaches both. A call then
//! takes one relay: a daemon in another data centre that passes it on. This crate decides which path
//! a call takes, from the results of earlier calls. It reads no clock and does no I/O.

pub mod link;
mod links;

pub use links::{Links, Relay, Transition};
