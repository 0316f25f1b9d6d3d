//! Tests of the program as a process on loopback sockets: start, query, reload, SIGTERM and exit; its
//! sub-commands; and the errors that name the invalid key of a file.

use bytes::BytesMut;
use gatherer::protocol::http::{self, ReceivedResponse};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::thread;

/// Starts a discovery server that sends this list once and no further response, as if it were down; returns
/// its address.
fn start_discovery(list: String) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut buffer = BytesMut::new();
        while http::take_request(&mut buffer).expect("a request").is_none() {
            read(&mut stream, &mut buffer);
        }
        stream.write_all(&http::Response::json(200, list).encode(false)).expect("written");
        let _ = stream.read(&mut [0]);
    });
    address
}

/// Starts a worker that answers every part with the same value; returns its address.
fn start_worker() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        loop {
            let mut length = [0; 4];
            if stream.read_exact(&mut length).is_err() {
                return;
            }
            let mut rest = vec![0; u32::from_le_bytes(length) as usize];
            stream.read_exact(&mut rest).expect("a frame");
            let text = String::from_utf8(rest).expect("text");
            let id = text[1..].split(' ').next().expect("an id");
            let answer = format!("q{id} good 5 util=0.1,queue=0\n5be2");
            stream.write_all(&(answer.len() as u32).to_le_bytes()).expect("written");
            stream.write_all(answer.as_bytes()).expect("written");
        }
    });
    address
}

/// Appends the next bytes of the connection, which must not end, to the buffer.
fn read(stream: &mut TcpStream, buffer: &mut BytesMut) {
    let mut bytes = [0; 4096];
    let count = stream.read(&mut bytes).expect("readable");
    assert!(count > 0, "the connection ended before the end of the message");
    buffer.extend_from_slice(&bytes[..count]);
}

/// Reads a response from the connection.
fn response(stream: &mut TcpStream) -> ReceivedResponse {
    let mut buffer = BytesMut::new();
    loop {
        if let Some(response) = http::take_response(&mut buffer, http::MAX_BODY_BYTES).expect("a response") {
            return response;
        }
        read(stream, &mut buffer);
    }
}

/// Starts the program and waits until it serves; returns the process, its address for clients, and its log
/// from there on.
fn start(command: &mut Command) -> (Child, String, impl BufRead + use<>) {
    let mut child = command.stderr(Stdio::piped()).spawn().expect("the program starts");
    let mut log = BufReader::new(child.stderr.take().expect("piped"));
    let mut lines = log.by_ref().lines().map(|line| line.expect("a line"));
    let address = lines.find_map(|line| line.split_once(" serving on ").map(|found| found.1.to_owned()));
    (child, address.expect("the program serves"), log)
}

/// Sends a signal, given as the option of `kill` (`-TERM`).
fn send_signal(child: &Child, name: &str) {
    let kill = Command::new("kill").args([name, &child.id().to_string()]).status().expect("kill runs");
    assert!(kill.success());
}

/// Reads the log up to the next line that contains this text, and returns that line.
fn wait_for_log(log: &mut impl BufRead, text: &str) -> String {
    let found = log.lines().map(|line| line.expect("a line")).find(|line| line.contains(text));
    found.unwrap_or_else(|| panic!("no log line contains {text:?}"))
}

/// Stops the program with SIGTERM, checks that its exit status is 0, and returns the rest of its log.
fn stop(mut child: Child, mut log: impl BufRead) -> String {
    send_signal(&child, "-TERM");
    let mut rest = String::new();
    log.read_to_string(&mut rest).expect("the rest of the log");
    assert!(child.wait().expect("the program exits").success(), "{rest}");
    rest
}

#[test]
fn a_query_is_answered_and_sigterm_ends_the_program() {
    let list = format!(
        r#"{{"revision":2,"complete":true,"members":[{{"id":"w1","host_port":"{}","phase":"SERVING"}}]}}"#,
        start_worker()
    );
    let mut config: serde_json::Value =
        serde_json::from_str(include_str!("scenario/platform.json")).expect("JSON");
    config["discovery"] = start_discovery(list.clone()).into();
    config["known"] = serde_json::from_str(&list).expect("JSON");
    let path = std::env::temp_dir().join(format!("clayshore-{}.json", std::process::id()));
    std::fs::write(&path, config.to_string()).expect("written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_gatherer"));
    // The file takes precedence over the environment, since it alone can be replaced while the program runs.
    let first_discovery = config["discovery"].as_str().expect("an address").to_owned();
    command.env_clear().env("LB_CONFIG", &path).env("LB_DISCOVERY", first_discovery);
    let (child, address, mut log) = start(&mut command);

    let mut client = TcpStream::connect(&address).expect("connected");
    client.write_all(&http::encode_request("GET", "/_health", "x", None)).expect("written");
    assert_eq!(response(&mut client).status, 200);
    let body = r#"{"ranges":[{"range":3,"portion":1.0}],"predicate":"c41e"}"#;
    let head = "POST /api HTTP/1.1\r\nX-Call-Id: a1\r\nX-Call-Class: seal\r\nX-Caller: bank\r\nX-Budget-Ms: 5000\r\n";
    write!(client, "{head}Content-Length: {}\r\n\r\n{body}", body.len()).expect("written");
    let answer = response(&mut client);
    assert_eq!(
        (answer.status, &*answer.body),
        (200, &br#"{"total":true,"answers":[{"range":3,"blob":"5be2"}]}"#[..])
    );
    client.write_all(&http::encode_request("GET", "/_counters", "x", None)).expect("written");
    assert!(response(&mut client).body.starts_with(b"counters: taken=1 "));

    // SIGHUP must not kill the process, and an invalid file must not replace a valid configuration.
    std::fs::write(&path, config.to_string().replace("\"seed\":\"07\"", "\"seed\":\"x\"")).expect("written");
    send_signal(&child, "-HUP");
    assert!(
        wait_for_log(&mut log, "configuration not read again, the previous one stays")
            .contains("seed: found \"x\", expected a hexadecimal")
    );
    let new_address = start_discovery(list);
    config["discovery"] = new_address.clone().into();
    std::fs::write(&path, config.to_string()).expect("written");
    send_signal(&child, "-HUP");
    wait_for_log(&mut log, &format!("discovery at {new_address}: list 2 with 1 workers"));

    let log = stop(child, log);
    assert!(log.contains("counters: taken=1 malformed=0 answered_whole=1 "), "{log}");
    assert!(log.contains("connections: admitted=1 turned_away=0 "), "{log}");
    std::fs::remove_file(path).expect("removed");
}

#[test]
fn the_opensearch_front_starts_without_the_platform() {
    let text = include_str!("scenario/opensearch.toml");
    let path = std::env::temp_dir().join(format!("clayshore-{}.toml", std::process::id()));
    std::fs::write(&path, text).expect("written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_gatherer"));
    let (child, address, log) = start(command.env_clear().arg(&path));
    let mut client = TcpStream::connect(&address).expect("connected");
    client.write_all(&http::encode_request("POST", "/none/_search", "x", Some(b"{}"))).expect("written");
    assert_eq!(response(&mut client).status, 404);
    assert!(stop(child, log).contains("counters: "));
    std::fs::remove_file(path).expect("removed");
}

#[test]
fn a_descriptor_limit_of_the_system_below_the_configured_one_is_respected() {
    // With a descriptor budget above the system's limit, accepts would fail under many connections.
    let path = std::env::temp_dir().join(format!("clayshore-limit-{}.toml", std::process::id()));
    std::fs::write(&path, include_str!("scenario/opensearch.toml")).expect("written");
    let start_with_limit = |max_descriptors: u32| {
        let mut shell = Command::new("sh");
        let line = format!(
            "ulimit -n {max_descriptors}; exec {} {}",
            env!("CARGO_BIN_EXE_gatherer"),
            path.display()
        );
        shell.args(["-c", &line]).stderr(Stdio::piped());
        let mut child = shell.spawn().expect("the shell starts");
        let mut log = BufReader::new(child.stderr.take().expect("piped"));
        let mut output = String::new();
        while !output.contains(" serving on ") && log.read_line(&mut output).expect("a line") > 0 {}
        (child, log, output)
    };
    let (child, log, output) = start_with_limit(100);
    assert!(output.contains("the system allows 100 of the configured 1024"), "{output}");
    assert!(output.contains("file descriptors: limit=100 ") && output.contains(" serving on "), "{output}");
    stop(child, log);
    let (mut child, _, output) = start_with_limit(40);
    assert!(
        output.contains("40 descriptors, of which ") && output.contains("64 at least are needed"),
        "{output}"
    );
    assert_eq!(child.wait().expect("the program exits").code(), Some(1));
    std::fs::remove_file(path).expect("removed");
}

/// Runs the program until it exits; returns its exit status, and its standard output and error in one text.
fn run_to_end(arguments: &[&str]) -> (Option<i32>, String) {
    let run =
        Command::new(env!("CARGO_BIN_EXE_gatherer")).args(arguments).output().expect("the program runs");
    let text = [run.stdout, run.stderr].concat();
    (run.status.code(), String::from_utf8(text).expect("text"))
}

#[test]
fn the_report_on_records_of_a_killed_gatherer_names_its_death() {
    let folder = std::env::temp_dir().join(format!("clayshore-records-{}", std::process::id()));
    let (front, operator) = (folder.join("front.toml"), folder.join("operator.toml"));
    std::fs::create_dir_all(&folder).expect("a folder");
    std::fs::write(&front, include_str!("scenario/opensearch.toml")).expect("written");
    let records = folder.join("kept");
    std::fs::write(&operator, format!("[records]\nfolder = {records:?}\n")).expect("written");
    let text = |path: &std::path::Path| path.to_str().expect("text").to_owned();
    let (front, operator, records) = (text(&front), text(&operator), text(&records));
    let serve = || {
        start(Command::new(env!("CARGO_BIN_EXE_gatherer")).args(["serve", &front, "--operator", &operator]))
    };
    let send_searches = |address: &str, times: usize| {
        let mut client = TcpStream::connect(address).expect("connected");
        for _ in 0..times {
            let head =
                "POST /envelopes/_search HTTP/1.1\r\nX-Opaque-Id: portal\r\nContent-Length: 2\r\n\r\n{}";
            client.write_all(head.as_bytes()).expect("written");
            assert_eq!(response(&mut client).status, 429, "no server can be reached");
        }
    };
    let lines = || {
        std::fs::read_dir(&records).map_or(0, |found| {
            found
                .map(|file| {
                    std::fs::read_to_string(file.expect("a file").path()).expect("text").lines().count()
                })
                .sum()
        })
    };
    let (mut killed, address, log) = serve();
    send_searches(&address, 3);
    // Four records: the start, the endpoint list, its worker, and the first metrics.
    while lines() < 4 {
        thread::yield_now();
    }
    killed.kill().expect("killed");
    killed.wait().expect("the program exits");
    drop(log);
    let (child, address, log) = serve();
    send_searches(&address, 2);
    stop(child, log);
    let (status, output) = run_to_end(&["records", "verify", &records]);
    assert_eq!(status, Some(0), "{output}");
    let (_, json) = run_to_end(&["report", "--json", &records]);
    let report: serde_json::Value = serde_json::from_str(&json).expect("JSON");
    let counts = &report["classes"]["search"];
    assert_eq!((&counts["asked"], &counts["refused"], &counts["unknown"]), (&5.into(), &5.into(), &0.into()));
    let findings: Vec<_> =
        report["findings"].as_array().expect("findings").iter().map(|finding| &finding["what"]).collect();
    assert_eq!(findings, ["worker_loses", "death"], "{json}");
    let page = text(&folder.join("page.html"));
    assert_eq!(run_to_end(&["report", &records, "--out", &page]).0, Some(0));
    let page = std::fs::read_to_string(page).expect("a page");
    assert!(page.contains("died") && ["src=", "href=", "<script"].iter().all(|other| !page.contains(other)));
    // A changed byte is reported with file and line, and makes the exit status 1.
    let file = std::fs::read_dir(&records).expect("a folder").next().expect("one").expect("one").path();
    let mut bytes = std::fs::read(&file).expect("read");
    bytes[20] ^= 1;
    std::fs::write(&file, bytes).expect("written");
    let (status, output) = run_to_end(&["records", "verify", &records]);
    assert!(
        status == Some(1) && output.contains(&format!("{}:1: its checksum is", file.display())),
        "{output}"
    );
    std::fs::remove_dir_all(folder).expect("removed");
}

#[test]
fn an_invalid_configuration_is_named_by_its_key() {
    let good: serde_json::Value = serde_json::from_str(include_str!("scenario/platform.json")).expect("JSON");
    let cases = [
        ("/listen", "listen: found \"x\", expected IP:PORT"),
        ("/seed", "seed: found \"x\", expected a hexadecimal"),
        (
            "/known/members/0/phase",
            "known: invalid endpoint list (line and column in its compact form): unknown variant",
        ),
        ("/settings/domain/slices", "settings.domain.slices: found \"x\", expected a number"),
        (
            "/settings/categories/1/semantics",
            "settings.categories.1.semantics: found \"x\", expected repeatable",
        ),
        ("/settings/allowed/cancel", "settings.allowed.cancel: found \"x\", expected true"),
    ];
    for (pointer, message) in cases {
        let mut bad = good.clone();
        *bad.pointer_mut(pointer).expect("a key") = "x".into();
        let error =
            gatherer::program::config::Config::from_json(&bad, |_| None).expect_err(pointer).to_string();
        assert!(error.contains(message), "{pointer}: {error}");
    }
}

#[test]
fn the_operators_address_is_that_of_the_file_or_else_of_the_environment() {
    let good: serde_json::Value = serde_json::from_str(include_str!("scenario/platform.json")).expect("JSON");
    // The API is off if neither sets an address.
    let operator_address_of = |value: serde_json::Value, variable: Option<&str>| {
        let mut json = good.clone();
        json["operator"] = value;
        let variable = variable.map(str::to_owned);
        gatherer::program::config::Config::from_json(&json, |name| {
            variable.clone().filter(|_| name == "LB_OPERATOR")
        })
        .map(|config| config.operator_address.map(|address| address.to_string()))
        .map_err(|error| error.to_string())
    };
    let null = serde_json::Value::Null;
    assert_eq!(operator_address_of(null.clone(), None), Ok(None));
    assert_eq!(operator_address_of(null, Some("127.0.0.1:8")), Ok(Some("127.0.0.1:8".to_owned())));
    assert_eq!(
        operator_address_of("127.0.0.1:7".into(), Some("127.0.0.1:8")),
        Ok(Some("127.0.0.1:7".to_owned()))
    );
    assert_eq!(
        operator_address_of("x".into(), None),
        Err("operator: found \"x\", expected IP:PORT".to_owned())
    );
}

#[test]
fn an_invalid_front_file_is_named_by_its_key() {
    let toml = include_str!("scenario/opensearch.toml");
    let cases = [
        ("zone = \"a\"", "colour = 1\nzone = \"a\"", "colour"),
        ("span = 2", "span = 3", "layout"),
        ("window = 20", "window = 20, searches_per_server = 500", "limits.searches_per_server"),
        ("class = \"seal\"", "class = \"sail\"", "index.1.class"),
        ("tenant = \"bank\"", "tenant = \"bunk\"", "caller.0.tenant"),
        ("cell = 0", "cell = 5", "server.0.cell"),
        ("wanted_ms = 2500", "wanted_ms = 9000", "class.0.wanted_ms"),
    ];
    for (from, to, key) in cases {
        let bad = gatherer::program::opensearch_file::FrontFile::parse(&toml.replacen(from, to, 1), 1);
        let error = bad.expect_err(key).to_string();
        assert!(error.contains(key), "{key}: {error}");
    }
    let shipped =
        gatherer::program::opensearch_file::FrontFile::parse(include_str!("../deploy/opensearch.toml"), 1);
    assert!(shipped.is_ok(), "{shipped:?}");
}

#[test]
fn an_invalid_records_section_is_named_by_line_and_key() {
    let operator = include_str!("../deploy/operator.toml");
    let parse = gatherer::program::operator::OperatorFile::parse;
    assert!(parse(operator).is_ok_and(|operator| operator.records.is_some()));
    // The invalid line is appended to the file.
    let added = format!("line {}: records.", operator.lines().count() + 1);
    let cases = [
        ("segment_kb = 1", format!("{added}segment_kb: found 1, expected 64 to")),
        ("segment_s = 0", format!("{added}segment_s: found 0, expected 1 to")),
        ("all_kb = 5000", format!("{added}all_kb: found 5000, expected 8192 (2 times segment_kb)")),
        ("segment_mb = 3", "unknown field `segment_mb`".to_owned()),
    ];
    for (line, message) in cases {
        let error = parse(&format!("{operator}{line}\n")).expect_err(line).to_string();
        assert!(error.contains(&message), "{line}: {error}");
    }
}

#[test]
fn an_invalid_membership_section_is_named_by_line_and_key() {
    let parse = gatherer::program::operator::OperatorFile::parse;
    let membership = "[membership]\nlisten = \"127.0.0.1:7946\"\ncluster = \"c\"\nseeds = []\n";
    assert!(parse(membership).is_ok_and(|operator| operator.membership.is_some()));
    let cases = [
        ("secret = \"short\"", "line 5: membership.secret: found 5 bytes, expected at least 16"),
        ("most = 0", "line 5: membership.most: found 0, expected 1 to"),
        ("period_ms = 10", "line 5: membership.period_ms: found 10, expected 50 to"),
        ("bury_ms = 1000", "line 5: membership.bury_ms: found 1000, expected 2000 (4 times period_ms)"),
        (
            "advertise = \"0.0.0.0:7946\"",
            "line 5: membership.advertise: found 0.0.0.0:7946, expected an IP address",
        ),
        ("seed = []", "unknown field `seed`"),
    ];
    for (line, message) in cases {
        let error = parse(&format!("{membership}{line}\n")).expect_err(line).to_string();
        assert!(error.contains(message), "{line}: {error}");
    }
    let secret = format!("{membership}secret = \"not to be printed\"\n");
    assert!(!format!("{:?}", parse(&secret).expect("sound")).contains("not to be"));
}
