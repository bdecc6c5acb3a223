//! JSON-RPC server for peers.

use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use crosspath_http::Body;
use crosspath_http::body::{self, BodyError, Inbound};
use crosspath_http::server::{self, Limits, Stage};
use crosspath_route::claim::Verdict;
use crosspath_settings::token::Hash;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt as _, Full};
use jsonrpsee::core::RpcResult;
use jsonrpsee::server::{Methods, Server, ServerConfig, StopHandle, stop_channel};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tower::Service as _;

use crate::Handler;
use crate::api::ApiServer;
use crate::message::{Claim, Heartbeat, HeartbeatReply, LookUp, Settle, StateCopy, Transfer};

/// Maximum size of a request and of a response, in bytes.
pub const MAX_MESSAGE_BYTES: u32 = 64 * 1024 * 1024;

/// Access control: a peer needs both the token and a listed address.
#[derive(Debug, Clone)]
pub struct Access {
    /// Hash of the token that all daemons share.
    pub token: Hash,
    /// IP addresses from which peers may connect.
    pub addresses: BTreeSet<IpAddr>,
}

impl Access {
    fn admits(&self, request: &Request<Inbound>, peer: SocketAddr) -> bool {
        let value = request.headers().get(header::AUTHORIZATION);
        let value = value.and_then(|value| value.to_str().ok());
        let token = value.and_then(|value| value.strip_prefix("Bearer "));
        self.addresses.contains(&peer.ip()) && token.is_some_and(|token| self.token.matches(token))
    }
}

struct RpcHandler<H>(Arc<H>);

#[async_trait]
impl<H: Handler> ApiServer for RpcHandler<H> {
    async fn heartbeat(&self, heartbeat: Heartbeat) -> RpcResult<HeartbeatReply> {
        Ok(self.0.heartbeat(heartbeat).await)
    }

    async fn claim(&self, claim: Claim) -> RpcResult<Verdict> {
        Ok(self.0.claim(claim).await)
    }

    async fn settle(&self, settle: Settle) -> RpcResult<()> {
        self.0.settle(settle).await;
        Ok(())
    }

    async fn look_up(&self, look_up: LookUp) -> RpcResult<Option<Verdict>> {
        Ok(self.0.look_up(look_up).await)
    }

    async fn take_over(&self, transfer: Transfer) -> RpcResult<bool> {
        Ok(self.0.take_over(transfer).await)
    }

    async fn state(&self) -> RpcResult<StateCopy> {
        Ok(self.0.state().await)
    }
}

/// Serves peers on `listener` until `stop` ends the server.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    limits: Limits,
    stop: watch::Receiver<Stage>,
    access: Access,
    body_timeout: Duration,
    handler: Arc<H>,
) {
    let (stop_handle, _keep) = stop_channel();
    let methods: Methods = RpcHandler(handler).into_rpc().into();
    let access = Arc::new(access);
    let handle = move |request: Request<Inbound>, peer: SocketAddr| {
        let (methods, stop_handle) = (methods.clone(), stop_handle.clone());
        let admitted = access.admits(&request, peer);
        async move {
            if !admitted {
                log::warn!("event=peer_refused peer={peer}");
                return empty(StatusCode::UNAUTHORIZED);
            }
            let (head, body) = request.into_parts();
            match body::read(body, MAX_MESSAGE_BYTES.into(), body_timeout).await {
                Ok(body) => {
                    let request = Request::from_parts(head, Full::new(body));
                    call(methods, stop_handle, request).await
                }
                Err(error) => {
                    log::warn!("event=peer_request_unread peer={peer} error=\"{error}\"");
                    empty(unread_status(error))
                }
            }
        }
    };
    server::serve(listener, limits, stop, handle).await;
}

async fn call(
    methods: Methods,
    stop_handle: StopHandle,
    request: Request<Full<Bytes>>,
) -> Response<Body> {
    let config = ServerConfig::builder()
        .max_request_body_size(MAX_MESSAGE_BYTES)
        .max_response_body_size(MAX_MESSAGE_BYTES)
        .http_only()
        .build();
    let builder = Server::builder().set_config(config).to_service_builder();
    let mut service = builder.build(methods, stop_handle);
    match service.call(request).await {
        Ok(response) => response.map(|body| body.map_err(Into::into).boxed_unsync()),
        Err(error) => {
            log::warn!("event=peer_call_failed error={error}");
            empty(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn unread_status(error: BodyError) -> StatusCode {
    match error {
        BodyError::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
        BodyError::TooSlow { .. } => StatusCode::REQUEST_TIMEOUT,
        BodyError::Truncated => StatusCode::BAD_REQUEST,
        BodyError::NoRoom { .. } => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn empty(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(body::full(""));
    *response.status_mut() = status;
    response
}
