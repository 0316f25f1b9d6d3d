//! Clients of the server under test, well-behaved and misbehaving. They run on the server's thread.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// How long one attempt to connect blocks the thread while the backlog is full. Otherwise connecting does not
/// block.
const CONNECT_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1);

/// Sends a GET request without a body.
pub async fn send_request(stream: &mut TcpStream, path: &str) {
    stream.write_all(format!("GET {path} HTTP/1.1\r\n\r\n").as_bytes()).await.expect("the write succeeds");
}

/// Reads the response of the echo server to a request for `path`.
pub async fn read_response(stream: &mut TcpStream, path: &str) -> String {
    let mut text = Vec::new();
    while !text.ends_with(format!("{path}\n").as_bytes()) {
        let count = stream.read_buf(&mut text).await.expect("the read succeeds");
        assert!(count > 0, "the connection ended after {:?}", String::from_utf8_lossy(&text));
    }
    String::from_utf8(text).expect("valid UTF-8")
}

/// Sends a GET request and reads its response.
pub async fn exchange(stream: &mut TcpStream, path: &str) -> String {
    send_request(stream, path).await;
    read_response(stream, path).await
}

/// Sends one request as a well-behaved client: on the idle connection, or on a new one if the idle one was
/// closed. Returns the response.
pub async fn well_behaved(address: SocketAddr, idle: &mut Option<TcpStream>) -> String {
    if let Some(stream) = idle {
        let mut text = Vec::new();
        if stream.write_all(b"GET /well-behaved HTTP/1.1\r\n\r\n").await.is_ok() {
            while !text.ends_with(b"/well-behaved\n") && matches!(stream.read_buf(&mut text).await, Ok(1..)) {
            }
        }
        if !text.is_empty() {
            return String::from_utf8(text).expect("valid UTF-8");
        }
    }
    let stream = idle.insert(connect_and_send(address, b"GET /well-behaved HTTP/1.1\r\n\r\n").await);
    read_response(stream, "/well-behaved").await
}

/// Connects and sends a request without yielding in between, retrying while the backlog is full. Clients and
/// server share a thread: after a yield, the request could be sent as late as the thread is busy.
pub async fn connect_and_send(address: SocketAddr, request: &[u8]) -> TcpStream {
    loop {
        let mut stream = match std::net::TcpStream::connect_timeout(&address, CONNECT_ATTEMPT_TIMEOUT) {
            Ok(stream) => stream,
            Err(error) if error.kind() == io::ErrorKind::TimedOut => {
                tokio::time::sleep(CONNECT_ATTEMPT_TIMEOUT).await;
                continue;
            }
            Err(error) => panic!("cannot connect to {address}: {error}"),
        };
        std::io::Write::write_all(&mut stream, request).expect("the write succeeds");
        stream.set_nonblocking(true).expect("non-blocking mode is set");
        return TcpStream::from_std(stream).expect("the runtime registers the stream");
    }
}

/// Runs a client that misbehaves in a way chosen by `number`, and reconnects whenever its connection is
/// closed.
pub async fn misbehaving(address: SocketAddr, number: usize) {
    loop {
        let Ok(mut stream) = TcpStream::connect(address).await else { return };
        let bytes: &[u8] = match number % 5 {
            0 => b"",
            1 => b"GET /half HTTP/1.1\r\nX-Pad:",
            2 => b"GET /once HTTP/1.1\r\n\r\n",
            3 => b"\0\0 malformed \r\n\r\n",
            _ => b"GET /malformed HTTP/1.1\r\n\r\n",
        };
        let mut discarded = [0; 512];
        // The server may close the connection at any point.
        if stream.write_all(bytes).await.is_ok() {
            while matches!(stream.read(&mut discarded).await, Ok(1..)) {
                if number.is_multiple_of(10) && stream.write_all(b"a").await.is_err() {
                    break;
                }
            }
        }
    }
}

/// Waits until a condition holds, and fails the test after 20 s.
pub async fn wait_until(condition: &str, is_met: impl Fn() -> bool) {
    let poll = async {
        while !is_met() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(20), poll)
        .await
        .unwrap_or_else(|_| panic!("not reached within 20 s: {condition}"));
}
