//! Tests of the state and its fold.

mod common;
mod lease;
mod replay;
mod rules;
