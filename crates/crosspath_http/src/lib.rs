//! What the crates of the peers share of HTTP: a JSON client, a server loop, and bounded bodies.

pub mod body;
pub mod client;
pub mod connection;
pub mod latency;
mod repeat;
pub mod server;

pub use body::Body;
