//! A fleet of real processes of the program for tests of membership. A proxy in front of each member forwards
//! its gossip datagrams and table exchanges, and drops, duplicates or partitions them by sender.
#![allow(dead_code)] // no test program uses all of it

use super::process::{
    Discovery, Gatherer, TempFolder, Worker, call_operator_api, config, listen, member, read_frame,
    unused_address, wait_until, write_frame,
};
use gatherer::protocol::gossip::ClusterKey;
use serde_json::Value;
use std::collections::HashSet;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const CLUSTER: &str = "test";
const SECRET: &str = "known to members only";
/// Probe interval of the members: shorter than in production, but longer than a busy machine delays a
/// process.
const PROBE_INTERVAL_MS: u64 = 100;
/// Suspicion time-out of the members.
const SUSPICION_TIMEOUT_MS: u64 = 4000;

/// Faults that all proxies inject.
#[derive(Default)]
pub struct NetworkFaults {
    /// The fraction of datagrams that are dropped.
    pub loss: f64,
    /// The fraction of datagrams that are delivered twice.
    pub duplication: f64,
    /// Pairs of sender and receiver, by number, whose messages are dropped.
    pub partitions: HashSet<(usize, usize)>,
}

/// The members' processes and their proxies. A member is identified by its number, its index in `members`.
pub struct ProxiedFleet {
    /// The faults that all proxies inject now.
    pub faults: Arc<Mutex<NetworkFaults>>,
    /// The process of each member; `None` while it does not run.
    pub members: Vec<Option<Gatherer>>,
    /// The only worker of the fleet.
    pub worker: Worker,
    pub discovery: Discovery,
    configs: Vec<Value>,
    operator_files: Vec<String>,
    /// The TCP listener of each member's proxy. While it is `None`, connections are refused, as the machine
    /// of a member that does not run refuses them.
    proxy_listeners: Vec<Arc<Mutex<Option<TcpListener>>>>,
    proxy_addresses: Vec<SocketAddr>,
    folder: TempFolder,
}

/// The name of the member with this number.
fn name(id: usize) -> String {
    format!("g{id}")
}

/// The number of the member with this name.
fn number(name: &str) -> usize {
    name[1..].parse().expect("a member's name is g and a number")
}

impl ProxiedFleet {
    /// Starts a fleet of `count` members; returns after each sees all others.
    pub fn start(test: &str, count: usize) -> ProxiedFleet {
        let worker = Worker::start();
        let discovery = Discovery::start(&member("w1", &worker.address));
        let folder = TempFolder::new(test);
        let faults: Arc<Mutex<NetworkFaults>> = Arc::default();
        let mut fleet = ProxiedFleet {
            faults,
            members: Vec::new(),
            worker,
            discovery,
            configs: Vec::new(),
            operator_files: Vec::new(),
            proxy_listeners: Vec::new(),
            proxy_addresses: Vec::new(),
            folder,
        };
        let member_addresses: Vec<SocketAddr> =
            (0..count).map(|_| unused_address().parse().expect("an unused address is valid")).collect();
        for (id, address) in member_addresses.iter().enumerate() {
            fleet.add_proxy(id, *address);
        }
        for (id, address) in member_addresses.iter().enumerate() {
            fleet.add_member(id, *address, count);
        }
        (0..count).for_each(|id| fleet.start_member(id));
        fleet.wait_until_converged();
        fleet
    }

    /// Starts the proxy, for UDP and TCP on one port, of a member that will listen on this address.
    fn add_proxy(&mut self, id: usize, member: SocketAddr) {
        let listener = listen();
        let address = listener.local_addr().expect("a bound listener has an address");
        let socket = UdpSocket::bind(address).expect("the UDP port of the same number is free");
        proxy_datagrams(socket, id, member, self.faults.clone());
        let listener = Arc::new(Mutex::new(Some(listener)));
        proxy_connections(listener.clone(), id, member, self.faults.clone());
        self.proxy_listeners.push(listener);
        self.proxy_addresses.push(address);
    }

    /// Adds a member that does not run yet, with the content of its configuration and operator's file.
    fn add_member(&mut self, id: usize, listen: SocketAddr, count: usize) {
        let mut config = config(&self.discovery);
        config["name"] = name(id).into();
        config["settings"]["balancers"] = count.into();
        self.configs.push(config);
        let seeds = [self.proxy_addresses[0].to_string(), self.proxy_addresses[1].to_string()];
        self.operator_files.push(format!(
            "[membership]\nlisten = \"{listen}\"\nadvertise = \"{}\"\ncluster = \"{CLUSTER}\"\nsecret = \"{SECRET}\"\n\
             seeds = {seeds:?}\nperiod_ms = {PROBE_INTERVAL_MS}\nbury_ms = {SUSPICION_TIMEOUT_MS}\n",
            self.proxy_addresses[id]
        ));
        self.members.push(None);
    }

    /// Opens the proxy of this member, starts its process and waits until it serves.
    pub fn start_member(&mut self, id: usize) {
        self.open_proxy(id);
        let gatherer =
            Gatherer::start_with_operator_file(&self.folder, &self.configs[id], &self.operator_files[id]);
        gatherer.wait_for_log(" serving on ");
        self.members[id] = Some(gatherer);
    }
    /// Accepts connections to this member again, if its proxy is closed.
    fn open_proxy(&self, id: usize) {
        let mut listener = self.proxy_listeners[id].lock().expect("no thread panicked with the lock");
        if listener.is_none() {
            *listener = Some(TcpListener::bind(self.proxy_addresses[id]).expect("the proxy's port is free"));
        }
    }
    /// Kills the process of this member; connections to it are refused from then on.
    pub fn kill(&mut self, id: usize) {
        drop(self.members[id].take());
        self.close_proxy(id);
    }
    /// Refuses connections to this member from now on.
    pub fn close_proxy(&self, id: usize) {
        *self.proxy_listeners[id].lock().expect("no thread panicked with the lock") = None;
        // The proxy's thread may still block in `accept` on a clone of the listener; a connection ends that.
        wait_until("the proxy refuses connections", || TcpStream::connect(self.proxy_addresses[id]).is_err());
    }
    /// Starts a second process of this member beside the first, as in a hot restart.
    pub fn start_second_process(&self, id: usize) -> Gatherer {
        let mut config = self.configs[id].clone();
        config["operator"] = unused_address().into();
        Gatherer::start_with_operator_file(&self.folder, &config, &self.operator_files[id])
    }
    /// The process of this member; panics if it does not run.
    pub fn member(&self, id: usize) -> &Gatherer {
        self.members[id].as_ref().expect("the member runs")
    }
    /// The numbers of the members that run.
    pub fn running(&self) -> Vec<usize> {
        (0..self.members.len()).filter(|id| self.members[*id].is_some()).collect()
    }
    /// Drops messages from the members of one group to those of the other, in this direction only.
    pub fn partition(&self, from: &[usize], to: &[usize]) {
        let pairs = from.iter().flat_map(|sender| to.iter().map(move |receiver| (*sender, *receiver)));
        self.faults.lock().expect("no thread panicked with the lock").partitions.extend(pairs);
    }
    /// Ends all faults.
    pub fn heal(&self) {
        *self.faults.lock().expect("no thread panicked with the lock") = NetworkFaults::default();
    }
    /// The membership status that the operators' API of this member returns.
    pub fn membership_status(&self, id: usize) -> Value {
        let (status, text) = call_operator_api(&self.member(id).operators, "GET", "/-/members");
        assert_eq!(status, 200, "{text}");
        serde_json::from_str(&text).expect("the membership status is JSON")
    }
    /// The state of another member in this member's table; empty if the table does not contain it.
    pub fn state_seen_by(&self, id: usize, other: usize) -> String {
        let status = self.membership_status(id);
        let member = status["members"]
            .as_array()
            .expect("\"members\" is a list")
            .iter()
            .find(|member| member["name"] == name(other).as_str());
        member.map_or(String::new(), |member| member["state"].as_str().expect("\"state\" is text").to_owned())
    }
    /// The fleet size by which this member computes its shares.
    pub fn fleet_size_seen_by(&self, id: usize) -> u64 {
        self.membership_status(id)["gatherers"].as_u64().expect("\"gatherers\" is a number")
    }
    /// Waits until each running member sees exactly the running members as such (`alive` or `cut`).
    pub fn wait_until_converged(&self) {
        let running = self.running();
        for id in &running {
            wait_until(&format!("{} sees exactly the running members", name(*id)), || {
                let others = (0..self.members.len()).filter(|other| other != id);
                others.into_iter().all(|other| {
                    let is_seen = matches!(self.state_seen_by(*id, other).as_str(), "alive" | "cut");
                    is_seen == running.contains(&other)
                })
            });
        }
    }
    /// The log lines of all running members that report the failure of a member other than the expected ones.
    pub fn unexpected_death_lines(&self, expected: &[usize]) -> Vec<String> {
        let expected: Vec<String> = expected.iter().map(|id| format!("members: {} is", name(*id))).collect();
        let lines = self
            .members
            .iter()
            .flatten()
            .flat_map(|member| member.log.0.lock().expect("no thread panicked with the lock").clone());
        lines
            .filter(|line| {
                line.contains("members: ") && (line.ends_with(" is silent") || line.ends_with(" is dead"))
            })
            .filter(|line| !expected.iter().any(|text| line.contains(text)))
            .collect()
    }
}

/// Forwards datagrams to a member, subject to the faults.
fn proxy_datagrams(socket: UdpSocket, id: usize, to: SocketAddr, faults: Arc<Mutex<NetworkFaults>>) {
    let key = ClusterKey::new(CLUSTER, SECRET);
    thread::spawn(move || {
        let mut bytes = [0; 2048];
        loop {
            let Ok(length) = socket.recv(&mut bytes) else { continue };
            let sender = key.decode_datagram(&bytes[..length]).map(|message| number(&message.from.name));
            let copies = {
                let faults = faults.lock().expect("no thread panicked with the lock");
                let is_partitioned = sender.is_ok_and(|from| faults.partitions.contains(&(from, id)));
                match is_partitioned || fastrand::f64() < faults.loss {
                    true => 0,
                    false => 1 + usize::from(fastrand::f64() < faults.duplication),
                }
            };
            // An error means that the member does not run; the datagram is lost, as without a proxy.
            (0..copies).for_each(|_| drop(socket.send_to(&bytes[..length], to)));
        }
    });
}

/// Accepts connections to a member. A connection probe always succeeds; a table exchange is forwarded unless
/// there is a partition in either direction.
fn proxy_connections(
    listener: Arc<Mutex<Option<TcpListener>>>,
    id: usize,
    to: SocketAddr,
    faults: Arc<Mutex<NetworkFaults>>,
) {
    thread::spawn(move || {
        loop {
            let current = listener
                .lock()
                .expect("no thread panicked with the lock")
                .as_ref()
                .map(|listener| listener.try_clone().expect("the listener is cloned"));
            let Some(current) = current else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let accepted = current.accept();
            drop(current);
            if listener.lock().expect("no thread panicked with the lock").is_none() {
                continue;
            }
            let faults = faults.clone();
            thread::spawn(move || {
                accepted.ok().and_then(|(stream, _)| forward_tables(stream, id, to, &faults))
            });
        }
    });
}

/// Forwards a table exchange: the table of the member that connected, and the table with which the member
/// behind the proxy answers. `None` if there is a partition or a connection ends early.
fn forward_tables(
    mut near: TcpStream,
    id: usize,
    to: SocketAddr,
    faults: &Mutex<NetworkFaults>,
) -> Option<()> {
    let request = read_frame(&mut near).ok()?;
    let message = ClusterKey::new(CLUSTER, SECRET).decode(&request).expect("the table is a member's");
    let from = number(&message.from.name);
    let is_partitioned =
        |partitions: &HashSet<_>| partitions.contains(&(from, id)) || partitions.contains(&(id, from));
    if is_partitioned(&faults.lock().expect("no thread panicked with the lock").partitions) {
        return None;
    }
    let mut far = TcpStream::connect(to).ok()?;
    write_frame(&mut far, &request).ok()?;
    write_frame(&mut near, &read_frame(&mut far).ok()?).ok()
}
