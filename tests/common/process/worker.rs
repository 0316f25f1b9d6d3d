//! A fake worker: it answers the frames of any number of connections, and counts what it receives.

use super::frame::{read_frame, write_frame};
use std::collections::HashMap;
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;

/// A worker that answers every part, and counts how often each was delivered.
pub struct Worker {
    pub address: String,
    /// Deliveries of each part, by its id.
    pub received: Arc<Mutex<HashMap<String, usize>>>,
    /// While this is set, no part is answered.
    pub paused: Arc<(Mutex<bool>, Condvar)>,
}

impl Worker {
    /// Starts a worker on a port of its own.
    pub fn start() -> Worker {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address").to_string();
        let worker = Worker { address, received: Arc::default(), paused: Arc::default() };
        let (received, paused) = (worker.received.clone(), worker.paused.clone());
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (received, paused) = (received.clone(), paused.clone());
                thread::spawn(move || serve_frames(stream.expect("a connection"), &received, &paused));
            }
        });
        worker
    }
    /// Pauses the answers, or sends those that were held back.
    pub fn set_paused(&self, paused: bool) {
        *self.paused.0.lock().expect("sound") = paused;
        self.paused.1.notify_all();
    }
    /// Number of deliveries of parts.
    pub fn parts_received(&self) -> usize {
        self.received.lock().expect("sound").values().sum()
    }
    /// The largest number of deliveries of one part.
    pub fn max_deliveries_of_a_part(&self) -> usize {
        self.received.lock().expect("sound").values().copied().max().unwrap_or(0)
    }
}

/// Answers the parts on one connection until it ends.
fn serve_frames(
    mut stream: TcpStream,
    received: &Mutex<HashMap<String, usize>>,
    paused: &(Mutex<bool>, Condvar),
) -> Option<()> {
    loop {
        let text = String::from_utf8(read_frame(&mut stream).ok()?).expect("text");
        if !text.starts_with('m') {
            continue;
        }
        let id = text[1..].split(' ').next().expect("an id").to_owned();
        *received.lock().expect("sound").entry(id.clone()).or_default() += 1;
        let is_paused = paused.0.lock().expect("sound");
        drop(paused.1.wait_while(is_paused, |is_paused| *is_paused).expect("sound"));
        let answer = format!("q{id} good 5 util=0.1,queue=0\n5be2");
        write_frame(&mut stream, answer.as_bytes()).ok()?;
    }
}
