//! Hand-over messages and statsd lines, byte by byte.

use bytes::BytesMut;
use gatherer::protocol::handover::{self, HandoverError, Message};
use gatherer::protocol::statsd::MetricLines;
use proptest::prelude::{prop_assert, proptest};

#[test]
fn foreign_incompatible_torn_and_damaged_handover_messages_are_distinguished() {
    let complete =
        handover::encode(&Message::TakeoverRequest { listen: "127.0.0.1:9".to_owned() }).expect("encoded");
    let read = |bytes: &[u8]| handover::take_message(&mut BytesMut::from(bytes));
    assert!(matches!(read(&complete), Ok(Some(Message::TakeoverRequest { .. }))));
    assert!(matches!(read(&complete[..complete.len() - 1]), Ok(None)));
    let text = String::from_utf8(complete.to_vec()).expect("text");
    let changed = |from: &str, to: &str| read(text.replacen(from, to, 1).as_bytes());
    assert!(matches!(changed(" 1 ", " 2 "), Err(HandoverError::Version(2))));
    assert!(matches!(changed("clayshore", "GET / HTTP"), Err(HandoverError::Foreign)));
    assert!(matches!(changed("127", "128"), Err(HandoverError::Damaged)));
    assert!(matches!(read(&[b'a'; 80]), Err(HandoverError::Foreign)));
    assert!(matches!(read(b"clayshore-handover 1 9999999999 0\n"), Err(HandoverError::TooLong)));
}

proptest! {
    #[test]
    fn a_handover_message_with_one_changed_byte_is_never_accepted(at in 0..200_usize, flip in 1..=255_u8) {
        let sent = Message::WorkerEnabled { worker: "index-17".repeat(8) };
        let mut bytes = BytesMut::from(&handover::encode(&sent).expect("encoded")[..]);
        let at = at % bytes.len();
        bytes[at] ^= flip;
        // A changed digit of the checksum may be the same digit in the other case.
        let same = bytes[at].eq_ignore_ascii_case(&(bytes[at] ^ flip));
        if let Ok(Some(message)) = handover::take_message(&mut bytes) {
            prop_assert!(same && message == sent);
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
