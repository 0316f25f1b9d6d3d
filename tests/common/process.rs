//! Real processes of the program on loopback, with fake workers, discovery, clients and operators. Tests wait
//! for an event (a log line, a response, a counter) in place of a fixed time.

#![allow(unused_imports)] // no test program uses all of the re-exports

mod client;
mod discovery;
mod frame;
mod gatherer;
mod opensearch;
mod worker;

pub use client::{call_operator_api, metric_value, query, response};
pub use discovery::{Discovery, member};
pub use frame::{read_frame, write_frame};
pub use gatherer::{Gatherer, faults_library};
pub use opensearch::{IndexServer, OpenSearchFront, hits_of, index_of, shard_of, shard_result};
pub use worker::Worker;

use super::platform::platform_json;
use std::net::{Ipv4Addr, TcpListener};
use std::path::PathBuf;
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Time-out of every wait, so that no test hangs forever. Longer than any event takes on a busy machine.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Waits until the condition holds; panics with `what`, its description, after [`TEST_TIMEOUT`].
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < TEST_TIMEOUT, "timed out after {TEST_TIMEOUT:?} waiting: {what}");
        thread::sleep(Duration::from_millis(1));
    }
}

/// A temporary folder of one test, removed when dropped.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    /// Creates a folder whose name contains this name and the test program's process id.
    pub fn new(name: &str) -> TempFolder {
        let path = std::env::temp_dir().join(format!("clayshore-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("the temporary folder is created");
        TempFolder(path)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        // A folder that remains does not affect other tests.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Held while a process is forked, and while an address is bound only to be released: until it executes its program, a
/// forked process holds every socket of this one, so that the released address could still be in use.
static FORKING: Mutex<()> = Mutex::new(());

/// Calls `call` while no other thread forks a process or looks for an unused address.
pub fn without_forks<T>(call: impl FnOnce() -> T) -> T {
    let _forking = FORKING.lock().unwrap_or_else(PoisonError::into_inner);
    call()
}

/// An unused loopback address. The host part is random within 127.0.0.0/8, because another test could take a
/// port of 127.0.0.1 before it is used.
pub fn unused_address() -> String {
    without_forks(|| listen().local_addr().expect("a bound listener has an address").to_string())
}

/// A listener on an unused loopback address, as [`unused_address`] chooses it.
pub fn listen() -> TcpListener {
    let [second, third, fourth, _] = fastrand::u32(..).to_le_bytes();
    TcpListener::bind((Ipv4Addr::new(127, second.max(1), third, fourth), 0)).expect("a loopback port is free")
}

/// The scenarios' configuration, with this discovery and unused addresses to listen on.
pub fn config(discovery: &Discovery) -> serde_json::Value {
    let mut config = platform_json();
    config["discovery"] = discovery.address.clone().into();
    config["known"] = serde_json::from_str(&discovery.list()).expect("the endpoint list is JSON");
    (config["listen"], config["operator"]) = (unused_address().into(), unused_address().into());
    config
}
