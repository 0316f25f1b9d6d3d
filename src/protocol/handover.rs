//! What the two processes of an upgrade tell each other. Each message is one line `clayshore-handover VERSION LENGTH
//! CHECKSUM`, the checksum (XXH3 of the body) in hexadecimal, and then so many bytes of JSON.

use crate::policy::PolicySnapshot;
use crate::routing::WorkerListUpdate;
use crate::service::DisabledWorkers;
use bytes::{Buf, Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// The version that this program speaks; it takes no other.
pub const VERSION: u32 = 1;
const MAGIC: &str = "clayshore-handover";
/// The longest first line, and the longest body: far more than a fleet of a thousand workers takes.
const MOST_HEAD: usize = 80;
const MOST_BODY: usize = 8 << 20;

/// What a gatherer passes on to its successor.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TakeoverState {
    /// The list as discovery last told it.
    pub list: WorkerListUpdate,
    /// Who is out by hand.
    #[serde(rename = "bans")]
    pub disabled_workers: DisabledWorkers,
    /// An operator has it drained.
    pub drained: bool,
    /// What the module has learned.
    pub learned: PolicySnapshot,
}

/// A message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// A second start, for clients at this address, asks to take over.
    // The name in the message, which other versions of the program read.
    #[serde(rename = "join")]
    TakeoverRequest {
        /// Where clients connect.
        listen: String,
    },
    /// It has to wait.
    // The name in the message, which other versions of the program read.
    #[serde(rename = "busy")]
    TakeoverInProgress,
    /// It takes over this; the listening socket comes beside it.
    // The name in the message, which other versions of the program read.
    #[serde(rename = "state")]
    TakeoverState(Box<TakeoverState>),
    /// A worker was taken out by hand.
    // The name in the message, which other versions of the program read.
    #[serde(rename = "out")]
    WorkerDisabled {
        /// Its name.
        worker: String,
    },
    /// A worker was taken back.
    // The name in the message, which other versions of the program read.
    #[serde(rename = "back")]
    WorkerEnabled {
        /// Its name.
        worker: String,
    },
    /// An operator has the gatherer drained.
    Drain,
    /// An operator has it take clients again.
    Resume,
    /// The second takes clients.
    Serving,
    /// The one that says so has been told to stop.
    Stopping,
}

/// Why bytes are no message.
#[derive(Debug, thiserror::Error)]
pub enum HandoverError {
    /// The first line.
    #[error("it is not in the form of a hand-over")]
    Foreign,
    /// Another version.
    #[error("it is of version {0}, not {VERSION}")]
    Version(u32),
    /// More than anyone passes on.
    #[error("it is too long")]
    TooLong,
    /// The body is not what was sent.
    #[error("its checksum is wrong")]
    Damaged,
    /// The body.
    #[error("its body cannot be read: {0}")]
    Body(#[from] serde_json::Error),
}

/// A message's bytes.
pub fn encode(message: &Message) -> Result<Bytes, HandoverError> {
    let body = serde_json::to_vec(message)?;
    if body.len() > MOST_BODY {
        return Err(HandoverError::TooLong);
    }
    let head = format!("{MAGIC} {VERSION} {} {:016x}\n", body.len(), xxh3_64(&body));
    Ok([head.into_bytes(), body].concat().into())
}

/// Takes one whole message off the front of the buffer; `None` while it is not all there.
pub fn take_message(buffer: &mut BytesMut) -> Result<Option<Message>, HandoverError> {
    let Some(end) = buffer.iter().take(MOST_HEAD).position(|byte| *byte == b'\n') else {
        return if buffer.len() < MOST_HEAD { Ok(None) } else { Err(HandoverError::Foreign) };
    };
    let line = std::str::from_utf8(&buffer[..end]).map_err(|_| HandoverError::Foreign)?;
    let words: Vec<&str> = line.split(' ').collect();
    let [MAGIC, version, length, checksum] = words[..] else { return Err(HandoverError::Foreign) };
    let version = version.parse().map_err(|_| HandoverError::Foreign)?;
    if version != VERSION {
        return Err(HandoverError::Version(version));
    }
    let length = length.parse::<usize>().map_err(|_| HandoverError::Foreign)?;
    let checksum = u64::from_str_radix(checksum, 16).map_err(|_| HandoverError::Foreign)?;
    if length > MOST_BODY {
        return Err(HandoverError::TooLong);
    }
    let Some(body) = buffer.get(end + 1..end + 1 + length) else { return Ok(None) };
    if xxh3_64(body) != checksum {
        return Err(HandoverError::Damaged);
    }
    let message = serde_json::from_slice(body)?;
    buffer.advance(end + 1 + length);
    Ok(Some(message))
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn what_is_foreign_old_torn_or_damaged_is_told_apart() {
        let whole = encode(&Message::TakeoverRequest { listen: "127.0.0.1:9".to_owned() }).expect("encoded");
        let read = |bytes: &[u8]| take_message(&mut BytesMut::from(bytes));
        assert!(matches!(read(&whole), Ok(Some(Message::TakeoverRequest { .. }))));
        assert!(matches!(read(&whole[..whole.len() - 1]), Ok(None)));
        let text = String::from_utf8(whole.to_vec()).expect("text");
        let changed = |from: &str, to: &str| read(text.replacen(from, to, 1).as_bytes());
        assert!(matches!(changed(" 1 ", " 2 "), Err(HandoverError::Version(2))));
        assert!(matches!(changed("clayshore", "GET / HTTP"), Err(HandoverError::Foreign)));
        assert!(matches!(changed("127", "128"), Err(HandoverError::Damaged)));
        assert!(matches!(read(&[b'a'; 80]), Err(HandoverError::Foreign)));
        assert!(matches!(read(b"clayshore-handover 1 9999999999 0\n"), Err(HandoverError::TooLong)));
    }

    proptest! {
        #[test]
        fn one_changed_byte_is_never_taken(at in 0..200_usize, flip in 1..=255_u8) {
            let sent = Message::WorkerEnabled { worker: "index-17".repeat(8) };
            let mut bytes = BytesMut::from(&encode(&sent).expect("encoded")[..]);
            let at = at % bytes.len();
            bytes[at] ^= flip;
            // A changed sign of the checksum may be the same digit in the other case.
            let same = bytes[at].eq_ignore_ascii_case(&(bytes[at] ^ flip));
            if let Ok(Some(message)) = take_message(&mut bytes) {
                prop_assert!(same && message == sent);
            }
        }
    }
}
