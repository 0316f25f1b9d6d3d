//! The gatherer of one measurement: its configuration, its process, and what the system says of it.

use super::peers::Peers;
use super::{FloodOptions, Listener};
use crate::gatherer_settings::settings;
use crate::process::{free_address, kill_and_wait};
use bytes::BytesMut;
use gatherer::protocol::http;
use serde_json::{Value, json};
use std::fmt::Write;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Longest wait until the process is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// Interval between two checks for readiness.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time-out of one request to the process.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Ticks of the processor's clock in a second, as `/proc` counts them on Linux.
const CLOCK_TICKS_PER_SECOND: u64 = 100;

/// A running gatherer.
pub struct FloodedGatherer {
    /// The listener that is flooded.
    pub listener: Listener,
    /// Address for clients.
    pub clients: String,
    /// Address of the operators' API; `None` for the OpenSearch-style front.
    pub operators: Option<String>,
    child: Child,
    file: PathBuf,
}

impl FloodedGatherer {
    /// Starts the process with the front that has this listener.
    pub fn start(options: &FloodOptions, peers: &Peers) -> FloodedGatherer {
        let clients = free_address();
        let operators = (options.listener != Listener::Opensearch).then(free_address);
        let name = format!("flood-{}-{}", std::process::id(), clients.replace(':', "-"));
        let file = std::env::temp_dir().join(name);
        let mut command = Command::new(&options.program);
        command.env_clear();
        match &operators {
            Some(operators) => {
                let config = platform_configuration(options, peers, &clients, operators);
                std::fs::write(&file, config.to_string()).expect("the configuration is written");
                command.env("LB_CONFIG", &file);
            }
            None => {
                std::fs::write(&file, opensearch_file(options, peers, &clients))
                    .expect("the file is written");
                command.arg(&file);
            }
        }
        command.stderr(match std::env::var_os("FLOOD_LOG") {
            Some(path) => std::fs::File::create(path).expect("the log is created").into(),
            None => Stdio::null(),
        });
        let child = command.spawn().expect("the gatherer's program starts");
        FloodedGatherer { listener: options.listener, clients, operators, child, file }
    }

    /// The address of the listener that is flooded.
    pub fn flooded_address(&self) -> &str {
        match (self.listener, &self.operators) {
            (Listener::Operators, Some(operators)) => operators,
            _ => &self.clients,
        }
    }

    /// Waits until the process accepts queries.
    pub async fn wait_until_ready(&self) {
        let wait = async {
            while !matches!(get(&self.clients, "/_health").await, Ok((200, _))) {
                tokio::time::sleep(READY_POLL_INTERVAL).await;
            }
        };
        tokio::time::timeout(READY_TIMEOUT, wait).await.expect("the gatherer is ready in time");
    }

    /// The counters, or why they could not be read.
    pub async fn counters(&self) -> String {
        match tokio::time::timeout(REQUEST_TIMEOUT, get(&self.clients, "/_counters")).await {
            Ok(Ok((_, text))) => text,
            Ok(Err(error)) => format!("violations: not read: {error}"),
            Err(_) => "violations: not read in time".to_owned(),
        }
    }

    /// The processor time that the process has used.
    pub fn processor_time(&self) -> Duration {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap_or_default();
        // The fields after the name, which is in parentheses: user and system time are the 12th and 13th of these.
        let fields = stat.rsplit_once(')').map_or("", |(_, fields)| fields);
        let ticks: u64 =
            fields.split_whitespace().skip(11).take(2).filter_map(|text| text.parse::<u64>().ok()).sum();
        Duration::from_millis(ticks * 1000 / CLOCK_TICKS_PER_SECOND)
    }

    /// The largest resident memory of the process so far, in KiB.
    pub fn peak_memory(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(u64::MAX)
    }
}

impl Drop for FloodedGatherer {
    fn drop(&mut self) {
        kill_and_wait(&mut self.child);
        // A file that remains does not affect other measurements.
        let _ = std::fs::remove_file(&self.file);
    }
}

/// Sends a GET request on a new connection; returns the status and the body of the response.
pub async fn get(address: &str, path: &str) -> std::io::Result<(u16, String)> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(&http::encode_request("GET", path, "soak", None)).await?;
    let mut buffer = BytesMut::new();
    loop {
        if let Some(response) =
            http::take_response(&mut buffer, http::MAX_BODY_BYTES).map_err(std::io::Error::other)?
        {
            return Ok((response.status, String::from_utf8_lossy(&response.body).into_owned()));
        }
        if stream.read_buf(&mut buffer).await? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
    }
}

fn platform_configuration(options: &FloodOptions, peers: &Peers, clients: &str, operators: &str) -> Value {
    let worker_count = peers.workers.len();
    let cells = crate::gatherer_settings::cells(worker_count);
    let members: Vec<Value> = (peers.workers.iter().enumerate())
        .map(|(number, address)| {
            json!({"id": format!("w{number}"), "host_port": address.to_string(), "locality": "a", "flavor": "m",
                "cell": number % cells, "phase": "SERVING", "size": 1.0, "up_since_ms": 0})
        })
        .collect();
    json!({
        "name": "g0", "listen": clients, "operator": operators, "discovery": "127.0.0.1:1", "seed": "07",
        "limits": {"sockets": options.descriptors, "memory_mb": options.memory_mb},
        "known": {"revision": 1, "complete": true, "members": members},
        "settings": settings(1, worker_count),
    })
}

fn opensearch_file(options: &FloodOptions, peers: &Peers, clients: &str) -> String {
    let mut text = format!(
        "listen = \"{clients}\"\nzone = \"a\"\nlayout = {{ shards = 6, cells = 3, span = 2 }}\n\
         limits = {{ max_open = 600, sockets = {}, memory_mb = {} }}\n\
         class = [{{ name = \"search\", wanted_ms = 1500, deadline_ms = 3000, effect = \"repeatable\" }},\n\
         {{ name = \"seal\", wanted_ms = 1500, deadline_ms = 3000, effect = \"once\" }}]\n\
         tenant = [{{ name = \"bank\" }}]\ncaller = [{{ id = \"bank\", tenant = \"bank\" }}]\n\
         index = [{{ name = \"envelopes\", class = \"search\" }}, {{ name = \"seals\", class = \"seal\" }}]\n",
        options.descriptors, options.memory_mb
    );
    for (number, address) in peers.index_servers.iter().enumerate() {
        let cell = number % 3;
        let written = writeln!(
            text,
            "[[server]]\nname = \"s{number}\"\naddress = \"{address}\"\nzone = \"a\"\ncell = {cell}"
        );
        written.expect("writing to a string cannot fail");
    }
    text
}
