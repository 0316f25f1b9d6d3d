//! Real processes of the program on loopback, with fake workers, discovery, clients and operators. Tests wait
//! for events: a line of the log, a response, a counter.

#![allow(unused_imports)] // each test file uses a part of what is re-exported

mod client;
mod discovery;
mod frame;
mod gatherer;
mod worker;

pub use client::{call_operator_api, metric_value, query, response};
pub use discovery::{Discovery, member};
pub use frame::{read_frame, write_frame};
pub use gatherer::{Gatherer, faults_library};
pub use worker::Worker;

use super::platform::platform_json;
use std::net::{Ipv4Addr, TcpListener};
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

/// Longer than any event takes on a busy machine: a test must not hang forever.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Waits until the condition holds; `what` names it where it does not in time.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let since = Instant::now();
    while !condition() {
        assert!(since.elapsed() < TEST_TIMEOUT, "timed out waiting: {what}");
        thread::sleep(Duration::from_millis(1));
    }
}

/// A temporary folder of one test, removed at its end.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    /// Creates a folder for the test of this name.
    pub fn new(name: &str) -> TempFolder {
        let path = std::env::temp_dir().join(format!("clayshore-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        TempFolder(path)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        // A folder that remains disturbs no other test.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A loopback address that no other test uses: a port that was free a moment ago on 127.0.0.1 may be in use
/// by another test now.
pub fn unused_address() -> String {
    listen().local_addr().expect("an address").to_string()
}

/// A listener on such an address.
pub fn listen() -> TcpListener {
    let [second, third, fourth, _] = fastrand::u32(..).to_le_bytes();
    TcpListener::bind((Ipv4Addr::new(127, second.max(1), third, fourth), 0)).expect("a port")
}

/// The scenarios' configuration with unused addresses and this discovery.
pub fn config(discovery: &Discovery) -> serde_json::Value {
    let mut config = platform_json();
    config["discovery"] = discovery.address.clone().into();
    config["known"] = serde_json::from_str(&discovery.list()).expect("JSON");
    (config["listen"], config["operator"]) = (unused_address().into(), unused_address().into());
    config
}
