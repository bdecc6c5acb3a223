//! Protocol between daemons: JSON-RPC over HTTP.
//!
//! [`Link`] is the interface to one peer, and [`RpcLink`] its implementation over JSON-RPC.
//! [`Handler`] serves the calls of peers. Peers authenticate with a shared token and are accepted
//! only from the addresses in the settings.

mod api;
mod link;
pub mod message;
mod server;

use async_trait::async_trait;
use crosspath_route::claim::Verdict;
use snafu::Snafu;

pub use link::{BuildError, RpcLink};
pub use message::{Claim, Heartbeat, HeartbeatReply, LookUp, Settle, StateCopy, Transfer};
pub use server::{Access, MAX_MESSAGE_BYTES, serve};

/// No reply from a peer; the peer may have handled the call.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("no reply from peer: {detail}"))]
pub struct Unanswered {
    /// Message of the RPC library's error.
    pub detail: String,
}

/// Connection to one peer.
#[async_trait]
pub trait Link: Send + Sync + std::fmt::Debug {
    /// Sends a heartbeat and returns that of the peer.
    ///
    /// # Errors
    ///
    /// [`Unanswered`] when no reply arrives; the peer may have handled the call.
    async fn heartbeat(&self, heartbeat: Heartbeat) -> Result<HeartbeatReply, Unanswered>;

    /// Claims a payment key from its owner.
    ///
    /// # Errors
    ///
    /// [`Unanswered`] when no reply arrives; the claim may have been granted.
    async fn claim(&self, claim: Claim) -> Result<Verdict, Unanswered>;

    /// Reports the outcome of a claimed request to the key's owner.
    ///
    /// # Errors
    ///
    /// [`Unanswered`] when no reply arrives; the peer may have handled the call.
    async fn settle(&self, settle: Settle) -> Result<(), Unanswered>;

    /// Looks up the claim on a payment key; none when the owner has no claim of this caller.
    ///
    /// # Errors
    ///
    /// [`Unanswered`] when no reply arrives; the peer may have handled the call.
    async fn look_up(&self, look_up: LookUp) -> Result<Option<Verdict>, Unanswered>;

    /// Hands claims over; returns whether the peer accepted them in the addressed incarnation.
    ///
    /// # Errors
    ///
    /// [`Unanswered`] when no reply arrives; the peer may have handled the call.
    async fn take_over(&self, transfer: Transfer) -> Result<bool, Unanswered>;

    /// Fetches a copy of the peer's state.
    ///
    /// # Errors
    ///
    /// [`Unanswered`] when no reply arrives; the peer may have handled the call.
    async fn state(&self) -> Result<StateCopy, Unanswered>;
}

/// Handles the calls of peers.
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// Handles a heartbeat and returns this daemon's own.
    async fn heartbeat(&self, heartbeat: Heartbeat) -> HeartbeatReply;
    /// Grants or refuses a claim on a payment key.
    async fn claim(&self, claim: Claim) -> Verdict;
    /// Records the outcome of a claimed request.
    async fn settle(&self, settle: Settle);
    /// Looks up the claim on a payment key.
    async fn look_up(&self, look_up: LookUp) -> Option<Verdict>;
    /// Accepts claims handed over by a peer; returns whether they were accepted.
    async fn take_over(&self, transfer: Transfer) -> bool;
    /// Returns a copy of this daemon's state.
    async fn state(&self) -> StateCopy;
}
