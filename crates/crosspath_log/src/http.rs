//! The log over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use crosspath_http::client::{Client, Error, Method, StatusCode};
use crosspath_state::record::Revision;
use serde::{Deserialize, Serialize};

use crate::{AppendError, Log, Page, ReadError};

/// Body of an append.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Append {
    /// The record.
    pub data: String,
}

/// Answer to an append.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Appended {
    /// Its offset.
    pub offset: Revision,
}

/// The log of the platform at one address.
#[derive(Debug, Clone)]
pub struct HttpLog {
    client: Client,
    timeout: Duration,
}

impl HttpLog {
    /// Makes a client; each call takes at most `timeout`, beside the wait of a read.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { client: Client::new(address, timeout), timeout }
    }
}

#[async_trait]
impl Log for HttpLog {
    async fn append(&self, data: String) -> Result<Revision, AppendError> {
        let body = Append { data };
        let response = self.client.call::<Appended>(Method::POST, "/log", Some(&body)).await;
        match response {
            Ok(appended) => Ok(appended.offset),
            Err(Error::NotSent { .. }) => Err(AppendError::NotAppended),
            Err(Error::Status { status, .. }) if is_refusal(status) => {
                Err(AppendError::NotAppended)
            }
            Err(_) => Err(AppendError::Unknown),
        }
    }

    async fn read(&self, after: Revision, wait: Duration) -> Result<Page, ReadError> {
        let path = format!("/log?after={after}&wait_ms={}", wait.as_millis());
        let timeout = self.timeout + wait;
        let response =
            self.client.call_within::<Page>(Method::GET, &path, None::<&()>, timeout).await;
        let page = match response {
            Ok(page) => page,
            Err(_) => return Err(ReadError::Unavailable),
        };
        let first = page.first;
        if after.next() < first {
            return Err(ReadError::Expired { first });
        }
        Ok(page)
    }
}

/// Whether the status says that nothing was appended, by the contract of the platform.
fn is_refusal(status: StatusCode) -> bool {
    status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE
}
