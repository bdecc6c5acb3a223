//! Tests of the planner through its public interface: views in, orders out.

mod common;
mod domains;
mod evacuation;
mod long_running;
mod moves;
mod remaining;
mod size;
mod spread;
mod wave;
