//! JSON-RPC methods. Their names and parameters are part of the wire protocol.

use crosspath_route::claim::Verdict;
use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;

use crate::message::{Claim, Heartbeat, HeartbeatReply, LookUp, Settle, StateCopy, Transfer};

#[rpc(client, server)]
pub(crate) trait Api {
    #[method(name = "beat")]
    async fn heartbeat(&self, beat: Heartbeat) -> RpcResult<HeartbeatReply>;

    #[method(name = "claim")]
    async fn claim(&self, claim: Claim) -> RpcResult<Verdict>;

    #[method(name = "settle")]
    async fn settle(&self, settle: Settle) -> RpcResult<()>;

    #[method(name = "look_up")]
    async fn look_up(&self, look_up: LookUp) -> RpcResult<Option<Verdict>>;

    #[method(name = "take_over")]
    async fn take_over(&self, transfer: Transfer) -> RpcResult<bool>;

    #[method(name = "state")]
    async fn state(&self) -> RpcResult<StateCopy>;
}
