//! Open connections stop delivering data for good, without a reset, while new ones work. Later
//! calls must not be sent over such connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use crosspath_http::client::{Client, Error, Method};
use futures::future::join_all;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

/// Number of connections that are open at the same time.
const CONNECTIONS: usize = 4;
/// Timeout of a call that gets a response, far above the time that it takes on a busy machine.
const TIMEOUT: Duration = Duration::from_millis(2_000);
/// Timeout of a call that gets no response.
const UNANSWERED_TIMEOUT: Duration = Duration::from_millis(100);
/// Duration of a request, long enough that concurrent requests need their own connections.
const SERVICE_TIME: Duration = Duration::from_millis(30);

/// Server whose open connections can be silenced.
#[derive(Debug, Default)]
struct Server {
    accepted: AtomicUsize,
    /// Connections with a lower number no longer answer.
    silent_below: AtomicUsize,
}

impl Server {
    async fn start() -> (Arc<Self>, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let server = Arc::new(Self::default());
        drop(tokio::spawn(Arc::clone(&server).accept(listener)));
        (server, address)
    }

    async fn accept(self: Arc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let number = self.accepted.fetch_add(1, Ordering::SeqCst);
            drop(tokio::spawn(Arc::clone(&self).respond(stream, number)));
        }
    }

    async fn respond(self: Arc<Self>, mut stream: TcpStream, number: usize) {
        let mut head = vec![0; 4096];
        while let Ok(length) = stream.read(&mut head).await {
            if length == 0 {
                return;
            }
            tokio::time::sleep(SERVICE_TIME).await;
            if number < self.silent_below.load(Ordering::SeqCst) {
                std::future::pending::<()>().await;
            }
            let response = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nnull";
            if stream.write_all(response).await.is_err() {
                return;
            }
        }
    }

    fn silence_open_connections(&self) {
        self.silent_below.store(self.connections(), Ordering::SeqCst);
    }

    fn connections(&self) -> usize {
        self.accepted.load(Ordering::SeqCst)
    }
}

async fn call(client: &Client, timeout: Duration) -> Result<(), Error> {
    client.call_within(Method::GET, "/", None::<&()>, timeout).await
}

/// Client with idle connections, all of which have become silent.
async fn client_with_silent_connections() -> (Arc<Server>, Client) {
    let (server, address) = Server::start().await;
    let client = Client::new(address, TIMEOUT);
    for response in join_all((0..CONNECTIONS).map(|_| call(&client, TIMEOUT))).await {
        response.expect("a response");
    }
    server.silence_open_connections();
    (server, client)
}

#[tokio::test]
async fn no_call_uses_a_silent_connection_after_an_unanswered_one() {
    let (_server, client) = client_with_silent_connections().await;
    let unanswered = call(&client, UNANSWERED_TIMEOUT).await;
    assert!(matches!(unanswered, Err(Error::NoAnswer { .. })), "{unanswered:?}");
    for _ in 0..CONNECTIONS {
        call(&client, TIMEOUT).await.expect("a response on a new connection");
    }
}

#[tokio::test]
async fn a_cancelled_call_leaves_no_silent_connection_to_the_next() {
    let (_server, client) = client_with_silent_connections().await;
    let unanswered = tokio::time::timeout(UNANSWERED_TIMEOUT, call(&client, TIMEOUT)).await;
    assert!(unanswered.is_err(), "{unanswered:?}");
    // The clone shares the connections.
    let client = client.clone();
    for _ in 0..CONNECTIONS {
        call(&client, TIMEOUT).await.expect("a response on a new connection");
    }
}

#[tokio::test]
async fn an_unanswered_call_does_not_abort_a_concurrent_one() {
    let (_server, client) = client_with_silent_connections().await;
    let unanswered = call(&client, Duration::from_millis(1));
    let concurrent = async {
        // These calls use new connections, since the unanswered call has discarded the silent ones
        // by now.
        tokio::time::sleep(SERVICE_TIME).await;
        let slow = call(&client, TIMEOUT);
        let other = call(&client, Duration::from_millis(1));
        let (slow, _) = tokio::join!(slow, other);
        slow
    };
    let (_, slow) = tokio::join!(unanswered, concurrent);
    slow.expect("a response");
}

#[tokio::test]
async fn sequential_calls_reuse_a_connection() {
    let (server, address) = Server::start().await;
    let client = Client::new(address, TIMEOUT);
    for _ in 0..CONNECTIONS {
        call(&client, TIMEOUT).await.expect("a response");
    }
    assert_eq!(server.connections(), 1);
}
