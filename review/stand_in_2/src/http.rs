//! HTTP/1.1 server and client on loopback, with one thread for each connection.

use std::io::{self, BufReader, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::Duration;

/// Request as a server received it.
#[derive(Debug)]
pub struct Call {
    pub method: String,
    pub path: String,
    query: Vec<(String, String)>,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Call {
    pub fn parameter(&self, name: &str) -> Option<&str> {
        self.query.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.parameter(name)?.parse().ok()
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }
}

/// Answer to a request.
#[derive(Debug, Clone)]
pub struct Reply {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Reply {
    pub fn json(status: u16, body: &serde_json::Value) -> Self {
        Self { status, body: body.to_string().into_bytes() }
    }

    pub fn empty(status: u16) -> Self {
        Self { status, body: Vec::new() }
    }
}

/// Handler of a server. Without a reply, the connection is closed.
pub type Handler = Arc<dyn Fn(Call) -> Option<Reply> + Send + Sync>;

/// Serves on a free port of the loopback interface until the process ends.
pub fn serve(handler: Handler) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("the listener is bound");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || drop(serve_connection(&stream, &handler)));
        }
    });
    address
}

/// First of the ports for the daemons, below those that the system gives to outgoing connections.
const FIRST_PORT: u32 = 20_000;
const PORTS: u32 = 12_000;

/// A loopback address with a port that is free now, another one at each call.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    for _ in 0..PORTS {
        let number =
            NEXT.fetch_add(1, Ordering::Relaxed).wrapping_add(std::process::id().wrapping_mul(97));
        let port = u16::try_from(FIRST_PORT + number % PORTS).expect("the port is in range");
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no loopback port is free");
}

fn serve_connection(stream: &TcpStream, handler: &Handler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(call) = read_call(&mut reader)? {
        let Some(reply) = handler(call) else { return Ok(()) };
        let mut bytes = format!(
            "HTTP/1.1 {} Status\r\ncontent-length: {}\r\n\r\n",
            reply.status,
            reply.body.len()
        )
        .into_bytes();
        bytes.extend_from_slice(&reply.body);
        (&mut &*stream).write_all(&bytes)?;
    }
    Ok(())
}

fn read_line(reader: &mut impl io::BufRead) -> io::Result<Option<String>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    Ok(Some(line.trim_end().to_owned()))
}

type Headers = Vec<(String, String)>;

fn read_headers(reader: &mut impl io::BufRead) -> io::Result<Headers> {
    let mut headers = Vec::new();
    while let Some(line) = read_line(reader)?.filter(|line| !line.is_empty()) {
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    Ok(headers)
}

fn read_body(reader: &mut impl io::Read, headers: &Headers) -> io::Result<Vec<u8>> {
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

fn decoded(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        let hex = (byte == b'%').then(|| [rest.next(), rest.next()]);
        let code = hex.and_then(|hex| {
            let digits = [hex[0]?, hex[1]?];
            u8::from_str_radix(std::str::from_utf8(&digits).ok()?, 16).ok()
        });
        bytes.push(code.unwrap_or(byte));
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn read_call(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Call>> {
    let Some(line) = read_line(reader)? else { return Ok(None) };
    let mut words = line.split(' ');
    let (method, target) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query.map(|(key, value)| (key.to_owned(), decoded(value))).collect();
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers)?;
    Ok(Some(Call { method: method.to_owned(), path: path.to_owned(), query, headers, body }))
}

/// Sends one request on a connection of its own and returns the whole answer.
pub fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: &[u8],
    timeout: Duration,
) -> io::Result<Reply> {
    let stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_nodelay(true)?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: {host}\r\ncontent-type: application/json\r\nx-deadline-ms: {}\r\ncontent-length: {}\r\nconnection: close\r\n\r\n",
        timeout.as_millis(),
        body.len()
    );
    (&mut &stream).write_all(head.as_bytes())?;
    (&mut &stream).write_all(body)?;
    let mut reader = BufReader::new(stream);
    let line = read_line(&mut reader)?.unwrap_or_default();
    let status = line.split(' ').nth(1).and_then(|status| status.parse().ok());
    let status = status.ok_or(io::ErrorKind::UnexpectedEof)?;
    let headers = read_headers(&mut reader)?;
    let body = read_body(&mut reader, &headers)?;
    Ok(Reply { status, body })
}
