//! Hedging of idempotent requests: a lost response must not cost the whole timeout of a call.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use crosspath_http::client::{Client, Error, Method, Response};
use http::Request;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

/// Timeout of a call, far above the hedging delay.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Server that loses the responses to some requests. A connection on which a response is lost stays
/// open and silent.
#[derive(Debug)]
struct Server {
    requests: AtomicUsize,
    /// Number of requests, counted from the first, whose responses are lost.
    lost_responses: usize,
    /// Whether every second response is lost, starting with the first.
    loses_every_other_response: bool,
    service_time: Duration,
    /// Status line of the responses that are not lost.
    head: &'static str,
}

impl Server {
    async fn start(lost_responses: usize, service_time: Duration) -> (Arc<Self>, SocketAddr) {
        Self::with_head(lost_responses, service_time, "HTTP/1.1 200 OK").await
    }

    async fn with_head(
        lost_responses: usize,
        service_time: Duration,
        head: &'static str,
    ) -> (Arc<Self>, SocketAddr) {
        Self {
            requests: AtomicUsize::new(0),
            lost_responses,
            loses_every_other_response: false,
            service_time,
            head,
        }
        .listen()
        .await
    }

    async fn listen(self) -> (Arc<Self>, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let server = Arc::new(self);
        drop(tokio::spawn(Arc::clone(&server).accept(listener)));
        (server, address)
    }

    async fn accept(self: Arc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            drop(tokio::spawn(Arc::clone(&self).respond(stream)));
        }
    }

    async fn respond(self: Arc<Self>, mut stream: TcpStream) {
        let mut head = vec![0; 4096];
        while let Ok(length) = stream.read(&mut head).await {
            if length == 0 {
                return;
            }
            let number = self.requests.fetch_add(1, Ordering::SeqCst);
            tokio::time::sleep(self.service_time).await;
            let every_other = self.loses_every_other_response && number.is_multiple_of(2);
            if number < self.lost_responses || every_other {
                std::future::pending::<()>().await;
            }
            let response = format!("{}\r\ncontent-length: 4\r\n\r\nnull", self.head);
            if stream.write_all(response.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    fn requests(&self) -> usize {
        self.requests.load(Ordering::SeqCst)
    }
}

async fn send(client: &Client, timeout: Duration, wait: Duration) -> Result<Response, Error> {
    let request = Request::builder().method(Method::GET).uri("/");
    client.send_idempotent(request, Bytes::new(), timeout, wait).await
}

#[tokio::test]
async fn a_request_is_sent_again_when_its_response_is_lost() {
    let (server, address) = Server::start(2, Duration::ZERO).await;
    let client = Client::new(address, TIMEOUT);
    send(&client, TIMEOUT, Duration::ZERO).await.expect("response to the third attempt");
    assert_eq!(server.requests(), 3);
}

/// If lost responses counted as slow ones, the hedging delay would grow to its maximum of 2 s
/// within a few calls.
#[tokio::test]
async fn lost_responses_do_not_lengthen_the_hedging_delay() {
    let (requests, service_time, head) = (AtomicUsize::new(0), Duration::ZERO, "HTTP/1.1 200 OK");
    let server = Server {
        requests,
        lost_responses: 0,
        loses_every_other_response: true,
        service_time,
        head,
    };
    let (_server, address) = server.listen().await;
    let client = Client::new(address, TIMEOUT);
    for _ in 0..8 {
        send(&client, TIMEOUT, Duration::ZERO).await.expect("response to the second attempt");
    }
    assert!(client.hedging_delay() < Duration::from_millis(500), "{:?}", client.hedging_delay());
}

#[tokio::test]
async fn a_request_that_is_not_idempotent_is_sent_once() {
    let (server, address) = Server::start(1, Duration::ZERO).await;
    let client = Client::new(address, TIMEOUT);
    let timeout = Duration::from_secs(1);
    let response = client.call_within::<()>(Method::GET, "/", None::<&()>, timeout).await;
    assert!(matches!(response, Err(Error::NoAnswer { .. })), "{response:?}");
    assert_eq!(server.requests(), 1);
}

#[tokio::test]
async fn the_hedging_delay_includes_the_wait_that_the_server_is_allowed() {
    let service_time = Duration::from_millis(800);
    let (server, address) = Server::start(0, service_time).await;
    let client = Client::new(address, TIMEOUT);
    send(&client, TIMEOUT, service_time * 4).await.expect("a response");
    assert_eq!(server.requests(), 1);
}

#[tokio::test]
async fn a_slow_server_answers_the_first_attempt() {
    let (server, address) = Server::start(0, Duration::from_millis(700)).await;
    let client = Client::new(address, TIMEOUT);
    send(&client, TIMEOUT, Duration::ZERO).await.expect("a response");
    assert!(server.requests() <= 3, "{} requests", server.requests());
}

#[tokio::test]
async fn a_refused_connection_is_reported_as_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let client = Client::new(address, TIMEOUT);
    let response = send(&client, TIMEOUT, Duration::ZERO).await;
    assert!(matches!(response, Err(Error::NotSent { .. })), "{response:?}");
}

/// Timeout of a call that fails because its first response is lost.
const UNANSWERED_TIMEOUT: Duration = Duration::from_secs(2);
const REFUSAL: &str = "HTTP/1.1 503 Service Unavailable";

#[tokio::test]
async fn a_refusal_is_returned_if_no_other_attempt_was_sent() {
    let (_server, address) = Server::with_head(0, Duration::ZERO, REFUSAL).await;
    let client = Client::new(address, TIMEOUT);
    let response = send(&client, TIMEOUT, Duration::ZERO).await.expect("a response");
    assert_eq!(response.head.status, 503);
}

#[tokio::test]
async fn a_refusal_does_not_hide_an_unconfirmed_attempt() {
    let (_server, address) = Server::with_head(1, Duration::ZERO, REFUSAL).await;
    let client = Client::new(address, TIMEOUT);
    let response = send(&client, UNANSWERED_TIMEOUT, Duration::ZERO).await;
    assert!(matches!(response, Err(Error::NoAnswer { .. })), "{response:?}");
}
