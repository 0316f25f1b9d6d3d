//! Requests that cost a gatherer much or that it has to reject, as clients in a fault test send them.
//!
//! Encodes bytes only. Which clients send them, how many and how fast, is up to the test.

use std::fmt::Write;

/// Bytes of a large body, just below the longest body that a gatherer accepts.
const LARGE_BODY_BYTES: usize = 60_000;
/// Depth of the nested arrays in a body: below the depth at which JSON parsers give up.
const NESTING_DEPTH: usize = 60;
/// Header fields of a request with a long header, and the length of each value in bytes.
const LONG_HEADER_FIELDS: usize = 56;
const LONG_HEADER_VALUE_BYTES: usize = 200;
/// Header fields of a request with more fields than a gatherer accepts.
const EXCESSIVE_HEADER_FIELDS: usize = 2000;
/// One-byte chunks of a chunked body.
const TINY_CHUNKS: usize = 20_000;

/// The HTTP protocol that a request is encoded for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetApi {
    /// The platform's front.
    Platform,
    /// The OpenSearch-style front.
    OpenSearch,
    /// The operators' API.
    Operators,
}

/// A kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostileRequest {
    /// A large body of nested arrays that is rejected after it was parsed.
    NestedBody,
    /// A large body of many small clauses that is rejected after it was parsed.
    ManyClauses,
    /// A large body with many ranges, of which the last ones are not valid.
    ManyRanges,
    /// A large body in chunks of one byte each.
    TinyChunks,
    /// A header of many long fields.
    LongHeader,
    /// A header of more fields than are accepted; the connection is closed after the response.
    ExcessiveFields,
    /// Bytes that are not HTTP; the connection is closed after the response.
    Malformed,
    /// A small request that names a caller which no request has named before.
    NewCaller,
    /// A small request that is answered without a worker.
    Health,
    /// A small request for a path that does not exist.
    UnknownPath,
}

/// Every kind of request.
pub const HOSTILE_REQUESTS: [HostileRequest; 10] = [
    HostileRequest::NestedBody,
    HostileRequest::ManyClauses,
    HostileRequest::ManyRanges,
    HostileRequest::TinyChunks,
    HostileRequest::LongHeader,
    HostileRequest::ExcessiveFields,
    HostileRequest::Malformed,
    HostileRequest::NewCaller,
    HostileRequest::Health,
    HostileRequest::UnknownPath,
];

impl HostileRequest {
    /// Encodes the request. `number` makes names unique.
    #[must_use]
    pub fn encode(self, api: TargetApi, number: u64) -> Vec<u8> {
        match self {
            HostileRequest::NestedBody => post(api, number, "bank", &large_body(api, &nested_arrays())),
            HostileRequest::ManyClauses => post(api, number, "bank", &large_body(api, r#"{"term":{"a":1}}"#)),
            HostileRequest::ManyRanges => post(api, number, "bank", &many_ranges(api)),
            HostileRequest::TinyChunks => tiny_chunks(api, number),
            HostileRequest::LongHeader => long_header(api),
            HostileRequest::ExcessiveFields => excessive_fields(api),
            HostileRequest::Malformed => b"not an HTTP request\r\n\r\n".to_vec(),
            HostileRequest::NewCaller => {
                post(api, number, &format!("caller-{number}"), &large_body_of(api, "0", 0))
            }
            HostileRequest::Health => get(api.health_path()),
            HostileRequest::UnknownPath => get(&format!("/unknown/{number}")),
        }
    }
}

impl TargetApi {
    /// The path of a request that is answered without a worker.
    #[must_use]
    pub fn health_path(self) -> &'static str {
        match self {
            TargetApi::Platform | TargetApi::OpenSearch => "/_health",
            TargetApi::Operators => "/-/ready",
        }
    }

    /// The request line and the header fields of a query that this caller sends, without those of the body.
    fn query_header(self, number: u64, caller: &str) -> String {
        match self {
            TargetApi::Platform => format!(
                "POST /api HTTP/1.1\r\nHost: test\r\nX-Call-Id: hostile-{number}\r\nX-Call-Class: search\r\n\
                 X-Caller: {caller}\r\nX-Budget-Ms: 200\r\n"
            ),
            TargetApi::OpenSearch => {
                format!("POST /envelopes/_search HTTP/1.1\r\nHost: test\r\nX-Opaque-Id: {caller}\r\n")
            }
            TargetApi::Operators => "PUT /-/unknown HTTP/1.1\r\nHost: test\r\n".to_owned(),
        }
    }
}

fn get(path: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nHost: test\r\n\r\n").into_bytes()
}

fn post(api: TargetApi, number: u64, caller: &str, body: &str) -> Vec<u8> {
    let header = api.query_header(number, caller);
    format!("{header}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

fn nested_arrays() -> String {
    "[".repeat(NESTING_DEPTH) + &"]".repeat(NESTING_DEPTH)
}

/// A large body with many copies of an item, which is not a valid query of this API.
fn large_body(api: TargetApi, item: &str) -> String {
    large_body_of(api, item, LARGE_BODY_BYTES)
}

/// A body of about this many bytes with copies of an item, at least one, which is not a valid query of this API.
fn large_body_of(api: TargetApi, item: &str, bytes: usize) -> String {
    let copies = (bytes / (item.len() + 1)).max(1);
    let items = vec![item; copies].join(",");
    match api {
        TargetApi::OpenSearch => format!(r#"{{"query":{{"bool":{{"must":[{items}]}}}},"aggs":1}}"#),
        TargetApi::Platform | TargetApi::Operators => {
            format!(r#"{{"padding":[{items}],"ranges":[],"predicate":""}}"#)
        }
    }
}

fn many_ranges(api: TargetApi) -> String {
    let range = r#"{"range":0,"portion":0.5}"#;
    let ranges = vec![range; LARGE_BODY_BYTES / (range.len() + 1)].join(",");
    match api {
        TargetApi::OpenSearch => format!(r#"{{"ranges":[{ranges}],"aggs":1}}"#),
        TargetApi::Platform | TargetApi::Operators => format!(r#"{{"ranges":[{ranges}],"predicate":""}}"#),
    }
}

fn tiny_chunks(api: TargetApi, number: u64) -> Vec<u8> {
    let header = api.query_header(number, "bank");
    let mut request = format!("{header}Transfer-Encoding: chunked\r\n\r\n");
    request.push_str(&"1\r\n \r\n".repeat(TINY_CHUNKS));
    request.push_str("0\r\n\r\n");
    request.into_bytes()
}

fn long_header(api: TargetApi) -> Vec<u8> {
    let value = "v".repeat(LONG_HEADER_VALUE_BYTES);
    header_fields(api, LONG_HEADER_FIELDS, &value)
}

fn excessive_fields(api: TargetApi) -> Vec<u8> {
    header_fields(api, EXCESSIVE_HEADER_FIELDS, "")
}

/// A request that is answered without a worker, with this many further header fields.
fn header_fields(api: TargetApi, count: usize, value: &str) -> Vec<u8> {
    let mut request = format!("GET {} HTTP/1.1\r\nHost: test\r\n", api.health_path());
    for number in 0..count {
        let written = write!(request, "f{number}: {value}\r\n");
        debug_assert!(written.is_ok(), "writing to a string cannot fail");
    }
    request.push_str("\r\n");
    request.into_bytes()
}
