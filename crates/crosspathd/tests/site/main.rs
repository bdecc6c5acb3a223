//! Tests of daemon processes against the fake platform and upstreams, with injected faults.

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
