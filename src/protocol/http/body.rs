//! The framing of HTTP bodies: by `Content-Length`, in chunks, or by the end of the connection.
//!
//! A decoder remembers how far it has come in a body that arrives in pieces. It does not own the received bytes.

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
    fn unframed(bytes: &[u8]) -> DecodedBody {
        DecodedBody { body: Bytes::copy_from_slice(bytes), encoded_bytes: bytes.len() }
    }
}

/// Decodes the body of one message.
#[derive(Debug)]
pub(super) enum BodyDecoder {
    /// A body of this many bytes.
    Length(usize),
    /// A body in chunks.
    Chunks(ChunkDecoder),
    /// A body of at most this many bytes, which ends with the connection.
    UntilClose(usize),
}

impl BodyDecoder {
    /// Creates the decoder for the body that a header announces. `default_length` is the length of the body where the
    /// header does not give one.
    pub fn new(
        headers: &Headers,
        max_body: usize,
        default_length: Option<usize>,
    ) -> Result<BodyDecoder, MalformedMessage> {
        let mut lengths = headers.all("Content-Length");
        let length = lengths.next();
        let mut codings = headers.all("Transfer-Encoding");
        if let Some(coding) = codings.next() {
            // Guards against request smuggling: a proxy in front could determine the length by the other of the two
            // fields.
            if length.is_some() || codings.next().is_some() || !coding.eq_ignore_ascii_case("chunked") {
                return Err(MalformedMessage::TransferEncoding);
            }
            return Ok(BodyDecoder::Chunks(ChunkDecoder::new(max_body)));
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
        Ok(BodyDecoder::Length(length))
    }

    /// Creates the decoder for a body that ends with the connection.
    pub fn until_close(max_body: usize) -> BodyDecoder {
        BodyDecoder::UntilClose(max_body)
    }

    /// Decodes the body at the front of `rest`; `None` while its end has not been received.
    pub fn decode(&mut self, rest: &[u8]) -> Result<Option<DecodedBody>, MalformedMessage> {
        match self {
            BodyDecoder::Length(length) => Ok(rest.get(..*length).map(DecodedBody::unframed)),
            BodyDecoder::Chunks(chunks) => chunks.decode(rest),
            BodyDecoder::UntilClose(max_body) if rest.len() > *max_body => Err(MalformedMessage::BodyTooLong),
            BodyDecoder::UntilClose(_) => Ok(None),
        }
    }

    /// Returns the body that ends with the connection, after all of `rest` has been received.
    pub fn ended_by_close(&self, rest: &[u8]) -> Option<DecodedBody> {
        matches!(self, BodyDecoder::UntilClose(_)).then(|| DecodedBody::unframed(rest))
    }

    /// Number of bytes that the decoder holds.
    pub fn held_bytes(&self) -> usize {
        match self {
            BodyDecoder::Chunks(chunks) => chunks.body.capacity(),
            BodyDecoder::Length(_) | BodyDecoder::UntilClose(_) => 0,
        }
    }
}

/// Decodes a body in chunks.
#[derive(Debug)]
pub(super) struct ChunkDecoder {
    max_body: usize,
    /// The chunks that are complete.
    body: BytesMut,
    /// Bytes that were decoded, with their framing.
    offset: usize,
    /// Bytes that were searched for the end of the size line or of the trailer.
    searched: usize,
    /// Size of the next chunk, once its size line is decoded.
    chunk_size: Option<usize>,
}

impl ChunkDecoder {
    fn new(max_body: usize) -> ChunkDecoder {
        ChunkDecoder { max_body, body: BytesMut::new(), offset: 0, searched: 0, chunk_size: None }
    }

    /// Decodes the chunks that are complete. Returns the body with the last one.
    fn decode(&mut self, rest: &[u8]) -> Result<Option<DecodedBody>, MalformedMessage> {
        loop {
            // Limits the framing as well, which can take more bytes than the body.
            if self.offset > 2 * self.max_body + MAX_HEADER_BYTES {
                return Err(MalformedMessage::BodyTooLong);
            }
            let Some(size) = self.decode_size_line(rest)? else { return Ok(None) };
            if size == 0 {
                let trailer_bytes = self.trailer_length(rest)?;
                return Ok(trailer_bytes.map(|bytes| DecodedBody {
                    // Copied, so that the body takes no more memory than its length.
                    body: Bytes::copy_from_slice(&std::mem::take(&mut self.body)),
                    encoded_bytes: self.offset + bytes,
                }));
            }
            match rest.get(self.offset..self.offset + size + 2) {
                None => return Ok(None),
                Some(chunk) if chunk.ends_with(b"\r\n") => self.body.extend_from_slice(&chunk[..size]),
                Some(_) => return Err(MalformedMessage::Chunk),
            }
            self.offset += size + 2;
            self.chunk_size = None;
        }
    }

    /// Returns the size of the next chunk; `None` while the end of its size line has not been received.
    fn decode_size_line(&mut self, rest: &[u8]) -> Result<Option<usize>, MalformedMessage> {
        if self.chunk_size.is_some() {
            return Ok(self.chunk_size);
        }
        let unsearched = &rest[self.searched.max(self.offset).min(rest.len())..];
        self.searched = rest.len();
        if !unsearched.contains(&b'\n') {
            let is_too_long = rest.len() - self.offset > MAX_HEADER_BYTES;
            return if is_too_long { Err(MalformedMessage::Chunk) } else { Ok(None) };
        }
        let Ok(httparse::Status::Complete((line_bytes, size))) =
            httparse::parse_chunk_size(&rest[self.offset..])
        else {
            return Err(MalformedMessage::Chunk);
        };
        let size = usize::try_from(size).ok().filter(|size| self.body.len() + size <= self.max_body);
        let size = size.ok_or(MalformedMessage::BodyTooLong)?;
        self.offset += line_bytes;
        self.searched = self.offset;
        self.chunk_size = Some(size);
        Ok(self.chunk_size)
    }

    /// Returns the length of the trailer behind the last chunk: its fields, if any, and an empty line. `None` while its
    /// end has not been received.
    fn trailer_length(&mut self, rest: &[u8]) -> Result<Option<usize>, MalformedMessage> {
        const END: &[u8] = b"\r\n\r\n";
        let trailer = &rest[self.offset..];
        if trailer.starts_with(b"\r\n") {
            return Ok(Some(2));
        }
        // The end may have begun with the last bytes that were searched.
        let from = (self.searched - self.offset).saturating_sub(END.len() - 1);
        self.searched = rest.len();
        match trailer[from..].windows(END.len()).position(|window| window == END) {
            Some(end) => Ok(Some(from + end + END.len())),
            None if trailer.len() > MAX_HEADER_BYTES => Err(MalformedMessage::Chunk),
            None => Ok(None),
        }
    }
}
