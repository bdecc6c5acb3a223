//! Real daemon processes against the stand-ins, under faults.

mod api;
mod common;
mod config;
mod entry;
mod isolation;
mod jobs;
mod log_faults;
mod owner;
mod payments;
mod stop;
mod wave;
