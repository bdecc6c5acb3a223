//! Tests of the scheduler, through its events and actions.

mod admission;
mod cancelled;
mod capacity;
mod common;
mod customer;
mod departures;
mod domains;
mod evacuation;
mod failed_runs;
mod incarnations;
mod job_spec;
mod lacks;
mod limits;
mod load;
mod long_running;
mod losses;
mod overload;
mod quiet;
mod random_faults;
mod shares;
mod simulation;
mod spread;
mod stall;
mod takeover;
mod unconfirmed;
mod warm_up;
