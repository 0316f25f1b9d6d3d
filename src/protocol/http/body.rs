//! The framing of HTTP bodies: by `Content-Length`, or in chunks.
//!
//! The module determines where a body ends. It keeps no state: an incomplete body is decoded again from its beginning
//! once more bytes have been received.

use super::{Headers, MAX_HEADER_BYTES, MalformedMessage};
use bytes::{Bytes, BytesMut};

/// A body that has been received completely.
pub(super) struct DecodedBody {
    /// Body, without its framing.
    pub body: Bytes,
    /// Bytes that the body takes up in the buffer, with its framing.
    pub encoded_bytes: usize,
}

impl DecodedBody {
    /// A body without framing of its own: all of `bytes`.
    pub fn unframed(bytes: &[u8]) -> DecodedBody {
        DecodedBody { body: Bytes::copy_from_slice(bytes), encoded_bytes: bytes.len() }
    }
}

/// Decodes the body at the front of `rest`; `None` while its end has not been received. `default_length` is the length
/// of the body where the header does not give one.
pub(super) fn decode_body(
    headers: &Headers,
    rest: &[u8],
    max_body: usize,
    default_length: Option<usize>,
) -> Result<Option<DecodedBody>, MalformedMessage> {
    let mut lengths = headers.all("Content-Length");
    let length = lengths.next();
    let mut codings = headers.all("Transfer-Encoding");
    if let Some(coding) = codings.next() {
        // Guards against request smuggling: a proxy in front could determine the length by the other of the two fields.
        if length.is_some() || codings.next().is_some() || !coding.eq_ignore_ascii_case("chunked") {
            return Err(MalformedMessage::TransferEncoding);
        }
        return decode_chunks(rest, max_body);
    }
    if lengths.any(|other| Some(other) != length) {
        return Err(MalformedMessage::ContentLength);
    }
    let length = match length {
        Some(text) if !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit()) => {
            text.parse().map_err(|_| MalformedMessage::BodyTooLong)?
        }
        Some(_) => return Err(MalformedMessage::ContentLength),
        None => default_length.ok_or(MalformedMessage::ContentLength)?,
    };
    if length > max_body {
        return Err(MalformedMessage::BodyTooLong);
    }
    Ok(rest.get(..length).map(DecodedBody::unframed))
}

/// Decodes a body in chunks; `None` while its end has not been received.
fn decode_chunks(rest: &[u8], max_body: usize) -> Result<Option<DecodedBody>, MalformedMessage> {
    let mut body = BytesMut::new();
    let mut offset = 0;
    loop {
        // Limits the framing as well, which can take more bytes than the body.
        if offset > 2 * max_body + MAX_HEADER_BYTES {
            return Err(MalformedMessage::BodyTooLong);
        }
        let (size_line_bytes, size) = match httparse::parse_chunk_size(&rest[offset..]) {
            Ok(httparse::Status::Complete(chunk)) => chunk,
            Ok(httparse::Status::Partial) if rest.len() - offset <= MAX_HEADER_BYTES => return Ok(None),
            Ok(httparse::Status::Partial) | Err(_) => return Err(MalformedMessage::Chunk),
        };
        offset += size_line_bytes;
        if size == 0 {
            let trailer_bytes = trailer_length(&rest[offset..])?;
            return Ok(
                trailer_bytes.map(|bytes| DecodedBody { body: body.freeze(), encoded_bytes: offset + bytes })
            );
        }
        let size = usize::try_from(size).ok().filter(|size| body.len() + size <= max_body);
        let size = size.ok_or(MalformedMessage::BodyTooLong)?;
        match rest.get(offset..offset + size + 2) {
            None => return Ok(None),
            Some(chunk) if chunk.ends_with(b"\r\n") => body.extend_from_slice(&chunk[..size]),
            Some(_) => return Err(MalformedMessage::Chunk),
        }
        offset += size + 2;
    }
}

/// Returns the length of the trailer behind the last chunk: its fields, if any, and an empty line. `None` while its end
/// has not been received.
fn trailer_length(rest: &[u8]) -> Result<Option<usize>, MalformedMessage> {
    if rest.starts_with(b"\r\n") {
        return Ok(Some(2));
    }
    match rest.windows(4).position(|window| window == b"\r\n\r\n") {
        Some(end) => Ok(Some(end + 4)),
        None if rest.len() > MAX_HEADER_BYTES => Err(MalformedMessage::Chunk),
        None => Ok(None),
    }
}
