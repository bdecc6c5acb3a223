//! Tests of the quota protocol: single rules, and random histories with all kinds of faults.

mod cases;
mod histories;
mod simulation;
