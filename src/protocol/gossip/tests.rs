//! Tests of the authentication and the size of messages. They use the private function that computes the tag.

use super::{ClusterKey, GossipError, MAGIC, MAX_DATAGRAM_BYTES, VERSION, max_table_bytes};
use crate::membership::Message;
use crate::membership::update::{MAX_NAME_BYTES, MAX_UPDATES_BYTES, MemberState, MemberUpdate, MessageKind};
use proptest::prelude::{any, prop, prop_assert, prop_assert_eq, proptest};

/// A message with this number of updates, in which names have this number of bytes.
fn message(updates: usize, name_bytes: usize) -> Message {
    let update = |id: usize| MemberUpdate {
        name: format!("{id:0name_bytes$}"),
        start: u64::MAX,
        incarnation: u32::MAX,
        address: "[ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff]:65535".parse().expect("an address"),
        zone: "z".repeat(name_bytes),
        state: MemberState::Left,
    };
    let kind = MessageKind::IndirectAck { number: u32::MAX, update: update(0) };
    Message { from: update(1), kind, updates: (0..updates).map(update).collect() }
}

#[test]
fn no_other_cluster_accepts_a_message() {
    let key = ClusterKey::new("tbilisi", "s1");
    let bytes = key.encode(&message(2, 5)).expect("encoded");
    assert_eq!(key.decode_datagram(&bytes), Ok(message(2, 5)));
    for other in
        [ClusterKey::new("tbilisi", "s2"), ClusterKey::new("tbilisis", "1"), ClusterKey::new("kutaisi", "s1")]
    {
        assert_eq!(other.decode_datagram(&bytes), Err(GossipError::Authentication));
    }
    let mut newer = bytes.clone();
    newer[4] = 2;
    assert_eq!(key.decode_datagram(&newer), Err(GossipError::UnsupportedVersion));
    assert_eq!(key.decode_datagram(b"GET / HTTP/1.1"), Err(GossipError::MissingMagic));
    assert_eq!(key.decode_datagram(&[0; 1201]), Err(GossipError::Length));
}

#[test]
fn a_message_of_the_longest_names_fits_into_a_datagram() {
    for name_bytes in [1, 20, MAX_NAME_BYTES] {
        let full = (0..)
            .map(|updates| message(updates, name_bytes))
            .take_while(|message| message.max_encoded_bytes() <= MAX_UPDATES_BYTES);
        let length = ClusterKey::new("", "")
            .encode(&full.last().expect("a message with one update fits"))
            .expect("encoded")
            .len();
        assert!(
            length <= MAX_DATAGRAM_BYTES && length > MAX_DATAGRAM_BYTES / 2,
            "with names of {name_bytes} bytes, the datagram has {length} bytes"
        );
    }
    let table_bytes = ClusterKey::new("", "").encode(&message(1000, MAX_NAME_BYTES)).expect("encoded").len();
    assert!(table_bytes <= max_table_bytes(1000));
}

proptest! {
    #[test]
    fn no_bytes_panic_and_no_changed_byte_is_accepted(
        noise in prop::collection::vec(any::<u8>(), 0..300), position in 0..500_usize, flip in 1..=255_u8,
    ) {
        let key = ClusterKey::new("tbilisi", "s1");
        prop_assert!(key.decode_datagram(&noise).is_err());
        let mut bytes = key.encode(&message(2, 9)).expect("encoded");
        let position = position % bytes.len();
        bytes[position] ^= flip;
        prop_assert!(key.decode_datagram(&bytes).is_err());
    }

    // A member that has the secret may still send bytes that are not a message.
    #[test]
    fn authenticated_noise_is_rejected_or_valid(noise in prop::collection::vec(any::<u8>(), 0..200)) {
        let key = ClusterKey::new("tbilisi", "s1");
        let bytes = [&MAGIC[..], &[VERSION], &key.tag(&noise), &noise].concat();
        match key.decode_datagram(&bytes) {
            Err(error) => prop_assert_eq!(error, GossipError::Encoding),
            Ok(message) => prop_assert!(message.is_valid()),
        }
    }
}
