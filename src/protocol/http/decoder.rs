//! Decoders of messages that arrive in pieces. Each byte is looked at a bounded number of times, however small the
//! pieces are.

use super::body::{BodyDecoder, DecodedBody};
use super::{
    Headers, MAX_BODY_BYTES, MAX_HEADER_BYTES, MAX_HEADER_FIELDS, MalformedMessage, ReceivedResponse, Request,
};
use bytes::{Buf, BytesMut};
use std::time::Duration;

/// Finds out when a header is worth parsing: at its first bytes, and whenever a further line has ended.
#[derive(Debug, Default)]
struct HeaderScan {
    /// Number of bytes that were looked at.
    scanned: usize,
    /// Whether a byte was received that does not end a line. Empty lines before a message are skipped.
    has_begun: bool,
}

impl HeaderScan {
    /// Returns whether a parse could have another result than the one before.
    fn is_worth_parsing(&mut self, buffer: &[u8]) -> bool {
        let is_first = self.scanned == 0;
        let mut added = &buffer[self.scanned.min(buffer.len())..];
        self.scanned = buffer.len();
        if !self.has_begun {
            let begin = added.iter().position(|byte| !matches!(byte, b'\r' | b'\n'));
            self.has_begun = begin.is_some();
            added = &added[begin.unwrap_or(added.len())..];
        }
        is_first || added.contains(&b'\n') || buffer.len() > MAX_HEADER_BYTES
    }
}

/// Returns the length of a parsed header in bytes; `None` while its end has not been received.
fn header_length(parsed: httparse::Result<usize>, buffer: &[u8]) -> Result<Option<usize>, MalformedMessage> {
    match parsed {
        Ok(httparse::Status::Complete(length)) if length <= MAX_HEADER_BYTES => Ok(Some(length)),
        Ok(httparse::Status::Partial) if buffer.len() <= MAX_HEADER_BYTES => Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => Err(MalformedMessage::HeaderTooLong),
        Err(error) => Err(MalformedMessage::Header(error)),
    }
}

/// A message whose header is complete.
#[derive(Debug)]
struct IncompleteMessage<M> {
    message: M,
    header_bytes: usize,
    body: BodyDecoder,
}

/// Decodes the requests of one connection.
#[derive(Debug, Default)]
pub struct RequestDecoder {
    scan: HeaderScan,
    incomplete: Option<IncompleteMessage<Request>>,
}

impl RequestDecoder {
    /// Takes one complete request off the front of the buffer; `None` while its end has not been received. Between two
    /// calls that return `None`, bytes may only be appended to the buffer.
    ///
    /// # Errors
    ///
    /// If the bytes are not a valid request, or are over the limits. The connection cannot be used further.
    pub fn take(&mut self, buffer: &mut BytesMut) -> Result<Option<Request>, MalformedMessage> {
        if self.incomplete.is_none() {
            if !self.scan.is_worth_parsing(buffer) {
                return Ok(None);
            }
            self.incomplete = parse_request_header(buffer)?;
        }
        let Some(incomplete) = &mut self.incomplete else { return Ok(None) };
        let rest = &buffer[incomplete.header_bytes..];
        let Some(DecodedBody { body, encoded_bytes }) = incomplete.body.decode(rest)? else {
            return Ok(None);
        };
        let Some(IncompleteMessage { message, header_bytes, .. }) = self.incomplete.take() else {
            return Ok(None);
        };
        buffer.advance(header_bytes + encoded_bytes);
        self.scan = HeaderScan::default();
        Ok(Some(Request { body, ..message }))
    }

    /// Whether the buffer holds exactly a header whose client waits for `100 Continue` before it sends the body.
    #[must_use]
    pub fn expects_continue(&self, buffer: &[u8]) -> bool {
        self.incomplete.as_ref().is_some_and(|incomplete| {
            incomplete.header_bytes == buffer.len()
                && incomplete.message.headers.has_token("Expect", "100-continue")
        })
    }

    /// Number of bytes that the decoder holds besides the buffer.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.incomplete
            .as_ref()
            .map_or(0, |incomplete| incomplete.body.held_bytes() + incomplete.message.headers.held_bytes())
    }
}

/// Parses the header of a request; `None` while its end has not been received.
fn parse_request_header(buffer: &[u8]) -> Result<Option<IncompleteMessage<Request>>, MalformedMessage> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
    let mut parsed = httparse::Request::new(&mut fields);
    let parse_result = parsed.parse(buffer);
    let Some(header_bytes) = header_length(parse_result, buffer)? else { return Ok(None) };
    let target = parsed.path.unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let headers = Headers::from_parsed(parsed.headers);
    let body = BodyDecoder::new(&headers, MAX_BODY_BYTES, Some(0))?;
    let message = Request {
        method: parsed.method.unwrap_or_default().to_owned(),
        path: path.to_owned(),
        query: query.to_owned(),
        body: Default::default(),
        keep_alive: parsed.version == Some(1) && !headers.has_token("Connection", "close"),
        headers,
        waited: Duration::ZERO,
    };
    Ok(Some(IncompleteMessage { message, header_bytes, body }))
}

/// Decodes the responses of one connection.
#[derive(Debug)]
pub struct ResponseDecoder {
    max_body: usize,
    scan: HeaderScan,
    incomplete: Option<IncompleteMessage<ReceivedResponse>>,
}

impl ResponseDecoder {
    /// Creates a decoder of responses with bodies of at most `max_body` bytes.
    #[must_use]
    pub fn new(max_body: usize) -> ResponseDecoder {
        ResponseDecoder { max_body, scan: HeaderScan::default(), incomplete: None }
    }

    /// Takes one complete response off the front of the buffer; `None` while its end has not been received. Between two
    /// calls that return `None`, bytes may only be appended to the buffer.
    ///
    /// # Errors
    ///
    /// If the bytes are not a valid response, or are over the limits. The connection cannot be used further.
    pub fn take(&mut self, buffer: &mut BytesMut) -> Result<Option<ReceivedResponse>, MalformedMessage> {
        if self.incomplete.is_none() {
            if !self.scan.is_worth_parsing(buffer) {
                return Ok(None);
            }
            self.incomplete = self.parse_header(buffer)?;
        }
        let Some(incomplete) = &mut self.incomplete else { return Ok(None) };
        let body = incomplete.body.decode(&buffer[incomplete.header_bytes..])?;
        Ok(body.and_then(|body| self.complete(buffer, body)))
    }

    /// Like [`ResponseDecoder::take`], after the peer has closed the connection: a body without a length ends there.
    /// Must not be called after a reset, which may cut off the body.
    ///
    /// # Errors
    ///
    /// Those of [`ResponseDecoder::take`].
    pub fn take_at_eof(
        &mut self,
        buffer: &mut BytesMut,
    ) -> Result<Option<ReceivedResponse>, MalformedMessage> {
        if let Some(response) = self.take(buffer)? {
            return Ok(Some(response));
        }
        let Some(incomplete) = &self.incomplete else { return Ok(None) };
        let body = incomplete.body.ended_by_close(&buffer[incomplete.header_bytes..]);
        Ok(body.and_then(|body| self.complete(buffer, body)))
    }

    /// Takes the response that has this body off the buffer.
    fn complete(&mut self, buffer: &mut BytesMut, body: DecodedBody) -> Option<ReceivedResponse> {
        let IncompleteMessage { message, header_bytes, .. } = self.incomplete.take()?;
        buffer.advance(header_bytes + body.encoded_bytes);
        self.scan = HeaderScan::default();
        Some(ReceivedResponse { body: body.body, ..message })
    }

    /// Parses the header of a response; `None` while its end has not been received.
    fn parse_header(
        &self,
        buffer: &[u8],
    ) -> Result<Option<IncompleteMessage<ReceivedResponse>>, MalformedMessage> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
        let mut parsed = httparse::Response::new(&mut fields);
        let parse_result = parsed.parse(buffer);
        let Some(header_bytes) = header_length(parse_result, buffer)? else { return Ok(None) };
        let status = parsed.code.unwrap_or(0);
        let is_http_1_1 = parsed.version == Some(1);
        let headers = Headers::from_parsed(parsed.headers);
        let is_bodiless = matches!(status, 100..200 | 204 | 304);
        let is_framed = headers.get("Content-Length").or(headers.get("Transfer-Encoding")).is_some();
        let body = if is_framed || is_bodiless {
            BodyDecoder::new(&headers, self.max_body, is_bodiless.then_some(0))?
        } else {
            BodyDecoder::until_close(self.max_body)
        };
        let keep_alive =
            (is_framed || is_bodiless) && is_http_1_1 && !headers.has_token("Connection", "close");
        let message = ReceivedResponse { status, headers, body: Default::default(), keep_alive };
        Ok(Some(IncompleteMessage { message, header_bytes, body }))
    }
}

#[cfg(test)]
mod tests;
