//! Runs the program as a process, with its files and a discovery server, and sends HTTP requests to it.

use serde_json::Value;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// Time-out of every wait, long enough for a busy machine.
pub const TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which a condition is polled.
pub const POLL_INTERVAL: Duration = Duration::from_millis(2);

pub fn fixtures() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/compatibility")
}

/// Reads the text of a fixture.
pub fn fixture(name: &str) -> String {
    std::fs::read_to_string(fixtures().join(name)).expect("a fixture")
}

/// Polls a condition until it holds. Panics with its description after [`TIMEOUT`].
pub fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(started_at.elapsed() < TIMEOUT, "timed out after {TIMEOUT:?}: {description}");
        thread::sleep(POLL_INTERVAL);
    }
}

/// Runs the program in this folder until it exits; returns its exit status, standard output and standard
/// error.
pub fn run(folder: &Path, arguments: &[&str]) -> (Option<i32>, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_gatherer"));
    let output = command.env_clear().current_dir(folder).args(arguments).output().expect("the program runs");
    let text = |bytes| String::from_utf8(bytes).expect("text");
    (output.status.code(), text(output.stdout), text(output.stderr))
}

/// A folder for one test, which is removed when it is dropped.
pub struct TestFolder(pub PathBuf);

impl TestFolder {
    pub fn new(name: &str) -> TestFolder {
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

/// Binds a listener on a random loopback address, so that tests do not use the same one.
pub fn bind() -> TcpListener {
    let [a, b, c, ..] = fastrand::u32(..).to_le_bytes();
    TcpListener::bind((Ipv4Addr::new(127, a.max(1), b, c), 0)).expect("a port")
}

/// Returns an address at which nothing listens, on a random loopback address.
pub fn free_address() -> String {
    bind().local_addr().expect("an address").to_string()
}

/// Starts a discovery server that answers each poll with this list and never answers a watch; returns its
/// address.
pub fn start_discovery(list: &Value) -> String {
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

/// Answers the polls of one connection with `body` until the connection ends. Requests with `index=` are
/// watches.
pub fn answer_polls(stream: TcpStream, body: &str) {
    let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
    let mut writer = stream;
    while let Some((request, _)) = read_head(&mut reader) {
        if !request.contains("index=") {
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            writer.write_all((head + body).as_bytes()).expect("written");
        }
    }
}

/// Reads the first line and the header lines of a request or response; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<String>)> {
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

/// An HTTP response.
pub struct Response {
    pub status: u16,
    pub headers: Vec<String>,
    pub body: String,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().filter_map(|line| line.split_once(": "));
        found.filter(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value).next()
    }
}

/// Sends a request without a body on a new connection, and reads the response.
pub fn call(address: &str, method: &str, path: &str) -> std::io::Result<Response> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    write!(stream, "{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n")?;
    let mut reader = BufReader::new(stream);
    let (status, headers) = read_head(&mut reader).ok_or(std::io::ErrorKind::UnexpectedEof)?;
    let status = status.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("a status");
    let mut response = Response { status, headers, body: String::new() };
    let length = response.header("Content-Length").and_then(|length| length.parse().ok()).unwrap_or(0);
    reader.take(length).read_to_string(&mut response.body)?;
    Ok(response)
}

/// A serving process of the program, which is killed when it is dropped.
pub struct Gatherer {
    pub child: Child,
    pub clients: String,
    pub operators: String,
}

impl Gatherer {
    /// Starts the platform's front with this configuration, and with an operator's file of this text if there
    /// is one. Waits until the process is ready.
    pub fn start(folder: &TestFolder, config: &Value, operator_file: Option<&str>) -> Gatherer {
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
            call(&gatherer.operators, "GET", "/-/ready").is_ok_and(|response| response.status == 200)
        });
        gatherer
    }

    /// Sends a request to the operators' API.
    pub fn operate(&self, method: &str, path: &str) -> Response {
        call(&self.operators, method, path).expect("a response")
    }
}

impl Drop for Gatherer {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A configuration of the platform's front with this name, discovery and initial endpoint list, and with free
/// addresses for clients and operators.
pub fn config(name: &str, discovery: &str, list: &Value) -> Value {
    let mut config: Value = serde_json::from_str(&fixture("files/platform.json")).expect("JSON");
    config["name"] = name.into();
    config["discovery"] = discovery.into();
    config["known"] = list.clone();
    (config["listen"], config["operator"]) = (free_address().into(), free_address().into());
    config
}

/// An endpoint list of these workers, at an address where nothing listens.
pub fn endpoint_list(workers: &[&str]) -> Value {
    let member = |id: &&str| {
        let address = "127.9.8.7:4001";
        serde_json::json!({"id": id, "host_port": address, "cell": 0, "phase": "SERVING"})
    };
    let members: Vec<Value> = workers.iter().map(member).collect();
    serde_json::json!({"revision": 1, "complete": true, "members": members})
}
