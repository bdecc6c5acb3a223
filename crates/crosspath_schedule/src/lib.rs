//! The scheduler of one shard: events in, actions out.
//!
//! A shard is a pool's jobs and workers. Its one owner feeds the [`Scheduler`] what it hears (records
//! of the log, answers of workers, changes of the worker list) and carries out the [`Action`]s that
//! come back. Nothing here does I/O or reads a clock; `now` is the time since the process started.
//!
//! What keeps a task from running twice stands in [`job::Task`] and `worker::Worker`: a task has a
//! second run only where its step allows copies, and a run that may exist somewhere counts as one
//! until an answer of the worker, or the end of its lease, rules it out.

pub mod action;
mod answers;
mod commit;
mod ended_runs;
mod event;
mod incarnations;
pub mod job;
mod jobs;
pub mod lease;
mod limits;
mod losses;
mod place;
mod polls;
pub mod report;
mod runs;
mod scheduler;
mod shares;
mod stall;
pub mod takeover;
mod throttle;
mod tickets;
mod vacate;
mod worker;

pub use action::Action;
pub use event::Event;
pub use scheduler::{Scheduler, Settings};
