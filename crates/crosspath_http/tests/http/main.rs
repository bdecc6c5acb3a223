//! Tests of the client against servers over loopback.

mod latency;
mod repeat;
mod silent;
