//! JSON-RPC client for one peer.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use crosspath_route::claim::Verdict;
use http::{HeaderMap, HeaderValue, header};
use jsonrpsee::core::ClientError;
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use snafu::{ResultExt as _, Snafu};

use crate::api::ApiClient as _;
use crate::message::{Claim, Heartbeat, HeartbeatReply, LookUp, Settle, StateCopy, Transfer};
use crate::{Link, Unanswered};

const MAX_MESSAGE_BYTES: u32 = 64 * 1024 * 1024;

/// Failure to create a client from the settings.
#[derive(Debug, Snafu)]
pub enum BuildError {
    /// The token contains characters that are not allowed in a header.
    #[snafu(display("peer_token contains characters that are not allowed in an HTTP header"))]
    Token {
        /// Error from building the header value.
        source: header::InvalidHeaderValue,
    },
    /// The RPC library rejected the address or the options.
    #[snafu(display("cannot create RPC client for peer {address}"))]
    Client {
        /// Address of the peer.
        address: SocketAddr,
        /// Error of the RPC library.
        #[snafu(source(from(ClientError, Box::new)))]
        source: Box<ClientError>,
    },
}

/// JSON-RPC client for the peer at one address.
#[derive(Debug, Clone)]
pub struct RpcLink {
    client: HttpClient,
}

impl RpcLink {
    /// Creates a client whose calls time out after `timeout`.
    ///
    /// # Errors
    ///
    /// [`BuildError`] when the token or the address cannot be used.
    pub fn new(address: SocketAddr, token: &str, timeout: Duration) -> Result<Self, BuildError> {
        let mut bearer = HeaderValue::from_str(&format!("Bearer {token}")).context(TokenSnafu)?;
        bearer.set_sensitive(true);
        let headers = HeaderMap::from_iter([(header::AUTHORIZATION, bearer)]);
        let builder = HttpClientBuilder::default();
        let builder = builder.request_timeout(timeout).set_headers(headers);
        let builder = builder.max_request_size(MAX_MESSAGE_BYTES);
        let builder = builder.max_response_size(MAX_MESSAGE_BYTES);
        let client = builder.build(format!("http://{address}"));
        let client = client.context(ClientSnafu { address })?;
        Ok(Self { client })
    }
}

fn unanswered(error: ClientError) -> Unanswered {
    Unanswered { detail: error.to_string() }
}

#[async_trait]
impl Link for RpcLink {
    async fn heartbeat(&self, heartbeat: Heartbeat) -> Result<HeartbeatReply, Unanswered> {
        self.client.heartbeat(heartbeat).await.map_err(unanswered)
    }

    async fn claim(&self, claim: Claim) -> Result<Verdict, Unanswered> {
        self.client.claim(claim).await.map_err(unanswered)
    }

    async fn settle(&self, settle: Settle) -> Result<(), Unanswered> {
        self.client.settle(settle).await.map_err(unanswered)
    }

    async fn look_up(&self, look_up: LookUp) -> Result<Option<Verdict>, Unanswered> {
        self.client.look_up(look_up).await.map_err(unanswered)
    }

    async fn take_over(&self, transfer: Transfer) -> Result<bool, Unanswered> {
        self.client.take_over(transfer).await.map_err(unanswered)
    }

    async fn state(&self) -> Result<StateCopy, Unanswered> {
        self.client.state().await.map_err(unanswered)
    }
}
