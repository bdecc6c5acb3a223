//! Jobs as the daemon keeps them: identifiers, specifications, and the records of the log.
//!
//! Nothing here does I/O or reads a clock.

pub mod id;
pub mod progress;
pub mod record;
pub mod spec;

pub use id::{JobId, TaskId};
pub use progress::Progress;
pub use spec::Spec;
