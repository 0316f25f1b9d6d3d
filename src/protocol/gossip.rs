//! Messages between members: the magic bytes `clym`, a version byte, an authentication tag (the first 16 bytes of a
//! keyed BLAKE3 hash), and the message as encoded by postcard. Most are sent as datagrams; a complete member table is
//! sent over a connection, with its length (four bytes, little-endian) in front.
//!
//! Messages are authenticated by the cluster's key, but not encrypted. The module does not read sockets or apply
//! messages.

use crate::membership::Message;
use crate::membership::update::{MAX_NAME_BYTES, MAX_UPDATES_BYTES};
use std::fmt;

/// Version of the format. Messages of any other version are rejected.
pub const VERSION: u8 = 1;
const MAGIC: &[u8; 4] = b"clym";
const TAG_BYTES: usize = 16;
const HEADER_BYTES: usize = MAGIC.len() + 1 + TAG_BYTES;
/// Longest datagram, in bytes: short enough that no network fragments it.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// Upper bound of one encoded update, in bytes: the names of member and zone, and the other fields.
const MAX_UPDATE_BYTES: usize = 2 * MAX_NAME_BYTES + 48;
/// Context of the key derivation: a key that is derived for another purpose authenticates nothing here.
const KEY_CONTEXT: &str = "clayshore membership, version 1";

/// Why a message is not accepted. The texts are the names of counters that operators read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum GossipError {
    /// The bytes do not begin with the magic bytes and a version.
    #[error("foreign")]
    MissingMagic,
    /// The message has another version.
    #[error("version")]
    UnsupportedVersion,
    /// The tag does not match: the message is from another cluster, made with another secret, or damaged.
    #[error("seal")]
    Authentication,
    /// The message is authentic but not valid, or cannot be encoded.
    #[error("form")]
    Encoding,
    /// The message is longer than any that a member sends.
    #[error("length")]
    Length,
}

/// Key with which the members of a cluster authenticate their messages.
#[derive(Clone)]
pub struct ClusterKey([u8; 32]);

impl fmt::Debug for ClusterKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ClusterKey")
    }
}

impl ClusterKey {
    /// Derives the key of a cluster. With an empty secret, the key only keeps the messages of clusters apart: anybody
    /// who knows the name of the cluster can derive it.
    #[must_use]
    pub fn new(cluster: &str, secret: &str) -> ClusterKey {
        let key_material =
            [&(cluster.len() as u64).to_le_bytes(), cluster.as_bytes(), secret.as_bytes()].concat();
        ClusterKey(blake3::derive_key(KEY_CONTEXT, &key_material))
    }

    /// Returns the authentication tag of an encoded message.
    fn tag(&self, body: &[u8]) -> [u8; TAG_BYTES] {
        let hash = blake3::keyed_hash(&self.0, body);
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&hash.as_bytes()[..TAG_BYTES]);
        tag
    }

    /// Encodes a message with its authentication tag.
    ///
    /// # Errors
    ///
    /// If the message cannot be encoded.
    pub fn encode(&self, message: &Message) -> Result<Vec<u8>, GossipError> {
        let body = postcard::to_stdvec(message).map_err(|_| GossipError::Encoding)?;
        Ok([&MAGIC[..], &[VERSION], &self.tag(&body), &body].concat())
    }

    /// Authenticates and decodes a message.
    ///
    /// # Errors
    ///
    /// If the bytes are not a valid message of this version, this cluster and this secret.
    pub fn decode(&self, bytes: &[u8]) -> Result<Message, GossipError> {
        let rest = bytes.strip_prefix(MAGIC).ok_or(GossipError::MissingMagic)?;
        let (version, rest) = rest.split_first().ok_or(GossipError::MissingMagic)?;
        if *version != VERSION {
            return Err(GossipError::UnsupportedVersion);
        }
        let (tag, body) = rest.split_at_checked(TAG_BYTES).ok_or(GossipError::Authentication)?;
        // `blake3::Hash` compares in constant time, which guards against a tag that is guessed byte by byte.
        let expected = blake3::keyed_hash(&self.0, body);
        let mut received = *expected.as_bytes();
        received[..TAG_BYTES].copy_from_slice(tag);
        if expected != received {
            return Err(GossipError::Authentication);
        }
        match postcard::take_from_bytes::<Message>(body) {
            Ok((message, [])) if message.is_valid() => Ok(message),
            _ => Err(GossipError::Encoding),
        }
    }

    /// Authenticates and decodes a datagram.
    ///
    /// # Errors
    ///
    /// As [`ClusterKey::decode`], and if the datagram is longer than any that a member sends.
    pub fn decode_datagram(&self, bytes: &[u8]) -> Result<Message, GossipError> {
        if bytes.len() > MAX_DATAGRAM_BYTES { Err(GossipError::Length) } else { self.decode(bytes) }
    }
}

/// Returns an upper bound of the encoded member table, in bytes, where a member knows at most `other_members` others.
#[must_use]
pub fn max_table_bytes(other_members: usize) -> usize {
    HEADER_BYTES + MAX_UPDATES_BYTES + other_members.saturating_add(2).saturating_mul(MAX_UPDATE_BYTES)
}

#[cfg(test)]
mod tests;
