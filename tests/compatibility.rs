//! What other programs and earlier versions read or write stays as it is: records, the messages of a takeover, the
//! operators' API, the counters, and the errors and exit statuses of `check`. The files under `fixtures/compatibility`
//! were written by the program of 1 December 2026 (records, messages, answers) or hold what it printed about them.
//!
//! These tests use processes and files alone, so that no name in the code is part of what they prove.

use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags,
};
use serde_json::Value;
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, IoSlice, IoSliceMut, Read, Write};
use std::mem::MaybeUninit;
use std::net::{Ipv4Addr, Shutdown, TcpListener, TcpStream};
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::fs::MetadataExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// No event takes longer, however busy the machine is.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Time between two looks at something that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

fn fixtures() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/compatibility")
}

fn fixture(name: &str) -> String {
    std::fs::read_to_string(fixtures().join(name)).expect("a fixture")
}

fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let since = Instant::now();
    while !condition() {
        assert!(since.elapsed() < TIMEOUT, "timed out: {what}");
        thread::sleep(POLL_INTERVAL);
    }
}

/// Runs the program to its end, in this folder; its exit status, standard output and standard error.
fn run(folder: &Path, arguments: &[&str]) -> (Option<i32>, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_gatherer"));
    let output = command.env_clear().current_dir(folder).args(arguments).output().expect("the program runs");
    let text = |bytes| String::from_utf8(bytes).expect("text");
    (output.status.code(), text(output.stdout), text(output.stderr))
}

/// A folder of a test's own, removed at its end.
struct TestFolder(PathBuf);

impl TestFolder {
    fn new(name: &str) -> TestFolder {
        let path = std::env::temp_dir().join(format!("gatherer-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        TestFolder(path)
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A listener on a loopback address that no other test uses.
fn bind() -> TcpListener {
    let [a, b, c, ..] = fastrand::u32(..).to_le_bytes();
    TcpListener::bind((Ipv4Addr::new(127, a.max(1), b, c), 0)).expect("a port")
}

fn free_address() -> String {
    bind().local_addr().expect("an address").to_string()
}

/// Discovery that answers each poll with this list and never answers a watch.
fn start_discovery(list: &Value) -> String {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let body = list.to_string();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let body = body.clone();
            thread::spawn(move || answer_polls(stream.expect("a connection"), &body));
        }
    });
    address
}

fn answer_polls(stream: TcpStream, body: &str) {
    let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
    let mut writer = stream;
    while let Some((request, _)) = read_head(&mut reader) {
        if !request.contains("index=") {
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            writer.write_all((head + body).as_bytes()).expect("written");
        }
    }
}

/// The first line and the header lines of a request or response; `None` at the end of the connection.
fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<String>)> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        match line.trim_end() {
            "" => return Some((lines.remove(0), lines)),
            line => lines.push(line.to_owned()),
        }
    }
}

struct Answer {
    status: u16,
    headers: Vec<String>,
    body: String,
}

impl Answer {
    fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().filter_map(|line| line.split_once(": "));
        found.filter(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value).next()
    }
}

fn call(address: &str, method: &str, path: &str) -> std::io::Result<Answer> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    write!(stream, "{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n")?;
    let mut reader = BufReader::new(stream);
    let (status, headers) = read_head(&mut reader).ok_or(std::io::ErrorKind::UnexpectedEof)?;
    let status = status.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("a status");
    let mut answer = Answer { status, headers, body: String::new() };
    let length = answer.header("Content-Length").and_then(|length| length.parse().ok()).unwrap_or(0);
    reader.take(length).read_to_string(&mut answer.body)?;
    Ok(answer)
}

/// A serving process of the program; it is killed at the end of the test.
struct Gatherer {
    child: Child,
    clients: String,
    operators: String,
}

impl Gatherer {
    /// Starts the platform's front, with the text of an operator's file if there is one.
    fn start(folder: &TestFolder, config: &Value, operator_file: Option<&str>) -> Gatherer {
        let name = format!("{}", fastrand::u64(..));
        let (config_path, operator_path) =
            (folder.0.join(format!("{name}.json")), folder.0.join(format!("{name}.toml")));
        std::fs::write(&config_path, config.to_string()).expect("written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_gatherer"));
        command.env_clear().env("LB_CONFIG", &config_path).env("TMPDIR", &folder.0).stderr(Stdio::null());
        if let Some(text) = operator_file {
            std::fs::write(&operator_path, text).expect("written");
            command.args(["serve", "--operator"]).arg(&operator_path);
        }
        let child = command.spawn().expect("the program starts");
        let address = |key: &str| config[key].as_str().expect("an address").to_owned();
        let gatherer = Gatherer { child, clients: address("listen"), operators: address("operator") };
        wait_until("the program is ready", || {
            call(&gatherer.operators, "GET", "/-/ready").is_ok_and(|answer| answer.status == 200)
        });
        gatherer
    }

    fn operate(&self, method: &str, path: &str) -> Answer {
        call(&self.operators, method, path).expect("an answer")
    }
}

impl Drop for Gatherer {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The platform's configuration with addresses of its own.
fn config(name: &str, discovery: &str, list: &Value) -> Value {
    let mut config: Value = serde_json::from_str(&fixture("files/platform.json")).expect("JSON");
    config["name"] = name.into();
    config["discovery"] = discovery.into();
    config["known"] = list.clone();
    (config["listen"], config["operator"]) = (free_address().into(), free_address().into());
    config
}

/// An endpoint list of workers that are never called.
fn endpoint_list(workers: &[&str]) -> Value {
    let member = |id: &&str| serde_json::json!({"id": id, "host_port": "127.9.8.7:4001", "cell": 0, "phase": "SERVING"});
    serde_json::json!({"revision": 1, "complete": true, "members": workers.iter().map(member).collect::<Vec<_>>()})
}

/// The text with each number replaced by one 0, so that names, order and punctuation are what is left.
fn without_numbers(text: &str) -> String {
    let mut shape = String::new();
    for sign in text.chars() {
        let digit = sign.is_ascii_digit();
        let in_number = shape.ends_with('0');
        match sign {
            _ if digit && in_number => {}
            _ if digit => shape.push('0'),
            '.' if in_number => {}
            sign => shape.push(sign),
        }
    }
    shape
}

/// Replaces sentences for people, which name the same things in other words, by an empty text.
fn without_sentences(report: &str) -> Value {
    let mut report: Value = serde_json::from_str(report).expect("JSON");
    let blank = |list: &mut Value, key: &str| {
        list.as_array_mut().expect("a list").iter_mut().for_each(|entry| entry[key] = "".into());
    };
    blank(&mut report["events"], "what");
    blank(&mut report["findings"], "evidence");
    for fault in report["lines"]["first_damaged"].as_array_mut().expect("a list") {
        *fault = place(fault.as_str().expect("text")).into();
    }
    report
}

/// The file and line that a fault of the records names.
fn place(fault: &str) -> String {
    fault.splitn(3, ':').take(2).collect::<Vec<_>>().join(":")
}

#[test]
fn records_of_the_version_before_are_whole_and_in_order() {
    let (status, output, errors) = run(&fixtures(), &["records", "verify", "records"]);
    assert_eq!((status, output.as_str()), (Some(0), fixture("verify.txt").as_str()), "{errors}");
}

#[test]
fn damage_to_records_of_the_version_before_is_found_at_the_same_places() {
    let (status, output, _) = run(&fixtures(), &["records", "verify", "records-damaged"]);
    let places = |text: &str| text.lines().map(place).collect::<Vec<_>>();
    assert_eq!((status, places(&output)), (Some(1), places(&fixture("verify-damaged.txt"))));
}

#[test]
fn the_report_on_records_of_the_version_before_has_the_same_keys_and_figures() {
    for (folder, expected) in [("records", "report.json"), ("records-damaged", "report-damaged.json")] {
        let (status, output, errors) = run(&fixtures(), &["report", "--json", folder]);
        assert_eq!(status, Some(0), "{errors}");
        assert_eq!(without_sentences(&output), without_sentences(&fixture(expected)), "{folder}");
    }
}

#[test]
fn names_in_records_are_those_of_the_version_before() {
    let (status, output, _) = run(&fixtures(), &["records", "schema"]);
    assert_eq!(status, Some(0));
    let mut names = BTreeSet::new();
    collect_names(&serde_json::from_str(&output).expect("JSON"), &mut names);
    let expected = fixture("record-names.txt").lines().map(str::to_owned).collect::<BTreeSet<_>>();
    assert_eq!(names, expected);
}

/// All names of fields and all fixed texts of a JSON schema.
fn collect_names(schema: &Value, names: &mut BTreeSet<String>) {
    match schema {
        Value::Object(entries) => {
            for (key, value) in entries {
                match (key.as_str(), value) {
                    ("properties", Value::Object(fields)) => names.extend(fields.keys().cloned()),
                    ("const", Value::String(text)) => drop(names.insert(text.clone())),
                    ("enum", Value::Array(texts)) => {
                        names.extend(texts.iter().filter_map(Value::as_str).map(str::to_owned));
                    }
                    _ => {}
                }
                collect_names(value, names);
            }
        }
        Value::Array(values) => values.iter().for_each(|value| collect_names(value, names)),
        _ => {}
    }
}

#[test]
fn check_prints_the_same_errors_and_exits_with_the_same_status() {
    let expected = fixture("check.txt");
    let files: Vec<&str> = expected
        .lines()
        .filter_map(|line| line.strip_prefix("## ").and_then(|rest| rest.split_once(": status ")))
        .map(|(file, _)| file)
        .collect();
    // Each file that is there is named, and two that are not.
    let there = std::fs::read_dir(fixtures().join("files")).expect("a folder").count();
    assert_eq!(files.len(), there + 2);
    let mut printed = String::new();
    for file in files {
        let (status, _, errors) = run(&fixtures().join("files"), &["check", file]);
        printed += &format!("## {file}: status {}\n{errors}", status.expect("a status"));
    }
    assert_eq!(printed, expected);
}

#[test]
fn counters_have_the_same_names_in_the_same_order() {
    let folder = TestFolder::new("compatible-counters");
    let list = endpoint_list(&["w1"]);
    let gatherer = Gatherer::start(&folder, &config("g0", &start_discovery(&list), &list), None);
    let counters = call(&gatherer.clients, "GET", "/_counters").expect("an answer");
    assert_eq!(without_numbers(&counters.body), without_numbers(&fixture("counters.txt")));
}

#[test]
fn operators_calls_have_the_same_answers() {
    let folder = TestFolder::new("compatible-operators");
    let list = endpoint_list(&["w1", "w2"]);
    let gatherer = Gatherer::start(&folder, &config("g0", &start_discovery(&list), &list), None);
    let expected = fixture("operators.txt");
    let mut answers = Vec::new();
    for (request, _) in expected.lines().filter_map(|line| line.split_once(" -> ")) {
        let (method, path) = request.split_once(' ').expect("a method and a path");
        let answer = gatherer.operate(method, path);
        let header = |name| answer.header(name).unwrap_or("-");
        let head = format!("{request} -> {} {} {}", answer.status, header("Content-Type"), header("Allow"));
        answers.push(format!("{head}\n{}\n", answer.body.trim_end()));
    }
    assert_eq!(answers.join("\n"), expected);
}

#[test]
fn members_have_the_same_keys_in_the_same_order() {
    let folder = TestFolder::new("compatible-members");
    let list = endpoint_list(&["w1"]);
    let discovery = start_discovery(&list);
    let addresses = [free_address(), free_address()];
    let operator_file = |own: usize| {
        let table = "period_ms = 50\ncluster = \"c\"";
        format!("[membership]\n{table}\nlisten = {:?}\nseeds = [{:?}]\n", addresses[own], addresses[1 - own])
    };
    let first = Gatherer::start(&folder, &config("g0", &discovery, &list), Some(&operator_file(0)));
    let _second = Gatherer::start(&folder, &config("g1", &discovery, &list), Some(&operator_file(1)));
    let mut view = String::new();
    wait_until("the two know each other", || {
        view = first.operate("GET", "/-/members").body;
        let json: Value = serde_json::from_str(&view).expect("JSON");
        json["members"][0]["state"] == "alive" && json["members"][0]["heard_s"].is_number()
    });
    assert_eq!(without_numbers(&view), without_numbers(fixture("members.json").trim_end()));
}

/// A message of a takeover, as both versions write it.
fn message(body: &str) -> String {
    let checksum = xxhash_rust::xxh3::xxh3_64(body.as_bytes());
    format!("clayshore-handover 1 {} {checksum:016x}\n{body}", body.len())
}

/// Reads one message: its bytes as text, and the socket that came beside it.
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
        assert!(count > 0, "the connection ended behind {text:?}");
        text += std::str::from_utf8(&bytes[..count]).expect("text");
        for message in ancillary.drain() {
            if let RecvAncillaryMessage::ScmRights(sockets) = message {
                socket = sockets.last().or(socket);
            }
        }
    }
}

fn send_with_socket(stream: &UnixStream, text: &str, socket: &TcpListener) {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut ancillary = SendAncillaryBuffer::new(&mut space);
    let sockets = [socket.as_fd()];
    assert!(ancillary.push(SendAncillaryMessage::ScmRights(&sockets)));
    let pieces = [IoSlice::new(text.as_bytes())];
    let sent = rustix::net::sendmsg(stream, &pieces, &mut ancillary, SendFlags::empty()).expect("sent");
    assert_eq!(sent, text.len());
}

/// The socket at which the processes of one gatherer find each other.
fn takeover_path(folder: &TestFolder, listen: &str) -> PathBuf {
    let user = std::fs::metadata(&folder.0).expect("a folder").uid();
    folder.0.join(format!("clayshore-{user}-{}.sock", listen.replace(':', "-")))
}

fn state(text: &str) -> Value {
    let (_, body) = text.split_once('\n').expect("a first line");
    serde_json::from_str::<Value>(body).expect("JSON")["state"].take()
}

/// Whether two values are the same. The release build reads the last digit of a fraction otherwise than it was written:
/// `float_roundtrip` of `serde_json` is on in test builds alone, by a dependency of theirs.
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

/// A process that has just taken over from the version before, which this test plays.
struct Takeover {
    _folder: TestFolder,
    /// Discovery that never answers: what is known is what was handed over.
    _discovery: TcpListener,
    gatherer: Gatherer,
    /// The predecessor's end of the connection.
    predecessor: UnixStream,
    /// Where the process waits for a successor in its turn.
    path: PathBuf,
    /// What a successor says first.
    join: String,
}

/// Hands over the recorded state and a listening socket to a new process, and waits until it serves.
fn take_over(name: &str) -> Takeover {
    let folder = TestFolder::new(name);
    let (listener, discovery) = (bind(), bind());
    let listen = listener.local_addr().expect("an address").to_string();
    let path = takeover_path(&folder, &listen);
    let waiting = UnixListener::bind(&path).expect("bound");
    let discovery_address = discovery.local_addr().expect("an address").to_string();
    let mut config = config("g0", &discovery_address, &Value::Null);
    config["listen"] = listen.clone().into();
    let join = message(&format!(r#"{{"join":{{"listen":"{listen}"}}}}"#));
    let expected = join.clone();
    let predecessor = thread::spawn(move || {
        let (stream, _) = waiting.accept().expect("a connection");
        stream.set_read_timeout(Some(TIMEOUT)).expect("set");
        assert_eq!(read_message(&stream).0, expected);
        send_with_socket(&stream, &fixture("handover-state.txt"), &listener);
        assert_eq!(read_message(&stream).0, message("\"serving\""));
        stream
    });
    let gatherer = Gatherer::start(&folder, &config, None);
    let predecessor = predecessor.join().expect("it hands over");
    Takeover { _folder: folder, _discovery: discovery, gatherer, predecessor, path, join }
}

impl Takeover {
    fn metrics(&self) -> String {
        self.gatherer.operate("GET", "/-/metrics").body
    }

    /// Workers that are disabled by an operator or ejected as outliers.
    fn ejected(&self) -> u32 {
        let metrics = self.metrics();
        let line = metrics.lines().find_map(|line| line.strip_prefix("gatherer.ejected:"));
        let count = line.and_then(|line| line.strip_suffix("|g")).expect("a gauge");
        count.parse().expect("a number")
    }

    fn wait_until_ready_says(&self, text: &str) {
        wait_until(text, || self.gatherer.operate("GET", "/-/ready").body.trim_end() == text);
    }
}

#[test]
fn the_state_of_the_version_before_is_taken_over_and_handed_on_unchanged() {
    let Takeover { gatherer, predecessor, path, join, .. } = &take_over("compatible-state");
    let metrics = gatherer.operate("GET", "/-/metrics").body;
    assert!(metrics.contains("gatherer.discovered:3|g\n"), "{metrics}");
    assert_eq!(gatherer.operate("GET", "/-/ready").body, "ready, drained\n");
    predecessor.shutdown(Shutdown::Both).expect("shut down");
    // Now this test plays a later start of the version before, and beside it one that comes too early.
    let mut successor = None;
    wait_until("it can be taken over from", || {
        successor = UnixStream::connect(path).ok();
        successor.is_some()
    });
    let mut successor = successor.expect("connected");
    successor.set_read_timeout(Some(TIMEOUT)).expect("set");
    successor.write_all(join.as_bytes()).expect("written");
    let (text, socket) = read_message(&successor);
    assert!(socket.is_some(), "the listening socket comes beside the state");
    let (handed_on, recorded) = (state(&text), state(&fixture("handover-state.txt")));
    assert!(is_same(&handed_on, &recorded), "{handed_on:#}\nis not\n{recorded:#}");
    let mut early = UnixStream::connect(path).expect("connected");
    early.set_read_timeout(Some(TIMEOUT)).expect("set");
    early.write_all(join.as_bytes()).expect("written");
    assert_eq!(read_message(&early).0, message("\"busy\""));
    let stop = Command::new("kill").args(["-TERM", &gatherer.child.id().to_string()]).status();
    assert!(stop.expect("kill runs").success());
    assert_eq!(read_message(&successor).0, message("\"stopping\""));
}

#[test]
fn changes_during_a_takeover_reach_the_version_before_and_come_from_it() {
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
