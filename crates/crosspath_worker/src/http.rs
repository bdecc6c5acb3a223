//! Workers and pools over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use crosspath_http::client::{self, Client, Method};
use crosspath_state::name::{JobName, VmName};

use crate::{Error, JobState, RebootId, Report, Worker};

/// Workers and pools of the platform at one address.
#[derive(Debug, Clone)]
pub struct HttpWorker {
    client: Client,
}

impl HttpWorker {
    /// Makes a client; each call takes at most `timeout`.
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
        let answer = self.client.call::<()>(Method::PUT, &path, Some(body)).await;
        answer.map_err(|error| call_error(vm, error))
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
        let answer = self.client.call(Method::GET, &path, None::<&()>).await;
        answer.map_err(|error| call_error(vm, error))
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
