//! HTTP/1.1 messages in a connection's buffer: requests and responses, with bodies by length or in chunks.

use bytes::{Buf, Bytes, BytesMut};
use std::fmt::Write;
use std::time::Duration;

/// Header lines and chunk lines of one message, in bytes.
const MOST_HEAD: usize = 16 * 1024;
/// Header fields of one message.
const MOST_FIELDS: usize = 64;
/// The longest body of the platform's protocol.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// Why bytes are no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    /// The first line or a header field.
    #[error("malformed header: {0}")]
    Head(httparse::Error),
    /// More header than anyone sends.
    #[error("the header is too long")]
    HeadTooLong,
    /// A length that is no number, or two that differ.
    #[error("malformed Content-Length")]
    Length,
    /// A coding other than `chunked`, or a length beside it.
    #[error("unsupported Transfer-Encoding")]
    Coding,
    /// A chunk's size or end.
    #[error("malformed chunk")]
    Chunk,
    /// A body over the limit.
    #[error("the body is too long")]
    BodyTooLong,
}

impl Malformed {
    /// The status that tells a client so.
    pub fn status(self) -> u16 {
        match self {
            Malformed::HeadTooLong => 431,
            Malformed::BodyTooLong => 413,
            Malformed::Coding => 501,
            Malformed::Head(_) | Malformed::Length | Malformed::Chunk => 400,
        }
    }
}

/// Header fields in order; names are compared without regard to case.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Headers(Vec<(String, String)>);

impl Headers {
    fn read(fields: &[httparse::Header<'_>]) -> Headers {
        let text = |value: &[u8]| String::from_utf8_lossy(value).trim().to_owned();
        Headers(fields.iter().map(|field| (field.name.to_owned(), text(field.value))).collect())
    }
    /// The first field of this name.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.iter().find(|field| field.0.eq_ignore_ascii_case(name)).map(|field| field.1.as_str())
    }
    /// Whether there is more than one field of this name.
    pub fn repeats(&self, name: &str) -> bool {
        self.all(name).nth(1).is_some()
    }
    fn all(&self, name: &str) -> impl Iterator<Item = &str> {
        self.0.iter().filter(move |field| field.0.eq_ignore_ascii_case(name)).map(|field| field.1.as_str())
    }
    fn lists(&self, name: &str, token: &str) -> bool {
        self.all(name).any(|value| value.split(',').any(|item| item.trim().eq_ignore_ascii_case(token)))
    }
}

/// A request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its method.
    pub method: String,
    /// Its path, without the query.
    pub path: String,
    /// Its query, after the `?`.
    pub query: String,
    /// Its header.
    pub headers: Headers,
    /// Its body.
    pub body: Bytes,
    /// The connection stays open after the answer.
    pub keep_alive: bool,
    /// How long it may have waited unread behind failing calls: so much less of its client's time is left.
    pub waited: Duration,
}

impl Request {
    /// A value in the query, where it is `name=value`.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|pair| pair.0 == name)
            .map(|pair| pair.1)
    }
}

/// A response.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    /// Its status.
    pub status: u16,
    /// Further header fields.
    pub headers: Vec<(&'static str, String)>,
    /// What the body is.
    pub content_type: &'static str,
    /// Its body.
    pub body: Bytes,
}

impl Response {
    /// A line of text for people.
    pub fn text(status: u16, text: impl Into<String>) -> Response {
        let body = Bytes::from(text.into() + "\n");
        Response { status, headers: Vec::new(), content_type: "text/plain; charset=utf-8", body }
    }
    /// A JSON body.
    pub fn json(status: u16, body: impl Into<Bytes>) -> Response {
        Response { status, headers: Vec::new(), content_type: "application/json", body: body.into() }
    }
    /// Adds a header field.
    pub fn with_header(mut self, name: &'static str, value: impl Into<String>) -> Response {
        self.headers.push((name, value.into()));
        self
    }
    /// Its bytes; `close` says that the connection ends with it.
    pub fn encode(&self, close: bool) -> Bytes {
        let mut head = format!("HTTP/1.1 {} {}\r\n", self.status, reason(self.status));
        for (name, value) in &self.headers {
            line(&mut head, name, value);
        }
        line(&mut head, "Content-Type", self.content_type);
        line(&mut head, "Content-Length", &self.body.len().to_string());
        if close {
            line(&mut head, "Connection", "close");
        }
        head.push_str("\r\n");
        let mut bytes = BytesMut::with_capacity(head.len() + self.body.len());
        bytes.extend_from_slice(head.as_bytes());
        bytes.extend_from_slice(&self.body);
        bytes.freeze()
    }
}

fn line(head: &mut String, name: &str, value: &str) {
    let written = write!(head, "{name}: {value}\r\n");
    debug_assert!(written.is_ok(), "writing to a string cannot fail");
}

fn reason(status: u16) -> &'static str {
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

/// A request of our own.
pub fn encode_request(method: &str, target: &str, host: &str, body: Option<&[u8]>) -> Bytes {
    let mut head = format!("{method} {target} HTTP/1.1\r\nHost: {host}\r\n");
    if let Some(body) = body {
        line(&mut head, "Content-Type", "application/json");
        line(&mut head, "Content-Length", &body.len().to_string());
    }
    head.push_str("\r\n");
    let mut bytes = BytesMut::from(head.as_bytes());
    bytes.extend_from_slice(body.unwrap_or_default());
    bytes.freeze()
}

fn head<T>(
    status: httparse::Result<usize>,
    buffer: &[u8],
    then: impl FnOnce(usize) -> T,
) -> Result<Option<T>, Malformed> {
    match status {
        Ok(httparse::Status::Complete(length)) if length <= MOST_HEAD => Ok(Some(then(length))),
        Ok(httparse::Status::Partial) if buffer.len() <= MOST_HEAD => Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => Err(Malformed::HeadTooLong),
        Err(error) => Err(Malformed::Head(error)),
    }
}

/// Takes one whole request off the front of the buffer; `None` while it is not all there.
pub fn take_request(buffer: &mut BytesMut) -> Result<Option<Request>, Malformed> {
    let mut fields = [httparse::EMPTY_HEADER; MOST_FIELDS];
    let mut parsed = httparse::Request::new(&mut fields);
    let status = parsed.parse(buffer);
    let read = head(status, buffer, |length| {
        let target = parsed.path.unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let headers = Headers::read(parsed.headers);
        let keep_alive = parsed.version == Some(1) && !headers.lists("Connection", "close");
        let method = parsed.method.unwrap_or_default().to_owned();
        let (path, query) = (path.to_owned(), query.to_owned());
        let (body, waited) = (Bytes::new(), Duration::ZERO);
        (length, Request { method, path, query, headers, body, keep_alive, waited })
    })?;
    let Some((length, mut request)) = read else { return Ok(None) };
    let Some((body, end)) = body(&request.headers, &buffer[length..], MAX_BODY_BYTES, Some(0))? else {
        return Ok(None);
    };
    request.body = body;
    buffer.advance(length + end);
    Ok(Some(request))
}

/// Whether the client of the request at the front of the buffer waits to be told to send the body.
pub fn expects_continue(buffer: &[u8]) -> bool {
    let mut fields = [httparse::EMPTY_HEADER; MOST_FIELDS];
    let mut parsed = httparse::Request::new(&mut fields);
    let complete =
        matches!(parsed.parse(buffer), Ok(httparse::Status::Complete(length)) if length == buffer.len());
    complete && Headers::read(parsed.headers).lists("Expect", "100-continue")
}

/// A response as it came in.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedResponse {
    /// Its status.
    pub status: u16,
    /// Its header.
    pub headers: Headers,
    /// Its body.
    pub body: Bytes,
    /// The connection may be used again.
    pub keep_alive: bool,
}

/// Takes one whole response off the front of the buffer; `None` while it is not all there.
pub fn take_response(buffer: &mut BytesMut, most: usize) -> Result<Option<ReceivedResponse>, Malformed> {
    response(buffer, most, false)
}

/// The same once the other side has ended the connection: a body without a length lasts until then. A reset is no end.
pub fn take_response_at_eof(
    buffer: &mut BytesMut,
    most: usize,
) -> Result<Option<ReceivedResponse>, Malformed> {
    response(buffer, most, true)
}

fn response(buffer: &mut BytesMut, most: usize, ended: bool) -> Result<Option<ReceivedResponse>, Malformed> {
    let mut fields = [httparse::EMPTY_HEADER; MOST_FIELDS];
    let mut parsed = httparse::Response::new(&mut fields);
    let status = parsed.parse(buffer);
    let read = head(status, buffer, |length| {
        let headers = Headers::read(parsed.headers);
        (length, parsed.code.unwrap_or(0), parsed.version == Some(1), headers)
    })?;
    let Some((length, status, modern, headers)) = read else { return Ok(None) };
    let empty = matches!(status, 100..200 | 204 | 304).then_some(0);
    let framed = headers.get("Content-Length").or(headers.get("Transfer-Encoding")).is_some();
    let rest = &buffer[length..];
    let read = match empty {
        None if !framed && rest.len() > most => return Err(Malformed::BodyTooLong),
        None if !framed => ended.then(|| (Bytes::copy_from_slice(rest), rest.len())),
        _ => body(&headers, rest, most, empty)?,
    };
    let Some((body, end)) = read else { return Ok(None) };
    buffer.advance(length + end);
    let keep_alive = (framed || empty.is_some()) && modern && !headers.lists("Connection", "close");
    Ok(Some(ReceivedResponse { status, headers, body, keep_alive }))
}

/// The body at the front of `rest` and how many bytes it takes up; `None` while it is not all there.
fn body(
    headers: &Headers,
    rest: &[u8],
    most: usize,
    absent: Option<usize>,
) -> Result<Option<(Bytes, usize)>, Malformed> {
    let mut lengths = headers.all("Content-Length");
    let length = lengths.next();
    let mut codings = headers.all("Transfer-Encoding");
    if let Some(coding) = codings.next() {
        // Guards against a request that hides in the body of another.
        if length.is_some() || codings.next().is_some() || !coding.eq_ignore_ascii_case("chunked") {
            return Err(Malformed::Coding);
        }
        return chunks(rest, most);
    }
    if lengths.any(|other| Some(other) != length) {
        return Err(Malformed::Length);
    }
    let length = match length {
        Some(text) if !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit()) => {
            text.parse().map_err(|_| Malformed::BodyTooLong)?
        }
        Some(_) => return Err(Malformed::Length),
        None => absent.ok_or(Malformed::Length)?,
    };
    if length > most {
        return Err(Malformed::BodyTooLong);
    }
    Ok((rest.len() >= length).then(|| (Bytes::copy_from_slice(&rest[..length]), length)))
}

fn chunks(rest: &[u8], most: usize) -> Result<Option<(Bytes, usize)>, Malformed> {
    let mut body = BytesMut::new();
    let mut at = 0;
    loop {
        if at > 2 * most + MOST_HEAD {
            return Err(Malformed::BodyTooLong);
        }
        let (start, size) = match httparse::parse_chunk_size(&rest[at..]) {
            Ok(httparse::Status::Complete(read)) => read,
            Ok(httparse::Status::Partial) if rest.len() - at <= MOST_HEAD => return Ok(None),
            Ok(httparse::Status::Partial) | Err(_) => return Err(Malformed::Chunk),
        };
        at += start;
        if size == 0 {
            // Trailing fields, if any, end with an empty line.
            return match rest[at..].windows(4).position(|four| four == b"\r\n\r\n") {
                _ if rest[at..].starts_with(b"\r\n") => Ok(Some((body.freeze(), at + 2))),
                Some(end) => Ok(Some((body.freeze(), at + end + 4))),
                None if rest.len() - at > MOST_HEAD => Err(Malformed::Chunk),
                None => Ok(None),
            };
        }
        let size = usize::try_from(size).ok().filter(|size| body.len() + size <= most);
        let size = size.ok_or(Malformed::BodyTooLong)?;
        match rest.get(at..at + size + 2) {
            None => return Ok(None),
            Some(chunk) if chunk.ends_with(b"\r\n") => body.extend_from_slice(&chunk[..size]),
            Some(_) => return Err(Malformed::Chunk),
        }
        at += size + 2;
    }
}
