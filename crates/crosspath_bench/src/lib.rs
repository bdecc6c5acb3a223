//! Figures: counted ones with bounds, timed ones as ratios, and slopes.
//!
//! Counted figures step the pure decisions through made-up histories with a clock of their own, so
//! that every run gives the same numbers; `bounds.json` holds what they may not exceed.

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
