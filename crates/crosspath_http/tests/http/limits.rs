//! Guards against clients that together use up the memory or the connections of a server, and
//! against limits that cut off requests in progress.

use std::net::SocketAddr;
use std::time::Duration;

use crosspath_http::body::{self, BodyError};
use crosspath_http::budget::Budget;
use crosspath_http::pressure::Pressure;
use crosspath_http::server::{self, Limits, Stage};
use http::{Response, StatusCode};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

const MAX_BODY_BYTES: u64 = 64 * 1024;
const TIMEOUT: Duration = Duration::from_secs(30);

/// Server that reads each body, and answers with its length after `delay`.
async fn start(connections: usize, budget: usize, delay: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("a bound listener has an address");
    let budget = Budget::new(budget, Pressure::default());
    let limits = Limits { connections, budget, ..Limits::default() };
    let (keep_open, stop) = watch::channel(Stage::Serving);
    drop(tokio::spawn(async move {
        let _keep_open = keep_open;
        server::serve(listener, limits, stop, move |request, _| async move {
            match body::read(request.into_body(), MAX_BODY_BYTES, TIMEOUT).await {
                Ok(body) => {
                    tokio::time::sleep(delay).await;
                    Response::new(body::full(body.len().to_string()))
                }
                Err(BodyError::NoRoom { .. }) => {
                    body::json(StatusCode::SERVICE_UNAVAILABLE, &"no room")
                }
                Err(error) => body::json(StatusCode::BAD_REQUEST, &error.to_string()),
            }
        })
        .await;
    }));
    address
}

async fn send(address: SocketAddr, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("the server listens");
    stream.write_all(text.as_bytes()).await.expect("the server reads");
    stream
}

/// Status of the response; empty if the connection is closed without one.
async fn status(mut stream: TcpStream) -> String {
    let mut head = [0; 12];
    match stream.read_exact(&mut head).await {
        Ok(_) => String::from_utf8_lossy(&head[9..]).into_owned(),
        Err(_) => String::new(),
    }
}

/// Request with a body, of which `missing` bytes are not sent.
fn post(bytes: usize, missing: usize) -> String {
    let body = "x".repeat(bytes - missing);
    format!("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: {bytes}\r\n\r\n{body}")
}

/// Lets the server process what it has received.
async fn settle() {
    tokio::time::sleep(Duration::from_millis(100)).await;
}

#[tokio::test]
async fn the_oldest_incomplete_body_gives_way_to_a_new_one() {
    // Room for two of three bodies. Each arrives in one piece, so that its buffer is not larger.
    let address = start(100, 10_000, Duration::ZERO).await;
    let oldest = send(address, &post(4_000, 1)).await;
    settle().await;
    let mut second = send(address, &post(4_000, 1)).await;
    settle().await;
    assert_eq!(status(send(address, &post(4_000, 0)).await).await, "200");
    assert_eq!(status(oldest).await, "503");
    second.write_all(b"x").await.expect("the connection is open");
    assert_eq!(status(second).await, "200");
}

#[tokio::test]
async fn bodies_that_wait_for_an_answer_do_not_give_way() {
    let address = start(100, 50_000, Duration::from_millis(500)).await;
    let first = send(address, &post(30_000, 0)).await;
    settle().await;
    assert_eq!(status(send(address, &post(30_000, 0)).await).await, "503");
    assert_eq!(status(first).await, "200");
    assert_eq!(status(send(address, &post(30_000, 0)).await).await, "200", "its memory is free");
}

#[tokio::test]
async fn the_oldest_idle_or_incomplete_request_is_closed_for_a_new_connection() {
    let address = start(2, 50_000, Duration::ZERO).await;
    let idle = send(address, "").await;
    settle().await;
    let unfinished = send(address, "GET / HTTP/1.1\r\nhost:").await;
    settle().await;
    assert_eq!(status(send(address, &post(10, 0)).await).await, "200");
    assert_eq!(status(idle).await, "");
    let _third = send(address, &post(10, 1)).await;
    settle().await;
    assert_eq!(status(send(address, &post(10, 0)).await).await, "200");
    drop(unfinished);
}

#[tokio::test]
async fn connections_with_a_request_in_progress_are_not_closed() {
    let address = start(2, 50_000, Duration::from_millis(500)).await;
    let first = send(address, &post(10, 0)).await;
    let second = send(address, "GET / HTTP/1.1\r\nhost: a\r\n\r\n").await;
    settle().await;
    assert_eq!(status(TcpStream::connect(address).await.expect("accepted")).await, "503");
    assert_eq!(status(first).await, "200");
    assert_eq!(status(second).await, "200");
}

#[tokio::test]
async fn a_refusal_gives_up_no_incomplete_body() {
    let address = start(100, 50_000, Duration::from_millis(1_000)).await;
    let waiting = send(address, &post(30_000, 0)).await;
    settle().await;
    let mut ordinary = send(address, &post(15_000, 1)).await;
    settle().await;
    // Never fits beside the first, whatever else is given up.
    assert_eq!(status(send(address, &post(30_000, 0)).await).await, "503");
    ordinary.write_all(b"x").await.expect("the connection is open");
    assert_eq!(status(ordinary).await, "200", "the incomplete body was given up for nothing");
    assert_eq!(status(waiting).await, "200");
}

/// Many clients open and leave keep-alive connections, so that new ones take the places of others. A
/// request that the handler got in full has to be answered.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_request_that_was_read_in_full_is_answered() {
    use std::sync::Arc;
    use std::sync::atomic::{AtomicUsize, Ordering};
    struct Handling(Arc<AtomicUsize>, bool);
    impl Drop for Handling {
        fn drop(&mut self) {
            if !self.1 {
                self.0.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
    let dropped = Arc::new(AtomicUsize::new(0));
    let handled = Arc::new(AtomicUsize::new(0));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("a bound listener has an address");
    let limits = Limits { connections: 8, ..Limits::default() };
    let (keep_open, stop) = watch::channel(Stage::Serving);
    let (dropped_there, handled_there) = (Arc::clone(&dropped), Arc::clone(&handled));
    drop(tokio::spawn(async move {
        let _keep_open = keep_open;
        server::serve(listener, limits, stop, move |request, _| {
            let dropped = Arc::clone(&dropped_there);
            let handled = Arc::clone(&handled_there);
            async move {
                body::read(request.into_body(), MAX_BODY_BYTES, TIMEOUT).await.expect("whole");
                let mut handling = Handling(dropped, false);
                tokio::time::sleep(Duration::from_millis(2)).await;
                handling.1 = true;
                handled.fetch_add(1, Ordering::Relaxed);
                Response::new(body::full("done"))
            }
        })
        .await;
    }));
    let clients = (0..32).map(|_| {
        tokio::spawn(async move {
            for _ in 0..400 {
                let Ok(mut stream) = TcpStream::connect(address).await else { continue };
                for _ in 0..3 {
                    if stream.write_all(post(10, 0).as_bytes()).await.is_err() {
                        break;
                    }
                    let mut answer = [0; 512];
                    if !matches!(stream.read(&mut answer).await, Ok(1..)) {
                        break;
                    }
                }
            }
        })
    });
    for client in clients.collect::<Vec<_>>() {
        client.await.expect("no panic");
    }
    let handled = handled.load(Ordering::Relaxed);
    assert_eq!(
        dropped.load(Ordering::Relaxed),
        0,
        "dropped in progress, beside {handled} answered"
    );
}

/// Client of HTTP/2 that sends a request, takes no byte of the response (initial window 0), and
/// answers pings.
async fn hold_response(address: SocketAddr) -> tokio::task::JoinHandle<()> {
    let mut stream = TcpStream::connect(address).await.expect("the server listens");
    let mut bytes = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec();
    bytes.extend([0, 0, 6, 4, 0, 0, 0, 0, 0, 0, 4, 0, 0, 0, 0]);
    bytes.extend([0, 0, 6, 1, 5, 0, 0, 0, 1, 0x82, 0x86, 0x84, 0x41, 1, b'a']);
    stream.write_all(&bytes).await.expect("the server reads");
    tokio::spawn(async move {
        loop {
            let mut head = [0; 9];
            if stream.read_exact(&mut head).await.is_err() {
                return;
            }
            let mut payload = vec![0; usize::from(head[1]) << 8 | usize::from(head[2])];
            if stream.read_exact(&mut payload).await.is_err() {
                return;
            }
            let reply: &[u8] = match (head[3], head[4]) {
                (4, 0) => &[0, 0, 0, 4, 1, 0, 0, 0, 0],
                (6, 0) => &[0, 0, 8, 6, 1, 0, 0, 0, 0],
                _ => continue,
            };
            let _ = stream.write_all(reply).await;
            if head[3] == 6 {
                let _ = stream.write_all(&payload).await;
            }
        }
    })
}

#[tokio::test]
async fn clients_that_read_no_response_give_way() {
    let address = start(2, 50_000, Duration::ZERO).await;
    let (first, second) = (hold_response(address).await, hold_response(address).await);
    tokio::time::sleep(Duration::from_secs(12)).await;
    assert!(!first.is_finished() && !second.is_finished(), "closed meanwhile");
    assert_eq!(status(send(address, &post(10, 0)).await).await, "200");
}

/// Twice as many peers as connections, each of which calls now and then, and never more than one in
/// eight at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn peers_beyond_the_limit_get_answers() {
    use crosspath_http::client::{Client, Error, Method};
    let address = start(100, 5_000_000, Duration::from_millis(2)).await;
    let peers = (0..200_u64).map(|index| {
        tokio::spawn(async move {
            let client = Client::new(address, Duration::from_secs(2));
            tokio::time::sleep(Duration::from_millis(index)).await;
            let (mut unanswered, mut unsent, mut refused) = (0, 0, 0);
            for _ in 0..20 {
                match client.call::<u64>(Method::POST, "/", Some(&"a request")).await {
                    Ok(_) => {}
                    Err(Error::NoAnswer { .. }) => unanswered += 1,
                    Err(Error::NotSent { .. }) => unsent += 1,
                    Err(_) => refused += 1,
                }
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
            (unanswered, unsent, refused)
        })
    });
    let mut sum = (0, 0, 0);
    for peer in peers.collect::<Vec<_>>() {
        let (unanswered, unsent, refused) = peer.await.expect("no panic");
        sum = (sum.0 + unanswered, sum.1 + unsent, sum.2 + refused);
    }
    assert_eq!(sum, (0, 0, 0), "unanswered, unsent and refused of 4,000 calls");
}

#[tokio::test]
async fn a_body_without_bytes_is_not_given_up() {
    let address = start(100, 50_000, Duration::ZERO).await;
    let mut ordinary = send(address, &post(10, 10)).await;
    settle().await;
    let _crowd = send(address, &post(40_000, 1)).await;
    settle().await;
    // The crowd's body has to give way; the ordinary one holds nothing.
    assert_eq!(status(send(address, &post(40_000, 0)).await).await, "200");
    ordinary.write_all(b"0123456789").await.expect("open");
    assert_eq!(status(ordinary).await, "200", "given up although it held nothing");
}

/// A burst of ordinary clients at once at the smallest VM, each with one small request that takes as
/// long as an append.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_burst_of_ordinary_requests_is_answered() {
    let connections = crosspath_http::capacity::Capacity::new(None, None).connections(8);
    let address = start(connections, 40 * 1024 * 1024, Duration::from_millis(150)).await;
    let clients = (0..1_000).map(|_| {
        tokio::spawn(async move {
            let Ok(mut stream) = TcpStream::connect(address).await else { return "x".to_owned() };
            if stream.write_all(post(1_000, 0).as_bytes()).await.is_err() {
                return "x".to_owned();
            }
            status(stream).await
        })
    });
    let mut counts = std::collections::BTreeMap::<String, usize>::new();
    for client in clients.collect::<Vec<_>>() {
        *counts.entry(client.await.expect("no panic")).or_default() += 1;
    }
    assert_eq!(counts.get("200"), Some(&1_000), "{counts:?} at {connections} connections");
}

/// A thousand entry VMs call the owner of a shard, each over a connection of its own.
#[test]
fn a_large_vm_has_a_connection_for_each_of_a_thousand_peers() {
    use crosspath_http::capacity::Capacity;
    assert!(Capacity::new(Some(512), Some(8_192)).connections(6) >= 1_000);
}
