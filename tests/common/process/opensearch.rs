//! The OpenSearch-style front as a process, and index servers that respond as a test says.

use super::{TempFolder, unused_address, wait_until, without_forks};
use bytes::BytesMut;
use gatherer::protocol::http::{self, ReceivedResponse, Request, Response};
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

/// Largest body of a response of the front.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// An index server on a thread for each connection. It responds to every request, and records the searches.
#[derive(Clone)]
pub struct IndexServer {
    /// Its address.
    pub address: String,
    /// Index and shard of each search, in the order of arrival.
    searches: Arc<Mutex<Vec<(String, usize)>>>,
}

impl IndexServer {
    /// Starts a server that responds as `respond` says.
    pub fn start(respond: impl Fn(&Request) -> Response + Send + Sync + 'static) -> IndexServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address").to_string();
        let server = IndexServer { address, searches: Arc::default() };
        let (accepting, respond) = (server.clone(), Arc::new(respond));
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (server, respond) = (accepting.clone(), respond.clone());
                thread::spawn(move || server.serve(stream.expect("a connection"), &*respond));
            }
        });
        server
    }

    fn serve(&self, mut stream: TcpStream, respond: &impl Fn(&Request) -> Response) {
        let mut buffer = BytesMut::new();
        loop {
            let Some(request) = http::take_request(&mut buffer).expect("a valid request") else {
                if read(&mut stream, &mut buffer).is_none() {
                    return;
                }
                continue;
            };
            if request.path.ends_with("/_search") {
                self.searches().push((index_of(&request), shard_of(&request)));
            }
            if stream.write_all(&respond(&request).encode(false)).is_err() {
                return;
            }
        }
    }

    fn searches(&self) -> std::sync::MutexGuard<'_, Vec<(String, usize)>> {
        self.searches.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How often parts of searches of an index arrived.
    pub fn runs_of(&self, index: &str) -> usize {
        self.searches().iter().filter(|(searched, _)| searched == index).count()
    }
}

/// The index that a request names.
pub fn index_of(request: &Request) -> String {
    request.path.trim_start_matches('/').split('/').next().unwrap_or_default().to_owned()
}

/// The shard that a search asks for.
pub fn shard_of(request: &Request) -> usize {
    let preference = request.parameter("preference").expect("a search of one shard");
    preference.trim_start_matches("_shards:").parse().expect("the number of a shard")
}

/// The complete result of a shard with these hits, each an id, the text of the source, and the sort values.
pub fn shard_result(hits: &[(String, String, Value)]) -> String {
    let texts: Vec<String> = hits
        .iter()
        .map(|(id, source, sort)| format!(r#"{{"_id":{},"_source":{source},"sort":{sort}}}"#, json!(id)))
        .collect();
    let counts = r#"{"total":1,"successful":1,"skipped":0,"failed":0}"#;
    let total = format!(r#"{{"value":{},"relation":"eq"}}"#, hits.len());
    let hits = texts.join(",");
    format!(
        r#"{{"took":1,"timed_out":false,"_shards":{counts},"hits":{{"total":{total},"max_score":null,"hits":[{hits}]}}}}"#
    )
}

/// The front as a process, killed when dropped.
pub struct OpenSearchFront {
    process: Child,
    address: String,
    _folder: TempFolder,
}

impl Drop for OpenSearchFront {
    fn drop(&mut self) {
        // A process that has ended already cannot be killed.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl OpenSearchFront {
    /// Starts the front of the scenarios with these limits and these index servers, each in a cell of its own. `name` is
    /// the name of its folder.
    pub fn start(name: &str, limits: &str, servers: &[&IndexServer]) -> OpenSearchFront {
        let folder = TempFolder::new(name);
        let address = unused_address();
        let listed: Vec<String> = servers
            .iter()
            .enumerate()
            .map(|(cell, server)| {
                format!(
                    r#"{{ name = "s{cell}", address = "{}", zone = "a", cell = {cell} }}"#,
                    server.address
                )
            })
            .collect();
        let text = include_str!("../../scenario/opensearch.toml")
            .replace("127.0.0.1:0", &address)
            .replace("max_open = 12, window = 20", limits)
            .replace(r#"{ name = "s1", address = "s1", zone = "a", cell = 0 }"#, &listed.join(", "));
        let path = folder.0.join("front.toml");
        std::fs::write(&path, text).expect("written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_gatherer"));
        command.env_clear().arg(&path).stderr(Stdio::null());
        let process = without_forks(|| command.spawn().expect("the program starts"));
        wait_until("the front serves", || TcpStream::connect(&address).is_ok());
        OpenSearchFront { process, address, _folder: folder }
    }

    /// Sends a request of the caller `portal` on a new connection, of which the response is not read yet.
    pub fn send(&self, target: &str, key: Option<&str>, body: &Value) -> TcpStream {
        let mut client = TcpStream::connect(&self.address).expect("connected");
        let request = http::encode_request("POST", target, "x", Some(body.to_string().as_bytes()));
        let request = String::from_utf8(request.to_vec()).expect("text");
        let key = key.map(|key| format!("Idempotency-Key: {key}\r\n")).unwrap_or_default();
        let request = request.replacen("\r\n", &format!("\r\nX-Opaque-Id: portal\r\n{key}"), 1);
        client.write_all(request.as_bytes()).expect("written");
        client
    }

    /// Sends a request and reads its response.
    pub fn request(&self, target: &str, key: Option<&str>, body: &Value) -> ReceivedResponse {
        let mut client = self.send(target, key, body);
        let mut buffer = BytesMut::new();
        loop {
            let response = http::take_response(&mut buffer, MAX_RESPONSE_BYTES);
            if let Some(response) = response.expect("a valid response") {
                return response;
            }
            read(&mut client, &mut buffer).expect("a complete response");
        }
    }

    /// Requests an idempotency key.
    pub fn idempotency_key(&self) -> String {
        let response = self.request("/_clayshore/idempotency_keys", None, &json!({}));
        assert_eq!(response.status, 200);
        let issued: Value = serde_json::from_slice(&response.body).expect("JSON");
        issued["key"].as_str().expect("a key").to_owned()
    }

    /// The most memory that the process has taken so far, in MB.
    pub fn peak_mb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.process.id()));
        let status = status.expect("the process runs");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a peak");
        let kilobytes: u64 = peak.trim().trim_end_matches(" kB").parse().expect("a number");
        kilobytes >> 10
    }
}

/// The hits of a response's page.
pub fn hits_of(response: &ReceivedResponse) -> Vec<Value> {
    let mut found: Value = serde_json::from_slice(&response.body).expect("JSON");
    match found["hits"]["hits"].take() {
        Value::Array(hits) => hits,
        other => panic!("no list of hits: {other}"),
    }
}

/// Appends the next bytes of a connection to the buffer; `None` if it has ended.
fn read(stream: &mut TcpStream, buffer: &mut BytesMut) -> Option<()> {
    let mut bytes = [0; 8 << 10];
    let count = stream.read(&mut bytes).ok().filter(|count| *count > 0)?;
    buffer.extend_from_slice(&bytes[..count]);
    Some(())
}
