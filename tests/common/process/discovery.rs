//! A fake discovery: it serves a list of workers that a test replaces.

use super::client::read_more;
use bytes::BytesMut;
use gatherer::protocol::http;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;

/// The revision of a list and its members as JSON; the condition variable is notified of each change.
type VersionedList = Arc<(Mutex<(u64, String)>, Condvar)>;

/// A discovery that sends its complete list to each watch, and again whenever it changes.
pub struct Discovery {
    pub address: String,
    versioned_list: VersionedList,
}

impl Discovery {
    /// Starts a discovery with this list, as JSON, on a port of its own.
    pub fn start(members: &str) -> Discovery {
        Discovery::on(TcpListener::bind("127.0.0.1:0").expect("a port"), members)
    }
    /// Starts a discovery with this list on a listener.
    pub fn on(listener: TcpListener, members: &str) -> Discovery {
        let address = listener.local_addr().expect("an address").to_string();
        let versioned_list: VersionedList = Arc::new((Mutex::new((1, members.to_owned())), Condvar::new()));
        let discovery = Discovery { address, versioned_list: versioned_list.clone() };
        thread::spawn(move || {
            for stream in listener.incoming() {
                let versioned_list = versioned_list.clone();
                thread::spawn(move || serve_watch(stream.expect("a connection"), &versioned_list));
            }
        });
        discovery
    }
    /// Replaces the list and sends it to every watch.
    pub fn publish(&self, members: &str) {
        let mut versioned_list = self.versioned_list.0.lock().expect("sound");
        *versioned_list = (versioned_list.0 + 1, members.to_owned());
        self.versioned_list.1.notify_all();
    }
    /// The list as JSON.
    pub fn list(&self) -> String {
        list(&self.versioned_list.0.lock().expect("sound"))
    }
}

/// A complete list as discovery sends it.
fn list((revision, members): &(u64, String)) -> String {
    format!(r#"{{"revision":{revision},"complete":true,"members":[{members}]}}"#)
}

/// Answers the requests of one connection: at once, or, to one that has the current list, when it changes.
fn serve_watch(mut stream: TcpStream, versioned_list: &(Mutex<(u64, String)>, Condvar)) -> Option<()> {
    let mut buffer = BytesMut::new();
    loop {
        let request = loop {
            match http::take_request(&mut buffer).expect("a request") {
                Some(request) => break request,
                None => read_more(&mut stream, &mut buffer).ok()?,
            }
        };
        let known = request.parameter("index").map(|index| index.parse::<u64>().expect("a number"));
        let current = versioned_list.0.lock().expect("sound");
        let current =
            versioned_list.1.wait_while(current, |(revision, _)| Some(*revision) == known).expect("sound");
        let bytes = http::Response::json(200, list(&current)).encode(false);
        drop(current);
        stream.write_all(&bytes).ok()?;
    }
}

/// One worker in a discovery list, as JSON.
pub fn member(id: &str, address: &str) -> String {
    format!(r#"{{"id":"{id}","host_port":"{address}","cell":0,"phase":"SERVING"}}"#)
}
