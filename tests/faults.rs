//! A real process of the program whose system calls fail, transfer fewer bytes or are interrupted, by the
//! preloaded fault library. Tests check the responses of clients and the deliveries to a worker.

mod common;

use common::process::{
    Discovery, Gatherer, TempFolder, Worker, config, member, query, read_frame, response, unused_address,
};
use std::io::Write;
use std::net::TcpListener;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

/// Number of queries of a test, sent one after the other on one connection.
const QUERIES: usize = 20;

/// Sends queries on one connection while these faults are injected. Checks that each query is answered with
/// status 200, and that its only part is delivered once.
fn assert_all_queries_are_served(folder: &str, faults: &str) {
    let (folder, worker) = (TempFolder::new(folder), Worker::start());
    let discovery = Discovery::start(&member("w1", &worker.address));
    let switch = folder.0.join("faults");
    let mut gatherer = Gatherer::start_with_faults(&folder, &config(&discovery), faults, Some(&switch));
    gatherer.wait_for_log(" serving on ");
    gatherer.wait_for_log("discovery at");
    std::fs::write(&switch, "").expect("the fault switch is created");
    let mut client = gatherer.connect();
    for number in 0..QUERIES {
        let class = if number % 2 == 0 { "search" } else { "seal" };
        query(&mut client, &format!("a{number}"), class).expect("the query is sent");
        assert_eq!(response(&mut client).expect("a response").status, 200, "query {number}");
    }
    assert_eq!((worker.parts_received(), worker.max_deliveries_of_a_part()), (QUERIES, 1));
    std::fs::remove_file(&switch).expect("the fault switch is removed");
    // The library checks its switch every 2 ms. Another test covers a signal during faults.
    thread::sleep(Duration::from_millis(20));
    gatherer.signal("-TERM");
    assert!(gatherer.wait_for_exit());
}

#[test]
fn queries_are_answered_despite_short_reads_and_writes() {
    assert_all_queries_are_served("short", "seed=1,short_read=1,short_write=1");
}

#[test]
fn queries_are_answered_despite_interrupted_reads_and_writes() {
    assert_all_queries_are_served("interrupted", "seed=2,interrupt=0.3");
}

#[test]
fn a_signal_is_handled_if_the_read_that_reports_it_is_interrupted() {
    let (folder, worker) = (TempFolder::new("signals"), Worker::start());
    let discovery = Discovery::start(&member("w1", &worker.address));
    let switch = folder.0.join("faults");
    let faults = "seed=3,interrupt=1";
    let mut gatherer = Gatherer::start_with_faults(&folder, &config(&discovery), faults, Some(&switch));
    gatherer.wait_for_log(" serving on ");
    gatherer.wait_for_log("discovery at");
    std::fs::write(&switch, "").expect("the fault switch is created");
    thread::sleep(Duration::from_millis(20));
    gatherer.signal("-TERM");
    thread::sleep(Duration::from_millis(20));
    std::fs::remove_file(&switch).expect("the fault switch is removed");
    gatherer.wait_for_log("stopping: ");
    assert!(gatherer.wait_for_exit());
}

#[test]
fn a_process_starts_though_system_calls_fail_for_300_ms() {
    let (folder, worker) = (TempFolder::new("start"), Worker::start());
    let discovery = Discovery::start(&member("w1", &worker.address));
    for seed in 1..=6 {
        let faults =
            format!("seed={seed},socket=0.5,bind=0.5,open=0.5,connect=0.5,on_ms=300,period_ms=60000");
        let gatherer = Gatherer::start_with_faults(&folder, &config(&discovery), &faults, None);
        gatherer.wait_for_log(" serving on ");
        let mut client = gatherer.connect();
        query(&mut client, &format!("s{seed}"), "search").expect("the query is sent");
        assert_eq!(response(&mut client).expect("a response").status, 200, "seed {seed}");
    }
}

#[test]
fn a_hot_restart_succeeds_if_the_predecessor_cannot_accept_for_a_while() {
    let (folder, worker) = (TempFolder::new("starved"), Worker::start());
    let discovery = Discovery::start(&member("w1", &worker.address));
    let (switch, first_config) = (folder.0.join("faults"), config(&discovery));
    let mut second_config = first_config.clone();
    second_config["operator"] = unused_address().into();
    let first = Gatherer::start_with_faults(&folder, &first_config, "seed=4,accept=1", Some(&switch));
    first.wait_for_log(" serving on ");
    std::fs::write(&switch, "").expect("the fault switch is created");
    let second = Gatherer::start_without_waiting(&folder, &second_config);
    // Longer than the successor waits for one answer of the predecessor.
    thread::sleep(Duration::from_millis(2500));
    std::fs::remove_file(&switch).expect("the fault switch is removed");
    second.wait_for_log(" serving on ");
    first.wait_for_log("upgrade: the successor serves");
}

#[test]
fn a_configuration_file_that_cannot_be_opened_at_sighup_is_read_later() {
    let (folder, worker) = (TempFolder::new("unreadable"), Worker::start());
    let discovery = Discovery::start(&member("w1", &worker.address));
    let switch = folder.0.join("faults");
    let gatherer = Gatherer::start_with_faults(&folder, &config(&discovery), "seed=5,open=1", Some(&switch));
    gatherer.wait_for_log(" serving on ");
    std::fs::write(&switch, "").expect("the fault switch is created");
    thread::sleep(Duration::from_millis(20));
    gatherer.signal("-HUP");
    gatherer.wait_for_log("configuration not read again");
    std::fs::remove_file(&switch).expect("the fault switch is removed");
    gatherer.wait_for_log("configuration read again");
}

/// Starts a worker that reports the time that the first part gives it, in milliseconds. Returns its address
/// and the channel of the report.
fn start_deadline_reporting_worker() -> (String, mpsc::Receiver<u64>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("a bound listener has an address").to_string();
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let frame = read_frame(&mut stream).expect("a frame");
        let text = String::from_utf8_lossy(&frame).into_owned();
        let deadline = text
            .split(" d=")
            .nth(1)
            .and_then(|rest| rest.split(' ').next())
            .expect("the part has a deadline");
        sender.send(deadline.parse().expect("milliseconds")).expect("the test waits");
    });
    (address, receiver)
}

#[test]
fn time_in_the_listen_queue_reduces_the_deadline_for_workers() {
    let (folder, (worker, deadline)) = (TempFolder::new("queue"), start_deadline_reporting_worker());
    let discovery = Discovery::start(&member("w1", &worker));
    let switch = folder.0.join("faults");
    let gatherer =
        Gatherer::start_with_faults(&folder, &config(&discovery), "seed=6,accept=1", Some(&switch));
    gatherer.wait_for_log(" serving on ");
    std::fs::write(&switch, "").expect("the fault switch is created");
    thread::sleep(Duration::from_millis(20));
    let mut client = gatherer.connect();
    let body = r#"{"ranges":[{"range":0,"portion":1.0,"price":9000}],"predicate":"c41e"}"#;
    let head = "POST /api HTTP/1.1\r\nX-Call-Id: q1\r\nX-Call-Class: search\r\nX-Caller: bank\r\nX-Budget-Ms: 1500\r\n";
    let sent = Instant::now();
    client
        .write_all(format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()).as_bytes())
        .expect("the query is sent");
    thread::sleep(Duration::from_millis(600));
    let time_left = Duration::from_millis(1500).saturating_sub(sent.elapsed());
    std::fs::remove_file(&switch).expect("the fault switch is removed");
    let deadline = deadline.recv_timeout(Duration::from_secs(30)).expect("the worker receives the part");
    let deadline = Duration::from_millis(deadline);
    assert!(
        deadline <= time_left + Duration::from_millis(150),
        "the worker was given {deadline:?}, but the client had {time_left:?} left"
    );
}
