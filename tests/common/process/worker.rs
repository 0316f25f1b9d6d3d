//! A fake worker: answers the frames of any number of connections, and counts the deliveries of each part.

use super::frame::{read_frame, write_frame};
use std::collections::HashMap;
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;

/// A worker that answers every part, and counts how often each was delivered.
pub struct Worker {
    pub address: String,
    /// Number of deliveries of each part, by its id.
    pub received: Arc<Mutex<HashMap<String, usize>>>,
    /// While true, responses are held back.
    pub paused: Arc<(Mutex<bool>, Condvar)>,
}

impl Worker {
    /// Starts a worker on a free port.
    pub fn start() -> Worker {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener.local_addr().expect("a bound listener has an address").to_string();
        let worker = Worker { address, received: Arc::default(), paused: Arc::default() };
        let (received, paused) = (worker.received.clone(), worker.paused.clone());
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (received, paused) = (received.clone(), paused.clone());
                thread::spawn(move || {
                    serve_frames(stream.expect("a connection is accepted"), &received, &paused)
                });
            }
        });
        worker
    }
    /// Holds responses back from now on, or sends those that were held back.
    pub fn set_paused(&self, paused: bool) {
        *self.paused.0.lock().expect("no thread panicked with the lock") = paused;
        self.paused.1.notify_all();
    }
    /// Number of deliveries of all parts.
    pub fn parts_received(&self) -> usize {
        self.received.lock().expect("no thread panicked with the lock").values().sum()
    }
    /// The largest number of deliveries of one part; 0 if none was delivered.
    pub fn max_deliveries_of_a_part(&self) -> usize {
        let received = self.received.lock().expect("no thread panicked with the lock");
        received.values().copied().max().unwrap_or(0)
    }
}

/// Answers the calls on one connection, each of one part, until the connection ends.
fn serve_frames(
    mut stream: TcpStream,
    received: &Mutex<HashMap<String, usize>>,
    paused: &(Mutex<bool>, Condvar),
) -> Option<()> {
    loop {
        let text = String::from_utf8(read_frame(&mut stream).ok()?).expect("the frame is UTF-8");
        if !text.starts_with('m') {
            continue;
        }
        let id = text[1..].split(' ').next().expect("the call has a part id").to_owned();
        *received.lock().expect("no thread panicked with the lock").entry(id.clone()).or_default() += 1;
        let is_paused = paused.0.lock().expect("no thread panicked with the lock");
        let resumed = paused.1.wait_while(is_paused, |is_paused| *is_paused);
        drop(resumed.expect("no thread panicked with the lock"));
        let response = format!("q{id} good 5 util=0.1,queue=0\n5be2");
        write_frame(&mut stream, response.as_bytes()).ok()?;
    }
}
