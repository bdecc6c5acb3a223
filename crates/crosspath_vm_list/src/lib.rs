//! The platform's list of VMs, which lags.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use crosspath_http::client::{Client, Method};
use crosspath_state::name::VmName;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// The list gives no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("the VM list gives no answer"))]
pub struct Unavailable;

/// What the list says of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Liveness {
    /// It is up.
    Live,
    /// It is up and will go.
    Leaving,
    /// It is down.
    Down,
}

/// A line of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Which VM.
    pub vm: VmName,
    /// What the list says of it.
    pub liveness: Liveness,
}

/// The list.
#[async_trait]
pub trait VmList: Send + Sync + std::fmt::Debug {
    /// Every VM that the platform knows.
    ///
    /// # Errors
    ///
    /// [`Unavailable`].
    async fn list(&self) -> Result<Vec<Entry>, Unavailable>;
}

/// The list over HTTP.
#[derive(Debug, Clone)]
pub struct HttpVmList {
    client: Client,
}

impl HttpVmList {
    /// Makes a client; each call takes at most `timeout`.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { client: Client::new(address, timeout) }
    }
}

#[async_trait]
impl VmList for HttpVmList {
    async fn list(&self) -> Result<Vec<Entry>, Unavailable> {
        let answer = self.client.call(Method::GET, "/vms", None::<&()>).await;
        answer.map_err(|error| {
            log::debug!("event=vm_list_unavailable error={error}");
            Unavailable
        })
    }
}
