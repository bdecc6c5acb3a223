//! What the crates of the peers share of HTTP: a JSON client, a server loop, and bounded bodies.

pub mod body;
pub mod client;
pub mod connection;
mod hedge;
pub mod latency;
pub mod server;

pub use body::Body;
