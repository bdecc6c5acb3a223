//! Tests of the state and its fold.

mod common;
mod fold;
mod lease;
mod rules;
