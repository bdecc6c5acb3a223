//! HTTP client for the platform's workers.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use crosspath_http::client::{self, Client, Method};
use crosspath_state::name::{JobName, VmName};

use crate::{Error, JobState, RebootId, Report, Worker};

/// Client for all workers of the platform, which are reached through one address.
#[derive(Debug, Clone)]
pub struct HttpWorker {
    client: Client,
}

impl HttpWorker {
    /// Creates a client whose calls time out after `timeout`.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { client: Client::new(address, timeout) }
    }

    async fn put(
        &self,
        vm: &VmName,
        path: &str,
        body: &(impl serde::Serialize + Sync),
    ) -> Result<(), Error> {
        let path = format!("/workers/{vm}/{path}");
        let response = self.client.call::<()>(Method::PUT, &path, Some(body)).await;
        response.map_err(|error| call_error(vm, error))
    }
}

fn call_error(vm: &VmName, error: client::Error) -> Error {
    let vm = vm.clone();
    match error {
        client::Error::Status { status, body, .. } if status.is_client_error() => {
            Error::Refused { vm, detail: body }
        }
        _ => Error::Unavailable { vm },
    }
}

#[async_trait]
impl Worker for HttpWorker {
    async fn report(&self, vm: &VmName) -> Result<Report, Error> {
        let path = format!("/workers/{vm}");
        let response = self.client.call(Method::GET, &path, None::<&()>).await;
        response.map_err(|error| call_error(vm, error))
    }

    async fn set_drained(&self, vm: &VmName, drained: bool) -> Result<(), Error> {
        self.put(vm, "drained", &drained).await
    }

    async fn reboot(&self, vm: &VmName, id: &RebootId) -> Result<(), Error> {
        self.put(vm, "reboot", id).await
    }

    async fn set_job(&self, vm: &VmName, job: &JobName, state: JobState) -> Result<(), Error> {
        self.put(vm, &format!("jobs/{job}"), &state).await
    }
}
