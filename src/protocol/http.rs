//! HTTP/1.1 messages in a connection's buffer: requests and responses, with bodies by length or in chunks.
//!
//! The module owns the limits of headers and the framing of bodies. It does not read sockets: the caller owns the buffer
//! and, while a message arrives in pieces, a [`RequestDecoder`] or [`ResponseDecoder`].

mod body;
mod decoder;

pub use decoder::{RequestDecoder, ResponseDecoder};

use bytes::{Bytes, BytesMut};
use std::fmt::Write;
use std::time::Duration;

/// Longest header of a message, and longest size line and trailer of a chunked body, in bytes.
const MAX_HEADER_BYTES: usize = 16 * 1024;
/// Largest number of header fields in a message.
const MAX_HEADER_FIELDS: usize = 64;
/// Longest body of a request, and of a response of the platform's protocol, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// Why bytes are not an acceptable message. The response to a malformed request contains the text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MalformedMessage {
    /// The first line or a header field is malformed.
    #[error("malformed header: {0}")]
    Header(httparse::Error),
    /// The header is over the limits of its length or its number of fields.
    #[error("the header is too long")]
    HeaderTooLong,
    /// `Content-Length` is not a number, or is given twice with different values.
    #[error("malformed Content-Length")]
    ContentLength,
    /// `Transfer-Encoding` is not `chunked`, is given twice, or is given beside `Content-Length`.
    #[error("unsupported Transfer-Encoding")]
    TransferEncoding,
    /// The size line or the end of a chunk, or the trailer, is malformed.
    #[error("malformed chunk")]
    Chunk,
    /// The body is over the limit.
    #[error("the body is too long")]
    BodyTooLong,
}

impl MalformedMessage {
    /// Returns the status of the response to a request with this error.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            MalformedMessage::HeaderTooLong => 431,
            MalformedMessage::BodyTooLong => 413,
            MalformedMessage::TransferEncoding => 501,
            MalformedMessage::Header(_) | MalformedMessage::ContentLength | MalformedMessage::Chunk => 400,
        }
    }
}

/// Header fields in the order of the message. Names are compared without regard to case.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Headers(Vec<(String, String)>);

impl Headers {
    fn from_parsed(fields: &[httparse::Header<'_>]) -> Headers {
        let to_text = |value: &[u8]| String::from_utf8_lossy(value).trim().to_owned();
        Headers(fields.iter().map(|field| (field.name.to_owned(), to_text(field.value))).collect())
    }

    /// Returns the value of the first field with this name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.iter().find(|field| field.0.eq_ignore_ascii_case(name)).map(|field| field.1.as_str())
    }

    /// Number of bytes of all names and values.
    fn held_bytes(&self) -> usize {
        self.0.iter().map(|(name, value)| name.len() + value.len()).sum()
    }

    /// Whether more than one field has this name.
    #[must_use]
    pub fn repeats(&self, name: &str) -> bool {
        self.all(name).nth(1).is_some()
    }

    /// Returns the values of all fields with this name.
    fn all(&self, name: &str) -> impl Iterator<Item = &str> {
        self.0.iter().filter(move |field| field.0.eq_ignore_ascii_case(name)).map(|field| field.1.as_str())
    }

    /// Whether a field with this name lists this token.
    fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name).any(|value| value.split(',').any(|item| item.trim().eq_ignore_ascii_case(token)))
    }
}

/// A request that was received.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Method, such as `GET`.
    pub method: String,
    /// Path of the target, without the query string.
    pub path: String,
    /// Query string: the part of the target after the `?`.
    pub query: String,
    /// Header fields.
    pub headers: Headers,
    /// Body, without its framing.
    pub body: Bytes,
    /// Whether the connection stays open after the response.
    pub keep_alive: bool,
    /// How long the request may have waited before it was served: in the listener's backlog while accepts failed, unread,
    /// or behind others of its connection. The client's time budget is reduced by it.
    pub waited: Duration,
}

impl Request {
    /// Returns the value of a parameter `name=value` of the query string, without percent-decoding.
    #[must_use]
    pub fn parameter(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|pair| pair.0 == name)
            .map(|pair| pair.1)
    }
}

/// A response to a client or an operator.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Header fields besides those of the body and the connection.
    pub headers: Vec<(&'static str, String)>,
    /// Media type of the body.
    pub content_type: &'static str,
    /// Body, without framing.
    pub body: Bytes,
}

impl Response {
    /// Creates a response with one line of plain text.
    #[must_use]
    pub fn text(status: u16, text: impl Into<String>) -> Response {
        let body = Bytes::from(text.into() + "\n");
        Response { status, headers: Vec::new(), content_type: "text/plain; charset=utf-8", body }
    }

    /// Creates a response with a JSON body.
    #[must_use]
    pub fn json(status: u16, body: impl Into<Bytes>) -> Response {
        Response { status, headers: Vec::new(), content_type: "application/json", body: body.into() }
    }

    /// Adds a header field.
    #[must_use]
    pub fn with_header(mut self, name: &'static str, value: impl Into<String>) -> Response {
        self.headers.push((name, value.into()));
        self
    }

    /// Encodes the response. With `close`, it announces that the connection closes after it.
    #[must_use]
    pub fn encode(&self, close: bool) -> Bytes {
        let mut header = format!("HTTP/1.1 {} {}\r\n", self.status, reason_phrase(self.status));
        for (name, value) in &self.headers {
            push_field(&mut header, name, value);
        }
        push_field(&mut header, "Content-Type", self.content_type);
        push_field(&mut header, "Content-Length", &self.body.len().to_string());
        if close {
            push_field(&mut header, "Connection", "close");
        }
        header.push_str("\r\n");
        let mut bytes = BytesMut::with_capacity(header.len() + self.body.len());
        bytes.extend_from_slice(header.as_bytes());
        bytes.extend_from_slice(&self.body);
        bytes.freeze()
    }
}

fn push_field(header: &mut String, name: &str, value: &str) {
    let result = write!(header, "{name}: {value}\r\n");
    debug_assert!(result.is_ok(), "writing to a string cannot fail");
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}

/// Encodes a request that this program sends, with a JSON body if one is given.
#[must_use]
pub fn encode_request(method: &str, target: &str, host: &str, body: Option<&[u8]>) -> Bytes {
    let mut header = format!("{method} {target} HTTP/1.1\r\nHost: {host}\r\n");
    if let Some(body) = body {
        push_field(&mut header, "Content-Type", "application/json");
        push_field(&mut header, "Content-Length", &body.len().to_string());
    }
    header.push_str("\r\n");
    let mut bytes = BytesMut::from(header.as_bytes());
    bytes.extend_from_slice(body.unwrap_or_default());
    bytes.freeze()
}

/// A response that was received.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedResponse {
    /// Status code.
    pub status: u16,
    /// Header fields.
    pub headers: Headers,
    /// Body, without its framing.
    pub body: Bytes,
    /// Whether the connection may be used for a further request.
    pub keep_alive: bool,
}

/// Takes one complete request off the front of the buffer; `None` while its end has not been received. A caller that
/// receives requests in pieces keeps a [`RequestDecoder`] instead.
///
/// # Errors
///
/// If the bytes are not a valid request, or are over the limits. The connection cannot be used further.
pub fn take_request(buffer: &mut BytesMut) -> Result<Option<Request>, MalformedMessage> {
    RequestDecoder::default().take(buffer)
}

/// Takes one complete response, with a body of at most `max_body` bytes, off the front of the buffer; `None` while its
/// end has not been received. A caller that receives responses in pieces keeps a [`ResponseDecoder`] instead.
///
/// # Errors
///
/// If the bytes are not a valid response, or are over the limits. The connection cannot be used further.
pub fn take_response(
    buffer: &mut BytesMut,
    max_body: usize,
) -> Result<Option<ReceivedResponse>, MalformedMessage> {
    ResponseDecoder::new(max_body).take(buffer)
}
