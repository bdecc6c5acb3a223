//! Tests of real daemons against clients that together exhaust memory or descriptors while each of
//! them stays within the limits of a single request. Most send all but the end of a request and
//! keep the connection open.
//!
//! The tests check only what does not depend on the speed of the machine: that the process lives,
//! that its memory and its descriptors stay within the limits in its settings, and that an ordinary
//! request is served while the connections of the crowd are open. They run one after another.

mod crowd;
mod platform;
mod process;
mod site;
mod streams;

/// Held by the test that runs.
static ONE_AT_A_TIME: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());
