//! Client of the log over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use crosspath_http::client::{Client, Error, Method, StatusCode};
use crosspath_state::record::Revision;
use serde::{Deserialize, Serialize};

use crate::{AppendError, Log, Page, ReadError};

/// Body of an append request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Append {
    /// Content of the record.
    pub data: String,
}

/// Response to an append request.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Appended {
    /// Offset of the appended record.
    pub offset: Revision,
}

/// HTTP client of the platform's log at one address.
#[derive(Debug, Clone)]
pub struct HttpLog {
    client: Client,
    timeout: Duration,
}

impl HttpLog {
    /// Creates a client. Each call takes at most `timeout`; a read may wait its `wait` in addition.
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

/// Whether the platform's contract guarantees for this status that nothing was appended.
fn is_refusal(status: StatusCode) -> bool {
    status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE
}
