//! HTTP building blocks shared by the crates of the workspace: a JSON client for one server, a
//! server loop with graceful shutdown, and body reading that is bounded in size and time.

pub mod body;
pub mod budget;
pub mod capacity;
pub mod client;
pub mod connection;
mod connections;
mod hedge;
pub mod latency;
pub mod pressure;
pub mod server;

pub use body::Body;
