//! Case: two clients' parts share one call to a worker, and the connection for it comes up late. One of the clients
//! leaves meanwhile. Its part is sent all the same, long after the close.

#[path = "../common/mod.rs"]
mod common;

use common::*;
use std::collections::HashMap;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

extern "C" {
    fn listen(socket: i32, backlog: i32) -> i32;
}

/// Work of a part of record-correction: 65 to 87 ms by the site's page.
const WORK_MS: u64 = 70;
/// The class's give-up time.
const BUDGET_MS: u64 = 2500;
const ROUNDS: usize = 12;
/// An attempt that begins more than 0.1 s after its client's close breaks the rule; 50 ms longer on sockets.
const LIMIT: Duration = Duration::from_millis(100 + 50);

/// When the client of each query has closed its connection.
type Closed = Arc<Mutex<HashMap<String, Instant>>>;

/// A worker whose machine can let new connections wait: while it is held up, its queue of new connections is full, and
/// the system answers the next attempt of a connection, which comes after 1 s.
struct Worker {
    address: String,
    held_up: Arc<AtomicBool>,
}

impl Worker {
    fn start(name: &'static str, closed: Closed, broken: Arc<Mutex<usize>>, record: Record) -> Worker {
        let listener: TcpListener = common::listen();
        assert_eq!(unsafe { listen(listener.as_raw_fd(), 0) }, 0);
        listener.set_nonblocking(true).unwrap();
        let (address, held_up) = (listener.local_addr().unwrap().to_string(), Arc::new(AtomicBool::new(false)));
        let is_held_up = held_up.clone();
        thread::spawn(move || loop {
            let accepted = if is_held_up.load(Ordering::SeqCst) { None } else { listener.accept().ok() };
            let Some((mut read, _)) = accepted else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            read.set_nonblocking(false).unwrap();
            let _ = read.set_nodelay(true);
            let write = Arc::new(Mutex::new(read.try_clone().unwrap()));
            let (closed, broken, record) = (closed.clone(), broken.clone(), record.clone());
            thread::spawn(move || {
                while let Some(frame) = read_frame(&mut read) {
                    let parts = match frame {
                        Frame::Call(parts) => parts,
                        Frame::GivenUp(id) => {
                            record.line(format!("{name}: {id} is given up"));
                            continue;
                        }
                    };
                    let together = parts.len();
                    for part in parts {
                        let query = part.id.rsplit_once('.').expect("an id has a shard").0.to_owned();
                        let gone = closed.lock().unwrap().get(&query).map(Instant::elapsed);
                        let late = gone.is_some_and(|gone| gone > LIMIT);
                        *broken.lock().unwrap() += usize::from(late);
                        record.line(format!(
                            "{name}: got {} (d={}, {together} in the call){}",
                            part.id,
                            part.wait_ms,
                            gone.map_or(String::new(), |gone| format!(
                                ", its client closed {} ms ago{}",
                                gone.as_millis(),
                                if late { "  <- broken" } else { "" }
                            ))
                        ));
                        let write = write.clone();
                        thread::spawn(move || {
                            thread::sleep(Duration::from_millis(WORK_MS));
                            write_good(&write, &part.id, "5be2a07c19f04d63");
                        });
                    }
                }
            });
        });
        Worker { address, held_up }
    }

    /// Lets the next connections wait, by filling the queue with one of the worker's own.
    fn hold_up(&self) -> TcpStream {
        self.held_up.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(5));
        TcpStream::connect(&self.address).unwrap()
    }

    fn go_on(&self) {
        self.held_up.store(false, Ordering::SeqCst);
    }
}

fn config(listen: &str, discovery: &str, members: &str) -> String {
    format!(
        r#"{{"name":"n1","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
 "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
 "known":{{"revision":1,"complete":true,"members":[{members}]}},
 "settings":{{"allowed":{{"cancel":true,"second-copies":true,"most-tries":3,"retry-after":true,
   "max-retry-after":2000000000,"max-open":120,"connect-timeout":1500000000,"conn-idle":30000000000,"multiplex":100}},
  "categories":[
   {{"name":"area-summary","promise":1500000000,"deadline":5000000000,"semantics":"repeatable","worth":2.0,"late-worth":0.1}},
   {{"name":"station-series","promise":1200000000,"deadline":3000000000,"semantics":"repeatable","worth":1.0,"late-worth":0.1}},
   {{"name":"record-correction","promise":1200000000,"deadline":2500000000,"semantics":"once","worth":2.0,"late-worth":0.0}}],
  "tenants":[{{"name":"state-planning","portion":0.43,"quota-per-s":20.0}}],
  "balancers":1,"quantum":5000000,"localities":["kochi-room"],"az":0,"discovery":"pushed",
  "domain":{{"cells":1,"span":1,"slices":3,"per-call":16,"call":25000000,"min-share":[0.5,1.0,1.0],"whole-at":[1.0,1.0,1.0],"short-worth":[0.8,0.8,0.8]}},
  "report":{{"source":"piggyback","fields":["busy","q"]}},
  "rules":{{"grace-to-answer":20000000,"drain-grace":1000000000,"cold-share":0.15,"warm-up":16000000000,"fall":3000000000,"fall-multiple":4.0}}}}}}"#
    )
}

fn main() {
    let record = Record::open();
    let (closed, broken) = (Closed::default(), Arc::new(Mutex::new(0)));
    let workers: Vec<Worker> = ["s-0", "s-1"]
        .map(|name| Worker::start(name, closed.clone(), broken.clone(), record.clone()))
        .into_iter()
        .collect();
    let members: Vec<String> = (workers.iter().enumerate())
        .map(|(n, worker)| {
            format!(
                r#"{{"id":"s-{n}","host_port":"{}","locality":"kochi-room","flavor":"small-2core","cell":0,"phase":"SERVING","size":1.0,"up_since_ms":0}}"#,
                worker.address
            )
        })
        .collect();
    let members = members.join(",");
    let (address, discovery) = (free_address(), start_discovery(members.clone()));
    let file = temporary_folder().join("config.json");
    std::fs::write(&file, config(&address, &discovery, &members)).unwrap();
    let _gatherer = Gatherer::start("", &[("LB_CONFIG", file.display().to_string())]);
    wait_until_healthy(&address);

    let connect = || {
        let stream = TcpStream::connect(&address).unwrap();
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(Duration::from_millis(BUDGET_MS + 500))).unwrap();
        stream
    };
    let ask = |stream: &mut TcpStream, id: &str, key: &str| {
        let text = query(id, "record-correction", "state-planning", BUDGET_MS, 0, WORK_MS * 1000, key);
        stream.write_all(text.as_bytes()).unwrap();
    };
    let answer = |stream: &mut TcpStream, id: &str| {
        let answer = read_response(stream, &mut Vec::new());
        record.line(format!("client: {id} answered {:?}", answer.map(|answer| answer.status)));
    };
    for round in 0..ROUNDS {
        let key = format!("{:016x}", 0x7f3a_9c21_e0b4_0000u64 + round as u64);
        // Two queries of which each has a connection that comes up at once: a third of all come up late.
        for _ in 0..2 {
            let (mut client, id) = (connect(), fresh_id());
            ask(&mut client, &id, &key);
            answer(&mut client, &id);
        }
        let (mut staying, mut leaving) = (connect(), connect());
        let (staying_id, leaving_id) = (fresh_id(), fresh_id());
        let fillers: Vec<TcpStream> =
            workers.iter().filter(|_| trouble()).map(Worker::hold_up).collect();
        ask(&mut staying, &staying_id, &key);
        ask(&mut leaving, &leaving_id, &key);
        record.line(format!("clients: sent {staying_id} and {leaving_id}"));
        if trouble() {
            thread::sleep(Duration::from_millis(50));
            drop(leaving);
            closed.lock().unwrap().insert(leaving_id.clone(), Instant::now());
            record.line(format!("client: {leaving_id} has closed its connection"));
            thread::sleep(Duration::from_millis(400));
            workers.iter().for_each(Worker::go_on);
            drop(fillers);
        } else {
            answer(&mut leaving, &leaving_id);
        }
        answer(&mut staying, &staying_id);
        thread::sleep(Duration::from_millis(300));
    }
    let broken = *broken.lock().unwrap();
    record.verdict(
        broken > 0,
        format!("{broken} parts were sent more than {} ms after their client had closed", LIMIT.as_millis()),
    )
}
