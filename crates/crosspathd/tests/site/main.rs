//! Real daemon processes against the stand-ins, under faults.

mod api;
mod common;
mod config;
mod cut;
mod entry;
mod jobs;
mod log_faults;
mod owner;
mod payments;
mod stop;
mod wave;
