//! Tests of the client against servers over loopback.

mod hedge;
mod latency;
mod silent;
