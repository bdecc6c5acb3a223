//! Tests of the scheduler by its events and actions.

mod common;
mod lasting;
mod takeover;
