//! What ends while something is owed, on real processes and sockets, with the crossing forced: the process stands still
//! while both events come, so that both lie there at the same wake. Counted at both ends.

mod common;

use common::process::{Discovery, Gatherer, TempFolder, Worker, config, member, response, wait_until};
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

/// As on the platform: no operators, and deadlines so short that SIGKILL may come 1.7 s after SIGTERM.
fn hurried(discovery: &Discovery) -> Value {
    with_times(discovery, 600, 1000)
}

/// The same, where no machine is so busy that anything runs out of time.
fn patient(discovery: &Discovery) -> Value {
    with_times(discovery, 60_000, 60_000)
}

fn with_times(discovery: &Discovery, aim_ms: u64, deadline_ms: u64) -> Value {
    let mut config = config(discovery);
    config.as_object_mut().expect("an object").remove("operator");
    for class in config["settings"]["categories"].as_array_mut().expect("classes") {
        (class["promise"], class["deadline"]) = (json!(aim_ms * 1_000_000), json!(deadline_ms * 1_000_000));
    }
    config
}

/// A figure of the process, asked for on this connection.
fn count(watch: &mut TcpStream, name: &str) -> u64 {
    watch.write_all(&http::encode_request("GET", "/_counters", "x", None)).expect("written");
    let text = response(watch).expect("an answer").body;
    let text = String::from_utf8(text.to_vec()).expect("text");
    let found = text.split_whitespace().find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
    found.unwrap_or_else(|| panic!("no {name} in {text}")).parse().expect("a number")
}

/// Asks for one part of shard 0, of little work: as many as a test asks for are expected to be served in time.
fn query(stream: &mut TcpStream, id: &str, class: &str) -> std::io::Result<()> {
    let body = r#"{"ranges":[{"range":0,"portion":1.0,"price":9000}],"predicate":"c41e"}"#;
    let head = format!(
        "POST /api HTTP/1.1\r\nX-Call-Id: {id}\r\nX-Call-Class: {class}\r\nX-Caller: bank\r\nX-Budget-Ms: 60000\r\n"
    );
    stream.write_all(format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()).as_bytes())
}

/// Its end, with nothing said before; a reset is none.
fn ends(stream: &mut TcpStream) {
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).expect("no reset");
    assert!(rest.is_empty(), "{}", String::from_utf8_lossy(&rest));
}

#[test]
fn a_request_beside_sigterm_has_its_one_answer() {
    let (folder, worker) = (TempFolder::new("beside"), Worker::start());
    let discovery = Discovery::start(&member("w1", &worker.address));
    let mut gatherer = Gatherer::start(&folder, &hurried(&discovery));
    let mut resting: Vec<_> = (0..8).map(|_| gatherer.connect()).collect();
    for (at, client) in resting.iter_mut().enumerate() {
        query(client, &format!("a{at}"), "seal").expect("written");
        assert_eq!(response(client).expect("an answer").status, 200);
    }
    gatherer.pause();
    let (whole, half) = resting.split_at_mut(4);
    for (at, client) in whole.iter_mut().enumerate() {
        query(client, &format!("b{at}"), "seal").expect("written");
    }
    for client in half.iter_mut() {
        client.write_all(b"POST /api HTTP/1.1\r\nX-Call").expect("written");
    }
    // Some have only just connected: nobody has let them in yet.
    let mut new: Vec<_> = (0..4).map(|_| gatherer.connect()).collect();
    for (at, client) in new.iter_mut().enumerate() {
        query(client, &format!("c{at}"), "seal").expect("written");
    }
    gatherer.signal("-TERM");
    gatherer.signal("-CONT");
    let mut statuses = Vec::new();
    for client in whole.iter_mut().chain(&mut new) {
        statuses.push(response(client).expect("an answer").status);
    }
    // Half a request is none: it is told that it did not come in time, or why it is refused, never dropped.
    for client in half {
        client.write_all(b"-Id: d\r\nContent-Length: 0\r\n\r\n").expect("written");
        assert_eq!(response(client).expect("an answer").status, 400);
    }
    assert!(gatherer.wait_for_exit());
    // So many at once may be more than the module expects to be served in time: what it refused was not sent.
    let served = statuses.iter().filter(|status| **status == 200).count();
    assert!(served > 0 && statuses.iter().all(|status| matches!(status, 200 | 503)), "{statuses:?}");
    assert_eq!((worker.parts_received(), worker.max_deliveries_of_a_part()), (8 + served, 1));
}

#[test]
fn what_comes_after_the_linger_is_refused_though_the_process_stood_still() {
    // Guards against taking what SIGKILL may find unanswered: where deadlines are short it comes soon.
    let (folder, worker) = (TempFolder::new("after"), Worker::start());
    let discovery = Discovery::start(&member("w1", &worker.address));
    let mut config = hurried(&discovery);
    config["settings"]["allowed"]["retry-after"] = json!(false);
    let mut gatherer = Gatherer::start(&folder, &config);
    let mut kept: Vec<_> = (0..8).map(|_| gatherer.connect()).collect();
    for (at, client) in kept.iter_mut().enumerate() {
        query(client, &format!("a{at}"), "seal").expect("written");
        assert_eq!(response(client).expect("an answer").status, 200);
    }
    gatherer.signal("-TERM");
    gatherer.wait_for_log("stopping: ");
    gatherer.pause();
    // Not a wait for anything: the time after which nothing is taken passes while the process stands still.
    thread::sleep(GRACE_PERIOD);
    for (at, client) in kept.iter_mut().enumerate() {
        query(client, &format!("b{at}"), "seal").expect("written");
    }
    gatherer.signal("-CONT");
    for client in &mut kept {
        match response(client) {
            // Where clients take no advice, none is given.
            Ok(answer) => assert_eq!((answer.status, answer.headers.get("Retry-After")), (503, None)),
            // Or its close crossed the request, which its client sees by the end of the connection.
            Err(error) => assert_eq!(error.kind(), std::io::ErrorKind::UnexpectedEof),
        }
    }
    assert!(gatherer.wait_for_exit());
    assert_eq!(worker.parts_received(), 8, "nothing of what came later was sent on");
}

#[test]
fn a_request_that_crosses_the_end_of_a_resting_connection_is_not_sent_on() {
    let (folder, worker) = (TempFolder::new("crosses"), Worker::start());
    let discovery = Discovery::start(&member("w1", &worker.address));
    let mut gatherer = Gatherer::start(&folder, &hurried(&discovery));
    let mut client = gatherer.connect();
    query(&mut client, "a", "seal").expect("written");
    assert_eq!(response(&mut client).expect("an answer").status, 200);
    gatherer.signal("-TERM");
    // It rests until the gatherer ends its connection for writing, and asks just then.
    ends(&mut client);
    query(&mut client, "b", "seal").expect("written");
    ends(&mut client);
    drop(client);
    assert!(gatherer.wait_for_exit());
    gatherer.wait_for_log("crossed=1");
    assert_eq!(worker.parts_received(), 1);
}

#[test]
fn signals_are_heard_before_the_configuration_is_read() {
    // Guards a process that has just started: SIGHUP ended it, which is a crash.
    let (folder, worker) = (TempFolder::new("early"), Worker::start());
    let discovery = Discovery::start(&member("w1", &worker.address));
    let (config, file) = (hurried(&discovery), folder.0.join("config.json"));
    let made = std::process::Command::new("mkfifo").arg(&file).status().expect("mkfifo runs");
    assert!(made.success());
    let mut gatherer = Gatherer::spawn(&file, &config, &folder, None);
    // Opening it waits until the process has opened it for reading.
    let mut pipe = std::fs::OpenOptions::new().write(true).open(&file).expect("opened");
    gatherer.signal("-HUP");
    // What is read again is a usual file.
    let usual = folder.0.join("usual.json");
    std::fs::write(&usual, config.to_string()).expect("written");
    std::fs::rename(&usual, &file).expect("in its place");
    write!(pipe, "{config}").expect("written");
    drop(pipe);
    gatherer.wait_for_log("configuration read again");
    let mut client = gatherer.connect();
    query(&mut client, "a", "seal").expect("written");
    assert_eq!(response(&mut client).expect("an answer").status, 200);
    drop(client);
    gatherer.signal("-TERM");
    assert!(gatherer.wait_for_exit());
}

/// A worker whose connections the test holds: it answers nothing by itself.
fn silent_worker() -> (String, mpsc::Receiver<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let (tell, told) = mpsc::channel();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            if tell.send(stream).is_err() {
                return;
            }
        }
    });
    (address, told)
}

/// The part that comes next on a worker's connection.
fn part(stream: &mut TcpStream) -> String {
    let mut length = [0; 4];
    stream.read_exact(&mut length).expect("a frame");
    let mut rest = vec![0; u32::from_le_bytes(length) as usize];
    stream.read_exact(&mut rest).expect("the rest");
    let text = String::from_utf8(rest).expect("text");
    text[1..].split(' ').next().expect("an id").to_owned()
}

fn reset(stream: TcpStream) {
    set_socket_linger(&stream, Some(Duration::ZERO)).expect("set");
    drop(stream);
}

#[test]
fn half_an_answer_and_the_end_at_the_same_wake_leave_a_part_that_may_have_run() {
    for (name, by_reset) in [("half-end", false), ("half-reset", true)] {
        let folder = TempFolder::new(name);
        let ((first, told), second) = (silent_worker(), Worker::start());
        let discovery = Discovery::start(&member("w1", &first));
        let mut gatherer = Gatherer::start(&folder, &patient(&discovery));
        let mut watch = gatherer.connect();
        let mut asked = Vec::new();
        for class in ["seal", "search"] {
            let mut client = gatherer.connect();
            query(&mut client, class, class).expect("written");
            let mut line = told.recv_timeout(Duration::from_secs(60)).expect("a connection");
            assert_eq!(part(&mut line), format!("{class}.0"));
            asked.push((client, line));
        }
        // From here on there is another worker, which may take what may be repeated.
        let both = format!("{},{}", member("w1", &first), member("w2", &second.address));
        let listings = count(&mut watch, "listings");
        discovery.publish(&both);
        wait_until("the list is told", || count(&mut watch, "listings") > listings);
        gatherer.pause();
        let mut clients = Vec::new();
        for (client, mut line) in asked {
            line.write_all(&[30, 0, 0, 0, b'q', b's']).expect("written");
            if by_reset {
                reset(line);
            } else {
                drop(line);
            }
            clients.push(client);
        }
        gatherer.signal("-CONT");
        assert_eq!(response(&mut clients[0]).expect("an answer").status, 504, "{name}: it may have run");
        assert_eq!(response(&mut clients[1]).expect("an answer").status, 200, "{name}");
        assert_eq!(
            (second.parts_received(), second.max_deliveries_of_a_part()),
            (1, 1),
            "{name}: only what may be repeated came"
        );
        drop((clients, watch));
        gatherer.signal("-TERM");
        assert!(gatherer.wait_for_exit());
    }
}

/// A listener whose queue is full, and who fills it: further connections do not come up until it accepts.
fn full_door() -> (TcpListener, Vec<TcpStream>) {
    let socket = rustix::net::socket(AddressFamily::INET, SocketType::STREAM, None).expect("a socket");
    rustix::net::bind(&socket, &SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
    rustix::net::listen(&socket, 0).expect("it listens");
    let door = TcpListener::from(socket);
    let (address, mut queue) = (door.local_addr().expect("an address"), Vec::new());
    while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(100)) {
        queue.push(stream);
    }
    (door, queue)
}

#[test]
fn nothing_is_sent_for_clients_that_left_in_one_burst_while_their_parts_waited() {
    let folder = TempFolder::new("burst");
    let (door, queue) = full_door();
    let address = door.local_addr().expect("an address");
    let discovery = Discovery::start(&member("w1", &address.to_string()));
    let mut config = patient(&discovery);
    config["settings"]["allowed"]["connect-timeout"] = json!(60_000_000_000_u64);
    config["settings"]["allowed"]["max-open"] = json!(200);
    let mut gatherer = Gatherer::start(&folder, &config);
    let mut watch = gatherer.connect();
    let mut clients = Vec::new();
    for at in 0..12 {
        let mut client = gatherer.connect();
        query(&mut client, &format!("a{at}"), if at % 2 == 0 { "seal" } else { "search" }).expect("written");
        clients.push(client);
    }
    wait_until("all are sent", || count(&mut watch, "sent") >= 12);
    // All leave while the process stands still, some by a reset, some behind the beginning of another request.
    gatherer.pause();
    for (at, mut client) in clients.into_iter().enumerate() {
        if at % 3 > 0 {
            client.write_all(b"POST /api HTTP/1.1\r\n").expect("written");
        }
        if at % 3 > 1 {
            reset(client);
        }
    }
    gatherer.signal("-CONT");
    wait_until("all have left", || count(&mut watch, "left") >= 12);
    // Now the worker takes connections, those that were coming up among them: none may bring a part.
    let filled = queue.len();
    drop(queue);
    let (tell, told) = mpsc::channel();
    thread::spawn(move || {
        for stream in door.incoming().map_while(Result::ok) {
            if tell.send(stream).is_err() {
                return;
            }
        }
    });
    assert_eq!(count(&mut watch, "written"), 0);
    drop(watch);
    gatherer.signal("-TERM");
    assert!(gatherer.wait_for_exit());
    let last = TcpStream::connect(address).expect("connected");
    let last = last.local_addr().expect("an address");
    let mut came = 0;
    for mut stream in told.iter() {
        if stream.peer_addr().ok() == Some(last) {
            break;
        }
        let mut bytes = Vec::new();
        // One that was given up while it came up may end in a reset.
        let _ = stream.read_to_end(&mut bytes);
        assert!(bytes.is_empty(), "{}", String::from_utf8_lossy(&bytes));
        came += 1;
    }
    assert!(came >= filled, "{came} connections came");
}

/// Answers a part on a worker's connection.
fn serve(stream: &mut TcpStream, id: &str) {
    let answer = format!("q{id} good 5 -\n5be2");
    let mut bytes = (answer.len() as u32).to_le_bytes().to_vec();
    bytes.extend_from_slice(answer.as_bytes());
    stream.write_all(&bytes).expect("written");
}

#[test]
fn an_idle_connection_that_ends_as_a_part_is_to_be_written_costs_no_query() {
    for (name, by_reset) in [("idle-end", false), ("idle-reset", true)] {
        let (folder, (address, told)) = (TempFolder::new(name), silent_worker());
        let next = || told.recv_timeout(Duration::from_secs(60)).expect("a connection");
        let discovery = Discovery::start(&member("w1", &address));
        let mut gatherer = Gatherer::start(&folder, &patient(&discovery));
        let mut client = gatherer.connect();
        query(&mut client, "a", "search").expect("written");
        let mut kept = next();
        let id = part(&mut kept);
        serve(&mut kept, &id);
        assert_eq!(response(&mut client).expect("an answer").status, 200);
        // The end of the kept connection and two requests lie there at the same wake.
        gatherer.pause();
        let mut once = gatherer.connect();
        query(&mut client, "b", "search").expect("written");
        query(&mut once, "c", "seal").expect("written");
        if by_reset {
            reset(kept);
        } else {
            drop(kept);
        }
        gatherer.signal("-CONT");
        let mut parts = Vec::new();
        for _ in 0..2 {
            let mut line = next();
            let id = part(&mut line);
            serve(&mut line, &id);
            parts.push((id, line));
        }
        parts.sort_by(|a, b| a.0.cmp(&b.0));
        assert_eq!([&*parts[0].0, &*parts[1].0], ["b.0", "c.0"], "{name}");
        for client in [&mut client, &mut once] {
            assert_eq!(response(client).expect("an answer").status, 200, "{name}");
        }
        drop((client, once));
        gatherer.signal("-TERM");
        assert!(gatherer.wait_for_exit());
    }
}
