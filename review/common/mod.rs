//! Stand-ins that the cases share: the platform (starts and ends the program), discovery, workers and clients.
//! Only the standard library is used. All sockets are on loopback addresses.
#![allow(dead_code)]

use std::fs::File;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// Process ids of the programs under test, to be ended with the case.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn kill(pid: u32, signal: &str) {
    let _ = Command::new("kill").args([signal, &pid.to_string()]).stderr(Stdio::null()).status();
}

/// Ends all processes that the case has started, and the case.
pub fn finish(code: i32) -> ! {
    for pid in STARTED.lock().map(|pids| pids.clone()).unwrap_or_default() {
        kill(pid, "-KILL");
    }
    std::process::exit(code)
}

/// The record of what was sent, answered and run, with times since the start of the case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    pub started: Instant,
}

impl Record {
    /// Opens `record.txt` in the folder of the case, and limits the case to 110 s.
    pub fn open() -> Record {
        std::panic::set_hook(Box::new(|info| {
            eprintln!("the case could not run: {info}");
            finish(COULD_NOT_RUN)
        }));
        let folder = std::env::var("CASE_FOLDER").expect("CASE_FOLDER is set by run.sh");
        let file = File::create(PathBuf::from(folder).join("record.txt")).expect("record.txt can be written");
        thread::spawn(|| {
            thread::sleep(Duration::from_secs(110));
            eprintln!("the case took too long");
            finish(COULD_NOT_RUN)
        });
        Record { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let ms = self.started.elapsed().as_secs_f64() * 1e3;
        let line = format!("{ms:9.1} ms  {}\n", text.as_ref());
        self.file.lock().unwrap().write_all(line.as_bytes()).expect("record.txt can be written");
    }

    /// Writes the verdict to the record and to standard output, and ends the case.
    pub fn verdict(&self, broken: bool, text: impl AsRef<str>) -> ! {
        let word = if broken { "BROKEN" } else { "HELD" };
        self.line(format!("{word}: {}", text.as_ref()));
        println!("{word}: {}", text.as_ref());
        finish(if broken { BROKEN } else { HELD })
    }
}

/// Whether the disruption is played (`TROUBLE=0` leaves it out).
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A listener on a free port of 127.0.0.1.
pub fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a loopback port is free")
}

/// A free loopback address for the program to listen at.
pub fn free_address() -> String {
    listen().local_addr().unwrap().to_string()
}

/// The private folder of the case, made and removed by run.sh.
pub fn temporary_folder() -> PathBuf {
    PathBuf::from(std::env::var("TMPDIR").expect("TMPDIR is set by run.sh"))
}

/// A process of the program, started by the line `run` of deploy/balancer.toml.
pub struct Gatherer {
    pub child: Child,
}

impl Gatherer {
    /// Starts the line `run`, with `arguments` after it. Its log goes to `log.txt` in the temporary folder.
    pub fn start(arguments: &str, variables: &[(&str, String)]) -> Gatherer {
        let deploy = std::fs::read_to_string("deploy/balancer.toml").expect("deploy/balancer.toml is there");
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")).expect("it has the line run");
        let run = run.trim_end().trim_end_matches('"');
        let folder = temporary_folder();
        let log = File::options().create(true).append(true).open(folder.join("log.txt")).unwrap();
        let child = Command::new("/bin/sh")
            .args(["-c", &format!("{run} {arguments}")])
            .envs(variables.iter().map(|(name, value)| (name, value)))
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("the program starts");
        STARTED.lock().unwrap().push(child.id());
        Gatherer { child }
    }

    pub fn signal(&self, signal: &str) {
        kill(self.child.id(), signal);
    }

    /// Resident memory in KiB, and the highest so far; zeroes if the process has ended.
    pub fn memory_kib(&self) -> (u64, u64) {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let field = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name)).unwrap_or("0");
            line.split_whitespace().next().and_then(|word| word.parse().ok()).unwrap_or(0)
        };
        (field("VmRSS:"), field("VmHWM:"))
    }
}

/// Waits until `GET /_health` is answered with 200.
pub fn wait_until_healthy(address: &str) {
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(30) {
        if let Ok(mut stream) = TcpStream::connect(address) {
            let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
            let asked = stream.write_all(b"GET /_health HTTP/1.1\r\nHost: case\r\nConnection: close\r\n\r\n");
            if asked.is_ok() && read_response(&mut stream, &mut Vec::new()).is_some_and(|r| r.status == 200) {
                return;
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
    panic!("the program is not healthy after 30 s");
}

/// A message of HTTP/1.1: its first line, its header and its body (by Content-Length).
pub struct Message {
    pub first_line: String,
    pub header: String,
    pub status: u16,
    pub body: String,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let fields = self.header.lines().filter_map(|line| line.split_once(':'));
        fields.clone().find(|field| field.0.eq_ignore_ascii_case(name)).map(|field| field.1.trim())
    }
}

/// Reads one message; `None` where the connection ends or the time-out of the socket is over. `rest` keeps the bytes
/// that follow it.
pub fn read_response(stream: &mut TcpStream, rest: &mut Vec<u8>) -> Option<Message> {
    loop {
        if let Some(end) = rest.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            let header = String::from_utf8_lossy(&rest[..end]).into_owned();
            let first_line = header.lines().next().unwrap_or_default().to_owned();
            let status = first_line.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
            let mut message = Message { first_line, header, status, body: String::new() };
            let length = message.field("Content-Length").and_then(|text| text.parse().ok()).unwrap_or(0);
            if rest.len() >= end + 4 + length {
                message.body = String::from_utf8_lossy(&rest[end + 4..end + 4 + length]).into_owned();
                rest.drain(..end + 4 + length);
                return Some(message);
            }
        }
        let mut bytes = [0; 65536];
        match stream.read(&mut bytes) {
            Ok(count @ 1..) => rest.extend_from_slice(&bytes[..count]),
            _ => return None,
        }
    }
}

/// The agent of discovery: answers a call for the list at once, and a watch after its wait, as nothing changes.
pub fn start_discovery(members: String) -> String {
    let listener = listen();
    let address = listener.local_addr().unwrap().to_string();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, members) = (stream.unwrap(), members.clone());
            thread::spawn(move || {
                let mut rest = Vec::new();
                while let Some(call) = read_response(&mut stream, &mut rest) {
                    let number = |name: &str| {
                        let at = call.first_line.find(name)? + name.len();
                        let digits: String =
                            call.first_line[at..].chars().take_while(char::is_ascii_digit).collect();
                        digits.parse::<u64>().ok()
                    };
                    let body = if number("index=") == Some(1) {
                        thread::sleep(Duration::from_millis(number("wait=").unwrap_or(0)));
                        r#"{"revision":1,"complete":false,"members":[]}"#.to_owned()
                    } else {
                        format!(r#"{{"revision":1,"complete":true,"members":[{members}]}}"#)
                    };
                    let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
                    let _ = write!(stream, "{head}Content-Length: {}\r\n\r\n{body}", body.len());
                }
            });
        }
    });
    address
}

/// One part of a call frame, as a worker reads it.
pub struct ReceivedPart {
    pub id: String,
    pub shard: u32,
    /// The milliseconds that the gatherer says it will wait.
    pub wait_ms: u64,
    pub text: String,
}

/// A frame that a worker has received.
pub enum Frame {
    Call(Vec<ReceivedPart>),
    GivenUp(String),
}

/// Reads one frame; `None` at the end of the connection.
pub fn read_frame(stream: &mut TcpStream) -> Option<Frame> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).ok()?;
    let mut bytes = vec![0; u32::from_le_bytes(length) as usize];
    stream.read_exact(&mut bytes).ok()?;
    let text = String::from_utf8(bytes).expect("a frame of the gatherer is text");
    if let Some(id) = text.strip_prefix('n') {
        return Some(Frame::GivenUp(id.to_owned()));
    }
    let (mut rest, mut parts) = (text.strip_prefix('m').expect("a frame is m or n"), Vec::new());
    while !rest.is_empty() {
        let (line, after) = rest.split_once('\n').expect("a part's line ends");
        let words: Vec<&str> = line.split(' ').collect();
        let length: usize = words[3].parse().expect("a part has a length");
        let wait_ms = words[2].split(',').find_map(|item| item.strip_prefix("d=")).unwrap_or("0");
        parts.push(ReceivedPart {
            id: words[0].to_owned(),
            shard: words[1].parse().expect("a shard is a number"),
            wait_ms: wait_ms.parse().expect("d is a number"),
            text: after[..length].to_owned(),
        });
        rest = &after[length..];
    }
    Some(Frame::Call(parts))
}

/// Writes the answer `good` for a part.
pub fn write_good(stream: &Mutex<TcpStream>, id: &str, value: &str) {
    let frame = format!("q{id} good 1 util=0.2,queue=0\n{value}");
    let bytes = [&(frame.len() as u32).to_le_bytes()[..], frame.as_bytes()].concat();
    let _ = stream.lock().unwrap().write_all(&bytes);
}

static NEXT_ID: AtomicU32 = AtomicU32::new(1);

/// A fresh id of a query.
pub fn fresh_id() -> String {
    let salt = u64::from(std::process::id()) << 32;
    format!("{:016x}", 0x9b00_0000_0000_0000u64 | salt | u64::from(NEXT_ID.fetch_add(1, Ordering::SeqCst)))
}

/// A query `POST /api` for one part.
pub fn query(id: &str, class: &str, caller: &str, budget_ms: u64, shard: u32, price_us: u64, key: &str) -> String {
    let body = format!(
        r#"{{"ranges":[{{"range":{shard},"portion":1.0,"price":{price_us}}}],"predicate":"{key}"}}"#
    );
    format!(
        "POST /api HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: {id}\r\nX-Call-Class: {class}\r\n\
         X-Caller: {caller}\r\nX-Route-Hash: {key}\r\nX-Budget-Ms: {budget_ms}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
