//! Tests of the planner by what it sees and orders.

mod common;
mod moves;
mod size;
mod wave;
