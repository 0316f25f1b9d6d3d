//! Blocking HTTP calls of clients and operators.

use bytes::BytesMut;
use gatherer::protocol::http::{self, ReceivedResponse};
use std::io::{Read, Write};
use std::net::TcpStream;

/// Reads the next bytes into the buffer; an error at the end of the connection.
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

/// Reads one response from this connection; an error if the connection ends before it is complete.
pub fn response(stream: &mut TcpStream) -> std::io::Result<ReceivedResponse> {
    let mut buffer = BytesMut::new();
    loop {
        if let Some(response) =
            http::take_response(&mut buffer, http::MAX_BODY_BYTES).expect("the response is valid HTTP")
        {
            return Ok(response);
        }
        read_more(stream, &mut buffer)?;
    }
}

/// Sends a query of one part, of shard 0, on this connection. Does not wait for the response.
pub fn query(stream: &mut TcpStream, id: &str, class: &str) -> std::io::Result<()> {
    let body = r#"{"ranges":[{"range":0,"portion":1.0}],"predicate":"c41e"}"#;
    let head = format!(
        "POST /api HTTP/1.1\r\nX-Call-Id: {id}\r\nX-Call-Class: {class}\r\nX-Caller: bank\r\nX-Budget-Ms: 5000\r\n"
    );
    stream.write_all(format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()).as_bytes())
}

/// Sends a request to the operators' API; returns the status and the body of the response.
pub fn call_operator_api(address: &str, method: &str, path: &str) -> (u16, String) {
    let mut stream = TcpStream::connect(address).expect("the operators' API accepts connections");
    stream.write_all(&http::encode_request(method, path, "x", None)).expect("the request is sent");
    let response = response(&mut stream).expect("the operators' API responds");
    (response.status, String::from_utf8(response.body.to_vec()).expect("the body is UTF-8"))
}

/// Reads the value of a metric, of the form `NAME:VALUE|...`, from the operators' API at this address.
pub fn metric_value(address: &str, name: &str) -> u64 {
    let (_, text) = call_operator_api(address, "GET", "/-/metrics");
    let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':'));
    let line = line.unwrap_or_else(|| panic!("no metric {name} in {text}"));
    line.split('|').next().and_then(|value| value.parse().ok()).expect("the metric's value is a number")
}
