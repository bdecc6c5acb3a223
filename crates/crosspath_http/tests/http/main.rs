//! Tests of the HTTP client and the server loop on the loopback interface.

mod hedge;
mod latency;
mod limits;
mod silent;
