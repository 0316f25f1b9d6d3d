//! Blocking HTTP calls of clients and operators.

use bytes::BytesMut;
use gatherer::protocol::http::{self, ReceivedResponse};
use std::io::{Read, Write};
use std::net::TcpStream;

/// Reads what has arrived into the buffer; an error at the end of the connection.
pub(super) fn read_more(stream: &mut TcpStream, buffer: &mut BytesMut) -> std::io::Result<()> {
    let mut bytes = [0; 4096];
    match stream.read(&mut bytes)? {
        0 => Err(std::io::ErrorKind::UnexpectedEof.into()),
        count => {
            buffer.extend_from_slice(&bytes[..count]);
            Ok(())
        }
    }
}

/// Reads the response on this connection; an error where the connection ends without one.
pub fn response(stream: &mut TcpStream) -> std::io::Result<ReceivedResponse> {
    let mut buffer = BytesMut::new();
    loop {
        if let Some(response) = http::take_response(&mut buffer, http::MAX_BODY_BYTES).expect("a response") {
            return Ok(response);
        }
        read_more(stream, &mut buffer)?;
    }
}

/// Sends a query for one part of shard 0 on this connection.
pub fn query(stream: &mut TcpStream, id: &str, class: &str) -> std::io::Result<()> {
    let body = r#"{"ranges":[{"range":0,"portion":1.0}],"predicate":"c41e"}"#;
    let head = format!(
        "POST /api HTTP/1.1\r\nX-Call-Id: {id}\r\nX-Call-Class: {class}\r\nX-Caller: bank\r\nX-Budget-Ms: 5000\r\n"
    );
    stream.write_all(format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()).as_bytes())
}

/// Makes an operator's call; returns its status and text.
pub fn call_operator_api(address: &str, method: &str, path: &str) -> (u16, String) {
    let mut stream = TcpStream::connect(address).expect("connected");
    stream.write_all(&http::encode_request(method, path, "x", None)).expect("written");
    let answer = response(&mut stream).expect("an answer");
    (answer.status, String::from_utf8(answer.body.to_vec()).expect("text"))
}

/// The value of a metric.
pub fn metric_value(address: &str, name: &str) -> u64 {
    let (_, text) = call_operator_api(address, "GET", "/-/metrics");
    let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':'));
    let value = line.unwrap_or_else(|| panic!("no {name} in {text}")).split('|').next().expect("a value");
    value.parse().expect("a number")
}
