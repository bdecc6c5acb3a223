//! The scheduler of one shard: a state machine that takes events and returns actions.
//!
//! A shard holds the jobs and workers of one slice of a pool; in a small deployment a slice is a
//! whole pool. The single owner of the shard passes [`Event`]s to the [`Scheduler`] (records of the
//! log, replies of workers, changes of the worker list) and carries out the [`Action`]s that it
//! returns. Nothing here does I/O or reads a clock: `now` is always the time since the process
//! started.
//!
//! [`job::Task`] and `worker::Worker` keep the state that prevents a task from running twice. A
//! task gets a second run only if its step allows speculative copies. A run that may exist on a
//! worker counts as existing until a reply of that worker, or the end of its lease, rules it out.

pub mod action;
pub mod admission;
mod answers;
mod commit;
pub mod domains;
mod durations;
mod ended_runs;
mod event;
mod incarnations;
pub mod job;
mod jobs;
mod lacks;
pub mod lease;
mod limits;
mod losses;
pub mod overload;
mod parts;
mod place;
mod polls;
pub mod reassignment;
pub mod report;
mod runs;
mod scheduler;
mod shares;
mod stall;
mod step_spread;
pub mod takeover;
mod throttle;
mod tickets;
mod vacate;
mod waits;
pub mod warm_up;
mod worker;

pub use action::Action;
pub use event::Event;
pub use scheduler::{Scheduler, Settings};

/// Whole ms of a duration; the maximum if they do not fit.
fn as_ms(duration: std::time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
