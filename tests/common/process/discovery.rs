//! A fake discovery service: answers watches with an endpoint list that the test sets.

use super::client::read_more;
use bytes::BytesMut;
use gatherer::protocol::http;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;

/// The revision of the list and its members as JSON, with a condition variable that is notified of changes.
type VersionedList = Arc<(Mutex<(u64, String)>, Condvar)>;

/// A discovery service that sends its complete list to each watch, and again at each change.
pub struct Discovery {
    pub address: String,
    versioned_list: VersionedList,
}

impl Discovery {
    /// Starts a discovery service on a free port. `members` are the entries of its list as JSON, separated by
    /// commas.
    pub fn start(members: &str) -> Discovery {
        Discovery::on(TcpListener::bind("127.0.0.1:0").expect("a loopback port is free"), members)
    }
    /// Starts a discovery service with these members on a listener.
    pub fn on(listener: TcpListener, members: &str) -> Discovery {
        let address = listener.local_addr().expect("a bound listener has an address").to_string();
        let versioned_list: VersionedList = Arc::new((Mutex::new((1, members.to_owned())), Condvar::new()));
        let discovery = Discovery { address, versioned_list: versioned_list.clone() };
        thread::spawn(move || {
            for stream in listener.incoming() {
                let versioned_list = versioned_list.clone();
                thread::spawn(move || {
                    serve_watch(stream.expect("a connection is accepted"), &versioned_list)
                });
            }
        });
        discovery
    }
    /// Replaces the members and sends the list to every watch.
    pub fn publish(&self, members: &str) {
        let mut versioned_list = self.versioned_list.0.lock().expect("no thread panicked with the lock");
        *versioned_list = (versioned_list.0 + 1, members.to_owned());
        self.versioned_list.1.notify_all();
    }
    /// The complete list as JSON.
    pub fn list(&self) -> String {
        list(&self.versioned_list.0.lock().expect("no thread panicked with the lock"))
    }
}

/// Formats a complete list as a discovery response.
fn list((revision, members): &(u64, String)) -> String {
    format!(r#"{{"revision":{revision},"complete":true,"members":[{members}]}}"#)
}

/// Answers the requests on one connection: at once, or, if the request names the current revision, after the
/// next change.
fn serve_watch(mut stream: TcpStream, versioned_list: &(Mutex<(u64, String)>, Condvar)) -> Option<()> {
    let mut buffer = BytesMut::new();
    loop {
        let request = loop {
            match http::take_request(&mut buffer).expect("the request is valid HTTP") {
                Some(request) => break request,
                None => read_more(&mut stream, &mut buffer).ok()?,
            }
        };
        let known =
            request.parameter("index").map(|index| index.parse::<u64>().expect("the index is a number"));
        let current = versioned_list.0.lock().expect("no thread panicked with the lock");
        let is_known = |(revision, _): &mut (u64, String)| Some(*revision) == known;
        let current =
            versioned_list.1.wait_while(current, is_known).expect("no thread panicked with the lock");
        let bytes = http::Response::json(200, list(&current)).encode(false);
        drop(current);
        stream.write_all(&bytes).ok()?;
    }
}

/// The entry of a serving worker in a discovery list, as JSON.
pub fn member(id: &str, address: &str) -> String {
    format!(r#"{{"id":"{id}","host_port":"{address}","cell":0,"phase":"SERVING"}}"#)
}
