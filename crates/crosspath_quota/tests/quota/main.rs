//! Parts of customers' maxima: single cases, and histories with every fault.

mod cases;
mod histories;
mod simulation;
