//! The environment of a gatherer that is upgraded: workers, discovery, configuration and a shared folder. The
//! processes themselves are started by the tests.

use super::process::{Discovery, TempFolder, Worker, config, member, unused_address};
use std::net::TcpListener;
use std::os::unix::fs::MetadataExt;
use std::path::PathBuf;

/// Two workers, discovery, the configuration of a gatherer, and the folder that its processes share.
pub struct UpgradeFixture {
    pub first_worker: Worker,
    pub second_worker: Worker,
    pub discovery: Discovery,
    pub folder: TempFolder,
    pub config: serde_json::Value,
}

impl UpgradeFixture {
    /// Starts the workers and discovery.
    pub fn new(name: &str) -> UpgradeFixture {
        let (first_worker, second_worker) = (Worker::start(), Worker::start());
        let members =
            format!("{},{}", member("w1", &first_worker.address), member("w2", &second_worker.address));
        let discovery = Discovery::start(&members);
        let (folder, mut config) = (TempFolder::new(name), config(&discovery));
        // During an upgrade each process may use half, which is enough for all queries that the tests have
        // open at once.
        config["settings"]["allowed"]["max-open"] = 100.into();
        UpgradeFixture { first_worker, second_worker, discovery, folder, config }
    }
    /// Configuration of the same gatherer for the next process, with an operators' address of its own.
    pub fn next_config(&self) -> serde_json::Value {
        let mut config = self.config.clone();
        config["operator"] = unused_address().into();
        config
    }
    /// Like [`UpgradeFixture::next_config`], but with a discovery that accepts connections and never
    /// responds, so that the process is not ready at once. Returns the listener of that discovery too.
    pub fn config_with_silent_discovery(&self) -> (serde_json::Value, TcpListener) {
        let silent = TcpListener::bind("127.0.0.1:0").expect("a port");
        let mut config = self.next_config();
        config["discovery"] = silent.local_addr().expect("an address").to_string().into();
        (config, silent)
    }
    /// Path of the file of the takeover socket.
    pub fn takeover_socket_path(&self) -> PathBuf {
        let user = std::fs::metadata(&self.folder.0).expect("a folder").uid();
        let listen = self.config["listen"].as_str().expect("an address").replace(':', "-");
        self.folder.0.join(format!("clayshore-{user}-{listen}.sock"))
    }
    /// Number of parts that both workers have received.
    pub fn parts_received(&self) -> usize {
        self.first_worker.parts_received() + self.second_worker.parts_received()
    }
}
