//! Tests of the HTTP client against servers on the loopback interface.

mod hedge;
mod latency;
mod silent;
