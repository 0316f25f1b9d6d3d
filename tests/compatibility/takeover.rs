//! Takeovers between this version and an earlier one. The tests play the earlier version with recorded
//! messages.

use crate::process::{Gatherer, TIMEOUT, TestFolder, bind, config, fixture, wait_until};
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags,
};
use serde_json::Value;
use std::io::{IoSlice, IoSliceMut, Write};
use std::mem::MaybeUninit;
use std::net::{Shutdown, TcpListener};
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::fs::MetadataExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::PathBuf;
use std::process::Command;
use std::thread;

/// Encodes a takeover message as both versions write it.
fn message(body: &str) -> String {
    let checksum = xxhash_rust::xxh3::xxh3_64(body.as_bytes());
    format!("clayshore-handover 1 {} {checksum:016x}\n{body}", body.len())
}

/// Reads one message; returns its text, and the socket that was passed beside it.
fn read_message(stream: &UnixStream) -> (String, Option<OwnedFd>) {
    let (mut text, mut socket) = (String::new(), None);
    loop {
        if let Some((head, body)) = text.split_once('\n') {
            let length: usize =
                head.split(' ').nth(2).and_then(|length| length.parse().ok()).expect("a length");
            assert!(body.len() <= length, "more than one message: {text}");
            if body.len() == length {
                return (text, socket);
            }
        }
        let mut bytes = [0; 4096];
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut ancillary = RecvAncillaryBuffer::new(&mut space);
        let received = rustix::net::recvmsg(
            stream,
            &mut [IoSliceMut::new(&mut bytes)],
            &mut ancillary,
            RecvFlags::CMSG_CLOEXEC,
        );
        let count = received.expect("readable").bytes;
        assert!(count > 0, "the connection ended after {text:?}");
        text += std::str::from_utf8(&bytes[..count]).expect("text");
        for message in ancillary.drain() {
            if let RecvAncillaryMessage::ScmRights(sockets) = message {
                socket = sockets.last().or(socket);
            }
        }
    }
}

/// Sends a text, and passes a socket beside it (SCM_RIGHTS).
fn send_with_socket(stream: &UnixStream, text: &str, socket: &TcpListener) {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut ancillary = SendAncillaryBuffer::new(&mut space);
    let sockets = [socket.as_fd()];
    assert!(ancillary.push(SendAncillaryMessage::ScmRights(&sockets)));
    let pieces = [IoSlice::new(text.as_bytes())];
    let sent = rustix::net::sendmsg(stream, &pieces, &mut ancillary, SendFlags::empty()).expect("sent");
    assert_eq!(sent, text.len());
}

/// Path of the takeover socket of the gatherer that listens at `listen`.
fn takeover_path(folder: &TestFolder, listen: &str) -> PathBuf {
    let user = std::fs::metadata(&folder.0).expect("a folder").uid();
    folder.0.join(format!("clayshore-{user}-{}.sock", listen.replace(':', "-")))
}

/// The state in a takeover message.
fn state(text: &str) -> Value {
    let (_, body) = text.split_once('\n').expect("a first line");
    serde_json::from_str::<Value>(body).expect("JSON")["state"].take()
}

/// Whether two values are equal, up to the last digit of fractions: the release build does not read that
/// digit as it was written, because `float_roundtrip` of `serde_json` is only turned on by a dependency of
/// test builds.
fn is_same(one: &Value, other: &Value) -> bool {
    match (one, other) {
        (Value::Array(one), Value::Array(other)) => {
            one.len() == other.len() && one.iter().zip(other).all(|(one, other)| is_same(one, other))
        }
        (Value::Object(one), Value::Object(other)) => {
            let same = |(key, value)| other.get(key).is_some_and(|other| is_same(value, other));
            one.len() == other.len() && one.iter().all(same)
        }
        (Value::Number(one), Value::Number(other)) if one.is_f64() && other.is_f64() => {
            let (one, other) = (one.as_f64().unwrap_or(f64::NAN), other.as_f64().unwrap_or(f64::NAN));
            (one - other).abs() <= 1e-15 * other.abs()
        }
        (one, other) => one == other,
    }
}

/// A process that has just taken over from the earlier version, which the test plays.
struct Takeover {
    _folder: TestFolder,
    /// Discovery that never responds, so that the process has only the state that was handed over.
    _discovery: TcpListener,
    gatherer: Gatherer,
    /// The predecessor's end of the connection between the two processes.
    predecessor: UnixStream,
    /// Path of the takeover socket, at which the process later accepts a successor.
    path: PathBuf,
    /// The first message of a successor, its takeover request.
    takeover_request: String,
}

/// Hands over the recorded state and a listening socket to a new process, and waits until the process serves.
fn take_over(name: &str) -> Takeover {
    let folder = TestFolder::new(name);
    let (listener, discovery) = (bind(), bind());
    let listen = listener.local_addr().expect("an address").to_string();
    let path = takeover_path(&folder, &listen);
    let waiting = UnixListener::bind(&path).expect("bound");
    let discovery_address = discovery.local_addr().expect("an address").to_string();
    let mut config = config("g0", &discovery_address, &Value::Null);
    config["listen"] = listen.clone().into();
    let takeover_request = message(&format!(r#"{{"join":{{"listen":"{listen}"}}}}"#));
    let expected = takeover_request.clone();
    let predecessor = thread::spawn(move || {
        let (stream, _) = waiting.accept().expect("a connection");
        stream.set_read_timeout(Some(TIMEOUT)).expect("set");
        assert_eq!(read_message(&stream).0, expected);
        send_with_socket(&stream, &fixture("handover-state.txt"), &listener);
        assert_eq!(read_message(&stream).0, message("\"serving\""));
        stream
    });
    let gatherer = Gatherer::start(&folder, &config, None);
    let predecessor = predecessor.join().expect("the predecessor hands over");
    Takeover { _folder: folder, _discovery: discovery, gatherer, predecessor, path, takeover_request }
}

impl Takeover {
    fn metrics(&self) -> String {
        self.gatherer.operate("GET", "/-/metrics").body
    }

    /// Number of workers that are disabled by an operator or ejected as outliers.
    fn ejected(&self) -> u32 {
        let metrics = self.metrics();
        let line = metrics.lines().find_map(|line| line.strip_prefix("gatherer.ejected:"));
        let count = line.and_then(|line| line.strip_suffix("|g")).expect("a gauge");
        count.parse().expect("a number")
    }

    /// Waits until the readiness check responds with this text.
    fn wait_until_ready_says(&self, text: &str) {
        wait_until(text, || self.gatherer.operate("GET", "/-/ready").body.trim_end() == text);
    }
}

#[test]
fn the_state_of_an_earlier_version_is_taken_over_and_handed_over_again_unchanged() {
    let Takeover { gatherer, predecessor, path, takeover_request, .. } = &take_over("compatible-state");
    let metrics = gatherer.operate("GET", "/-/metrics").body;
    assert!(metrics.contains("gatherer.discovered:3|g\n"), "{metrics}");
    assert_eq!(gatherer.operate("GET", "/-/ready").body, "ready, drained\n");
    predecessor.shutdown(Shutdown::Both).expect("shut down");
    // The test now plays a successor of the earlier version, and beside it a second one, which must wait.
    let mut successor = None;
    wait_until("the process accepts a successor", || {
        successor = UnixStream::connect(path).ok();
        successor.is_some()
    });
    let mut successor = successor.expect("connected");
    successor.set_read_timeout(Some(TIMEOUT)).expect("set");
    successor.write_all(takeover_request.as_bytes()).expect("written");
    let (text, socket) = read_message(&successor);
    assert!(socket.is_some(), "the listening socket was passed beside the state");
    let (handed_over, recorded) = (state(&text), state(&fixture("handover-state.txt")));
    assert!(is_same(&handed_over, &recorded), "{handed_over:#}\ndiffers from\n{recorded:#}");
    let mut early = UnixStream::connect(path).expect("connected");
    early.set_read_timeout(Some(TIMEOUT)).expect("set");
    early.write_all(takeover_request.as_bytes()).expect("written");
    assert_eq!(read_message(&early).0, message("\"busy\""));
    let stop = Command::new("kill").args(["-TERM", &gatherer.child.id().to_string()]).status();
    assert!(stop.expect("kill runs").success());
    assert_eq!(read_message(&successor).0, message("\"stopping\""));
}

#[test]
fn changes_during_a_takeover_are_sent_to_and_received_from_an_earlier_version() {
    let takeover = take_over("compatible-changes");
    let mut predecessor = &takeover.predecessor;
    let ejected = takeover.ejected();
    let changes = [
        ("/-/workers/w2/disable", r#"{"out":{"worker":"w2"}}"#),
        ("/-/workers/w2/enable", r#"{"back":{"worker":"w2"}}"#),
        ("/-/resume", "\"resume\""),
        ("/-/drain", "\"drain\""),
    ];
    for (path, body) in changes {
        assert_eq!(takeover.gatherer.operate("PUT", path).status, 200, "{path}");
        assert_eq!(read_message(predecessor).0, message(body));
    }
    let mut send = |body: &str| predecessor.write_all(message(body).as_bytes()).expect("written");
    let [(_, out), (_, back), (_, resume), (_, drain)] = changes;
    send(out);
    wait_until("w2 is disabled", || takeover.ejected() == ejected + 1);
    send(back);
    wait_until("w2 is enabled", || takeover.ejected() == ejected);
    send(resume);
    takeover.wait_until_ready_says("ready");
    send(drain);
    takeover.wait_until_ready_says("ready, drained");
}
