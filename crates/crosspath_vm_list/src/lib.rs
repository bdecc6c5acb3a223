//! Interface to the platform's list of VMs, which lags behind their actual state.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use crosspath_http::client::{Client, Method};
use crosspath_state::name::VmName;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// The platform did not return the VM list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("platform did not return the VM list"))]
pub struct Unavailable;

/// Liveness of a VM according to the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Liveness {
    /// The VM is up.
    Live,
    /// The VM is up and is about to leave.
    Leaving,
    /// The VM is down.
    Down,
}

/// Entry of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Name of the VM.
    pub vm: VmName,
    /// Liveness of the VM, possibly out of date.
    pub liveness: Liveness,
}

/// Source of the platform's VM list.
#[async_trait]
pub trait VmList: Send + Sync + std::fmt::Debug {
    /// Returns an entry for every VM that the platform knows.
    ///
    /// # Errors
    ///
    /// [`Unavailable`] when the platform does not return the list.
    async fn list(&self) -> Result<Vec<Entry>, Unavailable>;
}

/// HTTP client for the VM list.
#[derive(Debug, Clone)]
pub struct HttpVmList {
    client: Client,
}

impl HttpVmList {
    /// Creates a client whose calls time out after `timeout`.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { client: Client::new(address, timeout) }
    }
}

#[async_trait]
impl VmList for HttpVmList {
    async fn list(&self) -> Result<Vec<Entry>, Unavailable> {
        let response = self.client.call(Method::GET, "/vms", None::<&()>).await;
        response.map_err(|error| {
            log::debug!("event=vm_list_unavailable error={error}");
            Unavailable
        })
    }
}
