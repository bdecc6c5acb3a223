//! Tests of the scheduler, through its events and actions.

mod admission;
mod cancelled;
mod capacity;
mod common;
mod customer;
mod evacuation;
mod failed_runs;
mod incarnations;
mod job_spec;
mod limits;
mod long_running;
mod losses;
mod random_faults;
mod shares;
mod simulation;
mod stall;
mod takeover;
mod unconfirmed;
