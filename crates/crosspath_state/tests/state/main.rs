//! Tests of the state and of the application of records.

mod common;
mod lease;
mod replay;
mod rules;
