//! Connections and processes that end while a response is pending, with real processes and sockets. Races are
//! forced: the process is paused while two events happen, so that it sees both at the same wake-up. Responses
//! are counted at the clients, received parts at the workers.

mod common;

use common::process::{
    Discovery, Gatherer, TempFolder, Worker, config, member, read_frame, response, wait_until, write_frame,
};
use gatherer::protocol::http;
use gatherer::service::lifecycle::GRACE_PERIOD;
use rustix::net::sockopt::set_socket_linger;
use rustix::net::{AddressFamily, SocketType};
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

/// Returns a configuration as on the platform: without the operators' API, and with deadlines so short that
/// SIGKILL may follow 1.7 s after SIGTERM.
fn config_with_short_deadlines(discovery: &Discovery) -> Value {
    config_with_times(discovery, 600, 1000)
}

/// Returns the same configuration with deadlines so long that nothing times out on a busy machine.
fn config_with_long_deadlines(discovery: &Discovery) -> Value {
    config_with_times(discovery, 60_000, 60_000)
}

fn config_with_times(discovery: &Discovery, objective_ms: u64, deadline_ms: u64) -> Value {
    let mut config = config(discovery);
    config.as_object_mut().expect("an object").remove("operator");
    for class in config["settings"]["categories"].as_array_mut().expect("classes") {
        (class["promise"], class["deadline"]) =
            (json!(objective_ms * 1_000_000), json!(deadline_ms * 1_000_000));
    }
    config
}

/// Requests the counters of the process on this connection, and returns one of them.
fn counter(counters_client: &mut TcpStream, name: &str) -> u64 {
    counters_client
        .write_all(&http::encode_request("GET", "/_counters", "x", None))
        .expect("the write succeeds");
    let text = response(counters_client).expect("a response").body;
    let text = String::from_utf8(text.to_vec()).expect("valid UTF-8");
    let found = text.split_whitespace().find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
    found.unwrap_or_else(|| panic!("no {name} in {text}")).parse().expect("a number")
}

/// Sends a query of one part, for shard 0. Its cost is so low that admission expects all queries of a test to
/// be answered in time.
fn query(stream: &mut TcpStream, id: &str, class: &str) -> std::io::Result<()> {
    let body = r#"{"ranges":[{"range":0,"portion":1.0,"price":9000}],"predicate":"c41e"}"#;
    let head = format!(
        "POST /api HTTP/1.1\r\nX-Call-Id: {id}\r\nX-Call-Class: {class}\r\nX-Caller: bank\r\nX-Budget-Ms: 60000\r\n"
    );
    stream.write_all(format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()).as_bytes())
}

/// Asserts that the connection ends without a reset and without further bytes.
fn expect_close(stream: &mut TcpStream) {
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).expect("no reset");
    assert!(rest.is_empty(), "{}", String::from_utf8_lossy(&rest));
}

#[test]
fn a_request_that_arrives_with_sigterm_gets_one_response() {
    let (folder, worker) = (TempFolder::new("beside"), Worker::start());
    let discovery = Discovery::start(&member("w1", &worker.address));
    let mut gatherer = Gatherer::start(&folder, &config_with_short_deadlines(&discovery));
    let mut idle_clients: Vec<_> = (0..8).map(|_| gatherer.connect()).collect();
    for (number, client) in idle_clients.iter_mut().enumerate() {
        query(client, &format!("a{number}"), "seal").expect("the write succeeds");
        assert_eq!(response(client).expect("a response").status, 200);
    }
    gatherer.pause();
    let (complete, partial) = idle_clients.split_at_mut(4);
    for (number, client) in complete.iter_mut().enumerate() {
        query(client, &format!("b{number}"), "seal").expect("the write succeeds");
    }
    for client in partial.iter_mut() {
        client.write_all(b"POST /api HTTP/1.1\r\nX-Call").expect("the write succeeds");
    }
    // These clients have connected and are not accepted yet.
    let mut new: Vec<_> = (0..4).map(|_| gatherer.connect()).collect();
    for (number, client) in new.iter_mut().enumerate() {
        query(client, &format!("c{number}"), "seal").expect("the write succeeds");
    }
    gatherer.signal("-TERM");
    gatherer.signal("-CONT");
    let mut statuses = Vec::new();
    for client in complete.iter_mut().chain(&mut new) {
        statuses.push(response(client).expect("a response").status);
    }
    // A partial request is answered with an error and never dropped.
    for client in partial {
        client.write_all(b"-Id: d\r\nContent-Length: 0\r\n\r\n").expect("the write succeeds");
        assert_eq!(response(client).expect("a response").status, 400);
    }
    assert!(gatherer.wait_for_exit());
    // Admission may reject some of so many queries at once. Rejected queries were not sent to the worker.
    let served = statuses.iter().filter(|status| **status == 200).count();
    assert!(served > 0 && statuses.iter().all(|status| matches!(status, 200 | 503)), "{statuses:?}");
    assert_eq!((worker.parts_received(), worker.max_deliveries_of_a_part()), (8 + served, 1));
}

#[test]
fn a_request_after_the_grace_period_is_rejected_even_after_a_pause_of_the_process() {
    // Guards against accepting queries that are unanswered at SIGKILL, which follows soon if deadlines are
    // short.
    let (folder, worker) = (TempFolder::new("after"), Worker::start());
    let discovery = Discovery::start(&member("w1", &worker.address));
    let mut config = config_with_short_deadlines(&discovery);
    config["settings"]["allowed"]["retry-after"] = json!(false);
    let mut gatherer = Gatherer::start(&folder, &config);
    let mut idle_clients: Vec<_> = (0..8).map(|_| gatherer.connect()).collect();
    for (number, client) in idle_clients.iter_mut().enumerate() {
        query(client, &format!("a{number}"), "seal").expect("the write succeeds");
        assert_eq!(response(client).expect("a response").status, 200);
    }
    gatherer.signal("-TERM");
    gatherer.wait_for_log("stopping: ");
    gatherer.pause();
    // The grace period has to pass while the process is paused, so there is no event to wait for.
    thread::sleep(GRACE_PERIOD);
    for (number, client) in idle_clients.iter_mut().enumerate() {
        query(client, &format!("b{number}"), "seal").expect("the write succeeds");
    }
    gatherer.signal("-CONT");
    for client in &mut idle_clients {
        match response(client) {
            // The configuration switches `Retry-After` off.
            Ok(answer) => assert_eq!((answer.status, answer.headers.get("Retry-After")), (503, None)),
            // If the close raced with the request, the client sees the end of the connection.
            Err(error) => assert_eq!(error.kind(), std::io::ErrorKind::UnexpectedEof),
        }
    }
    assert!(gatherer.wait_for_exit());
    assert_eq!(worker.parts_received(), 8, "no later query was forwarded");
}

#[test]
fn a_request_that_races_with_the_close_of_an_idle_connection_is_not_forwarded() {
    let (folder, worker) = (TempFolder::new("crosses"), Worker::start());
    let discovery = Discovery::start(&member("w1", &worker.address));
    let mut gatherer = Gatherer::start(&folder, &config_with_short_deadlines(&discovery));
    let mut client = gatherer.connect();
    query(&mut client, "a", "seal").expect("the write succeeds");
    assert_eq!(response(&mut client).expect("a response").status, 200);
    gatherer.signal("-TERM");
    // The client is idle until the gatherer closes its side, and sends a request then.
    expect_close(&mut client);
    query(&mut client, "b", "seal").expect("the write succeeds");
    expect_close(&mut client);
    drop(client);
    assert!(gatherer.wait_for_exit());
    gatherer.wait_for_log("crossed=1");
    assert_eq!(worker.parts_received(), 1);
}

#[test]
fn signals_are_handled_before_the_configuration_is_read() {
    // Guards a process that has just started: without a handler, SIGHUP would end it, which counts as a
    // crash.
    let (folder, worker) = (TempFolder::new("early"), Worker::start());
    let discovery = Discovery::start(&member("w1", &worker.address));
    let (config, file) = (config_with_short_deadlines(&discovery), folder.0.join("config.json"));
    let made_pipe = std::process::Command::new("mkfifo").arg(&file).status().expect("mkfifo runs");
    assert!(made_pipe.success());
    let mut gatherer = Gatherer::spawn(&file, &config, &folder, None);
    // Opening the pipe blocks until the process has opened it for reading.
    let mut pipe = std::fs::OpenOptions::new().write(true).open(&file).expect("the pipe is opened");
    gatherer.signal("-HUP");
    // The reload reads a regular file.
    let regular = folder.0.join("usual.json");
    std::fs::write(&regular, config.to_string()).expect("the write succeeds");
    std::fs::rename(&regular, &file).expect("the pipe is replaced");
    write!(pipe, "{config}").expect("the write succeeds");
    drop(pipe);
    gatherer.wait_for_log("configuration read again");
    let mut client = gatherer.connect();
    query(&mut client, "a", "seal").expect("the write succeeds");
    assert_eq!(response(&mut client).expect("a response").status, 200);
    drop(client);
    gatherer.signal("-TERM");
    assert!(gatherer.wait_for_exit());
}

/// Starts a worker that answers nothing, and passes its connections to the test.
fn silent_worker() -> (String, mpsc::Receiver<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    let (connection_sender, connections) = mpsc::channel();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            if connection_sender.send(stream).is_err() {
                return;
            }
        }
    });
    (address, connections)
}

/// Reads the next call on a worker's connection; returns the id of its part.
fn read_part(stream: &mut TcpStream) -> String {
    let text = String::from_utf8(read_frame(stream).expect("a frame")).expect("valid UTF-8");
    text[1..].split(' ').next().expect("an id").to_owned()
}

/// Closes a connection with a reset.
fn reset(stream: TcpStream) {
    set_socket_linger(&stream, Some(Duration::ZERO)).expect("the linger option is set");
    drop(stream);
}

#[test]
fn a_part_whose_answer_is_cut_off_by_a_close_counts_as_possibly_executed() {
    for (name, by_reset) in [("half-end", false), ("half-reset", true)] {
        let folder = TempFolder::new(name);
        let ((first, connections), second) = (silent_worker(), Worker::start());
        let discovery = Discovery::start(&member("w1", &first));
        let mut gatherer = Gatherer::start(&folder, &config_with_long_deadlines(&discovery));
        let mut counters_client = gatherer.connect();
        let mut pending = Vec::new();
        for class in ["seal", "search"] {
            let mut client = gatherer.connect();
            query(&mut client, class, class).expect("the write succeeds");
            let mut connection = connections.recv_timeout(Duration::from_secs(60)).expect("a connection");
            assert_eq!(read_part(&mut connection), format!("{class}.0"));
            pending.push((client, connection));
        }
        // Another worker is added, which may receive retries of idempotent parts.
        let both = format!("{},{}", member("w1", &first), member("w2", &second.address));
        let listings = counter(&mut counters_client, "listings");
        discovery.publish(&both);
        wait_until("the list is received", || counter(&mut counters_client, "listings") > listings);
        gatherer.pause();
        let mut clients = Vec::new();
        for (client, mut connection) in pending {
            connection.write_all(&[30, 0, 0, 0, b'q', b's']).expect("the write succeeds");
            if by_reset {
                reset(connection);
            } else {
                drop(connection);
            }
            clients.push(client);
        }
        gatherer.signal("-CONT");
        assert_eq!(
            response(&mut clients[0]).expect("a response").status,
            504,
            "{name}: the part may have run"
        );
        assert_eq!(response(&mut clients[1]).expect("a response").status, 200, "{name}");
        assert_eq!(
            (second.parts_received(), second.max_deliveries_of_a_part()),
            (1, 1),
            "{name}: only the idempotent part was retried"
        );
        drop((clients, counters_client));
        gatherer.signal("-TERM");
        assert!(gatherer.wait_for_exit());
    }
}

/// Returns a listener whose backlog is full, and the connections in it. Further connections are not
/// established until the listener accepts.
fn full_listener() -> (TcpListener, Vec<TcpStream>) {
    let socket = rustix::net::socket(AddressFamily::INET, SocketType::STREAM, None).expect("a socket");
    rustix::net::bind(&socket, &SocketAddr::from(([127, 0, 0, 1], 0))).expect("a free port");
    rustix::net::listen(&socket, 0).expect("the socket listens");
    let listener = TcpListener::from(socket);
    let (address, mut queue) = (listener.local_addr().expect("an address"), Vec::new());
    while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(100)) {
        queue.push(stream);
    }
    (listener, queue)
}

#[test]
fn nothing_is_sent_for_clients_that_disconnect_in_one_burst_while_their_parts_wait() {
    let folder = TempFolder::new("burst");
    let (listener, queue) = full_listener();
    let address = listener.local_addr().expect("an address");
    let discovery = Discovery::start(&member("w1", &address.to_string()));
    let mut config = config_with_long_deadlines(&discovery);
    config["settings"]["allowed"]["connect-timeout"] = json!(60_000_000_000_u64);
    config["settings"]["allowed"]["max-open"] = json!(200);
    let mut gatherer = Gatherer::start(&folder, &config);
    let mut counters_client = gatherer.connect();
    let mut clients = Vec::new();
    for number in 0..12 {
        let mut client = gatherer.connect();
        query(&mut client, &format!("a{number}"), if number % 2 == 0 { "seal" } else { "search" })
            .expect("the write succeeds");
        clients.push(client);
    }
    wait_until("all attempts are dispatched", || counter(&mut counters_client, "sent") >= 12);
    // All clients disconnect while the process is paused, some by a reset, some after the beginning of
    // another request.
    gatherer.pause();
    for (number, mut client) in clients.into_iter().enumerate() {
        if number % 3 > 0 {
            client.write_all(b"POST /api HTTP/1.1\r\n").expect("the write succeeds");
        }
        if number % 3 > 1 {
            reset(client);
        }
    }
    gatherer.signal("-CONT");
    wait_until("all clients have disconnected", || counter(&mut counters_client, "left") >= 12);
    // The worker now accepts connections, including those that were being established. None may carry a part.
    let queued_connections = queue.len();
    drop(queue);
    let (connection_sender, connections) = mpsc::channel();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            if connection_sender.send(stream).is_err() {
                return;
            }
        }
    });
    assert_eq!(counter(&mut counters_client, "written"), 0);
    drop(counters_client);
    gatherer.signal("-TERM");
    assert!(gatherer.wait_for_exit());
    let last_connection = TcpStream::connect(address).expect("the connect succeeds");
    let last = last_connection.local_addr().expect("an address");
    let mut accepted_connections = 0;
    for mut stream in connections.iter() {
        if stream.peer_addr().ok() == Some(last) {
            break;
        }
        let mut bytes = Vec::new();
        // A connection that was cancelled while being established may end in a reset.
        let _ = stream.read_to_end(&mut bytes);
        assert!(bytes.is_empty(), "{}", String::from_utf8_lossy(&bytes));
        accepted_connections += 1;
    }
    assert!(
        accepted_connections >= queued_connections,
        "{accepted_connections} accepted, {queued_connections} were queued"
    );
}

/// Writes the answer to a part on a worker's connection.
fn answer_part(stream: &mut TcpStream, id: &str) {
    let answer = format!("q{id} good 5 -\n5be2");
    write_frame(stream, answer.as_bytes()).expect("the write succeeds");
}

#[test]
fn an_idle_connection_that_closes_as_a_part_is_written_fails_no_query() {
    for (name, by_reset) in [("idle-end", false), ("idle-reset", true)] {
        let (folder, (address, connections)) = (TempFolder::new(name), silent_worker());
        let next_connection = || connections.recv_timeout(Duration::from_secs(60)).expect("a connection");
        let discovery = Discovery::start(&member("w1", &address));
        let mut gatherer = Gatherer::start(&folder, &config_with_long_deadlines(&discovery));
        let mut client = gatherer.connect();
        query(&mut client, "a", "search").expect("the write succeeds");
        let mut idle_connection = next_connection();
        let id = read_part(&mut idle_connection);
        answer_part(&mut idle_connection, &id);
        assert_eq!(response(&mut client).expect("a response").status, 200);
        // The close of the idle connection and two requests are seen at the same wake-up.
        gatherer.pause();
        let mut other_client = gatherer.connect();
        query(&mut client, "b", "search").expect("the write succeeds");
        query(&mut other_client, "c", "seal").expect("the write succeeds");
        if by_reset {
            reset(idle_connection);
        } else {
            drop(idle_connection);
        }
        gatherer.signal("-CONT");
        let mut parts = Vec::new();
        for _ in 0..2 {
            let mut connection = next_connection();
            let id = read_part(&mut connection);
            answer_part(&mut connection, &id);
            parts.push((id, connection));
        }
        parts.sort_by(|a, b| a.0.cmp(&b.0));
        assert_eq!([&*parts[0].0, &*parts[1].0], ["b.0", "c.0"], "{name}");
        for client in [&mut client, &mut other_client] {
            assert_eq!(response(client).expect("a response").status, 200, "{name}");
        }
        drop((client, other_client));
        gatherer.signal("-TERM");
        assert!(gatherer.wait_for_exit());
    }
}
