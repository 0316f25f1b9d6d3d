//! Case: one of the index servers returns spoilt answers, with noise in the place of the sort values. The search is
//! not tried at another holder of the shard; its connection is closed without an answer.

#[path = "../common/mod.rs"]
mod common;

use common::*;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

const SHARDS: u64 = 8;
const SERVERS: usize = 8;
const ZONES: [&str; 3] = ["didube", "saburtalo", "rustavi"];
const HITS: u64 = 100;
const SEARCHES: usize = 40;
/// The class's deadline.
const DEADLINE: Duration = Duration::from_millis(5000);

fn random(state: &mut u64) -> u64 {
    *state ^= *state << 13;
    *state ^= *state >> 7;
    *state ^= *state << 17;
    *state
}

/// The answer of a shard: its hits by `signed_at`, then `_id`. A spoilt one has noise for a third of the values.
fn shard_answer(shard: u64, spoilt: bool, state: &mut u64) -> String {
    let hits: Vec<String> = (0..HITS)
        .map(|n| {
            let (id, signed_at) = (format!("e-{shard}-{n:04}"), 1_733_300_000_000 + n * 977 + shard * 131);
            let value = match random(state) % 9 {
                0 | 1 if spoilt => format!(r#""{:x}""#, random(state)),
                2 if spoilt => (random(state) % 2 == 0).to_string(),
                _ => signed_at.to_string(),
            };
            format!(
                r#"{{"_index":"envelopes","_id":"{id}","_score":null,"_source":{{"signed_at":{signed_at}}},"sort":[{value},"{id}"]}}"#
            )
        })
        .collect();
    format!(
        r#"{{"took":3,"timed_out":false,"_shards":{{"total":1,"successful":1,"skipped":0,"failed":0}},"hits":{{"total":{{"value":{HITS},"relation":"eq"}},"max_score":null,"hits":[{}]}}}}"#,
        hits.join(",")
    )
}

fn start_server(name: String, spoils: bool, record: Record) -> String {
    let listener = listen();
    let address = listener.local_addr().unwrap().to_string();
    thread::spawn(move || {
        for (number, stream) in listener.incoming().enumerate() {
            let (mut stream, name, record) = (stream.unwrap(), name.clone(), record.clone());
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let (mut rest, mut state) = (Vec::new(), 88172645463325252 + number as u64);
                while let Some(request) = read_response(&mut stream, &mut rest) {
                    let at = request.first_line.find("_shards:").expect("a shard is named") + 8;
                    let digits: String =
                        request.first_line[at..].chars().take_while(char::is_ascii_digit).collect();
                    let body = shard_answer(digits.parse().unwrap(), spoils, &mut state);
                    record.line(format!(
                        "{name}: shard {digits} answered{}",
                        if spoils { ", spoilt" } else { "" }
                    ));
                    let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
                    let _ = write!(stream, "{head}Content-Length: {}\r\n\r\n{body}", body.len());
                }
            });
        }
    });
    address
}

fn main() {
    let record = Record::open();
    // One of eight servers is bad.
    let servers: Vec<String> = (0..SERVERS)
        .map(|cell| {
            let (name, zone) = (format!("index-{}", cell + 1), ZONES[cell % ZONES.len()]);
            let address = start_server(name.clone(), trouble() && cell == 1, record.clone());
            format!("[[server]]\nname = \"{name}\"\naddress = \"{address}\"\nzone = \"{zone}\"\ncell = {cell}\n")
        })
        .collect();
    let address = free_address();
    let file = temporary_folder().join("opensearch.toml");
    let text = format!(
        "listen = \"{address}\"\nzone = \"didube\"\ngatherers = 1\n[layout]\nshards = {SHARDS}\ncells = {SERVERS}\nspan = 2\n\
         [limits]\nmax_open = 64\n[[class]]\nname = \"envelope-search\"\nwanted_ms = 2500\ndeadline_ms = {}\n\
         effect = \"repeatable\"\nlate_worth = 0.1\n[[tenant]]\nname = \"kartuli-bank\"\n[[caller]]\n\
         id = \"bank-portal\"\ntenant = \"kartuli-bank\"\n[[index]]\nname = \"envelopes\"\nclass = \"envelope-search\"\n{}",
        DEADLINE.as_millis(),
        servers.concat()
    );
    std::fs::write(&file, text).unwrap();
    let _gatherer = Gatherer::start(&file.display().to_string(), &[]);
    wait_until_healthy(&address);

    let mut lost = 0;
    for number in 0..SEARCHES {
        let mut client = TcpStream::connect(&address).unwrap();
        client.set_read_timeout(Some(DEADLINE + Duration::from_millis(550))).unwrap();
        let body = format!(
            r#"{{"query":{{"match":{{"account":"{number}"}}}},"sort":[{{"signed_at":"desc"}}],"size":{HITS}}}"#
        );
        let sent = Instant::now();
        write!(
            client,
            "POST /envelopes/_search HTTP/1.1\r\nHost: case\r\nX-Opaque-Id: bank-portal\r\n\
             Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
        .unwrap();
        let answer = read_response(&mut client, &mut Vec::new());
        lost += usize::from(answer.is_none());
        record.line(format!(
            "client: search {number}: {} after {} ms",
            answer.map_or("no answer, the connection is closed  <- lost".to_owned(), |a| a.status.to_string()),
            sent.elapsed().as_millis()
        ));
    }
    let log = std::fs::read_to_string(temporary_folder().join("log.txt")).unwrap_or_default();
    for line in log.lines().filter(|line| line.contains("panicked") || line.contains("violat")).take(4) {
        record.line(format!("log: {line}"));
    }
    record.verdict(lost > 0, format!("{lost} of {SEARCHES} searches had no answer"))
}
