//! Paths of calls between daemons and from daemons to workers.
//!
//! Two data centres can lose the link between them while a third one reaches both. A call then
//! takes one relay: a daemon in another data centre that passes it on. This crate decides which path
//! a call takes, from the results of earlier calls. It reads no clock and does no I/O.

use std::net::SocketAddr;
use std::sync::Arc;

/// Path of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Path {
    /// The call goes to its destination.
    Direct,
    /// The call goes to a daemon that passes it on to its destination, directly.
    Relayed {
        /// Address of the relay for peers.
        relay: SocketAddr,
    },
}

/// Daemon that can pass on calls.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Relay {
    /// Address for peers.
    pub address: SocketAddr,
    /// Data centre of the daemon's VM.
    pub data_centre: Arc<str>,
    /// Processor time of the daemon's VM, in thousandths of a core.
    pub millicores: u32,
}
