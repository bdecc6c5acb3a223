//! A crowd that sends many requests at once over each connection, by HTTP/2.

use std::convert::Infallible;
use std::net::SocketAddr;

use bytes::Bytes;
use futures::future::join_all;
use futures::stream::{StreamExt as _, iter, pending};
use http::{Method, Request, header};
use http_body_util::StreamBody;
use http_body_util::combinators::BoxBody;
use hyper::body::Frame;
use hyper::client::conn::http2::handshake;
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Size of each piece of a body.
const PIECE_BYTES: usize = 16 * 1024;
/// Size of the padding in a head.
const PADDING_BYTES: usize = 8 * 1024;

/// Connections of a crowd, which stay open until this is dropped.
#[derive(Debug)]
pub(crate) struct Crowd {
    connections: Vec<JoinHandle<()>>,
}

impl Drop for Crowd {
    fn drop(&mut self) {
        for connection in &self.connections {
            connection.abort();
        }
    }
}

impl Crowd {
    /// Opens connections and sends as many requests over each, all but the end of their bodies of
    /// `bytes`.
    pub(crate) async fn send(
        address: SocketAddr,
        size: usize,
        requests: usize,
        bytes: usize,
    ) -> Self {
        let connected = join_all((0..size).map(|_| TcpStream::connect(address))).await;
        let streams = connected.into_iter().flatten();
        let run = |stream| tokio::spawn(run(stream, requests, bytes));
        Self { connections: streams.map(run).collect() }
    }
}

async fn run(stream: TcpStream, requests: usize, bytes: usize) {
    let Ok((sender, connection)) = handshake(TokioExecutor::new(), TokioIo::new(stream)).await
    else {
        return;
    };
    let exchanges = (0..requests).map(|_| {
        let mut sender = sender.clone();
        async move {
            let piece = Bytes::from(vec![b' '; PIECE_BYTES]);
            let frames = std::iter::repeat_n(piece, bytes / PIECE_BYTES - 1);
            let frames = iter(frames.map(|piece| Ok::<_, Infallible>(Frame::data(piece))));
            let body = BoxBody::new(StreamBody::new(frames.chain(pending())));
            let request = Request::builder()
                .method(Method::POST)
                .uri("http://pay.example/pay/00000000000000aa")
                .header(header::HOST, "pay.example")
                .header(header::CONTENT_LENGTH, bytes)
                .header("x-padding", "x".repeat(PADDING_BYTES))
                .body(body);
            let Ok(request) = request else { return };
            if sender.ready().await.is_ok() {
                let _ = sender.send_request(request).await;
            }
        }
    });
    let (_, _) = tokio::join!(connection, join_all(exchanges));
}
