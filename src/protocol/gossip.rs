//! What members tell each other, sealed: `clym`, a version, 16 bytes of a keyed BLAKE3 hash, and the message in postcard's
//! form. A whole table goes over a connection, with its length (four bytes, least significant first) before it.

use crate::membership::Message;
use crate::membership::update::{MAX_NAME_BYTES, MAX_UPDATES_BYTES};
use std::fmt;

/// The version that this program speaks; it takes no other.
pub const VERSION: u8 = 1;
const MAGIC: &[u8; 4] = b"clym";
const TAG: usize = 16;
const HEAD: usize = MAGIC.len() + 1 + TAG;
/// The longest datagram: it passes every network whole.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// The most that one claim takes.
const CLAIM: usize = 2 * MAX_NAME_BYTES + 48;
/// What the key is for; a key of another use opens nothing here.
const USE: &str = "clayshore membership, version 1";

/// Why bytes are not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum GossipError {
    /// They are not in this form at all.
    #[error("foreign")]
    Foreign,
    /// Another program's version.
    #[error("version")]
    Version,
    /// Another cluster's, another secret's, or damaged.
    #[error("seal")]
    ClusterKey,
    /// Sealed, and yet no message.
    #[error("form")]
    Form,
    /// Longer than any message.
    #[error("length")]
    Length,
}

/// Seals and opens what members of one cluster send.
#[derive(Clone)]
pub struct ClusterKey([u8; 32]);

impl fmt::Debug for ClusterKey {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str("ClusterKey")
    }
}

impl ClusterKey {
    /// Of this cluster; without a secret it keeps clusters apart, but nobody out.
    pub fn new(cluster: &str, secret: &str) -> ClusterKey {
        let material =
            [&(cluster.len() as u64).to_le_bytes(), cluster.as_bytes(), secret.as_bytes()].concat();
        ClusterKey(blake3::derive_key(USE, &material))
    }

    fn tag(&self, body: &[u8]) -> [u8; TAG] {
        let hash = blake3::keyed_hash(&self.0, body);
        let mut tag = [0; TAG];
        tag.copy_from_slice(&hash.as_bytes()[..TAG]);
        tag
    }

    /// The bytes of a message.
    pub fn encode(&self, message: &Message) -> Result<Vec<u8>, GossipError> {
        let body = postcard::to_stdvec(message).map_err(|_| GossipError::Form)?;
        Ok([&MAGIC[..], &[VERSION], &self.tag(&body), &body].concat())
    }

    /// Reads a message.
    pub fn decode(&self, bytes: &[u8]) -> Result<Message, GossipError> {
        let rest = bytes.strip_prefix(MAGIC).ok_or(GossipError::Foreign)?;
        let (version, rest) = rest.split_first().ok_or(GossipError::Foreign)?;
        if *version != VERSION {
            return Err(GossipError::Version);
        }
        let (tag, body) = rest.split_at_checked(TAG).ok_or(GossipError::ClusterKey)?;
        // Compared by the hash's own type, in constant time: guards against a seal that is found byte by byte.
        let sealed = blake3::keyed_hash(&self.0, body);
        let mut found = *sealed.as_bytes();
        found[..TAG].copy_from_slice(tag);
        if sealed != found {
            return Err(GossipError::ClusterKey);
        }
        match postcard::take_from_bytes::<Message>(body) {
            Ok((message, [])) if message.is_valid() => Ok(message),
            _ => Err(GossipError::Form),
        }
    }

    /// Reads a datagram.
    pub fn decode_datagram(&self, bytes: &[u8]) -> Result<Message, GossipError> {
        if bytes.len() > MAX_DATAGRAM_BYTES { Err(GossipError::Length) } else { self.decode(bytes) }
    }
}

/// The most bytes that a table of so many others takes.
pub fn max_table_bytes(most: usize) -> usize {
    HEAD + MAX_UPDATES_BYTES + most.saturating_add(2).saturating_mul(CLAIM)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::membership::update::{MemberState, MemberUpdate, MessageKind};
    use proptest::prelude::*;

    fn message(claims: usize, name: usize) -> Message {
        let claim = |id: usize| MemberUpdate {
            name: format!("{id:0name$}"),
            start: u64::MAX,
            incarnation: u32::MAX,
            address: "[ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff]:65535".parse().expect("an address"),
            zone: "z".repeat(name),
            state: MemberState::Left,
        };
        let kind = MessageKind::IndirectAck { number: u32::MAX, update: claim(0) };
        Message { from: claim(1), kind, updates: (0..claims).map(claim).collect() }
    }

    #[test]
    fn what_one_cluster_seals_no_other_opens() {
        let seal = ClusterKey::new("tbilisi", "s1");
        let bytes = seal.encode(&message(2, 5)).expect("sealed");
        assert_eq!(seal.decode_datagram(&bytes), Ok(message(2, 5)));
        for other in [
            ClusterKey::new("tbilisi", "s2"),
            ClusterKey::new("tbilisis", "1"),
            ClusterKey::new("kutaisi", "s1"),
        ] {
            assert_eq!(other.decode_datagram(&bytes), Err(GossipError::ClusterKey));
        }
        let mut newer = bytes.clone();
        newer[4] = 2;
        assert_eq!(seal.decode_datagram(&newer), Err(GossipError::Version));
        assert_eq!(seal.decode_datagram(b"GET / HTTP/1.1"), Err(GossipError::Foreign));
        assert_eq!(seal.decode_datagram(&[0; 1201]), Err(GossipError::Length));
    }

    #[test]
    fn a_message_of_the_longest_names_fits_into_a_datagram() {
        for name in [1, 20, MAX_NAME_BYTES] {
            let full = (0..)
                .map(|claims| message(claims, name))
                .take_while(|message| message.max_encoded_bytes() <= MAX_UPDATES_BYTES);
            let length = ClusterKey::new("", "").encode(&full.last().expect("one")).expect("sealed").len();
            assert!(
                length <= MAX_DATAGRAM_BYTES && length > MAX_DATAGRAM_BYTES / 2,
                "names of {name}: {length} bytes"
            );
        }
        let table_bytes =
            ClusterKey::new("", "").encode(&message(1000, MAX_NAME_BYTES)).expect("sealed").len();
        assert!(table_bytes <= max_table_bytes(1000));
    }

    proptest! {
        #[test]
        fn no_bytes_are_a_panic_and_no_changed_byte_is_taken(
            noise in prop::collection::vec(any::<u8>(), 0..300), at in 0..500_usize, flip in 1..=255_u8,
        ) {
            let seal = ClusterKey::new("tbilisi", "s1");
            prop_assert!(seal.decode_datagram(&noise).is_err());
            let mut sealed = seal.encode(&message(2, 9)).expect("sealed");
            let at = at % sealed.len();
            sealed[at] ^= flip;
            prop_assert!(seal.decode_datagram(&sealed).is_err());
        }

        // Behind the seal too: who holds the secret may still send what is no message.
        #[test]
        fn sealed_noise_is_no_message(noise in prop::collection::vec(any::<u8>(), 0..200)) {
            let seal = ClusterKey::new("tbilisi", "s1");
            let bytes = [&MAGIC[..], &[VERSION], &seal.tag(&noise), &noise].concat();
            match seal.decode_datagram(&bytes) {
                Err(error) => prop_assert_eq!(error, GossipError::Form),
                Ok(message) => prop_assert!(message.is_valid()),
            }
        }
    }
}
