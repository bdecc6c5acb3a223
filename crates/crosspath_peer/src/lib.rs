//! The protocol between daemons: JSON-RPC over HTTP.
//!
//! [`Link`] is the border towards one peer and [`RpcLink`] its one real implementation; what a
//! daemon answers to its peers stands behind [`Handler`]. Peers show each other a shared token and
//! are let in only from the addresses of the settings.

mod api;
mod link;
pub mod message;
mod server;

use async_trait::async_trait;
use crosspath_route::claim::Verdict;
use snafu::Snafu;

pub use link::{BuildError, RpcLink};
pub use message::{Claim, Heartbeat, HeartbeatReply, LookUp, Settle, StateCopy, Transfer};
pub use server::{Access, serve};

/// A peer gave no answer; what it was asked for may have happened.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("peer gives no answer: {detail}"))]
pub struct Unanswered {
    /// What the library says.
    pub detail: String,
}

/// One peer.
#[async_trait]
pub trait Link: Send + Sync + std::fmt::Debug {
    /// Exchanges heartbeats.
    ///
    /// # Errors
    ///
    /// [`Unanswered`].
    async fn heartbeat(&self, heartbeat: Heartbeat) -> Result<HeartbeatReply, Unanswered>;

    /// Claims a payment key.
    ///
    /// # Errors
    ///
    /// [`Unanswered`]; the claim may stand.
    async fn claim(&self, claim: Claim) -> Result<Verdict, Unanswered>;

    /// Says how a claimed request ended.
    ///
    /// # Errors
    ///
    /// [`Unanswered`].
    async fn settle(&self, settle: Settle) -> Result<(), Unanswered>;

    /// Asks what is known of a payment key; none when nothing is.
    ///
    /// # Errors
    ///
    /// [`Unanswered`].
    async fn look_up(&self, look_up: LookUp) -> Result<Option<Verdict>, Unanswered>;

    /// Hands claims over; whether the peer, in that life, took them.
    ///
    /// # Errors
    ///
    /// [`Unanswered`].
    async fn take_over(&self, transfer: Transfer) -> Result<bool, Unanswered>;

    /// Asks for the peer's state.
    ///
    /// # Errors
    ///
    /// [`Unanswered`].
    async fn state(&self) -> Result<StateCopy, Unanswered>;
}

/// What a daemon answers to its peers.
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// A heartbeat.
    async fn heartbeat(&self, heartbeat: Heartbeat) -> HeartbeatReply;
    /// A claim.
    async fn claim(&self, claim: Claim) -> Verdict;
    /// The end of a claimed request.
    async fn settle(&self, settle: Settle);
    /// A question about a key.
    async fn look_up(&self, look_up: LookUp) -> Option<Verdict>;
    /// Claims handed over.
    async fn take_over(&self, transfer: Transfer) -> bool;
    /// A copy of the state.
    async fn state(&self) -> StateCopy;
}
