//! Clients that send all or most of a request at once and keep their connections open.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::future::join_all;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;

/// Time after which a client gives up to connect, or to send a piece that the daemon does not take.
const GIVE_UP: Duration = Duration::from_secs(10);

/// Connections of a crowd, which stay open until this is dropped.
#[derive(Debug)]
pub(crate) struct Crowd {
    streams: Vec<TcpStream>,
}

impl Crowd {
    /// Opens connections without sending anything.
    pub(crate) async fn connect(address: SocketAddr, size: usize) -> Self {
        let connect = || tokio::time::timeout(GIVE_UP, TcpStream::connect(address));
        let connected = join_all((0..size).map(|_| connect())).await;
        Self { streams: connected.into_iter().flatten().flatten().collect() }
    }

    /// Opens connections and sends the pieces over each of them: the first one over all, then the
    /// second one over all, and so on. Refused and closed connections are no errors.
    pub(crate) async fn send(address: SocketAddr, size: usize, pieces: &[Bytes]) -> Self {
        let mut crowd = Self::connect(address, size).await;
        for piece in pieces {
            let streams = std::mem::take(&mut crowd.streams).into_iter();
            let writes = streams.map(|stream| tokio::spawn(write(stream, piece.clone())));
            let streams: Vec<_> = writes.collect();
            crowd.streams = join_all(streams).await.into_iter().flatten().collect();
        }
        crowd
    }
}

async fn write(mut stream: TcpStream, piece: Bytes) -> TcpStream {
    let _ = tokio::time::timeout(GIVE_UP, stream.write_all(&piece)).await;
    stream
}

/// Body that a crowd sends.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Payload {
    pub(crate) bytes: usize,
    /// Size of a chunk; `None` sends the length in the head instead.
    pub(crate) chunk: Option<usize>,
}

impl Payload {
    /// Request with this body, without the end of the body. `head` has the request line and the
    /// headers, each with its line end.
    pub(crate) fn unfinished(self, head: &str) -> Bytes {
        let Some(chunk) = self.chunk else {
            let mut request = format!("{head}content-length: {}\r\n\r\n", self.bytes).into_bytes();
            request.resize(request.len() + self.bytes - 1, b' ');
            return request.into();
        };
        let mut request = format!("{head}transfer-encoding: chunked\r\n\r\n").into_bytes();
        for _ in 0..self.bytes / chunk {
            request.extend(format!("{chunk:x}\r\n").into_bytes());
            request.resize(request.len() + chunk, b' ');
            request.extend(b"\r\n");
        }
        request.into()
    }
}

/// Divides a request into pieces of the same size.
pub(crate) fn pieces(request: &Bytes, count: usize) -> Vec<Bytes> {
    let size = request.len().div_ceil(count);
    (0..count)
        .map(|at| {
            request.slice((at * size).min(request.len())..((at + 1) * size).min(request.len()))
        })
        .collect()
}
