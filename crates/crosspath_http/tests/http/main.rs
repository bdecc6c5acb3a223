//! Tests of the client against servers over loopback.

mod silent;
