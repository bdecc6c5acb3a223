//! Connections of which it is known which process is at their other end.
//!
//! A pool hands out any connection to an address. After a restart of the server a new one leads to another process, and
//! nothing tells before its first answer. As long as a connection is open, though, it leads to the process that
//! answered over it before.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderValue, Request, Uri, header};
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::client::legacy::connect::HttpConnector;
use tower::ServiceExt as _;

use crate::client::{Answer, Error, NoAnswerSnafu, NotSentSnafu, whole};

/// A connection for one request at a time.
#[derive(Debug)]
pub(crate) struct Line {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    /// The process that answered over it last, as far as its answer told.
    pub(crate) process: Option<u64>,
}

impl Line {
    /// Opens a connection.
    pub(crate) async fn open(connector: HttpConnector, address: SocketAddr) -> Result<Self, Error> {
        let uri: Uri = format!("http://{address}/").parse().expect("an address makes a URI");
        let Ok(stream) = connector.oneshot(uri).await else {
            return NotSentSnafu { address }.fail();
        };
        let Ok((sender, connection)) = http1::handshake(stream).await else {
            return NotSentSnafu { address }.fail();
        };
        drop(tokio::spawn(connection));
        Ok(Self { address, sender, process: None })
    }

    /// Whether another request can be sent.
    pub(crate) async fn is_open(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and reads the whole answer.
    pub(crate) async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Answer, Error> {
        let address = self.address;
        match self.sender.send_request(in_origin_form(request, address)).await {
            Ok(answer) => whole(address, answer).await,
            Err(error) if error.is_canceled() => NotSentSnafu { address }.fail(),
            Err(_) => NoAnswerSnafu { address }.fail(),
        }
    }
}

/// The request as servers take it: its URI is a path, and a header names the server.
fn in_origin_form(mut request: Request<Full<Bytes>>, address: SocketAddr) -> Request<Full<Bytes>> {
    let path = request.uri().path_and_query().cloned();
    *request.uri_mut() = path.map(Uri::from).unwrap_or_default();
    let host = HeaderValue::try_from(address.to_string()).expect("an address makes a header");
    request.headers_mut().insert(header::HOST, host);
    request
}
