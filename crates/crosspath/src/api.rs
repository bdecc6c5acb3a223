//! Client of a daemon's resource API.

use std::net::SocketAddr;
use std::time::Duration;

use crosspath_http::client::{self, Client, Method};
use crosspath_operator::model::{Explanation, List, Outcome, Problem, Resource, Status};
use crosspath_state::record::Revision;
use crosspath_state::resource::{Id, Kind};
use http::{Request, header};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use snafu::OptionExt as _;

use crate::args::Connection;
use crate::error::{Error, MissingServerSnafu, MissingTokenSnafu};

const TIMEOUT: Duration = Duration::from_secs(15);
const TOKEN_VARIABLE: &str = "CROSSPATH_TOKEN";

/// Client of one daemon's resource API.
#[derive(Clone)]
pub(crate) struct Api {
    client: Client,
    token: String,
}

impl Api {
    /// Creates a client. The token on the command line takes precedence over the one in the
    /// environment.
    pub(crate) fn new(connection: &Connection) -> Result<Self, Error> {
        let token = connection.token.clone().or_else(|| std::env::var(TOKEN_VARIABLE).ok());
        let token = token.context(MissingTokenSnafu { variable: TOKEN_VARIABLE })?;
        let server = connection.server.context(MissingServerSnafu)?;
        let client = Client::new(server, TIMEOUT).with_token(&token);
        Ok(Self { client, token })
    }

    /// Returns the address of the daemon.
    pub(crate) fn server(&self) -> SocketAddr {
        self.client.address()
    }

    pub(crate) fn token(&self) -> &str {
        &self.token
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<T, Error> {
        self.client.call(method, path, body).await.map_err(from_client_error)
    }

    pub(crate) async fn get(&self, id: &Id) -> Result<Option<Resource>, Error> {
        match self.call(Method::GET, &resource_path(id), None).await {
            Ok(resource) => Ok(Some(resource)),
            Err(Error::Refused { status: 404, .. }) => Ok(None),
            Err(error) => Err(error),
        }
    }

    pub(crate) async fn list(&self, kind: Kind) -> Result<List, Error> {
        self.call(Method::GET, &format!("/v1/{kind}"), None).await
    }

    /// Creates or updates a resource. Fails unless the resource is still at the revision
    /// `expected`, where 0 means that it does not exist.
    pub(crate) async fn put(
        &self,
        id: &Id,
        spec: &Value,
        expected: Revision,
    ) -> Result<Resource, Error> {
        let body = json!({ "spec": spec });
        let request = Request::put(resource_path(id));
        let request = match expected {
            Revision(0) => request.header(header::IF_NONE_MATCH, "*"),
            expected => request.header(header::IF_MATCH, format!("\"{expected}\"")),
        };
        self.send(request, &body).await
    }

    pub(crate) async fn delete(&self, id: &Id, expected: Option<u64>) -> Result<Value, Error> {
        let request = Request::delete(resource_path(id));
        let request = match expected {
            Some(expected) => request.header(header::IF_MATCH, format!("\"{expected}\"")),
            None => request,
        };
        self.send(request, &Value::Null).await
    }

    async fn send<T: DeserializeOwned>(
        &self,
        request: http::request::Builder,
        body: &Value,
    ) -> Result<T, Error> {
        let response = self.client.send(request, body.to_string().into()).await;
        let response = response.map_err(from_client_error)?;
        let address = self.client.address();
        if !response.head.status.is_success() {
            let body = String::from_utf8_lossy(&response.body).into_owned();
            return Err(from_client_error(client::Error::Status {
                address,
                status: response.head.status,
                body,
            }));
        }
        serde_json::from_slice(&response.body)
            .map_err(|source| from_client_error(client::Error::Malformed { address, source }))
    }

    pub(crate) async fn set_phase(&self, wave: &Id, phase: &Value) -> Result<Resource, Error> {
        let body = json!({ "phase": phase });
        self.call(Method::PUT, &format!("{}/phase", resource_path(wave)), Some(&body)).await
    }

    pub(crate) async fn explain(&self, id: &Id) -> Result<Explanation, Error> {
        self.call(Method::GET, &format!("/v1/explain/{}/{}", id.kind, id.name), None).await
    }

    pub(crate) async fn status(&self) -> Result<Status, Error> {
        self.call(Method::GET, "/v1/status", None).await
    }

    pub(crate) async fn outcome(&self, change: &str) -> Result<Outcome, Error> {
        self.call(Method::GET, &format!("/v1/changes/{change}"), None).await
    }
}

fn resource_path(id: &Id) -> String {
    format!("/v1/{}/{}", id.kind, id.name)
}

fn from_client_error(error: client::Error) -> Error {
    match error {
        client::Error::Status { status, body, .. } => {
            let problem = serde_json::from_str::<Problem>(&body).unwrap_or_else(|_| Problem {
                reason: "other".to_owned(),
                message: format!("the daemon answered {status}"),
                field: None,
                conflict: None,
                change: None,
            });
            Error::Refused { status: status.as_u16(), problem: Box::new(problem) }
        }
        source => Error::Call { source },
    }
}
