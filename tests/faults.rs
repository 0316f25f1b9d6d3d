//! System calls that fail, end early or are interrupted inside a real process of the program, by the library of faults
//! that it preloads. What was asked is counted at both ends.

mod common;

use common::process::{Discovery, Folder, Gatherer, Worker, config, member, query, response};

/// Queries that a test asks, one after the other, on one connection.
const QUERIES: usize = 20;

/// Asks on one kept connection; each query is answered, and its one part comes once.
fn serves_all(folder: &str, faults: &str) {
    let (folder, worker) = (Folder::new(folder), Worker::start());
    let discovery = Discovery::start(&member("w1", &worker.address));
    let switch = folder.0.join("faults");
    let mut gatherer = Gatherer::begin_with_faults(&folder, &config(&discovery), faults, Some(&switch));
    gatherer.logged(" serving on ");
    gatherer.logged("discovery at");
    std::fs::write(&switch, "").expect("written");
    let mut client = gatherer.connect();
    for at in 0..QUERIES {
        let class = if at % 2 == 0 { "search" } else { "seal" };
        query(&mut client, &format!("a{at}"), class).expect("written");
        assert_eq!(response(&mut client).expect("an answer").status, 200, "query {at}");
    }
    assert_eq!((worker.parts(), worker.most()), (QUERIES, 1));
    std::fs::remove_file(&switch).expect("removed");
    // The library looks at its switch every 2 ms; a signal that comes before has a test of its own.
    std::thread::sleep(std::time::Duration::from_millis(20));
    gatherer.signal("-TERM");
    assert!(gatherer.ended());
}

#[test]
fn a_short_read_or_write_delays_no_answer() {
    serves_all("short", "seed=1,short_read=1,short_write=1");
}

#[test]
fn an_interrupted_read_or_write_costs_no_request() {
    serves_all("interrupted", "seed=2,interrupt=0.3");
}
