//! The encoding of hand-over messages and of statsd lines.

use bytes::BytesMut;
use gatherer::protocol::handover::{self, HandoverError, Message};
use gatherer::protocol::statsd::MetricLines;
use proptest::prelude::{prop_assert, proptest};
use serde_json::{Value, json};
use xxhash_rust::xxh3::xxh3_64;

#[test]
fn foreign_incompatible_torn_and_damaged_handover_messages_are_distinguished() {
    let complete =
        handover::encode(&Message::TakeoverRequest { listen: "127.0.0.1:9".to_owned() }).expect("encoded");
    let decode = |bytes: &[u8]| handover::take_message(&mut BytesMut::from(bytes));
    assert!(matches!(decode(&complete), Ok(Some(Message::TakeoverRequest { .. }))));
    assert!(matches!(decode(&complete[..complete.len() - 1]), Ok(None)));
    let text = String::from_utf8(complete.to_vec()).expect("the message is UTF-8");
    let decode_with = |from: &str, to: &str| decode(text.replacen(from, to, 1).as_bytes());
    assert!(matches!(decode_with(" 1 ", " 2 "), Err(HandoverError::UnsupportedVersion(2))));
    assert!(matches!(decode_with("clayshore", "GET / HTTP"), Err(HandoverError::MalformedHeader)));
    assert!(matches!(decode_with("127", "128"), Err(HandoverError::ChecksumMismatch)));
    assert!(matches!(decode(&[b'a'; 80]), Err(HandoverError::MalformedHeader)));
    assert!(matches!(
        decode(b"clayshore-handover 1 9999999999 0\n"),
        Err(HandoverError::BodyTooLong(9_999_999_999))
    ));
}

proptest! {
    #[test]
    fn a_handover_message_with_one_changed_byte_is_never_accepted(
        position in 0..200_usize,
        flipped_bits in 1..=255_u8,
    ) {
        let sent = Message::WorkerEnabled { worker: "index-17".repeat(8) };
        let mut bytes = BytesMut::from(&handover::encode(&sent).expect("encoded")[..]);
        let position = position % bytes.len();
        bytes[position] ^= flipped_bits;
        // The change may turn a digit of the checksum into the same digit in the other case.
        let same_digit = bytes[position].eq_ignore_ascii_case(&(bytes[position] ^ flipped_bits));
        if let Ok(Some(message)) = handover::take_message(&mut bytes) {
            prop_assert!(same_digit && message == sent);
        }
    }
}

#[test]
fn metric_lines_have_the_form_of_statsd() {
    let mut lines = MetricLines::new("gatherer");
    lines.count(&["succeeded", "seal:rec|ord"], 812);
    lines.gauge(&["outstanding"], 14);
    assert_eq!(lines.text(), "gatherer.succeeded.seal_rec_ord:812|c\ngatherer.outstanding:14|g\n");
}

/// Returns the body of an encoded hand-over message.
fn decode_body(message: &[u8]) -> Value {
    let end = message.iter().position(|byte| *byte == b'\n').expect("the message has a header line");
    serde_json::from_slice(&message[end + 1..]).expect("the body is JSON")
}

/// A takeover state with every field of version 1.
fn version_1_state() -> Value {
    let duration = json!({"secs": 1, "nanos": 500_000_000});
    json!({
        "list": {"revision": 7, "complete": true, "members": [
            {"name": "w1", "address": "10.0.0.1:9", "zone": "a", "cell": 3, "status": "Active", "units": 1.5, "since": 5},
            {"name": "w2", "address": "10.0.0.2:9", "zone": "b", "cell": 4, "status": "Draining", "units": 1.0, "since": null},
            {"name": "w3", "address": "10.0.0.3:9", "zone": "b", "cell": 5, "status": "Gone", "units": 1.0, "since": null},
        ]},
        "bans": {"out": ["w2"], "back": {"w1": 11}},
        "drained": true,
        "learned": {
            "leaves": [{
                "name": "w1", "since": 5, "cold_from": 6, "sent": [[7, 0.5]], "utilization": 0.25, "heard": 8, "seen": 0.5,
                "planned": 1.5, "last_done": 9, "spoke": 10, "silent": true, "inferred": false, "unreached": 11,
                "strikes": 2, "lost": [[0, 0.5, 12], [null, 0.25, 13]], "suspect": [14, duration], "served": 2.5,
            }],
            "shards": [[3, [["w1", 0.5]]]],
            "shares": [[0, 0.5, 15]],
            "patience": [[0, duration, 2]], "marked": true, "mean_wait": 0.25,
            "model": {"sums": [1.0, 2.0, 3.0, 4.0, 5.0], "deviation": 0.5},
            "lost": 0.125, "gap": 0.25, "asked": 16, "answered": 17, "base": [0.5],
        },
    })
}

// The other process of an upgrade may be of another version of the program, which reads and writes these
// names.
#[test]
fn handover_messages_of_version_1_are_decoded_and_encoded_under_the_same_names() {
    let bodies = [
        json!({"join": {"listen": "127.0.0.1:9"}}),
        json!("busy"),
        json!({"state": version_1_state()}),
        json!({"out": {"worker": "w1"}}),
        json!({"back": {"worker": "w1"}}),
        json!("drain"),
        json!("resume"),
        json!("serving"),
        json!("stopping"),
    ];
    for expected in bodies {
        let text = expected.to_string();
        let line = format!("clayshore-handover 1 {} {:016x}\n{text}", text.len(), xxh3_64(text.as_bytes()));
        let message = handover::take_message(&mut BytesMut::from(line.as_bytes()));
        let message = message.expect(&text).expect("a complete message");
        assert_eq!(decode_body(&handover::encode(&message).expect("encoded")), expected);
    }
}
