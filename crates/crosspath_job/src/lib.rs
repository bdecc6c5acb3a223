//! Data model of jobs: identifiers, specifications, and the records stored in the log.
//!
//! This crate does no I/O and reads no clock.

pub mod id;
pub mod progress;
pub mod record;
pub mod spec;

pub use id::{JobId, TaskId};
pub use progress::Progress;
pub use spec::Spec;
