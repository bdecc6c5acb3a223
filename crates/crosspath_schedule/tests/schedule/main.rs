//! Tests of the scheduler by its events and actions.

mod common;
mod failing;
mod lasting;
mod model;
mod takeover;
mod world;
