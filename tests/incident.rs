//! The report on an incident, which three gatherer processes record on loopback: all workers become slow, and
//! one gatherer is killed meanwhile. The report has findings for these two faults and no others, and its
//! counts are those of the clients.

mod common;

use bytes::BytesMut;
use common::platform::platform_json;
use common::process::{read_frame, write_frame};
use gatherer::protocol::http;
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_gatherer");
/// Time in which a worker responds to a part in normal operation, in milliseconds.
const NORMAL_DELAY_MS: u64 = 8;
/// Time in which a worker responds while all workers are slow, in milliseconds.
const SLOW_DELAY_MS: u64 = 40;
/// Time in which a worker responds to the query of the killed gatherer, in milliseconds: later than the kill.
const STUCK_DELAY_MS: u64 = 2000;

/// Starts a worker that responds to every part after `delay_ms`, and returns its address.
fn start_worker(delay_ms: Arc<AtomicU64>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address").to_string();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, delay_ms) = (stream.expect("a gatherer connects"), delay_ms.clone());
            stream.set_nodelay(true).expect("the option is set");
            thread::spawn(move || {
                while let Ok(frame) = read_frame(&mut stream) {
                    let text = String::from_utf8(frame).expect("the frame is UTF-8");
                    let Some(call) = text.strip_prefix('m') else { continue };
                    let id = call.split(' ').next().expect("the call has an id");
                    let response = format!("q{id} good 5 busy=0.2,q=0\n5be2");
                    thread::sleep(Duration::from_millis(delay_ms.load(Ordering::Relaxed)));
                    if write_frame(&mut stream, response.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// A gatherer process that serves and records.
struct Gatherer {
    child: Child,
    address: String,
    log: BufReader<std::process::ChildStderr>,
}

impl Gatherer {
    fn start(folder: &Path, name: &str, workers: &[String]) -> Gatherer {
        let mut config = platform_json();
        let member = |(number, address): (usize, &String)| {
            let id = format!("w{number}");
            json!({"id": id, "host_port": address, "cell": 0, "phase": "SERVING"})
        };
        let members: Vec<Value> = workers.iter().enumerate().map(member).collect();
        config["name"] = name.into();
        config["known"] = json!({"revision": 1, "complete": true, "members": members});
        config["settings"]["allowed"]["max-open"] = 200.into();
        let path = folder.join(format!("{name}.json"));
        std::fs::write(&path, config.to_string()).expect("the configuration is written");
        let mut command = Command::new(PROGRAM);
        command.args(["serve", "--operator"]).arg(folder.join("operator.toml"));
        command.env_clear().env("LB_CONFIG", &path).stderr(Stdio::piped());
        let mut child = command.spawn().expect("the program starts");
        let mut log = BufReader::new(child.stderr.take().expect("standard error is piped"));
        let mut lines = log.by_ref().lines().map(|line| line.expect("the log is UTF-8"));
        let address = lines.find_map(|line| line.split_once(" serving on ").map(|found| found.1.to_owned()));
        Gatherer { child, address: address.expect("the gatherer logs its address"), log }
    }
    /// Shuts the gatherer down gracefully.
    fn stop(mut self) {
        let kill = Command::new("kill").args(["-TERM", &self.child.id().to_string()]).status();
        assert!(kill.expect("kill runs").success());
        let mut rest = String::new();
        self.log.read_to_string(&mut rest).expect("the rest of the log");
        assert!(self.child.wait().expect("the gatherer ends").success(), "{rest}");
    }
}

/// Encodes the request of a query with four parts.
fn encode_query(id: &str) -> Vec<u8> {
    let part = |shard: u32| format!(r#"{{"range":{shard},"portion":0.25}}"#);
    let parts: Vec<String> = (0..4).map(part).collect();
    let body = format!(r#"{{"ranges":[{}],"predicate":"c41e"}}"#, parts.join(","));
    let head = format!("POST /api HTTP/1.1\r\nX-Call-Id: {id}\r\nX-Call-Class: search\r\nX-Caller: bank\r\n");
    format!("{head}X-Budget-Ms: 5000\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// Sends `count` queries, one after the other, and waits for the response to each.
fn send_queries(address: &str, name: &str, count: usize) {
    let mut stream = TcpStream::connect(address).expect("the gatherer accepts");
    let mut buffer = BytesMut::new();
    for number in 0..count {
        stream.write_all(&encode_query(&format!("{name}-{number}"))).expect("the query is written");
        let response = loop {
            if let Some(response) =
                http::take_response(&mut buffer, http::MAX_BODY_BYTES).expect("a valid response")
            {
                break response;
            }
            let mut bytes = [0; 4096];
            let read = stream.read(&mut bytes).expect("the response is read");
            assert!(read > 0, "the gatherer closed the connection before the response");
            buffer.extend_from_slice(&bytes[..read]);
        };
        assert_eq!(response.status, 200);
    }
}

/// Sends `count` queries to each of these gatherers, concurrently.
fn send_queries_to(gatherers: &[&Gatherer], phase: &str, count: usize) {
    thread::scope(|scope| {
        for gatherer in gatherers {
            scope.spawn(move || send_queries(&gatherer.address, phase, count));
        }
    });
}

/// Returns the JSON report on these records.
fn report(records: &Path) -> Value {
    let run = Command::new(PROGRAM).args(["report", "--json", "--step", "1"]).arg(records).output();
    let run = run.expect("the report runs");
    assert!(run.status.success(), "{}", String::from_utf8_lossy(&run.stderr));
    serde_json::from_slice(&run.stdout).expect("the report is JSON")
}

/// Waits until this number of queries is on record, and returns the report.
fn wait_for_records(records: &Path, sent: usize) -> Value {
    loop {
        let report = report(records);
        let found = report["classes"]["search"]["asked"].as_u64().unwrap_or(0) as usize;
        assert!(found <= sent, "{found} on record, of {sent}");
        if found == sent {
            return report;
        }
    }
}

/// Checks that every query that was sent is counted once: all got a complete response in time, except the one
/// that the killed gatherer had accepted, whose end is unknown.
fn check_counts(report: &Value, sent: usize) {
    let counts = &report["classes"]["search"];
    let count = |name: &str| counts[name].as_u64().expect("a number") as usize;
    assert_eq!((count("whole_in_time"), count("unknown")), (sent - 1, 1), "{counts}");
    assert_eq!(["whole_late", "partial", "refused", "failed", "left"].map(count), [0; 5], "{counts}");
    // The counts of the time steps add up to the same number.
    let received_in = |step: &Value| {
        step["classes"]["search"].as_object().map_or(0, |tenants| {
            tenants.values().map(|counts| counts["asked"].as_u64().expect("a number")).sum::<u64>()
        })
    };
    let steps = report["steps"].as_array().expect("the report has steps");
    assert_eq!(steps.iter().map(received_in).sum::<u64>() as usize, sent);
}

/// Checks that the death and the slowdown are the only findings, and that no record of the four processes is
/// damaged.
fn check_findings(report: &Value) {
    let findings = report["findings"].as_array().expect("the report has findings");
    let mut found: Vec<&str> =
        findings.iter().map(|finding| finding["what"].as_str().expect("a finding has a kind")).collect();
    found.sort_unstable();
    assert_eq!(found, ["death", "fleet_slow"], "{findings:#?}");
    let death = findings.iter().find(|finding| finding["what"] == "death").expect("the death is found");
    assert!(death["gatherer"] == "g1" && death["certainty"] == "certain", "{death}");
    assert!(death["evidence"].as_str().expect("the finding has evidence").contains("1 search"), "{death}");
    let starts = report["starts"].as_array().expect("the report has incarnations");
    assert_eq!((starts.len(), report["lines"]["damaged"].as_u64()), (4, Some(0)));
}

#[test]
fn a_death_during_a_slowdown_of_the_fleet_and_the_slowdown_are_both_found() {
    let folder: PathBuf = std::env::temp_dir().join(format!("clayshore-incident-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder is created");
    let records = folder.join("records");
    std::fs::write(folder.join("operator.toml"), format!("[records]\nfolder = {records:?}\n"))
        .expect("the operator file is written");
    let delay_ms = Arc::new(AtomicU64::new(NORMAL_DELAY_MS));
    let workers: Vec<String> = (0..3).map(|_| start_worker(delay_ms.clone())).collect();
    let [g0, mut g1, g2] = ["g0", "g1", "g2"].map(|name| Gatherer::start(&folder, name, &workers));
    send_queries_to(&[&g0, &g1, &g2], "calm", 150);
    delay_ms.store(SLOW_DELAY_MS, Ordering::Relaxed);
    send_queries_to(&[&g0, &g1, &g2], "slow", 30);
    wait_for_records(&records, 3 * 180);
    // Before it is killed, g1 accepts one more query and records that.
    delay_ms.store(STUCK_DELAY_MS, Ordering::Relaxed);
    let mut unanswered = TcpStream::connect(&g1.address).expect("g1 accepts");
    unanswered.write_all(&encode_query("lost")).expect("the query is written");
    wait_for_records(&records, 3 * 180 + 1);
    g1.child.kill().expect("g1 is killed");
    g1.child.wait().expect("the killed gatherer ends");
    assert!(
        !matches!(unanswered.read(&mut [0; 64]), Ok(1..)),
        "the query of the killed gatherer gets no response"
    );
    delay_ms.store(SLOW_DELAY_MS, Ordering::Relaxed);
    send_queries_to(&[&g0, &g2], "during", 30);
    delay_ms.store(NORMAL_DELAY_MS, Ordering::Relaxed);
    let g1 = Gatherer::start(&folder, "g1", &workers);
    send_queries_to(&[&g0, &g1, &g2], "after", 100);
    [g0, g1, g2].into_iter().for_each(Gatherer::stop);

    let sent = 3 * 180 + 1 + 2 * 30 + 3 * 100;
    let report = wait_for_records(&records, sent);
    check_counts(&report, sent);
    check_findings(&report);
    if let Ok(page) = std::env::var("CLAYSHORE_KEEP_PAGE") {
        let run =
            Command::new(PROGRAM).args(["report", "--step", "1", "--out", &page]).arg(&records).status();
        assert!(run.expect("the report runs").success());
    }
    std::fs::remove_dir_all(folder).expect("the folder is removed");
}
