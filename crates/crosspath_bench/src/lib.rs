//! Benchmarks: counted figures with bounds, timed figures with their spread, and slopes over the
//! size of a deployment.
//!
//! Counted figures come from running the pure decision functions through simulated histories on a
//! virtual clock, so that every run gives the same numbers. `bounds.json` holds their upper bounds.

pub mod baseline;
pub mod counts;
pub mod figure;
pub mod fleet;
pub mod overload;
pub mod report;
pub mod slopes;
pub mod slots;
pub mod timed;
pub mod wave;
