//! A relay before each member, which everything to that member passes: it loses, doubles and cuts by who sent it. And a
//! fleet of real processes of the program behind such relays.
#![allow(dead_code)] // each test file uses its own share of this

use super::process::*;
use gatherer::protocol::gossip::ClusterKey;
use serde_json::Value;
use std::collections::HashSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const CLUSTER: &str = "test";
const SECRET: &str = "known to members only";
/// Times of the protocol here: quicker than an installation's, and yet longer than a busy machine holds a process up.
const PERIOD_MS: u64 = 100;
const BURY_MS: u64 = 4000;

/// What becomes of what passes.
#[derive(Default)]
pub struct NetworkFaults {
    /// Shares of datagrams that are lost, and that come twice.
    pub loss: f64,
    pub duplication: f64,
    /// From whom to whom nothing passes, by number.
    pub partitions: HashSet<(usize, usize)>,
}

pub struct ProxiedFleet {
    pub faults: Arc<Mutex<NetworkFaults>>,
    pub members: Vec<Option<Gatherer>>,
    pub worker: Worker,
    pub discovery: Discovery,
    configs: Vec<Value>,
    operators: Vec<String>,
    /// The relay before each member refuses connections while this is empty, as the member's machine would.
    doors: Vec<Arc<Mutex<Option<TcpListener>>>>,
    relays: Vec<SocketAddr>,
    folder: TempFolder,
}

fn name(id: usize) -> String {
    format!("g{id}")
}

fn number(name: &str) -> usize {
    name[1..].parse().expect("a number")
}

impl ProxiedFleet {
    /// So many processes; returns once all see each other.
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
            operators: Vec::new(),
            doors: Vec::new(),
            relays: Vec::new(),
            folder,
        };
        let inner: Vec<SocketAddr> =
            (0..count).map(|_| unused_address().parse().expect("an address")).collect();
        for (id, to) in inner.iter().enumerate() {
            let door = listen();
            let at = door.local_addr().expect("an address");
            relay_datagrams(UdpSocket::bind(at).expect("the same port"), id, *to, fleet.faults.clone());
            let door = Arc::new(Mutex::new(Some(door)));
            relay_connections(door.clone(), id, *to, fleet.faults.clone());
            fleet.doors.push(door);
            fleet.relays.push(at);
        }
        for (id, listen) in inner.iter().enumerate() {
            let mut config = config(&fleet.discovery);
            config["name"] = name(id).into();
            config["settings"]["balancers"] = count.into();
            let seeds = [fleet.relays[0].to_string(), fleet.relays[1].to_string()];
            fleet.configs.push(config);
            fleet.operators.push(format!(
                "[membership]\nlisten = \"{listen}\"\nadvertise = \"{}\"\ncluster = \"{CLUSTER}\"\nsecret = \"{SECRET}\"\n\
                 seeds = {seeds:?}\nperiod_ms = {PERIOD_MS}\nbury_ms = {BURY_MS}\n",
                fleet.relays[id]
            ));
            fleet.members.push(None);
        }
        (0..count).for_each(|id| fleet.start_member(id));
        fleet.wait_until_converged();
        fleet
    }

    /// Starts a process of this member.
    pub fn start_member(&mut self, id: usize) {
        self.open(id);
        let gatherer =
            Gatherer::start_with_operator_file(&self.folder, &self.configs[id], &self.operators[id]);
        gatherer.wait_for_log(" serving on ");
        self.members[id] = Some(gatherer);
    }
    fn open(&self, id: usize) {
        let mut door = self.doors[id].lock().expect("sound");
        if door.is_none() {
            *door = Some(TcpListener::bind(self.relays[id]).expect("its port"));
        }
    }
    /// Kills the process of this member; its machine refuses connections from then on.
    pub fn kill(&mut self, id: usize) {
        drop(self.members[id].take());
        self.close_proxy(id);
    }
    pub fn close_proxy(&self, id: usize) {
        *self.doors[id].lock().expect("sound") = None;
        // Ends the wait for a connection that holds the port open.
        wait_until("the port is free", || TcpStream::connect(self.relays[id]).is_err());
    }
    /// A further process of this member beside the first, as in an upgrade.
    pub fn start_second_process(&self, id: usize) -> Gatherer {
        let mut config = self.configs[id].clone();
        config["operator"] = unused_address().into();
        Gatherer::start_with_operator_file(&self.folder, &config, &self.operators[id])
    }
    pub fn member(&self, id: usize) -> &Gatherer {
        self.members[id].as_ref().expect("it runs")
    }
    pub fn running(&self) -> Vec<usize> {
        (0..self.members.len()).filter(|id| self.members[*id].is_some()).collect()
    }
    /// Nothing passes from these to those.
    pub fn partition(&self, from: &[usize], to: &[usize]) {
        let pairs = from.iter().flat_map(|a| to.iter().map(move |b| (*a, *b)));
        self.faults.lock().expect("sound").partitions.extend(pairs);
    }
    pub fn heal(&self) {
        *self.faults.lock().expect("sound") = NetworkFaults::default();
    }
    /// What this member sees.
    pub fn membership_status(&self, id: usize) -> Value {
        let (status, text) = call_operator_api(&self.member(id).operators, "GET", "/-/members");
        assert_eq!(status, 200, "{text}");
        serde_json::from_str(&text).expect("JSON")
    }
    /// How this member sees another; empty where it does not know it.
    pub fn state_seen_by(&self, id: usize, other: usize) -> String {
        let view = self.membership_status(id);
        let row =
            view["members"].as_array().expect("rows").iter().find(|row| row["name"] == name(other).as_str());
        row.map_or(String::new(), |row| row["state"].as_str().expect("text").to_owned())
    }
    pub fn fleet_size_seen_by(&self, id: usize) -> u64 {
        self.membership_status(id)["gatherers"].as_u64().expect("a number")
    }
    /// Waits until all that live see all that live, and nobody else as there.
    pub fn wait_until_converged(&self) {
        let living = self.running();
        for id in &living {
            wait_until(&format!("{} sees all", name(*id)), || {
                let others = (0..self.members.len()).filter(|other| other != id);
                others.into_iter().all(|other| {
                    let there = matches!(self.state_seen_by(*id, other).as_str(), "alive" | "cut");
                    there == living.contains(&other)
                })
            });
        }
    }
    /// Lines of all logs that tell of a death, but of these members.
    pub fn unexpected_death_lines(&self, expected: &[usize]) -> Vec<String> {
        let expected: Vec<String> = expected.iter().map(|id| format!("members: {} is", name(*id))).collect();
        let lines =
            self.members.iter().flatten().flat_map(|member| member.log.0.lock().expect("sound").clone());
        lines
            .filter(|line| {
                line.contains("members: ") && (line.ends_with(" is silent") || line.ends_with(" is dead"))
            })
            .filter(|line| !expected.iter().any(|words| line.contains(words)))
            .collect()
    }
}

fn relay_datagrams(socket: UdpSocket, id: usize, to: SocketAddr, faults: Arc<Mutex<NetworkFaults>>) {
    let seal = ClusterKey::new(CLUSTER, SECRET);
    thread::spawn(move || {
        let mut bytes = [0; 2048];
        loop {
            let Ok(length) = socket.recv(&mut bytes) else { continue };
            let sender = seal.decode_datagram(&bytes[..length]).map(|message| number(&message.from.name));
            let copies = {
                let faults = faults.lock().expect("sound");
                let cut = sender.is_ok_and(|from| faults.partitions.contains(&(from, id)));
                match cut || fastrand::f64() < faults.loss {
                    true => 0,
                    false => 1 + usize::from(fastrand::f64() < faults.duplication),
                }
            };
            // Where nobody listens the datagram is lost, as it would be.
            (0..copies).for_each(|_| drop(socket.send_to(&bytes[..length], to)));
        }
    });
}

/// Connections as they come: who only knocks finds the door open; tables pass unless there is a cut either way.
fn relay_connections(
    door: Arc<Mutex<Option<TcpListener>>>,
    id: usize,
    to: SocketAddr,
    faults: Arc<Mutex<NetworkFaults>>,
) {
    thread::spawn(move || {
        loop {
            let listener =
                door.lock().expect("sound").as_ref().map(|door| door.try_clone().expect("a handle"));
            let Some(listener) = listener else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let accepted = listener.accept();
            drop(listener);
            if door.lock().expect("sound").is_none() {
                continue;
            }
            let faults = faults.clone();
            thread::spawn(move || accepted.ok().and_then(|(stream, _)| table(stream, id, to, &faults)));
        }
    });
}

fn table(mut near: TcpStream, id: usize, to: SocketAddr, faults: &Mutex<NetworkFaults>) -> Option<()> {
    let frame = |stream: &mut TcpStream| {
        let mut length = [0; 4];
        stream.read_exact(&mut length).ok()?;
        let mut bytes = vec![0; u32::from_le_bytes(length) as usize];
        stream.read_exact(&mut bytes).ok()?;
        Some([&length[..], &bytes].concat())
    };
    let asked = frame(&mut near)?;
    let from = number(&ClusterKey::new(CLUSTER, SECRET).decode(&asked[4..]).expect("a member's").from.name);
    let cut = |cuts: &HashSet<_>| cuts.contains(&(from, id)) || cuts.contains(&(id, from));
    if cut(&faults.lock().expect("sound").partitions) {
        return None;
    }
    let mut far = TcpStream::connect(to).ok()?;
    far.write_all(&asked).ok()?;
    near.write_all(&frame(&mut far)?).ok()
}
