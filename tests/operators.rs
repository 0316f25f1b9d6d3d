//! Tests of the operators' API of a real process: readiness, metrics, drain and resume, and disabling
//! workers, also while silent callers hold connections.

mod common;

use common::process::{
    Discovery, Gatherer, TempFolder, Worker, call_operator_api, config, member, metric_value, query,
    response, wait_until,
};
use std::io::{Read, Write};
use std::net::TcpStream;

#[test]
fn operators_are_answered_while_silent_callers_hold_connections() {
    let worker = Worker::start();
    let discovery = Discovery::start(&member("w1", &worker.address));
    let folder = TempFolder::new("operators");
    let gatherer = Gatherer::start(&folder, &config(&discovery));
    let address = &gatherer.operators;
    // Many times as many callers as may be connected at once; half of them are silent, half send part of a
    // request.
    let mut silent: Vec<TcpStream> =
        (0..40).map(|_| TcpStream::connect(address).expect("connected")).collect();
    silent.iter_mut().step_by(2).for_each(|caller| caller.write_all(b"GET /-/rea").expect("written"));
    assert_eq!(call_operator_api(address, "GET", "/-/ready"), (200, "ready\n".to_owned()));
    for (method, path, status) in [
        ("POST", "/-/drain", 405),
        ("PUT", "/-/metrics", 405),
        ("GET", "/-/drains", 404),
        ("PUT", "/api", 404),
    ] {
        let (answered, text) = call_operator_api(address, method, path);
        assert_eq!((answered, text.lines().count()), (status, 1), "{method} {path}");
    }
    let mut malformed = TcpStream::connect(address).expect("connected");
    malformed.write_all(b"\x00\x01 nothing\r\n\r\n").expect("written");
    assert_eq!(response(&mut malformed).expect("a response").status, 400);
    // The API closes each connection after one call.
    let mut end = Vec::new();
    assert_eq!(malformed.read_to_end(&mut end).expect("the end"), 0);

    let mut client = gatherer.connect();
    for id in ["a1", "a2", "a3"] {
        query(&mut client, id, if id == "a3" { "seal" } else { "search" }).expect("written");
        assert_eq!(response(&mut client).expect("a response").status, 200);
    }
    worker.set_paused(true);
    query(&mut client, "a4", "search").expect("written");
    wait_until("four attempts are written", || metric_value(address, "gatherer.forwards") == 4);
    let metrics = [
        ("succeeded.search", 2),
        ("succeeded.seal", 1),
        ("declined.search", 0),
        ("aborted.seal", 0),
        ("outstanding", 1),
        ("discovered", 1),
        ("ejected", 0),
    ];
    for (name, value) in metrics {
        assert_eq!(metric_value(address, &format!("gatherer.{name}")), value, "{name}");
    }

    // A drained process is unhealthy at once, answers accepted queries, and closes their connections after
    // the response.
    assert_eq!(call_operator_api(address, "PUT", "/-/drain").0, 200);
    assert_eq!(call_operator_api(address, "PUT", "/-/drain").0, 200);
    assert_eq!(call_operator_api(address, "GET", "/-/ready"), (503, "drained\n".to_owned()));
    let mut idle = gatherer.connect();
    idle.write_all(b"GET /_health HTTP/1.1\r\n\r\n").expect("written");
    assert_eq!(response(&mut idle).expect("a response").status, 503);
    assert_eq!(idle.read(&mut [0]).expect("the end"), 0, "an idle connection is closed once drained");
    worker.set_paused(false);
    assert_eq!(response(&mut client).expect("a response").status, 200);
    assert_eq!(client.read(&mut [0]).expect("the end"), 0);
    assert_eq!(call_operator_api(address, "PUT", "/-/resume").0, 200);
    let mut resumed = gatherer.connect();
    resumed.write_all(b"GET /_health HTTP/1.1\r\n\r\n").expect("written");
    assert_eq!(response(&mut resumed).expect("a response").status, 200);
    assert_eq!(metric_value(address, "gatherer.succeeded.search"), 3);

    // SIGTERM during a drain stops the process, and resume is rejected.
    assert_eq!(call_operator_api(address, "PUT", "/-/drain").0, 200);
    worker.set_paused(true);
    let mut last_client = gatherer.connect();
    query(&mut last_client, "a5", "search").expect("written");
    wait_until("one query is open", || metric_value(address, "gatherer.outstanding") == 1);
    gatherer.signal("-TERM");
    gatherer.wait_for_log("stopping: ");
    assert_eq!(call_operator_api(address, "PUT", "/-/resume").0, 409);
    worker.set_paused(false);
    assert_eq!(response(&mut last_client).expect("a response").status, 200);
    let mut gatherer = gatherer;
    assert!(gatherer.wait_for_exit());
}

#[test]
fn a_disabled_worker_receives_nothing_until_it_is_enabled() {
    let (first, second) = (Worker::start(), Worker::start());
    let list_of_both = |started_at_ms: u64| {
        let start = format!(r#""up_since_ms":{started_at_ms},"id":"w%1""#);
        let first = member("w%1", &first.address).replace(r#""id":"w%1""#, &start);
        format!("{first},{}", member("w2", &second.address))
    };
    let discovery = Discovery::start(&list_of_both(0));
    let folder = TempFolder::new("disabled");
    let gatherer = Gatherer::start(&folder, &config(&discovery));
    let address = &gatherer.operators;
    let mut client = gatherer.connect();
    let mut number = 0;
    let mut send_queries = |times: usize| {
        for _ in 0..times {
            number += 1;
            query(&mut client, &format!("a{number}"), "search").expect("written");
            assert_eq!(response(&mut client).expect("a response").status, 200);
        }
    };
    send_queries(40);
    assert!(first.parts_received() > 0 && second.parts_received() > 0, "both workers receive parts");
    for (method, path, status) in [
        ("PUT", "/-/workers/w9/disable", 404),
        ("PUT", "/-/workers//enable", 404),
        ("PUT", "/-/workers/w%ff/disable", 400),
        ("GET", "/-/workers/w2/disable", 405),
        ("PUT", "/-/workers/w2/remove", 404),
    ] {
        let (answered, text) = call_operator_api(address, method, path);
        assert_eq!((answered, text.lines().count()), (status, 1), "{method} {path}");
    }
    assert_eq!(metric_value(address, "gatherer.ejected"), 0, "a rejected call changes no worker");
    // The worker is disabled twice. Neither an update of discovery nor a restart of the worker enables it.
    assert_eq!(call_operator_api(address, "PUT", "/-/workers/w%251/disable").0, 200);
    assert_eq!(call_operator_api(address, "PUT", "/-/workers/w%251/disable").0, 200);
    assert_eq!(metric_value(address, "gatherer.ejected"), 1);
    let before = first.parts_received();
    send_queries(20);
    for list in [list_of_both(1), member("w2", &second.address), list_of_both(2)] {
        let listed = list.matches("host_port").count() as u64;
        discovery.publish(&list);
        wait_until("the list is received", || metric_value(address, "gatherer.discovered") == listed);
        send_queries(20);
    }
    assert_eq!(first.parts_received(), before);
    // A single call enables the worker that was disabled twice.
    assert_eq!(call_operator_api(address, "PUT", "/-/workers/w%251/enable").0, 200);
    assert_eq!(metric_value(address, "gatherer.ejected"), 0);
    while first.parts_received() == before {
        send_queries(1);
    }
}
