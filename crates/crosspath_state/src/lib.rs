//! Resources, log records and the replicated state that results from applying the records.
//!
//! The platform's append-only log orders everything that daemons must agree on. Each daemon reads
//! the same [`record::Batch`]es in the same order and applies them with [`State::apply`], which is
//! pure: no clock, no randomness, no I/O. A change that breaks a rule is rejected while it is
//! applied, by the same rule on every daemon, so a stale or faulty writer cannot break an
//! invariant.

mod apply;
pub mod budget;
pub mod conflict;
pub mod job;
pub mod lease;
pub mod member;
pub mod name;
pub mod partition;
pub mod record;
pub mod resource;
pub mod snapshot;
mod state;
pub mod time;
pub mod vm;
pub mod wave;

pub use apply::Applied;
pub use conflict::Conflict;
pub use state::{LastWrite, State, Stored};
